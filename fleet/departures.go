package fleet

import (
	"time"

	"github.com/currantpier/currantpier/ident"
)

// Departures returns the known targets that are not usable, as removed rows. A row is not Ready if the target announced that
// it is leaving, and Ready if only its entry is missing.
func (v *View) Departures(now time.Time) []Row {
	var rows []Row
	for _, r := range v.records {
		if !r.usable(now) {
			e := r.Entry
			e.Ready = !r.leaving
			rows = append(rows, Row{Entry: e, Removed: true})
		}
	}
	return rows
}

// ApplyDepartures merges the departures of another VM and returns the targets that are no longer usable as a result. A VM that
// has just started did not observe these departures, and an entry that is written late can bring such a target back into the
// registry.
func (v *View) ApplyDepartures(now time.Time, rows []Row) []ident.Target {
	var changed []ident.Target
	for i := range rows {
		e := &rows[i].Entry
		if !rows[i].Removed || rows[i].Lapsed || e.Sequence == 0 && e.StartedUnixMS == 0 {
			continue
		}
		r := v.records[e.ID]
		if r == nil {
			v.records[e.ID] = &record{Entry: *e, lastRead: now, missingSince: now, leaving: !e.Ready}
			v.scheduleTick(now.Add(removedRetention))
			continue
		}
		// An announced departure is final until the target restarts, also if later heartbeats report the target ready.
		announced := !e.Ready && e.StartedUnixMS == r.StartedUnixMS
		if !r.usable(now) || e.older(&r.Entry) && !announced {
			continue
		}
		changed = append(changed, e.ID)
		if !e.Ready {
			r.leaving = true
			continue
		}
		r.Entry.StartedUnixMS, r.Entry.Sequence = e.StartedUnixMS, e.Sequence
		r.missingSince, r.keepUntil = now, time.Time{}
		v.scheduleTick(now.Add(removedRetention))
	}
	return changed
}
