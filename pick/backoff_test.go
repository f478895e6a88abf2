package pick

import (
	"fmt"
	"testing"
	"time"

	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/ident"
)

// Forty targets take requests of ten VMs, and a third of them asks every VM for a time without requests. Guards against a request
// that reaches such a target before the end of that time, against VMs that return to it at the same instant, and against a target
// that never gets requests again.
func TestThirdOfTargetsAskForTime(t *testing.T) {
	const vms, targets, step = 10, 40, 5 * time.Millisecond
	s := oneRegion(targets)
	names := make([]ident.VM, vms)
	for i := range names {
		names[i] = ident.VM(fmt.Sprint("vm", i))
	}
	pickers := make([]*Picker, vms)
	for i := range pickers {
		pickers[i] = New(names[i], here)
		pickers[i].SetVMs(names, true)
		pickers[i].SetTargets(start, s)
	}
	until := map[ident.Target]time.Time{}
	for i := 0; i < targets; i += 3 {
		tg := s.Targets["s"][i]
		d := time.Duration(500+100*i) * time.Millisecond
		until[tg.ID] = at(d)
		resumes := map[time.Time]bool{}
		for _, p := range pickers {
			_, resumeAt, ok := p.RecordBackOff(start, &tg, d)
			if !ok || resumeAt.Before(at(d)) {
				t.Fatalf("%s: resumes at %v, asked until %v", tg.ID, resumeAt, at(d))
			}
			resumes[resumeAt] = true
		}
		if len(resumes) != vms {
			t.Errorf("%s: %d VMs return at %d times", tg.ID, vms, len(resumes))
		}
	}
	served := map[ident.Target]map[int]bool{}
	type sent struct {
		p    *Picker
		a    Request
		c    Choice
		ends time.Time
	}
	var open []sent
	for now := start; now.Before(at(9 * time.Second)); now = now.Add(step) {
		for len(open) > 0 && !open[0].ends.After(now) {
			x := open[0]
			open = open[1:]
			x.p.RecordEnd(now, x.a, x.c, Outcome{Result: Served, Status: 200, Duration: 50 * time.Millisecond})
		}
		for i, p := range pickers {
			if now.Sub(start)%time.Second == 0 {
				p.SetTargets(now, s) // a new snapshot must not end the time
			}
			a := request(now, fmt.Sprint(i, now.Sub(start))) // each object is new, so that hashing alone distributes them
			c, reason := p.Choose(now, a)
			if reason != Chosen {
				t.Fatalf("%v with targets left", reason)
			}
			p.RecordStart(now, a, c)
			open = append(open, sent{p, a, c, now.Add(50 * time.Millisecond)})
			id := c.Target.ID
			end, asked := until[id]
			if !asked {
				continue
			}
			if now.Before(end) {
				t.Fatalf("%s gets a request %v before the end of its time", id, end.Sub(now))
			}
			if served[id] == nil {
				served[id] = map[int]bool{}
			}
			served[id][i] = true
		}
	}
	for id := range until {
		if len(served[id]) != vms {
			t.Errorf("%s gets requests of %d of %d VMs again", id, len(served[id]), vms)
		}
	}
}

// Guards against a VM that returns with its full load at once.
func TestReturnIsGradual(t *testing.T) {
	for _, tt := range []struct {
		after time.Duration
		want  int
	}{{-1, 0}, {0, 1}, {resumeRamp / 4, 2}, {resumeRamp / 2, 3}, {resumeRamp, 20}} {
		p, s := New("vm", here), oneRegion(1)
		p.SetTargets(start, s)
		_, resumeAt, _ := p.RecordBackOff(start, &s.Targets["s"][0], 3*time.Second)
		now, n := resumeAt.Add(tt.after), 0
		for range 20 {
			a := request(now, "k")
			if c, reason := p.Choose(now, a); reason == Chosen {
				p.RecordStart(now, a, c)
				n++
			}
		}
		if n != tt.want {
			t.Errorf("%v after the end: %d of 20 requests at once, want %d", tt.after, n, tt.want)
		}
	}
}

