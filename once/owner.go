package once

import (
	"bytes"
	"maps"
	"slices"
	"time"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/kinds"
)

// Owner holds the records of one process. It is not safe for concurrent use.
//
// Rule: "not run" is said for an own id only if the id can never be accepted later. So each refusal either leaves an
// Aborted record or rests on a condition that lasts: a closed incarnation, a planned stop, or the minute floor.
type Owner struct {
	vm     ident.VM
	limits limits
	// now is the latest time passed in; it never goes back.
	now time.Time
	// inc is the incarnation of new tickets and of the journal that is being written.
	inc ident.Incarnation
	// closed holds the earlier incarnations of this process, whose journals others have sealed. They accept no new ids.
	closed  []ident.Incarnation
	records map[ident.RequestID]*record
	// open holds the ids whose record is Received or Ready.
	open map[ident.RequestID]struct{}
	// done lists the ids with a final record, by time of the last change.
	done []ident.RequestID
	// sent counts the records in state Sent.
	sent int
	// bodies is the number of bytes of all recorded bodies.
	bodies int
	// floor is the highest ticket minute that was refused because the records were full. Ids without a record up to
	// and including this minute stay refused.
	floor    int64
	stopping bool
	// late holds the events of orders that were found past their deadline by a call that returns no events. Expire
	// returns them.
	late []Event

	journal journalState
}

type limits struct {
	records, bodyBytes       int
	batchEntries, batchBytes int
	closed                   int
}

// record is the record of one order.
type record struct {
	ticket   ident.Ticket
	state    State
	deadline time.Time
	// changed is when the record became final; zero before that.
	changed time.Time
	answer  Answer
	// listed says that the id was handed out in a batch, so that it may be in the journal.
	listed bool
	// queued says that the id is in one of the queues of journalState.
	queued bool
}

// Option changes a limit of an Owner.
type Option func(*Owner)

// WithRecords sets the greatest number of records. New orders beyond it are refused as not run.
func WithRecords(n int) Option { return func(o *Owner) { o.limits.records = n } }

// WithBodyBytes sets the greatest number of bytes of all recorded bodies. Answers beyond it are recorded without body.
func WithBodyBytes(n int) Option { return func(o *Owner) { o.limits.bodyBytes = n } }

// WithBatch sets the greatest number of entries and of encoded bytes of one batch. One entry is always allowed.
func WithBatch(entries, bytes int) Option {
	return func(o *Owner) { o.limits.batchEntries, o.limits.batchBytes = entries, bytes }
}

// NewOwner returns the record of a process that starts now as the given incarnation.
func NewOwner(vm ident.VM, inc ident.Incarnation, opts ...Option) *Owner {
	o := &Owner{
		vm: vm, inc: inc,
		records: map[ident.RequestID]*record{},
		open:    map[ident.RequestID]struct{}{},
		limits: limits{
			records: 100_000, bodyBytes: 16 << 20, batchEntries: 500, batchBytes: 1 << 20, closed: 1000,
		},
	}
	for _, opt := range opts {
		opt(o)
	}
	return o
}

// Incarnation returns the incarnation of new tickets. It changes when another process seals the journal.
func (o *Owner) Incarnation() ident.Incarnation { return o.inc }

// Ticket issues a ticket for an order at this process, given the flush interval in use. It reports false if the process
// takes no new orders: it is stopping or its records are full.
func (o *Owner) Ticket(now time.Time, flush time.Duration) (ident.Ticket, bool) {
	now = o.clock(now)
	if o.stopping || o.full() || len(o.closed) >= o.limits.closed {
		return ident.Ticket{}, false
	}
	class := ident.Direct
	if flush <= MaxJournalledFlush && o.storeUp(now) {
		class = ident.Journalled
	}
	t := ident.NewTicket(class, o.vm, o.inc, now)
	t.Minute = max(t.Minute, o.floor+1)
	return t, t.Minute < minute(now)+maxAhead
}

