package region

import (
	"fmt"
	"testing"

	"github.com/cespare/xxhash/v2"

	"github.com/currantpier/currantpier/ident"
)

// Guards against a region that keeps too many or too few of its objects, against an uneven division of the rest, and against
// objects that move between regions of about the same size when a few targets are removed.
func TestHomes(t *testing.T) {
	tests := []struct {
		name  string
		slots map[ident.Region]float64
		local float64
	}{
		{"regions of the same size", map[ident.Region]float64{"a": 30, "b": 30, "c": 30}, 1},
		{"a few targets fewer than the others", map[ident.Region]float64{"a": 26, "b": 30, "c": 30}, 1},
		{"a tenth of all slots", map[ident.Region]float64{"a": 10, "b": 45, "c": 45}, 0.36},
		{"no slots", map[ident.Region]float64{"b": 45, "c": 45}, 0},
		{"only region", map[ident.Region]float64{"a": 10}, 1},
	}
	for _, tt := range tests {
		h := NewHomes("a", tt.slots)
		n := map[ident.Region]float64{}
		const objects = 3000
		for i := range objects {
			n[h.RegionOf(xxhash.Sum64String(fmt.Sprint(i)))] += 1.0 / objects
		}
		if d := n["a"] - tt.local; d > 0.03 || d < -0.03 {
			t.Errorf("%s: %.2f of the objects have their home in region a, want %.2f", tt.name, n["a"], tt.local)
		}
		if d := n["b"] - n["c"]; d > 0.05 || d < -0.05 {
			t.Errorf("%s: uneven shares of the other regions: %v", tt.name, n)
		}
	}
}
