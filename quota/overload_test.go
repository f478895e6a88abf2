package quota

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// leastRatio returns the least number of times in any window of the bounds from one time to another, as a ratio of the rate.
func leastRatio(times []time.Time, rate float64, from, to time.Time) float64 {
	window, least := testBounds.Window, 1e9
	for at := from; !at.Add(window).After(to); at = at.Add(50 * time.Millisecond) {
		first, _ := slices.BinarySearchFunc(times, at, time.Time.Compare)
		last, _ := slices.BinarySearchFunc(times, at.Add(window), time.Time.Compare)
		least = min(least, float64(last-first)/(rate*window.Seconds()))
	}
	return least
}

// Guards against a customer whose demand is above its limit and gets less than the limit: parts that a lender keeps unused, or that
// are lost while loans are renewed, are missing in the other regions.
func TestDemandAboveLimit(t *testing.T) {
	for _, rate := range []float64{60, 300, 900} {
		for _, parts := range [][]float64{{0.5, 0.35, 0.15}, {0.7, 0.2, 0.1}, {0.4, 0.35, 0.25}} {
			t.Run(fmt.Sprint(rate, parts), func(t *testing.T) {
				s := newSim(7, simDomains, 4, []Limit{{"c", rate, rate}})
				s.run(6 * time.Second)
				begun := s.now
				for r, part := range parts {
					// Of 60 requests a second, a Poisson process has at times less than 0.97 in a window.
					s.demand("c", func() float64 { return 1.1 * rate * part }, rate > 60, func() *simNode { return s.nodes[r*8+s.rnd.Intn(8)] })
				}
				s.run(35 * time.Second)
				least := leastRatio(s.served["c"], rate, begun.Add(5*time.Second), s.now)
				t.Logf("least %.3f, mean %.3f", least, float64(len(s.served["c"]))/rate/35)
				if least < 0.97 {
					t.Errorf("%.3f of the limit", least)
				}
			})
		}
	}
}
