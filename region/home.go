// Package region decides how the requests and objects of one service are divided among regions. It has no I/O, no goroutines
// and no clock of its own.
package region

import (
	"slices"
	"strings"

	"github.com/currantpier/currantpier/hash"
	"github.com/currantpier/currantpier/ident"
)

// Homes divides the objects of one service among the regions, so that each target holds about as many. Callers of each
// region ask for objects of their own: in a region with few targets these would not fit into the targets' memory, while
// targets elsewhere have room. The parts follow the slots alone and not the load: an object that moves is unknown to its
// new target.
type Homes struct {
	own ident.Region
	// local is the part of the objects that stays in the own region, at most 1.
	local float64
	// others are the parts of the other regions, sorted by region. With local they sum to 1.
	others []homePart
}

type homePart struct {
	region ident.Region
	part   float64
}

// NewHomes divides by the slots of the service in each region. The demand of the regions is taken to be the same.
func NewHomes(own ident.Region, slots map[ident.Region]float64) Homes {
	h := Homes{own: own, local: localPart(own, slots)}
	elsewhere := total(slots) - slots[own]
	for r, n := range slots {
		if r != own && elsewhere > 0 {
			h.others = append(h.others, homePart{r, (1 - h.local) * n / elsewhere})
		}
	}
	slices.SortFunc(h.others, func(a, b homePart) int { return strings.Compare(string(a.region), string(b.region)) })
	return h
}

// homeSlack is how much more than its part of the objects a region may hold, so that in regions of about the same size no
// object moves when a few targets come or go.
const homeSlack = 1.2

// localPart is the part of a region's objects that its own targets hold if all regions ask for the same.
func localPart(own ident.Region, slots map[ident.Region]float64) float64 {
	all := total(slots)
	if all == slots[own] {
		return 1
	}
	return min(1, homeSlack*slots[own]*float64(len(slots))/all)
}

func total(slots map[ident.Region]float64) float64 {
	sum := 0.0
	for _, n := range slots {
		sum += n
	}
	return sum
}

// homeSalt makes the choice of a region independent of that of a target.
const homeSalt = 0x5bd1e995

// Of returns the region that holds an object. It is the same on all VMs of a region that know the same slots; if these
// change a little, few objects move.
func (h *Homes) Of(object uint64) ident.Region {
	x := float64(hash.Mix(object^homeSalt)>>11)/(1<<53) - h.local
	for _, p := range h.others {
		if x < 0 {
			break
		}
		if x < p.part {
			return p.region
		}
		x -= p.part
	}
	return h.own
}
