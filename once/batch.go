package once

import (
	"time"

	"github.com/currantpier/currantpier/ident"
)

// journalState is the owner's state of the journal of the current incarnation.
type journalState struct {
	// headVersion is the version of the head row after the last confirmed write; zero before the first.
	headVersion ident.Version
	// era is the era of the store in which the journal was begun; zero before the first confirmed batch of the process.
	era ident.Era
	// seq and rows are the sequence number and row count of the last confirmed batch.
	seq, rows uint64
	// intents and outcomes are the queues of ids for the next batches: new class j orders, and final records. An id is
	// in at most one of them, once.
	intents, outcomes []ident.RequestID
	// batch is the batch being written; its Seq is zero if there is none.
	batch Batch
	phase writePhase
	// lastAttempt is the start of the last attempt to write or read.
	lastAttempt time.Time
	// lastWrite is the time of the last successful write; zero before the first.
	lastWrite time.Time
	// complete is set once the batch that marks the journal complete is written.
	complete bool
}

// writePhase is the progress of the current batch.
type writePhase uint8

const (
	// phaseIdle: there is no batch.
	phaseIdle writePhase = iota
	// phaseWriting: a write is in flight.
	phaseWriting
	// phaseRetry: no attempt so far is known to have taken effect; the batch is to be written again, unchanged.
	phaseRetry
	// phaseInDoubt: it is not known whether the batch is in the journal; the head row is to be read.
	phaseInDoubt
	// phaseReading: a read of the head row is in flight.
	phaseReading
)

// storeUp reports whether a journal write succeeded within StoreUpTimeout.
func (o *Owner) storeUp(now time.Time) bool {
	return !o.journal.lastWrite.IsZero() && now.Sub(o.journal.lastWrite) <= StoreUpTimeout
}

// queueOutcome queues a final record for the journal. An aborted class j order that was never in a batch needs no
// outcome, since a class j id that is not in the journal counts as not run.
func (o *Owner) queueOutcome(id ident.RequestID, rec *record) {
	neverJournalled := rec.state == Aborted && rec.ticket.Class == ident.Journalled && !rec.mayBeJournalled
	if neverJournalled || rec.queued || rec.ticket.Incarnation != o.incarnation {
		return
	}
	rec.queued = true
	o.journal.outcomes = append(o.journal.outcomes, id)
}

// NextIO returns the journal I/O that is due. At most one operation is in flight: after IOWrite it returns
// IONone until WriteDone, and after IOReadBack until ReadBackDone or ReadBackFailed. Attempts start at least interval
// apart.
func (o *Owner) NextIO(now time.Time, interval time.Duration) JournalIO {
	now = o.advanceClock(now)
	j := &o.journal
	delay := interval
	if j.phase == phaseRetry || j.phase == phaseInDoubt {
		delay = max(interval, retryDelay)
	}
	if j.complete || j.phase == phaseWriting || j.phase == phaseReading || now.Sub(j.lastAttempt) < delay {
		return JournalIO{}
	}
	switch j.phase {
	case phaseInDoubt:
		j.phase, j.lastAttempt = phaseReading, now
		return JournalIO{IOReadBack, j.batch}
	case phaseIdle:
		if !o.buildBatch(now, interval) {
			return JournalIO{}
		}
	}
	j.phase, j.lastAttempt = phaseWriting, now
	return JournalIO{IOWrite, j.batch}
}

// buildBatch builds the next batch. It reports false if none is due.
func (o *Owner) buildBatch(now time.Time, interval time.Duration) bool {
	j := &o.journal
	b := Batch{Owner: o.vm, Incarnation: o.incarnation, Seq: j.seq + 1, Rows: j.rows, ExpectedVersion: j.headVersion, Era: j.era}
	size := 0
	j.intents = o.dequeue(&b, &size, j.intents)
	j.outcomes = o.dequeue(&b, &size, j.outcomes)
	b.Final = o.stopping && o.Drained() && len(j.intents)+len(j.outcomes) == 0
	checkDue := interval <= MaxJournalledFlushInterval && now.Sub(j.lastWrite) >= storeCheckInterval
	if len(b.Entries) == 0 && !b.Final && !checkDue {
		return false
	}
	if len(b.Entries) > 0 {
		b.Rows++
	}
	j.batch = b
	return true
}

