package peers

import (
	"cmp"
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/pick"
	"github.com/currantpier/currantpier/proto"
)

// coldSnapshot returns a snapshot with one cold target in each region.
func coldSnapshot(rate float64, until time.Time) *fleet.Snapshot {
	s := &fleet.Snapshot{
		Config:  &fleet.Config{Services: map[ident.Service]fleet.Service{"s": {Name: "s", WarmupRate: rate}}},
		Targets: map[ident.Service][]fleet.Target{},
	}
	for _, r := range []string{"a", "b", "c"} {
		s.Targets["s"] = append(s.Targets["s"], fleet.Target{ColdUntil: until, Entry: fleet.Entry{
			ID: ident.Target("cold-" + r), Service: "s", Slots: 6, Place: ident.Place{Region: ident.Region(r), Domain: ident.Domain(r + "1")}}})
	}
	return s
}

// Guards against partitions that each use the whole rate of a cold target, and against cold targets that get no
// requests. The VMs are partitioned while all of them reach all targets, and the targets of a failure domain return
// cold at the same time. Before, deployment kalnins-seti with its regions cut from each other sent 27 requests in a
// second where 21.5 were allowed.
func TestColdRateHoldsInParts(t *testing.T) {
	const rate, factor, slack = 11, 1.5, 5
	for _, tt := range []struct{ vms, parts int }{{12, 1}, {12, 2}, {12, 3}, {12, 4}, {12, 12}, {85, 3}, {85, 9}} {
		t.Run(fmt.Sprint(tt.vms, " VMs in ", tt.parts, " parts"), func(t *testing.T) {
			w := newNetwork(tt.vms, 0)
			w.run(5 * time.Second)
			w.cut = func(from, to string) bool { return w.number[from]%tt.parts != w.number[to]%tt.parts }
			w.run(10 * time.Second)
			for target, times := range sendCold(w, rate) {
				if most := maxPerSecond(times); float64(most) > rate*factor+slack {
					t.Errorf("%s got %d requests in a second, bound %.1f", target, most, rate*factor+slack)
				}
				if len(times) < rate {
					t.Errorf("%s got %d requests in 3 s, want %d or more", target, len(times), rate)
				}
			}
		})
	}
}

// Guards against VMs that never met, because they started while the network was partitioned, and that each use the rate of a
// cold target for the VMs that they know. Regions are parts, or failure domains are, or each VM is alone; a part in which some
// VMs have known the others before may exist beside one that has started anew. The bound must hold for any number of parts.
func TestColdRateHoldsForVMsThatNeverMet(t *testing.T) {
	const rate, factor, slack = 11, 1.5, 5
	byRegion := func(v *View) string { return string(v.self.Place.Region) }
	byDomain := func(v *View) string { return string(v.self.Place.Domain) }
	alone := func(v *View) string { return string(v.self.VM) }
	for _, tt := range []struct {
		name      string
		vms       int
		part      func(v *View) string
		restarted func(i int) bool
	}{
		{"regions, all started apart", 12, byRegion, func(int) bool { return true }},
		{"regions, two of three started apart", 12, byRegion, func(i int) bool { return i%3 > 0 }},
		{"failure domains, all started apart", 12, byDomain, func(int) bool { return true }},
		{"failure domains, half started apart", 12, byDomain, func(i int) bool { return i%2 == 0 }},
		{"each VM alone", 12, alone, func(int) bool { return true }},
		{"regions of a large deployment", 85, byRegion, func(int) bool { return true }},
		{"failure domains of a large deployment", 85, byDomain, func(int) bool { return true }},
		{"each VM of a large deployment alone", 85, alone, func(int) bool { return true }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			w := newNetwork(tt.vms, 0)
			w.run(5 * time.Second)
			w.cut = func(from, to string) bool { return tt.part(w.views[from]) != tt.part(w.views[to]) }
			for i := range tt.vms {
				if tt.restarted(i) {
					w.add(i, 2)
				}
			}
			w.run(10 * time.Second)
			for target, times := range sendCold(w, rate) {
				if most := maxPerSecond(times); float64(most) > rate*factor+slack {
					t.Errorf("%s got %d requests in a second, bound %.1f", target, most, rate*factor+slack)
				}
			}
			w.cut = nil
			w.run(10 * time.Second)
			for target, times := range sendCold(w, rate) {
				if len(times) < rate {
					t.Errorf("%s got %d requests in 3 s after the partition, want %d or more", target, len(times), rate)
				}
			}
		})
	}
}

