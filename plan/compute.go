package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/lists"
	"github.com/currantpier/currantpier/share"
	"github.com/currantpier/currantpier/shift"
	"github.com/currantpier/currantpier/store"
)

// Entry is the state of an entry VM as known to the lease holder.
type Entry struct {
	VM    ident.VM
	Place ident.Place
	// Acked is the newest plan version for which the entry has completed all decreases, as last reported.
	Acked ident.Version
	// Reported is the time of its last demand report, or zero if there was none.
	Reported time.Time
	// Silent is how long the entry has been both missing from the platform's list and unreachable; zero if it is alive.
	Silent time.Duration
	// Leaving is true for an entry that is being removed. It loses slots as its demand decreases.
	Leaving bool
}

// Demand is the last report of one entry for one service in one serving region. A live entry without such a row has no
// demand there.
type Demand struct {
	Service ident.Service
	Region  ident.Region
	Entry   ident.VM
	// Slots is the mean number of requests that are in progress, waiting, or rejected because no slot was free.
	Slots float64
	// Mbps is the traffic in Mbit/s between the entry and the region's targets, in the busier direction.
	Mbps float64
}

// Link is one direction of the network link between two regions.
type Link struct {
	From, To ident.Region
	// Limit is the total capacity.
	Limit ident.Mbps
	// Used is the total measured traffic in Mbit/s; At is the time of that measurement.
	Used float64
	At   time.Time
}

// Input is the input of Compute besides the previous plan.
type Input struct {
	Config lists.Config
	Term   ident.Term
	// VMs is the platform's list, of which only upstreams are used. A list without upstreams is treated as a platform
	// fault: the targets of the previous plan are kept.
	VMs []store.VMInfo
	// Entries lists every entry that is or was recently alive, sorted by VM.
	Entries []Entry
	// ObservedFor is how long the lease holder has observed the entries. An entry with grants in the previous plan that is
	// missing from Entries is treated as silent for that long.
	ObservedFor time.Duration
	// Demand is sorted by service, region and entry.
	Demand []Demand
	Links  []Link
	Rules  shift.Settings
}

// RouteOutcome is the outcome of the computation for one route.
type RouteOutcome struct {
	Service ident.Service
	Origin  ident.Region
	Reason  shift.Reason
	// Share is the share of the traffic that moved.
	Share ident.PPM
}

// Changes describes the changes of a plan.
type Changes struct {
	// Changed is false if the plan needn't be published because it equals the previous one. Version, Term, CreatedAt and the
	// fields Movements and LastStep of routes aren't compared.
	Changed bool
	// Routes lists the routes that differ from their goal before this step, sorted by service and origin.
	Routes []RouteOutcome
}

// site is the set of targets of one service in one region.
type site struct {
	service ident.Service
	region  ident.Region
	// targets holds indexes into the plan's targets, in order of name.
	targets []int
	// slots is the total of all targets that aren't leaving.
	slots ident.Slots
	// drained is true if the region is drained. The site then serves requests only until its traffic has moved.
	drained bool
	// demand is the part of Input.Demand for this site. entryIndexes holds the index in Input.Entries for each of its
	// rows, or -1 if the entry is unknown. slotsInUse is the total demand of the live entries.
	demand       []Demand
	entryIndexes []int
	slotsInUse   float64
	// unsettledSlots is the need of traffic that shifts moved here too recently to be included in slotsInUse.
	unsettledSlots float64
	// reportedAt is the oldest report of the live entries that use the site, or zero if a report is missing.
	reportedAt time.Time
}

type serviceRegion struct {
	service ident.Service
	region  ident.Region
}

type linkKey struct{ from, to ident.Region }

type link struct {
	Link
	// unsettledMbps is the traffic that shifts moved to the link too recently to be included in Used.
	unsettledMbps float64
}

