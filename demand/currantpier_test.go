package demand_test

import (
	"math/rand/v2"
	"time"

	"github.com/currantpier/currantpier/admit"
	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/kinds"
	"github.com/currantpier/currantpier/lists"
	"github.com/currantpier/currantpier/plan"
	"github.com/currantpier/currantpier/route"
	"github.com/currantpier/currantpier/share"
	"github.com/currantpier/currantpier/shift"
	"github.com/currantpier/currantpier/store"
)

// rules are the shift rules of all runs. The cap is high enough to drain a region within a run of a few minutes.
var rules = shift.Settings{Cap: shift.Cap{PerStep: 50_000, PerMinute: 300_000}}

// listLag is the delay of the platform's VM list, applyLag the maximum time until an entry applies a new plan.
const (
	listLag  = 10 * time.Second
	applyLag = 2 * time.Second
)

// currantpierSteering is the steering of currantpier with its production packages: an entry on each node, and a lease holder
// that computes a plan each second.
type currantpierSteering struct {
	entries []*steeringEntry
	byName  map[ident.Target]*server
	input   plan.Input
	traffic plan.TrafficPlan
}

type steeringEntry struct {
	*node
	p        *currantpierSteering
	picker   *route.Picker
	holder   *share.Holder
	follower *shift.WeightLimiter
	weights  []shift.Weight
	// moved holds the share of traffic that moved in each of the last 60 s.
	moved []ident.PPM
	// Per serving region: the queue, the requests in it by id, the loan requests in progress, the arrivals of the current
	// second, the smoothed rate per second, and the mean service time.
	queue        [regionCount]*admit.Queue
	waiting      [regionCount]map[uint64]*request
	loanRequests [regionCount]int
	arrived      [regionCount]float64
	rate         [regionCount]float64
	serviceTime  [regionCount]float64 // seconds
	refs         map[uint64][]route.TargetRef
	loans        map[uint64]uint64
	nextID       uint64
}

func newPier(s *sim, seed uint64) *currantpierSteering {
	p := &currantpierSteering{byName: map[ident.Target]*server{}}
	for _, sv := range s.servers {
		p.byName[sv.name] = sv
	}
	for a := range regionCount {
		for b := range regionCount {
			if a != b {
				p.input.Links = append(p.input.Links, plan.Link{From: regionName(a), To: regionName(b), Limit: s.link})
			}
		}
	}
	p.input.Rules = rules
	for _, n := range s.nodes {
		e := &steeringEntry{
			node: n, p: p, picker: route.New(rand.NewPCG(seed, uint64(n.index))), holder: share.NewHolder(n.vm),
			follower: shift.NewWeightLimiter(rules.Cap), refs: map[uint64][]route.TargetRef{}, loans: map[uint64]uint64{},
		}
		var rates []admit.Rate
		for _, c := range customers {
			rates = append(rates, admit.Rate{Customer: c, PerSecond: 1e6, Weight: 1})
		}
		for r := range regionCount {
			e.queue[r] = admit.New(admit.WithServiceTime(s.meanServiceTime), admit.WithMaxWait(s.maxWait))
			e.queue[r].SetRates(s.time(), rates, len(s.nodes))
			e.waiting[r] = map[uint64]*request{}
			e.serviceTime[r] = s.meanServiceTime.Seconds()
		}
		e.rate[n.region] = s.scenario.load(0, n.region) * float64(s.perDomain*int(s.slots)) / perDomain / s.meanServiceTime.Seconds()
		p.entries = append(p.entries, e)
	}
	p.report(s)
	p.compute(s)
	for _, e := range p.entries {
		e.apply(s, p.traffic)
	}
	return p
}

