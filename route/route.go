// Package route selects the target of each request of an entry. The choice rests mainly on the entry's own in-flight
// counts, latencies and failures. Reported load is delayed and can be wrong, so its weight falls with its age. The package
// has no I/O, no goroutines and no clock of its own; its random numbers come from a source that the caller seeds.
package route

import (
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
