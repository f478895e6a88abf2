package once

import (
	"time"

	"github.com/currantpier/currantpier/ident"
)

// journalState is the owner's view of the journal of the current incarnation.
type journalState struct {
	// head is the version of the head row after the last resolved write; zero before the first.
	head ident.Version
	// seq and rows are those of the last resolved batch.
	seq, rows uint64
	// intents and outcomes list the ids that wait for a batch. An id is in at most one of them, once.
	intents, outcomes []ident.RequestID
	// batch is the batch that is being written; Seq is zero if there is none.
	batch Batch
	phase phase
	// tried is the time of the last attempt to write or read.
	tried time.Time
	// written is the time of the last successful write; zero before the first.
	written time.Time
	// complete says that the final seal is written.
	complete bool
}

// phase says what is known about the batch in hand.
type phase uint8

const (
	// idle: there is no batch.
	idle phase = iota
	// writing: an attempt to write is in flight.
	writing
	// again: the batch is not in the journal as far as is known; it is to be written again, unchanged.
	again
	// doubtful: it is not known whether the batch is in the journal; the head is to be read.
	doubtful
	// reading: a read of the head is in flight.
	reading
)

// storeUp reports whether a journal write succeeded within StoreFresh.
func (o *Owner) storeUp(now time.Time) bool {
	return !o.journal.written.IsZero() && now.Sub(o.journal.written) <= StoreFresh
}

// queueOutcome queues a final record for the journal. A class j order that was never handed out in a batch needs no
// outcome, since its absence from the journal says "not run".
func (o *Owner) queueOutcome(id ident.RequestID, rec *record) {
	unlisted := rec.state == Aborted && rec.ticket.Class == ident.Journalled && !rec.listed
	if unlisted || rec.queued || rec.ticket.Incarnation != o.inc {
		return
	}
	rec.queued = true
	o.journal.outcomes = append(o.journal.outcomes, id)
}

// NextBatch returns the journal I/O that is due. At most one piece is in flight: after WorkWrite it returns WorkNone
// until BatchDone, and after WorkReadBack until ReadBack or ReadBackFailed. Attempts start at least interval apart.
func (o *Owner) NextBatch(now time.Time, interval time.Duration) Work {
	now = o.clock(now)
	j := &o.journal
	wait := interval
	if j.phase == again || j.phase == doubtful {
		wait = max(interval, retryWait)
	}
	if j.complete || j.phase == writing || j.phase == reading || now.Sub(j.tried) < wait {
		return Work{}
	}
	switch j.phase {
	case doubtful:
		j.phase, j.tried = reading, now
		return Work{WorkReadBack, j.batch}
	case idle:
		if !o.fill(now, interval) {
			return Work{}
		}
	}
	j.phase, j.tried = writing, now
	return Work{WorkWrite, j.batch}
}

// fill builds the next batch. It reports false if none is due.
func (o *Owner) fill(now time.Time, interval time.Duration) bool {
	j := &o.journal
	b := Batch{Owner: o.vm, Incarnation: o.inc, Seq: j.seq + 1, Rows: j.rows, If: j.head}
	size := 0
	j.intents = o.take(&b, &size, j.intents)
	j.outcomes = o.take(&b, &size, j.outcomes)
	b.Final = o.stopping && o.Drained() && len(j.intents)+len(j.outcomes) == 0
	check := interval <= MaxJournalledFlush && now.Sub(j.written) >= checkEvery
	if len(b.Entries) == 0 && !b.Final && !check {
		return false
	}
	if len(b.Entries) > 0 {
		b.Rows++
	}
	j.batch = b
	return true
}