// report updates the input of the lease holder's plan from the reports of entries and targets.
func (p *currantpierSteering) report(s *sim) {
	p.input.Demand = p.input.Demand[:0]
	for r := range regionCount {
		for _, e := range p.entries {
			if d := e.rate[r]; d > 0.01 {
				row := plan.Demand{Service: service, Region: regionName(r), Entry: e.vm, Slots: d * e.serviceTime[r]}
				if r != e.region {
					row.Mbps = d * s.kbit / 1000
				}
				p.input.Demand = append(p.input.Demand, row)
			}
		}
	}
	old := p.input.Entries
	p.input.Entries = nil
	for i, e := range p.entries {
		row := plan.Entry{VM: e.vm, Place: e.place, Acked: e.holder.Acked(), Reported: s.time()}
		if len(old) > 0 && (e.dead || s.reportsStopped) {
			row = old[i]
		}
		if e.dead {
			row.Silent = max(0, s.now-e.diedAt-listLag)
		}
		p.input.Entries = append(p.input.Entries, row)
	}
	p.input.VMs = p.input.VMs[:0]
	for _, sv := range s.servers {
		if !sv.dead || s.now < sv.diedAt+listLag {
			p.input.VMs = append(p.input.VMs, store.VMInfo{
				Name: string(sv.name), Role: store.RoleUpstream, State: store.Live, Place: sv.place, Service: service,
				Slots: ident.Slots(sv.slots),
			})
		}
	}
	for i := range p.input.Links {
		l := &p.input.Links[i]
		if !s.reportsStopped {
			l.At = s.time()
			for a := range regionCount {
				for b := range regionCount {
					if l.From == regionName(a) && l.To == regionName(b) {
						l.Used = s.linkKbit[a][b] / 1000
					}
				}
			}
		}
	}
	if s.drain {
		p.input.Config.Drains = []lists.Drain{{Scope: lists.ScopeRegion, Name: string(regionName(0))}}
	}
}

// compute computes a plan from the last reports and distributes it to the entries if it differs.
func (p *currantpierSteering) compute(s *sim) {
	next, why := plan.Compute(p.input, p.traffic, s.time())
	if !why.Changed {
		return
	}
	if err := plan.Validate(next); err != nil {
		s.violation("%v", err)
		return
	}
	p.traffic = next
	for _, e := range p.entries {
		s.after(time.Duration(s.rnd.Int64N(int64(applyLag))), func() {
			if !e.dead {
				e.apply(s, next)
			}
		})
	}
}

func (e *steeringEntry) apply(s *sim, t plan.TrafficPlan) {
	if !e.holder.Apply(s.time(), t.Grants, t.Version) {
		return
	}
	var targets []route.Target
	for _, tg := range t.Targets {
		targets = append(targets, route.Target{
			Name: tg.Name, Service: tg.Service, Place: tg.Place, Slots: tg.Slots, Leaving: tg.Leaving,
		})
	}
	e.picker.SetTargets(s.time(), targets)
	var slots [regionCount]ident.Slots
	for _, tg := range t.Targets {
		e.limit(s, tg.Name)
		slots[e.p.byName[tg.Name].region] += e.holder.Limit(s.time(), tg.Name)
	}
	for _, r := range t.Routes {
		if r.Origin == e.place.Region {
			e.follower.Set(t.Version, r.Weights)
		}
	}
	for r := range regionCount {
		// An entry without slots of its own can still borrow one at a time.
		e.queue[r].SetSlots(max(1, slots[r]))
		e.drainQueue(s, r)
	}
}

func (e *steeringEntry) limit(s *sim, name ident.Target) {
	e.picker.SetLimit(name, e.holder.Limit(s.time(), name))
}

func (p *currantpierSteering) tick(s *sim) {
	p.compute(s)
	p.report(s)
	for _, e := range p.entries {
		if e.dead {
			for r := range e.waiting {
				for _, it := range e.queue[r].Expire(epoch.Add(time.Hour), nil) {
					s.resubmit(e.waiting[r][it.ID])
				}
				clear(e.waiting[r])
			}
			continue
		}
		e.holder.RecordLoopRun(s.time())
		e.holder.ExpireLoans(s.time())
		e.move(s)
		for r := range regionCount {
			for _, it := range e.queue[r].Expire(s.time(), nil) {
				delete(e.waiting[r], it.ID)
				s.refuse()
			}
			e.rate[r] += 0.5 * (e.arrived[r] - e.rate[r])
			e.arrived[r] = 0
			e.drainQueue(s, r)
			e.borrow(s, r)
		}
		if !s.reportsStopped {
			for _, sv := range s.servers {
				e.picker.RecordLoad(sv.name, sv.load, s.time().Add(-reportLag))
			}
		}
	}
}

