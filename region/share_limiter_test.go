package region

import (
	"math"
	"testing"
	"time"

	"github.com/currantpier/currantpier/ident"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// Guards against sudden moves of requests between regions: by cost alone, cold caches divert requests to other regions, and
// the requests return at once when the caches are warm. The platform's bench reported this as SHIFT (kalnins-seti-grown
// quiet-1). The bound is the platform's: a change of 0.15 from one window of 2 s to the next.
func TestRegionSharesChangeSlowly(t *testing.T) {
	s := &ShareLimiter{}
	s.SetSlots(start, "a", map[ident.Region]float64{"a": 10, "b": 100, "c": 100})
	const perSecond = 100
	var sent []ident.Region
	for i := range 40 * perSecond {
		now := at(time.Duration(i) * time.Second / perSecond)
		// By cost alone, all requests move from b to a at 4 s, as after a warm-up of caches, and to c at 20 s.
		desired := ident.Region("b")
		if i > 4*perSecond {
			desired = "a"
		}
		if i > 20*perSecond {
			desired = "c"
		}
		to := desired
		for _, r := range []ident.Region{desired, "a", "b", "c"} {
			if s.Allows(now, r) {
				to = r
				break
			}
		}
		s.Record(now, desired, to)
		sent = append(sent, to)
	}
	windowShare := func(from int, r ident.Region) float64 {
		n := 0
		for _, x := range sent[from : from+2*perSecond] {
			if x == r {
				n++
			}
		}
		return float64(n) / (2 * perSecond)
	}
	for i := 0; i+4*perSecond <= len(sent); i += 10 {
		moved := 0.0
		for _, r := range []ident.Region{"a", "b", "c"} {
			moved += math.Abs(windowShare(i+2*perSecond, r) - windowShare(i, r))
		}
		if moved/2 > 0.15 {
			t.Fatalf("%.2f of the requests changed region within 2 s after %.1f s", moved/2, float64(i)/perSecond)
		}
	}
	if got := windowShare(len(sent)-2*perSecond, "c"); got < 0.4 {
		t.Errorf("share of region c %.2f at the end, want at least 0.4", got)
	}
}

// Guards against initial shares that depend on which targets registered first.
func TestInitialSharesUseAllRegisteredTargets(t *testing.T) {
	s := &ShareLimiter{}
	s.SetSlots(start, "a", map[ident.Region]float64{"b": 10})
	s.SetSlots(start, "a", map[ident.Region]float64{"a": 10, "b": 10, "c": 10})
	if x := s.find("a"); x.planned != 1 {
		t.Errorf("share of the own region %.2f, want 1", x.planned)
	}
}
