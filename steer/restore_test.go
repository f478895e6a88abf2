package steer

import (
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"github.com/currantpier/currantpier/config"
	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/kinds"
	"github.com/currantpier/currantpier/lease"
	"github.com/currantpier/currantpier/lists"
	"github.com/currantpier/currantpier/node"
	"github.com/currantpier/currantpier/relay"
	"github.com/currantpier/currantpier/store"
	"github.com/currantpier/currantpier/stubs"
	"github.com/currantpier/currantpier/wire"
)

// cluster is a stand-in store with steer daemons whose services do not run: the tests call their steps.
type cluster struct {
	*testing.T
	platform *stubs.Platform
	client   *store.Client
	now      time.Time
}

func newCluster(t *testing.T) *cluster {
	c := &cluster{T: t, now: time.Unix(1_000_000, 0)}
	c.platform = stubs.NewPlatform(c.clock, 0)
	srv := httptest.NewServer(c.platform)
	t.Cleanup(srv.Close)
	c.client = store.New(srv.URL)
	return c
}

func (c *cluster) clock() time.Time { return c.now }

func (c *cluster) daemon(vm ident.VM) *Daemon {
	d := &Daemon{
		self:  node.Self{VM: vm, Daemon: node.SteerDaemon, Incarnation: 1},
		clock: c.clock, logger: log.NewNopLogger(), metrics: metrics.NewRegistry(), store: c.client, peers: node.NewPeers(),
		cfg: &config.Settings{Shift: config.Shift{PerStep: ident.Whole / 20, PerMinute: ident.Whole / 5}},
	}
	d.members = node.NewMembers(d.self, c.client, d.peers, c.clock, d.logger, nil)
	d.sync = node.NewSync(d.self, relay.Options{}, c.client, d.members, d.peers, c.clock, d.logger, checkDocument)
	d.sync.OnLostConfig(d.rewriteConfig)
	d.planner = newPlanner(d, lease.NewKeeper(c.client, vm, 1, c.clock))
	return d
}

// configuration returns a configuration whose plan has the given name.
func configuration(name ident.PlanName) []byte {
	return lists.Config{Uses: []lists.Use{{Plan: name, Service: "s", Rate: 1, Weight: 1}}}.Encode()
}

// apply proposes a configuration through d.
func (c *cluster) apply(d *Daemon, body []byte, expected ident.Version) *wire.ApplyReply {
	c.Helper()
	reply, err := d.apply(c.Context(), &wire.ApplyRequest{Body: body, ExpectedVersion: uint64(expected)})
	if err != nil {
		c.Fatal(err)
	}
	return reply
}

func (c *cluster) accept(d *Daemon, body []byte, expected ident.Version) ident.Version {
	c.Helper()
	reply := c.apply(d, body, expected)
	if !reply.GetAccepted() {
		c.Fatalf("configuration after version %d refused: version %d is in force", expected, reply.GetVersion())
	}
	return ident.Version(reply.GetVersion())
}

// poll reads the configuration from the store, as a relay does each second, and returns the version then in force.
func (c *cluster) poll(d *Daemon) ident.Version {
	d.sync.Poll(c.Context(), relay.Config)
	return d.sync.Current(relay.Config).Version
}

func planName(t *testing.T, doc relay.Document) ident.PlanName {
	c, err := lists.Decode(doc.Body)
	if err != nil {
		t.Fatal(err)
	}
	return c.Uses[0].Plan
}

// Guards against an accepted configuration that reverts, on VMs or in the store, because the store has lost it, whichever
// VM writes what it has first; also if a VM has an older one, and if the store returns again.
func TestLostConfigIsWrittenAgain(t *testing.T) {
	for _, behindFirst := range []bool{false, true} {
		c := newCluster(t)
		ahead, behind := c.daemon("ahead"), c.daemon("behind")
		first := c.accept(ahead, configuration("one"), 0)
		c.platform.Save()
		second := c.accept(ahead, configuration("two"), first)
		c.poll(behind)
		third := c.accept(ahead, configuration("three"), second)
		for range 3 {
			c.platform.Restore()
			order := []*Daemon{ahead, behind}
			if behindFirst {
				slices.Reverse(order)
			}
			for range 2 {
				for _, d := range order {
					c.poll(d)
				}
			}
			fresh := c.daemon("fresh")
			for name, d := range map[string]*Daemon{"ahead": ahead, "behind": behind, "started later": fresh} {
				if got := c.poll(d); got != third || planName(t, d.sync.Current(relay.Config)) != "three" {
					t.Errorf("VM %s: version %d (era %d) in force, want %d", name, got.Number(), got.Era(), third)
				}
			}
		}
		// The change after the restores continues from the version that operators see.
		fourth := c.accept(behind, configuration("four"), third)
		if fourth <= third || c.poll(ahead) != fourth || planName(t, ahead.sync.Current(relay.Config)) != "four" {
			t.Errorf("configuration accepted after the restore: version %d of era %d", fourth.Number(), fourth.Era())
		}
		c.platform.Save()
		c.platform.Restore()
		if got := c.poll(ahead); got != fourth {
			t.Errorf("version %d of era %d after a restore that lost nothing, want %d", got.Number(), got.Era(), fourth.Number())
		}
	}
}