// move applies the current weights and checks that the moved share stays under the cap.
func (e *steeringEntry) move(s *sim) {
	w := e.follower.Weights(s.time())
	var moved ident.PPM
	for _, x := range w {
		gain := x.Share
		for _, old := range e.weights {
			if old.Region == x.Region {
				gain -= old.Share
			}
		}
		moved += max(0, gain)
	}
	if e.weights == nil {
		moved = 0
	}
	e.weights = w
	e.moved = append(e.moved, moved)
	e.moved = e.moved[max(0, len(e.moved)-60):]
	var sum ident.PPM
	for _, m := range e.moved {
		sum += m
	}
	if moved > rules.Cap.PerStep || sum > rules.Cap.PerMinute {
		s.violation("%s moved %d ppm in a second and %d in a minute", e.vm, moved, sum)
	}
	e.picker.SetWeights(service, e.place.Region, w)
}

func (p *currantpierSteering) arrive(s *sim, r *request) {
	e := p.entries[r.node.index]
	if e.dead {
		s.resubmit(r)
		return
	}
	region, ok := e.picker.DrawRegion(e.place.Region, service)
	if !ok {
		s.refuse()
		return
	}
	for r.region = 0; regionName(r.region) != region; r.region++ {
	}
	e.arrived[r.region]++
	e.offer(s, r)
}

// offer passes a new request, or one to retry, to admission: it starts, waits in the queue or is refused.
func (e *steeringEntry) offer(s *sim, r *request) {
	it := admit.Item{ID: r.id, Customer: r.customer, Deadline: epoch.Add(r.end)}
	ref, free := e.takeSlot(s, r.region, e.refs[r.id])
	d := e.queue[r.region].Offer(s.time(), it, free)
	switch {
	case d.Verdict == admit.Run:
		e.start(s, r, ref)
		return
	case free:
		e.holder.Release(ref.Name())
	}
	if d.Verdict == admit.Refused {
		if d.Kind == kinds.RateLimited {
			s.violation("over plan")
		}
		delete(e.refs, r.id)
		s.refuse()
		return
	}
	e.waiting[r.region][r.id] = r
	e.drainQueue(s, r.region)
	e.borrow(s, r.region)
}

// takeSlot selects a target and takes one of its slots.
func (e *steeringEntry) takeSlot(s *sim, region int, exclude []route.TargetRef) (route.TargetRef, bool) {
	ref, ok := e.picker.PickInRegion(s.time(), e.place, service, regionName(region), exclude, e.queue[region].Wait())
	return ref, ok && e.holder.TryTake(s.time(), ref.Name())
}

func (e *steeringEntry) start(s *sim, r *request, ref route.TargetRef) {
	e.picker.Started(ref)
	e.refs[r.id] = append(e.refs[r.id], ref)
	s.send(r, e.p.byName[ref.Name()])
}

// next removes the request that gets the next slot from the queue, nil if there is none.
func (e *steeringEntry) next(s *sim, region int) *request {
	it, ok := e.queue[region].Next(s.time())
	if !ok {
		return nil
	}
	r := e.waiting[region][it.ID]
	delete(e.waiting[region], it.ID)
	return r
}

func (e *steeringEntry) drainQueue(s *sim, region int) {
	for e.queue[region].Len() > 0 {
		ref, ok := e.takeSlot(s, region, nil)
		if !ok {
			return
		}
		r := e.next(s, region)
		if r == nil {
			e.holder.Release(ref.Name())
			return
		}
		e.start(s, r, ref)
	}
}

