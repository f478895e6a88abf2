package faults

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/currantpier/currantpier/drain"
	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/lists"
	"github.com/currantpier/currantpier/plan"
	"github.com/currantpier/currantpier/route"
	"github.com/currantpier/currantpier/sched"
	"github.com/currantpier/currantpier/shift"
)

// scheduler is the part of sched.Scheduler that this protocol uses.
type scheduler interface {
	SetPlan(ctx context.Context, t *plan.TrafficPlan, confirmed bool) bool
	RecordReport(ctx context.Context, o sched.TargetReport) bool
	Acquire(ctx context.Context, r sched.Request) (sched.Slot, error)
	Status(ctx context.Context, restart bool) (sched.Status, bool)
	Release(slot sched.Slot, latency time.Duration, res route.Result, traffic sched.Traffic)
}

// leavingEntry is one entry with a scheduler of its own.
type leavingEntry struct {
	vm    ident.VM
	sched scheduler
	// slots are the requests in progress.
	slots                []sched.Slot
	gone, paused, silent bool
	// pausedAt is what the clock of a paused entry shows.
	pausedAt time.Time
	// noted says that the process has polled the notice, restarted that it has not polled since its start.
	noted, restarted bool
}

// leavingRun is a target t1 that leaves while t2 stays, seen by two entries and the lease holder.
type leavingRun struct {
	w    *world
	mu   sync.Mutex
	now  time.Time
	ctx  context.Context
	stop func()
	a, b *leavingEntry
	plan plan.TrafficPlan
	// announced says that the target tells everybody who polls it, polls that polls are answered.
	announced, polls bool
	// reported says that the lease holder knows, publishes that it can publish.
	reported, publishes bool
	noticed             time.Time
	late                int
	// target follows the reports of the entries; nil before the notice.
	target *drain.TargetDrain
}

// typical is the service time that admit.New assumes. A request with no more time than that is refused when it would
// have to wait, so that no run waits for a slot.
const typical = 20 * time.Millisecond

var leavingProtocol = protocol{name: "leaving upstream", checks: []check{leavingIdle, drainedIdle}, slow: true, start: startLeaving}

func startLeaving(w *world) *scenario {
	r := &leavingRun{w: w, now: w.now, polls: true, publishes: true}
	r.ctx, r.stop = context.WithCancel(context.Background())
	r.a, r.b = r.entry("a"), r.entry("b")
	r.publish(false)
	none := "a leaving upstream is not a configuration, and the notice needs no answer of the store"
	return &scenario{
		steps: []step{
			{"serve", func() { r.take(r.a); r.take(r.b) }},
			{"announce", func() { r.announced = true }},
			{"poll at one entry", func() { r.poll(r.a) }},
			{"report", func() { r.reported = r.a.noted && !r.a.gone }},
			{"publish the plan", func() { r.publish(r.reported) }},
			{"poll at the other entry", func() { r.pass(time.Second); r.poll(r.b) }},
			{"new work", func() { r.take(r.a); r.take(r.b) }},
			{"platform lists it", func() { r.pass(time.Second); r.reported = true; r.publish(true) }},
			{"three seconds later", func() { r.pass(3 * time.Second) }},
			{"resume", r.resume},
			{"more work", func() { r.take(r.a); r.take(r.b) }},
			{"finish", func() { r.done(r.a); r.done(r.b) }},
		},
		inject: map[fault]func(){
			measurementsStop: func() { r.polls = false },
			processDies:      r.restart,
			regionFails:      func() { r.a.gone = true; r.a.slots = nil },
			storeDown:        func() { r.publishes = false },
			storeSlow:        func() { r.publishes = w.coin() },
			pausedHolder:     func() { r.b.pause(r) },
			silentConnection: func() { r.b.silent = true },
		},
		noInput: map[fault]string{operators: none, answerLost: none},
		finish:  r.finish,
	}
}

// clock returns the time as the process of e sees it.
func (e *leavingEntry) clock(r *leavingRun) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.paused {
		return e.pausedAt
	}
	return r.now
}

func (e *leavingEntry) pause(r *leavingRun) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !e.paused {
		e.paused, e.pausedAt = true, r.now
	}
}

// entry starts the scheduler of an entry. Its only task runs until the end of the run.
func (r *leavingRun) entry(vm ident.VM) *leavingEntry {
	e := &leavingEntry{vm: vm}
	s := sched.New(vm, ident.Place{Region: "east", Domain: "east-a"}, rand.NewPCG(r.w.rnd.Uint64(), 1),
		metrics.NewRegistry(), func() time.Time { return e.clock(r) })
	go func() { _ = s.Run(r.ctx) }()
	s.SetConfig(r.ctx, &lists.Config{
		Version: 1, Customers: []lists.CustomerPlan{{Customer: "shop", Plan: "basic"}},
		Uses: []lists.Use{{Plan: "basic", Service: "orders", Rate: 100_000, Weight: 1}},
	}, 2)
	e.sched = breakScheduler(r.w, s)
	return e
}

// restart starts the process of entry a anew. It serves after the first round of polls, as entry's readiness says.
func (r *leavingRun) restart() {
	gone := r.a.gone
	r.a = r.entry("a")
	r.a.gone, r.a.restarted = gone, true
	r.apply(r.a)
}

