package pick

import (
	"fmt"
	"testing"
	"time"

	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/ident"
)

// oneRegion returns a snapshot with n targets of one region, started at 1000 ms.
func oneRegion(n int) *fleet.Snapshot {
	s := &fleet.Snapshot{Targets: map[ident.Service][]fleet.Target{}}
	for i := range n {
		s.Targets["s"] = append(s.Targets["s"], fleet.Target{Entry: fleet.Entry{
			ID: ident.Target(fmt.Sprintf("t%02d", i)), Service: "s", Slots: 4, Place: here, Ready: true, StartedUnixMS: 1000, Sequence: 7}})
	}
	return s
}

// A service of forty targets leaves one by one under load, while the registry still lists all of them as ready. Guards against
// requests to a target after its announcement, against a snapshot that is published anew and loses it, and against another reason
// than the true one once no target is left.
func TestServiceLeavesOneByOne(t *testing.T) {
	p, s := New("vm", here), oneRegion(40)
	p.SetTargets(start, s)
	left := map[ident.Target]bool{}
	for i, tg := range s.Targets["s"] {
		now := at(time.Duration(i) * 100 * time.Millisecond)
		if !p.RecordLeaving(now, &tg) || p.RecordLeaving(now, &tg) {
			t.Fatal("not exactly the first announcement is news")
		}
		left[tg.ID] = true
		if i%2 == 0 {
			p.SetTargets(now, s)
		}
		for n := range 200 {
			a := request(now, fmt.Sprint(n%50))
			c, reason := p.Choose(now, a)
			if len(left) == 40 {
				if reason != AllLeaving {
					t.Fatalf("all targets are leaving: %v", reason)
				}
				continue
			}
			if reason != Chosen || left[c.Target.ID] {
				t.Fatalf("%d of 40 targets are leaving: %v, chose %s", len(left), reason, c.Target.ID)
			}
			p.RecordStart(now, a, c)
			p.RecordEnd(now, a, c, Outcome{Result: Served, Status: 200, Duration: 50 * time.Millisecond})
		}
	}
}

// Guards against an announcement that ends by time, by an older row or by the return of the same process, and against one that
// outlasts a restart.
func TestAnnouncementEndsWithRestart(t *testing.T) {
	type entry struct {
		started  int64
		sequence uint64
		address  string
	}
	for _, tt := range []struct {
		name       string
		said, next entry
		withdrawn  bool
		want       Reason
	}{
		{"a later heartbeat", entry{1000, 7, "h:1"}, entry{1000, 9, "h:1"}, false, AllLeaving},
		{"an older row", entry{1000, 7, "h:1"}, entry{900, 30, "h:1"}, false, AllLeaving},
		{"withdrawn and written again", entry{1000, 7, "h:1"}, entry{1000, 7, "h:1"}, true, AllLeaving},
		{"a restart", entry{1000, 7, "h:1"}, entry{1001, 1, "h:1"}, false, Chosen},
		{"withdrawn and restarted", entry{1000, 7, "h:1"}, entry{2000, 1, "h:1"}, true, Chosen},
		{"no start time, a later heartbeat", entry{0, 7, "h:1"}, entry{0, 8, "h:1"}, true, AllLeaving},
		{"no start time, a restart", entry{0, 7, "h:1"}, entry{0, 1, "h:1"}, false, Chosen},
		{"no start time, a restart with the same sequence at another address", entry{0, 7, "h:1"}, entry{0, 7, "h:2"}, true, Chosen},
		{"a later heartbeat with another address", entry{1000, 7, "h:1"}, entry{1000, 9, "h:2"}, false, AllLeaving},
	} {
		p, s := New("vm", here), oneRegion(1)
		tg := &s.Targets["s"][0]
		tg.StartedUnixMS, tg.Sequence, tg.Address = tt.said.started, tt.said.sequence, tt.said.address
		p.SetTargets(start, s)
		said := *tg
		p.RecordLeaving(start, &said)
		if tt.withdrawn {
			p.SetTargets(at(time.Hour), &fleet.Snapshot{})
		}
		tg.StartedUnixMS, tg.Sequence, tg.Address = tt.next.started, tt.next.sequence, tt.next.address
		p.SetTargets(at(2*time.Hour), s)
		if _, reason := p.Choose(at(2*time.Hour), request(at(2*time.Hour), "k")); reason != tt.want {
			t.Errorf("%s: %v, want %v", tt.name, reason, tt.want)
		}
		// A response of the process before the restart may still arrive.
		known := tt.next.started > 0 || tt.next.address != tt.said.address
		if tt.want == Chosen && known && (p.RecordLeaving(at(2*time.Hour), &said) || p.Leaving(tg)) {
			t.Errorf("%s: a response of the process before the restart counts", tt.name)
		}
	}
}