// Begin decides how a request for the order id goes on. The deadline is the latest time at which the order may be sent.
func (o *Owner) Begin(now time.Time, id ident.RequestID, deadline time.Time) Decision {
	now = o.clock(now)
	d, own := o.find(now, id)
	if !own || d.Do != DoNone {
		return d
	}
	if refused, ok := o.refuseNew(now, d.Ticket); ok {
		return refused
	}
	rec := &record{ticket: d.Ticket, deadline: deadline}
	o.records[id] = rec
	switch {
	case !now.Before(deadline):
		o.finish(now, id, rec, Aborted)
		return Decision{Do: DoRefuse, Kind: kinds.DeadlineTooShort, Ticket: d.Ticket}
	case d.Ticket.Class == ident.Direct:
		o.set(id, rec, Ready)
		return Decision{Do: DoSend, Ticket: d.Ticket}
	case !o.storeUp(now):
		o.finish(now, id, rec, Aborted)
		return Decision{Do: DoRefuse, Kind: kinds.StaleTicket, Ticket: d.Ticket}
	}
	o.set(id, rec, Received)
	o.journal.intents = append(o.journal.intents, id)
	rec.queued = true
	return Decision{Do: DoJournal, Ticket: d.Ticket}
}

// Find returns the decision for a repeated request without starting a new order. It returns DoNone if the id is this
// process's own and has no record.
func (o *Owner) Find(now time.Time, id ident.RequestID) Decision {
	d, _ := o.find(o.clock(now), id)
	return d
}

// find answers from the record. It reports false if the id is malformed or belongs to another process.
func (o *Owner) find(now time.Time, id ident.RequestID) (Decision, bool) {
	t, ok := id.Parse()
	if !ok {
		return Decision{Do: DoRefuse, Kind: kinds.BadRequest}, false
	}
	d := Decision{Ticket: t}
	rec, ok := o.records[id]
	switch {
	case ok:
		o.abortLate(now, id, rec)
		d.Do, d.Kind, d.Answer = rec.decision()
	case t.Owner != o.vm || t.Incarnation != o.inc && !slices.Contains(o.closed, t.Incarnation):
		d.Do = DoForward
		return d, false
	case expired(now, t) || t.Minute > minute(now)+maxAhead:
		d.Do, d.Kind = DoUnknown, kinds.OutcomeUnknown
	default:
		d.Do = DoNone
	}
	return d, true
}

// expired reports whether the record of an id may have been dropped.
func expired(now time.Time, t ident.Ticket) bool { return now.Sub(t.Issued()) >= Keep }

// decision returns the decision for a repeated request.
func (r *record) decision() (Do, kinds.Kind, Answer) {
	switch r.state {
	case Answered:
		return DoReply, kinds.Answered, r.answer
	case Unknown:
		return DoUnknown, kinds.OutcomeUnknown, Answer{}
	case Aborted:
		return DoRefuse, kinds.StaleTicket, Answer{}
	}
	return DoWait, kinds.InProgress, Answer{}
}

// refuseNew refuses a new id for a reason that lasts.
func (o *Owner) refuseNew(now time.Time, t ident.Ticket) (Decision, bool) {
	d := Decision{Do: DoRefuse, Kind: kinds.StaleTicket, Ticket: t}
	switch {
	case o.stopping:
		d.Kind = kinds.Stopping
	case t.Incarnation != o.inc || t.Minute <= o.floor:
	case o.full():
		o.floor = t.Minute
		d.Kind = kinds.Overloaded
	default:
		return Decision{}, false
	}
	return d, true
}

// ReadyToSend claims the one attempt to send an order. It must be called just before the first byte is written, and the
// order may be sent only if it returns true. Otherwise the order is in progress elsewhere or has a final record, which
// Find returns.
func (o *Owner) ReadyToSend(now time.Time, id ident.RequestID) bool {
	now = o.clock(now)
	rec, ok := o.records[id]
	if !ok || rec.state != Ready {
		return false
	}
	o.abortLate(now, id, rec)
	if rec.state != Ready {
		return false
	}
	o.set(id, rec, Sent)
	return true
}

// NotRun says that the present attempt provably did not run: the connection was refused or the upstream shed it. The
// order may then be claimed again with ReadyToSend. It reports false if the order was not Sent.
func (o *Owner) NotRun(now time.Time, id ident.RequestID) bool {
	now = o.clock(now)
	rec, ok := o.records[id]
	if !ok || rec.state != Sent {
		return false
	}
	if rec.ticket.Class == ident.Journalled && rec.ticket.Incarnation != o.inc {
		o.finish(now, id, rec, Aborted)
		return true
	}
	o.set(id, rec, Ready)
	return true
}