// computation is the state of one call of Compute.
type computation struct {
	in     Input
	prev   TrafficPlan
	now    time.Time
	next   TrafficPlan
	reason Changes
	// entryIndex maps an entry to its index in in.Entries.
	entryIndex map[ident.VM]int
	// liveByRegion holds the indexes of the live entries of a region.
	liveByRegion map[ident.Region][]int
	// oldestReport is the oldest report of the live entries of a region, or zero if a report is missing.
	oldestReport map[ident.Region]time.Time
	// sites is sorted by service and region.
	sites     []site
	siteIndex map[serviceRegion]int
	links     map[linkKey]*link
	// originDemand is the demand per service and origin.
	originDemand map[serviceRegion]shift.MeasuredTraffic
}

// Compute returns the successor of the plan previous. The caller publishes it on the condition that the stored version
// is previous.Version; a plan that was not published must not be passed as previous. The arguments are not modified,
// but the result may share slices with them.
func Compute(in Input, previous TrafficPlan, now time.Time) (TrafficPlan, Changes) {
	c := &computation{in: in, prev: previous, now: now}
	c.next = TrafficPlan{
		Version: previous.Version + 1, Term: in.Term, ConfigVersion: in.Config.Version, CreatedAt: now,
	}
	c.indexEntries()
	c.buildTargets()
	c.groupSites()
	c.sumDemand()
	c.computeRoutes()
	c.computeGrants()
	c.reason.Changed = previous.Version == 0 || previous.ConfigVersion != c.next.ConfigVersion ||
		!slices.Equal(previous.Grants, c.next.Grants) || !slices.Equal(previous.Targets, c.next.Targets) ||
		!slices.EqualFunc(previous.Routes, c.next.Routes, func(a, b Route) bool {
			return a.Service == b.Service && a.Origin == b.Origin && slices.Equal(a.Weights, b.Weights)
		})
	return c.next, c.reason
}

// indexEntries indexes the entries. Entries with grants in the previous plan that are missing from the input are added
// as silent.
func (c *computation) indexEntries() {
	c.entryIndex = make(map[ident.VM]int, len(c.in.Entries))
	for i, e := range c.in.Entries {
		c.entryIndex[e.VM] = i
	}
	known := len(c.in.Entries)
	for _, g := range c.prev.Grants {
		if _, ok := c.entryIndex[g.Entry]; !ok {
			c.entryIndex[g.Entry] = -1
			c.in.Entries = append(slices.Clip(c.in.Entries), Entry{VM: g.Entry, Silent: max(1, c.in.ObservedFor)})
		}
	}
	if len(c.in.Entries) > known {
		slices.SortFunc(c.in.Entries, func(a, b Entry) int { return cmp.Compare(a.VM, b.VM) })
		for i, e := range c.in.Entries {
			c.entryIndex[e.VM] = i
		}
	}
	c.liveByRegion = map[ident.Region][]int{}
	c.oldestReport = map[ident.Region]time.Time{}
	for i, e := range c.in.Entries {
		if e.Silent > 0 {
			continue
		}
		r := e.Place.Region
		oldest, ok := c.oldestReport[r]
		if !ok || e.Reported.Before(oldest) {
			c.oldestReport[r] = e.Reported
		}
		c.liveByRegion[r] = append(c.liveByRegion[r], i)
	}
}

func (c *computation) isDrained(scope lists.Scope, name string) bool {
	for _, d := range c.in.Config.Drains {
		if d.Scope == scope && d.Name == name {
			return true
		}
	}
	return false
}

// regionDrained reports whether a region is configured as drained and the previous plan routes no traffic of the
// service to it. Until then, the targets of the region serve the traffic that has not moved yet.
func (c *computation) regionDrained(svc ident.Service, region ident.Region) bool {
	if !c.isDrained(lists.ScopeRegion, string(region)) {
		return false
	}
	for _, r := range c.prev.Routes {
		if r.Service == svc && slices.ContainsFunc(r.Weights, func(x Weight) bool { return x.Region == region }) {
			return false
		}
	}
	return true
}

