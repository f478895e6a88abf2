package pick

import (
	"math"
	"time"
)

const (
	// paceDecay is the time constant with which a target's estimated pace goes from the last report to 1. A pace holds for some
	// 600 ms; a report arrives at any moment of that time, so half of it is left on average.
	paceDecay = 300 * time.Millisecond
	// maxPaceAge is the age from which on a reported pace is ignored. Its weight has decayed to less than 0.01.
	maxPaceAge = 5 * paceDecay
	// minPace bounds the pace from below. A target that reports to be faster than usual would otherwise attract the requests of all
	// VMs that have its report.
	minPace = 1
)

// recordPace records the pace of a load report. A report without a pace ends the effect of an earlier one.
func (t *target) recordPace(now time.Time, l *Load) {
	t.reportedPace, t.pacedAt, t.pool.paced = 0, now, l.Pace > 0
	if t.pool.paced {
		t.reportedPace = max(float64(l.Pace)/100, minPace)
	}
}

// pace returns the estimated ratio of the time that work takes at the target now to the usual time. It is exactly 1 for a target
// that doesn't report its pace.
func (t *target) pace(now time.Time) float64 {
	if t.reportedPace <= minPace {
		return 1
	}
	return t.slowPace(now)
}

// slowPace is pace for a target whose reported pace is over 1. It is apart so that pace is inlined for all others.
func (t *target) slowPace(now time.Time) float64 {
	age := now.Sub(t.pacedAt)
	if age >= maxPaceAge {
		return 1
	}
	return 1 + float64((t.reportedPace-1)*math.Exp(-float64(max(age, 0))/float64(paceDecay)))
}

// paceDuring returns the pace that was in force during a request: the one that its response reports, since the target states it at
// the end of the work.
func paceDuring(o Outcome) float64 {
	if o.Load == nil || o.Load.Pace <= 0 {
		return 1
	}
	return float64(o.Load.Pace) / 100
}
