package faults

import (
	"context"
	"testing"
	"time"

	"github.com/currantpier/currantpier/drain"
	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/once"
	"github.com/currantpier/currantpier/relay"
	"github.com/currantpier/currantpier/retry"
	"github.com/currantpier/currantpier/sched"
	"github.com/currantpier/currantpier/share"
	"github.com/currantpier/currantpier/shift"
)

// The decisions that are broken on purpose.
const (
	uncapped     = "a follower that takes over new weights at once"
	reuseLoan    = "a lender that uses a slot that it has lent"
	forgetLoans  = "a restarted entry that does not wait for the loans of its predecessor"
	ignorePause  = "an entry that uses its old grants after a pause"
	misdeliver   = "an owner that gives a late answer to the order that waits"
	sendEarly    = "an owner that sends before the journal write"
	sendAgain    = "an owner that sends a repeated order again"
	retryWritten = "a retry of an order of which bytes were written"
	ignoreNotice = "an entry that heeds the plan alone and not the notice of a target"
	hasty        = "a stop that ends as soon as lookups have expired"
	takeOlder    = "a node that takes an older version"
	keepAccepted = "a node that keeps an accepted version to itself"
)

// breaks lists each broken decision with the check that must report it.
var breaks = []struct {
	name     string
	protocol protocol
	check    check
}{
	{uncapped, shiftProtocol, capHolds},
	{reuseLoan, shareProtocol, slotsHold},
	{forgetLoans, shareProtocol, loanOutlives},
	{ignorePause, shareProtocol, slotsHold},
	{misdeliver, orderProtocol('j'), ownAnswer},
	{sendEarly, orderProtocol('j'), refusalTrue},
	{sendAgain, orderProtocol('j'), atMostOnce},
	{retryWritten, retryProtocol(retry.Order, "order"), atMostOnce},
	{ignoreNotice, leavingProtocol, leavingIdle},
	{hasty, stopProtocol, nothingCut},
	{takeOlder, configProtocol, neverReverts},
	{keepAccepted, configProtocol, inForce},
}

// Guards against a check that reports nothing: every broken decision must be reported by its check in some run with a
// single fault. TestMatrix says that no such run is reported without the break.
func TestBreaks(t *testing.T) {
	for _, br := range breaks {
		t.Run(br.name, func(t *testing.T) {
			t.Parallel()
			if !anyRun(br.protocol, br.name, br.check) {
				t.Errorf("no run of %s reports %s", br.protocol.name, br.check)
			}
		})
	}
}

// anyRun reports whether the check reports a run with at most one fault.
func anyRun(p protocol, wrong string, c check) bool {
	s := p.start(newWorld(0, ""))
	for seed := range p.seeds() {
		for i := range s.steps {
			for _, f := range allFaults {
				if _, none := s.noInput[f]; none {
					continue
				}
				if w, _ := run(p, seed, wrong, place{f, i}); w.reported(c) {
					return true
				}
			}
		}
	}
	return false
}

type uncappedFollower struct {
	version ident.Version
	weights []shift.Weight
}

func breakFollower(w *world, f *shift.WeightLimiter) follower {
	if w.wrong == uncapped {
		return &uncappedFollower{}
	}
	return f
}

func (f *uncappedFollower) Set(version ident.Version, weights []shift.Weight) bool {
	if version > f.version {
		f.version, f.weights = version, weights
	}
	return true
}

func (f *uncappedFollower) Weights(time.Time) []shift.Weight { return f.weights }

type forgetfulLender struct{ slotHolder }

func (h forgetfulLender) Lend(now time.Time, l share.Loan) bool {
	return h.slotHolder.Lend(now, l) && h.EndLoan(l.Borrower, l.Incarnation, l.ID)
}

// unvoidHolder puts its last grants in force again whenever it takes a slot.
type unvoidHolder struct {
	slotHolder
	grants  []share.Grant
	version ident.Version
}

func (h *unvoidHolder) Apply(now time.Time, grants []share.Grant, version ident.Version) bool {
	h.grants, h.version = grants, version
	return h.slotHolder.Apply(now, grants, version)
}

func (h *unvoidHolder) TryTake(now time.Time, target ident.Target) bool {
	h.slotHolder.Apply(now, h.grants, h.version)
	return h.slotHolder.TryTake(now, target)
}

