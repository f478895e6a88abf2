package once

import (
	"bytes"
	"maps"
	"slices"
	"time"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/kinds"
)

// Owner holds the order records of one process. It is not safe for concurrent use.
//
// An id of this process is reported as "not run" only if it can never be accepted later. Each refusal therefore either
// leaves an Aborted record or rests on a condition that persists: a closed incarnation, a planned stop, or a ticket
// minute up to floorMinute.
type Owner struct {
	vm     ident.VM
	limits limits
	// now is the latest time passed in; it never goes back.
	now time.Time
	// incarnation is the incarnation of new tickets and of the journal in use.
	incarnation ident.Incarnation
	// closed lists the earlier incarnations of this process, whose journals other processes sealed. Their tickets are
	// accepted for no new order.
	closed  []ident.Incarnation
	records map[ident.RequestID]*record
	// unsent holds the ids with a record in state Received or Ready.
	unsent map[ident.RequestID]struct{}
	// finalIDs lists the ids with a final record, in the order in which the records became final.
	finalIDs []ident.RequestID
	// sentCount counts the records in state Sent.
	sentCount int
	// bodyBytes is the total size of all recorded bodies.
	bodyBytes int
	// floorMinute is the highest ticket minute of an order that was refused because the limit on records was reached.
	// Ids without a record are refused up to and including this minute.
	floorMinute int64
	stopping    bool
	// expiredEvents holds the events of orders that were aborted past their deadline until Expire returns them.
	expiredEvents []Event

	journal journalState
}

// limits bounds the memory of an Owner and the size of its batches. When closed earlier incarnations are listed, the
// process issues no more tickets.
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
	// finalAt is when the record became final; zero before that.
	finalAt time.Time
	answer  Response
	// mayBeJournalled is set once the id was part of a batch that NextIO returned.
	mayBeJournalled bool
	// queued is set while the id is in one of the queues of journalState.
	queued bool
}

// Option sets a limit of an Owner.
type Option func(*Owner)

// WithMaxRecords sets the maximum number of records. New orders beyond it are refused as not run.
func WithMaxRecords(n int) Option { return func(o *Owner) { o.limits.records = n } }

// WithMaxBodyBytes sets the maximum total size of all recorded bodies. Answers beyond it are recorded without their
// body.
func WithMaxBodyBytes(n int) Option { return func(o *Owner) { o.limits.bodyBytes = n } }

// WithBatchLimits sets the maximum number of entries and of encoded bytes of one batch. A batch with one entry may
// exceed the byte limit.
func WithBatchLimits(entries, bytes int) Option {
	return func(o *Owner) { o.limits.batchEntries, o.limits.batchBytes = entries, bytes }
}

// NewOwner returns an Owner without records for a process that starts as incarnation inc.
func NewOwner(vm ident.VM, inc ident.Incarnation, opts ...Option) *Owner {
	o := &Owner{
		vm: vm, incarnation: inc,
		records: map[ident.RequestID]*record{},
		unsent:  map[ident.RequestID]struct{}{},
		limits: limits{
			records: 100_000, bodyBytes: 16 << 20, batchEntries: 500, batchBytes: 1 << 20, closed: 1000,
		},
	}
	for _, opt := range opts {
		opt(o)
	}
	return o
}

// Incarnation returns the incarnation of new tickets. It changes when another process has sealed the journal.
func (o *Owner) Incarnation() ident.Incarnation { return o.incarnation }

// Ticket issues a ticket for an order at this process; flush is the flush interval in use. It reports false if the
// process accepts no new orders: it is stopping, it has reached a limit, or the next acceptable ticket minute is too
// far ahead.
func (o *Owner) Ticket(now time.Time, flush time.Duration) (ident.Ticket, bool) {
	now = o.advanceClock(now)
	if o.stopping || o.recordsFull() || len(o.closed) >= o.limits.closed {
		return ident.Ticket{}, false
	}
	class := ident.Direct
	if flush <= MaxJournalledFlushInterval && o.storeUp(now) {
		class = ident.Journalled
	}
	t := ident.NewTicket(class, o.vm, o.incarnation, now)
	t.Minute = max(t.Minute, o.floorMinute+1)
	return t, t.Minute < unixMinute(now)+maxFutureMinutes
}

