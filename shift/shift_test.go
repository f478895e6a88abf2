package shift_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/shift"
)

var (
	start      = time.Unix(1_800_000_000, 0)
	rules      = shift.Settings{Cap: shift.Cap{PerStep: 50_000, PerMinute: 120_000}}
	allInRiga  = []shift.Weight{{Region: "riga", Share: ident.Whole}}
	allInTartu = []shift.Weight{{Region: "tartu", Share: ident.Whole}}
)

// freshMeasurements returns measurements taken at now for a shift from riga to tartu, with ample headroom.
func freshMeasurements(now time.Time) ([]shift.Headroom, shift.MeasuredTraffic) {
	return []shift.Headroom{{Region: "tartu", Slots: 400, Used: 20, At: now, Link: 4000, LinkUsed: 100, LinkAt: now}},
		shift.MeasuredTraffic{Slots: 60, Mbps: 200, At: now}
}

// Guards against a step on missing or stale measurements, beyond the cap, or into a region or over a link that is full.
func TestNextHolds(t *testing.T) {
	tests := []struct {
		name   string
		change func(h *shift.Headroom, m *shift.MeasuredTraffic, s *shift.State)
		want   shift.Reason
		share  ident.PPM
	}{
		{"ample headroom", func(*shift.Headroom, *shift.MeasuredTraffic, *shift.State) {}, shift.Stepped, 50_000},
		{"headroom 10 s old", func(h *shift.Headroom, _ *shift.MeasuredTraffic, _ *shift.State) { h.At = start.Add(-10 * time.Second) },
			shift.Stepped, 50_000},
		{"headroom stale", func(h *shift.Headroom, _ *shift.MeasuredTraffic, _ *shift.State) {
			h.At = start.Add(-10*time.Second - 1)
		}, shift.HoldStale, 0},
		{"headroom missing", func(h *shift.Headroom, _ *shift.MeasuredTraffic, _ *shift.State) { h.At = time.Time{} },
			shift.HoldMissing, 0},
		{"region not measured", func(h *shift.Headroom, _ *shift.MeasuredTraffic, _ *shift.State) { h.Region = "kaunas" },
			shift.HoldMissing, 0},
		{"link stale", func(h *shift.Headroom, _ *shift.MeasuredTraffic, _ *shift.State) {
			h.LinkAt = start.Add(-11 * time.Second)
		}, shift.HoldStale, 0},
		{"demand missing", func(_ *shift.Headroom, m *shift.MeasuredTraffic, _ *shift.State) { m.At = time.Time{} },
			shift.HoldMissing, 0},
		{"demand stale", func(_ *shift.Headroom, m *shift.MeasuredTraffic, _ *shift.State) { m.At = start.Add(-11 * time.Second) },
			shift.HoldStale, 0},
		{"region full", func(h *shift.Headroom, _ *shift.MeasuredTraffic, _ *shift.State) { h.Used = 340 }, shift.HoldHeadroom, 0},
		// 3 free slots of 340 carry 25000 ppm of 60 slots at the cold cost of 2.
		{"region nearly full", func(h *shift.Headroom, _ *shift.MeasuredTraffic, _ *shift.State) { h.Used = 337 },
			shift.Stepped, 25_000},
		{"link full", func(h *shift.Headroom, _ *shift.MeasuredTraffic, _ *shift.State) { h.LinkUsed = 2400 }, shift.HoldLink, 0},
		// 2 Mbit/s under 60% of the link carry 10000 ppm of 200 Mbit/s.
		{"link nearly full", func(h *shift.Headroom, _ *shift.MeasuredTraffic, _ *shift.State) { h.LinkUsed = 2398 },
			shift.Stepped, 10_000},
		{"less than the step interval after a step", func(_ *shift.Headroom, _ *shift.MeasuredTraffic, s *shift.State) {
			s.Movements = []shift.Movement{{At: start.Add(-24 * time.Second), To: "tartu", Share: 1000}}
		}, shift.HoldCap, 0},
		{"part of the cap per minute used", func(_ *shift.Headroom, _ *shift.MeasuredTraffic, s *shift.State) {
			s.Movements = []shift.Movement{{At: start.Add(-30 * time.Second), To: "tartu", Share: 100_000}}
		}, shift.Stepped, 20_000},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			head, m := freshMeasurements(start)
			s := shift.State{Weights: allInRiga}
			tt.change(&head[0], &m, &s)
			step, why := shift.NextStep(rules, s, allInTartu, head, m, start)
			if why != tt.want || step.Share != tt.share {
				t.Errorf("got %v, share %d; want %v, share %d", why, step.Share, tt.want, tt.share)
			}
		})
	}
}

