package fleet

import (
	"testing"
	"time"
)

// Guards against a target that is taken for warm although its process has ended, and against one that stays cold after it has said
// otherwise.
func TestRecordCold(t *testing.T) {
	start := time.Unix(1000, 0)
	entry := Entry{ID: "t", Service: "s", Address: "10.0.0.1:80", Ready: true, Sequence: 4, StartedUnixMS: 900}
	assumed := ColdReport{ID: "t", StartedUnixMS: 900, Left: 3 * time.Second, Assumed: true}
	stated := ColdReport{ID: "t", StartedUnixMS: 900, Left: 2 * time.Second}
	statedShort, assumedShort := stated, assumed
	statedShort.Left, assumedShort.Left = 400*time.Millisecond, time.Second
	warm := ColdReport{ID: "t", StartedUnixMS: 900}
	restarted := entry
	restarted.StartedUnixMS, restarted.Sequence, restarted.WarmupLeft = 905, 1, time.Second
	next := entry
	next.Sequence++
	for _, tt := range []struct {
		name    string
		reports []ColdReport
		// after is the time at which entry, if any, is read.
		after time.Duration
		entry *Entry
		// left is the warm-up that is left then.
		left    time.Duration
		assumed bool
	}{
		{"assumed", []ColdReport{assumed}, 0, nil, 3 * time.Second, true},
		{"stated after that", []ColdReport{assumed, stated}, 0, nil, 2 * time.Second, false},
		{"assumed after that", []ColdReport{stated, assumed}, 0, nil, 3 * time.Second, true},
		{"assumed for less", []ColdReport{stated, assumedShort}, 0, nil, 2 * time.Second, false},
		{"assumed, after the stated end", []ColdReport{statedShort, assumed}, 500 * time.Millisecond, nil, 2500 * time.Millisecond, true},
		{"warm after that", []ColdReport{assumed, warm}, 0, nil, 0, false},
		{"warm, but stated otherwise", []ColdReport{stated, warm}, 0, nil, 2 * time.Second, false},
		{"heartbeat from before", []ColdReport{assumed}, time.Second, &next, 2 * time.Second, true},
		{"heartbeat from after", []ColdReport{assumed}, maxHeartbeatAge, &next, 0, false},
		{"same entry again", []ColdReport{assumed}, maxHeartbeatAge, &entry, 500 * time.Millisecond, true},
		{"new process", []ColdReport{assumed}, time.Second, &restarted, time.Second, false},
	} {
		v := NewView()
		v.Apply(start, RegistryUpdate{Full: true, Rows: []Row{{Entry: entry}}})
		for _, c := range tt.reports {
			v.RecordCold(start, c)
		}
		now := start.Add(tt.after)
		if tt.entry != nil {
			v.Apply(now, RegistryUpdate{Rows: []Row{{Entry: *tt.entry}}})
		}
		s := v.Snapshot(now)
		got := s.Targets["s"][0]
		if left := max(got.ColdUntil.Sub(now), 0); left != tt.left || got.ColdAssumed != tt.assumed || (s.AssumedCold == 1) != tt.assumed {
			t.Errorf("%s: cold for %v, assumed %v of %d; want %v, %v", tt.name, left, got.ColdAssumed, s.AssumedCold, tt.left, tt.assumed)
		}
	}
}

// Guards against an assumption in another VM's state that is taken for the target's own statement: the target then stays cold after it
// has said otherwise. A VM that has just started learns of the assumption from such a state alone.
func TestPeerStateKeepsAssumption(t *testing.T) {
	now := time.Unix(1000, 0)
	entry := Entry{ID: "t", Service: "s", Address: "10.0.0.1:80", Ready: true, Sequence: 4, StartedUnixMS: 900}
	assumed := ColdReport{ID: "t", StartedUnixMS: 900, Left: 10 * time.Second, Assumed: true}
	teller, told, started := NewView(), NewView(), NewView()
	for _, v := range []*View{teller, told} {
		v.Apply(now, RegistryUpdate{Full: true, Rows: []Row{{Entry: entry}}})
		v.RecordCold(now, assumed)
	}
	for name, v := range map[string]*View{"told before": told, "started": started} {
		at := now.Add(50 * time.Millisecond)
		v.Apply(at, RegistryUpdate{Full: true, Rows: []Row{{Entry: teller.Registered(at)["t"]}}})
		s := v.Snapshot(at)
		if got := s.Targets["s"][0]; !got.ColdUntil.Equal(now.Add(10*time.Second)) || !got.ColdAssumed || s.AssumedCold != 1 || got.Entry != entry {
			t.Errorf("%s: %+v, %d to ask; want the entry as it was, cold by assumption", name, got, s.AssumedCold)
		}
		if !v.RecordCold(at, ColdReport{ID: "t", StartedUnixMS: 900}) || at.Before(v.Snapshot(at).Targets["s"][0].ColdUntil) {
			t.Errorf("%s: cold after the target has said that it is warm", name)
		}
	}
}

