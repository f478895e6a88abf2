package peers

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/proto"
)

var start = time.Unix(1000, 0)

// network simulates the network between views: it delivers each message at once, unless it is lost, the path is cut or
// the receiver is down.
type network struct {
	views map[string]*View
	down  map[string]bool
	loss  float64
	rnd   *rand.Rand
	now   time.Time
	// bytesSent counts the bytes that each VM has sent.
	bytesSent map[string]int
	// bytesByDistance counts the bytes by the distance between sender and receiver.
	bytesByDistance map[ident.Distance]int
	// cut reports whether a path is cut; nil means none. number is the index of the VM with an address.
	cut    func(from, to string) bool
	number map[string]int
}

func newNetwork(n int, loss float64) *network {
	w := &network{views: map[string]*View{}, down: map[string]bool{}, bytesSent: map[string]int{}, number: map[string]int{}, bytesByDistance: map[ident.Distance]int{}, loss: loss, rnd: rand.New(rand.NewSource(1)), now: start}
	for i := range n {
		w.add(i, 1)
	}
	return w
}

func address(i int) string { return fmt.Sprintf("10.0.0.%d:7000", i) }

func (w *network) add(i int, inc ident.Incarnation) {
	r := string("abc"[i%3])
	self := proto.VMInfo{VM: ident.VM(fmt.Sprint("vm", i)), PeerAddress: address(i), CallerAddress: "c" + fmt.Sprint(i), Incarnation: inc,
		Place: ident.Place{Region: ident.Region(r), Domain: ident.Domain(r + string("12"[i/3%2]))}}
	v := NewView(w.now, self, []string{address(0), address(1)}, rand.NewSource(int64(i)),
		WithDomains(map[ident.Domain]ident.Region{"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c", "c2": "c"}))
	v.SetState(true, false)
	w.views[address(i)], w.number[address(i)] = v, i
}

func (w *network) deliver(packets []Packet) {
	for _, p := range packets {
		b := proto.AppendDatagram(nil, p.Message)
		w.bytesSent[p.Message.From.PeerAddress] += len(b)
		if v := w.views[p.To]; v != nil {
			w.bytesByDistance[p.Message.From.Place.To(v.self.Place)] += len(b)
		}
		cut := w.cut != nil && w.views[p.To] != nil && w.cut(p.Message.From.PeerAddress, p.To)
		if v := w.views[p.To]; v != nil && !cut && !w.down[p.To] && w.rnd.Float64() >= w.loss {
			msg, err := proto.DecodeDatagram(b)
			if err != nil {
				panic(err) // a view must send only messages that can be decoded
			}
			w.deliver(v.Receive(w.now, msg))
		}
	}
}

func (w *network) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(HeartbeatInterval) {
		for i := range len(w.views) {
			if v := w.views[address(i)]; v != nil && !w.down[address(i)] {
				w.deliver(v.Tick(w.now))
			}
		}
	}
}

// readyCounts returns the smallest and the largest number of VMs that a running VM considers ready.
func (w *network) readyCounts() (least, most int) {
	least = len(w.views) + 1
	for a, v := range w.views {
		if w.down[a] {
			continue
		}
		n := len(v.Ready(w.now))
		least, most = min(least, n), max(most, n)
	}
	return least, most
}

// Guards against VMs that don't find each other through two seeds, flap under packet loss, keep a dead VM ready for
// longer than 6 s (the platform's shortest limit for this), or don't take back a VM that restarts.
func TestMembership(t *testing.T) {
	for _, n := range []int{3, 12, 85} {
		t.Run(fmt.Sprint(n, " VMs"), func(t *testing.T) {
			w := newNetwork(n, 0.05)
			w.run(5 * time.Second)
			if least, _ := w.readyCounts(); least != n {
				t.Fatalf("after 5 s a VM considers only %d of %d ready", least, n)
			}
			for range 30 {
				w.run(time.Second)
				if least, _ := w.readyCounts(); least != n {
					t.Fatalf("a running VM is considered failed: %d of %d ready", least, n)
				}
			}
			w.down[address(2)] = true
			w.run(6 * time.Second)
			if _, most := w.readyCounts(); most != n-1 {
				t.Errorf("6 s after a VM was killed, a VM still considers %d ready, want %d", most, n-1)
			}
			w.down[address(2)] = false
			w.add(2, 2)
			w.run(3 * time.Second)
			if least, _ := w.readyCounts(); least != n {
				t.Errorf("3 s after the restart a VM considers only %d of %d ready", least, n)
			}
		})
	}
}

