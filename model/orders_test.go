package model

import (
	"testing"
	"time"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/once"
)

var (
	classJ  = []ident.Class{ident.Journalled}
	classD  = []ident.Class{ident.Direct}
	classJD = []ident.Class{ident.Journalled, ident.Direct}
)

// Guards against any interleaving of faults, within the bounds, that runs an order twice, says "not run" of one that
// ran, or replaces an answer.
func TestOrders(t *testing.T) {
	t.Parallel()
	tests := map[string]OrderBounds{
		"journalled":         {Classes: classJ, Submits: 2, Faults: 2, Seconds: 3, Successors: 2},
		"direct":             {Classes: classD, Submits: 2, Faults: 2, Seconds: 2, Successors: 2},
		"journalled, faults": {Classes: classJ, Submits: 2, Faults: 3, Seconds: 3, Successors: 1},
		"journalled, stop":   {Classes: classJ, Submits: 2, Faults: 2, Seconds: 2, Successors: 1, Stop: true},
		"direct, stop":       {Classes: classD, Submits: 2, Faults: 2, Seconds: 2, Successors: 1, Stop: true},
		"two orders, stop":   {Classes: classJD, Submits: 1, Faults: 1, Seconds: 2, Successors: 1, Stop: true},
	}
	for name, b := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := Check(NewOrderSpec(b.small(), nil, nil))
			t.Log(r)
			if r.Violation != nil || !r.Complete || len(r.Missed) > 0 {
				t.Error("want a complete search without violation that reaches every goal")
			}
		})
	}
}

// small returns smaller bounds for the race detector, which makes the search about ten times slower. The search has one
// goroutine, so the detector finds no more in a larger one; the run without it uses the full bounds.
func (b OrderBounds) small() OrderBounds {
	if raceDetector {
		b.Faults, b.Successors = 1, 1
		if len(b.Classes) > 1 {
			b.Seconds = 1
		}
	}
	return b
}

// faultyOrders is an owner with one function replaced.
type faultyOrders struct {
	Orders
	begin     func(o Orders, now time.Time, id ident.RequestID, deadline time.Time) once.Decision
	ready     func(o Orders, now time.Time, id ident.RequestID) bool
	answered  func(o Orders, now time.Time, id ident.RequestID, a once.Answer) bool
	broken    func(o Orders, now time.Time, id ident.RequestID) bool
	batchDone func(o Orders, now time.Time, r once.Result) []once.Event
	nextBatch func(o Orders, now time.Time) once.Work
}

func (f faultyOrders) Copy() Orders {
	f.Orders = f.Orders.Copy()
	return f
}

func (f faultyOrders) Begin(now time.Time, id ident.RequestID, deadline time.Time) once.Decision {
	if f.begin != nil {
		return f.begin(f.Orders, now, id, deadline)
	}
	return f.Orders.Begin(now, id, deadline)
}

func (f faultyOrders) ReadyToSend(now time.Time, id ident.RequestID) bool {
	if f.ready != nil {
		return f.ready(f.Orders, now, id)
	}
	return f.Orders.ReadyToSend(now, id)
}

func (f faultyOrders) Answered(now time.Time, id ident.RequestID, a once.Answer) bool {
	if f.answered != nil {
		return f.answered(f.Orders, now, id, a)
	}
	return f.Orders.Answered(now, id, a)
}

func (f faultyOrders) Broken(now time.Time, id ident.RequestID) bool {
	if f.broken != nil {
		return f.broken(f.Orders, now, id)
	}
	return f.Orders.Broken(now, id)
}

func (f faultyOrders) BatchDone(now time.Time, r once.Result) []once.Event {
	if f.batchDone != nil {
		return f.batchDone(f.Orders, now, r)
	}
	return f.Orders.BatchDone(now, r)
}

func (f faultyOrders) NextBatch(now time.Time, interval time.Duration) once.Work {
	if f.nextBatch != nil {
		return f.nextBatch(f.Orders, now)
	}
	return f.Orders.NextBatch(now, interval)
}

// faultyTakeover is a successor with one function replaced.
type faultyTakeover struct {
	Takeover
	headRead func(s Takeover, h once.Head)
	sealDone func(s Takeover, r once.Result)
	verdict  func(s Takeover, now time.Time, id ident.RequestID) once.Decision
}

func (f faultyTakeover) Copy() Takeover {
	f.Takeover = f.Takeover.Copy()
	return f
}

func (f faultyTakeover) HeadRead(h once.Head) {
	if f.headRead != nil {
		f.headRead(f.Takeover, h)
		return
	}
	f.Takeover.HeadRead(h)
}

func (f faultyTakeover) SealDone(r once.Result) {
	if f.sealDone != nil {
		f.sealDone(f.Takeover, r)
		return
	}
	f.Takeover.SealDone(r)
}

