package pick

import (
	"container/heap"
	"fmt"
	"math/rand"
	"net/http"
	"testing"
	"time"

	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/region"
)

// model is a seeded discrete-event simulation of targets under heavy load. Targets have slots, a queue and an LRU cache of
// objects; VMs select targets with the production Picker or a baseline; callers arrive at a given rate. A request takes the
// service time of a cached or an uncached object and, between regions, one round trip.
type model struct {
	rng     *rand.Rand
	targets map[ident.Target]*modelTarget
	vms     []*Picker
	events  events
	now     time.Duration
	// served counts the requests that were answered within the latency target, by second of arrival; all counts all requests.
	served, all map[int]int
	choose      func(p *Picker, now time.Time, a Request) (Choice, Reason)
	// objectsPerRegion gives the callers of each region their own objects. Only requests from countedRegion are counted; empty
	// means all regions.
	objectsPerRegion bool
	countedRegion    ident.Region
	// timeouts ends requests at their deadline; otherwise each one waits for its response. retries is how often a request that
	// a target rejected is sent again.
	timeouts bool
	retries  int
	// reportPace adds the targets' pace to their load reports.
	reportPace bool
	snapshot   *fleet.Snapshot
	// runs has the region of each counted request that a target accepted, by time.
	runs []regionRun
}

type regionRun struct {
	at     time.Duration
	region ident.Region
}

type modelTarget struct {
	slots   int
	running int
	queue   []*modelRequest
	// cached is the LRU cache, least recently used first; cacheSize is its capacity.
	cached    []Object
	cacheSize int
	// pace is how long work takes, in percent of the usual time; zero stands for 100.
	pace int
}

type modelRequest struct {
	vm      *Picker
	request Request
	choice  Choice
	arrived time.Duration
	sent    time.Duration
	sends   int
	ended   bool
	// endedAt, result and warm describe the last attempt; warm is set if the target had the object in its cache.
	endedAt time.Duration
	result  Result
	warm    bool
}

