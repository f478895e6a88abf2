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

// Guards against any interleaving of faults, within the bounds, in which an order runs twice or after it was reported
// as not run, or an answer is replaced.
func TestOrders(t *testing.T) {
	t.Parallel()
	tests := map[string]OrderBounds{
		"journalled":         {Classes: classJ, SubmitsPerOrder: 2, Faults: 2, Seconds: 3, Successors: 2},
		"direct":             {Classes: classD, SubmitsPerOrder: 2, Faults: 2, Seconds: 2, Successors: 2},
		"journalled, faults": {Classes: classJ, SubmitsPerOrder: 2, Faults: 3, Seconds: 3, Successors: 1},
		"journalled, stop":   {Classes: classJ, SubmitsPerOrder: 2, Faults: 2, Seconds: 2, Successors: 1, PlannedStop: true},
		"direct, stop":       {Classes: classD, SubmitsPerOrder: 2, Faults: 2, Seconds: 2, Successors: 1, PlannedStop: true},
		"two orders, stop":   {Classes: classJD, SubmitsPerOrder: 1, Faults: 1, Seconds: 2, Successors: 1, PlannedStop: true},
	}
	for name, b := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := Check(NewOrderSpec(b.reduceForRace(), nil, nil))
			t.Log(r)
			if r.Violation != nil || !r.Complete || len(r.Unreached) > 0 {
				t.Error("want a complete search without violation that reaches every goal")
			}
		})
	}
}

// reduceForRace reduces the bounds under the race detector, which makes the search about ten times slower. The search
// has one goroutine, so the detector finds no more with larger bounds; runs without it use the full bounds.
func (b OrderBounds) reduceForRace() OrderBounds {
	if raceDetector {
		b.Faults, b.Successors = 1, 1
		if len(b.Classes) > 1 {
			b.Seconds = 1
		}
	}
	return b
}

// faultyOwner is an owner with individual functions replaced.
type faultyOwner struct {
	OrderOwner
	begin     func(o OrderOwner, now time.Time, id ident.RequestID, deadline time.Time) once.Decision
	ready     func(o OrderOwner, now time.Time, id ident.RequestID) bool
	answered  func(o OrderOwner, now time.Time, id ident.RequestID, a once.Answer) bool
	broken    func(o OrderOwner, now time.Time, id ident.RequestID) bool
	batchDone func(o OrderOwner, now time.Time, r once.Result) []once.Event
	nextBatch func(o OrderOwner, now time.Time) once.Work
}

func (f faultyOwner) Copy() OrderOwner {
	f.OrderOwner = f.OrderOwner.Copy()
	return f
}

func (f faultyOwner) Begin(now time.Time, id ident.RequestID, deadline time.Time) once.Decision {
	if f.begin != nil {
		return f.begin(f.OrderOwner, now, id, deadline)
	}
	return f.OrderOwner.Begin(now, id, deadline)
}

func (f faultyOwner) ReadyToSend(now time.Time, id ident.RequestID) bool {
	if f.ready != nil {
		return f.ready(f.OrderOwner, now, id)
	}
	return f.OrderOwner.ReadyToSend(now, id)
}

func (f faultyOwner) Answered(now time.Time, id ident.RequestID, a once.Answer) bool {
	if f.answered != nil {
		return f.answered(f.OrderOwner, now, id, a)
	}
	return f.OrderOwner.Answered(now, id, a)
}

func (f faultyOwner) Broken(now time.Time, id ident.RequestID) bool {
	if f.broken != nil {
		return f.broken(f.OrderOwner, now, id)
	}
	return f.OrderOwner.Broken(now, id)
}

func (f faultyOwner) BatchDone(now time.Time, r once.Result) []once.Event {
	if f.batchDone != nil {
		return f.batchDone(f.OrderOwner, now, r)
	}
	return f.OrderOwner.BatchDone(now, r)
}

func (f faultyOwner) NextBatch(now time.Time, interval time.Duration) once.Work {
	if f.nextBatch != nil {
		return f.nextBatch(f.OrderOwner, now)
	}
	return f.OrderOwner.NextBatch(now, interval)
}

// faultySuccessor is a successor with individual functions replaced.
type faultySuccessor struct {
	OrderSuccessor
	headRead func(s OrderSuccessor, h once.Head)
	sealDone func(s OrderSuccessor, r once.Result)
	verdict  func(s OrderSuccessor, now time.Time, id ident.RequestID) once.Decision
}

func (f faultySuccessor) Copy() OrderSuccessor {
	f.OrderSuccessor = f.OrderSuccessor.Copy()
	return f
}

func (f faultySuccessor) HeadRead(h once.Head) {
	if f.headRead != nil {
		f.headRead(f.OrderSuccessor, h)
		return
	}
	f.OrderSuccessor.HeadRead(h)
}

func (f faultySuccessor) SealDone(r once.Result) {
	if f.sealDone != nil {
		f.sealDone(f.OrderSuccessor, r)
		return
	}
	f.OrderSuccessor.SealDone(r)
}

