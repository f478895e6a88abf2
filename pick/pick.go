// Package pick chooses the target of a request. Requests for the same object go to the same few targets on every VM,
// since a target answers faster for objects that it has handled recently. Every VM computes the same order of targets
// for an object (rendezvous hashing); how far down that order a request goes depends on the load that the targets have
// reported in their answers. The package has no I/O, no goroutines and no clock of its own.
package pick

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/hash"
	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/region"
)

const (
	// loadMemory is the time constant with which the load that other VMs cause at a target is forgotten after a report.
	loadMemory = 1500 * time.Millisecond
	// firstRegionTrip and firstDomainTrip are the round trips that are assumed until some were measured.
	firstRegionTrip = 100 * time.Millisecond
	firstDomainTrip = 3 * time.Millisecond
	// regionPenalty and domainPenalty weigh the price of bytes between places, as time.
	regionPenalty = 40 * time.Millisecond
	domainPenalty = 3 * time.Millisecond
	// firstWork is the time of a request at a target that is assumed until some were measured.
	firstWork = 200 * time.Millisecond
	// workMemory is the weight of a new sample in the mean time of a route's requests.
	workMemory = 0.05
	// learnLeast is the number of requests below which no request is refused because of its route's mean times.
	learnLeast = 8
	// unknownCost is how many times the extra work of an unknown object counts: it delays the requests behind it, and
	// makes the target forget another object. With 1, a rush spread every object over all targets and kept all caches cold.
	unknownCost = 8.0
	// suspectFor is how long a target that failed to connect or broke a connection gets no requests; it doubles with each
	// further failure up to suspectMost.
	suspectFor  = 500 * time.Millisecond
	suspectMost = 4 * time.Second
	// failMemory is the weight of a new outcome in a target's failure rate, failPenalty the time that a failure rate of 1
	// adds to its cost.
	failMemory  = 0.1
	failPenalty = 3 * time.Second
	// failOrdinary is the failure rate that any target may have.
	failOrdinary = 0.05
	// slowMemory is the weight of a new sample in a target's speed.
	slowMemory = 0.1
	// knownFor is how long an object counts as known to a target after its last request from this VM.
	knownFor = 3 * time.Second
	// holders is the number of targets of a region beyond which a further one costs as much again.
	holders = 2
	// coldSlowdown is how much longer a cold target works.
	coldSlowdown = 2
)

// Object is the hash of what a request is about. Zero stands for a request without an object.
type Object uint64

// NewObject returns the object with the given key on a route.
func NewObject(route fleet.RouteName, key []byte) Object {
	if len(key) == 0 {
		return 0
	}
	h := xxhash.New()
	// Writes to a hash do not fail.
	_, _ = h.WriteString(string(route))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(key)
	return Object(h.Sum64() | 1)
}

// target is what this VM knows of one target.
type target struct {
	fleet.Target
	hash uint64
	// distance is that from this VM.
	distance ident.Distance
	// sent is the number of requests of this VM in progress there.
	sent int
	// others is the load that other VMs caused there at the time of the last report.
	others   float64
	reported time.Time
	// failures counts failures to connect or broken connections in a row; until suspect it gets no requests.
	failures int
	suspect  time.Time
	// failRate is the mean share of requests that failed there, 0 to 1.
	failRate float64
	// slow is the mean time of its requests relative to those of its route elsewhere, 1 for an ordinary target.
	slow float64
	// gone says that another target answered at its address.
	gone bool
	// known holds when this VM last sent a request for an object there.
	known map[Object]time.Time
	cold  coldGate
}

// pool is the targets of one service, sorted by id.
type pool struct {
	targets []*target
	spread  *region.Spread
	homes   region.Homes
}

// work is the mean time of a route's requests at a target, without waiting.
type work struct {
	// known and unknown are the means for objects that the target has handled recently and for others.
	known, unknown time.Duration
	// samples are the numbers of requests that the means are made of.
	knownSamples, unknownSamples int
}

