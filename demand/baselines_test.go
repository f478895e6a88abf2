package demand_test

import (
	"time"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/shift"
)

// baseline sends each request to a target by a simple rule, without slot grants or queues. A target without a free slot sheds
// the request, which makes up to three attempts. Targets of the entry's region are preferred while one is reported alive.
type baseline struct {
	choose func(s *sim, b *baseline, r *request, from []*server) *server
	// domainOnly prefers the targets of the entry's failure domain while one is reported alive.
	domainOnly bool
	// nextTarget counts the requests of each entry, for round robin.
	nextTarget map[*node]int
	// inFlight counts the requests in progress of each entry at each target.
	inFlight map[*node]map[*server]int
}

func (b *baseline) arrive(s *sim, r *request) {
	if r.node.dead {
		s.resubmit(r)
		return
	}
	for far := ident.SameDomain; far <= ident.OtherRegion; far++ {
		if far == ident.SameDomain && !b.domainOnly {
			continue
		}
		var from []*server
		for _, sv := range s.servers {
			if !sv.gone && r.node.place.To(sv.place) <= far && !wasTried(r, sv) {
				from = append(from, sv)
			}
		}
		if len(from) > 0 {
			sv := b.choose(s, b, r, from)
			b.count(r, sv, 1)
			s.send(r, sv)
			return
		}
	}
	s.refuse()
}

func wasTried(r *request, sv *server) bool {
	for _, t := range r.tried[:min(r.tries, attempts)] {
		if t == sv {
			return true
		}
	}
	return false
}

func (b *baseline) count(r *request, sv *server, d int) {
	if b.inFlight[r.node] == nil {
		b.inFlight[r.node] = map[*server]int{}
	}
	b.inFlight[r.node][sv] += d
}

func (b *baseline) finish(s *sim, r *request, sv *server, o outcome) {
	b.count(r, sv, -1)
	switch {
	case r.node.dead:
		s.resubmit(r)
	case o == answered:
		s.done(r)
	case o == late || r.tries >= attempts || s.now >= r.end:
		s.refuse()
	default:
		b.arrive(s, r)
	}
}

func (b *baseline) tick(*sim) {}

func newBaseline(name string) *baseline {
	b := &baseline{nextTarget: map[*node]int{}, inFlight: map[*node]map[*server]int{}}
	random := func(s *sim, _ *baseline, _ *request, from []*server) *server { return from[s.rnd.IntN(len(from))] }
	switch name {
	case "nearest only":
		b.domainOnly, b.choose = true, random
	case "round robin":
		b.choose = func(_ *sim, b *baseline, r *request, from []*server) *server {
			b.nextTarget[r.node]++
			return from[b.nextTarget[r.node]%len(from)]
		}
	case "random":
		b.choose = random
	case "least reported load":
		b.choose = func(s *sim, _ *baseline, _ *request, from []*server) *server {
			best := from[s.rnd.IntN(len(from))]
			for _, sv := range from {
				if sv.load < best.load {
					best = sv
				}
			}
			return best
		}
	case "best of two":
		b.choose = func(s *sim, b *baseline, r *request, from []*server) *server {
			x, y := random(s, b, r, from), random(s, b, r, from)
			if b.inFlight[r.node][y] < b.inFlight[r.node][x] {
				return y
			}
			return x
		}
	}
	return b
}

// deadlineMargin is the least time to its deadline with which a request stays queued, relative to the mean service time. As in
// package admit, it is the mean plus two mean deviations of the service times.
const deadlineMargin = 1.74

// oracle is the reference with complete information: it knows the true load, health and speed of all targets without delay and
// has one queue per region. It moves traffic under the same cap as currantpier, since requirement R1 applies to it too.
type oracle struct {
	queue    [regionCount][]*request
	follower *shift.WeightLimiter
	weights  []shift.Weight
}

func newOracle() *oracle {
	o := &oracle{follower: shift.NewWeightLimiter(rules.Cap)}
	o.follower.Set(1, []shift.Weight{{Region: regionName(0), Share: ident.Whole}})
	return o
}

func (o *oracle) tick(s *sim) {
	if s.drain && !s.reportsStopped {
		half := ident.Whole / 2
		o.follower.Set(2, []shift.Weight{{Region: regionName(1), Share: half}, {Region: regionName(2), Share: half}})
	}
	o.weights = o.follower.Weights(s.time())
}

func (o *oracle) arrive(s *sim, r *request) {
	if r.node.dead {
		s.resubmit(r)
		return
	}
	r.region = r.node.region
	if r.region == 0 {
		n := ident.PPM(s.rnd.IntN(int(ident.Whole)))
		for _, w := range o.weights {
			if n -= w.Share; n < 0 {
				for r.region = 0; regionName(r.region) != w.Region; r.region++ {
				}
				break
			}
		}
	}
	if sv := o.reserveSlot(s, r); sv != nil {
		s.send(r, sv)
		return
	}
	slots := 0
	for _, sv := range s.servers {
		if sv.region == r.region && !sv.dead {
			slots += sv.slots
		}
	}
	wait := time.Duration(float64(len(o.queue[r.region])+1) / float64(max(1, slots)) * float64(s.meanServiceTime))
	if s.now+wait+s.minTimeLeft() > r.end {
		s.refuse()
		return
	}
	o.queue[r.region] = append(o.queue[r.region], r)
}

// minTimeLeft returns the least time to its deadline with which a request stays queued.
func (s *sim) minTimeLeft() time.Duration {
	return time.Duration(deadlineMargin * float64(s.meanServiceTime))
}

// reserveSlot reserves a slot of the fastest target with a free one, the nearest of equally fast ones, and returns that target.
// It returns nil if no slot is free.
func (o *oracle) reserveSlot(s *sim, r *request) *server {
	var best *server
	better := func(a, b *server) bool {
		if a.slow != b.slow {
			return a.slow < b.slow
		}
		return r.node.place.To(a.place) < r.node.place.To(b.place)
	}
	for _, sv := range s.servers {
		if sv.region == r.region && !sv.dead && sv.busy+sv.reserved < sv.slots && (best == nil || better(sv, best)) {
			best = sv
		}
	}
	if best != nil {
		best.reserved++
		s.after(s.latency(r.node.place, best.place), func() { best.reserved-- })
	}
	return best
}

func (o *oracle) finish(s *sim, r *request, _ *server, out outcome) {
	switch {
	case r.node.dead:
		s.resubmit(r)
	case out == answered:
		s.done(r)
	case out == late || r.tries >= attempts || s.now >= r.end:
		s.refuse()
	default:
		o.arrive(s, r)
	}
	for region := range o.queue {
		for len(o.queue[region]) > 0 {
			q := o.queue[region][0]
			if q.node.dead || s.now+s.minTimeLeft() > q.end {
				o.queue[region] = o.queue[region][1:]
				if q.node.dead {
					s.resubmit(q)
				} else {
					s.refuse()
				}
				continue
			}
			sv := o.reserveSlot(s, q)
			if sv == nil {
				break
			}
			o.queue[region] = o.queue[region][1:]
			s.send(q, sv)
		}
	}
}
