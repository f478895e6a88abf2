package relay_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/relay"
)

// Guards against a version that reaches some nodes late or never while messages are lost, relays die silently, or the
// store or the accepting node fails right after the acceptance.
func TestInForceEverywhere(t *testing.T) {
	tests := []struct {
		name         string
		vms, domains int
		loss         float64
		deadRelays   int
		storeDown    bool
		accepterDies bool
		// onePush makes the accepting VM die during its pushes, after one VM has received the version.
		onePush bool
		leaves  bool
		limit   time.Duration
		seeds   uint64
	}{
		{"12 VMs", 12, 6, 0, 0, false, false, false, true, 2 * time.Second, 6},
		{"12 VMs, loss, relays die", 12, 6, 0.05, 4, false, false, false, true, 2 * time.Second, 10},
		{"12 VMs, loss, store down", 12, 6, 0.05, 0, true, false, false, true, 2 * time.Second, 10},
		{"12 VMs, relays die, store down", 12, 6, 0, 4, true, false, false, true, 2 * time.Second, 10},
		{"12 VMs, accepter dies after 5 ms, store down", 12, 6, 0, 0, true, true, false, true, 2 * time.Second, 6},
		{"12 VMs, one push arrives, store down", 12, 6, 0, 0, true, false, true, true, 2 * time.Second, 6},
		{"600 nodes, one push arrives, store down", 600, 58, 0.05, 0, true, false, true, false, 19 * time.Second, 1},
		{"600 nodes, loss, relays die", 600, 58, 0.05, 30, false, false, false, false, 19 * time.Second, 1},
		{"600 nodes, loss, relays die, store down", 600, 58, 0.05, 30, true, false, false, false, 19 * time.Second, 1},
		{"600 nodes, accepter dies after 5 ms, store down", 600, 58, 0.05, 0, true, true, false, false, 19 * time.Second, 1},
	}
	for _, tt := range tests {
		var worst time.Duration
		for seed := range tt.seeds {
			s := newCluster(seed, tt.loss, tt.vms, tt.domains)
			if tt.leaves {
				for _, m := range s.members {
					s.start(m, true)
				}
			}
			s.run(warmUp)
			accepter := s.procs[s.members[seed%uint64(tt.vms)].VM]
			for i := range tt.deadRelays {
				d := s.members[(int(seed)+i)%tt.domains].Place.Domain
				vm := relay.Relays(s.members, d)[i/tt.domains%2]
				if vm != accepter.peer.VM {
					s.kill(vm)
				}
			}
			s.storeDown = tt.storeDown
			if tt.onePush {
				s.kill(accepter.peer.VM)
				accepter = s.procs[s.members[(seed+3)%uint64(tt.vms)].VM]
				accepter.node.HandlePush(s.now, relay.Document{Kind: relay.Config, Version: 1})
				accepter.documentChanged()
			} else {
				s.accept(accepter, 1, 20_000)
			}
			if tt.accepterDies {
				s.run(5 * time.Millisecond)
				s.kill(accepter.peer.VM)
			}
			s.runUntil(1, tt.limit)
			slowest, missing := s.slowest(1, start.Add(warmUp))
			worst = max(worst, slowest)
			if missing > 0 {
				t.Errorf("%s, seed %d: %d nodes lack the version after %v", tt.name, seed, missing, tt.limit)
			}
		}
		t.Logf("%s: slowest of %d runs %v", tt.name, tt.seeds, worst)
	}
}

// warmUp is long enough for every node to be ready and to have its long polls open.
const warmUp = 5 * time.Second

// runUntil runs until every live process has version v, for at most limit.
func (s *sim) runUntil(v ident.Version, limit time.Duration) {
	for range limit / (100 * time.Millisecond) {
		if _, missing := s.slowest(v, s.now); missing == 0 {
			return
		}
		s.run(100 * time.Millisecond)
	}
}

// kill ends all processes of a VM silently; the VM stays in the list.
func (s *sim) kill(vm ident.VM) {
	for _, p := range s.order {
		if p.peer.VM == vm {
			p.dead = true
		}
	}
}