// Answered records a copy of the upstream's answer. It reports false, and records nothing, if the order was not Sent.
func (o *Owner) Answered(now time.Time, id ident.RequestID, a Answer) bool {
	now = o.clock(now)
	rec, ok := o.records[id]
	if !ok || rec.state != Sent {
		return false
	}
	if len(a.Body) > MaxBody || o.bodies+len(a.Body) > o.limits.bodyBytes {
		a.Body, a.NotKept = nil, true
	}
	a.Body = bytes.Clone(a.Body)
	rec.answer = a
	o.bodies += len(a.Body)
	o.finish(now, id, rec, Answered)
	return true
}

// Broken records that the outcome of a sent order is unknown: its connection broke or its deadline passed. It reports
// false if the order was not Sent.
func (o *Owner) Broken(now time.Time, id ident.RequestID) bool {
	now = o.clock(now)
	rec, ok := o.records[id]
	if !ok || rec.state != Sent {
		return false
	}
	o.finish(now, id, rec, Unknown)
	return true
}

// Abort ends an order that was not sent, or refuses a new one for good. "Not run" may be told to the caller only if it
// returns true.
func (o *Owner) Abort(now time.Time, id ident.RequestID) bool {
	now = o.clock(now)
	d, own := o.find(now, id)
	rec, ok := o.records[id]
	switch {
	case ok && rec.state == Aborted:
	case ok && (rec.state == Received || rec.state == Ready):
		o.finish(now, id, rec, Aborted)
	case own && d.Do == DoNone:
		if _, refused := o.refuseNew(now, d.Ticket); refused {
			return true
		}
		rec = &record{ticket: d.Ticket}
		o.records[id] = rec
		o.finish(now, id, rec, Aborted)
	default:
		return false
	}
	return true
}

// Expire aborts the orders whose deadline has passed before they were sent and drops old records. It should be called
// several times a second, since it wakes the requests that wait for an order past its deadline.
func (o *Owner) Expire(now time.Time) []Event {
	now = o.clock(now)
	for _, id := range sortedIDs(o.open) {
		o.abortLate(now, id, o.records[id])
	}
	events := o.late
	o.late = nil
	n := 0
	for n < len(o.done) && now.Sub(o.records[o.done[n]].changed) >= dropAfter {
		o.bodies -= len(o.records[o.done[n]].answer.Body)
		delete(o.records, o.done[n])
		n++
	}
	o.done = o.done[n:]
	return events
}

func sortedIDs(set map[ident.RequestID]struct{}) []ident.RequestID {
	return slices.Sorted(maps.Keys(set))
}

// abortLate aborts an order that was not sent before its deadline.
func (o *Owner) abortLate(now time.Time, id ident.RequestID, rec *record) {
	if rec.state != Received && rec.state != Ready || now.Before(rec.deadline) {
		return
	}
	o.finish(now, id, rec, Aborted)
	o.late = append(o.late, Event{id, Aborted})
}

// finish sets a final state and queues the outcome for the journal.
func (o *Owner) finish(now time.Time, id ident.RequestID, rec *record, s State) {
	o.set(id, rec, s)
	rec.changed = now
	o.done = append(o.done, id)
	o.queueOutcome(id, rec)
}

// set changes the state of a record that is not final.
func (o *Owner) set(id ident.RequestID, rec *record, s State) {
	if rec.state == Sent {
		o.sent--
	}
	rec.state = s
	delete(o.open, id)
	switch s {
	case Received, Ready:
		o.open[id] = struct{}{}
	case Sent:
		o.sent++
	}
}

// StopAccepting starts a planned stop: ids without a record are refused from now on.
func (o *Owner) StopAccepting() { o.stopping = true }

// Drained reports whether no order is in progress.
func (o *Owner) Drained() bool { return len(o.open) == 0 && o.sent == 0 }

func (o *Owner) full() bool { return len(o.records) >= o.limits.records }

// clock returns now, or the latest time seen if that is later: a clock that is set back must not make an id acceptable
// that was answered as too old.
func (o *Owner) clock(now time.Time) time.Time {
	if now.After(o.now) {
		o.now = now
	}
	return o.now
}

func minute(now time.Time) int64 { return now.Unix() / 60 }