// Guards against a VM that lookups return while it stops.
func TestBroadcastState(t *testing.T) {
	w := newNetwork(5, 0)
	w.run(3 * time.Second)
	v := w.views[address(4)]
	v.SetState(false, true)
	w.deliver(v.BroadcastState(w.now))
	for a, o := range w.views {
		for _, i := range o.Ready(w.now) {
			if i.VM == "vm4" {
				t.Errorf("%s returns a VM that has announced its stop", a)
			}
		}
	}
}

// Guards against VMs that start together, assume to be alone, and each use the whole rate of cold targets.
func TestSharingCountsUnheardVMs(t *testing.T) {
	v := NewView(start, proto.VMInfo{VM: "vm0", PeerAddress: address(0)}, nil, rand.NewSource(1))
	v.AddListed(start, []proto.VMInfo{{VM: "vm1", PeerAddress: address(1)}, {VM: "vm2", PeerAddress: address(2)}})
	if n := len(v.SharingVMs(start)); n != 3 {
		t.Errorf("%d VMs share at the start, want the 3 that the store lists", n)
	}
	if n := len(v.SharingVMs(start.Add(unheardSharingTimeout))); n != 1 {
		t.Errorf("%d VMs share after %v without heartbeats of the others, want 1", n, unheardSharingTimeout)
	}
	if n := len(v.Ready(start)); n != 0 {
		t.Errorf("%d VMs without any heartbeat are ready, want 0", n)
	}
}

// Guards against a capacity that is lost because a VM of an earlier build has passed the entry on without it, and against one that
// such a VM takes back.
func TestCapacityThroughEarlierBuild(t *testing.T) {
	v := NewView(start, proto.VMInfo{VM: "vm0", PeerAddress: address(0)}, nil, rand.NewSource(1))
	info := proto.VMInfo{VM: "vm1", PeerAddress: address(1), Incarnation: 5}
	for i, tt := range []struct {
		incarnation    ident.Incarnation
		capacity, want int64
	}{{5, 0, 0}, {5, 300, 300}, {5, 0, 300}, {4, 100, 300}, {6, 0, 0}, {6, 200, 200}} {
		info.Incarnation, info.Capacity = tt.incarnation, tt.capacity
		v.AddListed(start, []proto.VMInfo{info})
		if got := v.members[proto.KeyOf("vm1")].Capacity; got != tt.want {
			t.Errorf("step %d: capacity %d, want %d", i, got, tt.want)
		}
	}
}

// Guards against two VMs of a region that both read the registry because they order the group differently.
func TestGroupOrder(t *testing.T) {
	w := newNetwork(12, 0)
	w.run(4 * time.Second)
	first := map[ident.Region]ident.VM{}
	for _, v := range w.views {
		g := v.RegionGroup(w.now)
		r := v.self.Place.Region
		if len(g) != 4 {
			t.Errorf("group of %s has %d VMs, want 4", v.self.VM, len(g))
		}
		if first[r] == "" {
			first[r] = g[0].VM
		}
		if g[0].VM != first[r] {
			t.Errorf("two readers in region %s: %s and %s", r, g[0].VM, first[r])
		}
	}
}

// Guards against VMs that read the operators' table in a loop after a row was removed: a full reading contains no
// removed rows, so it never shows the version that peers announce.
func TestCaughtUp(t *testing.T) {
	v := NewView(start, proto.VMInfo{VM: "vm0", PeerAddress: address(0)}, nil, rand.NewSource(1))
	v.Receive(start, proto.Message{From: proto.VMInfo{VM: "vm1", PeerAddress: address(1)}, OperatorVersion: 9})
	if !v.OperatorTableBehind(start.Add(behindGrace)) {
		t.Error("not behind although a peer has announced version 9")
	}
	v.SetReadUpTo(8)
	if !v.OperatorTableBehind(start.Add(behindGrace)) {
		t.Error("not behind after a full reading as of version 8, want behind version 9")
	}
	v.SetReadUpTo(12)
	if v.OperatorTableBehind(start.Add(behindGrace)) {
		t.Error("still behind after a full reading as of version 12")
	}
}