// Guards against an entry daemon that depends on the steer daemon of its own VM.
func TestLeafWithoutSteer(t *testing.T) {
	for seed := range uint64(20) {
		s := newCluster(seed, 0, 12, 6)
		leaf := s.start(s.members[seed%12], true)
		s.run(20 * time.Second)
		reads := s.storeReads
		s.procs[leaf.peer.VM].dead = true
		s.run(30 * time.Second)
		s.accept(s.procs[s.members[(seed+5)%12].VM], 1, 100)
		s.run(2 * time.Second)
		if v := leaf.node.Current(relay.Config).Version; v != 1 || !leaf.node.Ready() {
			t.Errorf("seed %d: version %d after 2 s", seed, v)
		}
		if reads == 0 {
			t.Error("no process read the store")
		}
	}
}

// Guards against nodes that avoid each other for long after a partition of a region: the exchange must deliver the
// version, also while the store is down.
func TestPartition(t *testing.T) {
	for seed := range uint64(10) {
		s := newCluster(seed, 0, 12, 6)
		s.run(warmUp)
		s.cutRegion = "r1"
		s.run(3 * time.Minute)
		s.storeDown = seed%2 == 0
		s.accept(s.procs["vm-0"], 1, 100)
		s.run(10 * time.Second)
		if _, missing := s.slowest(1, s.now); missing != 4 {
			t.Fatalf("seed %d: %d nodes lack the version, want the 4 that are cut off", seed, missing)
		}
		healed := s.now
		s.cutRegion = ""
		s.runUntil(1, 20*time.Second)
		slowest, missing := s.slowest(1, healed)
		t.Logf("seed %d, store down %v: slowest %v", seed, s.storeDown, slowest)
		if missing > 0 || slowest > 8*time.Second {
			t.Errorf("seed %d: %d nodes lack the version, slowest %v after the end of the partition", seed, missing, slowest)
		}
	}
}

// Guards against a VM that is started during a store outage and serves an old version, or never serves.
func TestStartDuringOutage(t *testing.T) {
	for seed := range uint64(20) {
		s := newCluster(seed, 0.05, 12, 6)
		s.run(10 * time.Second)
		s.accept(s.procs["vm-1"], 4, 100)
		s.run(5 * time.Second)
		s.storeDown = true
		fresh := relay.Peer{VM: "new", Place: s.members[3].Place}
		s.members = append(s.members, fresh)
		steer, entry := s.start(fresh, false), s.start(fresh, true)
		s.run(8 * time.Second)
		for i, p := range []*proc{steer, entry} {
			// The plan was never published: without the store that can't be known, so only the configuration may be
			// served.
			if doc, ok := p.node.NewerThan(relay.Config, 0); !ok || doc.Version != 4 || p.node.Ready() {
				t.Errorf("seed %d, process %d: version %d, %v, ready %v", seed, i, doc.Version, ok, p.node.Ready())
			}
		}
		s.storeDown = false
		s.run(10 * time.Second)
		if !steer.node.Ready() || !entry.node.Ready() {
			t.Errorf("seed %d: not ready after the outage", seed)
		}
	}
}

