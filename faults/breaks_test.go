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

// Names of the deliberately broken decisions, as printed on the page.
const (
	uncappedShift     = "a follower that takes over new weights at once"
	useLentSlot       = "a lender that uses a slot that it has lent"
	ignoreOldLoans    = "a restarted entry that does not wait for the loans of its predecessor"
	useVoidGrants     = "an entry that uses its old grants after a pause"
	misdeliverAnswer  = "an owner that gives a late answer to the order that waits"
	sendBeforeJournal = "an owner that sends before the journal write"
	resendOrder       = "an owner that sends a repeated order again"
	retryWritten      = "a retry of an order of which bytes were written"
	ignoreNotice      = "an entry that heeds the plan alone and not the notice of a target"
	exitEarly         = "a stop that ends as soon as lookups have expired"
	acceptOlder       = "a node that takes an older version"
	withholdAccepted  = "a node that keeps an accepted version to itself"
)

// breaks lists each broken decision with a protocol that uses it and the check that must detect it.
var breaks = []struct {
	name     string
	protocol protocol
	check    check
}{
	{uncappedShift, shiftProtocol, withinCap},
	{useLentSlot, shareProtocol, withinSlots},
	{ignoreOldLoans, shareProtocol, loanSurvivesRestart},
	{useVoidGrants, shareProtocol, withinSlots},
	{misdeliverAnswer, orderProtocol('j'), ownAnswer},
	{sendBeforeJournal, orderProtocol('j'), notRunIsTrue},
	{resendOrder, orderProtocol('j'), atMostOnce},
	{retryWritten, retryProtocol(retry.Order, "order"), atMostOnce},
	{ignoreNotice, leavingProtocol, leavingGetsNoWork},
	{exitEarly, stopProtocol, stopInterruptsNothing},
	{acceptOlder, configProtocol, versionNeverReverts},
	{withholdAccepted, configProtocol, configInForce},
}

// Guards against a check that detects nothing: each broken decision must breach its check in some run with a single
// fault. TestMatrix shows that the same runs have no breach without the break.
func TestBreaks(t *testing.T) {
	for _, br := range breaks {
		t.Run(br.name, func(t *testing.T) {
			t.Parallel()
			if !anyBreach(br.protocol, br.name, br.check) {
				t.Errorf("no run of %s reports %s", br.protocol.name, br.check)
			}
		})
	}
}

// anyBreach reports whether some run with a single fault breaches the check.
func anyBreach(p protocol, broken string, c check) bool {
	s := p.start(newSimulation(0, ""))
	for seed := range p.seeds() {
		for i := range s.steps {
			for _, f := range allFaults {
				if _, skip := s.notApplicable[f]; skip {
					continue
				}
				if sim, _ := run(p, seed, broken, injection{f, i}); sim.breached(c) {
					return true
				}
			}
		}
	}
	return false
}

// uncappedFollower applies new weights at once instead of in capped steps.
type uncappedFollower struct {
	version ident.Version
	weights []shift.Weight
}

