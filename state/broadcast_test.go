package state

import (
	"testing"
	"time"

	"github.com/currantpier/currantpier/feed"
	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/proto"
)

// Simulates a store that has compacted its history while an operator changed the configuration and ended an evacuation. Guards
// against VMs that learn of it only from heartbeats and then read the table themselves, 0.4 to 1.2 s later, because the VMs that
// read for their region did not send on what a full reading has shown (cech-mozaika, history compacted: 1.9 s late).
func TestChangesOfFullReadingAreBroadcast(t *testing.T) {
	now := time.Unix(1000, 0)
	whole := func(config string, config1, version ident.Version, more ...feed.Row) reading {
		r := readingOf(now, Operator, 6, version, true)
		r.rows.Rows = append(more, configRow(config, config1))
		return r
	}
	evacuation := feed.Row{Key: "evacuate/b1", Version: 6}
	large := feed.Row{Key: "other", Value: make([]byte, maxOperatorDeltaBytes), Version: 6}
	for _, tt := range []struct {
		name string
		read reading
		// applied is the version of the other VM before the message, config and evacuated what it has afterwards.
		applied   ident.Version
		messages  int
		config    ident.Version
		evacuated int
	}{
		{"configuration changed", whole("2", 9, 10, evacuation), 6, 1, 2, 1},
		{"evacuation ended", whole("1", 4, 10), 6, 1, 1, 0},
		{"both, to a VM that has missed a change", whole("2", 9, 10), 4, 1, 2, 0},
		{"to a VM that is further", whole("2", 9, 10), 11, 1, 1, 1},
		{"nothing changed", whole("1", 4, 10, evacuation), 6, 0, 1, 1},
		{"too large for a datagram", whole("2", 9, 10, large), 6, 0, 1, 1},
	} {
		reader, sent := evacuatedState(now)
		reader.applyReading(tt.read)
		other, _ := evacuatedState(now)
		if tt.applied < 6 {
			other, _ = configState(now)
		} else {
			other.cfg.OperatorFollower.With(func(f *feed.Follower) { f.ApplyPeerChanges(now, 6, tt.applied) })
			other.advance(Operator, 6, tt.applied, false)
		}
		for _, m := range sent.messages {
			other.applyPeerMessage(now, proto.Message{OperatorChange: m.OperatorChange})
		}
		if other.view.Version() != tt.config || len(other.view.Evacuated()) != tt.evacuated || len(sent.messages) != tt.messages {
			t.Errorf("%s: %d messages, configuration %d, evacuated %v; want %d, %d and %d failure domains", tt.name, len(sent.messages),
				other.view.Version(), other.view.Evacuated(), tt.messages, tt.config, tt.evacuated)
		}
		if want := max(tt.read.rows.Version, tt.applied); tt.messages > 0 && other.applied[Operator] != want {
			t.Errorf("%s: applied up to %d, want %d", tt.name, other.applied[Operator], want)
		}
	}
}