func (f faultySuccessor) Verdict(now time.Time, id ident.RequestID) once.Decision {
	if f.verdict != nil {
		return f.verdict(f.OrderSuccessor, now, id)
	}
	return f.OrderSuccessor.Verdict(now, id)
}

// batchWrittenOn returns a BatchDone that treats the given outcome as a successful write.
func batchWrittenOn(outcome once.Outcome) func(OrderOwner, time.Time, once.Result) []once.Event {
	return func(o OrderOwner, now time.Time, r once.Result) []once.Event {
		if r.Outcome == outcome {
			r = once.Result{Outcome: once.Written, Version: 9}
		}
		return o.BatchDone(now, r)
	}
}

// sealedOn returns a SealDone that treats the given outcome as a successful write.
func sealedOn(outcome once.Outcome) func(OrderSuccessor, once.Result) {
	return func(s OrderSuccessor, r once.Result) {
		if r.Outcome == outcome {
			r = once.Result{Outcome: once.Written, Version: 9}
		}
		s.SealDone(r)
	}
}

// Guards against a specification that can't fail: each fault in the functions under test must violate its invariant.
func TestOrdersFindsFaults(t *testing.T) {
	t.Parallel()
	const ranTwice, ranAfterNotRun, answerReplaced = 0, 1, 2
	tests := []struct {
		name      string
		classes   []ident.Class
		orders    faultyOwner
		takeover  faultySuccessor
		invariant int
	}{
		{"every waiting request sends the order", classJ, faultyOwner{
			ready: func(o OrderOwner, now time.Time, id ident.RequestID) bool {
				return o.ReadyToSend(now, id) || o.Find(now, id).Do == once.DoWait
			}}, faultySuccessor{}, ranTwice},
		{"a repeated direct order is sent again", classD, faultyOwner{
			begin: func(o OrderOwner, now time.Time, id ident.RequestID, deadline time.Time) once.Decision {
				d := o.Begin(now, id, deadline)
				if d.Do == once.DoUnknown {
					d.Do = once.DoSend
				}
				return d
			},
			ready: func(o OrderOwner, now time.Time, id ident.RequestID) bool {
				return o.ReadyToSend(now, id) || o.Find(now, id).Do == once.DoUnknown
			}}, faultySuccessor{}, ranTwice},
		{"a lost batch counts as written", classJ, faultyOwner{batchDone: batchWrittenOn(once.InDoubt)}, faultySuccessor{},
			ranAfterNotRun},
		{"a conflict counts as written", classJ, faultyOwner{batchDone: batchWrittenOn(once.Conflict)}, faultySuccessor{},
			ranAfterNotRun},
		{"a failed batch counts as written", classJ, faultyOwner{batchDone: batchWrittenOn(once.Down)}, faultySuccessor{},
			ranAfterNotRun},
		{"a broken connection counts as not run", classJ, faultyOwner{
			broken: func(o OrderOwner, now time.Time, id ident.RequestID) bool { return o.NotRun(now, id) },
		}, faultySuccessor{}, ranTwice},
		{"the journal is marked complete at once", classD, faultyOwner{
			nextBatch: func(o OrderOwner, now time.Time) once.Work {
				w := o.NextBatch(now, 0)
				w.Batch.Final = true
				return w
			}}, faultySuccessor{}, ranAfterNotRun},
		{"a successor decides without a seal", classJ, faultyOwner{}, faultySuccessor{
			headRead: func(s OrderSuccessor, h once.Head) {
				h.State = once.Sealed
				s.HeadRead(h)
			}}, ranAfterNotRun},
		{"a lost seal counts as written", classJ, faultyOwner{}, faultySuccessor{sealDone: sealedOn(once.InDoubt)}, ranAfterNotRun},
		{"a seal that conflicts counts as written", classJ, faultyOwner{}, faultySuccessor{sealDone: sealedOn(once.Conflict)},
			ranAfterNotRun},
		{"an order without outcome counts as not run", classJD, faultyOwner{}, faultySuccessor{
			verdict: func(s OrderSuccessor, now time.Time, id ident.RequestID) once.Decision {
				d := s.Verdict(now, id)
				if d.Do == once.DoUnknown {
					d.Do = once.DoRefuse
				}
				return d
			}}, ranAfterNotRun},
		{"an answer to another request is recorded", classJ, faultyOwner{
			answered: func(o OrderOwner, now time.Time, id ident.RequestID, a once.Answer) bool {
				return o.Answered(now, id, a) || o.Find(now, id).Do == once.DoReply
			}}, faultySuccessor{}, answerReplaced},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			spec := NewOrderSpec(
				OrderBounds{Classes: tt.classes, SubmitsPerOrder: 2, Faults: 1, Seconds: 3, Successors: 1, PlannedStop: true},
				func(o OrderOwner) OrderOwner { tt.orders.OrderOwner = o; return tt.orders },
				func(s OrderSuccessor) OrderSuccessor { tt.takeover.OrderSuccessor = s; return tt.takeover })
			r := Check(spec)
			if r.Violation == nil || r.Violation.Invariant != spec.Invariants[tt.invariant].Name {
				t.Fatalf("want a violation of %q, got %s", spec.Invariants[tt.invariant].Name, r)
			}
			t.Log(r)
		})
	}
}
