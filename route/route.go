// Package route selects the target of each request of an entry. The choice rests mainly on the entry's own in-flight
// counts, latencies and failures. Reported load is delayed and can be wrong, so its weight falls with its age. The package
// has no I/O, no goroutines and no clock of its own; its random numbers come from a source that the caller seeds.
package route

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/shift"
)

const (
	// targetEWMAWeight and regionEWMAWeight are the weights of a new sample in the moving averages of the latency of a target
	// and of all targets of a region.
	targetEWMAWeight = 0.1
	regionEWMAWeight = 0.02
	// latencyMaxAge is the age at which a target's measured latency no longer counts. Without a limit, a target that was
	// slow once would never be chosen again and so never be measured again.
	latencyMaxAge = 30 * time.Second
	// loadMaxAge is the age at which a reported load no longer counts. loadWeight is the fraction of its latency that a
	// target with a fresh report of full load costs more.
	loadMaxAge = 10 * time.Second
	loadWeight = 0.25
	// utilizationWeight is the fraction of its latency that a target costs more with all granted slots in use than when idle.
	utilizationWeight = 0.25
	// failureThreshold is the number of consecutive failures that take a target down. A single failure may be caused by the
	// request itself.
	failureThreshold = 2
	// shedBackoff is how long a target gets no new work after it shed a request. It is of the order of a service time.
	shedBackoff = 100 * time.Millisecond
	// scanLimit is the number of targets of a failure domain after which a scan ends, provided that it has found one that
	// can take the request. It bounds the cost of a choice among hundreds of targets.
	scanLimit = 64
	// A target whose latency exceeds slowFactor times that of the region gets only trial requests, one per
	// slowTrialInterval, while faster targets are up, even if they are busy. With 12 entries and a fifth of 30 targets slow,
	// trials are below 1% of requests and so don't affect the 99th percentile.
	slowFactor        = 2
	slowTrialInterval = 10 * time.Second
	// initialLatency is the assumed latency of a region before the first sample.
	initialLatency = 20 * time.Millisecond
)

// Result is the outcome of a request at a target.
type Result uint8

// The results.
const (
	// OK: the target answered.
	OK Result = iota
	// Shed: the target refused the request without running it.
	Shed
	// Failed: the target answered with a server error, broke the connection or let the deadline pass.
	Failed
	// Unreachable: no connection could be opened.
	Unreachable
	// Abandoned: the caller went away. The latency is then only a lower bound.
	Abandoned
)

// Target describes one target that the picker can choose.
type Target struct {
	Name    ident.Target
	Service ident.Service
	Address string
	Place   ident.Place
	// Slots is the number of requests that the target runs at the same time.
	Slots ident.Slots
	// Leaving targets get no new work.
	Leaving bool
}

// TargetRef refers to a target of one Picker. The zero value refers to none. A reference stays valid when the target is
// removed from the picker.
type TargetRef struct {
	t *target
}

// Valid reports whether the reference refers to a target.
func (r TargetRef) Valid() bool { return r.t != nil }

// Target returns the target's description.
func (r TargetRef) Target() Target { return r.t.Target }

func (r TargetRef) Name() ident.Target { return r.t.Name }

// ExcludeTrials is the exclude list for orders. It excludes no target by name, but allows a trial of a failed target only if no
// target of the region is up: an order at a broken target ends with an unknown outcome.
var ExcludeTrials = []TargetRef{{}}

type health uint8

const (
	// up: takes requests up to its limit.
	up health = iota
	// paused: takes no requests until target.retryAt, then as before.
	paused
	// down: takes no requests until target.retryAt, then a single trial request.
	down
)

