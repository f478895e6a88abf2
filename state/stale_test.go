package state

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/currantpier/currantpier/feed"
	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/proto"
)

// configDecoder decodes the row "config" as the configuration whose version is the row's value, rows "evacuate/" with the
// name of a failure domain as evacuations, and each other row as plainDecoder does.
type configDecoder struct{ plainDecoder }

func (configDecoder) DecodeChange(r feed.Row) (*fleet.Change, error) {
	if d, ok := strings.CutPrefix(r.Key, "evacuate/"); ok {
		return &fleet.Change{Domain: ident.Domain(d), Ended: r.Removed}, nil
	}
	if r.Key != "config" {
		return nil, nil
	}
	n, err := strconv.ParseUint(string(r.Value), 10, 64)
	c := &fleet.Config{Version: ident.Version(n)}
	c.Index()
	return &fleet.Change{Config: c}, err
}

// configRow returns the row of a configuration, written at a version of the store.
func configRow(config string, version ident.Version) feed.Row {
	return feed.Row{Key: "config", Value: []byte(config), Version: version}
}

// configState returns a state that has read configuration 1 at version 4 of the store and target t1 at version 5.
func configState(now time.Time) (*State, *sentMessages) {
	s, sent := newSyncedState(now)
	s.cfg.Decoder = configDecoder{}
	r := readingOf(now, Operator, 0, 4, true)
	r.rows.Rows = []feed.Row{configRow("1", 4)}
	s.applyReading(r)
	sent.messages = nil
	return s, sent
}

// Guards against a full reading that was in progress while a peer's newer change was applied, and then takes the kept
// rows back to the older configuration: a VM that starts from these rows serves the old configuration, labelled with
// the newer version, and is never told of the newer one.
func TestOlderFullReadingIsNotApplied(t *testing.T) {
	now := time.Unix(1000, 0)
	s, _ := configState(now)
	s.applyPeerMessage(now, proto.Message{OperatorChange: &proto.OperatorDelta{After: 4, Version: 9, Rows: []feed.Row{configRow("3", 9)}}})
	late := readingOf(now, Operator, 4, 7, true)
	late.rows.Rows = []feed.Row{configRow("2", 7)}
	s.applyReading(late)
	if got := string(s.operatorRows["config"].Value); got != "3" || s.view.Version() != 3 {
		t.Errorf("configuration %d is in force and configuration %s is handed to VMs that start, want 3", s.view.Version(), got)
	}
	s.cfg.OperatorFollower.With(func(f *feed.Follower) {
		if step := f.Next(); !step.Full || step.At.After(now) {
			t.Errorf("next call %+v, want the full reading again at once", step)
		}
	})

	s.applyPeerMessage(now, proto.Message{Registry: &proto.RegistryDelta{After: 5, Version: 9,
		Rows: []fleet.Row{{Entry: fleet.Entry{ID: "t2", Ready: true, Sequence: 9}}}}})
	s.applyReading(readingOf(now, Registry, 5, 7, true, "t1"))
	if got := registered(s, now); !got["t2"] {
		t.Errorf("targets %v: a target that registered while the registry was read in full is missing", got)
	}
}

// Guards against a follower whose known version goes back, so that it applies changes twice or rejects a peer's changes
// that continue what is applied.
func TestFollowerKeepsPeersNewerVersion(t *testing.T) {
	now := time.Unix(1000, 0)
	s, _ := configState(now)
	s.cfg.OperatorFollower.With(func(f *feed.Follower) {
		f.ApplyPeerChanges(now, 4, 9)
		f.RecordResult(now, now, feed.Rows{After: 4, Version: 7}, nil)
		if f.Version() != 9 {
			t.Errorf("known version %d after older changes, want 9", f.Version())
		}
		f.RequestFullRead(now)
		f.RecordResult(now, now, feed.Rows{After: 4, Version: 7, Full: true}, nil)
		if step := f.Next(); !step.Full || step.After != 9 {
			t.Errorf("next call %+v after an older full reading, want a full one that begins at version 9", step)
		}
		f.RecordResult(now, now, feed.Rows{After: 9, Version: 11, Full: true}, nil)
		if f.Version() != 11 {
			t.Errorf("known version %d after a full reading, want 11", f.Version())
		}
	})
}
