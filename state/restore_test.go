package state

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/currantpier/currantpier/feed"
	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/peers"
	"github.com/currantpier/currantpier/proto"
)

// inEra returns version n of the store's second era, in which all tests of this file restore it.
func inEra(n uint64) ident.Version { return ident.NewVersion(2, n) }

// restoredReading returns a full reading of the restored operators' table.
func restoredReading(now time.Time, version uint64, rows ...feed.Row) reading {
	r := readingOf(now, Operator, 0, inEra(version), true)
	r.rows.Rows, r.rows.Era = rows, 2
	return r
}

// Guards against a reading of a restored store that takes back what is in force: an older configuration, the end of an
// evacuation or one that had ended, until the operators have written again; and against keeping these for good.
func TestRestoredCopyDoesNotRevertOperators(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, tt := range []struct {
		name string
		// written are the operators' writes after the restore.
		written []feed.Row
		// settled are the evacuations after the settle time.
		settled []ident.Domain
	}{
		{"operators write again", []feed.Row{configRow("4", inEra(7)), {Key: "evacuate/a1", Version: inEra(8)},
			{Key: "evacuate/b1", Version: inEra(9), Removed: true}}, []ident.Domain{"a1"}},
		{"evacuation starts anew", []feed.Row{{Key: "evacuate/b1", Version: inEra(7)}, {Key: "evacuate/a1", Version: inEra(8)}},
			[]ident.Domain{"a1", "b1"}},
		{"operators write nothing", nil, []ident.Domain{"b1"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s, _ := configState(now)
			history := readingOf(now, Operator, 4, 20, false)
			history.rows.Rows = []feed.Row{{Key: "evacuate/b1", Version: 6}, configRow("3", 9), {Key: "evacuate/b1", Version: 10, Removed: true},
				{Key: "evacuate/a1", Version: 20}}
			for _, row := range history.rows.Rows {
				one := history
				one.rows.Rows = []feed.Row{row}
				s.applyReading(one)
			}
			s.applyReading(restoredReading(now, 6, configRow("1", inEra(4)), feed.Row{Key: "evacuate/b1", Version: inEra(6)}))
			check := func(when string, config ident.Version, evacuated ...ident.Domain) {
				t.Helper()
				sorted := cmpopts.SortSlices(func(a, b ident.Domain) bool { return a < b })
				if d := cmp.Diff(evacuated, s.view.Evacuated(), sorted, cmpopts.EquateEmpty()); d != "" || s.view.Version() != config {
					t.Errorf("%s: configuration %d, evacuations %s", when, s.view.Version(), d)
				}
				started, _ := newTestState(now)
				started.cfg.Decoder = configDecoder{}
				started.applyPeerState(now, s.fullState(now))
				if got := started.view.Version(); got != config {
					t.Errorf("%s: a VM that starts gets configuration %d, want %d", when, got, config)
				}
			}
			check("restored", 3, "a1")
			config := ident.Version(3)
			for _, row := range tt.written {
				change := readingOf(now, Operator, s.applied[Operator], row.Version, false)
				change.rows.Rows, change.rows.Era = []feed.Row{row}, 2
				s.applyReading(change)
				if row.Key == "config" {
					config = 4
				}
			}
			now := now.Add(settleTime)
			s.settle(now)
			check("settled", config, tt.settled...)
		})
	}
}

// Simulates a VM that reads from a restored store a table without an evacuation, and then learns, by a change or by the end of the settle
// time, that the evacuation ended. Guards against the evacuation starting again with the next restored copy.
func TestRemovalOfALostRowIsRemembered(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, settles := range []bool{false, true} {
		s, _ := configState(now)
		evacuate := readingOf(now, Operator, 4, 6, false)
		evacuate.rows.Rows = []feed.Row{{Key: "evacuate/a1", Version: 6}}
		s.applyReading(evacuate)
		s.applyReading(restoredReading(now, 9, configRow("1", inEra(4))))
		if settles {
			s.settle(now.Add(settleTime))
		} else {
			ended := readingOf(now, Operator, inEra(9), inEra(10), false)
			ended.rows.Rows = []feed.Row{{Key: "evacuate/a1", Version: inEra(10), Removed: true}}
			s.applyReading(ended)
		}
		again := readingOf(now.Add(settleTime), Operator, s.applied[Operator], ident.NewVersion(3, 7), true)
		again.rows.Rows = []feed.Row{configRow("1", ident.NewVersion(3, 4)), {Key: "evacuate/a1", Version: ident.NewVersion(3, 6)}}
		again.rows.Era = 3
		s.applyReading(again)
		if got := s.view.Evacuated(); len(got) != 0 {
			t.Errorf("settled %v: evacuated %v: the copy brought an evacuation back that had ended", settles, got)
		}
	}
}