// Guards against a proposal that replaces an accepted configuration that its operator has not seen, because the store has
// lost it: the version that the operator expects is in the store again, or nothing is.
func TestProposalOnRestoredVersionIsRefused(t *testing.T) {
	c := newCluster(t)
	d := c.daemon("a")
	c.platform.Save()
	first := c.accept(d, configuration("one"), 0)
	second := c.accept(d, configuration("two"), first)
	c.platform.Restore()
	for _, expected := range []ident.Version{0, first} {
		if reply := c.apply(d, configuration("other"), expected); reply.GetAccepted() || ident.Version(reply.GetVersion()) != second {
			t.Errorf("proposal after version %d: %+v", expected, reply)
		}
	}
	third := c.accept(d, configuration("three"), second)
	if third <= second || third.Era() != 2 {
		t.Errorf("version %d of era %d accepted after %d", third.Number(), third.Era(), second)
	}
	if row := c.platform.Row(node.ConfigKey); string(row.Value) == "" || planName(t, relay.Document{Body: row.Value}) != "three" {
		t.Errorf("row: %s", row.Value)
	}
}

// Guards against a proposal that replaces an accepted configuration that its operator has not seen, because it is made to a process
// that has started after the restore and knows the restored configuration only.
func TestProposalToStartingProcessAfterRestore(t *testing.T) {
	c := newCluster(t)
	running := c.daemon("running")
	first := c.accept(running, configuration("one"), 0)
	c.platform.Save()
	second := c.accept(running, configuration("two"), first)
	c.platform.Restore()
	proposal := &wire.ApplyRequest{Body: configuration("other"), ExpectedVersion: uint64(first)}
	starting := c.daemon("starting")
	if reply, err := starting.apply(t.Context(), proposal); kinds.Of(err) != kinds.Stopping {
		t.Errorf("proposal to a process that has not asked others: %+v, error %v", reply, err)
	}
	starting.sync.Offer(running.sync.Current(relay.Config))
	if reply := c.apply(starting, configuration("other"), first); reply.GetAccepted() || ident.Version(reply.GetVersion()) != second {
		t.Errorf("proposal after version %d to a process that has version %d: %+v", first, second, reply)
	}
	if got := c.poll(running); got != second {
		t.Errorf("version %d of era %d in force, want %d", got.Number(), got.Era(), second)
	}
}

// Guards against a proposal that is refused in favour of a version that is older than the one in force, because the store is
// restored after the proposal was checked and before it is written, or before the result of its write is read back.
func TestRestoreDuringProposal(t *testing.T) {
	for _, lost := range []int{0, 1} {
		c := newCluster(t)
		d := c.daemon("a")
		first := c.accept(d, configuration("one"), 0)
		c.platform.Save()
		second := c.accept(d, configuration("two"), first)
		restored := false
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			writes := c.platform.Counts().Lost
			if write := r.Method == http.MethodPut; !restored && (write && lost == 0 || !write && writes > 0) {
				restored = true
				c.platform.Restore()
			}
			c.platform.ServeHTTP(w, r)
		}))
		t.Cleanup(srv.Close)
		c.platform.SetFaults(stubs.PlatformFaults{LoseResponses: lost})
		d.store = store.New(srv.URL)
		reply := c.apply(d, configuration("three"), second)
		if v := ident.Version(reply.GetVersion()); !reply.GetAccepted() || v.Era() != 2 || !restored {
			t.Errorf("%d responses lost, restored %v: accepted %v, version %s", lost, restored, reply.GetAccepted(), v)
		}
		if row := c.platform.Row(node.ConfigKey); planName(t, relay.Document{Body: row.Value}) != "three" {
			t.Errorf("%d responses lost: row %s", lost, row.Value)
		}
	}
}