// buildTargets takes the targets from the platform's list, without those whose number of slots is out of bounds. A target that is no longer listed is kept as leaving while
// the previous plan has grants for it, since entries may still use its slots.
func (c *computation) buildTargets() {
	listed := make([]Target, 0, len(c.in.VMs))
	for _, vm := range c.in.VMs {
		if vm.Role != store.RoleUpstream || vm.Service == "" || vm.Slots <= 0 || vm.Slots > MaxSlots {
			continue
		}
		listed = append(listed, Target{
			Name: ident.Target(vm.Name), Service: vm.Service, Address: vm.Address, Place: vm.Place, Slots: vm.Slots,
			MaxConnections: vm.Connections,
			Leaving: vm.State == store.Leaving || c.isDrained(lists.ScopeTarget, vm.Name) ||
				c.isDrained(lists.ScopeVM, vm.Name) || c.isDrained(lists.ScopeDomain, string(vm.Place.Domain)) ||
				c.regionDrained(vm.Service, vm.Place.Region),
		})
	}
	if len(listed) == 0 {
		c.next.Targets = c.prev.Targets
		return
	}
	byName := func(a, b Target) int { return cmp.Compare(a.Name, b.Name) }
	slices.SortStableFunc(listed, byName)
	listed = slices.CompactFunc(listed, func(a, b Target) bool { return a.Name == b.Name })
	n, g := len(listed), 0
	for _, t := range c.prev.Targets {
		for g < len(c.prev.Grants) && c.prev.Grants[g].Target < t.Name {
			g++
		}
		_, ok := slices.BinarySearchFunc(listed[:n], t, byName)
		if !ok && g < len(c.prev.Grants) && c.prev.Grants[g].Target == t.Name {
			t.Leaving = true
			listed = append(listed, t)
		}
	}
	if len(listed) > n {
		slices.SortFunc(listed, byName)
	}
	c.next.Targets = listed
}

// groupSites groups the targets by service and region.
func (c *computation) groupSites() {
	c.siteIndex = map[serviceRegion]int{}
	for i, t := range c.next.Targets {
		key := serviceRegion{t.Service, t.Place.Region}
		k, ok := c.siteIndex[key]
		if !ok {
			k = len(c.sites)
			c.siteIndex[key] = k
			c.sites = append(c.sites, site{service: t.Service, region: t.Place.Region})
		}
		s := &c.sites[k]
		s.targets = append(s.targets, i)
		if !t.Leaving {
			s.slots += t.Slots
		}
	}
	slices.SortFunc(c.sites, func(a, b site) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.region, b.region))
	})
	for i, s := range c.sites {
		c.siteIndex[serviceRegion{s.service, s.region}] = i
		c.sites[i].reportedAt = c.oldestReport[s.region]
		c.sites[i].drained = c.isDrained(lists.ScopeRegion, string(s.region))
	}
}

// sumDemand adds up the demand per site and per origin, and indexes the links.
func (c *computation) sumDemand() {
	c.originDemand = map[serviceRegion]shift.MeasuredTraffic{}
	entryIndexes := make([]int, len(c.in.Demand))
	for first := 0; first < len(c.in.Demand); {
		key := serviceRegion{c.in.Demand[first].Service, c.in.Demand[first].Region}
		end := first + 1
		for end < len(c.in.Demand) && c.in.Demand[end].Service == key.service && c.in.Demand[end].Region == key.region {
			end++
		}
		s := &site{service: key.service}
		if k, ok := c.siteIndex[key]; ok {
			s = &c.sites[k]
		}
		s.demand, s.entryIndexes = c.in.Demand[first:end], entryIndexes[first:end]
		c.sumSiteDemand(s)
		first = end
	}
	c.links = make(map[linkKey]*link, len(c.in.Links))
	for _, l := range c.in.Links {
		c.links[linkKey{l.From, l.To}] = &link{Link: l}
	}
}

// sumSiteDemand adds up the demand of a site. Consecutive rows mostly have the same origin, so the sums are added to
// originDemand only when the origin changes.
func (c *computation) sumSiteDemand(s *site) {
	var origin ident.Region
	var m shift.MeasuredTraffic
	flush := func() {
		key := serviceRegion{s.service, origin}
		t := c.originDemand[key]
		t.Slots += m.Slots
		t.Mbps += m.Mbps
		c.originDemand[key], m = t, shift.MeasuredTraffic{}
	}
	for i := range s.demand {
		d := &s.demand[i]
		k, ok := c.entryIndex[d.Entry]
		if !ok {
			k = -1
		}
		s.entryIndexes[i] = k
		if !ok || c.in.Entries[k].Silent > 0 {
			continue
		}
		if r := c.in.Entries[k].Place.Region; r != origin {
			flush()
			origin = r
		}
		m.Slots += d.Slots
		m.Mbps += d.Mbps
		s.slotsInUse += d.Slots
	}
	flush()
}