// Guards against a node that is ready with too few answers, before every relay was queried, or with an older version
// than one of the answers.
func TestRequiredAnswers(t *testing.T) {
	tests := []struct {
		name string
		// answers has the version that each peer sends; 0 for a peer that does not answer.
		answers []ident.Version
		ready   bool
		version ident.Version
	}{
		{"no peer", nil, false, 0},
		{"the only peer", []ident.Version{3}, true, 3},
		{"the only peer does not answer", []ident.Version{0}, false, 0},
		{"one of two", []ident.Version{3, 0}, false, 3},
		{"two of three, newest second", []ident.Version{3, 5, 0}, true, 5},
		{"newest last", []ident.Version{3, 3, 3, 3, 3, 9}, true, 9},
	}
	for _, tt := range tests {
		n := relay.NewNode(start, relay.Options{Self: relay.Peer{VM: "self", Place: ident.Place{Region: "r", Domain: "x"}}})
		var peers []relay.Peer
		at := map[ident.VM]ident.Version{}
		for i, v := range tt.answers {
			p := relay.Peer{VM: ident.VM(fmt.Sprint("p", i)), Place: ident.Place{Region: "r", Domain: ident.Domain(fmt.Sprint("d", i/2))}}
			peers = append(peers, p)
			at[p.VM] = v
		}
		n.SetMembers(start, peers)
		queried := map[ident.VM]bool{}
		var actions []relay.Action
		for _, ms := range []int{0, 600} {
			actions = n.Next(start.Add(time.Duration(ms)*time.Millisecond), actions)
		}
		for i, a := range actions {
			if a.Op != relay.Fetch || a.HoldFor > 0 {
				continue
			}
			queried[a.To] = true
			if n.Ready() {
				t.Errorf("%s: ready before action %d ended", tt.name, i)
			}
			n.Complete(start.Add(time.Second), a.ID, relay.Result{OK: at[a.To] > 0, Doc: relay.Document{Kind: a.Kind, Version: at[a.To]}})
		}
		if len(queried) != len(peers) || n.Ready() != tt.ready || n.Current(relay.Plan).Version != tt.version {
			t.Errorf("%s: queried %d, ready %v, version %d", tt.name, len(queried), n.Ready(), n.Current(relay.Plan).Version)
		}
	}
}

// Guards against a node that is ready with what a restored store has while other nodes have newer documents, and against
// a node that is never ready because no other node has a document.
func TestStartWithOutdatedStore(t *testing.T) {
	for _, peers := range []int{0, 2} {
		for _, answer := range []bool{true, false} {
			n := relay.NewNode(start, relay.Options{Self: relay.Peer{VM: "self", Place: ident.Place{Region: "r", Domain: "x"}}})
			var list []relay.Peer
			for i := range peers {
				list = append(list, relay.Peer{VM: ident.VM(fmt.Sprint("p", i)), Place: ident.Place{Region: "r", Domain: "x"}})
			}
			n.SetMembers(start, list)
			readyAfter := time.Duration(-1)
			for at := time.Duration(0); at < 20*time.Second && readyAfter < 0; at += 100 * time.Millisecond {
				now := start.Add(at)
				for _, a := range n.Next(now, nil) {
					res := relay.Result{OK: true, Outdated: true, Doc: relay.Document{Kind: a.Kind, Version: 5}}
					if a.Op != relay.PollStore {
						res = relay.Result{OK: answer, Doc: relay.Document{Kind: a.Kind, Version: 7}}
					}
					n.Complete(now, a.ID, res)
				}
				if n.Ready() {
					readyAfter = at
				}
			}
			want, limit := ident.Version(5), 15*time.Second
			if answer && peers > 0 {
				want, limit = 7, 2*time.Second
			}
			if got := n.Current(relay.Config).Version; got != want || readyAfter < 0 || readyAfter > limit {
				t.Errorf("%d peers, answers %v: ready after %v with version %d, want %d within %v", peers, answer, readyAfter, got, want, limit)
			}
			if want == 5 && readyAfter < 3*time.Second {
				t.Errorf("%d peers that do not answer: ready after %v, before %d rounds", peers, readyAfter, 3)
			}
		}
	}
}

