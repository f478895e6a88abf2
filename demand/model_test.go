package demand_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/currantpier/currantpier/ident"
)

const service ident.Service = "svc"

// epoch is the time at which each run begins.
var epoch = time.Unix(1_800_000_000, 0)

// deployment is one of section 1.3 with its first service.
type deployment struct {
	name string
	// perDomain targets of slots each stand in each of 6 failure domains, with 2 entries each.
	perDomain int
	slots     ident.Slots
	// One-way latencies.
	domains, regions, clients time.Duration
	// link is in Mbit/s for each pair of regions and direction; a request moves kbit.
	link ident.Mbps
	kbit float64
	// work is the mean service time on warm caches; deadline is that of each request.
	work, deadline time.Duration
	// maxWait bounds the queue of an entry where latency comes first; zero leaves it to the deadlines.
	maxWait time.Duration
}

// The service times, deadlines and sizes are assumptions of the model: section 1.3 gives none.
var deployments = []deployment{
	{"Kalniņš", 5, 6, 1500 * time.Microsecond, 55 * time.Millisecond, time.Millisecond, 4000, 400, 200 * time.Millisecond, 3 * time.Second, 500 * time.Millisecond},
	{"Stencilcraft", 5, 4, 1500 * time.Microsecond, 20 * time.Millisecond, 8 * time.Millisecond, 280, 400, 150 * time.Millisecond, 2 * time.Second, 0},
}

const (
	regionCount = 3
	perRegion   = 2 // failure domains
	perDomain   = 2 // entries
	// coldFactor is the service time on cold caches relative to warm ones; warmFor the time constant of warming up.
	coldFactor = 2.0
	warmFor    = 45 * time.Second
	// reportLag is the age of what a target's health and load endpoints say.
	reportLag = 3 * time.Second
	attempts  = 3
)

var customers = []ident.Customer{"c0", "c1", "c2", "c3", "c4", "c5", "c6", "c7"}

func regionName(r int) ident.Region { return [regionCount]ident.Region{"r0", "r1", "r2"}[r] }

// server is a target as it is; what others know of it lags.
type server struct {
	name   ident.Target
	region int
	place  ident.Place
	slots  int
	busy   int
	// promised is the number of slots that the oracle has given to requests on their way.
	promised int
	dead     bool
	// diedAt has a meaning only if dead is set.
	diedAt time.Duration
	// slow multiplies service times; a liar reports no load.
	slow float64
	liar bool
	// load and gone are what was reported last: work in progress per slot, and dead or leaving.
	load    float64
	gone    bool
	running []*request
}

// node is an entry VM.
type node struct {
	vm     ident.VM
	index  int
	region int
	place  ident.Place
	dead   bool
	// diedAt has a meaning only if dead is set.
	diedAt time.Duration
}

// request is one idempotent request.
type request struct {
	id       uint64
	customer ident.Customer
	// home is the caller's region; region is the one that is to serve it.
	home   int
	region int
	node   *node
	start  time.Duration
	// end is the deadline at the entry, so that the answer reaches the caller in time.
	end   time.Duration
	tries int
	// sent is the time of the last attempt.
	sent  time.Duration
	tried [attempts]*server
}

type outcome uint8

const (
	answered outcome = iota
	shed
	broken
	unreachable
	late
)

// steering is a way to choose targets.
type steering interface {
	arrive(s *sim, r *request)
	// finish gets the end of an attempt at the entry.
	finish(s *sim, r *request, sv *server, o outcome)
	// second runs once a second, after reports were read.
	second(s *sim)
}

type event struct {
	at time.Duration
	// order keeps events of one time in the order of their creation.
	order uint64
	do    func()
}

// sim is one seeded run.
type sim struct {
	deployment
	rnd     *rand.Rand
	now     time.Duration
	events  []event
	order   uint64
	servers []*server
	nodes   []*node
	// alive is memory for entry.
	alive [regionCount * perRegion * perDomain]*node
	steer steering
	sc    *scenario
	// mute stops the reports of targets and entries; drain announces that the first region is drained.
	mute, drain bool
	drainAt     time.Duration
	// warm is the share of a home's traffic that a region's caches are warm for; served counts the last second.
	warm   [regionCount][regionCount]float64
	served [regionCount][regionCount]float64
	// linkKbit counts what crossed between two regions in the last second.
	linkKbit [regionCount][regionCount]float64
	result   result
}

// result is what a run measured.
type result struct {
	// latencies are in ms; a refusal counts as its deadline.
	latencies []float64
	requests  int
	refused   int
	// firstRefusal is the part of the living targets' slots in use at the first refusal; 1 if there was none.
	firstRefusal float64
	// drained is when less than 1% of the first region's callers were served there; zero if never.
	drained time.Duration
	// home is the share of the first region's callers that were served there in the last second of the run.
	home float64
	// breaches lists broken invariants.
	breaches []string
}

