// Package pick selects the target of a request. All VMs send requests for the same object to the same few targets, since a
// target responds faster for objects that it has processed recently. Rendezvous hashing gives every VM the same order of
// targets for an object; how far down that order a request goes depends on the load that targets report in their responses.
// The package does no I/O, starts no goroutines and takes the time as a parameter.
package pick

import (
	"math/rand"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/hash"
	"github.com/currantpier/currantpier/heat"
	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/region"
)

const (
	// serviceTimeWeight is the weight of a new sample in a route's mean service times.
	serviceTimeWeight = 0.05
	// minSamples is the number of samples of a route from which on its mean service times may lead to refusals.
	minSamples = 8
	// reportWeight is the weight of a load report in the mean of its service.
	reportWeight = 0.02
	// suspectPeriod is how long a target gets no requests after a connection to it failed; the time doubles with each
	// consecutive failure up to maxSuspectPeriod.
	suspectPeriod    = 500 * time.Millisecond
	maxSuspectPeriod = 4 * time.Second
	// failRateWeight is the weight of a new outcome in a target's failure rate.
	failRateWeight = 0.1
	// slowdownWeight is the weight of a new sample in a target's slowdown.
	slowdownWeight = 0.1
	// knownPeriod is how long a target counts as knowing an object after this VM's last request for it there.
	knownPeriod = 3 * time.Second
	// preferredTargets is the number of targets per group that an object is ranked on.
	preferredTargets = 2
)

// Object is the hash of the affinity key of a request. Zero stands for a request without a key.
type Object uint64

// NewObject returns the object of an affinity key on a route, zero for an empty key.
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

// target is the state of one upstream target as observed by this VM.
type target struct {
	fleet.Target
	pool *pool
	hash uint64
	// distance is measured from this VM.
	distance ident.Distance
	// inFlight is the number of this VM's requests in progress at the target.
	inFlight int
	// othersLoad is the number of other VMs' requests at the target at the last report. heard is set if another VM got the report.
	othersLoad float64
	reportedAt time.Time
	heard      bool
	// reportedPace is the last reported pace as a ratio; zero if none was reported. It was reported at pacedAt.
	reportedPace float64
	pacedAt      time.Time
	// process is the hash that identifies the target's process in reports of other VMs.
	process uint32
	shared  sharedReport
	// consecutiveFailures counts failures of the connection or the response without a success in between. Until
	// suspectUntil, the target gets no requests unless no other is left.
	consecutiveFailures int
	suspectUntil        time.Time
	// respondedAt is the time of the target's last response of any kind.
	respondedAt time.Time
	// failRate is the exponential mean of the share of requests that failed, 0 to 1.
	failRate float64
	// slowdown is the exponential mean of the ratio of the target's service times to the means of their routes, at least 0.7.
	slowdown float64
	// replaced is set when another target responded at the address.
	replaced bool
	// notice is what the target has said about itself, nil if nothing.
	notice *notice
	// lastRequest maps an object to the time of this VM's last request for it at the target.
	lastRequest map[Object]time.Time
	pacer       coldPacer
}

// pool holds the targets of one service, sorted by id.
type pool struct {
	targets []*target
	// othersPerSlot is the exponential mean of the reports of other VMs' requests per slot.
	othersPerSlot float64
	// paced is set while the targets report their pace.
	paced bool
	// heardAt is when a report of another VM was last applied.
	heardAt time.Time
	homes   *region.Homes
	// meanSlots is the mean number of slots of a target.
	meanSlots float64
}

