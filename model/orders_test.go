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
	begin         func(o OrderOwner, now time.Time, id ident.RequestID, deadline time.Time) once.Decision
	claimSend     func(o OrderOwner, now time.Time, id ident.RequestID) bool
	recordAnswer  func(o OrderOwner, now time.Time, id ident.RequestID, resp once.Response) bool
	recordUnknown func(o OrderOwner, now time.Time, id ident.RequestID) bool
	writeDone     func(o OrderOwner, now time.Time, r once.Result) []once.Event
	nextIO        func(o OrderOwner, now time.Time) once.JournalIO
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

func (f faultyOwner) ClaimSend(now time.Time, id ident.RequestID) bool {
	if f.claimSend != nil {
		return f.claimSend(f.OrderOwner, now, id)
	}
	return f.OrderOwner.ClaimSend(now, id)
}

func (f faultyOwner) RecordAnswer(now time.Time, id ident.RequestID, resp once.Response) bool {
	if f.recordAnswer != nil {
		return f.recordAnswer(f.OrderOwner, now, id, resp)
	}
	return f.OrderOwner.RecordAnswer(now, id, resp)
}

func (f faultyOwner) RecordUnknown(now time.Time, id ident.RequestID) bool {
	if f.recordUnknown != nil {
		return f.recordUnknown(f.OrderOwner, now, id)
	}
	return f.OrderOwner.RecordUnknown(now, id)
}

func (f faultyOwner) WriteDone(now time.Time, r once.Result) []once.Event {
	if f.writeDone != nil {
		return f.writeDone(f.OrderOwner, now, r)
	}
	return f.OrderOwner.WriteDone(now, r)
}

func (f faultyOwner) NextIO(now time.Time, interval time.Duration) once.JournalIO {
	if f.nextIO != nil {
		return f.nextIO(f.OrderOwner, now)
	}
	return f.OrderOwner.NextIO(now, interval)
}

// faultySuccessor is a successor with individual functions replaced.
type faultySuccessor struct {
	OrderSuccessor
	headRead func(s OrderSuccessor, h once.Head)
	sealDone func(s OrderSuccessor, r once.Result)
	lookup   func(s OrderSuccessor, now time.Time, id ident.RequestID) once.Decision
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

func (f faultySuccessor) Lookup(now time.Time, id ident.RequestID) once.Decision {
	if f.lookup != nil {
		return f.lookup(f.OrderSuccessor, now, id)
	}
	return f.OrderSuccessor.Lookup(now, id)
}

// batchWrittenOn returns a WriteDone that treats the given outcome as a successful write.
func batchWrittenOn(outcome once.WriteOutcome) func(OrderOwner, time.Time, once.Result) []once.Event {
	return func(o OrderOwner, now time.Time, r once.Result) []once.Event {
		if r.Outcome == outcome {
			r = once.Result{Outcome: once.Written, Version: 9}
		}
		return o.WriteDone(now, r)
	}
}

// sealedOn returns a SealDone that treats the given outcome as a successful write.
func sealedOn(outcome once.WriteOutcome) func(OrderSuccessor, once.Result) {
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
			claimSend: func(o OrderOwner, now time.Time, id ident.RequestID) bool {
				return o.ClaimSend(now, id) || o.Lookup(now, id).Action == once.ActionWait
			}}, faultySuccessor{}, ranTwice},
		{"a repeated direct order is sent again", classD, faultyOwner{
			begin: func(o OrderOwner, now time.Time, id ident.RequestID, deadline time.Time) once.Decision {
				d := o.Begin(now, id, deadline)
				if d.Action == once.ActionUnknown {
					d.Action = once.ActionSend
				}
				return d
			},
			claimSend: func(o OrderOwner, now time.Time, id ident.RequestID) bool {
				return o.ClaimSend(now, id) || o.Lookup(now, id).Action == once.ActionUnknown
			}}, faultySuccessor{}, ranTwice},
		{"a lost batch counts as written", classJ, faultyOwner{writeDone: batchWrittenOn(once.InDoubt)}, faultySuccessor{},
			ranAfterNotRun},
		{"a conflict counts as written", classJ, faultyOwner{writeDone: batchWrittenOn(once.Conflict)}, faultySuccessor{},
			ranAfterNotRun},
		{"a failed batch counts as written", classJ, faultyOwner{writeDone: batchWrittenOn(once.Unreachable)}, faultySuccessor{},
			ranAfterNotRun},
		{"a broken connection counts as not run", classJ, faultyOwner{
			recordUnknown: func(o OrderOwner, now time.Time, id ident.RequestID) bool { return o.RecordNotRun(now, id) },
		}, faultySuccessor{}, ranTwice},
		{"the journal is marked complete at once", classD, faultyOwner{
			nextIO: func(o OrderOwner, now time.Time) once.JournalIO {
				due := o.NextIO(now, 0)
				due.Batch.Final = true
				return due
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
			lookup: func(s OrderSuccessor, now time.Time, id ident.RequestID) once.Decision {
				d := s.Lookup(now, id)
				if d.Action == once.ActionUnknown {
					d.Action = once.ActionRefuse
				}
				return d
			}}, ranAfterNotRun},
		{"an answer to another request is recorded", classJ, faultyOwner{
			recordAnswer: func(o OrderOwner, now time.Time, id ident.RequestID, resp once.Response) bool {
				return o.RecordAnswer(now, id, resp) || o.Lookup(now, id).Action == once.ActionReply
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
