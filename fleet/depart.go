package fleet

import (
	"time"

	"github.com/currantpier/currantpier/ident"
)

// Departures returns the targets that have left lately, as removed rows. Ready says that the entry was only missing, not
// Ready that the target itself said that it is leaving.
func (v *View) Departures(now time.Time) []Row {
	var rows []Row
	for _, r := range v.records {
		if !r.usable(now) {
			e := r.Entry
			e.Ready = !r.left
			rows = append(rows, Row{Entry: e, Removed: true})
		}
	}
	return rows
}

// Depart takes what another VM knows of targets that have left. A VM that starts has not seen them leave, and an entry that
// was written late can bring one back into the registry. It returns the targets for which that is a change.
func (v *View) Depart(now time.Time, rows []Row) []ident.Target {
	var changed []ident.Target
	for i := range rows {
		e := &rows[i].Entry
		if !rows[i].Removed || e.Sequence == 0 && e.Born == 0 {
			continue
		}
		r := v.records[e.ID]
		if r == nil {
			v.records[e.ID] = &record{Entry: *e, seen: now, vanished: now, left: !e.Ready}
			v.wake(now.Add(memory))
			continue
		}
		// A start of a target cannot take back that it leaves, whatever its later heartbeats say.
		said := !e.Ready && e.Born == r.Born
		if !r.usable(now) || e.older(&r.Entry) && !said {
			continue
		}
		changed = append(changed, e.ID)
		if !e.Ready {
			r.left = true
			continue
		}
		r.Entry.Born, r.Entry.Sequence = e.Born, e.Sequence
		r.vanished, r.keepUntil = now, time.Time{}
		v.wake(now.Add(memory))
	}
	return changed
}