// Guards against memory that grows with each target that has left, and against dropping the announcement of one that is still
// registered.
func TestAnnouncementsAreBounded(t *testing.T) {
	p, s := New("vm", here), oneRegion(1)
	p.SetTargets(start, s)
	p.RecordLeaving(start, &s.Targets["s"][0])
	for i := range maxUnregisteredNotices + 100 {
		p.RecordLeaving(at(time.Duration(i)*time.Second), &fleet.Target{Entry: fleet.Entry{ID: ident.Target(fmt.Sprint(i)), StartedUnixMS: 1}})
	}
	if n := len(p.Notices()); n != maxUnregisteredNotices+1 || !p.Leaving(&s.Targets["s"][0]) {
		t.Errorf("%d notices, the registered target's kept: %v", n, p.Leaving(&s.Targets["s"][0]))
	}
	for i, want := range map[int]bool{0: false, 99: false, 100: true, maxUnregisteredNotices + 99: true} {
		if got := p.notices[ident.Target(fmt.Sprint(i))] != nil; got != want {
			t.Errorf("the announcement of target %d in order of time is kept: %v", i, got)
		}
	}
}

// The entries of a target have no start time, and its sequence begins again at more than the one with which it announced that it is
// leaving. Guards against an announcement that outlasts the restart because later heartbeats weren't recorded.
func TestRestartIsSeenAfterFurtherHeartbeats(t *testing.T) {
	p, s := New("vm", here), oneRegion(1)
	tg := &s.Targets["s"][0]
	tg.StartedUnixMS = 0
	p.SetTargets(start, s)
	p.RecordLeaving(start, tg)
	for _, tt := range []struct {
		sequence uint64
		want     Reason
	}{{30, AllLeaving}, {10, Chosen}} {
		tg.Sequence = tt.sequence
		p.SetTargets(start, s)
		if _, reason := p.Choose(start, request(start, "k")); reason != tt.want {
			t.Errorf("sequence %d: %v, want %v", tt.sequence, reason, tt.want)
		}
	}
}

// The entries of a target have no start time. Guards against a request that was chosen by an earlier heartbeat and not yet written,
// and against a late response to such a request that replaces what the target has said since.
func TestNoticeHoldsForEarlierHeartbeats(t *testing.T) {
	p, s := New("vm", here), oneRegion(1)
	tg := &s.Targets["s"][0]
	tg.StartedUnixMS = 0
	p.SetTargets(start, s)
	chosen := *tg
	p.RecordBackOff(start, &chosen, 40*time.Second)
	tg.Sequence++
	p.SetTargets(at(time.Second), s)
	if !p.BackedOff(at(time.Second), &chosen) {
		t.Error("a request chosen before the heartbeat may be written within the time")
	}
	p.RecordBackOff(at(time.Second), &chosen, time.Second)
	if now := at(10 * time.Second); !p.BackedOff(now, tg) {
		t.Error("a late response with a shorter time ends the longer one")
	}
	p.RecordLeaving(at(10*time.Second), tg)
	tg.Sequence++
	p.SetTargets(at(11*time.Second), s)
	if !p.Leaving(&chosen) || p.RecordLeaving(at(11*time.Second), &chosen) {
		t.Error("a request chosen before the heartbeat may be written to a leaving target, or its response is news")
	}
}
