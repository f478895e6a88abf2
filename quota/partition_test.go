package quota

import (
	"fmt"
	"testing"
	"time"
)

// Guards against parts that two pools of one region use when the link between its failure domains fails and returns, also many times
// in short succession, when all VMs of a failure domain die and start again, and when a region is cut off. VMs also die, pause and
// start behind such a partition.
func TestSumHoldsBehindPartitions(t *testing.T) {
	for seed := range int64(*seeds) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { checkPartitions(t, seed) })
	}
}

func checkPartitions(t *testing.T, seed int64) {
	s := newSim(1000+seed, simDomains, 4, simLimits)
	s.loss, s.late = 0.02, 0.01
	weights := make([]float64, simDomains)
	for d := range simDomains {
		for _, l := range simLimits {
			s.demand(l.Customer, func() float64 { return l.Rate * weights[d] }, true, func() *simNode { return s.nodes[d*4+s.rnd.Intn(4)] })
		}
	}
	cutPair, cutRegion := -1, -1 // the region whose failure domains, or which as a whole, is cut
	s.cut = func(a, b *simNode) bool {
		ra, rb := a.domain/2, b.domain/2
		return ra == rb && ra == cutPair && a.domain != b.domain || ra != rb && (ra == cutRegion || rb == cutRegion)
	}
	changes := []limitChange{{epoch, simLimits}}
	s.every(0, 30*time.Millisecond, func() { checkPools(t, s, simLimits, changes) })
	for range 40 {
		if t.Failed() {
			return
		}
		for d := range weights {
			if s.rnd.Intn(3) == 0 {
				weights[d] = []float64{0, 0.1, 0.5, 2}[s.rnd.Intn(4)]
			}
		}
		// What lasts longer than the VMs take to notice it, and what doesn't.
		step := time.Duration(100+s.rnd.Intn([]int{400, 2000, 5000}[s.rnd.Intn(3)])) * time.Millisecond
		n := s.nodes[s.rnd.Intn(len(s.nodes))]
		switch s.rnd.Intn(8) {
		case 0, 1:
			cutPair = s.rnd.Intn(3)
		case 2:
			cutPair = -1
		case 3: // a link that fails and returns again and again
			region := s.rnd.Intn(3)
			for range 3 + s.rnd.Intn(6) {
				cutPair = region
				s.run(time.Duration(50+s.rnd.Intn(3000)) * time.Millisecond)
				cutPair = -1
				s.run(time.Duration(50+s.rnd.Intn(2500)) * time.Millisecond)
			}
		case 4:
			d := s.rnd.Intn(simDomains)
			for _, n := range s.nodes[d*4 : d*4+4] {
				n.up = false
				s.after(step+time.Duration(s.rnd.Int63n(int64(time.Second))), func() { s.start(n) })
			}
		case 5:
			cutRegion = s.rnd.Intn(6) - 3
		case 6:
			n.up = false
			s.after(time.Duration(s.rnd.Int63n(int64(3*time.Second))), func() { s.start(n) })
		case 7:
			n.paused = s.now.Add(time.Duration(s.rnd.Int63n(int64(3 * time.Second))))
		}
		s.run(step)
	}
	for _, l := range simLimits {
		excess, from, n := worst(s.served[l.Customer], func(time.Time) float64 { return sumBound(l, 0) })
		if excess > 0 || len(s.served[l.Customer]) < int(l.Rate*4) {
			t.Errorf("%s: %d served, %d requests in the window from %s, %.1f too many", l.Customer, len(s.served[l.Customer]), n, from.Sub(epoch), excess)
		}
	}
}