// target is the picker's state of one target. Times are in nanoseconds since the Unix epoch; zero means never.
type target struct {
	// Every choice reads the fields down to loadAt. They come first, so that they share cache lines.
	inFlight, limit int32
	health          health
	// unrestricted is true if the target is up, not leaving and not ramping up.
	unrestricted bool
	// announcedLeaving is true if the target itself has announced that it leaves; Target.Leaving comes from the plan.
	announcedLeaving bool
	// limitSet is true if SetLimit has set limit.
	limitSet bool
	// utilization is inFlight relative to limit.
	utilization float64
	// rampStart is when the ramp-up began; zero if the target is not ramping up.
	rampStart int64
	// latency is the moving average in nanoseconds as of latencyAt.
	latency   float64
	latencyAt int64
	// load is the reported load, 0 to 1, as of loadAt.
	load   float64
	loadAt int64
	Target
	// retryAt is when a paused or down target may get a request again.
	retryAt             int64
	consecutiveFailures int
	group               *regionGroup
}

// addInFlight changes inFlight by delta and recomputes utilization and unrestricted. Call it with 0 after a change of
// another field that they depend on.
func (t *target) addInFlight(delta int32) {
	t.inFlight += delta
	t.utilization = float64(t.inFlight) / float64(max(1, t.limit))
	t.unrestricted = t.health == up && t.rampStart == 0 && !t.Leaving && !t.announcedLeaving
}

// regionGroup holds the targets of one service in one region, by failure domain.
type regionGroup struct {
	region  ident.Region
	domains []domainGroup
	// latency is the moving average over all targets in nanoseconds; zero before the first sample.
	latency float64
}

type domainGroup struct {
	name    ident.Domain
	targets []*target
}

func (g *regionGroup) add(t *target) {
	i := slices.IndexFunc(g.domains, func(d domainGroup) bool { return d.name == t.Place.Domain })
	if i < 0 {
		i = len(g.domains)
		g.domains = append(g.domains, domainGroup{name: t.Place.Domain})
	}
	g.domains[i].targets = append(g.domains[i].targets, t)
	t.group = g
}

// regionShare is the share of one serving region in the requests of an origin.
type regionShare struct {
	// cumulative is the sum of the shares up to and including this one.
	cumulative ident.PPM
	group      *regionGroup
}

// originWeights are the weights for requests that arrive in one region, and the shares resolved from them.
type originWeights struct {
	region  ident.Region
	weights []shift.Weight
	shares  []regionShare
}

// pool holds the targets of one service.
type pool struct {
	groups  []*regionGroup
	origins []originWeights
}

// Picker chooses targets. It is not safe for concurrent use; see share.Holder. A request counts as in flight from Started
// on, so call Started for a chosen target before the next Pick or PickInRegion.
type Picker struct {
	rng                    *rand.Rand
	pools                  map[ident.Service]*pool
	targets                map[ident.Target]*target
	rampDuration           time.Duration
	minBackoff, maxBackoff time.Duration
	// domainCost is the surcharge for targets in another failure domain, in nanoseconds.
	domainCost float64
}

// Option changes a setting of a Picker.
type Option func(*Picker)

// WithRamp sets how long a new or returning target takes to ramp up to all of its slots; 30 s by default.
func WithRamp(d time.Duration) Option { return func(p *Picker) { p.rampDuration = d } }

// WithBackoff sets the shortest and the longest time without work after failures of a target; 500 ms and 15 s by default.
func WithBackoff(first, longest time.Duration) Option {
	return func(p *Picker) { p.minBackoff, p.maxBackoff = first, longest }
}

// WithDomainCost sets by how much the cost of a target in another failure domain of the region must be lower for it to be
// preferred; 5 ms by default.
func WithDomainCost(d time.Duration) Option { return func(p *Picker) { p.domainCost = float64(d) } }

// New returns a Picker without targets.
func New(src rand.Source, opts ...Option) *Picker {
	p := &Picker{
		rng: rand.New(src), pools: map[ident.Service]*pool{}, targets: map[ident.Target]*target{},
		rampDuration: 30 * time.Second, minBackoff: 500 * time.Millisecond, maxBackoff: 15 * time.Second,
		domainCost: float64(5 * time.Millisecond),
	}
	for _, o := range opts {
		o(p)
	}
	return p
}

