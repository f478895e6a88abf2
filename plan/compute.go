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

// Entry is what the lease holder knows of an entry VM.
type Entry struct {
	VM    ident.VM
	Place ident.Place
	// Acked is the newest plan version whose decreases the entry has completed, as it reported last.
	Acked ident.Version
	// Reported is the time of its last report of demand; zero if there was none.
	Reported time.Time
	// Silent is how long the entry has been gone from the platform's list and unheard of; zero if it is alive.
	Silent time.Duration
	// Leaving entries give slots up as their demand ends.
	Leaving bool
}

// Demand is what one entry last reported for one service in one serving region. A live entry without a row for it has
// no such demand.
type Demand struct {
	Service ident.Service
	Region  ident.Region
	Entry   ident.VM
	// Slots is the mean number of requests in progress, waiting or refused for want of a slot.
	Slots float64
	// Mbps is the traffic between the entry and the region's targets in Mbit/s, in the busier direction.
	Mbps float64
}

// Link is the connection between two regions, one direction.
type Link struct {
	From, To ident.Region
	// Limit is the capacity for all traffic.
	Limit ident.Mbps
	// Used is all measured traffic in Mbit/s; At is the time of that measurement.
	Used float64
	At   time.Time
}

// Input is everything that a plan is computed from, besides the previous plan.
type Input struct {
	Config lists.Config
	Term   ident.Term
	// VMs is the platform's list; only upstreams are used. A list without any upstream is taken for a fault of the
	// platform: the targets stay as they are.
	VMs []store.VMInfo
	// Entries lists every entry that is alive or was so during the last minutes, sorted by VM.
	Entries []Entry
	// Watched is how long the lease holder has observed the entries. An entry that the previous plan names and Entries
	// does not is taken to be silent for that long.
	Watched time.Duration
	// Demand is sorted by service, region and entry.
	Demand []Demand
	Links  []Link
	Rules  shift.Rules
}

// RouteReason says what happened to one route.
type RouteReason struct {
	Service ident.Service
	Origin  ident.Region
	Reason  shift.Reason
	// Share is how much moved.
	Share ident.PPM
}

// Reason explains a plan.
type Reason struct {
	// Changed is false if the plan equals the previous one except for its version, term and time. It need not be
	// published.
	Changed bool
	// Routes lists the routes that are not at their goal, sorted by service and origin.
	Routes []RouteReason
}

// site is the targets of one service in one region.
type site struct {
	service ident.Service
	region  ident.Region
	// targets are indexes into the plan's targets, in order of name.
	targets []int
	// slots excludes leaving targets.
	slots ident.Slots
	// drained sites serve only until their traffic has moved.
	drained bool
	// demand is the part of Input.Demand for this site and users are the entries of its rows, by index; -1 for an unknown
	// one. The sum of demand is used.
	demand []Demand
	users  []int
	used   float64
	// moved are the slots that shifts have brought here too recently to be part of used.
	moved float64
	// at is the time of the oldest report among the entries that use the site; zero if one is missing.
	at time.Time
}

type siteKey struct {
	service ident.Service
	region  ident.Region
}

type linkKey struct{ from, to ident.Region }

type link struct {
	Link
	// moved is the traffic in Mbit/s that shifts have brought too recently to be part of Used.
	moved float64
}

// work is the state of one computation.
type work struct {
	in   Input
	prev Traffic
	now  time.Time
	next Traffic
	why  Reason
	// entryAt gives the index of an entry in in.Entries.
	entryAt map[ident.VM]int
	// byRegion lists the entries of a region by index.
	byRegion map[ident.Region][]int
	// reported is the oldest report of the live entries of a region; zero if one is missing.
	reported map[ident.Region]time.Time
	// sites is sorted by service and region.
	sites  []site
	siteAt map[siteKey]int
	links  map[linkKey]*link
	// traffic is the demand per service and origin.
	traffic map[siteKey]shift.Measured
}

