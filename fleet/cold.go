package fleet

import (
	"time"

	"github.com/currantpier/currantpier/ident"
)

// ColdReport is what a VM has found out about the warm-up of a target other than by its registry entry. An entry describes the
// process that wrote it, and stays until the next one: a target that has started again is warm by its entry until then.
//
// A report is either stated, the target has answered so, or assumed: a connection was refused, so that the process has ended and a new
// one may start at any moment, or an answer is late in an isolated region. An assumption lasts for the warm-up that it names, until the
// target answers, a new process writes an entry, or a heartbeat of the same process is read that was written after the assumption.
type ColdReport struct {
	ID ident.Target
	// StartedUnixMS is the start time in the entry that the report corrects.
	StartedUnixMS int64
	// Left is the remaining warm-up, in whole microseconds. Zero says that the target is warm.
	Left time.Duration
	// Assumed is set if the report is an assumption.
	Assumed bool
	// Refused is set if the reason of an assumption is a refused connection of this VM. It isn't sent to other VMs.
	Refused bool
}

const (
	// pathFaultPeriod is the time without refused connections after which one counts again as the end of the target's process.
	pathFaultPeriod = time.Minute
	// localColdPeriod is for how long one refused connection makes a target cold for this VM alone. The next one renews it; it is
	// short, so that the target is used soon after connections are accepted again.
	localColdPeriod = 3 * time.Second
)

// RecordOwnCold applies a report of this VM. It returns whether it is news for all VMs, and whether the snapshot changes. After the
// target has disproved an assumption of this VM by an answer or a heartbeat, connections are probably refused on the path from here:
// the target is cold for this VM alone. Otherwise one VM could keep a live target cold for all.
func (v *View) RecordOwnCold(now time.Time, c ColdReport) (news, changed bool) {
	r := v.records[c.ID]
	if r != nil && r.StartedUnixMS == c.StartedUnixMS && c.Refused && now.Before(r.pathFaultUntil) {
		until := now.Add(min(c.Left, localColdPeriod))
		r.pathFaultUntil = now.Add(pathFaultPeriod)
		changed = until.Sub(r.coldUntilHere()) > coldUntilTolerance
		r.localUntil = until
		return false, changed
	}
	news = v.RecordCold(now, c)
	if news && c.Refused {
		r.assumedHere = true
	}
	return news, news
}

// AssumedCold reports whether a target is cold by assumption.
func (v *View) AssumedCold(now time.Time, id ident.Target) bool {
	r := v.records[id]
	return r != nil && r.coldAssumed && now.Before(r.coldUntil)
}

// Repeat returns what a report that ended an assumption says now. It returns false if the target has started again or is assumed to be
// cold again.
func (v *View) Repeat(now time.Time, c ColdReport) (ColdReport, bool) {
	r := v.records[c.ID]
	if r == nil || r.StartedUnixMS != c.StartedUnixMS || v.AssumedCold(now, c.ID) {
		return c, false
	}
	c.Left = max(r.coldUntil.Sub(now), 0)
	return c, true
}

// coldUntilHere returns until when the target is cold for this VM.
func (r *record) coldUntilHere() time.Time {
	if r.localUntil.After(r.coldUntil) {
		return r.localUntil
	}
	return r.coldUntil
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
	r.dropAssumption(now)
	r.coldUntil, r.staleUntil = until, now.Add(maxHeartbeatAge)
	return true
}

// applyWarmup applies the warm-up in an entry, of a new process if restarted, and reports whether it is a change. That of an entry from
// another VM can be an assumption, which is no statement of the target.
func (r *record) applyWarmup(now time.Time, e *Entry, restarted bool) bool {
	if restarted {
		r.assumedHere, r.pathFaultUntil, r.localUntil = false, time.Time{}, time.Time{}
	}
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
	r.dropAssumption(now)
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

// assumeCold applies an assumption and reports whether it is news.
func (r *record) assumeCold(now time.Time, left time.Duration) bool {
	until := now.Add(left)
	if until.Sub(r.coldUntil) <= coldUntilTolerance {
		return false
	}
	// A renewal doesn't move staleUntil: a heartbeat that is newer than the first report shows that the process lives.
	if !r.coldAssumed || !now.Before(r.coldUntil) {
		r.staleUntil = now.Add(maxHeartbeatAge)
	}
	r.coldUntil, r.coldAssumed = until, true
	return true
}

// endAssumption makes a target warm that is cold by assumption, and reports whether it was.
func (r *record) endAssumption(now time.Time) bool {
	if !r.coldAssumed || !now.Before(r.coldUntil) {
		return false
	}
	r.dropAssumption(now)
	r.coldUntil = time.Time{}
	return true
}

// dropAssumption ends an assumption, if there is one, since the target's process has shown that it lives.
func (r *record) dropAssumption(now time.Time) {
	if r.assumedHere {
		r.pathFaultUntil = now.Add(pathFaultPeriod)
	}
	r.coldAssumed, r.assumedHere = false, false
}
