package state

import (
	"slices"
	"testing"
	"time"

	"github.com/currantpier/currantpier/feed"
	"github.com/currantpier/currantpier/ident"
)

// Guards against a VM that starts after a restore, gets another VM's state, and sends requests to targets of a failure domain under
// evacuation, or has no configuration, because the restored copy lacks the row; and against one that keeps the evacuation for good
// although the operators don't write it again.
func TestStartAfterRestoreFromPeer(t *testing.T) {
	now := time.Unix(1000, 0)
	a1 := feed.Row{Key: "evacuate/a1", Version: 20}
	again, ended := a1, a1
	again.Version, ended.Version, ended.Removed = inEra(4), inEra(5), true
	for _, tt := range []struct {
		name string
		// written are the operators' writes after the restore and before the start.
		written []feed.Row
		// started and settled say whether the VM that starts has the evacuation, at once and after the settle time.
		started, settled bool
	}{
		{"not written again", nil, true, false},
		{"written again", []feed.Row{again}, true, true},
		{"written again and ended", []feed.Row{again, ended}, false, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s, _ := configState(now)
			change := readingOf(now, Operator, 4, 20, false)
			change.rows.Rows = []feed.Row{a1}
			s.applyReading(change)
			s.applyReading(restoredReading(now, 3))
			for _, row := range tt.written {
				change := readingOf(now, Operator, s.applied[Operator], row.Version, false)
				change.rows.Rows, change.rows.Era = []feed.Row{row}, 2
				s.applyReading(change)
			}
			started, _ := newTestState(now)
			started.cfg.Decoder = configDecoder{}
			started.applyPeerState(now, s.fullState(now))
			if got := slices.Contains(started.view.Evacuated(), "a1"); got != tt.started || started.view.Version() != 1 {
				t.Errorf("started: evacuation %v, want %v; configuration %d, want 1", got, tt.started, started.view.Version())
			}
			for _, x := range []*State{s, started} {
				x.settle(now.Add(settleTime))
				if got := slices.Contains(x.view.Evacuated(), "a1"); got != tt.settled {
					t.Errorf("settled: evacuation %v, want %v", got, tt.settled)
				}
			}
			later, _ := newTestState(now)
			later.cfg.Decoder = configDecoder{}
			later.applyPeerState(now, started.fullState(now))
			if got := slices.Contains(later.view.Evacuated(), "a1"); got != tt.settled || later.view.Version() != 1 {
				t.Errorf("started later: evacuation %v, want %v; configuration %d, want 1", got, tt.settled, later.view.Version())
			}
		})
	}
}

// Guards against a VM that starts after a restore, reads the store first, and sends requests to targets of a failure domain
// under evacuation until the operators have written the lost row again; and against one that keeps it if they don't.
func TestStartReadsStoreThatLostAnEvacuation(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, writtenAgain := range []bool{false, true} {
		holder, _ := configState(now)
		change := readingOf(now, Operator, 4, 9, false)
		change.rows.Rows = []feed.Row{{Key: "evacuate/a1", Version: 9}}
		holder.applyReading(change)
		s, _ := newTestState(now)
		s.cfg.Decoder = configDecoder{}
		for _, vm := range []*State{holder, s} {
			vm.applyReading(restoredReading(now, 6, configRow("1", inEra(4))))
		}
		check := func(when string, want bool) {
			t.Helper()
			if got := slices.Contains(s.view.Evacuated(), "a1"); got != want {
				t.Errorf("written again %v, %s: evacuation %v, want %v", writtenAgain, when, got, want)
			}
		}
		check("store read", false)
		s.applyPeerState(now, holder.respond(now, stateRequest{departures: true, config: 1}))
		check("another VM asked", true)
		if writtenAgain {
			again := readingOf(now, Operator, inEra(6), inEra(7), false)
			again.rows.Rows, again.rows.Era = []feed.Row{{Key: "evacuate/a1", Version: inEra(7)}}, 2
			s.applyReading(again)
		}
		s.settle(now.Add(settleTime))
		check("settled", writtenAgain)
	}
}

// Guards against an evacuation that begins anew on a VM that knows that it has ended, since a VM that still has the lost row, and that
// it asked for the configuration, gives it the row as well; and against a settle time that each such answer extends.
func TestLostRowThatEndedIsNotAdopted(t *testing.T) {
	now := time.Unix(1000, 0)
	a1 := feed.Row{Key: "evacuate/a1", Version: 20}
	removed := func(v ident.Version) feed.Row { return feed.Row{Key: a1.Key, Version: v, Removed: true} }
	write := func(s *State, rows ...feed.Row) {
		for _, row := range rows {
			change := readingOf(now, Operator, s.applied[Operator], row.Version, false)
			change.rows.Rows, change.rows.Era = []feed.Row{row}, row.Version.Era()
			s.applyReading(change)
		}
	}
	for _, tt := range []struct {
		name          string
		before, after []feed.Row
	}{
		{"ended before the restore", []feed.Row{removed(21)}, nil},
		{"written again and ended", nil, []feed.Row{{Key: a1.Key, Version: inEra(4)}, removed(inEra(5))}},
		{"not written again", nil, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			behind, _ := configState(now)
			write(behind, a1)
			behind.applyReading(restoredReading(now, 3))
			s, _ := configState(now)
			write(s, a1)
			write(s, tt.before...)
			s.applyReading(restoredReading(now, 3))
			write(s, tt.after...)
			settlesAt := s.restore.settlesAt
			s.applyPeerState(now.Add(time.Second), behind.respond(now, stateRequest{departures: true}))
			if !s.restore.settlesAt.Equal(settlesAt) {
				t.Errorf("the settle time ends %v later", s.restore.settlesAt.Sub(settlesAt))
			}
			s.settle(now.Add(settleTime))
			s.applyPeerState(now.Add(settleTime), behind.respond(now, stateRequest{departures: true}))
			if len(s.view.Evacuated()) > 0 {
				t.Errorf("evacuations %v, want none", s.view.Evacuated())
			}
		})
	}
}

// Guards against a VM that got the configuration from another one, since the copy has none, and whose state leaves VMs that start
// without it once the store has settled.
func TestAdoptedConfigIsInState(t *testing.T) {
	now := time.Unix(1000, 0)
	holder, _ := configState(now)
	started, _ := newTestState(now)
	for _, s := range []*State{holder, started} {
		s.cfg.Decoder = configDecoder{}
		s.applyReading(restoredReading(now, 6))
	}
	registry := readingOf(now, Registry, 0, inEra(6), true, "t1")
	started.applyReading(registry)
	started.applyPeerState(now, holder.respond(now, stateRequest{departures: true}))
	from := started
	for generation := range 3 {
		next, _ := newTestState(now)
		next.cfg.Decoder = configDecoder{}
		next.applyPeerState(now, from.fullState(now))
		next.settle(now.Add(settleTime))
		if got := next.view.Version(); got != 1 {
			t.Errorf("VM %d that starts from another one's state has configuration %d, want 1", generation, got)
		}
		from = next
	}
}
