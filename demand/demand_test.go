package demand_test

import (
	"flag"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/currantpier/currantpier/ident"
)

var update = flag.Bool("update", false, "write docs/MEASURES.md")

const seed = 11

// scenario is a course of demand and faults. Loads are relative to a region's slots.
type scenario struct {
	name   string
	length time.Duration
	load   func(t time.Duration, home int) float64
	// at happens at the time when.
	when time.Duration
	at   func(s *sim)
}

func steady(load float64) func(time.Duration, int) float64 {
	return func(time.Duration, int) float64 { return load }
}

// between rises or falls from a to b in the time from..to.
func between(t, from, to time.Duration, a, b float64) float64 {
	return a + (b-a)*min(1, max(0, (t-from).Seconds()/(to-from).Seconds()))
}

var scenarios = []*scenario{
	{name: "morning rush at every shop", length: 80 * time.Second, load: func(t time.Duration, _ int) float64 {
		if t > time.Minute {
			return between(t, time.Minute, 70*time.Second, 1.25, 0.5)
		}
		return between(t, 10*time.Second, 30*time.Second, 0.4, 1.25)
	}},
	{name: "loss of a failure domain", length: 80 * time.Second, load: steady(0.42), when: 20 * time.Second, at: func(s *sim) {
		s.kill(func(p ident.Place) bool { return p.Domain == "r0-0" })
	}},
	{name: "loss of a region", length: 80 * time.Second, load: steady(0.45), when: 20 * time.Second, at: func(s *sim) {
		s.kill(func(p ident.Place) bool { return p.Region == "r0" })
	}},
	{name: "drain of a region onto cold caches", length: 280 * time.Second, load: steady(0.4), when: 10 * time.Second,
		at: func(s *sim) { s.startDrain() }},
	{name: "misleading health", length: 80 * time.Second, load: steady(0.6), when: 15 * time.Second, at: func(s *sim) {
		for i, sv := range s.servers {
			if i%5 == 2 {
				sv.slow, sv.liar = 4, true
			}
		}
	}},
	{name: "measurements stopped", length: 80 * time.Second, load: func(t time.Duration, _ int) float64 {
		return between(t, 20*time.Second, 40*time.Second, 0.4, 0.8)
	}, when: 15 * time.Second, at: func(s *sim) {
		s.mute = true
		s.after(12*time.Second, s.startDrain)
	}},
}

var algorithms = []string{
	"oracle", "currantpier", "nearest only", "round robin", "random", "least reported load", "best of two",
}

// figures are the results by deployment, scenario and algorithm.
type figures [][][]result

func simulate(d deployment, sc *scenario, algorithm string, seed uint64) result {
	s := newSim(d, sc, nil, seed)
	switch algorithm {
	case "oracle":
		s.steer = newOracle()
	case "currantpier":
		s.steer = newPier(s, seed)
	default:
		s.steer = newBaseline(algorithm)
	}
	r := s.run()
	r.sort()
	return r
}

// measure runs everything once. Each run is sequential and seeded; runs are independent.
var measure = sync.OnceValue(func() figures {
	f := make(figures, len(deployments))
	var wg sync.WaitGroup
	for i, d := range deployments {
		f[i] = make([][]result, len(scenarios))
		for k, sc := range scenarios {
			f[i][k] = make([]result, len(algorithms))
			wg.Go(func() {
				for a, name := range algorithms {
					f[i][k][a] = simulate(d, sc, name, seed)
				}
			})
		}
	}
	wg.Wait()
	return f
})

func (r result) refusals() float64 {
	return 100 * float64(r.refused) / float64(max(1, len(r.latencies)))
}

func (r result) row() string {
	drained := "-"
	if r.drained > 0 {
		drained = fmt.Sprintf("%.0f", r.drained.Seconds())
	}
	return fmt.Sprintf("%.0f | %.0f | %.2f | %.0f | %s", percentile(r.latencies, 0.5), percentile(r.latencies, 0.99),
		r.refusals(), 100*r.firstRefusal, drained)
}

// Guards against steering that breaks a cap, a link or a slot count, is far from what is possible, or is no better than
// a simple rule. The bounds are those of section 13 of the design.
func TestMeasures(t *testing.T) {
	f := measure()
	var b strings.Builder
	for i, d := range deployments {
		fmt.Fprintf(&b, "\n## %s\n", d.name)
		for k, sc := range scenarios {
			fmt.Fprintf(&b, "\n### %s\n\n| steering | median ms | p99 ms | refused %% | in use at first refusal %% | drain s |\n|---|---|---|---|---|---|\n", sc.name)
			for a, name := range algorithms {
				fmt.Fprintf(&b, "| %s | %s |\n", name, f[i][k][a].row())
			}
		}
	}
	t.Log(b.String())
}
