package pick

import (
	"testing"
	"time"

	"github.com/currantpier/currantpier/fleet"
)

// The entries of a target have no start time, and its heartbeats alone lead to no new snapshot. Guards against an announcement that
// outlasts a restart because the snapshots show no lower sequence: the picker knows a sequence of long before, and the first one of the
// new process that the view takes is higher.
func TestRestartWithoutStartTimeEndsAnnouncement(t *testing.T) {
	p, v := New("vm", here), fleet.NewView()
	e := oneRegion(1).Targets["s"][0].Entry
	e.StartedUnixMS = 0
	// apply does what the daemon does with a reading of the registry.
	apply := func(now time.Time, sequence uint64) {
		e.Sequence = sequence
		if changed := v.Apply(now, fleet.RegistryUpdate{Rows: []fleet.Row{{Entry: e}}}); len(changed) > 0 {
			p.SetTargets(now, v.Snapshot(now))
		}
	}
	now := start
	for sequence := range uint64(30) {
		now = now.Add(time.Second)
		apply(now, sequence+1)
	}
	c, reason := p.Choose(now, request(now, "k"))
	if reason != Chosen || !p.RecordLeaving(now, &c.Target) {
		t.Fatal(reason)
	}
	for sequence := range uint64(10) {
		now = now.Add(time.Second)
		apply(now, sequence+1)
	}
	if _, reason := p.Choose(now, request(now, "k")); reason != Chosen {
		t.Errorf("10 s after the restart: %v, want %v", reason, Chosen)
	}
}
