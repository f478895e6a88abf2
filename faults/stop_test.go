package faults

import (
	"context"
	"fmt"
	"time"

	"github.com/currantpier/currantpier/drain"
	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/kinds"
	"github.com/currantpier/currantpier/once"
)

// stopSequence is the part of drain.Stop that an entry uses.
type stopSequence interface {
	HandleSignal(now time.Time)
	Advance(now time.Time, inFlight int, handedOver bool) drain.Phase
	Forced() bool
}

// stopRun is the planned stop of entry a with idempotent requests and one order of class d in progress.
type stopRun struct {
	sim   *simulation
	seq   stopSequence
	phase drain.Phase
	owner *once.Owner
	order ident.RequestID
	// endTimes holds the time at which each request gets its answer. The order is the one at index 1.
	endTimes []time.Time
	// orderSent is set if the order may be sent to its target.
	orderSent    bool
	dead, paused bool
	exited       bool
	inFlight     int
}

const lookupTTL = 5 * time.Second

var stopProtocol = protocol{name: "planned stop", checks: []check{notRunIsTrue, stopInterruptsNothing}, slow: true,
	start: startStop}

func startStop(sim *simulation) *scenario {
	r := &stopRun{sim: sim, owner: once.NewOwner("a", 7)}
	r.seq = wrapStop(sim, drain.NewStop(lookupTTL, time.Minute))
	r.order = ident.NewTicket(ident.Direct, "a", 7, sim.now).ID("main")
	r.advance(time.Second)
	return &scenario{
		steps: []step{
			{"serve", func() { r.accept(); r.sendOrder() }},
			{"signal", func() { r.ifRunning(func() { r.seq.HandleSignal(sim.now) }); r.advance(time.Second) }},
			{"announced", func() { r.accept(); r.advance(3 * time.Second) }},
			{"lookups expire", func() { r.advance(3 * time.Second) }},
			{"finish requests", func() { r.advance(9 * time.Second) }},
			{"hand over", func() { r.advance(2 * time.Second) }},
			{"exit", func() { r.advance(2 * time.Second) }},
			{"repeat elsewhere", r.repeat},
		},
		inject: map[fault]func(){
			processDies: func() { r.dead = true },
			// The targets of the region break every connection.
			regionFails: func() { r.endRequestsAt(sim.now) },
			pausedHolder: func() {
				r.paused = true
				r.advance(15 * time.Second)
				r.paused = false
			},
			// The deadline of a request ends a wait on a connection that is silent.
			silentConnection: func() { r.endRequestsAt(sim.now.Add(25 * time.Second)) },
		},
		notApplicable: map[fault]string{
			measurementsStop: "a stop reads no measurement", operatorConflict: "a stop reads no configuration",
		},
		finish: r.finish,
	}
}

// ifRunning calls do unless the process is dead, paused or has exited.
func (r *stopRun) ifRunning(do func()) {
	if !r.dead && !r.paused && !r.exited {
		do()
	}
}

// accept admits a new request, which takes 8 s, if the phase allows it.
func (r *stopRun) accept() {
	r.ifRunning(func() {
		if r.phase.TakesWork() {
			r.endTimes = append(r.endTimes, r.sim.now.Add(8*time.Second))
			r.inFlight++
		}
	})
}

func (r *stopRun) sendOrder() {
	r.ifRunning(func() {
		r.owner.Begin(r.sim.now, r.order, r.sim.now.Add(20*time.Second))
		r.orderSent = r.owner.ClaimSend(r.sim.now, r.order)
		r.endTimes = append(r.endTimes, r.sim.now.Add(6*time.Second))
		r.inFlight++
	})
}

// endRequestsAt sets the end of all requests in progress.
func (r *stopRun) endRequestsAt(t time.Time) {
	for i, end := range r.endTimes {
		if end.After(r.sim.now) {
			r.endTimes[i] = t
		}
	}
}

// advance moves the clock in steps of 100 ms and calls tick at each while the process runs.
func (r *stopRun) advance(d time.Duration) {
	for end := r.sim.now.Add(d); r.sim.now.Before(end); {
		r.sim.now = r.sim.now.Add(100 * time.Millisecond)
		r.ifRunning(r.tick)
	}
}

// tick completes requests that have ended, writes the journal and advances the stop sequence.
func (r *stopRun) tick() {
	r.inFlight = 0
	for _, end := range r.endTimes {
		if end.After(r.sim.now) {
			r.inFlight++
		}
	}
	if r.orderSent && len(r.endTimes) > 1 && !r.endTimes[1].After(r.sim.now) {
		r.owner.RecordAnswer(r.sim.now, r.order, once.Response{Status: 200})
	}
	r.sim.writeJournal(r.owner)
	phase := r.seq.Advance(r.sim.now, r.inFlight, r.owner.Finished())
	if phase != r.phase {
		r.sim.logf("phase %d with %d requests in progress", phase, r.inFlight)
	}
	r.phase = phase
	if phase >= drain.Finishing {
		r.owner.StopAccepting()
	}
	if phase == drain.Exit {
		r.exited = true
		r.sim.ensure(stopInterruptsNothing, r.inFlight == 0, "the process exits with %d requests in progress",
			r.inFlight)
	}
}

// repeat repeats the order at another entry, which reads the journal, once the process has ended.
func (r *stopRun) repeat() {
	if !r.dead && !r.exited {
		return
	}
	successor := once.NewSuccessor("a", 7, "b")
	if err := once.NewJournal(r.sim.store).SealAndRead(context.Background(), successor); err != nil {
		return
	}
	d := successor.Lookup(r.sim.now, r.order)
	r.sim.logf("response of another entry: %v %v", d.Action, d.Kind)
	r.sim.ensure(notRunIsTrue, d.Action != once.ActionRefuse || !r.orderSent, "the response for an order that was sent is %v",
		d.Kind)
	if r.exited && !r.seq.Forced() && r.orderSent {
		r.sim.ensure(stopInterruptsNothing, d.Kind == kinds.Answered, "after a complete stop the order is %v", d.Kind)
	}
}

func (r *stopRun) finish() string {
	r.advance(70 * time.Second)
	r.sim.store.endFaults()
	r.repeat()
	switch {
	case r.dead:
		return "the process died"
	case r.seq.Forced():
		return "ended by the limit, nothing in progress"
	}
	r.sim.ensure(stopInterruptsNothing, r.exited, "the stop does not end")
	return fmt.Sprintf("complete, %d requests finished", len(r.endTimes))
}