// Guards against a shorter time that ends a longer one, and against a time that outlasts a restart or ends with a snapshot that
// lacks the target.
func TestLatestEndOfBackOffCounts(t *testing.T) {
	p, s := New("vm", here), oneRegion(1)
	tg := &s.Targets["s"][0]
	p.SetTargets(start, s)
	said := *tg
	p.RecordBackOff(start, &said, 3*time.Second)
	if _, _, ok := p.RecordBackOff(at(time.Second), &said, time.Second); ok {
		t.Error("a shorter time replaces a longer one")
	}
	until, resumeAt, ok := p.RecordBackOff(at(time.Second), &said, 4*time.Second)
	if !ok || until != at(5*time.Second) || resumeAt.After(until.Add(resumeGap)) {
		t.Errorf("a later end: until %v, resumes at %v, %v", until, resumeAt, ok)
	}
	p.SetTargets(at(2*time.Second), &fleet.Snapshot{})
	p.SetTargets(at(3*time.Second), s)
	a := request(at(3*time.Second), "k")
	if _, reason := p.Choose(at(3*time.Second), a); reason != BackedOff || !p.BackedOff(at(3*time.Second), tg) {
		t.Errorf("after a snapshot without the target: %v", reason)
	}
	if got := p.EarliestReturn(at(3*time.Second), a); got != resumeAt {
		t.Errorf("earliest return %v, want %v", got, resumeAt)
	}
	if _, reason := p.Choose(resumeAt, request(resumeAt, "k")); reason != Chosen {
		t.Errorf("at its end: %v", reason)
	}
	p.SetTargets(resumeAt.Add(resumeRamp), s)
	if len(p.Notices()) != 0 {
		t.Errorf("left over: %+v", p.Notices())
	}
	p.RecordBackOff(at(time.Hour), tg, time.Minute)
	tg.StartedUnixMS = at(time.Hour + 10*time.Second).UnixMilli()
	now := at(time.Hour + 20*time.Second)
	p.SetTargets(now, s)
	if _, reason := p.Choose(now, request(now, "k")); reason != Chosen {
		t.Errorf("after a restart: %v", reason)
	}
	p.RecordBackOff(now, &said, time.Hour)
	if p.BackedOff(now, tg) {
		t.Error("a response of the process before the restart counts")
	}
	p.RecordBackOff(now, tg, time.Second)
	p.RecordBackOff(now, &said, time.Hour)
	if now = now.Add(2 * time.Second); p.BackedOff(now, tg) {
		t.Error("a response of the process before the restart prolongs the time of the one after it")
	}
	tg.StartedUnixMS, tg.Sequence = 0, 7
	p, now = New("vm", here), start
	p.SetTargets(now, s)
	p.RecordBackOff(now, tg, time.Hour)
	tg.Sequence = 1
	p.SetTargets(now, s)
	if p.BackedOff(now, tg) {
		t.Error("without a start time: the time outlasts a restart")
	}
}

// Guards against a time to wait that isn't the earliest at which a target takes the request again, that counts targets to which it may
// not go, or that is stated although a target is left, and against a request that leaves its route's regions because all targets there
// have asked for time.
func TestEarliestReturn(t *testing.T) {
	asked := map[string]time.Duration{"a0": 20 * time.Second, "a1": 10 * time.Second, "b0": 5 * time.Second, "b1": 30 * time.Second}
	for _, tt := range []struct {
		name    string
		regions []ident.Region // of the route
		leaving string
		free    string
		want    string // the target that returns first
	}{
		{"all", nil, "", "", "b0"},
		{"a route with one region", []ident.Region{"a"}, "", "", "a1"},
		{"the first one is leaving", []ident.Region{"a"}, "a1", "", "a0"},
		{"one has asked for no time", nil, "", "b1", ""},
		{"one without time in a region that the route excludes", []ident.Region{"a"}, "", "b1", "a1"},
	} {
		p, s := New("vm", here), snapshot(2, 10)
		s.Targets["s"] = s.Targets["s"][:4]
		p.SetTargets(start, s)
		returns := map[string]time.Time{}
		for _, tg := range s.Targets["s"] {
			switch id := string(tg.ID); id {
			case tt.leaving:
				p.RecordLeaving(start, &tg)
			case tt.free:
			default:
				_, returns[id], _ = p.RecordBackOff(start, &tg, asked[id])
			}
		}
		a := request(start, "k")
		a.Route = &fleet.Route{Name: "r", Services: route.Services, Regions: tt.regions}
		if got := p.EarliestReturn(start, a); !got.Equal(returns[tt.want]) {
			t.Errorf("%s: %v, want that of %q, %v", tt.name, got, tt.want, returns[tt.want])
		}
		if c, reason := p.Choose(start, a); tt.want != "" && reason != BackedOff {
			t.Errorf("%s: %v, %q, want %v", tt.name, reason, c.Target.ID, BackedOff)
		}
	}
}

