package route

import (
	"math"
	"time"

	"github.com/currantpier/currantpier/ident"
)

// Pick draws a region and chooses a target in it; see DrawRegion and PickInRegion.
func (p *Picker) Pick(now time.Time, from ident.Place, svc ident.Service, exclude []TargetRef) (TargetRef, bool) {
	pl := p.pools[svc]
	if pl == nil {
		return TargetRef{}, false
	}
	r := p.rng.Uint64()
	return p.pick(now, from, pl.drawGroup(from.Region, r>>32), exclude, math.MaxInt64, r&0xffffffff)
}

// DrawRegion selects the serving region of a request by the weights. Call it once per request: if a waiting request were drawn
// again, it would end up in the region with free slots, and the weights would have no effect.
func (p *Picker) DrawRegion(from ident.Region, svc ident.Service) (ident.Region, bool) {
	pl := p.pools[svc]
	if pl == nil {
		return "", false
	}
	g := pl.drawGroup(from, p.rng.Uint64()>>32)
	if g == nil {
		return "", false
	}
	return g.region, true
}

// PickInRegion chooses a target in a region for a request that arrives at from. It does not choose targets in exclude, and
// prefers failure domains other than theirs. With a non-empty exclude it chooses no failed target for a trial while another
// one is up, so that a retry does not fail for the same reason. It reports false if no target in the region can take the
// request: a full region sheds, and its requests do not overflow into another one.
//
// wait is how long the request would have to wait for another slot; see admit.Queue.Wait. A target whose latency exceeds
// the region's by more than that, and slowFactor times the region's, gets only occasional trial requests.
func (p *Picker) PickInRegion(now time.Time, from ident.Place, svc ident.Service, in ident.Region, exclude []TargetRef,
	wait time.Duration) (TargetRef, bool) {
	pl := p.pools[svc]
	if pl == nil {
		return TargetRef{}, false
	}
	return p.pick(now, from, pl.findGroup(in), exclude, wait, p.rng.Uint64()>>32)
}

// pick implements Pick and PickInRegion. bits are 32 random bits.
func (p *Picker) pick(now time.Time, from ident.Place, g *regionGroup, exclude []TargetRef, wait time.Duration,
	bits uint64) (TargetRef, bool) {
	if g == nil {
		return TargetRef{}, false
	}
	s := scan{p: p, now: now.UnixNano(), exclude: exclude, meanLatency: g.latency}
	if s.meanLatency == 0 {
		s.meanLatency = float64(initialLatency)
	}
	s.slowThreshold = max(slowFactor*s.meanLatency, s.meanLatency+float64(wait))
	for i := range g.domains {
		if d := &g.domains[i]; d.name == from.Domain {
			s.scanDomain(d, bits)
		}
	}
	// The least cost in another domain, of an idle target with mean latency. A cheaper local target ends the search.
	if s.domainCost = p.domainCost; s.best == nil || s.bestCost > s.meanLatency+s.domainCost {
		for i := range g.domains {
			if d := &g.domains[i]; d.name != from.Domain {
				s.scanDomain(d, bits)
			}
		}
	}
	switch {
	case s.best != nil:
		return TargetRef{s.best}, true
	case s.fallback != nil:
		return TargetRef{s.fallback}, true
	case s.slowTarget != nil && !s.anyFast:
		// All targets are slow, so waiting for another one gains nothing.
		return TargetRef{s.slowTarget}, true
	case s.trialDue != nil && !s.anyUp && !s.excluded(s.trialDue):
		return TargetRef{s.trialDue}, true
	}
	return TargetRef{}, false
}

func (pl *pool) findGroup(r ident.Region) *regionGroup {
	for _, g := range pl.groups {
		if g.region == r {
			return g
		}
	}
	return nil
}

// drawGroup selects the serving region with 32 random bits. It returns nil if from has neither weights nor targets, or if
// the drawn number is above the sum of the shares. A weighted region without targets has an empty group.
func (pl *pool) drawGroup(from ident.Region, bits uint64) *regionGroup {
	for i := range pl.origins {
		o := &pl.origins[i]
		if o.region != from || len(o.shares) == 0 {
			continue
		}
		n := ident.PPM(bits * uint64(ident.Whole) >> 32)
		for k := range o.shares {
			if n < o.shares[k].cumulative {
				return o.shares[k].group
			}
		}
		return nil
	}
	return pl.findGroup(from)
}