// Picker selects targets for the requests of one VM. It is not safe for concurrent use.
type Picker struct {
	self         ident.VM
	place        ident.Place
	byID         map[ident.Target]*target
	reports      reportIndex
	pools        map[ident.Service]*pool
	serviceTimes map[fleet.RouteName]*serviceTimes
	regionRTT    map[ident.Region]time.Duration
	services     map[ident.Service]fleet.Service
	splits       map[fleet.RouteName]*split
	// vms are the VMs that share the warm-up rates of cold targets, this one included, and vmHashes the hashes of their names.
	// vmsVersion increases whenever they change. Without a quorum, other VMs may have another list, and this VM sends nothing to
	// cold targets.
	vms        []ident.VM
	quorum     bool
	vmHashes   []uint64
	selfHash   uint64
	vmsVersion uint64
	// notices are kept by target also while it isn't registered.
	notices map[ident.Target]*notice
	// candidateBuf and suspectBuf are reused buffers of candidates; their contents are valid during one call of Choose.
	candidateBuf, suspectBuf []candidate
	// homeBackedOff is set during one call of Choose if a target in the home region has asked for a time without requests.
	homeBackedOff bool
	// spread spreads the times at which VMs send to a target again; its seed is the VM's name.
	spread       *rand.Rand
	spreadSource *peekSource
	// heat has the demand of objects, nil without WithHolders. holderOffset counts the requests for objects with further holders,
	// and holderBuf is a reused buffer.
	heat         *heat.Table
	callerShare  float64
	holderOffset uint64
	holderBuf    []*candidate
}

// New returns a Picker without targets for a VM at the given place.
func New(self ident.VM, place ident.Place, options ...Option) *Picker {
	p := &Picker{
		self: self, place: place, selfHash: xxhash.Sum64String(string(self)),
		byID:         map[ident.Target]*target{},
		pools:        map[ident.Service]*pool{},
		serviceTimes: map[fleet.RouteName]*serviceTimes{},
		regionRTT:    map[ident.Region]time.Duration{},
		splits:       map[fleet.RouteName]*split{},
		notices:      map[ident.Target]*notice{},
		callerShare:  1,
		holderBuf:    make([]*candidate, 0, heat.MaxHolders),
	}
	p.spreadSource = newPeekSource(int64(p.selfHash))
	p.spread = rand.New(p.spreadSource)
	p.SetVMs(nil, true)
	for _, o := range options {
		o(p)
	}
	return p
}