// Begin decides how a request for the order id proceeds, and creates a record if the order is new. The order may be
// sent only before the deadline.
func (o *Owner) Begin(now time.Time, id ident.RequestID, deadline time.Time) Decision {
	now = o.advanceClock(now)
	d, own := o.find(now, id)
	if !own || d.Action != ActionNone {
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
		return Decision{Action: ActionRefuse, Kind: kinds.DeadlineTooShort, Ticket: d.Ticket}
	case d.Ticket.Class == ident.Direct:
		o.setState(id, rec, Ready)
		return Decision{Action: ActionSend, Ticket: d.Ticket}
	case !o.storeUp(now):
		o.finish(now, id, rec, Aborted)
		return Decision{Action: ActionRefuse, Kind: kinds.StaleTicket, Ticket: d.Ticket}
	}
	o.setState(id, rec, Received)
	o.journal.intents = append(o.journal.intents, id)
	rec.queued = true
	return Decision{Action: ActionJournal, Ticket: d.Ticket}
}

// Lookup returns the decision for a repeated request and creates no record. If an id of this process has no record, it
// returns ActionUnknown when the ticket's time is out of the accepted range, and ActionNone otherwise.
func (o *Owner) Lookup(now time.Time, id ident.RequestID) Decision {
	d, _ := o.find(o.advanceClock(now), id)
	return d
}

// find looks up the record of an id. It reports false if the id is malformed or belongs to another process.
func (o *Owner) find(now time.Time, id ident.RequestID) (Decision, bool) {
	t, ok := id.Parse()
	if !ok {
		return Decision{Action: ActionRefuse, Kind: kinds.BadRequest}, false
	}
	d := Decision{Ticket: t}
	rec, ok := o.records[id]
	switch {
	case ok:
		o.abortPastDeadline(now, id, rec)
		d.Action, d.Kind, d.Answer = rec.decision()
	case t.Owner != o.vm || t.Incarnation != o.incarnation && !slices.Contains(o.closed, t.Incarnation):
		d.Action = ActionForward
		return d, false
	case pastRetention(now, t) || t.Minute > unixMinute(now)+maxFutureMinutes:
		d.Action, d.Kind = ActionUnknown, kinds.OutcomeUnknown
	default:
		d.Action = ActionNone
	}
	return d, true
}

// pastRetention reports whether the record of an id may have been dropped.
func pastRetention(now time.Time, t ident.Ticket) bool { return now.Sub(t.Issued()) >= Retention }

// decision returns the decision for a repeated request.
func (r *record) decision() (Action, kinds.Kind, Response) {
	switch r.state {
	case Answered:
		return ActionReply, kinds.Answered, r.answer
	case Unknown:
		return ActionUnknown, kinds.OutcomeUnknown, Response{}
	case Aborted:
		return ActionRefuse, kinds.StaleTicket, Response{}
	}
	return ActionWait, kinds.InProgress, Response{}
}

// refuseNew refuses an id without a record if a condition that persists rules it out.
func (o *Owner) refuseNew(now time.Time, t ident.Ticket) (Decision, bool) {
	d := Decision{Action: ActionRefuse, Kind: kinds.StaleTicket, Ticket: t}
	switch {
	case o.stopping:
		d.Kind = kinds.Stopping
	case t.Incarnation != o.incarnation || t.Minute <= o.floorMinute:
	case o.recordsFull():
		o.floorMinute = t.Minute
		d.Kind = kinds.Overloaded
	default:
		return Decision{}, false
	}
	return d, true
}

// ClaimSend claims the right to send an order; only one caller gets it at a time. It must be called just before the
// first byte is written, and the order may be sent only if it returns true. Otherwise the order is in progress
// elsewhere or has a final record, which Lookup returns.
func (o *Owner) ClaimSend(now time.Time, id ident.RequestID) bool {
	now = o.advanceClock(now)
	rec, ok := o.records[id]
	if !ok || rec.state != Ready {
		return false
	}
	o.abortPastDeadline(now, id, rec)
	if rec.state != Ready {
		return false
	}
	o.setState(id, rec, Sent)
	return true
}

// RecordNotRun records that the current attempt provably did not run: the connection was refused or the upstream shed
// the request. The order can then be claimed again with ClaimSend, except a class j order of a closed incarnation: that
// is aborted, since a successor may already have reported it as not run. RecordNotRun returns false if the order was
// not Sent.
func (o *Owner) RecordNotRun(now time.Time, id ident.RequestID) bool {
	now = o.advanceClock(now)
	rec, ok := o.records[id]
	if !ok || rec.state != Sent {
		return false
	}
	if rec.ticket.Class == ident.Journalled && rec.ticket.Incarnation != o.incarnation {
		o.finish(now, id, rec, Aborted)
		return true
	}
	o.setState(id, rec, Ready)
	return true
}

