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

// scheduler is the part of sched.Scheduler used by the leaving protocol.
type scheduler interface {
	SetPlan(ctx context.Context, t *plan.TrafficPlan, confirmed bool) bool
	RecordReport(ctx context.Context, o sched.TargetReport) bool
	Acquire(ctx context.Context, r sched.Request) (sched.Slot, error)
	Status(ctx context.Context, restart bool) (sched.Status, bool)
	Release(slot sched.Slot, latency time.Duration, res route.Result, traffic sched.Traffic)
}

// leavingEntry is one entry with its own scheduler.
type leavingEntry struct {
	vm    ident.VM
	sched scheduler
	// slots holds the slots of the requests in progress.
	slots                []sched.Slot
	gone, paused, silent bool
	// pausedAt is the time that the clock of a paused entry returns.
	pausedAt time.Time
	// noticeSeen is set if the process has polled the notice, unpolled from a restart until the first poll after it.
	noticeSeen, unpolled bool
}

// leavingRun has two targets, of which t1 leaves and t2 stays, two entries and the lease holder.
type leavingRun struct {
	sim  *simulation
	mu   sync.Mutex
	now  time.Time
	ctx  context.Context
	stop func()
	a, b *leavingEntry
	plan plan.TrafficPlan
	// announced is set if the target returns the notice to polls, pollsAnswered if polls get an answer.
	announced, pollsAnswered bool
	// holderNotified is set if the lease holder has been notified, canPublish if it can publish.
	holderNotified, canPublish bool
	// noticedAt is the time at which the first entry polled the notice; zero before that.
	noticedAt time.Time
	// sentAfterNotice is the number of requests sent to t1 after that time.
	sentAfterNotice int
	// target tracks the reports of the entries; nil before the notice.
	target *drain.TargetDrain
}

// typicalServiceTime is the service time that admit.New assumes. A request with no more time than this until its
// deadline is refused instead of queued, so that no run blocks on a slot.
const typicalServiceTime = 20 * time.Millisecond

var leavingProtocol = protocol{name: "leaving upstream", checks: []check{leavingGetsNoWork, drainedMeansIdle}, slow: true,
	start: startLeaving}