// SetVMs sets the VMs that send requests to the same targets, and whether this VM has a quorum and may send to cold targets.
// This VM is always included.
func (p *Picker) SetVMs(vms []ident.VM, quorum bool) {
	p.quorum = quorum
	if p.vmsVersion > 0 && slices.Equal(vms, p.vms) {
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
	p.vmsVersion++
}

// SetTargets replaces the targets and services by those of a snapshot. It keeps the state of targets whose id, start time and
// address are unchanged.
func (p *Picker) SetTargets(now time.Time, s *fleet.Snapshot) {
	if s.Config != nil {
		p.services = s.Config.Services
	}
	byID := make(map[ident.Target]*target, len(p.byID))
	pools := p.pools
	p.pools = make(map[ident.Service]*pool, len(s.Targets))
	for svc, list := range s.Targets {
		slots, allSlots := map[ident.Region]float64{}, 0.0
		pl := &pool{targets: make([]*target, 0, len(list)), homes: region.NewHomes(p.place.Region)}
		if old := pools[svc]; old != nil {
			pl.homes, pl.othersPerSlot, pl.paced, pl.heardAt = old.homes, old.othersPerSlot, old.paced, old.heardAt
		}
		for _, ft := range list {
			t := p.byID[ft.ID]
			if t == nil || t.StartedUnixMS != ft.StartedUnixMS || t.Address != ft.Address {
				t = &target{hash: xxhash.Sum64String(string(ft.ID)), slowdown: 1, lastRequest: map[Object]time.Time{},
					process: processHash(&ft)}
			}
			t.Target, t.pool, t.notice = ft, pl, p.noticeFor(now, &ft)
			t.distance = p.place.To(ft.Place)
			byID[ft.ID] = t
			pl.targets = append(pl.targets, t)
			slots[t.Place.Region] += float64(t.Slots)
			allSlots += float64(t.Slots)
		}
		pl.homes.SetSlots(slots)
		pl.meanSlots = allSlots / float64(max(len(list), 1))
		slices.SortFunc(pl.targets, func(a, b *target) int { return strings.Compare(string(a.ID), string(b.ID)) })
		p.pools[svc] = pl
	}
	p.byID = byID
	p.indexProcesses()
}

// Request holds the properties of a request that determine its target.
type Request struct {
	Route   *fleet.Route
	Service ident.Service
	Object  Object
	// Deadline is the time by which the response must arrive.
	Deadline time.Time
	// Regions are the regions that may serve the request's customer; empty means all. They apply together with the route's.
	Regions []ident.Region
	// Excluded are the targets of earlier attempts.
	Excluded []ident.Target
	// Only are the targets to choose from; empty for all.
	Only []ident.Target
}

// allows reports whether a request may go to a target by its route, its customer and by what earlier attempts have left.
func (a *Request) allows(t *target) bool {
	return a.Route.Allows(t.Place.Region) && (len(a.Regions) == 0 || slices.Contains(a.Regions, t.Place.Region)) &&
		(len(a.Only) == 0 || slices.Contains(a.Only, t.ID))
}

// Choice is the target selected for a request.
type Choice struct {
	Target fleet.Target
	// Known is set if the target has probably processed the object recently.
	Known bool
	// Expected is the estimated time to the response.
	Expected time.Duration
	// Load is the estimated number of requests of all VMs at the target.
	Load float64
	// Pace is the estimated ratio of the time that work takes at the target to the usual time.
	Pace float64
	// Holder is the position of the target among the holders of the object, 1 for the first; 0 if the object has one holder or the
	// target is none.
	Holder int
	// home is the home region of the request's object, cheapestRegion the region of the target with the least cost.
	home, cheapestRegion ident.Region
}

// Reason is the result of Choose: Chosen, or why no target was selected.
type Reason uint8

const (
	// Chosen: a target was selected.
	Chosen Reason = iota
	// NoTarget: the service has no eligible target.
	NoTarget
	// AllLeaving: all targets that would be eligible have announced that they are leaving.
	AllLeaving
	// BackedOff: all targets that would be eligible, except those that are leaving, have asked this VM for a time without requests.
	BackedOff
	// ColdOnly: all eligible targets are cold, and this VM may not send to any of them now.
	ColdOnly
	// TooLate: no target is expected to respond before the deadline.
	TooLate
	// RegionLimit: no target of the object's home region is expected to respond before the deadline, and the request may not
	// move to another region now.
	RegionLimit
)

// String returns the reason in kebab case.
func (r Reason) String() string {
	return [...]string{"chosen", "no-target", "all-leaving", "backed-off", "cold-only", "too-late", "region-limit"}[r]
}

// candidate is an eligible target with the estimated cost of sending the request to it.
type candidate struct {
	t     *target
	score uint64
	group group
	// rank is the target's position in its group by rendezvous hashing, at most preferredTargets. Requests without an object are
	// ranked by a random key if pool.spreads, and otherwise all targets have the rank preferredTargets.
	rank  int
	known bool
	// holder is the target's position among several holders of the object, 1 for the first; 0 if it is none. overBound and turn
	// are used by estimator.balance.
	holder    uint8
	overBound bool
	turn      float32
	expected  time.Duration
	cost      time.Duration
}

// Choose returns the target with the least cost in the regions that may serve the request: the home region of its object, and
// others as far as the limit on moves between regions allows. The caller must call RecordStart when it sends the request.
func (p *Picker) Choose(now time.Time, a Request) (Choice, Reason) {
	pl := p.pools[a.Service]
	if pl == nil || len(pl.targets) == 0 {
		return Choice{}, NoTarget
	}
	d := p.decide(now, pl, a, choosing)
	if d.reason == RegionLimit {
		pl.homes.Record(now, d.home, d.cheapest.t.Place.Region, d.home)
	}
	c := d.chosen
	if c == nil {
		return Choice{}, d.reason
	}
	return Choice{
		Target: c.t.Target, Known: c.known, Expected: c.expected, Load: c.t.load(now), Pace: c.t.pace(now), Holder: int(c.holder), home: d.home,
		cheapestRegion: d.cheapest.t.Place.Region,
	}, Chosen
}

// pass says what a decision is made for.
type pass uint8

const (
	// choosing is a decision on a request that is sent.
	choosing pass = iota
	// previewing is a decision that changes no state.
	previewing
)

// decision is the result of one pass over the targets of a service. list and holders are valid until the next pass.
type decision struct {
	selection
	home    ident.Region
	list    []candidate
	holders []*candidate
	// chosen is nil if reason isn't Chosen.
	chosen *candidate
	reason Reason
}

// decide decides which target of a service gets a request.
func (p *Picker) decide(now time.Time, pl *pool, a Request, mode pass) decision {
	holders := p.countHolders(now, pl, a, mode)
	d := decision{home: p.homeRegion(pl, a)}
	d.list, d.reason = p.candidates(now, pl, a, d.home, mode)
	if len(d.list) == 0 {
		return d
	}
	d.holders = p.markHolders(now, d.list, holders, mode)
	d.selection = p.compare(now, pl, a, d.home, d.list, mode)
	d.chosen, d.reason = d.selection.choose()
	return d
}

// selection has the best candidates of a request among those that are expected to respond in time; nil where there is none.
type selection struct {
	// cheapest has the least cost of all, atHome the least in the home region, and allowed the least in the regions that the
	// request may move to now.
	cheapest, atHome, allowed *candidate
	// homeEligible is set if the home region has any candidate, or would have one that has asked for a time without requests: like
	// overload, this doesn't lift the limit on moves between regions.
	homeEligible bool
}

// compare estimates the candidates of a request and returns the best ones.
func (p *Picker) compare(now time.Time, pl *pool, a Request, home ident.Region, list []candidate, mode pass) selection {
	s := selection{homeEligible: p.homeBackedOff}
	e := p.newEstimator(now, pl, a, mode)
	for i := range list {
		c := &list[i]
		e.estimate(c)
		isHome := c.group == homeGroup
		s.homeEligible = s.homeEligible || isHome
		if e.late(c) {
			continue
		}
		if s.cheapest == nil || c.cost < s.cheapest.cost {
			s.cheapest = c
		}
		if isHome && (s.atHome == nil || c.cost < s.atHome.cost) {
			s.atHome = c
		}
		if (s.allowed == nil || c.cost < s.allowed.cost) && pl.homes.Allows(now, home, c.t.Place.Region) {
			s.allowed = c
		}
	}
	return s
}

// choose returns the candidate that gets the request, or nil and the reason. A request whose home region has no candidate may
// go anywhere.
func (s *selection) choose() (*candidate, Reason) {
	switch {
	case s.cheapest == nil:
		return nil, TooLate
	case s.allowed != nil:
		return s.allowed, Chosen
	case s.atHome != nil:
		return s.atHome, Chosen
	case !s.homeEligible:
		return s.cheapest, Chosen
	}
	return nil, RegionLimit
}

// candidates returns the eligible targets with their ranks. Suspect targets are included only if there are no others.
func (p *Picker) candidates(now time.Time, pl *pool, a Request, home ident.Region, mode pass) ([]candidate, Reason) {
	list, suspects := p.candidateBuf[:0], p.suspectBuf[:0]
	reason := NoTarget
	p.homeBackedOff = false
	ranked, key := a.Object != 0 || pl.spreads(now), uint64(a.Object)
	if ranked && a.Object == 0 {
		key = p.randomKey(mode)
	}
	for _, t := range pl.targets {
		x := p.exclusion(now, &a, t, mode)
		if x != eligible && x != excludedSuspect {
			r := x.reason()
			reason = max(reason, r)
			p.homeBackedOff = p.homeBackedOff || r == BackedOff && t.Place.Region == home
			continue
		}
		c := candidate{t: t, rank: preferredTargets, score: hash.Mix(key ^ t.hash)}
		if x == excludedSuspect {
			suspects = append(suspects, c)
			continue
		}
		list = append(list, c)
	}
	p.candidateBuf, p.suspectBuf = list, suspects
	if len(list) == 0 {
		list = suspects
	}
	for i := range list {
		list[i].group = p.groupOf(home, list[i].t)
	}
	if ranked {
		rank(list)
	}
	return list, reason
}

// homeRegion returns the home region of the request's object. For a request without an object, and for a route or customer that is
// restricted to some regions, it is the VM's own region. If that may not serve the request, there is no candidate at home, and the
// request may go to any candidate.
func (p *Picker) homeRegion(pl *pool, a Request) ident.Region {
	if len(a.Route.Regions) > 0 || len(a.Regions) > 0 || a.Object == 0 {
		return p.place.Region
	}
	return pl.homes.RegionOf(uint64(a.Object))
}
