package pick

import (
	"math"
	"time"

	"github.com/currantpier/currantpier/fleet"
)

const (
	// resumeGap is the mean time between the first requests of two VMs to a target after its back-off: a target with few slots
	// takes about one request in that time.
	resumeGap = 20 * time.Millisecond
	// maxResumeSpread bounds the time over which the VMs spread these requests, so that a large fleet doesn't leave a target idle.
	maxResumeSpread = 3 * time.Second
	// resumeRamp is the time in which a VM's limit of requests in progress grows from one to the target's slots.
	resumeRamp = 2 * time.Second
	// maxClockError bounds the difference between the clocks of a target and of this VM. Within it, a target that started after its
	// response counts as having sent it: waiting for a process that asked for nothing costs less than requests to one that did.
	maxClockError = 2 * time.Second
)

// backOff is a time without requests that a target has asked for. The zero value limits nothing.
type backOff struct {
	// askedAt is the time of the response that asked for it.
	askedAt time.Time
	// until is the latest end of all times asked for.
	until time.Time
	// resumeAt is when this VM sends the first request again, not before until.
	resumeAt time.Time
}

// limit returns the number of requests of this VM that may be in progress at the target.
func (b *backOff) limit(now time.Time, slots int) int {
	switch since := now.Sub(b.resumeAt); {
	case since < 0:
		return 0
	case since < resumeRamp:
		return 1 + int(float64(slots)*float64(since)/float64(resumeRamp))
	}
	return math.MaxInt
}

// askedBy reports whether a registered process may have asked for the time: it started before the response. A response doesn't say
// which process of the target sent it.
func (b *backOff) askedBy(t *fleet.Target) bool {
	return t.StartedUnixMS > 0 && !time.UnixMilli(t.StartedUnixMS).After(b.askedAt.Add(maxClockError))
}

// over reports whether the target gets requests without a limit again.
func (b *backOff) over(now time.Time) bool { return now.Sub(b.resumeAt) >= resumeRamp }

// RecordBackOff records that a target has refused a request and wants none from this VM for d. It returns the end of that time and
// when this VM sends to the target again: each VM at a time of its own. It reports false if the target has already asked for a
// later end, or if the response is one of a process that was replaced.
func (p *Picker) RecordBackOff(now time.Time, t *fleet.Target, d time.Duration) (until, resumeAt time.Time, ok bool) {
	n := p.noticeOf(t)
	until = now.Add(d)
	if n == nil || !until.After(n.backOff.until) {
		return time.Time{}, time.Time{}, false
	}
	spread := min(time.Duration(len(p.vms))*resumeGap, maxResumeSpread)
	n.updated = now
	n.backOff = backOff{askedAt: now, until: until, resumeAt: until.Add(scale(spread, p.spread.Float64()))}
	p.publishNotice(now, t, n)
	return until, n.backOff.resumeAt, true
}

// BackedOff reports whether a target that was chosen has asked for a time without requests that isn't over.
func (p *Picker) BackedOff(now time.Time, t *fleet.Target) bool {
	n := p.notices[t.ID]
	return n != nil && n.coversChosen(t) && now.Before(n.backOff.resumeAt)
}

// EarliestReturn returns the earliest time at which this VM sends the request to a target again, if all that aren't leaving have
// asked for a time without requests; else zero.
func (p *Picker) EarliestReturn(now time.Time, a Request) time.Time {
	var earliest time.Time
	pl := p.pools[a.Service]
	if pl == nil {
		return earliest
	}
	for _, t := range pl.targets {
		if t.replaced || !a.allows(t) {
			continue
		}
		reason := Chosen
		if t.notice != nil {
			reason = t.notice.excludes(now, t)
		}
		switch {
		case reason == AllLeaving:
		case reason == Chosen:
			return time.Time{}
		case earliest.IsZero() || t.notice.backOff.resumeAt.Before(earliest):
			earliest = t.notice.backOff.resumeAt
		}
	}
	return earliest
}