// Guards against a step that ignores a movement which measurements don't include yet, or counts it again once they do.
func TestNextCountsUnmeasuredMovement(t *testing.T) {
	r := rules
	r.Cap = shift.Cap{PerStep: 10_000, PerMinute: 600_000}
	head, m := freshMeasurements(start)
	head[0].Used = 337 // leaves headroom for 25000 ppm
	s := shift.State{Weights: allInRiga, Movements: []shift.Movement{{At: start.Add(-2 * time.Second), To: "tartu", Share: 25_000}}}
	if step, why := shift.NextStep(r, s, allInTartu, head, m, start); why != shift.HoldHeadroom {
		t.Errorf("got %v, share %d; want hold-headroom", why, step.Share)
	}
	s.Movements[0].At = start.Add(-6 * time.Second)
	if _, why := shift.NextStep(r, s, allInTartu, head, m, start); why != shift.Stepped {
		t.Errorf("got %v after the movement has settled; want stepped", why)
	}
}

// checkCap fails the test if movements exceed the cap in one step or in any 60 s.
func checkCap(t *testing.T, c shift.Cap, at []time.Time, moved []ident.PPM) {
	t.Helper()
	first := 0
	var sum ident.PPM
	for i := range at {
		if moved[i] > c.PerStep {
			t.Fatalf("step of %d at %v exceeds %d", moved[i], at[i].Sub(start), c.PerStep)
		}
		sum += moved[i]
		for at[i].Sub(at[first]) >= time.Minute {
			sum -= moved[first]
			first++
		}
		if sum > c.PerMinute {
			t.Fatalf("%d moved within a minute before %v; the cap is %d", sum, at[i].Sub(start), c.PerMinute)
		}
	}
}

// movedShare returns the share that moves between regions from weights a to b.
func movedShare(a, b []shift.Weight) ident.PPM {
	var d ident.PPM
	for _, w := range b {
		cur := ident.PPM(0)
		for _, v := range a {
			if v.Region == w.Region {
				cur = v.Share
			}
		}
		d += max(0, w.Share-cur)
	}
	return d
}

func totalShare(w []shift.Weight) (s ident.PPM) {
	for _, w := range w {
		s += w.Share
	}
	return s
}

func randomWeights(rnd *rand.Rand) []shift.Weight {
	a := ident.PPM(rnd.IntN(int(ident.Whole)))
	b := ident.PPM(rnd.IntN(int(ident.Whole - a)))
	return []shift.Weight{{Region: "kaunas", Share: a}, {Region: "riga", Share: b}, {Region: "tartu", Share: ident.Whole - a - b}}
}

// Guards against exceeding the cap when the goal changes during a shift, and against shares lost by rounding.
func TestNextKeepsCap(t *testing.T) {
	for seed := range uint64(20) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		c := shift.Cap{PerStep: ident.PPM(1000 + rnd.IntN(100_000)), PerMinute: ident.PPM(1000 + rnd.IntN(300_000))}
		s, goal := shift.State{Weights: allInRiga}, allInTartu
		var at []time.Time
		var moved []ident.PPM
		for now := start; len(at) < 400; now = now.Add(time.Duration(rnd.IntN(3000)) * time.Millisecond) {
			if rnd.IntN(30) == 0 {
				goal = randomWeights(rnd)
			}
			_, m := freshMeasurements(now)
			var head []shift.Headroom
			for _, r := range []ident.Region{"kaunas", "riga", "tartu"} {
				head = append(head, shift.Headroom{Region: r, Slots: 500, At: now, Local: true})
			}
			step, _ := shift.NextStep(shift.Settings{Cap: c}, s, goal, head, m, now)
			if got := movedShare(s.Weights, step.State.Weights); got != step.Share || totalShare(step.State.Weights) != ident.Whole {
				t.Fatalf("seed %d: moved %d, reported %d, sum %d", seed, got, step.Share, totalShare(step.State.Weights))
			}
			at, moved, s = append(at, now), append(moved, step.Share), step.State
		}
		checkCap(t, c, at, moved)
	}
}

// Guards against an entry that exceeds the cap after missed versions, or when two lease holders publish plans in turn.
func TestFollowerKeepsCap(t *testing.T) {
	for seed := range uint64(20) {
		rnd := rand.New(rand.NewPCG(seed, 2))
		c := shift.Cap{PerStep: 50_000, PerMinute: ident.PPM(50_000 + rnd.IntN(300_000))}
		f := shift.NewWeightLimiter(c)
		f.Set(1, allInRiga)
		var at []time.Time
		var moved []ident.PPM
		last := f.Weights(start)
		for now, v := start, ident.Version(1); len(at) < 400; now = now.Add(time.Duration(rnd.IntN(3000)) * time.Millisecond) {
			if rnd.IntN(5) == 0 {
				v += ident.Version(1 + rnd.IntN(4))
				f.Set(v, randomWeights(rnd))
			}
			w := f.Weights(now)
			if totalShare(w) != ident.Whole {
				t.Fatalf("seed %d: shares add up to %d", seed, totalShare(w))
			}
			at, moved, last = append(at, now), append(moved, movedShare(last, w)), w
		}
		checkCap(t, c, at, moved)
	}
}