// Guards against a VM that serves an older configuration than its peers and is never told so, or that asks a peer that has
// none that is newer.
func TestConfigBehind(t *testing.T) {
	v := NewView(start, proto.VMInfo{VM: "vm0", PeerAddress: address(0)}, nil, rand.NewSource(1))
	v.SetConfigVersion(3)
	at := start
	for _, tt := range []struct {
		name    string
		from    ident.VM
		version ident.Version
		after   time.Duration
		behind  bool
		holder  ident.VM
	}{
		{"a build that states none", "vm1", 0, time.Minute, false, ""},
		{"an older one", "vm1", 2, time.Minute, false, ""},
		{"the same", "vm1", 3, time.Minute, false, ""},
		{"a newer one, just now", "vm1", 5, 0, false, "vm1"},
		{"a newer one for a while", "vm2", 5, behindGrace, true, "vm2"},
		{"one that is older than the newest", "vm3", 4, 0, true, "vm2"},
		{"a still newer one", "vm4", 6, 0, true, "vm4"},
		{"none from its holder until it is gone", "vm1", 3, removeAfter, false, "vm4"},
		{"its holder again", "vm4", 6, 0, true, "vm4"},
	} {
		at = at.Add(tt.after)
		v.Receive(at, proto.Message{From: proto.VMInfo{VM: tt.from, PeerAddress: address(1)}, ConfigVersion: tt.version})
		if holder, _ := v.ConfigHolder(); v.ConfigBehind(at) != tt.behind || holder.VM != tt.holder {
			t.Errorf("%s: behind %v, holder %q", tt.name, v.ConfigBehind(at), holder.VM)
		}
	}
	v.SetConfigVersion(6)
	if v.ConfigBehind(at.Add(time.Hour)) {
		t.Error("still behind with the newest configuration")
	}
	if m := v.Tick(at)[0].Message; m.ConfigVersion != 6 {
		t.Errorf("a message states configuration %d, want 6", m.ConfigVersion)
	}
}

// Guards against a VM that the others ignore after a restart, because the wall clock was ahead when the previous
// process started (fault clock_step).
func TestRestartAfterClockStep(t *testing.T) {
	w := newNetwork(4, 0)
	w.add(3, 2000)
	w.run(3 * time.Second)
	w.add(3, 1000)
	w.run(2 * time.Second)
	for a, v := range w.views {
		if m := v.members[proto.KeyOf("vm3")]; m != nil && m.heartbeat.Incarnation <= 2000 {
			t.Errorf("%s still has incarnation %d", a, m.heartbeat.Incarnation)
		}
	}
}

// Guards against heartbeat traffic above the limit for control traffic, 16 KB/s each way per VM, which JSON of all
// members exceeded. The limit is the users' target for 3,200 nodes; a VM's traffic depends only on the number of VMs of
// its region.
func TestTrafficOfHeartbeats(t *testing.T) {
	for _, n := range []int{12, 85, 300} {
		t.Run(fmt.Sprint(n, " VMs"), func(t *testing.T) {
			w := newNetwork(n, 0)
			w.run(5 * time.Second)
			w.bytesSent, w.bytesByDistance = map[string]int{}, map[ident.Distance]int{}
			const seconds = 4
			w.run(seconds * time.Second)
			most := 0
			for _, sent := range w.bytesSent {
				most = max(most, sent/seconds)
			}
			if limit := 16_000; most > limit {
				t.Errorf("a VM sends %d bytes a second, want at most %d", most, limit)
			}
			t.Logf("%d VMs: at most %d bytes a second from one; of all VMs %d within failure domains, %d between them, %d between regions",
				n, most, w.bytesByDistance[ident.SameDomain]/seconds, w.bytesByDistance[ident.SameRegion]/seconds, w.bytesByDistance[ident.OtherRegion]/seconds)
		})
	}
}