// computeRoutes computes the weights of each service and origin.
func (c *computation) computeRoutes() {
	routes := c.allRoutes()
	for i := range routes {
		r := &routes[i]
		for _, weight := range r.Weights {
			c.includeOriginReports(r, weight.Region)
		}
		c.addUnsettled(r, 1)
	}
	c.next.Routes = make([]Route, 0, len(routes))
	for _, r := range routes {
		goal := c.goalWeights(r)
		switch {
		case len(goal) == 0 && len(r.Weights) == 0:
			continue
		case len(goal) == 0:
			goal = r.Weights
		case len(r.Weights) == 0:
			r.Weights = goal
		}
		c.next.Routes = append(c.next.Routes, c.advanceRoute(r, goal))
	}
}

// allRoutes returns the previous routes of services that have targets, and a new route for each other pair of a service
// and a region with live entries, sorted by service and origin.
func (c *computation) allRoutes() []Route {
	routes := make([]Route, 0, len(c.prev.Routes))
	existing := make(map[serviceRegion]bool, len(c.prev.Routes))
	services := map[ident.Service]bool{}
	for _, s := range c.sites {
		services[s.service] = true
	}
	for _, r := range c.prev.Routes {
		if services[r.Service] {
			routes = append(routes, r)
			existing[serviceRegion{r.Service, r.Origin}] = true
		}
	}
	for svc := range services {
		for origin := range c.liveByRegion {
			if !existing[serviceRegion{svc, origin}] {
				routes = append(routes, Route{Service: svc, Origin: origin})
			}
		}
	}
	slices.SortFunc(routes, func(a, b Route) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Origin, b.Origin))
	})
	return routes
}

// includeOriginReports includes the reports of the route's origin in the reportedAt of a site that the route uses:
// without them the headroom of the site is unknown.
func (c *computation) includeOriginReports(r *Route, region ident.Region) {
	k, ok := c.siteIndex[serviceRegion{r.Service, region}]
	if at, live := c.oldestReport[r.Origin]; ok && live && at.Before(c.sites[k].reportedAt) {
		c.sites[k].reportedAt = at
	}
}

// measuredTraffic returns the traffic of a route. Its time is that of the oldest report of the origin's live entries,
// or zero if a report is missing.
func (c *computation) measuredTraffic(r *Route) shift.MeasuredTraffic {
	m := c.originDemand[serviceRegion{r.Service, r.Origin}]
	m.At = c.oldestReport[r.Origin]
	return m
}

// addUnsettled adds the cost of the route's movements that measurements don't include yet, multiplied by sign, to the
// sites and links.
func (c *computation) addUnsettled(r *Route, sign float64) {
	m := c.measuredTraffic(r)
	for _, mv := range r.Movements {
		slots, mbps := c.in.Rules.Cost(m, mv.Share)
		if k, ok := c.siteIndex[serviceRegion{r.Service, mv.To}]; ok && shift.NotYetMeasured(mv.At, c.sites[k].reportedAt) {
			c.sites[k].unsettledSlots += float64(sign * slots)
		}
		if l := c.links[linkKey{r.Origin, mv.To}]; l != nil && shift.NotYetMeasured(mv.At, l.At) {
			l.unsettledMbps += float64(sign * mbps)
		}
	}
}

