// Package region divides the requests and objects of one service among regions. It does no I/O, starts no goroutines and takes
// the time as a parameter.
package region

import (
	"slices"
	"strings"

	"github.com/currantpier/currantpier/hash"
	"github.com/currantpier/currantpier/ident"
)

// Homes assigns the objects requested in one region to home regions, so that all targets of the service cache about the same
// number of objects. The callers of each region request objects of their own: in a region with few targets these would not
// fit into the targets' caches, while targets elsewhere have free capacity. The shares depend on the slots alone and not on
// the load, since an object that changes its home region misses the cache there.
type Homes struct {
	own ident.Region
	// local is the share of the objects whose home is the own region, at most 1.
	local float64
	// others are the shares of the other regions, sorted by region. Together with local they sum to 1.
	others []homeShare
}

type homeShare struct {
	region ident.Region
	share  float64
}

// NewHomes returns the Homes for objects requested in region own, given the slots of the service in each region. It assumes
// that the callers of all regions request the same number of objects.
func NewHomes(own ident.Region, slots map[ident.Region]float64) Homes {
	h := Homes{own: own, local: localShare(own, slots)}
	elsewhere := sumSlots(slots) - slots[own]
	for r, n := range slots {
		if r != own && elsewhere > 0 {
			h.others = append(h.others, homeShare{r, (1 - h.local) * n / elsewhere})
		}
	}
	slices.SortFunc(h.others, func(a, b homeShare) int { return strings.Compare(string(a.region), string(b.region)) })
	return h
}

// homeTolerance is the ratio to its share by slots up to which a region holds its own objects; the rest gets another home.
// Since it exceeds 1, no object moves between regions of about the same size when a few targets are added or removed.
const homeTolerance = 1.2

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

// RegionOf returns the home region of an object. It is the same on all VMs of a region that know the same slots; a small change
// of the slots moves few objects.
func (h *Homes) RegionOf(object uint64) ident.Region {
	x := float64(hash.Mix(object^homeSalt)>>11)/(1<<53) - h.local
	for _, p := range h.others {
		if x < 0 {
			break
		}
		if x < p.share {
			return p.region
		}
		x -= p.share
	}
	return h.own
}
