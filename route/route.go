// Package route chooses the target for each request of an entry. The entry's own in-flight counts, latencies and
// failures come first; reported load and health lag and may mislead, so they weigh in by their age only. The package
// has no I/O, no goroutines and no clock of its own, and its randomness comes from a source that the caller seeds.
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
	// alpha is the weight of a new sample in a target's moving average of latency, groupAlpha in that of the region.
	alpha      = 0.1
	groupAlpha = 0.02
	// forget is the age at which a target's latency says nothing any more. Without it, a target that was slow once would
	// never be chosen and so never be measured again.
	forget = 30 * time.Second
	// loadAge is the age at which a reported load says nothing any more; loadWeight is its weight when fresh.
	loadAge    = 10 * time.Second
	loadWeight = 0.25
	// fillWeight is how much a target with all granted slots in use costs relative to an idle one.
	fillWeight = 0.25
	// failsToTrip is the number of failures in a row that end new work: a single one may be the request's own fault.
	failsToTrip = 2
	// shedPause is the time without new work after a target shed a request. It is in the order of a service time.
	shedPause = 100 * time.Millisecond
	// scanWidth is how many targets of a failure domain are compared at least. Past it the scan ends with the best so far,
	// which bounds the cost with hundreds of targets.
	scanWidth = 64
	// slowFactor is the latency relative to the region's from which a target is left for trial requests while others are
	// merely busy; slowTrial is the time between those trials. With 12 entries and a fifth of 30 targets slow, trials are
	// below 1% of requests and so outside the 99th percentile.
	slowFactor = 2
	slowTrial  = 10 * time.Second
	// startLatency stands in for a region's latency before the first answer.
	startLatency = 20 * time.Millisecond
)

// Result is how a request at a target ended.
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
	// Abandoned: the caller went away; the request says nothing about the target except that it took at least so long.
	Abandoned
)