// Guards against an evacuation that ends, or starts again, on a VM that can't read the store when the settle time ends: operators may
// have written it again.
func TestSettleTimeLastsUntilTableIsRead(t *testing.T) {
	now := time.Unix(1000, 0)
	s, _ := configState(now)
	evacuate := readingOf(now, Operator, 4, 6, false)
	evacuate.rows.Rows = []feed.Row{{Key: "evacuate/a1", Version: 6}}
	s.applyReading(evacuate)
	s.applyReading(restoredReading(now, 5, configRow("1", inEra(4))))
	settled := now.Add(settleTime)
	s.applyReading(reading{at: settled, topic: Operator, err: errUnreachable})
	if s.settle(settled); len(s.view.Evacuated()) != 1 {
		t.Error("the evacuation ended while the store could not be read")
	}
	s.applyReading(readingOf(settled, Operator, inEra(5), inEra(6), false))
	if s.settle(settled); len(s.view.Evacuated()) != 0 {
		t.Error("the evacuation, which the operators have not written again, goes on")
	}
}

// Guards against a VM that stays on the lost history after a restore, because versions of the new era have lower numbers:
// it drops a peer's change as old, and no announcement of a peer makes it read the tables.
func TestRestoreIsNoticed(t *testing.T) {
	now := time.Unix(1000, 0)
	change := proto.Message{From: proto.VMInfo{VM: "other"}, OperatorVersion: inEra(3),
		OperatorChange: &proto.OperatorDelta{After: inEra(2), Version: inEra(3), Rows: []feed.Row{configRow("5", inEra(3))}}}
	for _, tt := range []struct {
		name   string
		notice func(s *State)
	}{
		{"reading of the registry", func(s *State) {
			r := readingOf(now, Registry, 0, inEra(2), true, "t1")
			r.rows.Era = 2
			s.applyReading(r)
		}},
		{"answer without rows", func(s *State) {
			s.applyReading(reading{at: now, topic: Registry, rows: feed.Rows{Compacted: true, Era: 2}})
		}},
		{"a peer's change", func(s *State) { s.applyPeerMessage(now, change) }},
		{"a peer's change of the registry", func(s *State) {
			s.applyPeerMessage(now, proto.Message{Registry: &proto.RegistryDelta{After: inEra(2), Version: inEra(3), OperatorVersion: inEra(3)}})
		}},
		{"heartbeat of a peer", func(s *State) {
			s.cfg.Peers.With(func(v *peers.View) {
				v.Receive(now, proto.Message{From: proto.VMInfo{VM: "other"}, OperatorVersion: inEra(3)})
			})
			s.enterEra(now, inEra(3).Era())
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s, _ := configState(now)
			tt.notice(s)
			var step feed.Step
			s.cfg.OperatorFollower.With(func(f *feed.Follower) { step = f.Next() })
			requested := len(s.refreshRequests) > 0
			if !requested && (!step.Full || step.At.Sub(now) > time.Second) {
				t.Errorf("the operators' table is not read in full: next call %+v", step)
			}
			if s.view.Version() != 1 {
				t.Errorf("changes of another era were applied on the lost history: configuration %d", s.view.Version())
			}
		})
	}
}

