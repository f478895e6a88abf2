package stubs_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/store"
)

// BenchmarkVMList reports the JSON size of the platform's VM list with the given number of entry VMs and four targets
// per site.
func BenchmarkVMList(b *testing.B) {
	for _, n := range []struct{ entries, sites int }{{12, 6}, {356, 60}, {1067, 180}, {3200, 540}} {
		var list []store.VMInfo
		for i := range n.entries + 4*n.sites {
			vm := store.VMInfo{
				Name: fmt.Sprintf("vm-%05d", i), Role: store.RoleEntry, State: store.Live, Address: "10.0.0.1:8080",
				Place: ident.Place{Region: "region-01", Domain: "region-01-a"}, Control: []string{"10.0.0.1:1", "10.0.0.1:2"},
			}
			if i >= n.entries {
				vm.Role, vm.Control, vm.Service, vm.Slots = store.RoleUpstream, nil, "workshop", 4
			}
			list = append(list, vm)
		}
		b.Run(fmt.Sprintf("entries=%d,sites=%d", n.entries, n.sites), func(b *testing.B) {
			var body []byte
			for b.Loop() {
				var err error
				if body, err = json.Marshal(list); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(body)), "B-list")
		})
	}
}