// goalWeights returns the configured weights, sorted by region, or none if no target accepts requests. Moves come
// first; the remaining traffic is served in its origin. If the origin has no open slots, that traffic is divided among
// the other regions in proportion to their slots.
func (c *computation) goalWeights(r Route) []Weight {
	shares := map[ident.Region]ident.PPM{}
	rest := ident.Whole
	for _, m := range c.in.Config.Moves {
		if m.Service == r.Service && m.From == r.Origin && c.hasOpenSlots(r.Service, m.To) {
			shares[m.To] += min(rest, m.Share)
			rest -= min(rest, m.Share)
		}
	}
	if c.hasOpenSlots(r.Service, r.Origin) {
		shares[r.Origin] += rest
		rest = 0
	}
	if rest > 0 {
		c.spreadBySlots(r.Service, shares, rest)
	}
	goal := make([]Weight, 0, len(shares))
	for region, s := range shares {
		if s > 0 {
			goal = append(goal, Weight{Region: region, Share: s})
		}
	}
	slices.SortFunc(goal, func(a, b Weight) int { return cmp.Compare(a.Region, b.Region) })
	return goal
}

func (c *computation) hasOpenSlots(svc ident.Service, r ident.Region) bool {
	k, ok := c.siteIndex[serviceRegion{svc, r}]
	return ok && c.sites[k].openSlots() > 0
}

// openSlots returns the number of slots to which traffic may be moved: zero if the region is drained.
func (s *site) openSlots() ident.Slots {
	if s.drained {
		return 0
	}
	return s.slots
}

// spreadBySlots divides share among the sites of a service in proportion to their open slots. The parts add up exactly.
func (c *computation) spreadBySlots(svc ident.Service, shares map[ident.Region]ident.PPM, share ident.PPM) {
	first, _ := slices.BinarySearchFunc(c.sites, svc, func(s site, svc ident.Service) int { return cmp.Compare(s.service, svc) })
	var slots int64
	for i := first; i < len(c.sites) && c.sites[i].service == svc; i++ {
		slots += int64(c.sites[i].openSlots())
	}
	for i := first; i < len(c.sites) && c.sites[i].service == svc && slots > 0; i++ {
		s := &c.sites[i]
		part := ident.PPM(int64(share) * int64(s.openSlots()) / slots)
		shares[s.region] += part
		share, slots = share-part, slots-int64(s.openSlots())
	}
}

// advanceRoute moves a route towards its goal. The traffic that it moves reduces the headroom for the routes after it.
func (c *computation) advanceRoute(r Route, goal []Weight) Route {
	if slices.Equal(r.Weights, goal) && len(r.Movements) == 0 {
		return r
	}
	if !slices.Equal(r.Weights, goal) && !shift.Applied(r.LastStep, c.ackedVersions(r.Origin)) {
		c.reason.Routes = append(c.reason.Routes, RouteOutcome{Service: r.Service, Origin: r.Origin, Reason: shift.HoldUnacked})
		return r
	}
	// shift.NextStep adds the movements of the route itself, so they must not be counted twice.
	c.addUnsettled(&r, -1)
	step, why := shift.NextStep(c.in.Rules, shift.State{Weights: r.Weights, Movements: r.Movements}, goal, c.headroom(&r, goal),
		c.measuredTraffic(&r), c.now)
	if why != shift.AtGoal {
		c.reason.Routes = append(c.reason.Routes, RouteOutcome{Service: r.Service, Origin: r.Origin, Reason: why, Share: step.Share})
	}
	r.Weights, r.Movements = step.State.Weights, step.State.Movements
	if step.Share > 0 {
		r.LastStep = c.next.Version
	}
	if len(r.Movements) == 0 {
		r.Movements = nil
	}
	c.addUnsettled(&r, 1)
	return r
}

// ackedVersions returns the plan versions that the live entries of a region have acknowledged.
func (c *computation) ackedVersions(region ident.Region) []ident.Version {
	acked := make([]ident.Version, 0, len(c.liveByRegion[region]))
	for _, i := range c.liveByRegion[region] {
		acked = append(acked, c.in.Entries[i].Acked)
	}
	return acked
}