// Guards against a VM that still has the lost history and confirms, announces or takes back what VMs of the new era have.
// A VM of a build without eras sends such versions for good.
func TestVersionsOfALostHistoryAreOld(t *testing.T) {
	now := time.Unix(1000, 0)
	s, _ := configState(now)
	s.applyReading(restoredReading(now, 3, configRow("2", inEra(3))))
	registry := readingOf(now, Registry, 0, inEra(3), true, "t1")
	registry.rows.Era = 2
	s.applyReading(registry)
	old := proto.Message{From: proto.VMInfo{VM: "other"}, OperatorVersion: 90,
		OperatorChange: &proto.OperatorDelta{After: 3, Version: 90, Rows: []feed.Row{{Key: "evacuate/a1", Version: 90}}},
		Registry: &proto.RegistryDelta{After: 4, Version: 91, OperatorVersion: 90,
			Rows: []fleet.Row{{Entry: fleet.Entry{ID: "t1", Sequence: 99}, Removed: true}}}}
	confirmed := s.group.confirmedAt
	later := now.Add(time.Second)
	s.cfg.Peers.With(func(v *peers.View) { v.Receive(later, old) })
	s.applyPeerMessage(later, old)
	behind := false
	s.cfg.Peers.With(func(v *peers.View) { behind = v.OperatorTableBehind(later.Add(time.Hour)) })
	if behind || len(s.view.Evacuated()) > 0 || !registered(s, later)["t1"] || s.group.confirmedAt != confirmed ||
		s.applied[Operator] != inEra(3) || s.applied[Registry] != inEra(3) {
		t.Errorf("behind %v, evacuated %v, targets %v, confirmed %v later, applied %v", behind, s.view.Evacuated(), registered(s, later),
			s.group.confirmedAt.Sub(confirmed), s.applied)
	}
}

// Guards against a change between two eras that a VM without the store sends to its region as if it followed the lost
// history: a receiver would skip what the restored store has below it.
func TestCatchUpAcrossRestore(t *testing.T) {
	now := time.Unix(1000, 0)
	elsewhere, _ := configState(now)
	elsewhere.applyReading(restoredReading(now, 3, configRow("6", inEra(3))))
	registry := readingOf(now, Registry, 0, inEra(4), true, "t1", "t9")
	registry.rows.Era = 2
	elsewhere.applyReading(registry)

	cut, sent := configState(now)
	for _, topic := range []Topic{Operator, Registry} {
		cut.recordReachability(reading{at: now, topic: topic, err: errUnreachable})
	}
	cut.enterEra(now, 2)
	if !cut.shouldQueryPeers() || !cut.lacksChange() {
		t.Error("a VM that lacks the new era does not query other VMs")
	}
	cut.applyPeerState(now, elsewhere.fullState(now))
	if cut.view.Version() != 6 || !registered(cut, now)["t9"] || cut.applied != elsewhere.applied {
		t.Errorf("configuration %d, targets %v, applied %v", cut.view.Version(), registered(cut, now), cut.applied)
	}
	for _, m := range sent.messages {
		other, _ := configState(now)
		m.From.VM = "other"
		other.applyPeerMessage(now, m)
		if other.applied[Registry].Era() != ident.FirstEra || m.Registry != nil && len(m.Registry.Rows) > 0 || m.OperatorChange != nil {
			t.Errorf("a change across eras was sent: %+v", m)
		}
		if other.missedRegistry != inEra(4) {
			t.Errorf("the region is not told of the gap: missed %s", other.missedRegistry)
		}
	}
	if len(sent.messages) == 0 {
		t.Error("nothing was sent to the region")
	}
}