type event struct {
	at time.Duration
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

const (
	modelLatencyTarget = 400 * time.Millisecond
	modelUncachedTime  = 480 * time.Millisecond
	modelCachedTime    = 144 * time.Millisecond
	modelCacheSize     = 16
	modelObjects       = 100
	modelSlots         = 6
)

// modelRTT is the round trip between regions.
const modelRTT = 110 * time.Millisecond

func modelPlace(i int) ident.Place {
	r := string("abc"[i%3])
	return ident.Place{Region: ident.Region(r), Domain: ident.Domain(r + "1")}
}

// modelRoute has the figures of the layout check of kalnins-seti: a latency target of 400 ms, and service times of 144 ms for
// cached and 480 ms for uncached objects.
var modelRoute = &fleet.Route{Name: "r", Services: []fleet.WeightedService{{Service: "s", Weight: 1}}, LatencyTarget: modelLatencyTarget, Affinity: true}

func newModel(targets int, choose func(p *Picker, now time.Time, a Request) (Choice, Reason)) *model {
	return newModelAt(targets, modelPlace, choose)
}

// newModelAt returns a model whose target i is at the given place.
func newModelAt(targets int, place func(i int) ident.Place, choose func(*Picker, time.Time, Request) (Choice, Reason)) *model {
	m := &model{rng: rand.New(rand.NewSource(7)), targets: map[ident.Target]*modelTarget{}, served: map[int]int{}, all: map[int]int{},
		choose: choose}
	s := &fleet.Snapshot{Config: &fleet.Config{}, Targets: map[ident.Service][]fleet.Target{}}
	for i := range targets {
		id := ident.Target(fmt.Sprint("t", i))
		m.targets[id] = &modelTarget{slots: modelSlots, cacheSize: modelCacheSize}
		s.Targets["s"] = append(s.Targets["s"], fleet.Target{Entry: fleet.Entry{ID: id, Service: "s", Slots: modelSlots,
			Place: place(i)}})
	}
	s.Config.Services = map[ident.Service]fleet.Service{"s": {Name: "s", Warmup: 3 * time.Second, WarmupRate: 11}}
	m.snapshot = s
	for i := range 12 {
		p := New(ident.VM(fmt.Sprint("vm", i)), modelPlace(i))
		p.SetTargets(start, s)
		for _, r := range []ident.Region{"a", "b", "c"} {
			p.RecordRTT(r, modelRTT)
		}
		m.vms = append(m.vms, p)
	}
	return m
}

// publish passes the current snapshot to all VMs.
func (m *model) publish() {
	for _, p := range m.vms {
		p.SetTargets(at(m.now), m.snapshot)
	}
}

func (m *model) after(d time.Duration, f func()) { heap.Push(&m.events, event{m.now + d, f}) }

// run simulates callers; perSecond holds the requests of each second.
func (m *model) run(perSecond []int) {
	for s, n := range perSecond {
		for range n {
			at := time.Duration(s)*time.Second + time.Duration(m.rng.Int63n(int64(time.Second)))
			heap.Push(&m.events, event{at, m.handleArrival})
		}
	}
	for m.events.Len() > 0 {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.do()
	}
}

func (m *model) handleArrival() {
	vm := m.vms[m.rng.Intn(len(m.vms))]
	object := fmt.Append(nil, m.rng.Intn(modelObjects))
	if m.objectsPerRegion {
		object = append(object, vm.place.Region...)
	}
	if m.isCounted(vm) {
		m.all[int(m.now/time.Second)]++
	}
	a := Request{Route: modelRoute, Service: "s", Deadline: at(m.now + 1200*time.Millisecond), Object: NewObject("r", object)}
	m.send(&modelRequest{vm: vm, request: a, arrived: m.now})
}

func (m *model) isCounted(vm *Picker) bool {
	return m.countedRegion == "" || vm.place.Region == m.countedRegion
}

func (m *model) send(r *modelRequest) {
	c, reason := m.choose(r.vm, at(m.now), r.request)
	if reason != Chosen {
		return
	}
	r.choice, r.sent = c, m.now
	r.sends++
	r.vm.RecordStart(at(m.now), r.request, c)
	t := m.targets[c.Target.ID]
	if len(t.queue) >= 3*t.slots {
		m.finish(t, r, Overloaded)
		if r.sends <= m.retries {
			r.request.Excluded = append(r.request.Excluded, c.Target.ID)
			m.send(r)
		}
		return
	}
	if m.isCounted(r.vm) {
		m.runs = append(m.runs, regionRun{m.now, c.Target.Place.Region})
	}
	if m.timeouts {
		m.after(r.request.Deadline.Sub(at(m.now)), func() {
			if !r.ended {
				m.finish(t, r, TimedOut)
			}
		})
	}
	t.queue = append(t.queue, r)
	m.serve(t)
}

func (m *model) serve(t *modelTarget) {
	for t.running < t.slots && len(t.queue) > 0 {
		r := t.queue[0]
		t.queue = t.queue[1:]
		if r.ended {
			continue
		}
		t.running++
		work := modelUncachedTime
		if r.warm = t.lookup(r.request.Object); r.warm {
			work = modelCachedTime
		}
		if t.pace > 0 {
			work = work * time.Duration(t.pace) / 100
		}
		trip := time.Duration(0)
		if r.vm.place.Region != r.choice.Target.Place.Region {
			trip = modelRTT
		}
		m.after(work, func() {
			t.running--
			m.after(trip, func() {
				if !r.ended {
					m.finish(t, r, Served)
				}
			})
			m.serve(t)
		})
	}
}

func (m *model) finish(t *modelTarget, r *modelRequest, res Result) {
	r.ended, r.endedAt, r.result = res != Overloaded, m.now, res
	load := &Load{Running: t.running, Waiting: len(t.queue), Slots: t.slots}
	if m.reportPace {
		load.Pace = t.pace
	}
	status := map[Result]int{Served: http.StatusOK, Overloaded: http.StatusServiceUnavailable}[res]
	r.vm.RecordEnd(at(m.now), r.request, r.choice, Outcome{Result: res, Status: status, Duration: m.now - r.sent, Load: load})
	if res == Served && m.now-r.arrived <= modelLatencyTarget && m.isCounted(r.vm) {
		m.served[int(r.arrived/time.Second)]++
	}
}

// lookup reports whether the object is cached, and makes it the most recently used one.
func (t *modelTarget) lookup(o Object) bool {
	for i, x := range t.cached {
		if x == o {
			t.cached = append(append(t.cached[:i:i], t.cached[i+1:]...), o)
			return true
		}
	}
	t.cached = append(t.cached, o)
	if len(t.cached) > t.cacheSize {
		t.cached = t.cached[1:]
	}
	return false
}

// servedShare returns the share of the requests in the seconds [from, to) that were answered within the latency target.
func (m *model) servedShare(from, to int) float64 {
	n, all := 0, 0
	for s := from; s < to; s++ {
		n += m.served[s]
		all += m.all[s]
	}
	return float64(n) / float64(max(all, 1))
}

func currentPicker(p *Picker, now time.Time, a Request) (Choice, Reason) { return p.Choose(now, a) }

// leastLoaded is the baseline that ignores objects and selects the target with the least load.
func leastLoaded(p *Picker, now time.Time, a Request) (Choice, Reason) {
	var best *target
	for _, t := range p.pools[a.Service].targets {
		if best == nil || t.load(now) < best.load(now) {
			best = t
		}
	}
	return Choice{Target: best.Target}, Chosen
}

// firstRanked is the baseline of rendezvous hashing without a load bound: each object has one target.
func firstRanked(p *Picker, now time.Time, a Request) (Choice, Reason) {
	pl := p.pools[a.Service]
	list, _ := p.candidates(now, pl, a, p.homeRegion(pl, a), choosing)
	for _, c := range list {
		if c.group == homeGroup && c.rank == 0 {
			return Choice{Target: c.t.Target, Known: true}, Chosen
		}
	}
	return Choice{}, NoTarget
}

func constantRate(seconds, perSecond int) []int {
	rates := make([]int, seconds)
	for i := range rates {
		rates[i] = perSecond
	}
	return rates
}

// Guards against caches that go cold under load. Each case has more load than the slots bear with uncached objects and less
// than they bear with cached ones, except during the long overload, so the result depends on the cache hits. The bound of
// 0.9 is the target for load that fits; the baselines show that the load is heavy.
func TestAimUnderLoad(t *testing.T) {
	// 27 targets with 6 slots serve 337 requests per second for uncached objects and 1125 for cached ones.
	rush := append(constantRate(10, 300), append(constantRate(5, 750), constantRate(10, 400)...)...)
	tests := []struct {
		name     string
		rates    []int
		from, to int
		least    float64
	}{
		{"cold start under full load", constantRate(20, 500), 5, 20, 0.9},
		{"cold start near the capacity of known objects", constantRate(20, 850), 8, 20, 0.9},
		{"rush at every shop, while it lasts", rush, 11, 15, 0.9},
		{"rush at every shop, after it", rush, 17, 25, 0.9},
		{"long overload, after it", append(constantRate(10, 1400), constantRate(15, 400)...), 15, 25, 0.9},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := map[string]float64{}
			for name, choose := range map[string]func(*Picker, time.Time, Request) (Choice, Reason){
				"shipped": currentPicker, "least loaded": leastLoaded, "hash without bound": firstRanked,
			} {
				m := newModel(27, choose)
				m.run(tt.rates)
				got[name] = m.servedShare(tt.from, tt.to)
			}
			t.Logf("within the latency target: %.3v", got)
			if got["shipped"] < tt.least {
				t.Errorf("%.2f within the latency target, want %.2f", got["shipped"], tt.least)
			}
			if got["shipped"] < got["least loaded"] {
				t.Errorf("worse than the least loaded target: %v", got)
			}
		})
	}
}

