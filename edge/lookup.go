package edge

import (
	"slices"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/proto"
)

// lookupFew is the number of VMs below which a lookup also names VMs that are further away, so that a caller has another
// one to turn to.
const lookupFew = 2

// lookup returns the addresses of the VMs for a caller: those of its failure domain, then its region, then all others
// that may receive the host's requests. Homes are the only regions for the host; empty means all.
func lookup(ready []proto.Info, from ident.Place, homes []ident.Region) []string {
	groups := [3][]string{}
	for _, vm := range ready {
		d := from.To(vm.Place)
		if d == ident.OtherRegion && len(homes) > 0 && !slices.Contains(homes, vm.Place.Region) {
			continue
		}
		groups[d] = append(groups[d], vm.Caller)
	}
	var list []string
	for _, g := range groups {
		if len(list) >= lookupFew {
			break
		}
		list = append(list, g...)
	}
	return list
}