// Guards against a large fleet that leaves a target idle for longer than maxResumeSpread.
func TestReturnOfLargeFleetIsBounded(t *testing.T) {
	p, s := New("vm", here), oneRegion(40)
	vms := make([]ident.VM, 3200)
	for i := range vms {
		vms[i] = ident.VM(fmt.Sprint(i))
	}
	p.SetVMs(vms, true)
	p.SetTargets(start, s)
	for _, tg := range s.Targets["s"] {
		if until, resumeAt, _ := p.RecordBackOff(start, &tg, time.Second); resumeAt.Sub(until) > maxResumeSpread {
			t.Errorf("%s: returns %v after the end", tg.ID, resumeAt.Sub(until))
		}
	}
}

// A VM's region has no target of a service. Guards against the limit on moves between regions for its requests because targets of
// another region, or of another service in the VM's region, have asked for time.
func TestBackOffElsewhereDoesNotLimitMoves(t *testing.T) {
	p, s := New("vm", here), snapshot(5, 10)
	s.Targets["other"] = s.Targets["s"][:1]
	s.Targets["s"] = s.Targets["s"][5:]
	p.SetTargets(start, s)
	for _, tg := range append(s.Targets["s"][:5:5], s.Targets["other"]...) {
		p.RecordBackOff(start, &tg, time.Minute)
	}
	for i := range 200 {
		now := at(time.Duration(i) * 5 * time.Millisecond)
		other := request(now, "")
		other.Service = "other"
		if _, reason := p.Choose(now, other); reason != BackedOff {
			t.Fatalf("the only target of the service has asked for time: %v", reason)
		}
		a := request(now, "")
		c, reason := p.Choose(now, a)
		if reason != Chosen || c.Target.Place.Region != "c" {
			t.Fatalf("request %d: %v, region %q", i, reason, c.Target.Place.Region)
		}
		p.RecordStart(now, a, c)
		p.RecordEnd(now, a, c, Outcome{Result: Served, Status: 200, Duration: 50 * time.Millisecond})
	}
}

// All targets of a VM's region ask for time. Guards against its requests changing the region all at once: like overload, this
// doesn't lift the limit on moves between regions.
func TestBackOffMovesRegionsSlowly(t *testing.T) {
	p, s := New("vm", here), snapshot(5, 10)
	p.SetTargets(start, s)
	for _, tg := range s.Targets["s"] {
		if tg.Place.Region == "a" {
			p.RecordBackOff(start, &tg, 10*time.Second)
		}
	}
	moved, refused := 0, 0
	for i := range 200 {
		now := at(time.Duration(i) * 5 * time.Millisecond)
		a := request(now, "")
		switch c, reason := p.Choose(now, a); reason {
		case Chosen:
			moved++
			p.RecordStart(now, a, c)
			p.RecordEnd(now, a, c, Outcome{Result: Served, Status: 200, Duration: 50 * time.Millisecond})
		case RegionLimit:
			refused++
		default:
			t.Fatal(reason)
		}
	}
	if moved > 40 || refused == 0 {
		t.Errorf("%d of 200 requests left the region within a second, %d refused", moved, refused)
	}
}

// A target starts anew under its id, and asks a VM for time that doesn't know its new entry yet. Guards against requests within that
// time once the entry arrives, against a time that outlasts the process that asked for it, and against an announcement that does.
func TestBackOffOfRestartedTarget(t *testing.T) {
	for _, tt := range []struct {
		name    string
		started time.Duration // from the response to the start of the process of the new entry
		want    Reason
	}{
		{"started before the response", -500 * time.Millisecond, BackedOff},
		{"at the same time by a clock that is ahead", maxClockError, BackedOff},
		{"started after the response", maxClockError + time.Millisecond, Chosen},
	} {
		p, s := New("vm", here), oneRegion(1)
		tg := &s.Targets["s"][0]
		p.SetTargets(start, s)
		said := *tg
		p.RecordLeaving(start, &said)
		_, resumeAt, _ := p.RecordBackOff(start, &said, 30*time.Second)
		tg.StartedUnixMS, tg.Sequence = at(tt.started).UnixMilli(), 1
		now := at(5 * time.Second)
		p.SetTargets(now, s)
		if _, reason := p.Choose(now, request(now, "k")); reason != tt.want || p.BackedOff(now, tg) != (tt.want == BackedOff) || p.Leaving(tg) {
			t.Errorf("%s: %v, want %v; leaving: %v", tt.name, reason, tt.want, p.Leaving(tg))
		}
		if _, reason := p.Choose(resumeAt, request(resumeAt, "k")); reason != Chosen {
			t.Errorf("%s: after the end: %v", tt.name, reason)
		}
	}
}