// Guards against a version that decreases, a document of another kind, and an action that counts twice.
func TestVersionsOnlyIncrease(t *testing.T) {
	self := relay.Peer{VM: "self", Place: ident.Place{Region: "r", Domain: "x"}}
	n := relay.NewNode(start, relay.Options{Self: self})
	doc := func(k relay.Kind, v ident.Version) relay.Document { return relay.Document{Kind: k, Version: v} }
	poll := n.Next(start, nil)[0]
	steps := []struct {
		name string
		got  bool
		want bool
	}{
		{"not servable", n.Publish(start, doc(relay.Plan, 1)) && func() bool { _, ok := n.NewerThan(relay.Config, 0); return ok }(), false},
		{"push", n.HandlePush(start, doc(relay.Config, 5)), true},
		{"push before the node may serve", func() bool { _, ok := n.NewerThan(relay.Config, 0); return ok }(), false},
		{"same push", n.HandlePush(start, doc(relay.Config, 5)), false},
		{"older push", n.HandlePush(start, doc(relay.Config, 4)), false},
		{"unknown kind", n.HandlePush(start, doc(9, 6)), false},
		{"kind 0", n.HandlePush(start, doc(0, 6)), false},
		{"store answers with an older version", n.Complete(start, poll.ID, relay.Result{OK: true, Doc: doc(relay.Config, 3)}), true},
		{"answer of a finished action", n.Complete(start, poll.ID, relay.Result{OK: true, Doc: doc(relay.Config, 8)}), false},
		{"older acceptance", n.Publish(start, doc(relay.Config, 2)), false},
		{"newer acceptance", n.Publish(start, doc(relay.Config, 6)), true},
	}
	for _, s := range steps {
		if s.got != s.want {
			t.Errorf("%s: %v", s.name, s.got)
		}
	}
	if v := n.Current(relay.Config).Version; v != 6 {
		t.Errorf("version %d", v)
	}
}

// Guards against nodes that the tree no longer reaches: each must fetch from VMs of other domains from time to time.
func TestExchange(t *testing.T) {
	s := newCluster(1, 0, 20, 5)
	n := s.procs["vm-0"].node
	own := s.members[0].Place.Domain
	queried := map[ident.VM]bool{}
	for i := range 1500 {
		now := start.Add(time.Duration(i) * time.Second)
		for _, a := range n.Next(now, nil) {
			if a.Op == relay.Fetch && a.HoldFor == 0 {
				queried[a.To] = true
			}
			n.Complete(now, a.ID, relay.Result{OK: true, Doc: relay.Document{Kind: a.Kind}})
		}
	}
	for _, m := range s.members {
		if queried[m.VM] == (m.Place.Domain == own) {
			t.Errorf("%v, own domain %s: queried %v within 1500 s", m, own, queried[m.VM])
		}
	}
}

// Guards against a newer version in a probe that is not fetched, and against a fetch for each of many probes.
func TestHint(t *testing.T) {
	s := newCluster(1, 0, 12, 6)
	n := s.procs["vm-0"].node
	n.HandlePush(start, relay.Document{Kind: relay.Plan, Version: 5})
	n.Next(start, nil)
	for _, tt := range []struct {
		from    ident.VM
		version ident.Version
		fetches int
	}{{"vm-3", 5, 0}, {"vm-0", 9, 0}, {"vm-3", 6, 1}, {"vm-4", 6, 0}, {"vm-4", 7, 1}} {
		n.Hint(tt.from, relay.Plan, tt.version)
		got := n.Next(start, nil)
		if len(got) != tt.fetches || tt.fetches == 1 && (got[0].Op != relay.Fetch || got[0].To != tt.from || got[0].HaveVersion != 5) {
			t.Errorf("version %d from %s: %+v", tt.version, tt.from, got)
		}
	}
}

// Guards against a document that does not reach the relays because its sender died before it pushed to them.
func TestForward(t *testing.T) {
	s := newCluster(1, 0, 20, 2)
	relays := relay.Relays(s.members, "d0")
	for _, m := range s.members {
		if m.Place.Domain != "d0" {
			continue
		}
		n := s.procs[m.VM].node
		n.Next(start, nil)
		n.HandlePush(start, relay.Document{Kind: relay.Plan, Version: 1})
		var to []ident.VM
		for _, a := range n.Next(start, nil) {
			if a.Op == relay.Push && a.Doc.Version == 1 {
				to = append(to, a.To)
			}
		}
		want := relays
		if slices.Contains(relays, m.VM) {
			want = nil
		}
		if !slices.Equal(to, want) {
			t.Errorf("%s forwards to %v, want %v", m.VM, to, want)
		}
	}
}

