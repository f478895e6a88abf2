package route

import (
	"time"

	"github.com/currantpier/currantpier/ident"
)

// Lookup returns a reference to the named target.
func (p *Picker) Lookup(name ident.Target) (TargetRef, bool) {
	t := p.targets[name]
	return TargetRef{t}, t != nil
}

// Started records that a request is being sent to the target.
func (p *Picker) Started(ref TargetRef) { ref.t.addInFlight(1) }

// Finished records the end of a request for which Started was called.
func (p *Picker) Finished(now time.Time, ref TargetRef, latency time.Duration, result Result) {
	t := ref.t
	t.inFlight--
	defer t.addInFlight(0)
	switch result {
	case OK:
		t.recordLatency(now, latency)
		t.consecutiveFailures = 0
		if t.health == down {
			t.rampStart = now.UnixNano()
		}
		t.health = up
	case Shed:
		t.retryAt = now.Add(shedBackoff).UnixNano()
		if t.health != down {
			t.health = paused
		}
	case Failed, Unreachable:
		t.consecutiveFailures++
		if result == Unreachable || t.consecutiveFailures >= failureThreshold || t.health == down {
			t.health, t.retryAt = down, now.Add(p.backoff(t.consecutiveFailures)).UnixNano()
		}
	case Abandoned:
		if float64(latency) > t.latency {
			t.recordLatency(now, latency)
		}
		if t.health == down {
			t.retryAt = now.Add(p.minBackoff).UnixNano()
		}
	}
}

// recordLatency adds a sample to the moving averages of the target and its region.
func (t *target) recordLatency(now time.Time, latency time.Duration) {
	if t.latencyAt == 0 {
		t.latency = float64(latency)
	}
	if t.group.latency == 0 {
		t.group.latency = float64(latency)
	}
	t.latencyAt = now.UnixNano()
	t.latency += float64(targetEWMAWeight * (float64(latency) - t.latency))
	t.group.latency += float64(regionEWMAWeight * (float64(latency) - t.group.latency))
}

// backoff returns a delay that doubles with each failure, with 10% jitter, so that entries do not retry a target at the
// same time.
func (p *Picker) backoff(failures int) time.Duration {
	d := p.minBackoff << min(max(0, failures-failureThreshold), 20)
	d = min(d, p.maxBackoff)
	return d - d/10 + time.Duration(p.rng.Int64N(int64(d/5)+1))
}

// RecordLoad records a target's reported load as of asOf: requests in progress per slot, limited to the range 0 to 1. A report
// therefore raises a target's cost by at most a quarter of its latency. Reports older than the last one are ignored.
func (p *Picker) RecordLoad(name ident.Target, load float64, asOf time.Time) {
	if t := p.targets[name]; t != nil && asOf.UnixNano() > t.loadAt {
		// The negated comparison also catches NaN.
		if !(load >= 0) {
			load = 0
		}
		t.load, t.loadAt = min(load, 1), asOf.UnixNano()
	}
}

// SetLeaving records whether the target has announced that it leaves. A leaving target gets no new work; one that withdraws
// the announcement is ramped up.
func (p *Picker) SetLeaving(now time.Time, name ident.Target, leaving bool) {
	t := p.targets[name]
	if t == nil || t.announcedLeaving == leaving {
		return
	}
	t.announcedLeaving = leaving
	if !leaving {
		t.rampStart = now.UnixNano()
	}
	t.addInFlight(0)
}

// State is the state of one target for diagnostic dumps.
type State struct {
	Target              ident.Target  `json:"target"`
	InFlight            int32         `json:"in-flight"`
	Limit               int32         `json:"limit"`
	Latency             time.Duration `json:"latency-ns"`
	ConsecutiveFailures int           `json:"fails"`
	Down                bool          `json:"down"`
	Leaving             bool          `json:"leaving"`
	Ramping             bool          `json:"ramping"`
}

// States appends the state of every target to dst, in no particular order.
func (p *Picker) States(dst []State) []State {
	for _, t := range p.targets {
		dst = append(dst, State{
			Target: t.Name, InFlight: t.inFlight, Limit: t.limit, Latency: time.Duration(t.latency),
			ConsecutiveFailures: t.consecutiveFailures, Down: t.health == down, Leaving: t.Leaving || t.announcedLeaving, Ramping: t.rampStart != 0,
		})
	}
	return dst
}
