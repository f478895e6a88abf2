// Package region divides the requests and objects of one service among regions. It does no I/O, starts no goroutines and takes
// the time as a parameter.
package region

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/currantpier/currantpier/hash"
	"github.com/currantpier/currantpier/ident"
)

// homeTolerance is the ratio to its share by slots up to which a region holds its own objects; the rest gets another home.
// Since it exceeds 1, no object moves between regions of about the same size when a few targets are added or removed.
const homeTolerance = 1.15

// Homes assigns the objects requested in one region to home regions, so that all targets of a service cache about the same
// number of objects, and limits how fast requests change their region.
type Homes struct {
	own      ident.Region
	shares   shares
	overflow overflow
	// lastRequest is the time of the last request.
	lastRequest time.Time
}

// share is the share of the objects that have their home in a region.
type share struct {
	region ident.Region
	// hash is the hash of the region's name.
	hash uint64
	// target is the share by slots. current follows it.
	target, current float64
}

// shares are sorted by region. The current shares sum to 1.
type shares []share

// NewHomes returns the homes of the objects that are requested in region own.
func NewHomes(own ident.Region) *Homes { return &Homes{own: own} }

// SetSlots sets the slots of the service in each region. Before the first request the home shares follow them at once, since
// targets register one after another when a deployment starts, and later by changePerSecond. The shares depend on the slots alone
// and not on the load, since an object that changes its home region misses the cache there. It is assumed that the callers of
// all regions request the same number of objects, and that they request objects of their own: in a region with few targets
// these would not fit into the targets' caches, while targets elsewhere have free capacity.
func (h *Homes) SetSlots(slots map[ident.Region]float64) {
	local, elsewhere := localShare(h.own, slots), sumSlots(slots)-slots[h.own]
	list := make(shares, 0, len(slots))
	lost := 1.0
	for r, n := range slots {
		x := share{region: r, hash: xxhash.Sum64String(string(r)), target: local}
		if r != h.own {
			x.target = (1 - local) * n / max(elsewhere, 1)
		}
		if old := h.shares.find(r); old != nil {
			x.current = old.current
			lost -= old.current
		}
		list = append(list, x)
	}
	slices.SortFunc(list, func(a, b share) int { return strings.Compare(string(a.region), string(b.region)) })
	if h.lastRequest.IsZero() {
		lost = 1
	}
	// The objects of regions that have lost their last target move at once.
	list.move(lost)
	list.scale()
	h.shares = list
	h.overflow.setRegions(list)
}

func (s shares) find(r ident.Region) *share {
	for i := range s {
		if s[i].region == r {
			return &s[i]
		}
	}
	return nil
}

// move moves the current shares towards their targets and returns the sum of all gains, at most limit. A limit for each region
// alone would let objects leave one region faster the more others take them over.
func (s shares) move(limit float64) float64 {
	gain := 0.0
	for _, x := range s {
		gain += max(0, x.target-x.current)
	}
	if gain == 0 {
		return 0
	}
	part := min(1, limit/gain)
	for i := range s {
		s[i].current += float64(part * (s[i].target - s[i].current))
	}
	return part * gain
}

// scale makes the current shares sum to 1.
func (s shares) scale() {
	sum := 0.0
	for _, x := range s {
		sum += x.current
	}
	for i := range s {
		if sum > 0 {
			s[i].current /= sum
		}
	}
}

// localShare returns the share of the objects requested in region own whose home is that region, 0 to 1.
func localShare(own ident.Region, slots map[ident.Region]float64) float64 {
	all := sumSlots(slots)
	if all == slots[own] {
		return 1
	}
	return min(1, homeTolerance*slots[own]*float64(len(slots))/all)
}

func sumSlots(slots map[ident.Region]float64) float64 {
	sum := 0.0
	for _, n := range slots {
		sum += n
	}
	return sum
}

// homeSalt makes the selection of a region independent of that of a target, which hashes the same object.
const homeSalt = 0x5bd1e995

// RegionOf returns the home region of an object, the own region if the service has no targets. It is the same on all VMs of a
// region that know the same slots. It uses weighted rendezvous hashing: when the shares change, only as many objects move as
// the shares that grow gain.
func (h *Homes) RegionOf(object uint64) ident.Region {
	best, region := 0.0, h.own
	for _, x := range h.shares {
		if x.current <= 0 {
			continue
		}
		// The scores are exponentially distributed with the shares as rates, so that the least is a region's with a
		// probability equal to its share.
		u := (float64(hash.Mix(object^x.hash^homeSalt)>>11) + 0.5) / (1 << 53)
		if score := -math.Log(u) / x.current; best == 0 || score < best {
			best, region = score, x.region
		}
	}
	return region
}

// Allows reports whether the next request of a home region may be served in region r.
func (h *Homes) Allows(now time.Time, home, r ident.Region) bool {
	switch {
	case now.Before(h.overflow.unlimitedUntil):
		return true
	case r == home:
		return h.overflow.mayStay()
	}
	return h.overflow.mayLeave(r)
}

// RecordFailure records that a target can't be reached or has stopped responding: for faultPeriod, shares change without a
// limit. Overload is no such failure: during a burst it lasts, and each region that takes over more than it can serve fails next.
func (h *Homes) RecordFailure(now time.Time) { h.overflow.unlimitedUntil = now.Add(faultPeriod) }

// Record records a request of a home region that is sent to region to and that the costs of the targets alone would send to
// region desired. The shares move by at most the change that is allowed for the time since the last request.
func (h *Homes) Record(now time.Time, home, desired, to ident.Region) {
	elapsed := time.Duration(0)
	if !h.lastRequest.IsZero() {
		elapsed = max(now.Sub(h.lastRequest), 0)
	}
	h.lastRequest = now
	limit := changePerSecond * min(elapsed, time.Second).Seconds()
	if now.Before(h.overflow.unlimitedUntil) {
		limit = 1
	}
	limit -= h.shares.move(limit)
	weight := min(maxSampleWeight, elapsed.Seconds()/overflowWindow.Seconds())
	h.overflow.record(home, desired, to, weight, limit)
}
