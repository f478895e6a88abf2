package pick

import (
	"slices"
	"time"

	"github.com/currantpier/currantpier/ident"
)

const (
	// shiftRate is how fast the planned share of a region may change, per second. The platform allows 0.15 within 2 s over
	// all VMs; the rest is for the noise of the requests.
	shiftRate = 0.035
	// shiftRateFault is the rate while targets fail or leave, when waiting costs more than moving.
	shiftRateFault = 0.5
	// faultFor is how long a target that failed or went away counts as a reason to move fast.
	faultFor = 4 * time.Second
	// shareSlack is how far the measured share of a region may lie above its planned one.
	shareSlack = 0.04
	// shareMemory is the time constant of the measured shares.
	shareMemory = time.Second
	// shareEvent bounds the weight of one request in a measured share.
	shareEvent = 0.1
	// fullUse is the use of the own region's slots from which requests are moved away, freeUse the one below which they
	// come back. Use counts waiting requests, so that it can exceed 1.
	fullUse, freeUse = 0.85, 0.65
	// useMargin is how much less another region's use must be before requests move there.
	useMargin = 0.2
	// unknownUse is assumed for a region from which no target has reported lately.
	unknownUse = 0.5
	// useFor is how long a target's report counts for the use of its region.
	useFor = 3 * time.Second
)

// regionShare is one region's part of a service's requests at this VM.
type regionShare struct {
	region ident.Region
	// planned changes slowly; got is what was sent lately. Each sums to 1 over the regions.
	planned, got float64
	slots, use   float64
}

// spread divides the requests of one service among regions. Objects have a home region by their hash and the planned
// shares, so that a change of the shares moves few objects, and each only once. Shares follow the use of the regions'
// slots slowly: a sudden move would hit links and cold caches elsewhere.
type spread struct {
	// shares begins with the own region, if that has targets; the others are sorted by name.
	shares []regionShare
	own    ident.Region
	at     time.Time
	// fault is until when shares may change fast.
	fault time.Time
}

// setSlots takes the slots of the service in each region.
func (s *spread) setSlots(now time.Time, slots map[ident.Region]float64) {
	first := len(s.shares) == 0
	old := s.shares
	s.shares = nil
	for r, n := range slots {
		x := regionShare{region: r, slots: n}
		if i := slices.IndexFunc(old, func(o regionShare) bool { return o.region == r }); i >= 0 {
			x.planned, x.got = old[i].planned, old[i].got
			if n < old[i].slots {
				s.fault = now.Add(faultFor)
			}
		}
		s.shares = append(s.shares, x)
	}
	slices.SortFunc(s.shares, func(a, b regionShare) int {
		if (a.region == s.own) != (b.region == s.own) {
			if a.region == s.own {
				return -1
			}
			return 1
		}
		if a.region < b.region {
			return -1
		}
		return 1
	})
	if len(s.shares) < len(old) {
		s.fault = now.Add(faultFor)
	}
	if first {
		s.initial()
	}
	s.normalize()
}

// initial plans all requests for the own region if it has its part of the slots, and otherwise as many as it has.
func (s *spread) initial() {
	total := 0.0
	for _, x := range s.shares {
		total += x.slots
	}
	left := 1.0
	for i := range s.shares {
		x := &s.shares[i]
		if x.region == s.own {
			x.planned = min(1, x.slots*float64(len(s.shares))/max(total, 1))
			left -= x.planned
			total -= x.slots
			continue
		}
		x.planned = left * x.slots / max(total, 1)
	}
	for i := range s.shares {
		s.shares[i].got = s.shares[i].planned
	}
}

// normalize makes the planned shares sum to 1 after regions came or went.
func (s *spread) normalize() {
	sum := 0.0
	for _, x := range s.shares {
		sum += x.planned
	}
	for i := range s.shares {
		if sum > 0 {
			s.shares[i].planned /= sum
		} else {
			s.shares[i].planned = 1 / float64(len(s.shares))
		}
	}
}

// home returns the region of an object.
func (s *spread) home(o Object) ident.Region {
	if o == 0 {
		return s.behind()
	}
	x := float64(mix(uint64(o)+homeSalt)>>11) / (1 << 53)
	for _, r := range s.shares {
		if x -= r.planned; x < 0 {
			return r.region
		}
	}
	return s.own
}

// homeSalt makes the home region independent of the order of targets, which uses the same hash.
const homeSalt = 0x9e3779b97f4a7c15

// behind returns the region that is furthest below its planned share.
func (s *spread) behind() ident.Region {
	best, most := s.own, -1.0
	for _, x := range s.shares {
		if d := x.planned - x.got; d > most {
			best, most = x.region, d
		}
	}
	return best
}

// open reports whether a region may get one more request.
func (s *spread) open(r ident.Region) bool {
	for _, x := range s.shares {
		if x.region == r {
			return x.got < x.planned+shareSlack
		}
	}
	return true
}

// count records that a request goes to a region, and moves the planned shares with the time that has passed.
func (s *spread) count(now time.Time, to ident.Region) {
	dt := now.Sub(s.at)
	if s.at.IsZero() || dt < 0 {
		dt = 0
	}
	s.at = now
	g := min(shareEvent, dt.Seconds()/shareMemory.Seconds())
	for i := range s.shares {
		x := &s.shares[i]
		is := 0.0
		if x.region == to {
			is = 1
		}
		x.got += g * (is - x.got)
	}
	s.advance(now, min(dt, time.Second))
}

// advance moves planned shares between the own region and the least used other one.
func (s *spread) advance(now time.Time, dt time.Duration) {
	if len(s.shares) < 2 || s.shares[0].region != s.own {
		return
	}
	rate := shiftRate
	if now.Before(s.fault) {
		rate = shiftRateFault
	}
	step := rate * dt.Seconds()
	own := &s.shares[0]
	least, most := &s.shares[1], &s.shares[1]
	for i := range s.shares[1:] {
		x := &s.shares[1+i]
		if x.use < least.use {
			least = x
		}
		if x.planned > most.planned {
			most = x
		}
	}
	switch {
	case own.use > fullUse && own.use > least.use+useMargin:
		step = min(step, own.planned)
		own.planned -= step
		least.planned += step
	case own.use < freeUse && most.planned > 0:
		step = min(step, most.planned)
		own.planned += step
		most.planned -= step
	}
}
