package edge

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/proto"
)

func place(domain string) ident.Place {
	return ident.Place{Region: ident.Region(domain[:1]), Domain: ident.Domain(domain)}
}

// Guards against a caller that is sent further than needed, to a region that must not receive its requests, or nowhere
// although a VM is ready. A host may have routes with and without home regions: naming a region for the sake of the latter sent
// requests of the former outside their homes.
func TestLookup(t *testing.T) {
	ready := func(domains ...string) []proto.VMInfo {
		var list []proto.VMInfo
		for _, d := range domains {
			list = append(list, proto.VMInfo{CallerAddress: d, Place: place(d)})
		}
		return list
	}
	tests := []struct {
		name  string
		ready []proto.VMInfo
		from  string
		// routes has the regions of each route of the host, separated by spaces. "" may be served everywhere.
		routes []string
		want   []string
	}{
		{"own failure domain", ready("a1", "a1", "a2", "b1"), "a1", []string{""}, []string{"a1", "a1"}},
		{"one VM there: the region as well", ready("a1", "a2", "a2", "b1"), "a1", []string{""}, []string{"a1", "a2", "a2"}},
		{"none in the region: all others", ready("b1", "c1"), "a1", []string{""}, []string{"b1", "c1"}},
		{"none in the region: only allowed regions", ready("b1", "c1"), "a1", []string{"c"}, []string{"c1"}},
		{"own region although it is not allowed", ready("a1", "a1", "c1"), "a1", []string{"c"}, []string{"a1", "a1"}},
		{"no VM is ready", nil, "a1", []string{""}, nil},
		{"one VM in the region: the home region as well", ready("a1", "b1", "c1"), "a1", []string{"b"}, []string{"a1", "b1"}},
		{"some routes with homes, one VM in the region", ready("a1", "b1", "c1"), "a1", []string{"", "b"}, []string{"a1", "b1"}},
		{"some routes with homes, none in the region", ready("b1", "c1"), "a1", []string{"", "b"}, []string{"b1"}},
		{"some routes with homes, none there or in the region", ready("c1", "d1"), "a1", []string{"", "b"}, []string{"c1", "d1"}},
		{"different homes, one VM in the region", ready("a1", "b1", "c1"), "a1", []string{"b", "c"}, []string{"a1"}},
		{"different homes, none in the region", ready("b1", "c1", "d1"), "a1", []string{"b", "c"}, []string{"b1", "c1"}},
		{"different homes and a route without, none in the region", ready("b1", "c1", "d1"), "a1", []string{"", "b", "c"}, []string{"b1", "c1"}},
		{"common home, one VM in the region", ready("a1", "b1", "c1", "d1"), "a1", []string{"b c", "c d"}, []string{"a1", "c1"}},
		{"common home of all but one route, none in the region", ready("b1", "c1", "d1"), "a1", []string{"b c", "c", "d"}, []string{"c1"}},
		{"unknown region, some routes with homes", ready("a1", "b1", "b1", "c1"), "x", []string{"", "b"}, []string{"b1", "b1"}},
		{"host without routes", ready("b1", "c1"), "a1", nil, []string{"b1", "c1"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			cfg := &fleet.Config{}
			for i, regions := range tt.routes {
				r := fleet.Route{Host: "x.example", Prefix: fmt.Sprintf("/%d/", i)}
				for _, region := range strings.Fields(regions) {
					r.Regions = append(r.Regions, ident.Region(region))
				}
				cfg.Routes = append(cfg.Routes, r)
			}
			cfg.Index()
			if d := cmp.Diff(tt.want, lookup(tt.ready, place(tt.from), cfg.HostRegions("X.example:80"))); d != "" {
				t.Error(d)
			}
		})
	}
}

// Guards against naming VMs of other regions before the configuration says which regions may receive the host's requests.
func TestLookupWithoutConfig(t *testing.T) {
	ready := []proto.VMInfo{{CallerAddress: "a1", Place: place("a1")}, {CallerAddress: "b1", Place: place("b1")}}
	for from, want := range map[string][]string{"a2": {"a1"}, "c1": nil} {
		if d := cmp.Diff(want, lookup(ready, place(from), nil)); d != "" {
			t.Errorf("from %s: %s", from, d)
		}
	}
}
