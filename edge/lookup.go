package edge

import (
	"slices"

	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/proto"
)

// minLookupVMs is the number of addresses below which a lookup also returns VMs that are further away, so that a caller
// has an alternative.
const minLookupVMs = 2

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