// publish makes the next plan. A target that leaves gets no grants.
func (r *leavingRun) publish(leaving bool) {
	if r.publishes && (r.plan.Version == 0 || leaving) {
		east := ident.Place{Region: "east", Domain: "east-a"}
		r.plan.Version++
		r.plan.Routes = []plan.Route{{
			Service: "orders", Origin: "east", Weights: []shift.Weight{{Region: "east", Share: ident.Whole}},
		}}
		r.plan.Targets, r.plan.Grants = nil, nil
		for _, name := range []ident.Target{"t1", "t2"} {
			t := plan.Target{Name: name, Service: "orders", Address: string(name), Place: east, Slots: 1000}
			if t.Leaving = leaving && name == "t1"; !t.Leaving {
				r.plan.Grants = append(r.plan.Grants,
					plan.Grant{Target: name, Entry: "a", Slots: 500}, plan.Grant{Target: name, Entry: "b", Slots: 500})
			}
			r.plan.Targets = append(r.plan.Targets, t)
		}
	}
	r.apply(r.a)
	r.apply(r.b)
}

// apply gives an entry the newest plan, as read again after a pause.
func (r *leavingRun) apply(e *leavingEntry) {
	if !e.gone && !e.paused && (!e.silent || r.plan.Version == 1) {
		t := r.plan
		e.sched.SetPlan(r.ctx, &t, true)
		// The status is taken after the messages before it, at the present time of the fake clock.
		e.sched.Status(r.ctx, false)
	}
}

// poll reads the load endpoint of the target on a connection of its own.
func (r *leavingRun) poll(e *leavingEntry) {
	if e.gone || e.paused {
		return
	}
	// A round of polls ends whether they are answered or not.
	e.restarted = false
	if !r.polls {
		return
	}
	if r.announced && r.noticed.IsZero() {
		r.noticed = r.now
		r.w.note("the notice reaches entry %s", e.vm)
	}
	e.noted = r.announced
	e.sched.RecordReport(r.ctx, sched.TargetReport{Target: "t1", AsOf: r.now, Leaving: r.announced})
	e.sched.Status(r.ctx, false)
}

// pass lets time pass. Each second, entries send new work, then get the newest plan and poll.
func (r *leavingRun) pass(d time.Duration) {
	for range d / time.Second {
		r.mu.Lock()
		r.now = r.now.Add(time.Second)
		r.mu.Unlock()
		r.take(r.a)
		r.take(r.b)
		r.apply(r.a)
		r.apply(r.b)
		r.poll(r.a)
		r.poll(r.b)
	}
}

// take sends eight requests through an entry. Both targets have slots for all.
func (r *leavingRun) take(e *leavingEntry) {
	defer r.follow()
	for range 8 {
		if e.gone || e.paused || e.restarted {
			return
		}
		slot, err := e.sched.Acquire(r.ctx, sched.Request{
			Service: "orders", Customer: "shop", Deadline: r.now.Add(typical),
		})
		if err != nil {
			r.w.note("%s refuses: %v", e.vm, err)
			continue
		}
		e.slots = append(e.slots, slot)
		if slot.Ref.Name() == "t1" && !r.noticed.IsZero() {
			r.late++
			since := r.now.Sub(r.noticed)
			r.w.ensure(leavingIdle, since < drain.StopNewWork, "entry %s sends new work %s after the notice", e.vm, since)
		}
	}
}

// resume lets a paused entry go on: its scheduler finds its grants void before it has the newest plan.
func (r *leavingRun) resume() {
	if !r.b.paused {
		return
	}
	r.mu.Lock()
	r.b.paused = false
	r.now = r.now.Add(10 * time.Second)
	r.mu.Unlock()
	r.take(r.b)
	r.apply(r.a)
	r.apply(r.b)
}

// follow brings the reports of the entries to the one who follows the target, and checks what it concludes.
func (r *leavingRun) follow() {
	if r.noticed.IsZero() {
		return
	}
	if r.target == nil {
		r.target = drain.NewTargetDrain("t1", r.noticed, []ident.VM{"a", "b"})
	}
	busy := 0
	for _, e := range []*leavingEntry{r.a, r.b} {
		n := 0
		for _, s := range e.slots {
			if s.Ref.Name() == "t1" {
				n++
			}
		}
		busy += n
		switch {
		case e.gone:
			r.target.RemoveEntry(r.now, e.vm)
		case !e.paused:
			r.target.Report(r.now, e.vm, e.noted, n)
		}
	}
	_, done := r.target.Done()
	r.w.ensure(drainedIdle, !done || busy == 0, "the target counts as drained with %d requests in progress", busy)
}

func (r *leavingRun) done(e *leavingEntry) {
	for _, s := range e.slots {
		if !e.paused && !e.gone {
			e.sched.Release(s, typical, route.OK, sched.Traffic{})
		}
	}
	if !e.paused {
		e.slots = nil
	}
	r.follow()
}

func (r *leavingRun) finish() string {
	r.resume()
	r.publishes, r.polls = true, true
	r.take(r.a)
	r.take(r.b)
	r.done(r.a)
	r.done(r.b)
	r.stop()
	if r.noticed.IsZero() {
		return "no notice"
	}
	drained := "not confirmed as drained"
	if _, ok := r.target.Done(); ok {
		drained = "drained"
	}
	return fmt.Sprintf("new work in the first 3 s: %v, %s", r.late > 0, drained)
}