// Compute returns the plan that follows previous. The caller publishes it with previous.Version as a condition; a plan
// that was not published must not be used as previous. Slices of the result may be shared with the arguments, which are
// not changed.
func Compute(in Input, previous Traffic, now time.Time) (Traffic, Reason) {
	w := &work{in: in, prev: previous, now: now}
	w.next = Traffic{
		Version: previous.Version + 1, Term: in.Term, Config: in.Config.Version, MadeAt: now,
	}
	w.entries()
	w.targets()
	w.findSites()
	w.measure()
	w.routes()
	w.grants()
	w.why.Changed = previous.Version == 0 || previous.Config != w.next.Config ||
		!slices.Equal(previous.Grants, w.next.Grants) || !slices.Equal(previous.Targets, w.next.Targets) ||
		!slices.EqualFunc(previous.Routes, w.next.Routes, func(a, b Route) bool {
			return a.Service == b.Service && a.Origin == b.Origin && slices.Equal(a.Weights, b.Weights)
		})
	return w.next, w.why
}

// entries indexes the entries. One that the previous plan names and nobody has heard of is added as silent.
func (w *work) entries() {
	w.entryAt = make(map[ident.VM]int, len(w.in.Entries))
	for i, e := range w.in.Entries {
		w.entryAt[e.VM] = i
	}
	known := len(w.in.Entries)
	for _, g := range w.prev.Grants {
		if _, ok := w.entryAt[g.Entry]; !ok {
			w.entryAt[g.Entry] = -1
			w.in.Entries = append(slices.Clip(w.in.Entries), Entry{VM: g.Entry, Silent: max(1, w.in.Watched)})
		}
	}
	if len(w.in.Entries) > known {
		slices.SortFunc(w.in.Entries, func(a, b Entry) int { return cmp.Compare(a.VM, b.VM) })
		for i, e := range w.in.Entries {
			w.entryAt[e.VM] = i
		}
	}
	w.byRegion = map[ident.Region][]int{}
	w.reported = map[ident.Region]time.Time{}
	for i, e := range w.in.Entries {
		if e.Silent > 0 {
			continue
		}
		r := e.Place.Region
		old, ok := w.reported[r]
		if !ok || e.Reported.Before(old) {
			w.reported[r] = e.Reported
		}
		w.byRegion[r] = append(w.byRegion[r], i)
	}
}

func (w *work) drained(scope lists.Scope, name string) bool {
	for _, d := range w.in.Config.Drains {
		if d.Scope == scope && d.Name == name {
			return true
		}
	}
	return false
}

// emptied reports whether a region is drained and no route sends the service there any more. Until the shift has got so
// far, the targets of a drained region go on serving what is left.
func (w *work) emptied(svc ident.Service, region ident.Region) bool {
	if !w.drained(lists.ScopeRegion, string(region)) {
		return false
	}
	for _, r := range w.prev.Routes {
		if r.Service == svc && slices.ContainsFunc(r.Weights, func(x Weight) bool { return x.Region == region }) {
			return false
		}
	}
	return true
}

// targets takes the targets from the platform's list. One that is not listed any more is kept as leaving while entries
// may still use its slots.
func (w *work) targets() {
	listed := make([]Target, 0, len(w.in.VMs))
	for _, vm := range w.in.VMs {
		if vm.Role != store.RoleUpstream || vm.Service == "" || vm.Slots <= 0 {
			continue
		}
		listed = append(listed, Target{
			Name: ident.Target(vm.Name), Service: vm.Service, Address: vm.Address, Place: vm.Place, Slots: vm.Slots,
			Connections: vm.Connections,
			Leaving: vm.State == store.Leaving || w.drained(lists.ScopeTarget, vm.Name) ||
				w.drained(lists.ScopeVM, vm.Name) || w.drained(lists.ScopeDomain, string(vm.Place.Domain)) ||
				w.emptied(vm.Service, vm.Place.Region),
		})
	}
	if len(listed) == 0 {
		w.next.Targets = w.prev.Targets
		return
	}
	byName := func(a, b Target) int { return cmp.Compare(a.Name, b.Name) }
	slices.SortStableFunc(listed, byName)
	listed = slices.CompactFunc(listed, func(a, b Target) bool { return a.Name == b.Name })
	n, g := len(listed), 0
	for _, t := range w.prev.Targets {
		for g < len(w.prev.Grants) && w.prev.Grants[g].Target < t.Name {
			g++
		}
		_, ok := slices.BinarySearchFunc(listed[:n], t, byName)
		if !ok && g < len(w.prev.Grants) && w.prev.Grants[g].Target == t.Name {
			t.Leaving = true
			listed = append(listed, t)
		}
	}
	if len(listed) > n {
		slices.SortFunc(listed, byName)
	}
	w.next.Targets = listed
}