// SetTargets replaces the set of targets. A target that stays keeps its state, unless its address or service changed. New
// targets are ramped up, except for the first ones of a service, and so are targets that are no longer leaving.
func (p *Picker) SetTargets(now time.Time, targets []Target) {
	old, pools := p.targets, p.pools
	p.targets = make(map[ident.Target]*target, len(targets))
	p.pools = make(map[ident.Service]*pool, len(pools))
	for svc, pl := range pools {
		p.pools[svc] = &pool{origins: pl.origins}
	}
	for _, tg := range targets {
		t := old[tg.Name]
		if t == nil || t.Address != tg.Address || t.Service != tg.Service {
			t = &target{}
			if seen := pools[tg.Service]; seen != nil && len(seen.groups) > 0 {
				t.rampStart = now.UnixNano()
			}
		} else if t.Leaving && !tg.Leaving {
			t.rampStart = now.UnixNano()
		}
		t.Target = tg
		if !t.limitSet {
			t.limit = int32(tg.Slots)
		}
		t.addInFlight(0)
		p.poolFor(tg.Service).groupFor(tg.Place.Region).add(t)
		p.targets[tg.Name] = t
	}
	for svc, pl := range p.pools {
		for _, g := range pl.groups {
			if old := pools[svc]; old != nil && old.findGroup(g.region) != nil {
				g.latency = old.findGroup(g.region).latency
			}
		}
		pl.resolveWeights()
	}
}

func (p *Picker) poolFor(svc ident.Service) *pool {
	pl := p.pools[svc]
	if pl == nil {
		pl = &pool{}
		p.pools[svc] = pl
	}
	return pl
}

func (pl *pool) groupFor(r ident.Region) *regionGroup {
	if g := pl.findGroup(r); g != nil {
		return g
	}
	g := &regionGroup{region: r}
	pl.groups = append(pl.groups, g)
	return g
}

// resolveWeights maps the weights to groups. A region without targets keeps its share; requests drawn for it are shed.
func (pl *pool) resolveWeights() {
	for i := range pl.origins {
		o := &pl.origins[i]
		o.shares = o.shares[:0]
		var cumulative ident.PPM
		for _, w := range o.weights {
			cumulative += w.Share
			g := pl.findGroup(w.Region)
			if g == nil {
				g = &regionGroup{region: w.Region}
			}
			o.shares = append(o.shares, regionShare{cumulative: cumulative, group: g})
		}
	}
}

// SetWeights sets the shares of the regions that serve a service for requests that arrive in the region from. Without
// weights, only the region itself is chosen.
func (p *Picker) SetWeights(svc ident.Service, from ident.Region, w []shift.Weight) {
	pl := p.poolFor(svc)
	i := slices.IndexFunc(pl.origins, func(o originWeights) bool { return o.region == from })
	if i < 0 {
		i = len(pl.origins)
		pl.origins = append(pl.origins, originWeights{region: from})
	}
	pl.origins[i].weights = slices.Clone(w)
	pl.resolveWeights()
}

// SetLimit sets how many requests this entry may have in flight at a target. Without a call, the limit is the target's
// Slots. Unknown names are ignored.
func (p *Picker) SetLimit(name ident.Target, slots ident.Slots) {
	if t := p.targets[name]; t != nil {
		t.limit, t.limitSet = int32(slots), true
		t.addInFlight(0)
	}
}

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
	return float64(t.inFlight) < 1+rampedShare*float64(t.limit-1)-1e-9 || t.inFlight == 0
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
		c += (t.latency - s.meanLatency) * (1 - float64(age)*(1/float64(latencyMaxAge)))
	}
	surcharge := utilizationWeight * t.utilization
	if age := s.now - t.loadAt; t.loadAt != 0 && age < int64(loadMaxAge) {
		surcharge += loadWeight * t.load * (1 - float64(max(0, age))*(1/float64(loadMaxAge)))
	}
	if t.rampStart != 0 {
		surcharge += 1 - float64(s.now-t.rampStart)/float64(s.p.rampDuration)
	}
	return c + c*surcharge + s.domainCost
}

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
	t.latency += targetEWMAWeight * (float64(latency) - t.latency)
	t.group.latency += regionEWMAWeight * (float64(latency) - t.group.latency)
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
