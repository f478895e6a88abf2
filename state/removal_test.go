package state

import (
	"net"
	"testing"
	"time"

	"github.com/currantpier/currantpier/feed"
	"github.com/currantpier/currantpier/peers"
)

// evacuatedState returns a state that has read configuration 1 and, at version 6, the start of an evacuation of b1.
func evacuatedState(now time.Time) (*State, *sentMessages) {
	s, sent := configState(now)
	r := readingOf(now, Operator, 4, 6, false, "evacuate/b1")
	s.cfg.OperatorFollower.With(func(f *feed.Follower) { f.RecordResult(now, now, r.rows, nil) })
	s.applyReading(r)
	sent.messages = nil
	return s, sent
}

// Simulates a store that has compacted its history right after the end of an evacuation: the VMs that read for their region find
// out by a full reading, which has no row that could tell the version of the removal. Guards against a VM that takes their
// confirmation for its own rows: it kept the evacuation, labelled with the newer version, until its next full reading.
func TestConfirmationOfAVMThatMissedARemoval(t *testing.T) {
	now := time.Unix(1000, 0)
	reader, sent := evacuatedState(now)
	full := readingOf(now, Operator, 6, 10, true)
	full.rows.Rows = []feed.Row{configRow("1", 4)}
	reader.applyReading(full)
	reader.applyReading(readingOf(now, Registry, 5, 9, false, "t2"))
	if len(reader.view.Evacuated()) != 0 || len(sent.messages) == 0 {
		t.Fatalf("reader: evacuated %v, %d messages", reader.view.Evacuated(), len(sent.messages))
	}
	receive := func(s *State) {
		s.group.rank = 5
		for _, m := range sent.messages {
			m.OperatorChange = nil // that datagram is lost
			m.From.VM = "other"    // all states of the test have the same name, and a VM ignores its own messages
			s.cfg.Peers.With(func(v *peers.View) { v.Receive(now, m) })
			s.applyPeerMessage(now, m)
		}
	}
	other, _ := evacuatedState(now)
	other.cfg.OperatorFollower.With(func(f *feed.Follower) { f.SetRank(now, 5); f.ApplyPeerChanges(now, 6, 6) })
	receive(other)
	other.cfg.OperatorFollower.With(func(f *feed.Follower) {
		if step := f.Next(); step.After != 6 || step.At.After(now.Add(time.Second)) {
			t.Errorf("next call %+v, want one for the changes after version 6 within a second", step)
		}
	})
	if other.applied[Operator] != 6 {
		t.Errorf("a VM that has not heard of the removal has the table applied up to %d, want 6", other.applied[Operator])
	}

	refused, _ := evacuatedState(now)
	receive(refused)
	refused.recordReachability(reading{at: now, topic: Operator, err: net.ErrClosed})
	if !refused.shouldQueryPeers() {
		t.Error("a VM that can't reach the store does not query other VMs for what it may have missed")
	}
	refused.applyPeerState(now, reader.fullState(now))
	if got := refused.view.Evacuated(); len(got) != 0 || refused.shouldQueryPeers() {
		t.Errorf("evacuated %v and queries again: %v, want none and false", got, refused.shouldQueryPeers())
	}

	// It follows from there by confirmations alone.
	sent.messages = nil
	reader.applyReading(readingOf(now, Operator, 10, 12, false))
	reader.applyReading(readingOf(now, Registry, 9, 11, false))
	receive(refused)
	if refused.applied[Operator] != 12 {
		t.Errorf("applied up to %d after the confirmation that continues it, want 12", refused.applied[Operator])
	}
}