// sendCold lets all VMs of the network send to cold targets as often as they may for 3 s, and returns the times at which each
// target gets requests.
func sendCold(w *network, rate float64) map[ident.Target][]time.Duration {
	route := &fleet.Route{Name: "r", LatencyTarget: 300 * time.Millisecond}
	var pickers []*pick.Picker
	s := coldSnapshot(rate, w.now.Add(time.Minute))
	for i := range len(w.views) {
		v := w.views[address(i)]
		p := pick.New(v.self.VM, v.self.Place)
		p.SetTargets(w.now, s)
		p.SetVMs(v.SharingVMs(w.now), v.HasQuorum(w.now))
		pickers = append(pickers, p)
	}
	sent := map[ident.Target][]time.Duration{}
	for _, target := range s.Targets["s"] {
		sent[target.ID] = nil
	}
	for at := time.Duration(0); at < 3*time.Second; at += 10 * time.Millisecond {
		for i, p := range pickers {
			now := w.now.Add(at)
			a := pick.Request{Route: route, Service: "s", Object: pick.Object(i + 1), Deadline: now.Add(time.Second)}
			if c, reason := p.Choose(now, a); reason == pick.Chosen {
				p.RecordStart(now, a, c)
				sent[c.Target.ID] = append(sent[c.Target.ID], at)
			}
		}
	}
	return sent
}

