package fleet

import (
	"slices"

	"github.com/currantpier/currantpier/ident"
)

// HostRegions says which regions may serve the routes of one host. It is immutable.
type HostRegions struct {
	// routes is the number of routes, and everywhere the number of those that all regions may serve.
	routes, everywhere int
	// restricted is the number of further routes that a region may serve.
	restricted map[ident.Region]int
}

func newHostRegions(routes map[string]*Route) HostRegions {
	h := HostRegions{routes: len(routes), restricted: map[ident.Region]int{}}
	for _, r := range routes {
		if len(r.Regions) == 0 {
			h.everywhere++
		}
		for i, region := range r.Regions {
			// A region may be listed twice.
			if !slices.Contains(r.Regions[:i], region) {
				h.restricted[region]++
			}
		}
	}
	return h
}

// Excluded returns the number of routes that region r may not serve.
func (h *HostRegions) Excluded(r ident.Region) int { return h.routes - h.everywhere - h.restricted[r] }

// ServesSome reports whether region r may serve any route. It is true for a host without routes.
func (h *HostRegions) ServesSome(r ident.Region) bool {
	return h.routes == 0 || h.Excluded(r) < h.routes
}