// dequeue moves ids from the front of a queue to the batch until it is full, and returns the rest of the queue.
func (o *Owner) dequeue(b *Batch, size *int, queue []ident.RequestID) []ident.RequestID {
	for i, id := range queue {
		rec, ok := o.records[id]
		if !ok || rec.state == Aborted && rec.ticket.Class == ident.Journalled && !rec.mayBeJournalled {
			// The record was dropped, or the order was aborted before its id was in a batch.
			if ok {
				rec.queued = false
			}
			continue
		}
		n := entrySizeBound(id, rec)
		if len(b.Entries) > 0 && (len(b.Entries) >= o.limits.batchEntries || *size+n > o.limits.batchBytes) {
			return queue[i:]
		}
		*size += n
		rec.mayBeJournalled, rec.queued = true, false
		b.Entries = append(b.Entries, Entry{ID: id, State: rec.state, Answer: rec.answer})
	}
	return nil
}

// entrySizeBound returns an upper bound on the encoded size of an entry, in bytes: the body in base64, id, content
// type, and 80 bytes for keys and numbers.
func entrySizeBound(id ident.RequestID, rec *record) int {
	return len(rec.answer.Body)*4/3 + len(id) + len(rec.answer.ContentType) + 80
}

// WriteDone passes in the result of the write in flight. Every result other than Written and Unreachable leads to a
// read of the head row: a conflict may come from a seal, or from an earlier attempt of this batch that took effect
// late.
func (o *Owner) WriteDone(now time.Time, r Result) []Event {
	now = o.advanceClock(now)
	if o.journal.phase != phaseWriting {
		return nil
	}
	switch r.Outcome {
	case Written:
		return o.batchWritten(now, r.Version)
	case Unreachable:
		o.journal.phase = phaseRetry
	default:
		o.journal.phase = phaseInDoubt
	}
	return nil
}

// ReadBackDone passes in the head row as read after an unresolved write.
func (o *Owner) ReadBackDone(now time.Time, h Head) []Event {
	now = o.advanceClock(now)
	j := &o.journal
	if j.phase != phaseReading {
		return nil
	}
	era := max(h.Era, ident.FirstEra)
	if j.era != 0 && era != j.era {
		// The store may have lost batches of this journal, and a seal after which an id was reported as not run.
		return o.closeIncarnation(now, era)
	}
	ownHead := h.State == Open || h.State == Complete && j.batch.Final || h.State == Absent && j.headVersion == 0
	switch {
	case ownHead && h.Seq == j.batch.Seq:
		return o.batchWritten(now, h.Version)
	case ownHead && h.State != Complete && h.Seq == j.seq:
		j.phase = phaseRetry
		return nil
	}
	return o.closeIncarnation(now, era)
}

// ReadBackFailed records that the head row could not be read. The read is retried.
func (o *Owner) ReadBackFailed() {
	if o.journal.phase == phaseReading {
		o.journal.phase = phaseInDoubt
	}
}

// batchWritten records that the current batch is in the journal, and the new version of the head row.
func (o *Owner) batchWritten(now time.Time, head ident.Version) []Event {
	j := &o.journal
	b := j.batch
	j.headVersion, j.seq, j.rows, j.lastWrite, j.complete = head, b.Seq, b.Rows, now, b.Final
	j.era = head.Era()
	j.batch, j.phase = Batch{}, phaseIdle
	var events []Event
	for _, e := range b.Entries {
		rec, ok := o.records[e.ID]
		if !ok {
			continue
		}
		o.abortPastDeadline(now, e.ID, rec)
		if rec.state != Received {
			continue
		}
		o.setState(e.ID, rec, Ready)
		events = append(events, Event{e.ID, Ready})
	}
	return events
}

// closeIncarnation starts a new incarnation, whose journal begins in the given era of the store, after another process
// has sealed the journal or the store has returned to an earlier copy. Another process may have reported every id that
// it did not find as not run, so the remaining class j orders of the old incarnation are aborted.
func (o *Owner) closeIncarnation(now time.Time, era ident.Era) []Event {
	old := o.incarnation
	o.closed = append(o.closed, old)
	o.incarnation = max(old+1, ident.Incarnation(now.UnixNano()))
	for _, queue := range [][]ident.RequestID{o.journal.intents, o.journal.outcomes} {
		for _, id := range queue {
			if rec, ok := o.records[id]; ok {
				rec.queued = false
			}
		}
	}
	o.journal = journalState{era: era, lastAttempt: o.journal.lastAttempt, lastWrite: o.journal.lastWrite}
	var events []Event
	for _, id := range sortedIDs(o.unsent) {
		rec := o.records[id]
		if rec.ticket.Incarnation == old && rec.ticket.Class == ident.Journalled {
			o.finish(now, id, rec, Aborted)
			events = append(events, Event{id, Aborted})
		}
	}
	return events
}

// Finished reports whether a planned stop has ended: no order is in progress and the journal is marked complete. If
// another process sealed the journal first, this is the journal of the next incarnation, which has no orders.
func (o *Owner) Finished() bool { return o.stopping && o.Drained() && o.journal.complete }
