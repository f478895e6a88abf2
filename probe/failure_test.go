package probe

import (
	"context"
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/ident"
)

// Guards against lost evidence when many targets end at once, and against a refused connection that counts as one that has ended since
// another failure came with it.
func TestFailuresAreNotLost(t *testing.T) {
	svc := probed
	svc.Warmup = 3 * time.Second
	synctest.Test(t, func(t *testing.T) {
		s, reports := snapshot(200, svc), map[ident.Target]int{}
		service := New("vm0", &fixedSource{snapshot: s, confirmed: time.Now().Add(time.Hour)}, answerAsker{}, time.Now, rand.NewSource(1),
			func(_ context.Context, c fleet.ColdReport) { reports[c.ID]++ })
		for i, target := range s.Targets["s"] {
			if i%3 == 0 {
				service.ConnectionFailed(target, false)
			}
			service.ConnectionFailed(target, true)
			if i%3 == 1 {
				service.ConnectionFailed(target, false)
			}
		}
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- service.Run(ctx) }()
		synctest.Wait()
		cancel()
		<-ended
		if len(reports) != 200 || service.Sent() != 0 {
			t.Errorf("%d targets reported, %d requests; want 200 and none", len(reports), service.Sent())
		}
	})
}

// Guards against a failure of a former process of a target that is taken for one of the present process.
func TestFailuresOfTwoStarts(t *testing.T) {
	at := func(started int64, refused bool) failure {
		return failure{fleet.Target{Entry: fleet.Entry{ID: "t0", StartedUnixMS: started}}, refused}
	}
	for _, tt := range []struct {
		name string
		add  []failure
		want failure
	}{
		{"ended, refused", []failure{at(7, false), at(7, true)}, at(7, true)},
		{"refused, ended", []failure{at(7, true), at(7, false)}, at(7, true)},
		{"refused, started again", []failure{at(7, true), at(8, false)}, at(8, false)},
		{"ended, then one from before", []failure{at(8, false), at(7, true)}, at(8, false)},
	} {
		s := newFailureSet()
		for _, f := range tt.add {
			s.add(f)
		}
		if got := s.take(); len(got) != 1 || got[0] != tt.want || len(s.take()) != 0 {
			t.Errorf("%s: %+v, want %+v once", tt.name, got, tt.want)
		}
	}
}

// Guards against a target whose connections are all reset at once and that all VMs ask at the same moment, and against requests whose
// answer another VM has already told.
func TestEndedConnectionIsAskedAfterDelay(t *testing.T) {
	for _, tt := range []struct {
		name string
		// between is what becomes known before the delay ends.
		between func(*fleet.Target)
		asked   []ident.Target
	}{
		{"nothing known", func(*fleet.Target) {}, []ident.Target{"t0"}},
		{"reported as cold", func(t *fleet.Target) { t.ColdUntil = start.Add(time.Second) }, nil},
		{"stated what was assumed", func(t *fleet.Target) { t.ColdAssumed = true }, nil},
		{"started again", func(t *fleet.Target) { t.StartedUnixMS++ }, nil},
		{"left", func(t *fleet.Target) { t.ID = "other" }, nil},
	} {
		delays := map[time.Duration]bool{}
		for seed := range int64(20) {
			p, s := NewPlanner(ident.VM(fmt.Sprint("vm", seed)), rand.NewSource(seed)), snapshot(1, probed)
			target := s.Targets["s"][0]
			p.AskLater(start, s, &target)
			delay, ok := p.UntilDelayed(start)
			delays[delay] = true
			p.AskLater(start.Add(1), s, &target)
			tt.between(&s.Targets["s"][0])
			if early := p.DueAfterDelay(start.Add(delay-1), s); !ok || delay > maxAskDelay || len(early) > 0 {
				t.Errorf("%s: asked after %v, planned %v: %v", tt.name, delay, ok, early)
			}
			if got := ids(p.DueAfterDelay(start.Add(delay), s)); !slices.Equal(got, tt.asked) {
				t.Errorf("%s: asked %v, want %v", tt.name, got, tt.asked)
			}
			if _, ok := p.UntilDelayed(start.Add(delay)); ok {
				t.Errorf("%s: another request is planned", tt.name)
			}
		}
		if len(delays) < 15 {
			t.Errorf("%s: 20 VMs have only %d delays", tt.name, len(delays))
		}
	}
}

// Guards against a request that is planned but never sent.
func TestEndedConnectionIsAskedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		asker, s := &coldAsker{asked: map[ident.Target]int{}}, snapshot(3, probed)
		service := New("vm0", &fixedSource{snapshot: s, confirmed: time.Now().Add(time.Hour)}, asker, time.Now, rand.NewSource(1),
			func(context.Context, fleet.ColdReport) {})
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- service.Run(ctx) }()
		for range 2 {
			time.Sleep(time.Second)
			for _, target := range s.Targets["s"][:2] {
				service.ConnectionFailed(target, false)
				service.ConnectionFailed(target, false)
			}
		}
		time.Sleep(maxAskDelay + 1)
		cancel()
		<-ended
		if asker.asked["t0"] != 2 || asker.asked["t1"] != 2 || service.Sent() != 4 {
			t.Errorf("asked %v, want t0 and t1 once for each time their connections ended", asker.asked)
		}
	})
}