// maxPerSecond returns the largest number of times within one second. times is sorted.
func maxPerSecond(times []time.Duration) int {
	most := 0
	for i, first := range times {
		n := 0
		for _, at := range times[i:] {
			if at < first+time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// Guards against a VM that keeps its share of the limits after it has announced its stop, and a failed VM that keeps it
// forever.
func TestSharingEnds(t *testing.T) {
	w := newNetwork(6, 0)
	w.run(4 * time.Second)
	w.views[address(1)].SetState(false, true)
	w.deliver(w.views[address(1)].BroadcastState(w.now))
	w.down[address(1)], w.down[address(2)] = true, true
	w.run(4 * time.Second)
	if got := len(w.views[address(0)].SharingVMs(w.now)); got != 5 {
		t.Errorf("%d VMs share after one left and one failed, want 5", got)
	}
	w.run(3 * removeAfter)
	if got := len(w.views[address(0)].SharingVMs(w.now)); got != 4 {
		t.Errorf("%d VMs share long after both are gone, want 4", got)
	}
}

// Guards against a failed VM whose address the others keep sending each other: with 480 VMs replaced a day, the member
// lists would grow without bound.
func TestDeadVMsAreRemoved(t *testing.T) {
	w := newNetwork(12, 0)
	w.run(4 * time.Second)
	w.down[address(2)] = true
	// VMs that start later receive the failed VM's address from those that have not removed it yet.
	for i := 12; i < 20; i++ {
		w.run(removeAfter / 4)
		w.add(i, 1)
	}
	w.run(2 * removeAfter)
	for addr, v := range w.views {
		if _, known := v.members[proto.KeyOf("vm2")]; known && addr != address(2) {
			t.Errorf("%s still has vm2 as a member %v after it was killed", v.self.VM, 4*removeAfter)
		}
	}
}

// Guards against a failure domain that is considered failed because its few bridges are cut off, and against two
// failure domains that consider each other failed although a third one reaches both.
func TestPartialPartitions(t *testing.T) {
	domain := func(w *network, addr string) ident.Domain { return w.views[addr].self.Place.Domain }
	isBridge := map[string]bool{}
	for _, tt := range []struct {
		name string
		cut  func(w *network, from, to string) bool
	}{
		{"the bridges of a1 are cut from other domains", func(w *network, from, to string) bool {
			return domain(w, from) != domain(w, to) && (isBridge[from] || isBridge[to])
		}},
		{"a1 and b1 are cut from each other", func(w *network, from, to string) bool {
			a, b := domain(w, from), domain(w, to)
			return a == "a1" && b == "b1" || a == "b1" && b == "a1"
		}},
		{"a1 and a2 are cut from each other", func(w *network, from, to string) bool {
			a, b := domain(w, from), domain(w, to)
			return a == "a1" && b == "a2" || a == "a2" && b == "a1"
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			w := newNetwork(60, 0.05)
			w.run(5 * time.Second)
			var a1 []*View
			for _, v := range w.views {
				if v.self.Place.Domain == "a1" {
					a1 = append(a1, v)
				}
			}
			slices.SortFunc(a1, func(a, b *View) int { return cmp.Compare(a.heartbeat.VM, b.heartbeat.VM) })
			clear(isBridge)
			for _, v := range a1[:bridgesPerDomain] {
				isBridge[v.self.PeerAddress] = true
			}
			w.cut = func(from, to string) bool { return tt.cut(w, from, to) }
			for range 15 {
				w.run(time.Second)
				for addr, v := range w.views {
					if got := len(v.Ready(w.now)); got < 60-bridgesPerDomain && !isBridge[addr] {
						t.Fatalf("%s considers only %d of 60 running VMs ready", v.self.VM, got)
					}
				}
			}
		})
	}
}

// Guards against VMs of large deployments that consider running VMs of their region failed, or keep a dead one. Lookups
// return the VMs of the region, so 19 of 20 of these must be known at any time; of all VMs, half.
func TestRegionMembership(t *testing.T) {
	for _, n := range []int{195} {
		w := newNetwork(n, 0.03)
		w.run(6 * time.Second)
		w.down[address(4)] = true
		killed := w.now
		for range 12 {
			w.run(time.Second)
			for addr, v := range w.views {
				near, all := 0, 0
				for _, i := range v.Ready(w.now) {
					all++
					if i.Place.Region == v.self.Place.Region {
						near++
					}
					if i.VM == "vm4" && w.now.Sub(killed) > 6*time.Second && !w.down[addr] {
						t.Errorf("of %d VMs, %s considers one ready that was killed %v before", n, v.self.VM, w.now.Sub(killed))
					}
				}
				if !w.down[addr] && (near < n/3*19/20 || all < n/2) {
					t.Fatalf("of %d VMs, %s knows %d of its region's %d and %d in all", n, v.self.VM, near, n/3, all)
				}
			}
		}
	}
}

// Guards against a region that is cut off and doesn't notice it, and against VMs that find their region isolated because datagrams are
// lost.
func TestIsolated(t *testing.T) {
	for _, n := range []int{12, 85} {
		w := newNetwork(n, 0.05)
		isolatedIn := func(region ident.Region) (isolated, all int) {
			for _, v := range w.views {
				if v.self.Place.Region != region {
					continue
				}
				all++
				if v.Isolated(w.now) {
					isolated++
				}
			}
			return isolated, all
		}
		w.run(5 * time.Second)
		for range 20 {
			w.run(HeartbeatInterval)
			if i, all := isolatedIn("a"); i > 0 {
				t.Errorf("of %d VMs, %d of %d of a connected region find it isolated", n, i, all)
			}
		}
		w.cut = func(from, to string) bool { return (w.number[from]%3 == 0) != (w.number[to]%3 == 0) }
		w.run(isolationPeriod + maxHeartbeatAge)
		if i, all := isolatedIn("a"); i != all {
			t.Errorf("of %d VMs, %d of %d of the region that was cut off find it isolated", n, i, all)
		}
		if i, _ := isolatedIn("b"); i > 0 {
			t.Errorf("of %d VMs, %d of a region with a path to another one find it isolated", n, i)
		}
		// By then the VMs of the other regions have been removed from the lists of members.
		w.run(removeAfter + 10*time.Second)
		if i, all := isolatedIn("a"); i != all {
			t.Errorf("of %d VMs, %d of %d of the region find it isolated after %v", n, i, all, removeAfter+10*time.Second)
		}
		// The first VMs of a region read the store's list each minute.
		w.cut = nil
		w.views[address(0)].AddListed(w.now, []proto.VMInfo{w.views[address(1)].self})
		w.run(10 * time.Second)
		if i, _ := isolatedIn("a"); i > 0 {
			t.Errorf("of %d VMs, %d find their region isolated after the end of the cut", n, i)
		}
	}
}

// Guards against a VM that finds its region isolated although it has only started, or although there is no other region; and against one
// that started in an isolated region and has never heard of another one.
func TestIsolatedAtStart(t *testing.T) {
	here := ident.Place{Region: "a", Domain: "a1"}
	for _, tt := range []struct {
		name    string
		domains map[ident.Domain]ident.Region
		after   time.Duration
		want    bool
	}{
		{"just started", map[ident.Domain]ident.Region{"a1": "a", "b1": "b"}, isolationPeriod - 1, false},
		{"never heard", map[ident.Domain]ident.Region{"a1": "a", "b1": "b"}, isolationPeriod, true},
		{"one region", map[ident.Domain]ident.Region{"a1": "a", "a2": "a"}, time.Minute, false},
		{"unknown failure domains", nil, time.Minute, false},
	} {
		v := NewView(start, proto.VMInfo{VM: "vm0", Place: here}, nil, rand.NewSource(1), WithDomains(tt.domains))
		if got := v.Isolated(start.Add(tt.after)); got != tt.want {
			t.Errorf("%s: isolated %v, want %v", tt.name, got, tt.want)
		}
	}
}
