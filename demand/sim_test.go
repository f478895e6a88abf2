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

// epoch is the start time of each run.
var epoch = time.Unix(1_800_000_000, 0)

// deployment holds the parameters of one deployment of section 1.3 of the design and its first service.
type deployment struct {
	name string
	// Each of the 6 failure domains has perDomain targets with the given slots, and 2 entries.
	perDomain int
	slots     ident.Slots
	// domains, regions and clients are the one-way latencies between failure domains of a region, between regions, and between
	// a caller and an entry of its region.
	domains, regions, clients time.Duration
	// link is the bandwidth in Mbit/s for each pair of regions and direction. A request transfers kbit in each direction.
	link ident.Mbps
	kbit float64
	// meanServiceTime is the mean service time with warm caches, deadline the time that each request has.
	meanServiceTime, deadline time.Duration
	// maxWait bounds the wait in the queue of an entry where latency has priority; with zero, only the deadlines bound it.
	maxWait time.Duration
}

// The service times, deadlines and request sizes are assumptions of the model, since section 1.3 doesn't state them.
var deployments = []deployment{
	{"Kalniņš", 5, 6, 1500 * time.Microsecond, 55 * time.Millisecond, time.Millisecond, 4000, 400, 200 * time.Millisecond, 3 * time.Second, 500 * time.Millisecond},
	{"Stencilcraft", 5, 4, 1500 * time.Microsecond, 20 * time.Millisecond, 8 * time.Millisecond, 280, 400, 150 * time.Millisecond, 2 * time.Second, 0},
}

const (
	regionCount = 3
	perRegion   = 2 // failure domains
	perDomain   = 2 // entries
	// coldFactor is the ratio of service times with cold and warm caches, warmFor the time constant of the warm-up.
	coldFactor = 2.0
	warmFor    = 45 * time.Second
	// reportLag is the age of the reports of a target's health and load endpoints.
	reportLag = 3 * time.Second
	attempts  = 3
)

var customers = []ident.Customer{"c0", "c1", "c2", "c3", "c4", "c5", "c6", "c7"}

func regionName(r int) ident.Region { return [regionCount]ident.Region{"r0", "r1", "r2"}[r] }

// server is the true state of a target. Reports of it are delayed by reportLag.
type server struct {
	name   ident.Target
	region int
	place  ident.Place
	slots  int
	busy   int
	// reserved is the number of slots that the oracle has reserved for requests in transit.
	reserved int
	dead     bool
	// diedAt is valid only if dead is set.
	diedAt time.Duration
	// slow multiplies service times. A target with reportsNoLoad set always reports a load of zero.
	slow          float64
	reportsNoLoad bool
	// load and gone are the last reports: requests in progress per slot, and whether the target is dead or leaving.
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
	// diedAt is valid only if dead is set.
	diedAt time.Duration
}

