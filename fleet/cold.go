package fleet

import (
	"time"

	"github.com/currantpier/currantpier/ident"
)

// ColdReport is what a VM has found out about the warm-up of a target other than by its registry entry. An entry describes the
// process that wrote it, and stays until the next one: a target that has started again is warm by its entry until then.
type ColdReport struct {
	ID ident.Target
	// StartedUnixMS is the start time in the entry that the report corrects.
	StartedUnixMS int64
	// Left is the remaining warm-up, in whole microseconds. Zero says that the target is warm.
	Left time.Duration
	// Assumed is set if the target has not said so itself: it can't be reached, and may start again at any moment.
	Assumed bool
}

// RecordCold applies a report and returns whether it is news. Heartbeats from before don't make the target warm again.
func (v *View) RecordCold(now time.Time, c ColdReport) bool {
	r := v.records[c.ID]
	if r == nil || r.StartedUnixMS != c.StartedUnixMS {
		return false
	}
	if c.Left <= 0 {
		return r.endAssumption(now)
	}
	until := now.Add(c.Left)
	news := until.Sub(r.coldUntil) > coldUntilTolerance || r.coldAssumed && !c.Assumed
	if !news || c.Assumed && !r.coldAssumed && now.Before(r.coldUntil) {
		return false
	}
	r.coldUntil, r.coldAssumed, r.staleUntil = until, c.Assumed, now.Add(maxHeartbeatAge)
	return true
}

// endAssumption makes a target warm that was only taken for cold, and reports whether it was.
func (r *record) endAssumption(now time.Time) bool {
	if !r.coldAssumed || !now.Before(r.coldUntil) {
		return false
	}
	r.coldUntil, r.coldAssumed = time.Time{}, false
	return true
}