// Guards against one VM that keeps a live target cold for all, since a box on its path refuses its connections. The target writes a
// heartbeat each second; this VM is refused every 0.7 s, and the other learns only what this one reports to all.
func TestRefusalsOfOneVMAreItsOwn(t *testing.T) {
	start := time.Unix(1000, 0)
	entry := Entry{ID: "t", Service: "s", Address: "10.0.0.1:80", Ready: true, Sequence: 4, StartedUnixMS: 900}
	refused := ColdReport{ID: "t", StartedUnixMS: 900, Left: 3 * time.Second, Assumed: true, Refused: true}
	here, other := NewView(), NewView()
	cold := func(v *View, now time.Time) bool { return now.Before(v.Snapshot(now).Targets["s"][0].ColdUntil) }
	coldHere, coldThere := 0, 0
	for ms := 0; ms < 60000; ms += 100 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		if ms%1000 == 0 {
			entry.Sequence++
			for _, v := range []*View{here, other} {
				v.Apply(now, RegistryUpdate{Rows: []Row{{Entry: entry}}})
			}
		}
		if ms%700 == 100 {
			if news, _ := here.RecordOwnCold(now, refused); news {
				other.RecordCold(now, refused)
			}
		}
		if cold(here, now) {
			coldHere++
		}
		if cold(other, now) {
			coldThere++
		}
	}
	if coldThere > 40 || coldHere < 550 {
		t.Errorf("of 600 steps, cold in %d for the other VM and %d for this one; want 40 at most and 550 or more", coldThere, coldHere)
	}
	now := start.Add(time.Minute)
	if e := here.Registered(now)["t"]; e.WarmupLeft != 0 || e.Assumed {
		t.Errorf("others are told that the target is cold: %+v", e)
	}
	if !here.RecordCold(now, refused) || !here.Snapshot(now).Targets["s"][0].ColdAssumed {
		t.Error("the report of another VM doesn't count")
	}
	entry.Sequence, entry.StartedUnixMS, refused.StartedUnixMS = 1, 905, 905
	here.Apply(now, RegistryUpdate{Rows: []Row{{Entry: entry}}})
	if cold(here, now) {
		t.Error("a new process is taken for cold")
	}
	if news, _ := here.RecordOwnCold(now, refused); !news {
		t.Error("the end of a new process isn't reported")
	}
}

// Guards against a target whose end this VM no longer reports, long after its connections were refused by something else; and against
// answers that are late by load, which are disproved each time, that aren't reported again.
func TestPathFaultEnds(t *testing.T) {
	start := time.Unix(1000, 0)
	entry := Entry{ID: "t", Service: "s", Address: "10.0.0.1:80", Ready: true, Sequence: 4, StartedUnixMS: 900}
	for _, tt := range []struct {
		name    string
		refused bool
		after   time.Duration
		news    bool
	}{
		{"refused", true, time.Second, false},
		{"refused, long after", true, pathFaultPeriod + time.Second, true},
		{"answer late", false, time.Second, true},
	} {
		c := ColdReport{ID: "t", StartedUnixMS: 900, Left: 3 * time.Second, Assumed: true, Refused: tt.refused}
		v := NewView()
		v.Apply(start, RegistryUpdate{Full: true, Rows: []Row{{Entry: entry}}})
		v.RecordOwnCold(start, c)
		v.RecordOwnCold(start, ColdReport{ID: "t", StartedUnixMS: 900})
		if news, changed := v.RecordOwnCold(start.Add(tt.after), c); news != tt.news || !changed {
			t.Errorf("%s: news for all %v, a change here %v; want %v and true", tt.name, news, changed, tt.news)
		}
	}
}
