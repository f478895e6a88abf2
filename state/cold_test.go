package state

import (
	"context"
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/currantpier/currantpier/carry"
	"github.com/currantpier/currantpier/feed"
	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/peers"
	"github.com/currantpier/currantpier/proto"
)

// A target becomes cold while the registry can't be read. Guards against requests at the rate of a warm target: by the VM that
// asked the target, by those that it tells, and by a heartbeat from before.
func TestColdReport(t *testing.T) {
	now := time.Unix(1000, 0)
	s, sent := newTestState(now)
	entry := fleet.Entry{ID: "t", Service: "s", Address: "10.0.0.1:80", Ready: true, Sequence: 4, StartedUnixMS: 900}
	s.view.Apply(now, fleet.RegistryUpdate{Full: true, Rows: []fleet.Row{{Entry: entry}}})
	coldUntil := func() time.Time { return s.view.Snapshot(now).Targets["s"][0].ColdUntil }

	report := fleet.ColdReport{ID: "t", StartedUnixMS: 900, Left: 3 * time.Second}
	s.collectedCold = []fleet.ColdReport{report}
	if !s.applyOwnColdReports(now) || !coldUntil().Equal(now.Add(3*time.Second)) {
		t.Fatalf("cold until %v, want %v", coldUntil(), now.Add(3*time.Second))
	}
	messages := sent.messages
	if len(messages) != 1 || len(messages[0].Cold) != 1 || messages[0].Cold[0] != report {
		t.Fatalf("the other VMs got %+v, want the report once", messages)
	}
	s.collectedCold = []fleet.ColdReport{report}
	if s.applyOwnColdReports(now) || len(sent.messages) != 1 {
		t.Error("a report that is no news was sent again")
	}
	s.view.Apply(now, fleet.RegistryUpdate{Rows: []fleet.Row{{Entry: entry}}})
	if !coldUntil().Equal(now.Add(3 * time.Second)) {
		t.Errorf("after a heartbeat from before, cold until %v", coldUntil())
	}

	other, _ := newTestState(now)
	other.view.Apply(now, fleet.RegistryUpdate{Full: true, Rows: []fleet.Row{{Entry: entry}}})
	if !other.applyPeerMessage(now, messages[0]) || !other.view.Snapshot(now).Targets["s"][0].ColdUntil.Equal(now.Add(3*time.Second)) {
		t.Error("the VM that was told takes the target for warm")
	}
	restarted := entry
	restarted.StartedUnixMS = 901
	other.view.Apply(now, fleet.RegistryUpdate{Full: true, Rows: []fleet.Row{{Entry: restarted}}})
	if other.applyPeerMessage(now, messages[0]) {
		t.Error("the report of an earlier process of the target was applied")
	}
}

// Guards against health requests to all targets in each calm second, and none once the registry can't be read: only what brings
// rows counts as a reading.
func TestRegistryConfirmed(t *testing.T) {
	now := time.Unix(1000, 0)
	s, _ := newTestState(now)
	at := func(d time.Duration) time.Time { return now.Add(d) }
	for _, tt := range []struct {
		name string
		r    reading
		want time.Time
	}{
		{"read", reading{at: at(1), topic: Registry}, at(1)},
		{"failed", reading{at: at(2), topic: Registry, err: errUnreachable}, at(1)},
		{"other table", reading{at: at(3), topic: Operator}, at(1)},
		{"history dropped", reading{at: at(4), topic: Registry, rows: feed.Rows{Compacted: true}}, at(1)},
		{"read again", reading{at: at(5), topic: Registry}, at(5)},
	} {
		s.recordReachability(tt.r)
		if got := s.RegistryConfirmed(); !got.Equal(tt.want) {
			t.Errorf("%s: confirmed at %v, want %v", tt.name, got, tt.want)
		}
	}
}

// Guards against a reader's delta that turns an assumption into the target's own statement: nobody asks the target then, and it counts as
// warm when the warm-up ends, though it is still down.
func TestDeltaKeepsAssumption(t *testing.T) {
	now := time.Unix(1000, 0)
	entry := fleet.Entry{ID: "t", Service: "s", Address: "10.0.0.1:80", Ready: true, Sequence: 4, StartedUnixMS: 900}
	assumed := fleet.ColdReport{ID: "t", StartedUnixMS: 900, Left: 3 * time.Second, Assumed: true}
	reader, other := fleet.NewView(), fleet.NewView()
	var g groupState
	for _, v := range []*fleet.View{reader, other} {
		v.Apply(now, fleet.RegistryUpdate{Full: true, Rows: []fleet.Row{{Entry: entry}}})
	}
	g.nextDelta(now, reader, nil)
	for _, v := range []*fleet.View{reader, other} {
		v.RecordCold(now, assumed)
	}
	at := now.Add(500 * time.Millisecond)
	rows := g.nextDelta(at, reader, nil)
	other.Apply(at.Add(2*time.Millisecond), fleet.RegistryUpdate{Rows: rows})
	if s := other.Snapshot(at); !s.Targets["s"][0].ColdAssumed || s.AssumedCold != 1 {
		t.Errorf("after rows %+v: assumed %v, %d to ask", rows, s.Targets["s"][0].ColdAssumed, s.AssumedCold)
	}
	if !other.RecordCold(now.Add(1600*time.Millisecond), assumed) {
		t.Error("the renewal of the assumption is refused")
	}
}

