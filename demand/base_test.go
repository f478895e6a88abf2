package demand_test

import (
	"time"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/shift"
)

// baseline sends each request to a target by a simple rule, without slots or queues. A target without a free slot sheds;
// a request makes up to three attempts. Targets of the entry's region come first while any is reported alive.
type baseline struct {
	choose func(s *sim, b *baseline, r *request, from []*server) *server
	// domainOnly restricts the choice to the entry's failure domain while it has targets.
	domainOnly bool
	turn       map[*node]int
	// inFlight counts the requests of each entry at each target.
	inFlight map[*node]map[*server]int
}

func (b *baseline) arrive(s *sim, r *request) {
	if r.node.dead {
		s.again(r)
		return
	}
	for far := ident.SameDomain; far <= ident.OtherRegion; far++ {
		if far == ident.SameDomain && !b.domainOnly {
			continue
		}
		var from []*server
		for _, sv := range s.servers {
			if !sv.gone && r.node.place.To(sv.place) <= far && !tried(r, sv) {
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

func tried(r *request, sv *server) bool {
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
		s.again(r)
	case o == answered:
		s.done(r)
	case o == late || r.tries >= attempts || s.now >= r.end:
		s.refuse()
	default:
		b.arrive(s, r)
	}
}

func (b *baseline) second(*sim) {}

func newBaseline(name string) *baseline {
	b := &baseline{turn: map[*node]int{}, inFlight: map[*node]map[*server]int{}}
	random := func(s *sim, _ *baseline, _ *request, from []*server) *server { return from[s.rnd.IntN(len(from))] }
	switch name {
	case "nearest only":
		b.domainOnly, b.choose = true, random
	case "round robin":
		b.choose = func(_ *sim, b *baseline, r *request, from []*server) *server {
			b.turn[r.node]++
			return from[b.turn[r.node]%len(from)]
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

// margin is the time that queued work must have left, relative to the mean service time: the mean and two mean
// deviations of the model's service times, as in package admit.
const margin = 1.74

// oracle knows the true load, health and speed of all targets at once, has one queue per region, and moves traffic at
// the same cap as currantpier, since R1 binds it too.
type oracle struct {
	queue    [regionCount][]*request
	follower *shift.Follower
	weights  []shift.Weight
}

func newOracle() *oracle {
	o := &oracle{follower: shift.NewFollower(rules.Cap)}
	o.follower.Set(1, []shift.Weight{{Region: regionName(0), Share: ident.Whole}})
	return o
}

func (o *oracle) second(s *sim) {
	if s.drain && !s.mute {
		half := ident.Whole / 2
		o.follower.Set(2, []shift.Weight{{Region: regionName(1), Share: half}, {Region: regionName(2), Share: half}})
	}
	o.weights = o.follower.Weights(s.time())
}

func (o *oracle) arrive(s *sim, r *request) {
	if r.node.dead {
		s.again(r)
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
	if sv := o.free(s, r); sv != nil {
		s.send(r, sv)
		return
	}
	slots := 0
	for _, sv := range s.servers {
		if sv.region == r.region && !sv.dead {
			slots += sv.slots
		}
	}
	wait := time.Duration(float64(len(o.queue[r.region])+1) / float64(max(1, slots)) * float64(s.work))
	if s.now+wait+s.needed() > r.end {
		s.refuse()
		return
	}
	o.queue[r.region] = append(o.queue[r.region], r)
}

func (s *sim) needed() time.Duration { return time.Duration(margin * float64(s.work)) }

// free returns the fastest and then nearest target with a free slot.
func (o *oracle) free(s *sim, r *request) *server {
	var best *server
	better := func(a, b *server) bool {
		if a.slow != b.slow {
			return a.slow < b.slow
		}
		return r.node.place.To(a.place) < r.node.place.To(b.place)
	}
	for _, sv := range s.servers {
		if sv.region == r.region && !sv.dead && sv.busy+sv.promised < sv.slots && (best == nil || better(sv, best)) {
			best = sv
		}
	}
	if best != nil {
		best.promised++
		s.after(s.between(r.node.place, best.place), func() { best.promised-- })
	}
	return best
}

func (o *oracle) finish(s *sim, r *request, _ *server, out outcome) {
	switch {
	case r.node.dead:
		s.again(r)
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
			if q.node.dead || s.now+s.needed() > q.end {
				o.queue[region] = o.queue[region][1:]
				if q.node.dead {
					s.again(q)
				} else {
					s.refuse()
				}
				continue
			}
			sv := o.free(s, q)
			if sv == nil {
				break
			}
			o.queue[region] = o.queue[region][1:]
			s.send(q, sv)
		}
	}
}