// Target is one target that the picker may choose.
type Target struct {
	Name    ident.Target
	Service ident.Service
	Address string
	Place   ident.Place
	// Slots is the target's number of slots.
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

// Target returns the description of the target.
func (r TargetRef) Target() Target { return r.t.Target }

// Name returns the name of the target.
func (r TargetRef) Name() ident.Target { return r.t.Name }

// NoTrial is an exclude list for orders. It names no target but rules out those that are due for a trial while any other
// of the region is up, since an order at a broken target ends with an unknown outcome.
var NoTrial = []TargetRef{{}}

type health uint8

const (
	// up targets get work within their limit.
	up health = iota
	// paused targets get none until target.until, then as before.
	paused
	// down targets get none until target.until, then a single trial request.
	down
)

// target is what the picker knows of a target. Times are in nanoseconds since the Unix epoch; zero is "never".
type target struct {
	// The fields that each choice reads come first, so that they share cache lines.
	inFlight, limit int32
	health          health
	// plain says that the target is up, not leaving and not ramping up.
	plain bool
	// announced says that the target itself said that it leaves.
	announced bool
	// limited says that limit was set by SetLimit.
	limited bool
	// fill is inFlight relative to limit.
	fill float64
	// rampFrom is when the ramp-up began; zero when it is complete.
	rampFrom int64
	// latency is in nanoseconds, as of latencyAt.
	latency   float64
	latencyAt int64
	load      float64
	loadAt    int64
	Target
	until int64
	// fails counts failures in a row.
	fails int
	group *group
}

// count changes the number in flight by d and updates what follows from it and other fields.
func (t *target) count(d int32) {
	t.inFlight += d
	t.fill = float64(t.inFlight) / float64(max(1, t.limit))
	t.plain = t.health == up && t.rampFrom == 0 && !t.Leaving && !t.announced
}

// group holds the targets of one region by failure domain.
type group struct {
	region  ident.Region
	domains []domain
	// latency is the mean over all targets in nanoseconds; zero before the first sample.
	latency float64
}

type domain struct {
	name    ident.Domain
	targets []*target
}

func (g *group) add(t *target) {
	i := slices.IndexFunc(g.domains, func(d domain) bool { return d.name == t.Place.Domain })
	if i < 0 {
		i = len(g.domains)
		g.domains = append(g.domains, domain{name: t.Place.Domain})
	}
	g.domains[i].targets = append(g.domains[i].targets, t)
	t.group = g
}

type choice struct {
	// below is the sum of the shares up to and including this one.
	below ident.PPM
	group *group
}

type origin struct {
	region  ident.Region
	weights []shift.Weight
	choices []choice
}

// pool holds the targets of one service.
type pool struct {
	groups  []*group
	origins []origin
}

// Picker chooses targets. It is not safe for concurrent use, see share.Holder. Started must follow a Pick that is used
// before the next Pick, since the picker counts a request from Started on.
type Picker struct {
	rnd        *rand.Rand
	pools      map[ident.Service]*pool
	targets    map[ident.Target]*target
	ramp       time.Duration
	first, max time.Duration
	domainCost float64
}

// Option changes a setting of a Picker.
type Option func(*Picker)

// Ramp sets the time over which a new or returned target is ramped up to all of its slots; 30 s by default.
func Ramp(d time.Duration) Option { return func(p *Picker) { p.ramp = d } }

// Backoff sets the first and the longest time without work for a target with failures; 500 ms and 15 s by default.
func Backoff(first, longest time.Duration) Option {
	return func(p *Picker) { p.first, p.max = first, longest }
}

// DomainCost sets how much latency a target in another failure domain of the region must save before it is preferred;
// 5 ms by default.
func DomainCost(d time.Duration) Option { return func(p *Picker) { p.domainCost = float64(d) } }

// New returns a Picker without targets.
func New(src rand.Source, opts ...Option) *Picker {
	p := &Picker{
		rnd: rand.New(src), pools: map[ident.Service]*pool{}, targets: map[ident.Target]*target{},
		ramp: 30 * time.Second, first: 500 * time.Millisecond, max: 15 * time.Second,
		domainCost: float64(5 * time.Millisecond),
	}
	for _, o := range opts {
		o(p)
	}
	return p
}

// SetTargets replaces the set of targets. Targets that stay keep their counts; new ones are ramped up, except in the
// first set of a service.
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
				t.rampFrom = now.UnixNano()
			}
		} else if t.Leaving && !tg.Leaving {
			t.rampFrom = now.UnixNano()
		}
		t.Target = tg
		if !t.limited {
			t.limit = int32(tg.Slots)
		}
		t.count(0)
		p.pool(tg.Service).group(tg.Place.Region).add(t)
		p.targets[tg.Name] = t
	}
	for svc, pl := range p.pools {
		for _, g := range pl.groups {
			if old := pools[svc]; old != nil && old.find(g.region) != nil {
				g.latency = old.find(g.region).latency
			}
		}
		pl.choose()
	}
}

func (p *Picker) pool(svc ident.Service) *pool {
	pl := p.pools[svc]
	if pl == nil {
		pl = &pool{}
		p.pools[svc] = pl
	}
	return pl
}

func (pl *pool) group(r ident.Region) *group {
	if g := pl.find(r); g != nil {
		return g
	}
	g := &group{region: r}
	pl.groups = append(pl.groups, g)
	return g
}

// choose resolves the weights to groups. A region without targets keeps its share: its requests are shed.
func (pl *pool) choose() {
	for i := range pl.origins {
		o := &pl.origins[i]
		o.choices = o.choices[:0]
		var below ident.PPM
		for _, w := range o.weights {
			below += w.Share
			g := pl.find(w.Region)
			if g == nil {
				g = &group{region: w.Region}
			}
			o.choices = append(o.choices, choice{below: below, group: g})
		}
	}
}

// SetWeights sets the regions that serve a service for requests that arrive in the region from, and their shares.
// Without weights, only the region itself is chosen.
func (p *Picker) SetWeights(svc ident.Service, from ident.Region, w []shift.Weight) {
	pl := p.pool(svc)
	i := slices.IndexFunc(pl.origins, func(o origin) bool { return o.region == from })
	if i < 0 {
		i = len(pl.origins)
		pl.origins = append(pl.origins, origin{region: from})
	}
	pl.origins[i].weights = slices.Clone(w)
	pl.choose()
}