// take moves ids from the front of a queue into the batch, as far as they fit, and returns the rest of the queue.
func (o *Owner) take(b *Batch, size *int, queue []ident.RequestID) []ident.RequestID {
	for i, id := range queue {
		rec, ok := o.records[id]
		if !ok || rec.state == Aborted && rec.ticket.Class == ident.Journalled && !rec.listed {
			// The order expired, or ended before the journal had to know of it.
			if ok {
				rec.queued = false
			}
			continue
		}
		n := entrySize(id, rec)
		if len(b.Entries) > 0 && (len(b.Entries) >= o.limits.batchEntries || *size+n > o.limits.batchBytes) {
			return queue[i:]
		}
		*size += n
		rec.listed, rec.queued = true, false
		b.Entries = append(b.Entries, Entry{ID: id, State: rec.state, Answer: rec.answer})
	}
	return nil
}

// entrySize bounds the encoded size of an entry, in bytes: base64 body, id, type and the fixed keys.
func entrySize(id ident.RequestID, rec *record) int {
	return len(rec.answer.Body)*4/3 + len(id) + len(rec.answer.Type) + 80
}

// BatchDone takes the result of the attempt to write the batch in flight. Other than Written and Down, every result
// leads to a read-back: a conflict may come from a seal or from an earlier attempt of this batch that arrived late.
func (o *Owner) BatchDone(now time.Time, r Result) []Event {
	now = o.clock(now)
	if o.journal.phase != writing {
		return nil
	}
	switch r.Outcome {
	case Written:
		return o.resolved(now, r.Version)
	case Down:
		o.journal.phase = again
	default:
		o.journal.phase = doubtful
	}
	return nil
}

// ReadBack takes the head row as read after a doubtful write.
func (o *Owner) ReadBack(now time.Time, h Head) []Event {
	now = o.clock(now)
	j := &o.journal
	if j.phase != reading {
		return nil
	}
	mine := h.State == Open || h.State == Complete && j.batch.Final || h.State == Absent && j.head == 0
	switch {
	case mine && h.Seq == j.batch.Seq:
		return o.resolved(now, h.Version)
	case mine && h.State != Complete && h.Seq == j.seq:
		j.phase = again
		return nil
	}
	return o.sealed(now)
}

// ReadBackFailed says that the head could not be read. The read is tried again later.
func (o *Owner) ReadBackFailed() {
	if o.journal.phase == reading {
		o.journal.phase = doubtful
	}
}

// resolved takes note that the batch in hand is in the journal, with the new version of the head.
func (o *Owner) resolved(now time.Time, head ident.Version) []Event {
	j := &o.journal
	b := j.batch
	j.head, j.seq, j.rows, j.written, j.complete = head, b.Seq, b.Rows, now, b.Final
	j.batch, j.phase = Batch{}, idle
	var events []Event
	for _, e := range b.Entries {
		rec, ok := o.records[e.ID]
		if !ok {
			continue
		}
		o.abortLate(now, e.ID, rec)
		if rec.state != Received {
			continue
		}
		o.set(e.ID, rec, Ready)
		events = append(events, Event{e.ID, Ready})
	}
	return events
}

// sealed ends the current incarnation, since another process sealed its journal. That process may have answered "not
// run" for any id it did not find, so no class j order of the incarnation is sent from here on.
func (o *Owner) sealed(now time.Time) []Event {
	old := o.inc
	o.closed = append(o.closed, old)
	o.inc = max(old+1, ident.Incarnation(now.UnixNano()))
	for _, queue := range [][]ident.RequestID{o.journal.intents, o.journal.outcomes} {
		for _, id := range queue {
			if rec, ok := o.records[id]; ok {
				rec.queued = false
			}
		}
	}
	o.journal = journalState{tried: o.journal.tried, written: o.journal.written}
	var events []Event
	for _, id := range sortedIDs(o.open) {
		rec := o.records[id]
		if rec.ticket.Incarnation == old && rec.ticket.Class == ident.Journalled {
			o.finish(now, id, rec, Aborted)
			events = append(events, Event{id, Aborted})
		}
	}
	return events
}

// Finished reports whether a planned stop has nothing left to do: no order is in progress and the final seal is written.
// If another process sealed the journal first, the final seal is that of the next incarnation, which has no orders.
func (o *Owner) Finished() bool { return o.stopping && o.Drained() && o.journal.complete }