// Guards against relays that change without need, which would move the load of a domain at each restart.
func TestRelays(t *testing.T) {
	s := newCluster(1, 0, 58*10, 58)
	for d := range 58 {
		domain := ident.Domain(fmt.Sprint("d", d))
		before := relay.Relays(s.members, domain)
		if len(before) != 2 || before[0] == before[1] {
			t.Fatalf("relays %v", before)
		}
		var rest []relay.Peer
		for _, p := range s.members {
			if p.VM != before[0] {
				rest = append(rest, p)
			}
		}
		if after := relay.Relays(rest, domain); after[0] != before[1] {
			t.Errorf("relays %v became %v after the first was removed", before, after)
		}
	}
	if got := relay.Relays(s.members[:1], "d0"); len(got) != 1 {
		t.Errorf("one VM: %v", got)
	}
}

// Guards against a cost that grows with the number of nodes: store reads by more than two relays per domain, and a node
// that sends and receives more than 16 KB a second.
func TestCost(t *testing.T) {
	// 200 VMs in 4 domains give domains of about 50 VMs, the size at the scale goal.
	for _, tt := range []struct{ vms, domains int }{{12, 6}, {200, 58}, {200, 4}} {
		c := measure(tt.vms, tt.domains, 2)
		t.Log(c)
		if limit := 2 * 2 * c.domains * 12 / 10; c.reads > float64(limit) {
			t.Errorf("%v: %v reads a second, limit %d", tt, c.reads, limit)
		}
		if c.worst > 16_000 {
			t.Errorf("%v: a node sends and receives %v bytes a second", tt, c.worst)
		}
	}
}

// cost is the steady-state cost of a cluster in which a configuration of 20 kB changes every 24 s, 3,600 times a day.
type cost struct {
	vms, domains int
	// reads is per second at the store; messages, mean and worst are per second and node, sent and received. mean and
	// worst are in bytes.
	reads, messages, mean, worst float64
	slowest                      time.Duration
	cpu                          time.Duration
}

func (c cost) String() string {
	return fmt.Sprintf("%d nodes, %d domains: %.0f store reads/s; per node %.2f messages/s, %.0f B/s, busiest %.0f B/s; "+
		"slowest node %v; CPU with simulator %v per node and second", c.vms, c.domains, c.reads, c.messages, c.mean, c.worst,
		c.slowest, c.cpu)
}

func measure(vms, domains, changes int) cost {
	c := cost{vms: vms, domains: domains}
	s := newCluster(1, 0, vms, c.domains)
	s.run(warmUp)
	for _, p := range s.order {
		p.messages, p.bytes = 0, 0
	}
	s.storeReads = 0
	begin := time.Now()
	for v := range ident.Version(changes) {
		at := s.now
		s.accept(s.order[s.rng.IntN(vms)], v+1, 20_000)
		s.run(24 * time.Second)
		slowest, missing := s.slowest(v+1, at)
		c.slowest = max(c.slowest, slowest)
		if missing > 0 {
			c.slowest = time.Hour
		}
	}
	seconds := float64(24 * changes)
	for _, p := range s.order {
		c.messages += float64(p.messages) / seconds / float64(vms)
		c.mean += float64(p.bytes) / seconds / float64(vms)
		c.worst = max(c.worst, float64(p.bytes)/seconds)
	}
	c.reads = float64(s.storeReads) / seconds
	c.cpu = time.Duration(float64(time.Since(begin)) / seconds / float64(vms))
	return c
}

// BenchmarkCluster reports the costs of docs/relay.md.
func BenchmarkCluster(b *testing.B) {
	for _, vms := range []int{12, 200, 800, 3200} {
		b.Run(fmt.Sprintf("nodes=%d", vms), func(b *testing.B) {
			var c cost
			for range b.N {
				c = measure(vms, min(58, max(6, vms/2)), 10)
			}
			b.ReportMetric(c.reads, "store-reads/s")
			b.ReportMetric(c.messages, "messages/node-s")
			b.ReportMetric(c.mean, "B/node-s")
			b.ReportMetric(c.worst, "B/busiest-s")
			b.ReportMetric(c.slowest.Seconds(), "slowest-s")
			b.ReportMetric(float64(c.cpu.Microseconds()), "cpu-us/node-s")
		})
	}
}
