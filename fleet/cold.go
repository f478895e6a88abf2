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
	if c.Assumed {
		return r.assumeCold(now, c.Left)
	}
	until := now.Add(c.Left)
	if until.Sub(r.coldUntil) <= coldUntilTolerance && !r.coldAssumed {
		return false
	}
	r.coldUntil, r.coldAssumed, r.staleUntil = until, false, now.Add(maxHeartbeatAge)
	return true
}

// applyWarmup applies the warm-up in an entry, of a new process if restarted, and reports whether it is a change. That of an entry from
// another VM can be an assumption, which is no statement of the target.
func (r *record) applyWarmup(now time.Time, e *Entry, restarted bool) bool {
	if restarted && e.Assumed {
		r.coldUntil, r.coldAssumed = time.Time{}, false
	}
	if e.Assumed {
		return r.assumeCold(now, e.WarmupLeft)
	}
	until := coldUntil(now, e)
	// An entry that was read before the assumption says nothing new when it is read again.
	known := now.Before(r.staleUntil) || r.coldAssumed && e.Sequence == r.Sequence
	if !restarted && known && until.Before(r.coldUntil) {
		return false
	}
	changed := r.coldAssumed
	r.coldAssumed = false
	if change := until.Sub(r.coldUntil); change > coldUntilTolerance || change < -coldUntilTolerance {
		r.coldUntil = until
		changed = true
	}
	return changed
}

// coldUntil returns the latest possible end of the warm-up by an entry read at now, zero if the target is warm.
func coldUntil(now time.Time, e *Entry) time.Time {
	if e.WarmupLeft <= 0 {
		return time.Time{}
	}
	return now.Add(e.WarmupLeft)
}

// assumeCold takes a target for cold that has not said so, and reports whether that is news.
func (r *record) assumeCold(now time.Time, left time.Duration) bool {
	until := now.Add(left)
	if until.Sub(r.coldUntil) <= coldUntilTolerance {
		return false
	}
	r.coldUntil, r.coldAssumed, r.staleUntil = until, true, now.Add(maxHeartbeatAge)
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