// findSites groups targets and demand by service and region.
func (w *work) findSites() {
	w.siteAt = map[siteKey]int{}
	for i, t := range w.next.Targets {
		key := siteKey{t.Service, t.Place.Region}
		k, ok := w.siteAt[key]
		if !ok {
			k = len(w.sites)
			w.siteAt[key] = k
			w.sites = append(w.sites, site{service: t.Service, region: t.Place.Region})
		}
		s := &w.sites[k]
		s.targets = append(s.targets, i)
		if !t.Leaving {
			s.slots += t.Slots
		}
	}
	slices.SortFunc(w.sites, func(a, b site) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.region, b.region))
	})
	for i, s := range w.sites {
		w.siteAt[siteKey{s.service, s.region}] = i
		w.sites[i].at = w.reported[s.region]
		w.sites[i].drained = w.drained(lists.ScopeRegion, string(s.region))
	}
}

// measure adds the demand up per site and per origin.
func (w *work) measure() {
	w.traffic = map[siteKey]shift.Measured{}
	users := make([]int, len(w.in.Demand))
	for first := 0; first < len(w.in.Demand); {
		key := siteKey{w.in.Demand[first].Service, w.in.Demand[first].Region}
		end := first + 1
		for end < len(w.in.Demand) && w.in.Demand[end].Service == key.service && w.in.Demand[end].Region == key.region {
			end++
		}
		s := &site{service: key.service}
		if k, ok := w.siteAt[key]; ok {
			s = &w.sites[k]
		}
		s.demand, s.users = w.in.Demand[first:end], users[first:end]
		w.sum(s)
		first = end
	}
	w.links = make(map[linkKey]*link, len(w.in.Links))
	for _, l := range w.in.Links {
		w.links[linkKey{l.From, l.To}] = &link{Link: l}
	}
}

// sum adds up the demand of a site. Most of it comes from one origin, so the sums of an origin are kept until another
// one follows.
func (w *work) sum(s *site) {
	var origin ident.Region
	var m shift.Measured
	flush := func() {
		key := siteKey{s.service, origin}
		t := w.traffic[key]
		t.Slots += m.Slots
		t.Mbps += m.Mbps
		w.traffic[key], m = t, shift.Measured{}
	}
	for i := range s.demand {
		d := &s.demand[i]
		k, ok := w.entryAt[d.Entry]
		if !ok {
			k = -1
		}
		s.users[i] = k
		if !ok || w.in.Entries[k].Silent > 0 {
			continue
		}
		if r := w.in.Entries[k].Place.Region; r != origin {
			flush()
			origin = r
		}
		m.Slots += d.Slots
		m.Mbps += d.Mbps
		s.used += d.Slots
	}
	flush()
}

// routes decides the weights of each service and origin.
func (w *work) routes() {
	routes := w.allRoutes()
	for i := range routes {
		r := &routes[i]
		for _, weight := range r.Weights {
			w.used(r, weight.Region)
		}
		w.moved(r, 1)
	}
	w.next.Routes = make([]Route, 0, len(routes))
	for _, r := range routes {
		goal := w.goal(r)
		switch {
		case len(goal) == 0 && len(r.Weights) == 0:
			continue
		case len(goal) == 0:
			goal = r.Weights
		case len(r.Weights) == 0:
			r.Weights = goal
		}
		w.next.Routes = append(w.next.Routes, w.step(r, goal))
	}
}

// allRoutes returns the previous routes and those that are missing for a service and a region with entries, in order.
func (w *work) allRoutes() []Route {
	routes := make([]Route, 0, len(w.prev.Routes))
	have := make(map[siteKey]bool, len(w.prev.Routes))
	services := map[ident.Service]bool{}
	for _, s := range w.sites {
		services[s.service] = true
	}
	for _, r := range w.prev.Routes {
		if services[r.Service] {
			routes = append(routes, r)
			have[siteKey{r.Service, r.Origin}] = true
		}
	}
	for svc := range services {
		for origin := range w.byRegion {
			if !have[siteKey{svc, origin}] {
				routes = append(routes, Route{Service: svc, Origin: origin})
			}
		}
	}
	slices.SortFunc(routes, func(a, b Route) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Origin, b.Origin))
	})
	return routes
}