// RecordAnswer records a copy of the upstream's response. It returns false and records nothing if the order was not
// Sent.
func (o *Owner) RecordAnswer(now time.Time, id ident.RequestID, resp Response) bool {
	now = o.advanceClock(now)
	rec, ok := o.records[id]
	if !ok || rec.state != Sent {
		return false
	}
	if len(resp.Body) > MaxBodyBytes || o.bodyBytes+len(resp.Body) > o.limits.bodyBytes {
		resp.Body, resp.BodyOmitted = nil, true
	}
	resp.Body = bytes.Clone(resp.Body)
	rec.answer = resp
	o.bodyBytes += len(resp.Body)
	o.finish(now, id, rec, Answered)
	return true
}

// RecordUnknown records that the outcome of a sent order is unknown: its connection broke or its deadline passed. It
// returns false if the order was not Sent.
func (o *Owner) RecordUnknown(now time.Time, id ident.RequestID) bool {
	now = o.advanceClock(now)
	rec, ok := o.records[id]
	if !ok || rec.state != Sent {
		return false
	}
	o.finish(now, id, rec, Unknown)
	return true
}

// Abort ends an order that was not sent, or refuses a new one permanently. The order may be reported as "not run" only
// if Abort returns true.
func (o *Owner) Abort(now time.Time, id ident.RequestID) bool {
	now = o.advanceClock(now)
	d, own := o.find(now, id)
	rec, ok := o.records[id]
	switch {
	case ok && rec.state == Aborted:
	case ok && (rec.state == Received || rec.state == Ready):
		o.finish(now, id, rec, Aborted)
	case own && d.Action == ActionNone:
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

// Expire aborts the unsent orders whose deadline has passed and drops old records. It should be called several times a
// second, since its events wake the requests that wait for an order past its deadline.
func (o *Owner) Expire(now time.Time) []Event {
	now = o.advanceClock(now)
	for _, id := range sortedIDs(o.unsent) {
		o.abortPastDeadline(now, id, o.records[id])
	}
	events := o.expiredEvents
	o.expiredEvents = nil
	n := 0
	for n < len(o.finalIDs) && now.Sub(o.records[o.finalIDs[n]].finalAt) >= dropAge {
		o.bodyBytes -= len(o.records[o.finalIDs[n]].answer.Body)
		delete(o.records, o.finalIDs[n])
		n++
	}
	o.finalIDs = o.finalIDs[n:]
	return events
}

func sortedIDs(set map[ident.RequestID]struct{}) []ident.RequestID {
	return slices.Sorted(maps.Keys(set))
}

// abortPastDeadline aborts an unsent order whose deadline has passed.
func (o *Owner) abortPastDeadline(now time.Time, id ident.RequestID, rec *record) {
	if rec.state != Received && rec.state != Ready || now.Before(rec.deadline) {
		return
	}
	o.finish(now, id, rec, Aborted)
	o.expiredEvents = append(o.expiredEvents, Event{id, Aborted})
}

// finish sets a final state and queues the outcome for the journal.
func (o *Owner) finish(now time.Time, id ident.RequestID, rec *record, s State) {
	o.setState(id, rec, s)
	rec.finalAt = now
	o.finalIDs = append(o.finalIDs, id)
	o.queueOutcome(id, rec)
}

// setState changes the state of a record that is not final.
func (o *Owner) setState(id ident.RequestID, rec *record, s State) {
	if rec.state == Sent {
		o.sentCount--
	}
	rec.state = s
	delete(o.unsent, id)
	switch s {
	case Received, Ready:
		o.unsent[id] = struct{}{}
	case Sent:
		o.sentCount++
	}
}

// StopAccepting begins a planned stop: from now on, ids without a record are refused.
func (o *Owner) StopAccepting() { o.stopping = true }

// Drained reports whether no order is in progress.
func (o *Owner) Drained() bool { return len(o.unsent) == 0 && o.sentCount == 0 }

func (o *Owner) recordsFull() bool { return len(o.records) >= o.limits.records }

// advanceClock returns now, or the latest time seen if that is later: a clock that is set back must not make an id
// acceptable that was reported as too old.
func (o *Owner) advanceClock(now time.Time) time.Time {
	if now.After(o.now) {
		o.now = now
	}
	return o.now
}

func unixMinute(now time.Time) int64 { return now.Unix() / 60 }