func startLeaving(sim *simulation) *scenario {
	r := &leavingRun{sim: sim, now: sim.now, pollsAnswered: true, canPublish: true}
	r.ctx, r.stop = context.WithCancel(context.Background())
	r.a, r.b = r.newEntry("a"), r.newEntry("b")
	r.publish(false)
	reason := "a leaving upstream is not a configuration, and the notice needs no answer of the store"
	return &scenario{
		steps: []step{
			{"serve", func() { r.sendRequests(r.a); r.sendRequests(r.b) }},
			{"announce", func() { r.announced = true }},
			{"poll at one entry", func() { r.poll(r.a) }},
			{"report", func() { r.holderNotified = r.a.noticeSeen && !r.a.gone }},
			{"publish the plan", func() { r.publish(r.holderNotified) }},
			{"poll at the other entry", func() { r.advance(time.Second); r.poll(r.b) }},
			{"new work", func() { r.sendRequests(r.a); r.sendRequests(r.b) }},
			{"platform lists it", func() { r.advance(time.Second); r.holderNotified = true; r.publish(true) }},
			{"three seconds later", func() { r.advance(3 * time.Second) }},
			{"resume", r.resume},
			{"more work", func() { r.sendRequests(r.a); r.sendRequests(r.b) }},
			{"finish", func() { r.finishRequests(r.a); r.finishRequests(r.b) }},
		},
		inject: map[fault]func(){
			measurementsStop: func() { r.pollsAnswered = false },
			processDies:      r.restart,
			regionFails:      func() { r.a.gone = true; r.a.slots = nil },
			storeDown:        func() { r.canPublish = false },
			storeSlow:        func() { r.canPublish = sim.randomBool() },
			pausedHolder:     func() { r.b.pause(r) },
			silentConnection: func() { r.b.silent = true },
		},
		notApplicable: map[fault]string{operatorConflict: reason, answerLost: reason},
		finish:        r.finish,
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

// newEntry starts the scheduler of an entry. Its only goroutine runs until finish cancels the context.
func (r *leavingRun) newEntry(vm ident.VM) *leavingEntry {
	e := &leavingEntry{vm: vm}
	s := sched.New(vm, ident.Place{Region: "east", Domain: "east-a"}, rand.NewPCG(r.sim.rnd.Uint64(), 1),
		metrics.NewRegistry(), func() time.Time { return e.clock(r) })
	go func() { _ = s.Run(r.ctx) }()
	s.SetConfig(r.ctx, &lists.Config{
		Version: 1, Customers: []lists.CustomerPlan{{Customer: "shop", Plan: "basic"}},
		Uses: []lists.Use{{Plan: "basic", Service: "orders", Rate: 100_000, Weight: 1}},
	}, 2)
	e.sched = wrapScheduler(r.sim, s)
	return e
}

// restart replaces the process of entry a. The new one serves only after its first round of polls, as the readiness of
// package entry requires.
func (r *leavingRun) restart() {
	gone := r.a.gone
	r.a = r.newEntry("a")
	r.a.gone, r.a.unpolled = gone, true
	r.apply(r.a)
}

// publish makes the next plan, if it can be published, and delivers the newest one. A leaving target gets no grants.
func (r *leavingRun) publish(leaving bool) {
	if r.canPublish && (r.plan.Version == 0 || leaving) {
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

// apply delivers the newest plan to an entry. The plan counts as confirmed, as one that is read again after a pause.
func (r *leavingRun) apply(e *leavingEntry) {
	if !e.gone && !e.paused && (!e.silent || r.plan.Version == 1) {
		t := r.plan
		e.sched.SetPlan(r.ctx, &t, true)
		// Status waits until the scheduler has handled the messages before it, while the fake clock stands still.
		e.sched.Status(r.ctx, false)
	}
}

// poll reads the load endpoint of t1 on a separate connection, which the silent connection fault does not affect.
func (r *leavingRun) poll(e *leavingEntry) {
	if e.gone || e.paused {
		return
	}
	// A round of polls is complete even if none is answered.
	e.unpolled = false
	if !r.pollsAnswered {
		return
	}
	if r.announced && r.noticedAt.IsZero() {
		r.noticedAt = r.now
		r.sim.logf("the notice reaches entry %s", e.vm)
	}
	e.noticeSeen = r.announced
	e.sched.RecordReport(r.ctx, sched.TargetReport{Target: "t1", AsOf: r.now, Leaving: r.announced})
	e.sched.Status(r.ctx, false)
}

// advance moves the clock in steps of 1 s. At each step the entries send new work, get the newest plan and poll.
func (r *leavingRun) advance(d time.Duration) {
	for range d / time.Second {
		r.mu.Lock()
		r.now = r.now.Add(time.Second)
		r.mu.Unlock()
		r.sendRequests(r.a)
		r.sendRequests(r.b)
		r.apply(r.a)
		r.apply(r.b)
		r.poll(r.a)
		r.poll(r.b)
	}
}

// sendRequests sends eight requests through an entry. Each target has enough slots for all.
func (r *leavingRun) sendRequests(e *leavingEntry) {
	defer r.trackDrain()
	for range 8 {
		if e.gone || e.paused || e.unpolled {
			return
		}
		slot, err := e.sched.Acquire(r.ctx, sched.Request{
			Service: "orders", Customer: "shop", Deadline: r.now.Add(typicalServiceTime),
		})
		if err != nil {
			r.sim.logf("%s refuses: %v", e.vm, err)
			continue
		}
		e.slots = append(e.slots, slot)
		if slot.Ref.Name() == "t1" && !r.noticedAt.IsZero() {
			r.sentAfterNotice++
			since := r.now.Sub(r.noticedAt)
			r.sim.ensure(leavingGetsNoWork, since < drain.StopNewWork, "entry %s sends new work %s after the notice",
				e.vm, since)
		}
	}
}

// resume resumes the paused entry b 10 s later. Its scheduler gets requests before the newest plan, when its old grants
// are void.
func (r *leavingRun) resume() {
	if !r.b.paused {
		return
	}
	r.mu.Lock()
	r.b.paused = false
	r.now = r.now.Add(10 * time.Second)
	r.mu.Unlock()
	r.sendRequests(r.b)
	r.apply(r.a)
	r.apply(r.b)
}

// trackDrain reports the requests in progress of each entry to the drain.TargetDrain and checks its conclusion.
func (r *leavingRun) trackDrain() {
	if r.noticedAt.IsZero() {
		return
	}
	if r.target == nil {
		r.target = drain.NewTargetDrain("t1", r.noticedAt, []ident.VM{"a", "b"})
	}
	inProgress := 0
	for _, e := range []*leavingEntry{r.a, r.b} {
		n := 0
		for _, s := range e.slots {
			if s.Ref.Name() == "t1" {
				n++
			}
		}
		inProgress += n
		switch {
		case e.gone:
			r.target.RemoveEntry(r.now, e.vm)
		case !e.paused:
			r.target.Report(r.now, e.vm, e.noticeSeen, n)
		}
	}
	_, done := r.target.Done()
	r.sim.ensure(drainedMeansIdle, !done || inProgress == 0, "the target counts as drained with %d requests in progress",
		inProgress)
}

// finishRequests ends the requests in progress of an entry. A paused entry keeps them.
func (r *leavingRun) finishRequests(e *leavingEntry) {
	for _, s := range e.slots {
		if !e.paused && !e.gone {
			e.sched.Release(s, typicalServiceTime, route.OK, sched.Traffic{})
		}
	}
	if !e.paused {
		e.slots = nil
	}
	r.trackDrain()
}

func (r *leavingRun) finish() string {
	r.resume()
	r.canPublish, r.pollsAnswered = true, true
	r.sendRequests(r.a)
	r.sendRequests(r.b)
	r.finishRequests(r.a)
	r.finishRequests(r.b)
	r.stop()
	if r.noticedAt.IsZero() {
		return "no notice"
	}
	drained := "not confirmed as drained"
	if _, ok := r.target.Done(); ok {
		drained = "drained"
	}
	return fmt.Sprintf("new work in the first 3 s: %v, %s", r.sentAfterNotice > 0, drained)
}