// learned reports whether the means rest on requests and not on a first guess.
func (w *work) learned() bool { return w.knownSamples+w.unknownSamples >= learnLeast }

// Picker chooses targets for one VM. It is not safe for concurrent use.
type Picker struct {
	self   ident.VM
	place  ident.Place
	byID   map[ident.Target]*target
	pools  map[ident.Service]*pool
	work   map[fleet.RouteName]*work
	trips  map[ident.Region]time.Duration
	specs  map[ident.Service]fleet.Service
	splits map[fleet.RouteName]*split
	// vms are the VMs that share the rates of cold targets, this one included, and vmHashes the hashes of their names. round
	// grows whenever they change.
	vms      []ident.VM
	vmHashes []uint64
	selfHash uint64
	round    uint64
	// list and suspects are memory for candidates; what is in them holds during one choice.
	list, suspects []candidate
}

// New returns a picker for a VM at the given place, without targets.
func New(self ident.VM, place ident.Place) *Picker {
	p := &Picker{
		self: self, place: place, selfHash: xxhash.Sum64String(string(self)),
		byID:   map[ident.Target]*target{},
		pools:  map[ident.Service]*pool{},
		work:   map[fleet.RouteName]*work{},
		trips:  map[ident.Region]time.Duration{},
		splits: map[fleet.RouteName]*split{},
	}
	p.SetVMs(nil)
	return p
}

// SetVMs tells which VMs send requests to the same targets. This VM counts in any case.
func (p *Picker) SetVMs(vms []ident.VM) {
	if p.round > 0 && slices.Equal(vms, p.vms) {
		return
	}
	p.vms = append(p.vms[:0], vms...)
	if !slices.Contains(p.vms, p.self) {
		p.vms = append(p.vms, p.self)
	}
	p.vmHashes = p.vmHashes[:0]
	for _, vm := range p.vms {
		p.vmHashes = append(p.vmHashes, xxhash.Sum64String(string(vm)))
	}
	p.round++
}

// SetTargets takes the targets and services of a snapshot and keeps what was learned about those that stay.
func (p *Picker) SetTargets(now time.Time, s *fleet.Snapshot) {
	if s.Config != nil {
		p.specs = s.Config.Services
	}
	byID := make(map[ident.Target]*target, len(p.byID))
	pools := p.pools
	p.pools = make(map[ident.Service]*pool, len(s.Targets))
	for svc, list := range s.Targets {
		pl := &pool{targets: make([]*target, 0, len(list)), spread: &region.Spread{}}
		if old := pools[svc]; old != nil {
			pl.spread = old.spread
		}
		slots := map[ident.Region]float64{}
		for _, ft := range list {
			t := p.byID[ft.ID]
			if t == nil || t.Born != ft.Born || t.Address != ft.Address {
				t = &target{hash: xxhash.Sum64String(string(ft.ID)), slow: 1, known: map[Object]time.Time{}}
			}
			t.Target = ft
			t.distance = p.place.To(ft.Place)
			byID[ft.ID] = t
			pl.targets = append(pl.targets, t)
			slots[t.Place.Region] += float64(t.Slots)
		}
		pl.spread.SetSlots(now, p.place.Region, slots)
		pl.homes = region.NewHomes(p.place.Region, slots)
		slices.SortFunc(pl.targets, func(a, b *target) int { return strings.Compare(string(a.ID), string(b.ID)) })
		p.pools[svc] = pl
	}
	p.byID = byID
}

// Ask describes a request that needs a target.
type Ask struct {
	Route   *fleet.Route
	Service ident.Service
	Object  Object
	// Deadline is when the answer must be there.
	Deadline time.Time
	// Tried are targets that the request must not be sent to again.
	Tried []ident.Target
}

// Choice is the target of a request.
type Choice struct {
	Target fleet.Target
	// Known says that the target has probably handled the object recently.
	Known bool
	// Expected is the estimated time until the answer.
	Expected time.Duration
	// Load is the number of requests at the target, as far as is known.
	Load float64
	// wished is the region that the costs alone would have chosen.
	wished ident.Region
}