// homeIsLocal is the baseline in which the callers' region is the home region of all objects.
func homeIsLocal(p *Picker, now time.Time, a Request) (Choice, Reason) {
	homes := region.NewHomes(p.place.Region)
	homes.SetSlots(map[ident.Region]float64{p.place.Region: 1})
	p.pools[a.Service].homes = homes
	return p.Choose(now, a)
}

// Guards against a region with few targets that serves all objects of its callers itself, which evicts them from its caches.
// The region has 2 of 28 targets, like riga of kalnins-seti and brasov of sag-pier, and its callers request as many objects as
// those of the other regions. In sag-pier-grown quiet-1, 22% of the requests at the first-ranked targets of such a region
// missed the cache, and the region earned 0.79 instead of 0.93. The bound is that of TestAimUnderLoad, since the load fits
// the deployment.
func TestRegionWithFewTargets(t *testing.T) {
	place := func(i int) ident.Place {
		if i >= 2 {
			i = i%2 + 1
		} else {
			i = 0
		}
		return modelPlace(i)
	}
	got := map[string]float64{}
	for name, choose := range map[string]func(*Picker, time.Time, Request) (Choice, Reason){
		"shipped": currentPicker, "local first": homeIsLocal, "least loaded": leastLoaded,
	} {
		m := newModelAt(28, place, choose)
		m.objectsPerRegion, m.countedRegion = true, "a"
		for _, t := range m.targets {
			t.cacheSize = 44 // objects that a workshop target of kalnins-seti caches
		}
		m.run(constantRate(20, 500))
		got[name] = m.servedShare(8, 20)
	}
	t.Logf("within the latency target: %.3v", got)
	if got["shipped"] < 0.9 {
		t.Errorf("%.2f within the latency target, want 0.9", got["shipped"])
	}
	for name, x := range got {
		if got["shipped"] < x {
			t.Errorf("worse than %s: %v", name, got)
		}
	}
}
