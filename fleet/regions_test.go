package fleet

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/currantpier/currantpier/ident"
)

// Guards against a region that counts as suitable for a host although some of its routes may not be served there.
func TestHostRegions(t *testing.T) {
	c := &Config{Routes: []Route{
		{Host: "mixed", Prefix: "/"},
		{Host: "mixed", Prefix: "/a/", Regions: []ident.Region{"a", "b", "a"}},
		{Host: "mixed", Prefix: "/a/b/", Regions: []ident.Region{"b"}},
		{Host: "restricted", Prefix: "/", Regions: []ident.Region{"a"}},
		{Host: "free", Prefix: "/"},
	}}
	c.Index()
	type coverage struct {
		excluded int
		some     bool
	}
	got := map[string]map[ident.Region]coverage{}
	for _, host := range []string{"Mixed:8080", "restricted", "free", "unknown"} {
		got[host] = map[ident.Region]coverage{}
		for _, r := range []ident.Region{"a", "b", "c"} {
			h := c.HostRegions(host)
			got[host][r] = coverage{h.Excluded(r), h.ServesSome(r)}
		}
	}
	everywhere := map[ident.Region]coverage{"a": {0, true}, "b": {0, true}, "c": {0, true}}
	want := map[string]map[ident.Region]coverage{
		"Mixed:8080": {"a": {1, true}, "b": {0, true}, "c": {2, true}},
		"restricted": {"a": {0, true}, "b": {1, false}, "c": {1, false}},
		"free":       everywhere, "unknown": everywhere,
	}
	if d := cmp.Diff(want, got, cmp.AllowUnexported(coverage{})); d != "" {
		t.Error(d)
	}
}
