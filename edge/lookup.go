package edge

import (
	"math"
	"math/rand"
	"slices"

	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/proto"
)

// minLookupVMs is the number of addresses below which a lookup also returns VMs that are further away, so that a caller
// has an alternative.
const minLookupVMs = 2

// maxWeightedVMs bounds the addresses of a weighted answer. Callers read no more than 64; a longer answer would be cut at its end.
const maxWeightedVMs = 64

// weightedLookup returns the callers' addresses of some ready VMs of the caller's failure domain, at least minLookupVMs. Each VM is
// returned with a probability proportional to its capacity, so that callers who pick one of the addresses at random are distributed
// by capacity. A VM with more than half of the capacity of the failure domain is in every answer, which then has two addresses, and
// gets half of the callers. VMs of unknown capacity count as the mean. It returns nil if all VMs are to be returned: if all
// capacities are equal, and below three VMs.
func weightedLookup(ready []proto.VMInfo, from ident.Place, rnd *rand.Rand) []string {
	w := weigh(ready, from)
	if w.vms <= minLookupVMs || w.least == w.most {
		return nil
	}
	n := min(max(w.sum/w.most, minLookupVMs), maxWeightedVMs)
	if rest := w.sum - w.most; w.most > rest {
		w.limit, w.sum = rest, 2*rest
	}
	// Systematic sampling: n points at equal distances on a line on which each VM has a part as long as its capacity. All lengths are
	// multiplied by n, so that the distance is the sum and integers suffice. No part is longer than the distance.
	list := make([]string, 0, n)
	point, end := rnd.Int63n(w.sum), int64(0)
	for i := range ready {
		vm := &ready[i]
		if from.To(vm.Place) != ident.SameDomain {
			continue
		}
		end += n * w.of(vm)
		if point < end {
			list = append(list, vm.CallerAddress)
			point += w.sum
		}
	}
	return list
}

// weights are the capacities of the ready VMs of a failure domain.
type weights struct {
	vms              int
	sum, least, most int64
	// mean is that of the known capacities; limit bounds each one.
	mean, limit int64
}

func weigh(ready []proto.VMInfo, from ident.Place) weights {
	w := weights{least: math.MaxInt64, limit: math.MaxInt64}
	known := int64(0)
	for i := range ready {
		vm := &ready[i]
		if from.To(vm.Place) != ident.SameDomain {
			continue
		}
		w.vms++
		if c, ok := vm.KnownCapacity(); ok {
			known++
			w.sum, w.least, w.most = w.sum+c, min(w.least, c), max(w.most, c)
		}
	}
	if known == 0 {
		return weights{}
	}
	w.mean = w.sum / known
	w.sum += (int64(w.vms) - known) * w.mean
	return w
}

func (w *weights) of(vm *proto.VMInfo) int64 {
	c, ok := vm.KnownCapacity()
	if !ok {
		c = w.mean
	}
	return min(c, w.limit)
}

// lookup returns the callers' addresses of ready VMs for a caller at from: those of its failure domain; if these are
// fewer than minLookupVMs, also those of its region; if still fewer, also those of the other regions that may serve all
// routes of the host. A caller uses the addresses for all routes, so a region that may serve only some is named only if
// there is no VM otherwise, and only if no other region with a ready VM may serve more. Without a configuration, regions is
// nil and no other region is named.
func lookup(ready []proto.VMInfo, from ident.Place, regions *fleet.HostRegions) []string {
	groups := [3][]string{}
	var partly []proto.VMInfo
	for _, vm := range ready {
		d := from.To(vm.Place)
		switch {
		case d != ident.OtherRegion || regions != nil && regions.Excluded(vm.Place.Region) == 0:
			groups[d] = append(groups[d], vm.CallerAddress)
		case regions != nil && regions.ServesSome(vm.Place.Region):
			partly = append(partly, vm)
		}
	}
	var list []string
	for _, g := range groups {
		if len(list) >= minLookupVMs {
			break
		}
		list = append(list, g...)
	}
	if len(list) == 0 && len(partly) > 0 {
		list = leastExcluded(partly, regions)
	}
	return list
}

// leastExcluded returns the addresses of the VMs in the regions that exclude the fewest routes.
func leastExcluded(vms []proto.VMInfo, regions *fleet.HostRegions) []string {
	excluded := func(vm proto.VMInfo) int { return regions.Excluded(vm.Place.Region) }
	least := excluded(slices.MinFunc(vms, func(a, b proto.VMInfo) int { return excluded(a) - excluded(b) }))
	var list []string
	for _, vm := range vms {
		if excluded(vm) == least {
			list = append(list, vm.CallerAddress)
		}
	}
	return list
}