// used notes that the entries of the route's origin use a site: without their reports its headroom is not known.
func (w *work) used(r *Route, region ident.Region) {
	k, ok := w.siteAt[siteKey{r.Service, region}]
	if at, live := w.reported[r.Origin]; ok && live && at.Before(w.sites[k].at) {
		w.sites[k].at = at
	}
}

// measured returns the traffic of a route. It is missing or as old as the oldest report of the origin's entries.
func (w *work) measured(r *Route) shift.Measured {
	m := w.traffic[siteKey{r.Service, r.Origin}]
	m.At = w.reported[r.Origin]
	return m
}

// moved adds the route's movements that measurements do not show yet to the sites and links, times sign.
func (w *work) moved(r *Route, sign float64) {
	m := w.measured(r)
	for _, mv := range r.Moved {
		slots, mbps := w.in.Rules.Cost(m, mv.Share)
		if k, ok := w.siteAt[siteKey{r.Service, mv.To}]; ok && shift.Unsettled(mv.At, w.sites[k].at) {
			w.sites[k].moved += sign * slots
		}
		if l := w.links[linkKey{r.Origin, mv.To}]; l != nil && shift.Unsettled(mv.At, l.At) {
			l.moved += sign * mbps
		}
	}
}

// goal returns the weights that the configuration asks for, sorted by region; empty if no target can take work. Traffic
// is served where it arrives. What a region cannot serve is spread over the others by their slots.
func (w *work) goal(r Route) []Weight {
	shares := map[ident.Region]ident.PPM{}
	rest := ident.Whole
	for _, m := range w.in.Config.Moves {
		if m.Service == r.Service && m.From == r.Origin && w.serves(r.Service, m.To) {
			shares[m.To] += min(rest, m.Share)
			rest -= min(rest, m.Share)
		}
	}
	if w.serves(r.Service, r.Origin) {
		shares[r.Origin] += rest
		rest = 0
	}
	if rest > 0 {
		w.spread(r.Service, shares, rest)
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

func (w *work) serves(svc ident.Service, r ident.Region) bool {
	k, ok := w.siteAt[siteKey{svc, r}]
	return ok && w.sites[k].open() > 0
}

// open returns the slots that a shift may move traffic to.
func (s *site) open() ident.Slots {
	if s.drained {
		return 0
	}
	return s.slots
}

// spread divides a share over the sites of a service in proportion to their slots, without remainder.
func (w *work) spread(svc ident.Service, shares map[ident.Region]ident.PPM, rest ident.PPM) {
	first, _ := slices.BinarySearchFunc(w.sites, svc, func(s site, svc ident.Service) int { return cmp.Compare(s.service, svc) })
	var slots int64
	for i := first; i < len(w.sites) && w.sites[i].service == svc; i++ {
		slots += int64(w.sites[i].open())
	}
	for i := first; i < len(w.sites) && w.sites[i].service == svc && slots > 0; i++ {
		s := &w.sites[i]
		part := ident.PPM(int64(rest) * int64(s.open()) / slots)
		shares[s.region] += part
		rest, slots = rest-part, slots-int64(s.open())
	}
}

// step moves a route towards its goal. What it moves counts against the headroom of the routes after it.
func (w *work) step(r Route, goal []Weight) Route {
	if slices.Equal(r.Weights, goal) && len(r.Moved) == 0 {
		return r
	}
	if !slices.Equal(r.Weights, goal) && !shift.Applied(r.Stepped, w.acked(r.Origin)) {
		w.why.Routes = append(w.why.Routes, RouteReason{Service: r.Service, Origin: r.Origin, Reason: shift.HoldBehind})
		return r
	}
	// shift.Next counts the movements of its own state itself.
	w.moved(&r, -1)
	step, why := shift.Next(w.in.Rules, shift.State{Weights: r.Weights, Moved: r.Moved}, goal, w.headroom(&r, goal),
		w.measured(&r), w.now)
	if why != shift.AtGoal {
		w.why.Routes = append(w.why.Routes, RouteReason{Service: r.Service, Origin: r.Origin, Reason: why, Share: step.Share})
	}
	r.Weights, r.Moved = step.State.Weights, step.State.Moved
	if step.Share > 0 {
		r.Stepped = w.next.Version
	}
	if len(r.Moved) == 0 {
		r.Moved = nil
	}
	w.moved(&r, 1)
	return r
}

// acked returns the plan versions that the live entries of a region have applied.
func (w *work) acked(region ident.Region) []ident.Version {
	acked := make([]ident.Version, 0, len(w.byRegion[region]))
	for _, i := range w.byRegion[region] {
		acked = append(acked, w.in.Entries[i].Acked)
	}
	return acked
}

func (w *work) headroom(r *Route, goal []Weight) []shift.Headroom {
	head := make([]shift.Headroom, 0, len(goal))
	for _, g := range goal {
		k, ok := w.siteAt[siteKey{r.Service, g.Region}]
		if !ok {
			continue
		}
		s := w.sites[k]
		h := shift.Headroom{
			Region: g.Region, Slots: float64(s.slots), Used: s.used + s.moved, At: s.at, Local: g.Region == r.Origin,
		}
		if l := w.links[linkKey{r.Origin, g.Region}]; l != nil {
			h.Link, h.LinkUsed, h.LinkAt = float64(l.Limit), l.Used+l.moved, l.At
		}
		head = append(head, h)
	}
	return head
}

// grants divides the slots of each site among the entries.
func (w *work) grants() {
	from := make([][2]int, len(w.next.Targets))
	g := 0
	for i, t := range w.next.Targets {
		for g < len(w.prev.Grants) && w.prev.Grants[g].Target < t.Name {
			g++
		}
		from[i][0] = g
		for g < len(w.prev.Grants) && w.prev.Grants[g].Target == t.Name {
			g++
		}
		from[i][1] = g
	}
	byTarget := make([][]Grant, len(w.next.Targets))
	users := users{at: make([]int, len(w.in.Entries))}
	total := 0
	for k := range w.sites {
		s := &w.sites[k]
		cur := share.Table{Region: s.region}
		for _, t := range s.targets {
			tg := w.next.Targets[t]
			if tg.Leaving {
				tg.Slots = 0
			}
			cur.Targets = append(cur.Targets, share.Target{Name: tg.Name, Place: tg.Place, Slots: tg.Slots})
			cur.Grants = append(cur.Grants, w.prev.Grants[from[t][0]:from[t][1]]...)
		}
		res := share.Rebalance(cur, w.next.Version, w.users(&users, s, cur.Grants), w.now)
		total += len(res.Grants)
		for _, t := range s.targets {
			n := 0
			for n < len(res.Grants) && res.Grants[n].Target == w.next.Targets[t].Name {
				n++
			}
			byTarget[t], res.Grants = res.Grants[:n], res.Grants[n:]
		}
	}
	w.next.Grants = make([]Grant, 0, total)
	for _, gs := range byTarget {
		w.next.Grants = append(w.next.Grants, gs...)
	}
}

// users collects the entries that a site concerns. Its memory is used for one site after another.
type users struct {
	// at is the position of an entry in entries plus one, by its index in Input.Entries; zero if it is not there.
	at      []int
	index   []int
	entries []share.Entry
}

// users returns the live entries of the site's region, those with demand for it and those with grants, sorted by VM.
func (w *work) users(u *users, s *site, grants []Grant) []share.Entry {
	for _, i := range u.index {
		u.at[i] = 0
	}
	u.index, u.entries = u.index[:0], u.entries[:0]
	u.add(w.byRegion[s.region]...)
	n := len(u.index)
	for _, k := range s.users {
		if k >= 0 {
			u.add(k)
		}
	}
	for i := range grants {
		u.add(w.entryAt[grants[i].Entry])
	}
	if len(u.index) > n {
		slices.Sort(u.index)
	}
	for pos, i := range u.index {
		e := &w.in.Entries[i]
		u.at[i] = pos + 1
		u.entries = append(u.entries, share.Entry{
			VM: e.VM, Place: e.Place, Acked: e.Acked, Silent: e.Silent, DemandAt: e.Reported,
			Leaving: e.Leaving || w.drained(lists.ScopeVM, string(e.VM)) ||
				w.drained(lists.ScopeDomain, string(e.Place.Domain)),
		})
	}
	for i, k := range s.users {
		if k >= 0 {
			u.entries[u.at[k]-1].Demand = s.demand[i].Slots
		}
	}
	return u.entries
}

func (u *users) add(index ...int) {
	for _, i := range index {
		if u.at[i] == 0 {
			u.at[i] = 1
			u.index = append(u.index, i)
		}
	}
}