// SetLimit sets how many requests this entry may have in flight at the target: its slots granted. A target without a
// limit has its Slots as the limit. Names that are not in the set of targets are ignored.
func (p *Picker) SetLimit(name ident.Target, slots ident.Slots) {
	if t := p.targets[name]; t != nil {
		t.limit, t.limited = int32(slots), true
		t.count(0)
	}
}

// Pick draws a region and chooses a target in it, see Draw and PickIn.
func (p *Picker) Pick(now time.Time, from ident.Place, svc ident.Service, exclude []TargetRef) (TargetRef, bool) {
	pl := p.pools[svc]
	if pl == nil {
		return TargetRef{}, false
	}
	r := p.rnd.Uint64()
	return p.pick(now, from, pl.draw(from.Region, r>>32), exclude, math.MaxInt64, r&0xffffffff)
}

// Draw selects the region that serves a request by the weights. It is called once per request: a request that waits and
// draws again would end up where slots are free, whatever the weights say.
func (p *Picker) Draw(from ident.Region, svc ident.Service) (ident.Region, bool) {
	pl := p.pools[svc]
	if pl == nil {
		return "", false
	}
	g := pl.draw(from, p.rnd.Uint64()>>32)
	if g == nil {
		return "", false
	}
	return g.region, true
}

// PickIn chooses a target in a region for a request that arrives at from. Targets in exclude are not chosen; another
// failure domain than theirs is preferred, and no trial of a failed target is made while any other is up, so that a retry
// does not fail for the same reason. It reports false if no target in the region can take the request: a full region
// sheds and does not overflow into the next one.
//
// The time wait is how long the request would wait for another slot, see admit.Queue.Wait. A target that is slower than
// the others of the region by more than that is chosen for a trial now and then only.
func (p *Picker) PickIn(now time.Time, from ident.Place, svc ident.Service, in ident.Region, exclude []TargetRef,
	wait time.Duration) (TargetRef, bool) {
	pl := p.pools[svc]
	if pl == nil {
		return TargetRef{}, false
	}
	return p.pick(now, from, pl.find(in), exclude, wait, p.rnd.Uint64()>>32)
}

func (p *Picker) pick(now time.Time, from ident.Place, g *group, exclude []TargetRef, wait time.Duration,
	bits uint64) (TargetRef, bool) {
	if g == nil {
		return TargetRef{}, false
	}
	s := scan{p: p, now: now.UnixNano(), exclude: exclude, mean: g.latency}
	if s.mean == 0 {
		s.mean = float64(startLatency)
	}
	s.slow = max(slowFactor*s.mean, s.mean+float64(wait))
	for i := range g.domains {
		if d := &g.domains[i]; d.name == from.Domain {
			s.over(d, bits)
		}
	}
	// An idle target of mean latency in another domain costs this much, so a cheaper local one is taken at once.
	if s.extra = p.domainCost; s.best == nil || s.cost > s.mean+s.extra {
		for i := range g.domains {
			if d := &g.domains[i]; d.name != from.Domain {
				s.over(d, bits)
			}
		}
	}
	switch {
	case s.best != nil:
		return TargetRef{s.best}, true
	case s.second != nil:
		return TargetRef{s.second}, true
	case s.avoided != nil && !s.brisk:
		// Every target has become slow at once, so that waiting for another one gains nothing.
		return TargetRef{s.avoided}, true
	case s.due != nil && !s.up && !s.excluded(s.due):
		return TargetRef{s.due}, true
	}
	return TargetRef{}, false
}

func (pl *pool) find(r ident.Region) *group {
	for _, g := range pl.groups {
		if g.region == r {
			return g
		}
	}
	return nil
}

// draw selects the serving region with 32 random bits. It returns nil if that region is not known.
func (pl *pool) draw(from ident.Region, bits uint64) *group {
	for i := range pl.origins {
		o := &pl.origins[i]
		if o.region != from || len(o.choices) == 0 {
			continue
		}
		n := ident.PPM(bits * uint64(ident.Whole) >> 32)
		for k := range o.choices {
			if n < o.choices[k].below {
				return o.choices[k].group
			}
		}
		return nil
	}
	return pl.find(from)
}

