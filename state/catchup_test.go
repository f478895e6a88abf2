package state

import (
	"math/rand"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/currantpier/currantpier/feed"
	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/proto"
)

// startedState returns a state that has read the operators' table up to 4 and the registry, with the target t1, up to 5.
func startedState(now time.Time) (*State, *sentMessages) {
	s, sent := newTestState(now)
	s.cfg.OperatorFollower = feed.NewSyncFollower(feed.NewFollower(0, time.Second, rand.NewSource(1)))
	s.cfg.OperatorFollower.With(func(f *feed.Follower) {
		f.SetRank(now, 0)
		f.RecordResult(now, now, feed.Rows{Version: 4, Full: true}, nil)
	})
	s.apply(readingOf(now, Operator, 0, 4, true, "config"))
	first := readingOf(now, Registry, 0, 5, true, "t1")
	s.done(first)
	s.apply(first)
	sent.messages = nil
	return s, sent
}

func registered(s *State, now time.Time) map[ident.Target]bool {
	got := map[ident.Target]bool{}
	for id := range s.view.Registered(now) {
		got[id] = true
	}
	return got
}

// Pattern: the store turns away all VMs of one region while the operators change the configuration, evacuate a failure domain
// and targets come and go (cech-mozaika, inc-4418: three VMs were three versions behind for 9 s). Guards against a region that
// goes on with the old state although VMs of other regions know the new one.
func TestRegionCutFromTheStoreCatchesUp(t *testing.T) {
	now := time.Unix(1000, 0)
	elsewhere, _ := startedState(now)
	elsewhere.apply(readingOf(now, Operator, 4, 8, false, "config", "evacuate/a1"))
	elsewhere.apply(readingOf(now, Registry, 5, 9, false, "t2"))
	gone := readingOf(now, Registry, 9, 10, false)
	gone.rows.Rows = []feed.Row{{Key: "t1", Version: 10, Removed: true}}
	elsewhere.apply(gone)
	told := elsewhere.handOver(now)

	cut, sent := startedState(now)
	if cut.cutOff() || cut.catchUp(now, told) {
		t.Fatal("a VM that reaches the store takes what another one says")
	}
	cut.contact(reading{at: now, topic: Operator, err: net.ErrClosed})
	cut.contact(reading{at: now, topic: Registry, err: net.ErrClosed})
	// Heartbeats show a newer version, so that a full reading is due; it fails as well.
	refresh := func(s *State) { s.cfg.OperatorFollower.With(func(f *feed.Follower) { f.RequestFullRead(now) }) }
	refresh(cut)
	if !cut.cutOff() {
		t.Fatal("the first VM of a region that is cut off asks nobody")
	}
	cut.adopt(now, told)
	neighbour, _ := startedState(now)
	refresh(neighbour)
	for _, m := range sent.messages {
		neighbour.hear(now, m)
	}
	want := map[ident.Target]bool{"t2": true}
	for name, s := range map[string]*State{"the VM that asked": cut, "its neighbour": neighbour} {
		if d := cmp.Diff(want, registered(s, now)); d != "" {
			t.Errorf("%s: targets %s", name, d)
		}
		if s.applied != [2]ident.Version{8, 10} || s.operator != 8 {
			t.Errorf("%s: applied %v, newest change %d", name, s.applied, s.operator)
		}
		if _, ok := s.operatorRows["evacuate/a1"]; !ok {
			t.Errorf("%s has not heard of the evacuation", name)
		}
	}
	if cut.adopt(now, told) {
		t.Error("the same state counts as news")
	}
}

// Guards against VMs that all ask for the whole state at once.
func TestFewVMsCatchUp(t *testing.T) {
	now := time.Unix(1000, 0)
	s, _ := startedState(now)
	s.contact(reading{at: now, topic: Registry, err: net.ErrClosed})
	for rank, want := range []bool{true, true, false, false} {
		s.shared.rank = rank
		if got := s.cutOff(); got != want {
			t.Errorf("rank %d asks: %v, want %v", rank, got, want)
		}
	}
}

// Guards against a row that was removed or replaced and stays, and against rows that are told although nothing changed.
func TestChangedRows(t *testing.T) {
	row := func(key string, v ident.Version) feed.Row { return feed.Row{Key: key, Version: v} }
	before := map[string]feed.Row{"same": row("same", 1), "changed": row("changed", 2), "gone": row("gone", 3)}
	got := changedRows(before, []feed.Row{row("same", 1), row("changed", 5), row("new", 6)})
	want := []feed.Row{row("changed", 5), row("new", 6), {Key: "gone", Version: 3, Removed: true}}
	if d := cmp.Diff(want, got); d != "" {
		t.Error(d)
	}
}

// Guards against departures that reach a VM as targets.
func TestDeparturesAreNoTargets(t *testing.T) {
	now := time.Unix(1000, 0)
	s, _ := startedState(now)
	s.adopt(now, &proto.Message{Registry: &proto.RegistryDelta{Rows: []fleet.Row{{Entry: fleet.Entry{ID: "t1", Sequence: 5}, Removed: true}}}})
	if got := registered(s, now); len(got) != 0 {
		t.Errorf("a target that left before the start is in use: %v", got)
	}
}
