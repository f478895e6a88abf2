package fleet

import (
	"testing"

	"github.com/currantpier/currantpier/ident"
)

// Guards against a restarted VM that uses a target that has left, because the registry holds a heartbeat from before, and
// against one that doesn't use a target that has returned.
func TestDeparturesOutliveARestart(t *testing.T) {
	leaving := entry("t0", 5)
	leaving.Ready = false
	restarted := entry("t0", 1)
	restarted.StartedUnixMS = 8
	put := func(e Entry) RegistryUpdate { return RegistryUpdate{Rows: []Row{{Entry: e}}} }
	removed := RegistryUpdate{Rows: []Row{{Entry: Entry{ID: "t0"}, Removed: true}}}
	for _, tt := range []struct {
		name string
		// before holds the readings of another VM, after the first reading of the restarted VM.
		before []RegistryUpdate
		after  RegistryUpdate
		usable bool
	}{
		{"announced departure, registry holds an older heartbeat", []RegistryUpdate{put(entry("t0", 4)), put(leaving)}, put(entry("t0", 4)), false},
		{"announced departure, heartbeats continue", []RegistryUpdate{put(leaving)}, put(entry("t0", 6)), false},
		{"entry removed, same heartbeat written again late", []RegistryUpdate{put(entry("t0", 5)), removed}, put(entry("t0", 5)), false},
		{"entry lapsed, new heartbeat written", []RegistryUpdate{put(entry("t0", 5)), removed}, put(entry("t0", 6)), true},
		{"restarted", []RegistryUpdate{put(leaving), removed}, put(restarted), true},
		{"never left", []RegistryUpdate{put(entry("t0", 4))}, put(entry("t0", 4)), true},
	} {
		for _, storeFirst := range []bool{true, false} {
			t.Run(tt.name, func(t *testing.T) {
				old := NewView()
				for i, r := range tt.before {
					old.Apply(at(float64(i)), r)
				}
				now := at(10)
				v := NewView()
				tt.after.Full = true
				if storeFirst {
					v.Apply(now, tt.after)
				}
				v.ApplyDepartures(now, old.Departures(now))
				if !storeFirst {
					v.Apply(now, tt.after)
				}
				if got := usable(v, now)[ident.Target("t0")]; got != tt.usable {
					t.Errorf("usable: %v, want %v (store first: %v)", got, tt.usable, storeFirst)
				}
			})
		}
	}
}

// Guards against departures that are kept beyond removedRetention.
func TestDeparturesExpire(t *testing.T) {
	v := NewView()
	e := entry("t0", 5)
	v.ApplyDepartures(at(0), []Row{{Entry: e, Removed: true}})
	v.Tick(at(removedRetention.Seconds() + 1))
	if got := v.Departures(at(removedRetention.Seconds() + 1)); len(got) != 0 {
		t.Errorf("%d departures were kept beyond their retention", len(got))
	}
}