// scan finds the cheapest target of a group.
type scan struct {
	p       *Picker
	now     int64
	exclude []TargetRef
	mean    float64
	// slow is the latency from which a target is left for trials.
	slow float64
	// extra is the surcharge of the failure domain that is being scanned.
	extra float64
	best  *target
	cost  float64
	// up says that a target of the region that this entry has slots of has not failed; due is one that has and can be tried.
	up  bool
	due *target
	// avoided is a slow target that can take a request. It is chosen only if no target that is up is brisk: not slow.
	avoided *target
	brisk   bool
	// second is the cheapest target in a failure domain of an excluded one.
	second     *target
	secondCost float64
}

// over scans one failure domain. It starts anywhere by 32 random bits, so that equal targets are chosen equally often.
func (s *scan) over(d *domain, bits uint64) {
	n := len(d.targets)
	i := int(bits * uint64(n) >> 32)
	shared := s.excludes(d.name)
	for seen := 0; seen < n && (seen < scanWidth || s.best == nil); seen++ {
		t := d.targets[i]
		if i++; i == n {
			i = 0
		}
		if t.plain {
			s.up = s.up || t.limit > 0
		} else if !s.special(t) {
			continue
		}
		slow := t.latency > s.slow
		s.brisk = s.brisk || !slow && t.limit > 0
		if t.inFlight >= t.limit {
			continue
		}
		if slow && s.avoids(t) {
			if !shared && s.avoided == nil {
				s.avoided = t
			}
			continue
		}
		if shared {
			s.offerSecond(t)
		} else if c := s.of(t); s.best == nil || c < s.cost {
			s.best, s.cost = t, c
		}
	}
}

// special reports whether a target that is closed, has failed or is ramping up can take a request.
func (s *scan) special(t *target) bool {
	switch {
	case t.Leaving || t.announced:
		return false
	case t.health != down:
		s.up = s.up || t.limit > 0
		return s.p.open(t, s.now)
	case !s.p.open(t, s.now):
		return false
	case len(s.exclude) > 0:
		if t.limit > 0 {
			s.due = t
		}
		return false
	}
	return true
}

// avoids reports whether a slow target is not due for a trial.
func (s *scan) avoids(t *target) bool {
	return t.health != down && (t.inFlight > 0 || s.now-t.latencyAt < int64(slowTrial))
}

