package region

import (
	"slices"
	"strings"
	"time"

	"github.com/currantpier/currantpier/ident"
)

const (
	// shareChangePerSecond bounds the change of a region's planned share. The platform allows 0.15 within 2 s over all VMs; the
	// rest of that covers the random variation of the requests.
	shareChangePerSecond = 0.045
	// faultPeriod is how long shares may change without a limit after a target failed or a region lost its last one: requests
	// that wait for failed targets cost more than a sudden move.
	faultPeriod = 4 * time.Second
	// shareTolerance is how far the measured share of a region may exceed its planned share.
	shareTolerance = 0.03
	// shareWindow is the time constant of the exponential means in regionShare.
	shareWindow = time.Second
	// maxSampleWeight bounds the weight of one request in these means.
	maxSampleWeight = 0.1
)

// regionShare holds one region's shares of this VM's requests for a service. Over all regions, each kind of share sums to 1.
type regionShare struct {
	region ident.Region
	// planned follows desired by at most shareChangePerSecond.
	planned float64
	// desired is the share that the costs of the targets alone would give the region, measured the share that it was sent.
	desired, measured float64
}

// ShareLimiter limits how fast the requests of one service move between regions. The costs of targets can change for all
// requests at the same time, for example while caches warm up; a sudden move would overload links and cold caches of other regions.
type ShareLimiter struct {
	// shares are sorted by region.
	shares []regionShare
	// lastRequest is the time of the last request.
	lastRequest time.Time
	// unlimitedUntil is the time until which shares may change without a limit.
	unlimitedUntil time.Time
}

// SetSlots sets the slots of the service in each region. Before the first request, each call plans the shares again, with the
// same division as Homes, since targets register one after another when a deployment starts.
func (s *ShareLimiter) SetSlots(now time.Time, own ident.Region, slots map[ident.Region]float64) {
	removed := s.updateRegions(slots)
	switch {
	case s.lastRequest.IsZero():
		s.planInitialShares(own, slots)
	case removed:
		s.RecordFailure(now)
	}
	s.normalize()
}

// updateRegions adds new regions, removes those without slots and reports whether one was removed.
func (s *ShareLimiter) updateRegions(slots map[ident.Region]float64) (removed bool) {
	n := len(s.shares)
	s.shares = slices.DeleteFunc(s.shares, func(x regionShare) bool { return slots[x.region] == 0 })
	removed = len(s.shares) < n
	for r := range slots {
		if s.find(r) == nil {
			s.shares = append(s.shares, regionShare{region: r})
		}
	}
	slices.SortFunc(s.shares, func(a, b regionShare) int { return strings.Compare(string(a.region), string(b.region)) })
	return removed
}

// planInitialShares sets all shares of each region to the same initial value.
func (s *ShareLimiter) planInitialShares(own ident.Region, slots map[ident.Region]float64) {
	local, all := localShare(own, slots), sumSlots(slots)
	for i := range s.shares {
		x := &s.shares[i]
		x.planned = local
		if x.region != own {
			x.planned = (1 - local) * slots[x.region] / max(all-slots[own], 1)
		}
		x.desired, x.measured = x.planned, x.planned
	}
}

// normalize scales the planned shares to a sum of 1.
func (s *ShareLimiter) normalize() {
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

func (s *ShareLimiter) find(r ident.Region) *regionShare {
	for i := range s.shares {
		if s.shares[i].region == r {
			return &s.shares[i]
		}
	}
	return nil
}

// RecordFailure records a failure of a target: for faultPeriod, shares may change without a limit.
func (s *ShareLimiter) RecordFailure(now time.Time) { s.unlimitedUntil = now.Add(faultPeriod) }

// Allows reports whether the next request may go to region r. It is true for an unknown region.
func (s *ShareLimiter) Allows(now time.Time, r ident.Region) bool {
	x := s.find(r)
	return x == nil || now.Before(s.unlimitedUntil) || x.measured < x.planned+shareTolerance
}

// Record records a request that goes to region to and would go to region desired by the costs alone. It moves the planned
// shares by at most the change that is allowed for the time since the last request.
func (s *ShareLimiter) Record(now time.Time, desired, to ident.Region) {
	elapsed := max(now.Sub(s.lastRequest), 0)
	if s.lastRequest.IsZero() {
		elapsed = 0
	}
	s.lastRequest = now
	weight := min(maxSampleWeight, elapsed.Seconds()/shareWindow.Seconds())
	step := shareChangePerSecond * min(elapsed, time.Second).Seconds()
	if now.Before(s.unlimitedUntil) {
		step = 1
	}
	for i := range s.shares {
		x := &s.shares[i]
		x.desired += weight * (indicator(x.region == desired) - x.desired)
		x.measured += weight * (indicator(x.region == to) - x.measured)
		x.planned += max(-step, min(step, x.desired-x.planned))
	}
	s.normalize()
}

func indicator(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