// Guards against a message for each connection that is refused on the path to a live target, and against a VM that takes such a target for
// warm, although it would be the first to meet it after a restart.
func TestRefusedOnPath(t *testing.T) {
	now := time.Unix(1000, 0)
	s, sent := newTestState(now)
	entry := fleet.Entry{ID: "t", Service: "s", Address: "10.0.0.1:80", Ready: true, Sequence: 4, StartedUnixMS: 900}
	s.view.Apply(now, fleet.RegistryUpdate{Full: true, Rows: []fleet.Row{{Entry: entry}}})
	refused := fleet.ColdReport{ID: "t", StartedUnixMS: 900, Left: 3 * time.Second, Assumed: true, Refused: true}
	for i, tt := range []struct {
		report   fleet.ColdReport
		messages int
		cold     bool
	}{{refused, 1, true}, {fleet.ColdReport{ID: "t", StartedUnixMS: 900}, 2, false}, {refused, 2, true}, {refused, 2, true}} {
		now = now.Add(time.Second)
		s.collectedCold = []fleet.ColdReport{tt.report}
		changed := s.applyOwnColdReports(now)
		if cold := now.Before(s.view.Snapshot(now).Targets["s"][0].ColdUntil); !changed || len(sent.messages) != tt.messages || cold != tt.cold {
			t.Errorf("report %d: changed %v, %d messages, cold %v; want %d messages, cold %v", i, changed, len(sent.messages), cold, tt.messages, tt.cold)
		}
	}
}

// Guards against a message and a snapshot for each of the targets that end together, and against messages too long for a datagram, whose
// fragments links drop. The reports come one after another, as from health requests in progress.
func TestColdReportsAreSentTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, sent := newTestState(time.Now())
		s.cfg.Clock = time.Now
		s.cfg.Forwarder = carry.New(carry.Config{VM: "vm", Log: s.cfg.Log, Clock: time.Now})
		update := fleet.RegistryUpdate{Full: true}
		for i := range 100 {
			id := ident.Target(fmt.Sprintf("target-with-an-id-of-fifty-bytes-in-its-domain-%03d", i))
			update.Rows = append(update.Rows, fleet.Row{Entry: fleet.Entry{ID: id, Service: "s", Ready: true, StartedUnixMS: 1764840000000}})
		}
		s.view.Apply(time.Now(), update)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- s.Run(ctx) }()
		began, snapshots := time.Now(), map[*fleet.Snapshot]bool{}
		for i := range update.Rows {
			e := &update.Rows[i].Entry
			s.ReportCold(ctx, fleet.ColdReport{ID: e.ID, StartedUnixMS: e.StartedUnixMS, Left: 3 * time.Second, Assumed: true})
			time.Sleep(coldCollectPeriod / 200)
			synctest.Wait()
			snapshots[s.cfg.Forwarder.Snapshot()] = true
		}
		time.Sleep(coldCollectPeriod)
		cancel()
		<-ended
		snapshots[s.cfg.Forwarder.Snapshot()] = true
		reports, bytes := 0, 0
		for _, m := range sent.messages {
			reports, bytes = reports+len(m.Cold), max(bytes, len(m.Append(nil)))
		}
		if reports != 100 || bytes > 1200 || len(sent.messages) > 7 || len(snapshots) != 2 {
			t.Errorf("%d reports in %d messages of up to %d bytes, %d snapshots; want 100, 7 messages at most, 1200 bytes, 2 snapshots",
				reports, len(sent.messages), bytes, len(snapshots))
		}
		if s.view.Snapshot(began).AssumedCold != 100 {
			t.Errorf("%d targets are cold by assumption, want 100", s.view.Snapshot(began).AssumedCold)
		}
	})
}