// scan searches a group for the target with the lowest cost.
type scan struct {
	p           *Picker
	now         int64
	exclude     []TargetRef
	meanLatency float64
	// slowThreshold is the latency above which a target gets only trial requests.
	slowThreshold float64
	// domainCost is the surcharge for targets of the domain that is being scanned, in nanoseconds.
	domainCost float64
	best       *target
	bestCost   float64
	// anyUp is true if a target of which this entry has slots is not down. trialDue is a target that is down and due for a
	// trial.
	anyUp    bool
	trialDue *target
	// slowTarget is a slow target that can take the request. It is chosen only if anyFast is false: no target that is up and
	// of which this entry has slots is fast.
	slowTarget *target
	anyFast    bool
	// fallback is the cheapest target that shares a failure domain with an excluded one.
	fallback     *target
	fallbackCost float64
}

// scanDomain scans one failure domain. It starts at a target selected by 32 random bits, so that equal targets are chosen
// equally often.
func (s *scan) scanDomain(d *domainGroup, bits uint64) {
	n := len(d.targets)
	i := int(bits * uint64(n) >> 32)
	domainExcluded := s.excludesFrom(d.name)
	for seen := 0; seen < n && (seen < scanLimit || s.best == nil); seen++ {
		t := d.targets[i]
		if i++; i == n {
			i = 0
		}
		if t.unrestricted {
			s.anyUp = s.anyUp || t.limit > 0
		} else if !s.acceptsRestricted(t) {
			continue
		}
		slow := t.latency > s.slowThreshold
		s.anyFast = s.anyFast || !slow && t.limit > 0
		if t.inFlight >= t.limit {
			continue
		}
		if slow && s.skipsSlow(t) {
			if !domainExcluded && s.slowTarget == nil {
				s.slowTarget = t
			}
			continue
		}
		if domainExcluded {
			s.considerFallback(t)
		} else if c := s.cost(t); s.best == nil || c < s.bestCost {
			s.best, s.bestCost = t, c
		}
	}
}

// acceptsRestricted reports whether a target that is leaving, paused, down or ramping up can take the request.
func (s *scan) acceptsRestricted(t *target) bool {
	switch {
	case t.Leaving || t.announcedLeaving:
		return false
	case t.health != down:
		s.anyUp = s.anyUp || t.limit > 0
		return s.p.acceptsWork(t, s.now)
	case !s.p.acceptsWork(t, s.now):
		return false
	case len(s.exclude) > 0:
		if t.limit > 0 {
			s.trialDue = t
		}
		return false
	}
	return true
}

// skipsSlow reports whether a slow target is not due for a trial request.
func (s *scan) skipsSlow(t *target) bool {
	return t.health != down && (t.inFlight > 0 || s.now-t.latencyAt < int64(slowTrialInterval))
}

// excludesFrom reports whether an excluded target is in the failure domain.
func (s *scan) excludesFrom(d ident.Domain) bool {
	for _, x := range s.exclude {
		if x.t != nil && x.t.Place.Domain == d {
			return true
		}
	}
	return false
}

func (s *scan) excluded(t *target) bool {
	for _, x := range s.exclude {
		if x.t == t {
			return true
		}
	}
	return false
}

// considerFallback considers a target that shares a failure domain with an excluded one.
func (s *scan) considerFallback(t *target) {
	if s.excluded(t) {
		return
	}
	if c := s.cost(t); s.fallback == nil || c < s.fallbackCost {
		s.fallback, s.fallbackCost = t, c
	}
}

// acceptsWork reports whether a target that is paused, down or ramping up can take a request.
func (p *Picker) acceptsWork(t *target, now int64) bool {
	switch {
	case t.health == paused && now < t.retryAt:
		return false
	case t.health == down:
		return now >= t.retryAt && t.inFlight == 0
	case t.rampStart == 0:
		return true
	}
	rampedShare := float64(now-t.rampStart) / float64(p.rampDuration)
	if rampedShare >= 1 {
		t.rampStart = 0
		t.addInFlight(0)
		return true
	}
	return float64(t.inFlight) < 1+float64(rampedShare*float64(t.limit-1))-1e-9 || t.inFlight == 0
}

// cost returns a target's expected latency in nanoseconds, with surcharges for utilization, load, ramp-up and the failure
// domain.
func (s *scan) cost(t *target) float64 {
	if t.health == down {
		// A due trial has priority. Otherwise a target that was slow before it failed would stay down.
		return 0
	}
	c := s.meanLatency
	if age := s.now - t.latencyAt; t.latencyAt != 0 && age < int64(latencyMaxAge) {
		c += float64((t.latency - s.meanLatency) * (1 - float64(float64(age)*(1/float64(latencyMaxAge)))))
	}
	surcharge := float64(utilizationWeight * t.utilization)
	if age := s.now - t.loadAt; t.loadAt != 0 && age < int64(loadMaxAge) {
		surcharge += float64(loadWeight * t.load * (1 - float64(float64(max(0, age))*(1/float64(loadMaxAge)))))
	}
	if t.rampStart != 0 {
		surcharge += 1 - float64(s.now-t.rampStart)/float64(s.p.rampDuration)
	}
	return c + float64(c*surcharge) + s.domainCost
}
