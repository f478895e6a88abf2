package edge

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"

	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/proto"
)

// vms returns VMs of failure domain a1 with the given capacities, and one large VM elsewhere.
func vms(capacities ...int64) []proto.VMInfo {
	list := []proto.VMInfo{{CallerAddress: "elsewhere", Place: place("a2"), Capacity: 5000}}
	for i, c := range capacities {
		list = append(list, proto.VMInfo{CallerAddress: fmt.Sprint(i), Place: place("a1"), Capacity: c})
	}
	return list
}

// Guards against callers who are distributed by the number of VMs, against a VM of unknown capacity that gets none or most of them,
// and against an answer without an alternative.
func TestWeightedLookup(t *testing.T) {
	for _, tt := range []struct {
		name       string
		capacities []int64
		// want are the expected shares, relative to each other.
		want []float64
	}{
		{"sizes of a failure domain", []int64{100, 800, 368, 160, 500, 320, 240, 100, 736, 610, 160, 400, 290, 100, 640},
			[]float64{100, 800, 368, 160, 500, 320, 240, 100, 736, 610, 160, 400, 290, 100, 640}},
		{"three VMs", []int64{160, 320, 400}, []float64{160, 320, 400}},
		{"unknown counts as the mean", []int64{100, 0, 300, -1, 200, 1 << 40}, []float64{100, 200, 300, 200, 200, 200}},
		{"more than half: every answer", []int64{100, 100, 1000, 200}, []float64{100, 100, 400, 200}},
		{"more than callers read", append(slices.Repeat([]int64{100}, 150), 101), append(slices.Repeat([]float64{100}, 150), 101)},
	} {
		ready, rnd, callers := vms(tt.capacities...), rand.New(rand.NewSource(1)), map[string]float64{}
		all := 0.0
		for range 50000 {
			list := weightedLookup(ready, place("a1"), rnd)
			if len(list) < minLookupVMs || len(list) > maxWeightedVMs || slices.Contains(list, "elsewhere") || len(slices.Compact(list)) != len(list) {
				t.Fatalf("%s: %v", tt.name, list)
			}
			for _, address := range list {
				callers[address] += 1 / float64(len(list)) // a caller picks one at random
			}
			all++
		}
		sum := 0.0
		for _, w := range tt.want {
			sum += w
		}
		for i, w := range tt.want {
			if got := callers[fmt.Sprint(i)] / all / (w / sum); got < 0.9 || got > 1.1 {
				t.Errorf("%s: VM %d with capacity %d gets %.2f of its share", tt.name, i, tt.capacities[i], got)
			}
		}
	}
}

// Guards against answers that change although capacities or responses give no cause, and where few VMs are named today.
func TestWeightedLookupIsOff(t *testing.T) {
	unequal := vms(100, 800, 300)
	for _, tt := range []struct {
		name     string
		ready    []proto.VMInfo
		from     string
		download bool
		weighted bool
	}{
		{"unequal", unequal, "a1", true, true},
		{"no download route", unequal, "a1", false, false},
		{"equal", vms(300, 300, 300, 300), "a1", true, false},
		{"equal or unknown", vms(300, 0, 300, 0), "a1", true, false},
		{"unknown", vms(0, 0, 0), "a1", true, false},
		{"two VMs", vms(100, 800), "a1", true, false},
		{"one VM", unequal, "a2", true, false},
		{"no VM", unequal, "b1", true, false},
	} {
		cfg := &fleet.Config{Routes: []fleet.Route{{Prefix: "/a/"}, {Prefix: "/b/", Download: tt.download}}}
		cfg.Index()
		n := &Node{lookupRand: rand.New(rand.NewSource(1))}
		if got := n.weightedLookup(cfg, tt.ready, place(tt.from)); (got != nil) != tt.weighted {
			t.Errorf("%s: %v", tt.name, got)
		}
	}
}

// BenchmarkLookup measures answers of all VMs of a failure domain, and of some by capacity.
func BenchmarkLookup(b *testing.B) {
	ready, rnd := vms(100, 800, 368, 160, 500, 320, 240, 100, 736, 610, 160, 400, 290, 100, 640), rand.New(rand.NewSource(1))
	b.Run("all", func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			lookup(ready, place("a1"), nil)
		}
	})
	b.Run("by capacity", func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			weightedLookup(ready, place("a1"), rnd)
		}
	})
}