// Guards against a VM that keeps a warm target cold for a whole warm-up, because the message that ended the assumption was lost; and against
// a repetition that ends a later assumption.
func TestEndOfAssumptionIsRepeated(t *testing.T) {
	start := time.Unix(1000, 0)
	entry := fleet.Entry{ID: "t", Service: "s", Address: "10.0.0.1:80", Ready: true, Sequence: 4, StartedUnixMS: 900}
	restarted := entry
	restarted.StartedUnixMS = 901
	assumed := fleet.ColdReport{ID: "t", StartedUnixMS: 900, Left: 9 * time.Second, Assumed: true}
	warm, cold := fleet.ColdReport{ID: "t", StartedUnixMS: 900}, fleet.ColdReport{ID: "t", StartedUnixMS: 900, Left: 3 * time.Second}
	for _, tt := range []struct {
		name    string
		reports []fleet.ColdReport
		// between is what another VM reports before the repetition, if entry isn't read first.
		between *fleet.ColdReport
		entry   fleet.Entry
		want    []fleet.ColdReport
		// left is the warm-up that a VM with the assumption has after the repetition.
		left time.Duration
	}{
		{"warm", []fleet.ColdReport{assumed, warm}, nil, entry, []fleet.ColdReport{warm}, 0},
		{"cold", []fleet.ColdReport{assumed, cold}, nil, entry,
			[]fleet.ColdReport{{ID: "t", StartedUnixMS: 900, Left: cold.Left - coldRepeatDelay}}, cold.Left - coldRepeatDelay},
		{"no assumption", []fleet.ColdReport{cold}, nil, entry, nil, 9*time.Second - coldRepeatDelay},
		{"assumed again", []fleet.ColdReport{assumed, warm}, &assumed, entry, nil, 9*time.Second - coldRepeatDelay},
		{"started again", []fleet.ColdReport{assumed, warm}, nil, restarted, nil, 9*time.Second - coldRepeatDelay},
	} {
		s, sent := newTestState(start)
		s.cfg.Forwarder = carry.New(carry.Config{VM: "vm", Log: s.cfg.Log, Clock: s.cfg.Clock})
		other := fleet.NewView()
		for _, v := range []*fleet.View{s.view, other} {
			v.Apply(start, fleet.RegistryUpdate{Full: true, Rows: []fleet.Row{{Entry: entry}}})
		}
		other.RecordCold(start, assumed)
		for _, c := range tt.reports {
			s.collectedCold = []fleet.ColdReport{c}
			s.applyOwnColdReports(start)
		}
		s.tick(start.Add(coldRepeatDelay - 1))
		s.view.Apply(start, fleet.RegistryUpdate{Rows: []fleet.Row{{Entry: tt.entry}}})
		if tt.between != nil {
			s.applyCold(start, *tt.between, "other")
		}
		sent.messages = nil
		now := start.Add(coldRepeatDelay)
		for range 3 {
			s.tick(now)
		}
		var got []fleet.ColdReport
		for _, m := range sent.messages {
			for _, c := range m.Cold {
				got = append(got, c)
				other.RecordCold(now, c)
			}
		}
		if left := max(other.Snapshot(now).Targets["s"][0].ColdUntil.Sub(now), 0); !slices.Equal(got, tt.want) || left != tt.left {
			t.Errorf("%s: sent %+v, the other VM has %v left; want %+v, %v", tt.name, got, left, tt.want, tt.left)
		}
	}
}

// Guards against a target that left and is used again: its entry may only have lapsed during an outage of the store, a report of another VM
// changes its warm-up meanwhile, and the reader sends the entry to its region as one that is registered.
func TestDeltaOfLapsedColdTarget(t *testing.T) {
	now := time.Unix(1000, 0)
	entry := fleet.Entry{ID: "t", Service: "s", Address: "10.0.0.1:80", Ready: true, Sequence: 4, StartedUnixMS: 900}
	v := fleet.NewView()
	v.Apply(now, fleet.RegistryUpdate{Full: true, Rows: []fleet.Row{{Entry: entry}}})
	var g groupState
	g.nextDelta(now, v, nil)
	v.RecordFailure()
	v.Apply(now, fleet.RegistryUpdate{Full: true})
	v.RecordCold(now, fleet.ColdReport{ID: "t", StartedUnixMS: 900, Left: 3 * time.Second, Assumed: true})
	rows := g.nextDelta(now, v, nil)
	if !v.Lapsed(now, "t") || len(rows) != 1 || !rows[0].Removed || !rows[0].Lapsed {
		t.Errorf("sent %+v, want the entry as lapsed", rows)
	}
}

// Guards against a VM that is alone and closes busy targets because their answers are late: without a quorum it sends nothing to cold
// targets.
func TestIsolatedNeedsQuorum(t *testing.T) {
	start := time.Unix(1000, 0)
	domains := map[ident.Domain]ident.Region{"a1": "a", "b1": "b", "c1": "c"}
	for _, heard := range []bool{false, true} {
		view := peers.NewView(start, proto.VMInfo{VM: "vm", Place: ident.Place{Region: "a", Domain: "a1"}}, nil, rand.NewSource(1), peers.WithDomains(domains))
		for _, r := range []string{"b", "c"} {
			other := proto.VMInfo{VM: ident.VM(r), PeerAddress: "127.0.0.1:2", Place: ident.Place{Region: ident.Region(r), Domain: ident.Domain(r + "1")}}
			if heard {
				view.Receive(start, proto.Message{From: other, Heartbeats: []proto.Heartbeat{{VM: proto.KeyOf(other.VM), Count: 1, Ready: true}}})
			}
		}
		now := start.Add(10 * time.Second)
		s := &State{cfg: Config{Peers: peers.NewService(view, &sentMessages{}, nil, func() time.Time { return now }, func(any) {})}}
		if got := s.Isolated(now); got != heard {
			t.Errorf("other regions heard of %v: isolated %v 10 s later", heard, got)
		}
	}
}
