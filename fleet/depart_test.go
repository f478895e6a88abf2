package fleet

import (
	"testing"

	"github.com/currantpier/currantpier/ident"
)

// Each case guards against a VM that was restarted and uses a target again that it had seen leave, since a heartbeat from
// before stands in the registry, or that keeps a target out that has come back.
func TestDeparturesOutliveARestart(t *testing.T) {
	leaving := entry("t0", 5)
	leaving.Ready = false
	reborn := entry("t0", 1)
	reborn.Born = 8
	put := func(e Entry) Reading { return Reading{Rows: []Row{{Entry: e}}} }
	gone := Reading{Rows: []Row{{Entry: Entry{ID: "t0"}, Removed: true}}}
	for _, tt := range []struct {
		name string
		// before is what the others have read, after what the restarted VM reads from the registry.
		before []Reading
		after  Reading
		usable bool
	}{
		{"said that it leaves, an older heartbeat stands there", []Reading{put(entry("t0", 4)), put(leaving)}, put(entry("t0", 4)), false},
		{"said that it leaves, heartbeats go on", []Reading{put(leaving)}, put(entry("t0", 6)), false},
		{"its entry is gone and came back late", []Reading{put(entry("t0", 5)), gone}, put(entry("t0", 5)), false},
		{"its entry lapsed and it writes again", []Reading{put(entry("t0", 5)), gone}, put(entry("t0", 6)), true},
		{"it started anew", []Reading{put(leaving), gone}, put(reborn), true},
		{"it never left", []Reading{put(entry("t0", 4))}, put(entry("t0", 4)), true},
	} {
		for _, storeFirst := range []bool{true, false} {
			t.Run(tt.name, func(t *testing.T) {
				old := NewView()
				for i, r := range tt.before {
					old.Apply(at(float64(i)), r)
				}
				now := at(10)
				v := NewView()
				tt.after.Whole = true
				if storeFirst {
					v.Apply(now, tt.after)
				}
				v.Depart(now, old.Departures(now))
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

// Guards against departures that are remembered for ever.
func TestDeparturesAreForgotten(t *testing.T) {
	v := NewView()
	e := entry("t0", 5)
	v.Depart(at(0), []Row{{Entry: e, Removed: true}})
	v.Tick(at(memory.Seconds() + 1))
	if got := v.Departures(at(memory.Seconds() + 1)); len(got) != 0 {
		t.Errorf("%d departures are still known", len(got))
	}
}
