package demand_test

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/currantpier/currantpier/ident"
)

var update = flag.Bool("update", false, "write docs/MEASURES.md")

// seeds are those of the checks; the page shows the first.
var seeds = []uint64{1, 2, 3}

// Indexes into deployments and algorithms, and names of scenarios with checks of their own.
const (
	kalnins, stencilcraft    = 0, 1
	oracleIndex, currantpier = 0, 1

	drainScenario = "drain of a region onto cold caches"
	muteScenario  = "measurements stopped"
)

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
	{name: drainScenario, length: 280 * time.Second, load: steady(0.4), when: 10 * time.Second,
		at: func(s *sim) { s.startDrain() }},
	{name: "misleading health", length: 80 * time.Second, load: steady(0.6), when: 15 * time.Second, at: func(s *sim) {
		for i, sv := range s.servers {
			if i%5 == 2 {
				sv.slow, sv.liar = 4, true
			}
		}
	}},
	{name: muteScenario, length: 80 * time.Second, load: func(t time.Duration, _ int) float64 {
		return between(t, 20*time.Second, 40*time.Second, 0.4, 0.8)
	}, when: 15 * time.Second, at: func(s *sim) {
		s.mute = true
		s.after(12*time.Second, s.startDrain)
	}},
}

var algorithms = []string{
	"oracle", "currantpier", "nearest only", "round robin", "random", "least reported load", "best of two",
}

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

// figures are the results by deployment, scenario, algorithm and seed.
type figures [][][][]result