// request is one idempotent request.
type request struct {
	id       uint64
	customer ident.Customer
	// home is the region of the caller, region the one that serves the request.
	home   int
	region int
	node   *node
	start  time.Duration
	// end is the deadline at the entry: the caller's deadline less the latency to the caller.
	end   time.Duration
	tries int
	// sent is the start time of the last attempt.
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

// steering is an algorithm that selects targets.
type steering interface {
	arrive(s *sim, r *request)
	// finish is called when the outcome of an attempt reaches the entry.
	finish(s *sim, r *request, sv *server, o outcome)
	// tick is called once per second, after the reports were read.
	tick(s *sim)
}

type event struct {
	at time.Duration
	// order sorts events of the same time by creation.
	order uint64
	do    func()
}

// sim is a seeded discrete-event simulation of one scenario.
type sim struct {
	deployment
	rnd *rand.Rand
	now time.Duration
	// events is a binary heap, the earliest event first.
	events  []event
	order   uint64
	servers []*server
	nodes   []*node
	// entryBuf is a buffer reused by entry.
	entryBuf [regionCount * perRegion * perDomain]*node
	steer    steering
	scenario *scenario
	// reportsStopped stops the reports of targets and entries. drain is set once the drain of the first region is announced, at
	// drainAt.
	reportsStopped, drain bool
	drainAt               time.Duration
	// warm[h][r] is the share of the traffic of home region h that the caches of region r are warm for; served[h][r] counts the
	// requests of h that r served in the current second.
	warm   [regionCount][regionCount]float64
	served [regionCount][regionCount]float64
	// linkKbit is the traffic from one region to another in the current second.
	linkKbit [regionCount][regionCount]float64
	result   result
}

// result holds the measurements of a run.
type result struct {
	// latencies are in ms. A refused request counts with its deadline.
	latencies []float64
	requests  int
	refused   int
	// useAtFirstRefusal is the share of the live targets' slots in use at the first refusal, 1 if there was none.
	useAtFirstRefusal float64
	// drainTime is the time from the announcement until less than 1% of the first region's requests were served there, zero if
	// that was never reached.
	drainTime time.Duration
	// homeShare is the share of the first region's requests that were served there in the last second of the run.
	homeShare float64
	// violations describes the first 5 violations of invariants.
	violations []string
}

func newSim(d deployment, sc *scenario, steer steering, seed uint64) *sim {
	s := &sim{deployment: d, rnd: rand.New(rand.NewPCG(seed, 7)), steer: steer, scenario: sc}
	s.result.useAtFirstRefusal = 1
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

// after schedules do after the time d.
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

// run simulates the scenario and returns the measurements.
func (s *sim) run() result {
	for r := range regionCount {
		s.arrivals(r)
	}
	s.tick()
	for len(s.events) > 0 {
		e := s.pop()
		if e.at > s.scenario.length {
			break
		}
		s.now = e.at
		e.do()
	}
	return s.result
}

// arrivals schedules the requests of a region's callers as a Poisson process with the scenario's rate.
func (s *sim) arrivals(home int) {
	rate := s.scenario.load(s.now, home) * float64(2*s.perDomain*int(s.slots)) / s.meanServiceTime.Seconds()
	s.after(time.Duration(s.rnd.ExpFloat64()/rate*1e9), func() {
		s.arrivals(home)
		s.order++
		r := &request{
			id: s.order, home: home, start: s.now, end: s.now + s.deadline, node: s.entry(home),
			customer: customers[s.rnd.IntN(len(customers))],
		}
		way := s.callerLatency(r)
		r.end -= way
		s.after(way, func() { s.steer.arrive(s, r) })
	})
	s.result.requests++
}

// entry returns a random live entry of the caller's region, or of any region if the caller's has none.
func (s *sim) entry(home int) *node {
	near := s.entryBuf[:0]
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

// callerLatency returns the one-way latency between the caller and its entry.
func (s *sim) callerLatency(r *request) time.Duration {
	if r.node.region != r.home {
		return s.clients + s.regions
	}
	return s.clients
}

// latency returns the one-way latency between two places.
func (s *sim) latency(a, b ident.Place) time.Duration {
	return [...]time.Duration{50 * time.Microsecond, s.domains, s.regions}[a.To(b)]
}

// send makes one attempt at a target. The steering receives its outcome through finish.
func (s *sim) send(r *request, sv *server) {
	r.sent = s.now
	r.tried[min(r.tries, attempts-1)] = sv
	r.tries++
	s.countTraffic(r.node.region, sv.region)
	s.after(s.latency(r.node.place, sv.place), func() { s.serve(r, sv) })
}

// countTraffic adds one request and its response to the traffic between two regions.
func (s *sim) countTraffic(a, b int) {
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
	took, o := s.drawServiceTime(r, sv), answered
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

// fail stops the matching targets and entries. Requests in progress at the targets fail.
func (s *sim) fail(match func(ident.Place) bool) {
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

// startDrain announces the drain of the first region.
func (s *sim) startDrain() {
	s.drain, s.drainAt = true, s.now
	for _, sv := range s.servers {
		if sv.region == 0 && !s.reportsStopped {
			s.after(reportLag, func() { sv.gone = true })
		}
	}
}

// resubmit sends a request of a dead entry to another one, or refuses it after its deadline.
func (s *sim) resubmit(r *request) {
	r.node, r.tries = s.entry(r.home), 0
	if s.now >= r.end {
		s.refuse()
		return
	}
	s.after(s.callerLatency(r), func() { s.steer.arrive(s, r) })
}

// drawServiceTime returns a random service time: log-normal with a coefficient of variation of about 0.5, and longer with a
// cold cache.
func (s *sim) drawServiceTime(r *request, sv *server) time.Duration {
	f := math.Exp(0.47*s.rnd.NormFloat64()-0.11) * sv.slow
	var total float64
	for _, n := range s.served[r.home] {
		total += n
	}
	share := s.served[r.home][sv.region] / max(total, 1)
	if s.rnd.Float64()*share > s.warm[r.home][sv.region] {
		f *= coldFactor
	}
	return time.Duration(f * float64(s.meanServiceTime))
}

func (s *sim) answer(r *request, sv *server, o outcome) {
	s.after(s.latency(r.node.place, sv.place), func() { s.steer.finish(s, r, sv, o) })
}

// done completes a request whose response reached its entry. It is refused if the response reaches the caller too late.
func (s *sim) done(r *request) {
	took := s.now + s.callerLatency(r) - r.start
	if took > s.deadline {
		s.refuse()
		return
	}
	s.result.latencies = append(s.result.latencies, took.Seconds()*1000)
}

// refuse completes a request without a response.
func (s *sim) refuse() {
	if s.result.refused == 0 {
		var busy, slots float64
		for _, sv := range s.servers {
			if !sv.dead {
				busy, slots = busy+float64(sv.busy), slots+float64(sv.slots)
			}
		}
		s.result.useAtFirstRefusal = busy / slots
	}
	s.result.refused++
	s.result.latencies = append(s.result.latencies, s.deadline.Seconds()*1000)
}

// tick updates the state that changes once per second.
func (s *sim) tick() {
	if s.scenario.event != nil && s.now == s.scenario.eventTime {
		s.scenario.event(s)
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
				s.violation("link r%d to r%d: %.0f of %d Mbit/s", home, r, used, s.link)
			}
		}
	}
	if !s.reportsStopped {
		for _, sv := range s.servers {
			load := float64(sv.busy) / float64(sv.slots)
			if sv.reportsNoLoad {
				load = 0
			}
			s.after(reportLag, func() { sv.load = load })
		}
	}
	s.steer.tick(s)
	s.result.homeShare = s.served[0][0] / max(1, s.served[0][0]+s.served[0][1]+s.served[0][2])
	if s.drain && s.result.drainTime == 0 && s.result.homeShare < 0.01 {
		s.result.drainTime = s.now - s.drainAt
	}
	s.served, s.linkKbit = [regionCount][regionCount]float64{}, [regionCount][regionCount]float64{}
	s.after(time.Second, s.tick)
}

func (s *sim) violation(format string, args ...any) {
	if len(s.result.violations) < 5 {
		s.result.violations = append(s.result.violations, s.now.String()+": "+fmt.Sprintf(format, args...))
	}
}

// percentile returns the p-quantile of sorted values, with p from 0 to 1; zero without values.
func percentile(sorted []float64, p float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(p*float64(len(sorted))))]
}

func (r *result) sort() { slices.Sort(r.latencies) }