// Guards against a VM that has an older configuration than others and never learns of theirs, because the store has lost it:
// the VM has started from a restored copy, which no version of the store tells apart.
func TestConfigThatTheStoreHasLost(t *testing.T) {
	now := time.Unix(1000, 0)
	holder, _ := configState(now)
	newer := readingOf(now, Operator, 4, 9, false)
	newer.rows.Rows = []feed.Row{configRow("3", 9)}
	holder.applyReading(newer)
	sameEra, _ := configState(now)
	sameEra.applyReading(newer)
	sameEra.applyReading(restoredReading(now, 6, configRow("1", inEra(4))))

	for name, holder := range map[string]*State{"of the lost history": holder, "that has read the copy": sameEra} {
		s, _ := newTestState(now)
		s.cfg.Decoder = configDecoder{}
		read := func(at time.Time) {
			r := restoredReading(at, 6, configRow("1", inEra(4)))
			r.source, r.rows.Begun = fromStore, at
			s.applyReading(r)
		}
		read(now)
		var announced ident.Version
		holder.cfg.Peers.With(func(v *peers.View) { announced = v.Tick(now)[0].Message.ConfigVersion })
		hear := func(at time.Time) {
			s.cfg.Peers.With(func(v *peers.View) {
				v.Receive(at, proto.Message{From: proto.VMInfo{VM: "other"}, ConfigVersion: announced})
				s.recordConfigBehind(at, v.ConfigBehind(at), announced)
			})
		}
		hear(now)
		later := now.Add(time.Second)
		hear(later)
		if s.configBehindSince.IsZero() || s.lacksConfig() {
			t.Errorf("a VM %s: behind since %v, asks it before the store was read again: %v", name, s.configBehindSince, s.lacksConfig())
		}
		read(later.Add(time.Millisecond))
		if !s.lacksConfig() {
			t.Errorf("a VM %s is not asked for configuration %d although the store has none that is newer", name, announced)
		}
		s.applyPeerState(later, holder.respond(later, stateRequest{departures: true, config: s.view.Version()}))
		read(later.Add(time.Second))
		if got := string(s.operatorRows["config"].Value); s.view.Version() != 3 || got != "3" {
			t.Errorf("a VM %s: configuration %d is in force, %s is handed to VMs that start, want 3", name, s.view.Version(), got)
		}
		if m := holder.respond(later, stateRequest{departures: true, config: 3}); m.OperatorChange != nil {
			t.Errorf("a VM %s sends its configuration to one that has it", name)
		}
	}
}

// Guards against a VM that hands no configuration to VMs that start, after a reading of a copy from before the first one.
func TestCopyWithoutConfig(t *testing.T) {
	now := time.Unix(1000, 0)
	s, _ := configState(now)
	s.applyReading(restoredReading(now, 2))
	started, _ := newTestState(now)
	started.cfg.Decoder = configDecoder{}
	started.applyPeerState(now, s.fullState(now))
	if got := started.view.Version(); got != 1 {
		t.Errorf("a VM that starts gets configuration %d, want 1", got)
	}
}

// Guards against rows of one reading, an older configuration before a newer one, that leave the older one in the table for VMs that
// start: both readers of a region send the same changes, and the second message repeats what the first one had.
func TestOlderRowOfAReadingIsNotKept(t *testing.T) {
	now := time.Unix(1000, 0)
	s, _ := configState(now)
	first := proto.OperatorDelta{After: 4, Version: 7, Rows: []feed.Row{configRow("2", 6), configRow("3", 7)}}
	second := first
	second.Version, second.Rows = 8, append(second.Rows, configRow("4", 8))
	for _, c := range []proto.OperatorDelta{first, second} {
		s.applyPeerMessage(now, proto.Message{OperatorChange: &c})
	}
	if got := string(s.operatorRows["config"].Value); got != "4" || s.view.Version() != 4 {
		t.Errorf("a VM that starts gets configuration %s, in force is %d, want 4", got, s.view.Version())
	}
}