// wrapFollower and the other wrap functions return the production decision, or its broken form if the run selects that.
func wrapFollower(sim *simulation, f *shift.WeightLimiter) follower {
	if sim.broken == uncappedShift {
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

// lentSlotUser takes each loan back as soon as it has been granted, so that lender and borrower both use the slot.
type lentSlotUser struct{ slotHolder }

func (h lentSlotUser) Lend(now time.Time, l share.Loan) bool {
	return h.slotHolder.Lend(now, l) && h.EndLoan(l.Borrower, l.Incarnation, l.ID)
}

// staleGrantHolder reapplies its last grants before it takes a slot, so that a pause does not void them.
type staleGrantHolder struct {
	slotHolder
	grants  []share.Grant
	version ident.Version
}

func (h *staleGrantHolder) Apply(now time.Time, grants []share.Grant, version ident.Version) bool {
	h.grants, h.version = grants, version
	return h.slotHolder.Apply(now, grants, version)
}

func (h *staleGrantHolder) TryTake(now time.Time, target ident.Target) bool {
	h.slotHolder.Apply(now, h.grants, h.version)
	return h.slotHolder.TryTake(now, target)
}

func wrapHolder(sim *simulation, h *share.Holder) slotHolder {
	switch sim.broken {
	case useLentSlot:
		return lentSlotUser{h}
	case useVoidGrants:
		return &staleGrantHolder{slotHolder: h}
	}
	return h
}

// misdeliveringOwner passes an answer that its own order rejects to the order that was claimed last.
type misdeliveringOwner struct {
	orderOwner
	claimed ident.RequestID
}

func (o *misdeliveringOwner) ClaimSend(now time.Time, id ident.RequestID) bool {
	o.claimed = id
	return o.orderOwner.ClaimSend(now, id)
}

func (o *misdeliveringOwner) RecordAnswer(now time.Time, id ident.RequestID, resp once.Response) bool {
	return o.orderOwner.RecordAnswer(now, id, resp) || o.orderOwner.RecordAnswer(now, o.claimed, resp)
}

// earlySendingOwner allows an order to be sent while its journal write is pending.
type earlySendingOwner struct{ orderOwner }

func (o earlySendingOwner) ClaimSend(now time.Time, id ident.RequestID) bool {
	waits := o.Lookup(now, id).Action == once.ActionWait
	return o.orderOwner.ClaimSend(now, id) || waits
}

// resendingOwner sends an order again when a repeated request should get the recorded answer.
type resendingOwner struct{ orderOwner }

func (o resendingOwner) Begin(now time.Time, id ident.RequestID, deadline time.Time) once.Decision {
	d := o.orderOwner.Begin(now, id, deadline)
	if d.Action == once.ActionReply {
		d.Action = once.ActionSend
	}
	return d
}

func (o resendingOwner) ClaimSend(now time.Time, id ident.RequestID) bool {
	return o.orderOwner.ClaimSend(now, id) || o.Lookup(now, id).Action == once.ActionReply
}

func wrapOwner(sim *simulation, o *once.Owner) orderOwner {
	switch sim.broken {
	case misdeliverAnswer:
		return &misdeliveringOwner{orderOwner: o}
	case sendBeforeJournal:
		return earlySendingOwner{o}
	case resendOrder:
		return resendingOwner{o}
	}
	return o
}

// wrapRetry returns the production decision. With retryWritten it treats a request as one of which nothing was written.
func wrapRetry(sim *simulation) retryDecider {
	return func(c *retry.Call, now time.Time, f retry.Failure, written bool, b *retry.Budget) retry.Verdict {
		return c.Next(now, f, written && sim.broken != retryWritten, b)
	}
}

// noticeIgnoringScheduler drops the leaving notice from polls and learns of leaving targets only from the plan.
type noticeIgnoringScheduler struct{ scheduler }

func (s noticeIgnoringScheduler) RecordReport(ctx context.Context, o sched.TargetReport) bool {
	o.Leaving = false
	return s.scheduler.RecordReport(ctx, o)
}

func wrapScheduler(sim *simulation, s *sched.Scheduler) scheduler {
	if sim.broken == ignoreNotice {
		return noticeIgnoringScheduler{s}
	}
	return s
}

// earlyExitStop exits as soon as lookups have expired, without waiting for requests in progress.
type earlyExitStop struct{ stopSequence }

func (s earlyExitStop) Advance(now time.Time, inFlight int, handedOver bool) drain.Phase {
	if p := s.stopSequence.Advance(now, inFlight, handedOver); p < drain.Finishing {
		return p
	}
	return drain.Exit
}

func wrapStop(sim *simulation, s *drain.Stop) stopSequence {
	if sim.broken == exitEarly {
		return earlyExitStop{s}
	}
	return s
}

// downgradingNode uses the document that was offered last, whatever its version.
type downgradingNode struct {
	disseminator
	last relay.Document
}

func (n *downgradingNode) HandlePush(now time.Time, doc relay.Document) bool {
	n.last = doc
	return n.disseminator.HandlePush(now, doc)
}

func (n *downgradingNode) Current(k relay.Kind) relay.Document {
	if n.last.Kind == k {
		return n.last
	}
	return n.disseminator.Current(k)
}

// withholdingNode neither pushes documents nor returns them to peers that fetch.
type withholdingNode struct{ disseminator }

func (n withholdingNode) Next(now time.Time, dst []relay.Action) []relay.Action {
	for _, a := range n.disseminator.Next(now, nil) {
		if a.Op != relay.Push {
			dst = append(dst, a)
		}
	}
	return dst
}

func (n withholdingNode) NewerThan(k relay.Kind, _ ident.Version) (relay.Document, bool) {
	return relay.Document{Kind: k}, false
}

func wrapNode(sim *simulation, n *relay.Node) disseminator {
	switch sim.broken {
	case acceptOlder:
		return &downgradingNode{disseminator: n}
	case withholdAccepted:
		return withholdingNode{n}
	}
	return n
}
