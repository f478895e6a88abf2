package region

import (
	"math"
	"testing"
	"time"

	"github.com/currantpier/currantpier/ident"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// Guards against the bench's SHIFT (kalnins-seti-grown quiet-1): cold caches send requests elsewhere by cost alone, and
// warm ones call them back at once. The bound is the platform's 0.15 from one window of 2 s to the next.
func TestRegionSharesChangeSlowly(t *testing.T) {
	s := &Spread{}
	s.SetSlots(start, "a", map[ident.Region]float64{"a": 10, "b": 100, "c": 100})
	const perSecond = 100
	var sent []ident.Region
	for i := range 40 * perSecond {
		now := at(time.Duration(i) * time.Second / perSecond)
		// The costs alone move everything from b to a at 4 s, as caches warm up, and to c at 20 s.
		wish := ident.Region("b")
		if i > 4*perSecond {
			wish = "a"
		}
		if i > 20*perSecond {
			wish = "c"
		}
		to := wish
		for _, r := range []ident.Region{wish, "a", "b", "c"} {
			if s.Open(now, r) {
				to = r
				break
			}
		}
		s.Count(now, wish, to)
		sent = append(sent, to)
	}
	share := func(from int, r ident.Region) float64 {
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
			moved += math.Abs(share(i+2*perSecond, r) - share(i, r))
		}
		if moved/2 > 0.15 {
			t.Fatalf("%.2f of the requests changed region within 2 s after %.1f s", moved/2, float64(i)/perSecond)
		}
	}
	if got := share(len(sent)-2*perSecond, "c"); got < 0.4 {
		t.Errorf("the share of c is %.2f at the end: requests must follow the costs in time", got)
	}
}

// Guards against a first plan that rests on the targets that happened to register first.
func TestPlanWaitsForTheFirstRequest(t *testing.T) {
	s := &Spread{}
	s.SetSlots(start, "a", map[ident.Region]float64{"b": 10})
	s.SetSlots(start, "a", map[ident.Region]float64{"a": 10, "b": 10, "c": 10})
	if x := s.of("a"); x.planned != 1 {
		t.Errorf("share of the own region %.2f, want 1", x.planned)
	}
}