// Guards against a target that left and is used again because the copy has its entry, with a later heartbeat than this VM knows: only
// the VM that reads the registry for its region knows all heartbeats (DRAIN). A target that is alive nevertheless is used again
// after the settle time.
func TestRestoredCopyDoesNotBringTargetsBack(t *testing.T) {
	now := time.Unix(1000, 0)
	restored := func(version uint64) reading {
		r := readingOf(now, Registry, 0, inEra(version), true, "t1", "t2")
		r.rows.Era = 2
		return r
	}
	for _, tt := range []struct {
		name    string
		restore func(s *State)
	}{
		{"reading", func(s *State) { s.applyReading(restored(5)) }},
		{"two readings", func(s *State) {
			s.applyReading(restored(5))
			s.applyReading(restored(6))
		}},
		{"state of a VM that does not know that the target left", func(s *State) {
			s.recordReachability(reading{at: now, topic: Registry, err: errUnreachable})
			other, _ := newTestState(now)
			other.applyReading(restoredReading(now, 3, configRow("1", inEra(3))))
			other.applyReading(restored(5))
			s.applyPeerState(now, other.fullState(now))
		}},
		{"state of a VM that waits for the target to write again", func(s *State) {
			s.recordReachability(reading{at: now, topic: Registry, err: errUnreachable})
			other, _ := newTestState(now)
			other.applyReading(restoredReading(now, 3, configRow("1", inEra(3))))
			other.applyReading(restored(5))
			other.view.RecordFailure()
			lapsed := restored(6)
			lapsed.rows.Rows = lapsed.rows.Rows[1:]
			other.applyReading(lapsed)
			s.applyPeerState(now, other.fullState(now))
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s, _ := configState(now)
			s.applyPeerMessage(now, proto.Message{Registry: &proto.RegistryDelta{After: 5, Version: 9,
				Rows: []fleet.Row{{Entry: fleet.Entry{ID: "t1"}, Removed: true}}}})
			tt.restore(s)
			if got := registered(s, now); got["t1"] || !got["t2"] {
				t.Errorf("targets %v, want t2", got)
			}
			s.rereadRegistry(now)
			settled := now.Add(settleTime)
			s.rereadRegistry(settled)
			s.cfg.RegistryFollower.With(func(f *feed.Follower) {
				if step := f.Next(); !step.Full {
					t.Errorf("next call %+v, want a full reading after the settle time", step)
				}
			})
			again := restored(7)
			again.at = settled
			s.applyReading(again)
			if got := registered(s, settled); !got["t1"] {
				t.Errorf("targets %v, want t1 as well", got)
			}
		})
	}
}

// Guards against an evacuation that begins up to two seconds late, because the restored store has given its row the number of one
// that was removed before the restore.
func TestNumberGivenOutAgainIsNewWrite(t *testing.T) {
	now := time.Unix(1000, 0)
	s, _ := configState(now)
	for _, row := range []feed.Row{{Key: "evacuate/a1", Version: 6}, {Key: "evacuate/a1", Version: 7, Removed: true}} {
		change := readingOf(now, Operator, s.applied[Operator], row.Version, false)
		change.rows.Rows = []feed.Row{row}
		s.applyReading(change)
	}
	s.applyReading(restoredReading(now, 5, configRow("1", inEra(4))))
	change := readingOf(now, Operator, inEra(5), inEra(6), false)
	change.rows.Rows, change.rows.Era = []feed.Row{{Key: "evacuate/a1", Version: inEra(6)}}, 2
	s.applyReading(change)
	if !slices.Equal(s.view.Evacuated(), []ident.Domain{"a1"}) {
		t.Errorf("evacuations %v, want a1", s.view.Evacuated())
	}
}

// Guards against a VM that was paused while the store was restored, or compacted its history, and that sends requests by its old
// state: the answer that its version is unknown brings nothing newer, and the full reading is still to come.
func TestPauseLastsUntilRegistryIsRead(t *testing.T) {
	now := time.Unix(1000, 0)
	s, _ := configState(now)
	s.pause.resumedAt, s.pause.outdated = now, [2]bool{Registry: true}
	s.applyReading(reading{at: now, topic: Registry, source: fromStore, rows: feed.Rows{After: 5, Compacted: true, Era: 2, Begun: now}})
	if !s.holdsRequests(now) {
		t.Error("the state counts as up to date after an answer without rows")
	}
	r := readingOf(now, Registry, 5, inEra(2), true, "t1")
	r.source, r.rows.Era, r.rows.Begun = fromStore, 2, now
	s.applyReading(r)
	if s.holdsRequests(now) {
		t.Error("the state doesn't count as up to date after a full reading")
	}
}