func (p *currantpierSteering) finish(s *sim, r *request, sv *server, o outcome) {
	e := p.entries[r.node.index]
	if e.dead {
		s.resubmit(r)
		return
	}
	refs := e.refs[r.id]
	ref := refs[len(refs)-1]
	took := s.now - r.sent
	e.picker.Finished(s.time(), ref, took, map[outcome]route.Result{
		answered: route.OK, shed: route.Shed, broken: route.Failed, unreachable: route.Unreachable, late: route.Failed,
	}[o])
	e.releaseSlot(s, r, sv)
	switch {
	case o == answered:
		e.queue[sv.region].Finished(took)
		e.serviceTime[sv.region] += 0.02 * (took.Seconds() - e.serviceTime[sv.region])
		delete(e.refs, r.id)
		s.done(r)
	case o == late || r.tries >= attempts || s.now >= r.end:
		delete(e.refs, r.id)
		s.refuse()
	default:
		e.offer(s, r)
	}
	if o == shed && !sv.dead {
		s.violation("%s had more than %d requests", sv.name, sv.slots)
	}
	e.drainQueue(s, sv.region)
}

// releaseSlot releases the slot of a request, which belongs to the entry or is borrowed.
func (e *steeringEntry) releaseSlot(s *sim, r *request, sv *server) {
	id, ok := e.loans[r.id]
	if !ok {
		e.holder.Release(sv.name)
		return
	}
	delete(e.loans, r.id)
	e.returnLoan(s, id)
}

// returnLoan ends a loan and returns its slot to the lender.
func (e *steeringEntry) returnLoan(s *sim, id uint64) {
	l, _ := e.holder.ReleaseBorrowed(id)
	e.limit(s, l.Target)
	for _, peer := range e.p.entries {
		if peer.vm == l.Lender && !peer.dead {
			s.after(s.latency(e.place, peer.place), func() {
				peer.holder.EndLoan(e.vm, 1, id)
				peer.limit(s, l.Target)
				peer.drainQueue(s, e.p.byName[l.Target].region)
			})
		}
	}
}

// borrow starts a loan request for the next queued request. It asks up to three peers, one after another. The number of
// concurrent loan requests is bounded by the queue length and by four.
func (e *steeringEntry) borrow(s *sim, region int) {
	if e.loanRequests[region] < min(4, e.queue[region].Len()) {
		e.loanRequests[region]++
		e.requestLoan(s, region, 3)
	}
}

// requestLoan makes one loan request to a random peer in the serving region or the entry's own. After a refusal it asks another
// peer.
func (e *steeringEntry) requestLoan(s *sim, region, tries int) {
	peer := e.p.entries[s.rnd.IntN(len(e.p.entries))]
	for peer == e || peer.region != region && peer.region != e.region {
		peer = e.p.entries[s.rnd.IntN(len(e.p.entries))]
	}
	way := s.latency(e.place, peer.place)
	e.nextID++
	l := share.Loan{ID: e.nextID, Lender: peer.vm, Borrower: e.vm, Incarnation: 1, Deadline: s.time().Add(s.deadline)}
	s.after(way, func() {
		granted := peer.lend(s, region, &l)
		s.after(way, func() {
			switch {
			case granted:
				e.loanRequests[region]--
				e.useLoan(s, region, l)
			case tries > 1 && e.queue[region].Len() > 0:
				e.requestLoan(s, region, tries-1)
			default:
				e.loanRequests[region]--
			}
		})
	})
}

// lend grants a slot that the entry doesn't need, and sets its target in l. It returns false if there is none.
func (e *steeringEntry) lend(s *sim, region int, l *share.Loan) bool {
	if e.dead || e.queue[region].Len() > 0 {
		return false
	}
	ref, ok := e.picker.PickInRegion(s.time(), e.place, service, regionName(region), nil, e.queue[region].Wait())
	if !ok {
		return false
	}
	l.Target = ref.Name()
	if !e.holder.Lend(s.time(), *l) {
		return false
	}
	e.limit(s, l.Target)
	return true
}

// useLoan starts the next queued request with a granted loan, or returns the loan if no request can use it.
func (e *steeringEntry) useLoan(s *sim, region int, l share.Loan) {
	if e.dead || !e.holder.Borrow(s.time(), l) {
		return
	}
	e.limit(s, l.Target)
	r := e.next(s, region)
	ref, ok := e.picker.Lookup(l.Target)
	if r == nil || !ok || !e.holder.TakeBorrowed(s.time(), l.ID) {
		if r != nil {
			s.refuse()
		}
		e.returnLoan(s, l.ID)
		return
	}
	e.loans[r.id] = l.ID
	e.start(s, r, ref)
	e.borrow(s, region)
}