// Reason says why there is no choice.
type Reason uint8

// The reasons.
const (
	// Chosen: there is a choice.
	Chosen Reason = iota
	// NoTarget: the service has no target that may be used.
	NoTarget
	// ColdOnly: all targets that are left are cold, and this VM has used up its share of their rates.
	ColdOnly
	// TooLate: no target is expected to answer before the deadline.
	TooLate
)

// String returns the reason in kebab case.
func (r Reason) String() string {
	return [...]string{"chosen", "no-target", "cold-only", "too-late"}[r]
}

// candidate is a target with the cost of sending a request there.
type candidate struct {
	t     *target
	score uint64
	group group
	// rank is the target's place in its group by the object's hash, at most holders.
	rank     int
	known    bool
	expected time.Duration
	cost     time.Duration
}

// Choose returns the target with the least cost. The caller must call Started for it.
func (p *Picker) Choose(now time.Time, a Ask) (Choice, Reason) {
	pl := p.pools[a.Service]
	if pl == nil || len(pl.targets) == 0 {
		return Choice{}, NoTarget
	}
	list, reason := p.candidates(now, pl, a)
	if len(list) == 0 {
		return Choice{}, reason
	}
	left := a.Deadline.Sub(now)
	learned := p.workOf(a.Route).learned()
	// Wished is the cheapest candidate, chosen the cheapest in a region that may get more.
	var wished, chosen *candidate
	for i := range list {
		c := &list[i]
		p.estimate(now, a, c)
		if c.expected >= left && learned {
			continue
		}
		if wished == nil || c.cost < wished.cost {
			wished = c
		}
		if (chosen == nil || c.cost < chosen.cost) && pl.spread.Open(now, c.t.Place.Region) {
			chosen = c
		}
	}
	if wished == nil {
		return Choice{}, TooLate
	}
	if chosen == nil {
		chosen = wished
	}
	c := chosen
	return Choice{Target: c.t.Target, Known: c.known, Expected: c.expected, Load: c.t.load(now), wished: wished.t.Place.Region}, Chosen
}

// candidates returns the targets that the request may be sent to, with their rank within their region. Targets that
// failed lately are left out unless there are no others.
func (p *Picker) candidates(now time.Time, pl *pool, a Ask) ([]candidate, Reason) {
	list, suspects := p.list[:0], p.suspects[:0]
	reason := NoTarget
	for _, t := range pl.targets {
		if t.gone || !a.Route.Allows(t.Place.Region) || slices.Contains(a.Tried, t.ID) {
			continue
		}
		if now.Before(t.ColdUntil) && !p.mayWarm(now, t) {
			reason = ColdOnly
			continue
		}
		c := candidate{t: t, score: hash.Mix(uint64(a.Object) ^ t.hash)}
		if now.Before(t.suspect) {
			suspects = append(suspects, c)
			continue
		}
		list = append(list, c)
	}
	p.list, p.suspects = list, suspects
	if len(list) == 0 {
		list = suspects
	}
	home := p.home(pl, a)
	for i := range list {
		list[i].group = p.groupOf(home, list[i].t)
	}
	rank(list, a.Object)
	return list, reason
}

// rank numbers the first candidates of each group in the order of the object's hash; all others get the rank holders.
func rank(list []candidate, object Object) {
	var first [groups][holders]*candidate
	for i := range list {
		c := &list[i]
		c.rank = holders
		if object == 0 {
			continue
		}
		// Insertion into the first ones of the group.
		for k, next := 0, c; k < holders && next != nil; k++ {
			if x := first[c.group][k]; x == nil || next.before(x) {
				first[c.group][k], next = next, x
			}
		}
	}
	for _, g := range first {
		for k, c := range g {
			if c != nil {
				c.rank = k
			}
		}
	}
}

// before reports whether c comes first by the object's hash.
func (c *candidate) before(d *candidate) bool {
	if c.score != d.score {
		return c.score > d.score
	}
	return c.t.ID < d.t.ID
}

// group is the order of regions for an object.
type group uint8