func (f faultyTakeover) Verdict(now time.Time, id ident.RequestID) once.Decision {
	if f.verdict != nil {
		return f.verdict(f.Takeover, now, id)
	}
	return f.Takeover.Verdict(now, id)
}

// countAs returns a BatchDone that takes one outcome for a successful write.
func countAs(outcome once.Outcome) func(Orders, time.Time, once.Result) []once.Event {
	return func(o Orders, now time.Time, r once.Result) []once.Event {
		if r.Outcome == outcome {
			r = once.Result{Outcome: once.Written, Version: 9}
		}
		return o.BatchDone(now, r)
	}
}

// sealAs returns a SealDone that takes one outcome for a successful write.
func sealAs(outcome once.Outcome) func(Takeover, once.Result) {
	return func(s Takeover, r once.Result) {
		if r.Outcome == outcome {
			r = once.Result{Outcome: once.Written, Version: 9}
		}
		s.SealDone(r)
	}
}

// Guards against a specification that can't fail: each fault in the functions under test must yield a counter-example to
// the invariant it breaks.
func TestOrdersFindsFaults(t *testing.T) {
	t.Parallel()
	const twice, notRun, replaced = 0, 1, 2
	tests := []struct {
		name      string
		classes   []ident.Class
		orders    faultyOrders
		takeover  faultyTakeover
		invariant int
	}{
		{"every waiting request claims the order", classJ, faultyOrders{
			ready: func(o Orders, now time.Time, id ident.RequestID) bool {
				return o.ReadyToSend(now, id) || o.Find(now, id).Do == once.DoWait
			}}, faultyTakeover{}, twice},
		{"a repeated direct order is sent again", classD, faultyOrders{
			begin: func(o Orders, now time.Time, id ident.RequestID, deadline time.Time) once.Decision {
				d := o.Begin(now, id, deadline)
				if d.Do == once.DoUnknown {
					d.Do = once.DoSend
				}
				return d
			},
			ready: func(o Orders, now time.Time, id ident.RequestID) bool {
				return o.ReadyToSend(now, id) || o.Find(now, id).Do == once.DoUnknown
			}}, faultyTakeover{}, twice},
		{"a lost batch counts as written", classJ, faultyOrders{batchDone: countAs(once.InDoubt)}, faultyTakeover{}, notRun},
		{"a conflict counts as written", classJ, faultyOrders{batchDone: countAs(once.Conflict)}, faultyTakeover{}, notRun},
		{"a failed batch counts as written", classJ, faultyOrders{batchDone: countAs(once.Down)}, faultyTakeover{}, notRun},
		{"a broken connection counts as not run", classJ, faultyOrders{
			broken: func(o Orders, now time.Time, id ident.RequestID) bool { return o.NotRun(now, id) },
		}, faultyTakeover{}, twice},
		{"the journal is marked complete at once", classD, faultyOrders{
			nextBatch: func(o Orders, now time.Time) once.Work {
				w := o.NextBatch(now, 0)
				w.Batch.Final = true
				return w
			}}, faultyTakeover{}, notRun},
		{"a successor decides without a seal", classJ, faultyOrders{}, faultyTakeover{
			headRead: func(s Takeover, h once.Head) {
				h.State = once.Sealed
				s.HeadRead(h)
			}}, notRun},
		{"a lost seal counts as written", classJ, faultyOrders{}, faultyTakeover{sealDone: sealAs(once.InDoubt)}, notRun},
		{"a seal that conflicts counts as written", classJ, faultyOrders{}, faultyTakeover{sealDone: sealAs(once.Conflict)}, notRun},
		{"an order without outcome counts as not run", classJD, faultyOrders{}, faultyTakeover{
			verdict: func(s Takeover, now time.Time, id ident.RequestID) once.Decision {
				d := s.Verdict(now, id)
				if d.Do == once.DoUnknown {
					d.Do = once.DoRefuse
				}
				return d
			}}, notRun},
		{"an answer to another request is recorded", classJ, faultyOrders{
			answered: func(o Orders, now time.Time, id ident.RequestID, a once.Answer) bool {
				return o.Answered(now, id, a) || o.Find(now, id).Do == once.DoReply
			}}, faultyTakeover{}, replaced},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			spec := NewOrderSpec(
				OrderBounds{Classes: tt.classes, Submits: 2, Faults: 1, Seconds: 3, Successors: 1, Stop: true},
				func(o Orders) Orders { tt.orders.Orders = o; return tt.orders },
				func(s Takeover) Takeover { tt.takeover.Takeover = s; return tt.takeover })
			r := Check(spec)
			if r.Violation == nil || r.Violation.Invariant != spec.Invariants[tt.invariant].Name {
				t.Fatalf("want a violation of %q, got %s", spec.Invariants[tt.invariant].Name, r)
			}
			t.Log(r)
		})
	}
}