func breakHolder(w *world, h *share.Holder) slotHolder {
	switch w.wrong {
	case reuseLoan:
		return forgetfulLender{h}
	case ignorePause:
		return &unvoidHolder{slotHolder: h}
	}
	return h
}

// misdeliverer gives an answer that its order does not take to the order that was claimed last.
type misdeliverer struct {
	orderOwner
	claimed ident.RequestID
}

func (o *misdeliverer) ReadyToSend(now time.Time, id ident.RequestID) bool {
	o.claimed = id
	return o.orderOwner.ReadyToSend(now, id)
}

func (o *misdeliverer) Answered(now time.Time, id ident.RequestID, a once.Answer) bool {
	return o.orderOwner.Answered(now, id, a) || o.orderOwner.Answered(now, o.claimed, a)
}

// earlySender lets an order be sent while its journal write is not resolved.
type earlySender struct{ orderOwner }

func (o earlySender) ReadyToSend(now time.Time, id ident.RequestID) bool {
	waits := o.Find(now, id).Do == once.DoWait
	return o.orderOwner.ReadyToSend(now, id) || waits
}

// repeatedSender sends an order for each request.
type repeatedSender struct{ orderOwner }

func (o repeatedSender) Begin(now time.Time, id ident.RequestID, deadline time.Time) once.Decision {
	d := o.orderOwner.Begin(now, id, deadline)
	if d.Do == once.DoReply {
		d.Do = once.DoSend
	}
	return d
}

func (o repeatedSender) ReadyToSend(now time.Time, id ident.RequestID) bool {
	return o.orderOwner.ReadyToSend(now, id) || o.Find(now, id).Do == once.DoReply
}

func breakOwner(w *world, o *once.Owner) orderOwner {
	switch w.wrong {
	case misdeliver:
		return &misdeliverer{orderOwner: o}
	case sendEarly:
		return earlySender{o}
	case sendAgain:
		return repeatedSender{o}
	}
	return o
}

func breakRetry(w *world) decider {
	return func(c *retry.Call, now time.Time, f retry.Failure, written bool, b *retry.Budget) retry.Verdict {
		return c.Next(now, f, written && w.wrong != retryWritten, b)
	}
}

type planOnly struct{ scheduler }

func (s planOnly) RecordReport(ctx context.Context, o sched.TargetReport) bool {
	o.Leaving = false
	return s.scheduler.RecordReport(ctx, o)
}

func breakScheduler(w *world, s *sched.Scheduler) scheduler {
	if w.wrong == ignoreNotice {
		return planOnly{s}
	}
	return s
}

type hastyStop struct{ stopSequence }

func (s hastyStop) Advance(now time.Time, inFlight int, handedOver bool) drain.Phase {
	if p := s.stopSequence.Advance(now, inFlight, handedOver); p < drain.Finishing {
		return p
	}
	return drain.Exit
}

func breakStop(w *world, s *drain.Stop) stopSequence {
	if w.wrong == hasty {
		return hastyStop{s}
	}
	return s
}

// olderNode keeps the document that was offered last, whatever its version.
type olderNode struct {
	disseminator
	last relay.Document
}

func (n *olderNode) HandlePush(now time.Time, doc relay.Document) bool {
	n.last = doc
	return n.disseminator.HandlePush(now, doc)
}

func (n *olderNode) Current(k relay.Kind) relay.Document {
	if n.last.Kind == k {
		return n.last
	}
	return n.disseminator.Current(k)
}

// keeper neither pushes a document nor answers a fetch.
type keeper struct{ disseminator }

func (n keeper) Next(now time.Time, dst []relay.Action) []relay.Action {
	for _, a := range n.disseminator.Next(now, nil) {
		if a.Op != relay.Push {
			dst = append(dst, a)
		}
	}
	return dst
}

func (n keeper) NewerThan(k relay.Kind, _ ident.Version) (relay.Document, bool) {
	return relay.Document{Kind: k}, false
}

func breakNode(w *world, n *relay.Node) disseminator {
	switch w.wrong {
	case takeOlder:
		return &olderNode{disseminator: n}
	case keepAccepted:
		return keeper{n}
	}
	return n
}
