package edge

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/proto"
)

func place(domain string) ident.Place {
	return ident.Place{Region: ident.Region(domain[:1]), Domain: ident.Domain(domain)}
}

// Guards against a caller that is sent further than needed, to a region that must not receive its requests, or nowhere
// although a VM is ready.
func TestLookup(t *testing.T) {
	ready := func(domains ...string) []proto.VMInfo {
		var list []proto.VMInfo
		for _, d := range domains {
			list = append(list, proto.VMInfo{CallerAddress: d, Place: place(d)})
		}
		return list
	}
	tests := []struct {
		name           string
		ready          []proto.VMInfo
		from           string
		allowedRegions []ident.Region
		want           []string
	}{
		{"own failure domain", ready("a1", "a1", "a2", "b1"), "a1", nil, []string{"a1", "a1"}},
		{"one VM there: the region as well", ready("a1", "a2", "a2", "b1"), "a1", nil, []string{"a1", "a2", "a2"}},
		{"none in the region: all others", ready("b1", "c1"), "a1", nil, []string{"b1", "c1"}},
		{"none in the region: only allowed regions", ready("b1", "c1"), "a1", []ident.Region{"c"}, []string{"c1"}},
		{"own region although it is not allowed", ready("a1", "a1", "c1"), "a1", []ident.Region{"c"}, []string{"a1", "a1"}},
		{"no VM is ready", nil, "a1", nil, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if d := cmp.Diff(tt.want, lookup(tt.ready, place(tt.from), tt.allowedRegions)); d != "" {
				t.Error(d)
			}
		})
	}
}
