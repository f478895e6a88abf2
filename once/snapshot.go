package once

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/currantpier/currantpier/ident"
)

// Snapshot is the state of an Owner for the diagnostic dump.
type Snapshot struct {
	VM          ident.VM          `json:"vm"`
	Incarnation ident.Incarnation `json:"incarnation"`
	// Closed counts the earlier incarnations whose journals other processes sealed.
	Closed int `json:"closed"`
	// Records counts the records by state.
	Records   map[string]int `json:"records"`
	BodyBytes int            `json:"body-bytes"`
	// FloorMinute is the highest ticket minute of an order that was refused because the limit on records was reached.
	FloorMinute int64 `json:"floor-minute"`
	Stopping    bool  `json:"stopping"`
	Finished    bool  `json:"finished"`
	StoreUp     bool  `json:"store-up"`
	// LastWrite is the time of the last successful journal write.
	LastWrite time.Time `json:"written"`
	// Seq is the sequence number of the last batch known to be in the journal, and Rows the number of its batch rows.
	Seq  uint64 `json:"seq"`
	Rows uint64 `json:"rows"`
	// Queued counts the ids that wait for a batch, and InFlight the entries of the batch being written.
	Queued   int `json:"queued"`
	InFlight int `json:"in-flight"`
	// Unknown lists orders whose outcome is unknown, at most maxUnknownListed of them.
	Unknown []ident.RequestID `json:"unknown"`
}

// maxUnknownListed is the maximum length of Snapshot.Unknown.
const maxUnknownListed = 100

// Snapshot returns the current state.
func (o *Owner) Snapshot(now time.Time) Snapshot {
	now = o.advanceClock(now)
	j := &o.journal
	s := Snapshot{
		VM: o.vm, Incarnation: o.incarnation, Closed: len(o.closed), Records: map[string]int{}, BodyBytes: o.bodyBytes,
		FloorMinute: o.floorMinute, Stopping: o.stopping, Finished: o.Finished(), StoreUp: o.storeUp(now), LastWrite: j.lastWrite,
		Seq: j.seq, Rows: j.rows, Queued: len(j.intents) + len(j.outcomes), InFlight: len(j.batch.Entries),
	}
	for _, rec := range o.records {
		s.Records[rec.state.String()]++
	}
	s.Unknown = o.Unknown()
	s.Unknown = s.Unknown[:min(len(s.Unknown), maxUnknownListed)]
	return s
}

// Unknown lists the orders whose outcome is unknown, sorted by id.
func (o *Owner) Unknown() []ident.RequestID {
	ids := map[ident.RequestID]struct{}{}
	for id, rec := range o.records {
		if rec.state == Unknown {
			ids[id] = struct{}{}
		}
	}
	return sortedIDs(ids)
}

// Clone returns an independent copy. Bodies and the entries of a batch are shared, since they never change.
func (o *Owner) Clone() *Owner {
	c := *o
	c.closed, c.finalIDs, c.expiredEvents = slices.Clone(o.closed), slices.Clone(o.finalIDs), slices.Clone(o.expiredEvents)
	c.unsent = maps.Clone(o.unsent)
	c.records = make(map[ident.RequestID]*record, len(o.records))
	for id, rec := range o.records {
		r := *rec
		c.records[id] = &r
	}
	c.journal.intents, c.journal.outcomes = slices.Clone(o.journal.intents), slices.Clone(o.journal.outcomes)
	return &c
}

// AppendState appends an encoding of the state to b. Owners with the same limits and equal encodings behave alike.
// Times are encoded relative to the latest time seen.
func (o *Owner) AppendState(b []byte) []byte {
	e := encoder(b)
	e.str(string(o.vm))
	e.num(uint64(o.incarnation), uint64(o.floorMinute), uint64(len(o.closed)))
	for _, inc := range o.closed {
		e.num(uint64(inc))
	}
	e.flags(o.stopping, o.journal.complete)
	for _, id := range slices.Sorted(maps.Keys(o.records)) {
		r := o.records[id]
		e.str(string(id))
		e.num(uint64(r.state))
		e.time(o.now, r.deadline)
		e.time(o.now, r.finalAt)
		e.response(r.answer)
		e.flags(r.mayBeJournalled, r.queued)
	}
	e.ids(o.finalIDs)
	e.num(uint64(len(o.expiredEvents)))
	for _, ev := range o.expiredEvents {
		e.str(string(ev.ID))
		e.num(uint64(ev.State))
	}
	o.journal.encode(&e, o.now)
	return e
}

func (j *journalState) encode(e *encoder, now time.Time) {
	e.num(uint64(j.headVersion), uint64(j.era), j.seq, j.rows, uint64(j.phase))
	e.ids(j.intents)
	e.ids(j.outcomes)
	e.time(now, j.lastAttempt)
	e.time(now, j.lastWrite)
	e.num(j.batch.Seq, uint64(len(j.batch.Entries)))
	e.flags(j.batch.Final)
	for _, en := range j.batch.Entries {
		e.str(string(en.ID))
		e.num(uint64(en.State))
		e.response(en.Answer)
	}
}

// Clone returns an independent copy.
func (s *Successor) Clone() *Successor {
	c := *s
	c.index = maps.Clone(s.index)
	return &c
}

// AppendState appends an encoding of the state to b. Successors with equal encodings behave alike.
func (s *Successor) AppendState(b []byte) []byte {
	e := encoder(b)
	e.str(string(s.owner))
	e.str(string(s.sealer))
	e.num(uint64(s.incarnation), uint64(s.nextStep), uint64(s.head.Version), uint64(s.head.State), s.head.Seq, s.head.Rows)
	e.num(uint64(s.head.Era), uint64(s.head.Since), uint64(s.head.SealedEra))
	e.num(s.lastSeq, s.rowCount)
	e.flags(s.rowsMissing)
	for _, id := range slices.Sorted(maps.Keys(s.index)) {
		e.str(string(id))
		e.num(uint64(s.index[id].state), s.index[id].row)
		e.response(s.index[id].answer)
	}
	return e
}

// encoder appends values to a byte slice; different sequences of values of the same types give different bytes.
type encoder []byte

func (e *encoder) num(values ...uint64) {
	for _, v := range values {
		*e = binary.AppendUvarint(*e, v)
	}
}

func (e *encoder) str(s string) {
	e.num(uint64(len(s)))
	*e = append(*e, s...)
}

func (e *encoder) flags(values ...bool) {
	for _, v := range values {
		if v {
			*e = append(*e, 1)
		} else {
			*e = append(*e, 0)
		}
	}
}

func (e *encoder) ids(ids []ident.RequestID) {
	e.num(uint64(len(ids)))
	for _, id := range ids {
		e.str(string(id))
	}
}

// time encodes how long before now t is; the zero time has its own encoding.
func (e *encoder) time(now, t time.Time) {
	e.flags(t.IsZero())
	if !t.IsZero() {
		*e = binary.AppendVarint(*e, int64(now.Sub(t)))
	}
}

func (e *encoder) response(resp Response) {
	e.num(uint64(resp.Status))
	e.str(resp.ContentType)
	e.str(string(resp.Body))
	e.flags(resp.BodyOmitted)
}