func newSim(d deployment, sc *scenario, steer steering, seed uint64) *sim {
	s := &sim{deployment: d, rnd: rand.New(rand.NewPCG(seed, 7)), steer: steer, sc: sc}
	s.result.firstRefusal = 1
	for r := range regionCount {
		s.warm[r][r] = 1
		for k := range perRegion {
			place := ident.Place{Region: regionName(r), Domain: ident.Domain(fmt.Sprintf("r%d-%d", r, k))}
			for i := range d.perDomain {
				s.servers = append(s.servers, &server{
					name: ident.Target(fmt.Sprintf("t-%d-%d-%d", r, k, i)), region: r, place: place, slots: int(d.slots), slow: 1,
				})
			}
			for i := range perDomain {
				s.nodes = append(s.nodes, &node{
					vm: ident.VM(fmt.Sprintf("e-%d-%d-%d", r, k, i)), index: len(s.nodes), region: r, place: place,
				})
			}
		}
	}
	return s
}

func (s *sim) time() time.Time { return epoch.Add(s.now) }

// after calls do once d has passed.
func (s *sim) after(d time.Duration, do func()) {
	s.order++
	s.events = append(s.events, event{s.now + max(0, d), s.order, do})
	for i := len(s.events) - 1; i > 0; {
		p := (i - 1) / 2
		if !s.events[i].before(s.events[p]) {
			break
		}
		s.events[i], s.events[p] = s.events[p], s.events[i]
		i = p
	}
}

func (e event) before(o event) bool { return e.at < o.at || e.at == o.at && e.order < o.order }

func (s *sim) pop() event {
	top := s.events[0]
	n := len(s.events) - 1
	s.events[0], s.events[n] = s.events[n], event{}
	s.events = s.events[:n]
	for i := 0; ; {
		c := 2*i + 1
		if c+1 < n && s.events[c+1].before(s.events[c]) {
			c++
		}
		if c >= n || !s.events[c].before(s.events[i]) {
			return top
		}
		s.events[i], s.events[c] = s.events[c], s.events[i]
		i = c
	}
}

// run simulates the scenario and returns what it measured.
func (s *sim) run() result {
	for r := range regionCount {
		s.arrivals(r)
	}
	s.second()
	for len(s.events) > 0 {
		e := s.pop()
		if e.at > s.sc.length {
			break
		}
		s.now = e.at
		e.do()
	}
	return s.result
}

// arrivals makes the callers of a region send requests at random times with the scenario's rate.
func (s *sim) arrivals(home int) {
	rate := s.sc.load(s.now, home) * float64(2*s.perDomain*int(s.slots)) / s.work.Seconds()
	s.after(time.Duration(s.rnd.ExpFloat64()/rate*1e9), func() {
		s.arrivals(home)
		s.order++
		r := &request{
			id: s.order, home: home, start: s.now, end: s.now + s.deadline, node: s.entry(home),
			customer: customers[s.rnd.IntN(len(customers))],
		}
		way := s.way(r)
		r.end -= way
		s.after(way, func() { s.steer.arrive(s, r) })
	})
	s.result.requests++
}

// entry returns the VM that a caller uses: any in its region while one is alive there.
func (s *sim) entry(home int) *node {
	near := s.alive[:0]
	for _, n := range s.nodes {
		if !n.dead && n.region == home {
			near = append(near, n)
		}
	}
	for _, n := range s.nodes {
		if !n.dead && len(near) == 0 || !n.dead && near[0].region != home {
			near = append(near, n)
		}
	}
	return near[s.rnd.IntN(len(near))]
}

// way is the one-way latency between the caller and its entry.
func (s *sim) way(r *request) time.Duration {
	if r.node.region != r.home {
		return s.clients + s.regions
	}
	return s.clients
}

func (s *sim) between(a, b ident.Place) time.Duration {
	return [...]time.Duration{50 * time.Microsecond, s.domains, s.regions}[a.To(b)]
}

// send makes one attempt at a target. Its end is reported to the steering.
func (s *sim) send(r *request, sv *server) {
	r.sent = s.now
	r.tried[min(r.tries, attempts-1)] = sv
	r.tries++
	s.cross(r.node.region, sv.region)
	s.after(s.between(r.node.place, sv.place), func() { s.serve(r, sv) })
}

func (s *sim) cross(a, b int) {
	if a != b {
		s.linkKbit[a][b] += s.kbit
		s.linkKbit[b][a] += s.kbit
	}
}