// Guards against an entry that returns to an older plan or adopts weights that don't add up to the whole.
func TestFollowerVersions(t *testing.T) {
	f := shift.NewWeightLimiter(rules.Cap)
	tests := []struct {
		version ident.Version
		weights []shift.Weight
		want    bool
	}{{5, allInRiga, true}, {4, allInTartu, false}, {5, allInTartu, false}, {6, allInTartu[:0], false}, {6, allInTartu, true}}
	for _, tt := range tests {
		if got := f.Set(tt.version, tt.weights); got != tt.want {
			t.Errorf("Set(%d) = %v, want %v", tt.version, got, tt.want)
		}
	}
	now := start
	for range 11 {
		now = now.Add(time.Minute)
		for i := range 3 {
			f.Weights(now.Add(time.Duration(i) * 25 * time.Second))
		}
	}
	if w := f.Weights(now.Add(time.Minute)); len(w) != 1 || w[0].Region != "tartu" {
		t.Errorf("not at the goal after 12 minutes: %v", w)
	}
}

// Guards against a forecast that exceeds the headroom.
func TestForecast(t *testing.T) {
	head, m := freshMeasurements(start)
	est := shift.Forecast(rules, shift.State{Weights: allInRiga}, allInTartu, head, m, start)
	if !est.Done || est.Reached != ident.Whole || est.Steps < 20 || est.Time < 7*time.Minute || est.Time > 12*time.Minute {
		t.Errorf("shift with ample headroom: %+v", est)
	}
	head[0].Used = 310 // 30 of 340 slots left: a quarter at the cold cost, at most half once warm
	est = shift.Forecast(rules, shift.State{Weights: allInRiga}, allInTartu, head, m, start)
	if est.Done || est.Reached < 400_000 || est.Reached > 500_000 {
		t.Errorf("shift with little headroom: %+v", est)
	}
}

// Guards against entries that together exceed their part of a link, leave it unused after a burst, or accumulate unused
// capacity for more than 2 s.
func TestLink(t *testing.T) {
	var links [4]shift.LinkLimiter
	var bits, lateBits float64
	for ms := range 20_000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		for i := range links {
			if ms == 0 {
				links[i].SetLimit(now, 280, 0.5, len(links))
			}
			if links[i].Allow(now) {
				links[i].Charge(now, 50_000)
				bits += 400_000
				if ms >= 10_000 {
					lateBits += 400_000
				}
			}
		}
	}
	// Half of 280 Mbit/s for 20 s, plus one request of each entry that overdraws its balance.
	if limit := 20*140e6 + 4*400_000; bits > limit || lateBits < 10*140e6*0.99 {
		t.Errorf("%.0f Mbit in 20 s, %.0f in the last 10 s; want at most %.0f and about 1400", bits/1e6, lateBits/1e6, limit/1e6)
	}
	if m := links[0].Mbps(start.Add(20 * time.Second)); m < 30 || m > 40 {
		t.Errorf("one of 4 entries measured %.1f Mbit/s, want about 35", m)
	}
	burstMbit, after := 0.0, start.Add(time.Minute)
	for ; links[0].Allow(after); burstMbit += 0.4 {
		links[0].Charge(after, 50_000)
	}
	if burstMbit > 2*35+0.4+1e-6 {
		t.Errorf("burst of %.1f Mbit after an idle period, want at most 2 s of 35 Mbit/s", burstMbit)
	}
	var closed shift.LinkLimiter
	if closed.Allow(start) {
		t.Error("a link without a limit is open")
	}
}

// Example moves a service from one region to another under a cap of 20% a step and 40% a minute.
func Example() {
	now := time.Unix(0, 0)
	r := shift.Settings{Cap: shift.Cap{PerStep: 200_000, PerMinute: 400_000}}
	s := shift.State{Weights: []shift.Weight{{Region: "cluj", Share: ident.Whole}}}
	goal := []shift.Weight{{Region: "cluj", Share: 500_000}, {Region: "sibiu", Share: 500_000}}
	for range 4 {
		head := []shift.Headroom{{Region: "sibiu", Slots: 120, Used: 30, At: now, Link: 280, LinkUsed: 40, LinkAt: now}}
		m := shift.MeasuredTraffic{Slots: 40, Mbps: 60, At: now}
		step, why := shift.NextStep(r, s, goal, head, m, now)
		fmt.Println(why, step.State.Weights)
		s, now = step.State, now.Add(30*time.Second)
	}
	// Output:
	// stepped [{cluj 800000} {sibiu 200000}]
	// stepped [{cluj 600000} {sibiu 400000}]
	// stepped [{cluj 500000} {sibiu 500000}]
	// at-goal [{cluj 500000} {sibiu 500000}]
}
