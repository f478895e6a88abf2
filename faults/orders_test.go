package faults

import (
	"context"
	"fmt"
	"time"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/once"
)

// orderOwner is the part of once.Owner that an entry uses for orders and their journal.
type orderOwner interface {
	Begin(now time.Time, id ident.RequestID, deadline time.Time) once.Decision
	Lookup(now time.Time, id ident.RequestID) once.Decision
	ClaimSend(now time.Time, id ident.RequestID) bool
	RecordAnswer(now time.Time, id ident.RequestID, resp once.Response) bool
	RecordUnknown(now time.Time, id ident.RequestID) bool
	Expire(now time.Time) []once.Event
	journalOwner
}

// orderRun is one order owned by entry "a". Entry "b" takes over its journal.
type orderRun struct {
	sim       *simulation
	owner     orderOwner
	journal   *once.Journal
	successor *once.Successor
	id        ident.RequestID
	// stray is the id of another order, whose outcome is unknown and whose answer arrives late.
	stray    ident.RequestID
	deadline time.Time
	// dead and paused are the state of the owner's process.
	dead, paused bool
	// delayed holds the steps of the owner that a pause delays.
	delayed []func()
	// unsent is the number of claimed copies that were not sent yet, inTransit that of copies sent but not yet at the
	// upstream.
	unsent, inTransit int
	// sent is set once the owner has sent the order, silent if the connection has gone silent.
	sent, silent bool
	// executions is the number of times that the upstream ran the order.
	executions int
	// notRunReported is set if a caller got not run or the order was aborted, unknownReported if a caller got unknown.
	// replies holds the answers that callers got.
	notRunReported  bool
	unknownReported bool
	replies         []string
}

func orderProtocol(class ident.Class) protocol {
	return protocol{
		name:   fmt.Sprintf("order, class %c", class),
		checks: []check{ownAnswer, notRunIsTrue, atMostOnce},
		start:  func(sim *simulation) *scenario { return startOrder(sim, class) },
	}
}

func startOrder(sim *simulation, class ident.Class) *scenario {
	r := &orderRun{sim: sim, journal: once.NewJournal(sim.store), successor: once.NewSuccessor("a", 7, "b")}
	r.owner = wrapOwner(sim, once.NewOwner("a", 7))
	r.writeJournal()
	ticket := ident.NewTicket(class, "a", 7, sim.now)
	r.id, r.stray = ticket.ID("main"), ident.NewTicket(ident.Direct, "a", 7, sim.now).ID("stray")
	r.owner.Begin(sim.now, r.stray, sim.now.Add(time.Second))
	r.owner.ClaimSend(sim.now, r.stray)
	r.owner.RecordUnknown(sim.now, r.stray)
	// After a pause of 15 s the order is still within the long deadline and must not be sent with the short one.
	r.deadline = sim.now.Add(5 * time.Second)
	if sim.randomBool() {
		r.deadline = sim.now.Add(time.Minute)
	}
	return &scenario{
		steps: []step{
			{"request", r.ownerStep(r.request)},
			{"journal the id", r.ownerStep(r.writeJournal)},
			{"claim", r.ownerStep(r.claim)},
			{"send", r.ownerStep(r.send)},
			{"run", r.runUpstream},
			{"answer", r.ownerStep(r.deliverAnswers)},
			{"journal the outcome", r.ownerStep(r.writeJournal)},
			{"repeat", r.repeat},
			{"take over", r.takeover},
			{"resume", r.resume},
			{"repeat again", r.repeat},
		},
		inject: map[fault]func(){
			processDies: r.crash,
			regionFails: r.crash,
			pausedHolder: func() {
				r.paused = true
				sim.now = sim.now.Add(15 * time.Second)
			},
			silentConnection: func() { r.silent = r.inTransit > 0 || r.executions > 0 },
		},
		notApplicable: map[fault]string{
			measurementsStop: "the record of an order reads no measurement",
			operatorConflict: "the record of an order reads no configuration",
		},
		finish: r.finish,
	}
}

// ownerStep wraps a step of the owner: it is delayed while the process is paused and dropped if it is dead.
func (r *orderRun) ownerStep(do func()) func() {
	return func() {
		r.sim.now = r.sim.now.Add(100 * time.Millisecond)
		switch {
		case r.dead:
		case r.paused:
			r.delayed = append(r.delayed, do)
		default:
			do()
		}
	}
}

// crash ends the owner's process.
func (r *orderRun) crash() {
	if !r.dead {
		r.dead = true
		// Bytes sent before the crash may still arrive.
		if r.sim.randomBool() {
			r.inTransit = 0
		}
	}
}

func (r *orderRun) request() { r.recordDecision(r.owner.Begin(r.sim.now, r.id, r.deadline)) }

// recordDecision records the response that a caller gets.
func (r *orderRun) recordDecision(d once.Decision) {
	r.sim.logf("response to the caller: %v %v", d.Action, d.Kind)
	switch d.Action {
	case once.ActionRefuse:
		r.notRunReported = true
	case once.ActionUnknown:
		r.unknownReported = true
	case once.ActionReply:
		r.replies = append(r.replies, string(d.Answer.Body))
	}
}