func (s *sim) serve(r *request, sv *server) {
	switch {
	case sv.dead:
		s.answer(r, sv, unreachable)
		return
	case sv.busy >= sv.slots:
		s.answer(r, sv, shed)
		return
	}
	sv.busy++
	sv.running = append(sv.running, r)
	s.served[r.home][sv.region]++
	took, o := s.serviceTime(r, sv), answered
	if left := r.end - s.now; took > left {
		// The entry cancels the request at its deadline.
		took, o = left, late
	}
	s.after(took, func() {
		i := slices.Index(sv.running, r)
		if i < 0 {
			return
		}
		sv.running = slices.Delete(sv.running, i, i+1)
		sv.busy--
		s.answer(r, sv, o)
	})
}

// kill ends the targets and entries that match. Work in progress at the targets breaks.
func (s *sim) kill(match func(ident.Place) bool) {
	for _, sv := range s.servers {
		if match(sv.place) {
			sv.dead, sv.diedAt = true, s.now
			s.after(reportLag, func() { sv.gone = true })
			for _, r := range sv.running {
				s.answer(r, sv, broken)
			}
			sv.running, sv.busy = nil, 0
		}
	}
	for _, n := range s.nodes {
		if match(n.place) {
			n.dead, n.diedAt = true, s.now
		}
	}
}

// startDrain announces that the first region is drained.
func (s *sim) startDrain() {
	s.drain, s.drainAt = true, s.now
	for _, sv := range s.servers {
		if sv.region == 0 && !s.mute {
			s.after(reportLag, func() { sv.gone = true })
		}
	}
}

// again sends a request whose entry died to another one.
func (s *sim) again(r *request) {
	r.node, r.tries = s.entry(r.home), 0
	if s.now >= r.end {
		s.refuse()
		return
	}
	s.after(s.way(r), func() { s.steer.arrive(s, r) })
}

// serviceTime varies by a log-normal factor with a coefficient of variation of about 0.5.
func (s *sim) serviceTime(r *request, sv *server) time.Duration {
	f := math.Exp(0.47*s.rnd.NormFloat64()-0.11) * sv.slow
	var total float64
	for _, n := range s.served[r.home] {
		total += n
	}
	share := s.served[r.home][sv.region] / max(total, 1)
	if s.rnd.Float64()*share > s.warm[r.home][sv.region] {
		f *= coldFactor
	}
	return time.Duration(f * float64(s.work))
}

func (s *sim) answer(r *request, sv *server, o outcome) {
	s.after(s.between(r.node.place, sv.place), func() { s.steer.finish(s, r, sv, o) })
}

// done ends a request at its entry with an answer.
func (s *sim) done(r *request) {
	took := s.now + s.way(r) - r.start
	if took > s.deadline {
		s.refuse()
		return
	}
	s.result.latencies = append(s.result.latencies, took.Seconds()*1000)
}

// refuse ends a request without an answer.
func (s *sim) refuse() {
	if s.result.refused == 0 {
		var busy, slots float64
		for _, sv := range s.servers {
			if !sv.dead {
				busy, slots = busy+float64(sv.busy), slots+float64(sv.slots)
			}
		}
		s.result.firstRefusal = busy / slots
	}
	s.result.refused++
	s.result.latencies = append(s.result.latencies, s.deadline.Seconds()*1000)
}

// second advances what happens once a second.
func (s *sim) second() {
	if s.sc.at != nil && s.now == s.sc.when {
		s.sc.at(s)
	}
	for home := range regionCount {
		var total float64
		for _, n := range s.served[home] {
			total += n
		}
		for r := range regionCount {
			share := s.served[home][r] / max(total, 1)
			if step := time.Second.Seconds() / warmFor.Seconds(); share > s.warm[home][r] {
				s.warm[home][r] += (share - s.warm[home][r]) * step
			}
			if used := s.linkKbit[home][r] / 1000; used > float64(s.link) {
				s.breach("link r%d to r%d: %.0f of %d Mbit/s", home, r, used, s.link)
			}
		}
	}
	if !s.mute {
		for _, sv := range s.servers {
			load := float64(sv.busy) / float64(sv.slots)
			if sv.liar {
				load = 0
			}
			s.after(reportLag, func() { sv.load = load })
		}
	}
	s.steer.second(s)
	s.result.home = s.served[0][0] / max(1, s.served[0][0]+s.served[0][1]+s.served[0][2])
	if s.drain && s.result.drained == 0 && s.result.home < 0.01 {
		s.result.drained = s.now - s.drainAt
	}
	s.served, s.linkKbit = [regionCount][regionCount]float64{}, [regionCount][regionCount]float64{}
	s.after(time.Second, s.second)
}

func (s *sim) breach(format string, args ...any) {
	if len(s.result.breaches) < 5 {
		s.result.breaches = append(s.result.breaches, s.now.String()+": "+fmt.Sprintf(format, args...))
	}
}

// percentile returns the p-th part of sorted values.
func percentile(sorted []float64, p float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(p*float64(len(sorted))))]
}

func (r *result) sort() { slices.Sort(r.latencies) }
