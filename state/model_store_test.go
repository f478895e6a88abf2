package state

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/currantpier/currantpier/feed"
	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/ident"
)

// storeRow is one write of a row in the history of the store.
type storeRow struct {
	feed.Row
	topic  Topic
	number uint64
	at     time.Time
}

// modelStore is the platform's store: two tables with one counter of versions.
type modelStore struct {
	era ident.Era
	// version is the newest number, compacted the one up to which the history is no longer available.
	version, compacted uint64
	// history has all writes of an era, with those of earlier eras that its copy contained.
	history map[ident.Era][]storeRow
	down    outage
}

func newModelStore() *modelStore {
	return &modelStore{era: ident.FirstEra, history: map[ident.Era][]storeRow{}}
}

// write writes or removes a row. Skip is the number of other transactions before it.
func (m *modelStore) write(now time.Time, t Topic, skip int, row feed.Row) {
	m.version += 1 + uint64(skip)
	m.history[m.era] = append(m.history[m.era], storeRow{row, t, m.version, now})
}

// restore returns to the copy as of a time.
func (m *modelStore) restore(asOf time.Time) {
	before := m.history[m.era]
	n := 0
	for n < len(before) && !before[n].at.After(asOf) {
		n++
	}
	m.version = 0
	if n > 0 {
		m.version = before[n-1].number
	}
	m.compacted = min(m.compacted, m.version)
	m.era++
	m.history[m.era] = slices.Clone(before[:n])
}

// row returns a row of the history as a reading of an era has it.
func (r *storeRow) row(e ident.Era) feed.Row {
	out := r.Row
	out.Version = ident.NewVersion(e, r.number)
	return out
}

// contents returns the rows of a table at a version, and whether the store ever had that version.
func (m *modelStore) contents(t Topic, v ident.Version) (rows map[string]feed.Row, known bool) {
	rows = map[string]feed.Row{}
	newest := uint64(0)
	for i := range m.history[v.Era()] {
		r := &m.history[v.Era()][i]
		newest = r.number
		if r.topic != t || r.number > v.Number() {
			continue
		}
		if r.Removed {
			delete(rows, r.Key)
		} else {
			rows[r.Key] = r.row(v.Era())
		}
	}
	return rows, v.Number() <= newest
}

// read returns a full reading.
func (m *modelStore) read(t Topic) feed.Rows {
	out := feed.Rows{Full: true, Version: ident.NewVersion(m.era, m.version), Era: m.era}
	rows, _ := m.contents(t, out.Version)
	for _, row := range rows {
		out.Rows = append(out.Rows, row)
	}
	return out
}

// changes returns the changes after a version as the client of package platform does, and whether the store answers at once.
func (m *modelStore) changes(t Topic, after ident.Version) (rows feed.Rows, answers bool) {
	version := ident.NewVersion(m.era, m.version)
	gone := after.Number() < m.compacted || after.Number() > m.version
	for i := range m.history[m.era] {
		if r := &m.history[m.era][i]; r.topic == t && r.number > after.Number() {
			rows.Rows = append(rows.Rows, r.row(m.era))
		}
	}
	answers = gone || len(rows.Rows) > 0
	if gone || version.Era() != after.Era() {
		return feed.Rows{Compacted: true, Era: m.era}, answers
	}
	rows.Version, rows.Era = version, m.era
	return rows, answers
}

// incarnation is one start of a target.
type incarnation struct {
	id   ident.Target
	born int64
}

// modelTarget is a target. Its row has the fields of its entry.
type modelTarget struct {
	incarnation
	sequence    uint64
	ready, left bool
	// nextWrite is when it writes its entry or, if it has left, its removal.
	nextWrite time.Time
	// departures are the versions at which the store had that it was leaving.
	departures []ident.Version
}

func (t *modelTarget) row() feed.Row {
	return feed.Row{Key: string(t.id), Removed: t.left, Value: fmt.Appendf(nil, "%d %d %t", t.born, t.sequence, t.ready)}
}

// modelDecoder decodes the rows of modelTarget.
type modelDecoder struct{ configDecoder }

// DecodeEntry implements Decoder.
func (modelDecoder) DecodeEntry(r feed.Row) (fleet.Entry, error) {
	e := fleet.Entry{ID: ident.Target(r.Key), Service: "svc", Slots: 1, Address: "127.0.0.1:9"}
	_, err := fmt.Sscanf(string(r.Value), "%d %d %t", &e.StartedUnixMS, &e.Sequence, &e.Ready)
	return e, err
}

// stepWriters makes the writes of the operators and targets that are due.
func (w *network) stepWriters() {
	if w.now.Before(w.store.down.until) {
		return
	}
	present := w.store.read(Operator)
	have := map[string]string{}
	for _, r := range present.Rows {
		have[r.Key] = string(r.Value)
	}
	for _, row := range w.operatorRows() {
		at, pending := w.operatorWrites[row.Key]
		if !pending || w.now.Before(at) {
			continue
		}
		delete(w.operatorWrites, row.Key)
		if value, ok := have[row.Key]; ok == row.Removed || value != string(row.Value) {
			w.store.write(w.now, Operator, w.rnd.Intn(3), row)
			w.written[row.Key] = ident.NewVersion(w.store.era, w.store.version)
			if d, ok := strings.CutPrefix(row.Key, evacuationPrefix); ok && !row.Removed {
				w.lastStart[d] = w.store.version
			}
		}
	}
	for _, t := range w.targets {
		if w.now.Before(t.nextWrite) {
			continue
		}
		t.nextWrite = w.now.Add(heartbeatPeriod)
		t.sequence++
		if rows, _ := w.store.contents(Registry, ident.NewVersion(w.store.era, w.store.version)); !t.left || len(rows[string(t.id)].Value) > 0 {
			w.store.write(w.now, Registry, w.rnd.Intn(3), t.row())
		}
		if t.left || !t.ready {
			t.departures = append(t.departures, ident.NewVersion(w.store.era, w.store.version))
		}
	}
}

// operatorRows returns the operators' table as the operators want it.
func (w *network) operatorRows() []feed.Row {
	rows := []feed.Row{{Key: "config", Value: fmt.Append(nil, uint64(w.config))}}
	for _, d := range modelDomains {
		rows = append(rows, feed.Row{Key: evacuationPrefix + d, Removed: !w.evacuated[d]})
	}
	return rows
}

// restore returns the store to a copy as of a time and makes operators and targets write again what it lacks.
func (w *network) restore(asOf time.Time, down time.Duration) {
	w.store.restore(asOf)
	back := w.now.Add(down)
	w.store.down = w.newOutage(down)
	for _, row := range w.operatorRows() {
		w.operatorWrites[row.Key] = back.Add(w.upTo(rewriteTime))
	}
	for _, t := range w.targets {
		t.nextWrite = back.Add(w.upTo(rewriteTime))
	}
	for _, v := range w.vms {
		for _, c := range v.calls {
			// Open connections end, or they stay and the call waits on.
			if c != nil && c.ends.IsZero() && w.rnd.Intn(2) == 0 {
				c.err, c.ends = errStoreDown, w.now.Add(w.upTo(maxDelay))
			}
		}
	}
}