// recordEvents records whether the order was aborted, which callers get as not run.
func (r *orderRun) recordEvents(events []once.Event) {
	for _, e := range events {
		r.sim.logf("event: %v of %s", e.State, e.ID)
		r.notRunReported = r.notRunReported || e.ID == r.id && e.State == once.Aborted
	}
}

// writeJournal performs the due journal I/O and expiry four times, 300 ms apart.
func (r *orderRun) writeJournal() {
	for range 4 {
		r.sim.now = r.sim.now.Add(300 * time.Millisecond)
		r.recordEvents(r.sim.writeJournal(r.owner))
		r.recordEvents(r.owner.Expire(r.sim.now))
	}
}

func (r *orderRun) claim() {
	if r.owner.ClaimSend(r.sim.now, r.id) {
		r.unsent++
	}
}

func (r *orderRun) send() {
	if r.unsent > 0 {
		r.sim.logf("the order is sent")
		r.inTransit, r.unsent, r.sent = r.inTransit+r.unsent, 0, true
	}
}

// runUpstream runs the copies that have reached the upstream. Copies sent on a silent connection may be lost.
func (r *orderRun) runUpstream() {
	if r.inTransit > 0 && (!r.silent || r.sim.randomBool()) {
		r.executions += r.inTransit
		r.sim.logf("the upstream runs the order")
	}
	r.inTransit = 0
}

// deliverAnswers delivers the late answer of the stray order, then the result of the order itself.
func (r *orderRun) deliverAnswers() {
	r.owner.RecordAnswer(r.sim.now, r.stray, once.Response{Status: 200, Body: []byte("stray")})
	switch {
	case !r.sent:
	case r.executions > 0 && !r.silent:
		r.owner.RecordAnswer(r.sim.now, r.id, once.Response{Status: 200, Body: []byte("main")})
	default:
		r.owner.RecordUnknown(r.sim.now, r.id)
	}
	r.recordDecision(r.owner.Lookup(r.sim.now, r.id))
}

// repeat makes another request with the same id, at the owner or else at entry b. It may lead to a second claim.
func (r *orderRun) repeat() {
	if r.dead || r.paused {
		r.takeover()
		return
	}
	d := r.owner.Begin(r.sim.now, r.id, r.sim.now.Add(time.Minute))
	r.recordDecision(d)
	if d.Action != once.ActionSend && d.Action != once.ActionJournal && d.Action != once.ActionWait {
		return
	}
	r.writeJournal()
	if r.owner.ClaimSend(r.sim.now, r.id) {
		r.sim.logf("a repeated request sends the order")
		r.executions++
		r.owner.RecordAnswer(r.sim.now, r.id, once.Response{Status: 200, Body: []byte("main")})
	}
	r.recordDecision(r.owner.Lookup(r.sim.now, r.id))
}

// takeover makes entry b seal and read the journal of an owner that it considers dead.
func (r *orderRun) takeover() {
	if !r.dead && !r.paused {
		return
	}
	if err := r.journal.SealAndRead(context.Background(), r.successor); err != nil {
		r.sim.logf("can't read the journal: %v", err)
		return
	}
	d := r.successor.Lookup(r.sim.now, r.id)
	if d.BodyRow != 0 {
		body, err := r.journal.Body(context.Background(), r.id, d.BodyRow)
		if err != nil {
			r.sim.logf("can't read the recorded answer: %v", err)
			return
		}
		d.Answer.Body = body
	}
	r.recordDecision(d)
}

// resume makes a paused owner execute its delayed steps although entry b may have taken over.
func (r *orderRun) resume() {
	if r.dead || !r.paused {
		return
	}
	r.paused = false
	for _, do := range r.delayed {
		do()
		r.runUpstream()
	}
	r.delayed = nil
}

func (r *orderRun) finish() string {
	r.sim.store.endFaults()
	r.resume()
	r.runUpstream()
	if !r.dead {
		r.writeJournal()
	}
	r.repeat()
	for _, body := range r.replies {
		r.sim.ensure(ownAnswer, body == "main" && r.executions > 0, "the caller got %q after %d runs", body, r.executions)
	}
	r.sim.ensure(notRunIsTrue, !r.notRunReported || r.executions == 0, "refused as not run, and ran %d times", r.executions)
	r.sim.ensure(atMostOnce, r.executions <= 1, "ran %d times", r.executions)
	return r.outcome()
}

func (r *orderRun) outcome() string {
	result := "told nothing final"
	switch {
	case len(r.replies) > 0 && r.unknownReported:
		result = "told unknown and the answer"
	case len(r.replies) > 0:
		result = "told the answer"
	case r.notRunReported:
		result = "told not run"
	case r.unknownReported:
		result = "told unknown"
	}
	return fmt.Sprintf("%s, ran %d times", result, r.executions)
}