func (s *scan) excludes(d ident.Domain) bool {
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

// offerSecond considers a target in the failure domain of an excluded one.
func (s *scan) offerSecond(t *target) {
	if s.excluded(t) {
		return
	}
	if c := s.of(t); s.second == nil || c < s.secondCost {
		s.second, s.secondCost = t, c
	}
}

// open reports whether a target that is ramping up or has failed can take a request.
func (p *Picker) open(t *target, now int64) bool {
	switch {
	case t.health == paused && now < t.until:
		return false
	case t.health == down:
		return now >= t.until && t.inFlight == 0
	case t.rampFrom == 0:
		return true
	}
	part := float64(now-t.rampFrom) / float64(p.ramp)
	if part >= 1 {
		t.rampFrom = 0
		t.count(0)
		return true
	}
	return float64(t.inFlight) < 1+part*float64(t.limit-1)-1e-9 || t.inFlight == 0
}

// of returns the cost of a target: its expected latency in nanoseconds with surcharges.
func (s *scan) of(t *target) float64 {
	if t.health == down {
		// A trial that is due goes first, or a target that was slow before it failed would stay out.
		return 0
	}
	c := s.mean
	if age := s.now - t.latencyAt; t.latencyAt != 0 && age < int64(forget) {
		c += (t.latency - s.mean) * (1 - float64(age)*(1/float64(forget)))
	}
	extra := fillWeight * t.fill
	if age := s.now - t.loadAt; t.loadAt != 0 && age < int64(loadAge) {
		extra += loadWeight * t.load * (1 - float64(max(0, age))*(1/float64(loadAge)))
	}
	if t.rampFrom != 0 {
		extra += 1 - float64(s.now-t.rampFrom)/float64(s.p.ramp)
	}
	return c + c*extra + s.extra
}

// Lookup returns the reference to a target by name.
func (p *Picker) Lookup(name ident.Target) (TargetRef, bool) {
	t := p.targets[name]
	return TargetRef{t}, t != nil
}

// Started records that a request was sent to the target.
func (p *Picker) Started(ref TargetRef) { ref.t.count(1) }

// Finished records the end of a request for which Started was called.
func (p *Picker) Finished(now time.Time, ref TargetRef, latency time.Duration, res Result) {
	t := ref.t
	t.inFlight--
	defer t.count(0)
	switch res {
	case OK:
		t.sample(now, latency)
		t.fails = 0
		if t.health == down {
			t.rampFrom = now.UnixNano()
		}
		t.health = up
	case Shed:
		t.until = now.Add(shedPause).UnixNano()
		if t.health != down {
			t.health = paused
		}
	case Failed, Unreachable:
		t.fails++
		if res == Unreachable || t.fails >= failsToTrip || t.health == down {
			t.health, t.until = down, now.Add(p.backoff(t.fails)).UnixNano()
		}
	case Abandoned:
		if float64(latency) > t.latency {
			t.sample(now, latency)
		}
		if t.health == down {
			t.until = now.Add(p.first).UnixNano()
		}
	}
}

func (t *target) sample(now time.Time, latency time.Duration) {
	if t.latencyAt == 0 {
		t.latency = float64(latency)
	}
	if t.group.latency == 0 {
		t.group.latency = float64(latency)
	}
	t.latencyAt = now.UnixNano()
	t.latency += alpha * (float64(latency) - t.latency)
	t.group.latency += groupAlpha * (float64(latency) - t.group.latency)
}

// backoff doubles with each failure and varies by a fifth, so that entries do not try a target all at once.
func (p *Picker) backoff(fails int) time.Duration {
	d := p.first << min(max(0, fails-failsToTrip), 20)
	d = min(d, p.max)
	return d - d/10 + time.Duration(p.rnd.Int64N(int64(d/5)+1))
}

// Report records the load that the target reported: requests in progress per slot, as of the time asOf. Loads are
// bounded to 0 to 1, so that a report can cost a target a quarter of its latency.
func (p *Picker) Report(name ident.Target, load float64, asOf time.Time) {
	if t := p.targets[name]; t != nil && asOf.UnixNano() > t.loadAt {
		// The negated comparison also catches NaN.
		if !(load >= 0) {
			load = 0
		}
		t.load, t.loadAt = min(load, 1), asOf.UnixNano()
	}
}

// Leaving records whether the target has announced that it leaves. A target that leaves gets no new work; one that
// comes back is ramped up.
func (p *Picker) Leaving(now time.Time, name ident.Target, leaving bool) {
	t := p.targets[name]
	if t == nil || t.announced == leaving {
		return
	}
	t.announced = leaving
	if !leaving {
		t.rampFrom = now.UnixNano()
	}
	t.count(0)
}

// State is the state of one target for the dump of the process.
type State struct {
	Target   ident.Target  `json:"target"`
	InFlight int32         `json:"in-flight"`
	Limit    int32         `json:"limit"`
	Latency  time.Duration `json:"latency-ns"`
	// Fails counts failures in a row.
	Fails   int  `json:"fails"`
	Down    bool `json:"down"`
	Leaving bool `json:"leaving"`
	Ramping bool `json:"ramping"`
}

// States appends the state of every target to dst, in no particular order.
func (p *Picker) States(dst []State) []State {
	for _, t := range p.targets {
		dst = append(dst, State{
			Target: t.Name, InFlight: t.inFlight, Limit: t.limit, Latency: time.Duration(t.latency), Fails: t.fails,
			Down: t.health == down, Leaving: t.Leaving || t.announced, Ramping: t.rampFrom != 0,
		})
	}
	return dst
}
