package edge

import (
	"slices"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/proto"
)

// minLookupVMs is the number of addresses below which a lookup also returns VMs that are further away, so that a caller
// has an alternative.
const minLookupVMs = 2

// lookup returns the callers' addresses of ready VMs for a caller at from: those of its failure domain; if these are
// fewer than minLookupVMs, also those of its region; if still fewer, also those of the other regions that may receive
// the host's requests. An empty allowedRegions permits all regions.
func lookup(ready []proto.VMInfo, from ident.Place, allowedRegions []ident.Region) []string {
	groups := [3][]string{}
	for _, vm := range ready {
		d := from.To(vm.Place)
		if d == ident.OtherRegion && len(allowedRegions) > 0 && !slices.Contains(allowedRegions, vm.Place.Region) {
			continue
		}
		groups[d] = append(groups[d], vm.CallerAddress)
	}
	var list []string
	for _, g := range groups {
		if len(list) >= minLookupVMs {
			break
		}
		list = append(list, g...)
	}
	return list
}