// measure runs everything once: all algorithms with the first seed, the oracle and currantpier with the others too. Each
// run is sequential; runs are independent of each other.
var measure = sync.OnceValue(func() figures {
	f := make(figures, len(deployments))
	var wg sync.WaitGroup
	for i, d := range deployments {
		f[i] = make([][][]result, len(scenarios))
		for k, sc := range scenarios {
			f[i][k] = make([][]result, len(algorithms))
			for a, name := range algorithms {
				f[i][k][a] = make([]result, len(seeds))
				for n, seed := range seeds {
					if n == 0 || a <= currantpier {
						wg.Go(func() { f[i][k][a][n] = simulate(d, sc, name, seed) })
					}
				}
			}
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

// each calls check for each deployment, scenario and seed.
func each(check func(f figures, i, k, n int)) {
	f := measure()
	for i := range deployments {
		for k := range scenarios {
			for n := range seeds {
				check(f, i, k, n)
			}
		}
	}
}

// Guards against steering that breaks a slot count, a cap or a link in any run.
func TestNoBreach(t *testing.T) {
	each(func(f figures, i, k, n int) {
		for _, b := range f[i][k][currantpier][n].breaches {
			t.Errorf("%s, %s, seed %d: %s", deployments[i].name, scenarios[k].name, seeds[n], b)
		}
	})
}

// Guards against steering that is far from what one with all knowledge achieves: the bounds of section 13 of the design.
func TestAgainstOracle(t *testing.T) {
	each(func(f figures, i, k, n int) {
		got, best := f[i][k][currantpier][n], f[i][k][oracleIndex][n]
		at := fmt.Sprintf("%s, %s, seed %d", deployments[i].name, scenarios[k].name, seeds[n])
		if g, b := percentile(got.latencies, 0.99), percentile(best.latencies, 0.99); i == kalnins && g > 1.2*b {
			t.Errorf("%s: p99 %.0f ms, more than 1.2 times the oracle's %.0f ms", at, g, b)
		}
		if i == stencilcraft && got.refusals() > best.refusals()+1 {
			t.Errorf("%s: %.2f%% refused, the oracle %.2f%%", at, got.refusals(), best.refusals())
		}
	})
}

// worst returns the worst p99 and the worst refusals over all scenarios with the first seed.
func worst(f figures, i, a int) (p99, refused float64) {
	for k := range scenarios {
		p99 = max(p99, percentile(f[i][k][a][0].latencies, 0.99))
		refused = max(refused, f[i][k][a][0].refusals())
	}
	return p99, refused
}

// Guards against steering that a simple rule beats in the worst scenario. A refusal counts as its deadline in the p99;
// where both refuse more than 1%, the p99 is equal and the refusals decide.
func TestAgainstBaselines(t *testing.T) {
	f := measure()
	for i, d := range deployments {
		p99, refused := worst(f, i, currantpier)
		for a := currantpier + 1; a < len(algorithms); a++ {
			if bp, br := worst(f, i, a); p99 > bp || refused >= br {
				t.Errorf("%s: worst p99 %.0f ms and %.2f%% refused; %s: %.0f ms and %.2f%%", d.name, p99, refused,
					algorithms[a], bp, br)
			}
		}
	}
}

// Guards against a drain that takes longer than the cap makes it, or that goes on without measurements.
func TestDrains(t *testing.T) {
	each(func(f figures, i, k, n int) {
		got := f[i][k][currantpier][n].drained
		switch scenarios[k].name {
		case drainScenario:
			if limit := f[i][k][oracleIndex][n].drained * 6 / 5; got == 0 || got > limit {
				t.Errorf("%s, seed %d: drained in %v, want at most %v", deployments[i].name, seeds[n], got, limit)
			}
		case muteScenario:
			if home := f[i][k][currantpier][n].home; home != 1 {
				t.Errorf("%s, seed %d: %.3f of the traffic moved without measurements", deployments[i].name, seeds[n], 1-home)
			}
		}
	})
}

// Guards against runs that differ for the same seed, whose failures nobody could look into.
func TestSameSeed(t *testing.T) {
	for i, d := range deployments {
		again := simulate(d, scenarios[0], "currantpier", seeds[0])
		if first := measure()[i][0][currantpier][0]; !slices.Equal(first.latencies, again.latencies) {
			t.Errorf("%s: two results for seed %d", d.name, seeds[0])
		}
	}
}

const page = `# Measures

Written by %[1]sgo test ./demand -run TestMeasures -update%[1]s with seed %[2]d. Do not edit.

A seeded model of callers, targets, links, reports and caches drives the shipped packages route, share, admit, shift and
plan for the first service of each deployment of section 1.3 of the design, and the rules below for comparison. It
assumes what section 1.3 leaves open: mean service times of 200 ms (Kalniņš) and 150 ms (Stencilcraft) that vary
log-normally, deadlines of 3 s and 2 s, 400 kbit per request, doubled service times on cold caches that warm up with a
time constant of 45 s, reports that lag by 3 s, a cap of 5%% per step and 30%% per minute. At Kalniņš the queue of an
entry is bounded to a wait of 500 ms. The figures show differences between rules, not what a deployment will see.

The oracle knows the load, health and speed of all targets at once, has one queue per region and keeps the cap. The
baselines have neither slots nor queues nor a cap; a target without a free slot sheds, and a request makes up to three
attempts. The p99 counts a refusal as its deadline. The headroom column is the part of all living targets' slots in use
when the first request was refused, 100 if none was. The drain time is the time from the announcement until less than 1%%
of the region's callers are served there; the baselines move all traffic as soon as they see the report.
`

// TestMeasures writes the table of results to docs/MEASURES.md if asked to.
func TestMeasures(t *testing.T) {
	if !*update {
		t.Skip("writes docs/MEASURES.md with -update")
	}
	var b strings.Builder
	fmt.Fprintf(&b, page, "`", seeds[0])
	f := measure()
	for i, d := range deployments {
		fmt.Fprintf(&b, "\n## %s\n", d.name)
		for k, sc := range scenarios {
			fmt.Fprintf(&b, "\n### %s\n\n| steering | median ms | p99 ms | refused %% | headroom %% | drain s |\n|---|---|---|---|---|---|\n", sc.name)
			for a, name := range algorithms {
				fmt.Fprintf(&b, "| %s | %s |\n", name, f[i][k][a][0].row())
			}
		}
	}
	if err := os.WriteFile("../docs/MEASURES.md", []byte(b.String()), 0o644); err != nil {
		t.Fatal(err)
	}
}
