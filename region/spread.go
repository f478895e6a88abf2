package region

import (
	"slices"
	"strings"
	"time"

	"github.com/currantpier/currantpier/ident"
)

const (
	// shiftRate is how fast the planned share of a region may change, per second. The platform allows 0.15 within 2 s over
	// all VMs; the rest is for the noise of the requests.
	shiftRate = 0.045
	// faultFor is how long after a target failed or went away shares may change at once: waiting costs more than moving
	// then.
	faultFor = 4 * time.Second
	// shareSlack is how far the measured share of a region may lie above its planned one.
	shareSlack = 0.03
	// shareMemory is the time constant of the measured shares and of the wishes.
	shareMemory = time.Second
	// shareEvent bounds the weight of one request in a measured share.
	shareEvent = 0.1
)

// regionShare is one region's part of a service's requests at this VM. Each field sums to 1 over the regions.
type regionShare struct {
	region ident.Region
	// planned follows wished slowly.
	planned float64
	// wished is what the costs of targets alone would give, got what was sent.
	wished, got float64
}

// Spread bounds how fast the requests of one service move between regions. The costs of targets can change at once for
// all requests, for example while caches warm up; a sudden move would hit links and cold caches elsewhere.
type Spread struct {
	// shares are sorted by region.
	shares []regionShare
	at     time.Time
	// fault is until when shares may change at once.
	fault time.Time
}

// SetSlots takes the slots of the service in each region. Until the first request it plans anew, since targets register
// one after the other at the start of a deployment: as Homes divides the objects.
func (s *Spread) SetSlots(now time.Time, own ident.Region, slots map[ident.Region]float64) {
	removed := s.update(slots)
	switch {
	case s.at.IsZero():
		s.plan(own, slots)
	case removed:
		s.Failed(now)
	}
	s.normalize()
}

// update adds and removes regions and reports whether one was removed.
func (s *Spread) update(slots map[ident.Region]float64) (removed bool) {
	n := len(s.shares)
	s.shares = slices.DeleteFunc(s.shares, func(x regionShare) bool { return slots[x.region] == 0 })
	removed = len(s.shares) < n
	for r := range slots {
		if s.of(r) == nil {
			s.shares = append(s.shares, regionShare{region: r})
		}
	}
	slices.SortFunc(s.shares, func(a, b regionShare) int { return strings.Compare(string(a.region), string(b.region)) })
	return removed
}

func (s *Spread) plan(own ident.Region, slots map[ident.Region]float64) {
	local, all := localPart(own, slots), total(slots)
	for i := range s.shares {
		x := &s.shares[i]
		x.planned = local
		if x.region != own {
			x.planned = (1 - local) * slots[x.region] / max(all-slots[own], 1)
		}
		x.wished, x.got = x.planned, x.planned
	}
}

// normalize makes the planned shares sum to 1 after regions came or went.
func (s *Spread) normalize() {
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

func (s *Spread) of(r ident.Region) *regionShare {
	for i := range s.shares {
		if s.shares[i].region == r {
			return &s.shares[i]
		}
	}
	return nil
}

// Failed lets shares change at once for a while.
func (s *Spread) Failed(now time.Time) { s.fault = now.Add(faultFor) }

// Open reports whether a region may get one more request.
func (s *Spread) Open(now time.Time, r ident.Region) bool {
	x := s.of(r)
	return x == nil || now.Before(s.fault) || x.got < x.planned+shareSlack
}

// Count records the region that the costs alone would have chosen and the one that the request goes to, and moves the
// planned shares with the time that has passed.
func (s *Spread) Count(now time.Time, wished, to ident.Region) {
	dt := max(now.Sub(s.at), 0)
	if s.at.IsZero() {
		dt = 0
	}
	s.at = now
	weight := min(shareEvent, dt.Seconds()/shareMemory.Seconds())
	step := shiftRate * min(dt, time.Second).Seconds()
	if now.Before(s.fault) {
		step = 1
	}
	for i := range s.shares {
		x := &s.shares[i]
		x.wished += weight * (indicator(x.region == wished) - x.wished)
		x.got += weight * (indicator(x.region == to) - x.got)
		x.planned += max(-step, min(step, x.wished-x.planned))
	}
	s.normalize()
}

func indicator(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