// Guards against targets that are lost on a VM which got the new era from another VM before it has read the restored registry itself:
// the copy lacks what targets have written since, whoever was first to read it.
func TestRegistryOfCopyAfterPeerState(t *testing.T) {
	now := time.Unix(1000, 0)
	young := readingOf(now, Registry, 5, 9, false, "young")
	elsewhere, _ := configState(now)
	cut, _ := configState(now)
	elsewhere.applyReading(young)
	cut.applyReading(young)
	reading := func(now time.Time, version ident.Version) reading {
		r := readingOf(now, Registry, 9, version, true, "t1")
		r.rows.Era = 2
		return r
	}
	elsewhere.applyReading(restoredReading(now, 3, configRow("1", inEra(3))))
	elsewhere.applyReading(reading(now, inEra(4)))
	cut.applyReading(readingError(now, Registry))
	cut.applyPeerState(now, elsewhere.fullState(now))
	later := now.Add(100 * time.Millisecond)
	cut.applyReading(reading(later, inEra(5)))
	if got := registered(cut, later); !got["young"] || cut.applied[Registry] != inEra(5) {
		t.Errorf("targets %v, applied %s: a target that the copy lacks is gone before it could write again", got, cut.applied[Registry])
	}
	// It is gone if it doesn't.
	later = later.Add(fleet.RegistryGrace)
	cut.view.Tick(later)
	if got := registered(cut, later); got["young"] {
		t.Errorf("targets %v: a target that the store has lost stays", got)
	}
	cut.applyReading(reading(later, inEra(6)))
	if got := registered(cut, later); got["young"] || !got["t1"] {
		t.Errorf("targets %v after a later reading", got)
	}
}

func readingError(now time.Time, topic Topic) reading {
	return reading{at: now, topic: topic, err: errUnreachable}
}

// Guards against a removal, an announcement to leave or a restart that is written again after a restore and that the reader of the
// registry doesn't tell its region, since it knew it before: a VM that started from the copy used the target, or the address of its
// earlier start, for good.
func TestWritesAfterRestoreAreBroadcast(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, lost := range map[string]modelTarget{
		"removal": {sequence: 8, left: true}, "announcement": {sequence: 8}, "restart": {incarnation: incarnation{born: 7}, ready: true},
	} {
		reading := func(after, version ident.Version, target modelTarget) reading {
			r := readingOf(now, Registry, after, version, after.Era() != version.Era(), "t1")
			r.rows.Rows[0].Value, r.rows.Rows[0].Removed, r.rows.Era = target.row().Value, target.left, version.Era()
			return r
		}
		copied := modelTarget{sequence: 3, ready: true}
		reader, sent := configState(now)
		started, _ := newTestState(now)
		for _, s := range []*State{reader, started} {
			s.cfg.Decoder = modelDecoder{}
		}
		reader.applyReading(reading(5, 9, lost))
		reader.applyReading(reading(9, inEra(5), copied))
		started.applyReading(reading(0, inEra(5), copied))
		started.cfg.RegistryFollower.With(func(f *feed.Follower) { f.InitFromPeer(now, inEra(5)) })
		if !registered(started, now)["t1"] {
			t.Fatal("the VM that started does not use the target of the copy")
		}
		sent.messages = nil
		lost.sequence++
		reader.applyReading(reading(inEra(5), inEra(6), lost))
		for _, m := range sent.messages {
			started.applyPeerMessage(now, m)
		}
		if d := cmp.Diff(reader.view.Registered(now), started.view.Registered(now)); d != "" || registered(reader, now)["t1"] != lost.ready {
			t.Errorf("%s: the reader uses %v; the VM that started: %s", name, registered(reader, now), d)
		}
	}
}

// Guards against a VM that drops the changes of a store that states no eras and whose versions went back: it has read the table of that
// store, but compares its changes with versions of before.
func TestStoreWithoutErasWentBack(t *testing.T) {
	now := time.Unix(1000, 0)
	s, _ := configState(now)
	change := readingOf(now, Operator, 4, 90, false)
	change.rows.Rows = []feed.Row{configRow("2", 90)}
	s.applyReading(change)
	full := readingOf(now, Operator, 90, 5, true)
	full.rows.Rows = []feed.Row{configRow("2", 5)}
	s.applyReading(full)
	change = readingOf(now, Operator, 5, 6, false)
	change.rows.Rows = []feed.Row{configRow("3", 6)}
	s.applyReading(change)
	if got := s.view.Version(); got != 3 || s.applied[Operator] != 6 {
		t.Errorf("configuration %d, want 3; applied up to %s, want 6", got, s.applied[Operator])
	}
}