const (
	// homeGroup is the region that holds the object, nextGroup the VM's own region or, if that is the home, all others.
	homeGroup group = iota
	nextGroup
	restGroup
	groups = int(restGroup) + 1
)

func (p *Picker) groupOf(home ident.Region, t *target) group {
	switch {
	case t.Place.Region == home:
		return homeGroup
	case home == p.place.Region, t.Place.Region == p.place.Region:
		return nextGroup
	}
	return restGroup
}

// home is the region that holds the object of a request. A route that may not be served everywhere stays near.
func (p *Picker) home(pl *pool, a Ask) ident.Region {
	if len(a.Route.Regions) > 0 || a.Object == 0 {
		return p.place.Region
	}
	return pl.homes.Of(uint64(a.Object))
}

// estimate fills in how long the request would take at the candidate and what it costs.
func (p *Picker) estimate(now time.Time, a Ask, c *candidate) {
	w := p.workOf(a.Route)
	_, seen := c.t.known[a.Object]
	first := c.rank == 0 && c.group != restGroup
	c.known = a.Object != 0 && (first || seen && now.Sub(c.t.known[a.Object]) < knownFor)
	need := w.unknown
	if c.known {
		need = w.known
	}
	if now.Before(c.t.ColdUntil) {
		need = coldSlowdown * w.unknown
	}
	wait := scale(w.known, c.t.queue(now)/float64(max(c.t.Slots, 1)))
	c.expected = p.trip(c.t) + scale(need+wait, c.t.slow)
	c.cost = c.expected + p.penalty(c)
	if !c.known {
		c.cost += scale(w.unknown-w.known, unknownCost)
	}
	if a.Object != 0 && !c.known && c.rank >= holders {
		c.cost += scale(w.unknown-w.known, unknownCost)
	}
}

func scale(d time.Duration, x float64) time.Duration { return time.Duration(float64(d) * x) }

// penalty is the cost of a target beyond its expected time.
func (p *Picker) penalty(c *candidate) time.Duration {
	cost := scale(failPenalty, max(c.t.failRate-failOrdinary, 0))
	switch d := c.t.distance; {
	case d == ident.OtherRegion && c.group != homeGroup:
		cost += regionPenalty
	case d != ident.OtherRegion && c.group == nextGroup:
		// As far from the object's home as the home is from here.
		cost += 2*p.nearestTrip() + regionPenalty
	case d == ident.SameRegion:
		cost += domainPenalty
	}
	return cost
}

// nearestTrip is the shortest known round trip to another region.
func (p *Picker) nearestTrip() time.Duration {
	nearest := firstRegionTrip
	for r, d := range p.trips {
		if r != p.place.Region {
			nearest = min(nearest, d)
		}
	}
	return nearest
}

// trip is the round trip to a target.
func (p *Picker) trip(t *target) time.Duration {
	switch t.distance {
	case ident.OtherRegion:
		if d, ok := p.trips[t.Place.Region]; ok {
			return d
		}
		return firstRegionTrip
	case ident.SameRegion:
		return firstDomainTrip
	}
	return 0
}

// Trip records the time that a new connection to a region took.
func (p *Picker) Trip(r ident.Region, d time.Duration) {
	if old, ok := p.trips[r]; ok {
		d = min(old+(d-old)/8, d)
	}
	p.trips[r] = d
}

// load is the number of requests at the target that this VM knows of.
func (t *target) load(now time.Time) float64 {
	if t.others == 0 {
		return float64(t.sent)
	}
	fade := math.Exp(-float64(now.Sub(t.reported)) / float64(loadMemory))
	return float64(t.sent) + t.others*fade
}

// queue is the number of requests that a further one would wait for.
func (t *target) queue(now time.Time) float64 {
	return max(0, t.load(now)+1-float64(t.Slots))
}

func (p *Picker) workOf(r *fleet.Route) *work {
	w := p.work[r.Name]
	if w == nil {
		first := max(r.Aim, firstWork)
		w = &work{known: first / 3, unknown: first}
		p.work[r.Name] = w
	}
	return w
}