func (c *computation) headroom(r *Route, goal []Weight) []shift.Headroom {
	headrooms := make([]shift.Headroom, 0, len(goal))
	for _, g := range goal {
		k, ok := c.siteIndex[serviceRegion{r.Service, g.Region}]
		if !ok {
			continue
		}
		s := c.sites[k]
		h := shift.Headroom{
			Region: g.Region, Slots: float64(s.slots), Used: s.slotsInUse + s.unsettledSlots, At: s.reportedAt, Local: g.Region == r.Origin,
		}
		if l := c.links[linkKey{r.Origin, g.Region}]; l != nil {
			h.Link, h.LinkUsed, h.LinkAt = float64(l.Limit), l.Used+l.unsettledMbps, l.At
		}
		headrooms = append(headrooms, h)
	}
	return headrooms
}

// computeGrants allocates the slots of each site to the entries.
func (c *computation) computeGrants() {
	grantRange := make([][2]int, len(c.next.Targets))
	g := 0
	for i, t := range c.next.Targets {
		for g < len(c.prev.Grants) && c.prev.Grants[g].Target < t.Name {
			g++
		}
		grantRange[i][0] = g
		for g < len(c.prev.Grants) && c.prev.Grants[g].Target == t.Name {
			g++
		}
		grantRange[i][1] = g
	}
	byTarget := make([][]Grant, len(c.next.Targets))
	set := entrySet{position: make([]int, len(c.in.Entries))}
	total := 0
	for k := range c.sites {
		s := &c.sites[k]
		table := share.Allocation{Region: s.region}
		for _, t := range s.targets {
			tg := c.next.Targets[t]
			if tg.Leaving {
				tg.Slots = 0
			}
			table.Targets = append(table.Targets, share.Target{Name: tg.Name, Place: tg.Place, Slots: tg.Slots})
			table.Grants = append(table.Grants, c.prev.Grants[grantRange[t][0]:grantRange[t][1]]...)
		}
		result := share.Rebalance(table, c.next.Version, c.entriesOf(&set, s, table.Grants), c.now)
		total += len(result.Grants)
		for _, t := range s.targets {
			n := 0
			for n < len(result.Grants) && result.Grants[n].Target == c.next.Targets[t].Name {
				n++
			}
			byTarget[t], result.Grants = result.Grants[:n], result.Grants[n:]
		}
	}
	c.next.Grants = make([]Grant, 0, total)
	for _, gs := range byTarget {
		c.next.Grants = append(c.next.Grants, gs...)
	}
}

// entrySet collects the entries for one site. Its memory is reused for the next site.
type entrySet struct {
	// position maps an index in Input.Entries to the position in entries plus one, or to zero if the entry isn't in the
	// set.
	position []int
	indexes  []int
	entries  []share.Entry
}

// entriesOf returns the live entries of the site's region and all entries with demand or grants for the site, sorted by
// VM.
func (c *computation) entriesOf(u *entrySet, s *site, grants []Grant) []share.Entry {
	for _, i := range u.indexes {
		u.position[i] = 0
	}
	u.indexes, u.entries = u.indexes[:0], u.entries[:0]
	u.add(c.liveByRegion[s.region]...)
	n := len(u.indexes)
	for _, k := range s.entryIndexes {
		if k >= 0 {
			u.add(k)
		}
	}
	for i := range grants {
		u.add(c.entryIndex[grants[i].Entry])
	}
	if len(u.indexes) > n {
		slices.Sort(u.indexes)
	}
	for pos, i := range u.indexes {
		e := &c.in.Entries[i]
		u.position[i] = pos + 1
		u.entries = append(u.entries, share.Entry{
			VM: e.VM, Place: e.Place, AckedVersion: e.Acked, UnreachableFor: e.Silent, DemandAt: e.Reported,
			Leaving: e.Leaving || c.isDrained(lists.ScopeVM, string(e.VM)) ||
				c.isDrained(lists.ScopeDomain, string(e.Place.Domain)),
		})
	}
	for i, k := range s.entryIndexes {
		if k >= 0 {
			u.entries[u.position[k]-1].Demand = s.demand[i].Slots
		}
	}
	return u.entries
}

func (u *entrySet) add(index ...int) {
	for _, i := range index {
		if u.position[i] == 0 {
			u.position[i] = 1
			u.indexes = append(u.indexes, i)
		}
	}
}
