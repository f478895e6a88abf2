package steer

import (
	"testing"
	"time"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/lease"
	"github.com/currantpier/currantpier/node"
	"github.com/currantpier/currantpier/plan"
	"github.com/currantpier/currantpier/relay"
	"github.com/currantpier/currantpier/store"
	"github.com/currantpier/currantpier/wire"
)

// entryVMs returns a VM list with the entries e1 and e2 and the target t, which is not listed as leaving.
func entryVMs() []store.VMInfo {
	place := ident.Place{Region: "r", Domain: "d"}
	return []store.VMInfo{
		{Name: "e1", Role: store.RoleEntry, Place: place},
		{Name: "e2", Role: store.RoleEntry, Place: place},
		{Name: "t", Role: store.RoleUpstream, Place: place, Service: "s", Slots: 4, Address: "127.0.0.1:1"},
		{Name: "u", Role: store.RoleUpstream, Place: place, Service: "s", Slots: 4, Address: "127.0.0.1:2"},
	}
}

// leader returns a steer daemon with the VM list that holds the lease since the present time.
func (c *cluster) leader(vm ident.VM) *Daemon {
	c.Helper()
	d := c.daemon(vm)
	d.members.SetList(c.now, entryVMs())
	c.poll(d)
	for range 10 { // a lease of another process is waited out
		if _, err := d.planner.keeper.Step(c.Context()); err != nil {
			c.Fatal(err)
		}
		if _, held := d.planner.keeper.Held(c.now); held {
			d.planner.heldSince = c.now
			return d
		}
		c.now = c.now.Add(2 * time.Second)
	}
	c.Fatalf("%s does not get the lease", vm)
	return nil
}

// report records the report of an entry that has applied the plan in force and knows the given leaving targets.
func (c *cluster) report(d *Daemon, entry ident.VM, leaving ...string) {
	v := uint64(d.sync.Current(relay.Plan).Version)
	r := &wire.ReportRequest{Vm: string(entry), Incarnation: 1, PlanVersion: v, AckedPlan: v}
	for _, t := range leaving {
		r.Targets = append(r.Targets, &wire.TargetUse{Target: t, Leaving: true})
	}
	d.members.RecordMessage(c.now, entry, 1)
	d.planner.recordReport(c.now, r)
}

// plan computes and publishes the next plan of d and returns the plan in force.
func (c *cluster) plan(d *Daemon) plan.TrafficPlan {
	c.Helper()
	if !d.planner.currentKnown && !d.planner.readCurrent(c.Context()) {
		c.Fatal("the plan could not be read")
	}
	d.planner.publish(c.Context(), c.now)
	t, err := plan.Decode(d.sync.Current(relay.Plan).Body)
	if err != nil {
		c.Fatal(err)
	}
	return t
}

// leavingTarget reports whether target t of the plan is leaving, and how many of its slots are granted.
func leavingTarget(t plan.TrafficPlan) (leaving bool, slots ident.Slots) {
	for _, tg := range t.Targets {
		leaving = leaving || tg.Name == "t" && tg.Leaving
	}
	for _, g := range t.Grants {
		if g.Target == "t" {
			slots += g.Slots
		}
	}
	return leaving, slots
}

// The steer process that holds the lease is replaced while a target leaves, which only the entries know yet. Guards
// against its successor granting slots of the target again before the entries have reported to it.
func TestSuccessorKeepsLeavingTarget(t *testing.T) {
	c := newCluster(t)
	first := c.leader("e1")
	c.accept(first, configuration("one"), 0)
	c.plan(first)
	c.report(first, "e1", "t")
	c.report(first, "e2")
	if leaving, slots := leavingTarget(c.plan(first)); !leaving || slots != 0 {
		t.Fatalf("leaving %v, %d slots granted after an entry has reported that the target leaves", leaving, slots)
	}
	second := c.leader("e2")
	for range 6 {
		if leaving, slots := leavingTarget(c.plan(second)); !leaving || slots != 0 {
			t.Fatalf("leaving %v, %d slots granted by a successor without reports", leaving, slots)
		}
		c.now = c.now.Add(roundInterval)
	}
	c.report(second, "e2")
	if leaving, slots := leavingTarget(c.plan(second)); !leaving || slots != 0 {
		t.Errorf("leaving %v, %d slots granted by a successor with the report of one of two entries", leaving, slots)
	}
	c.report(second, "e1", "t")
	if leaving, slots := leavingTarget(c.plan(second)); !leaving || slots != 0 {
		t.Errorf("leaving %v, %d slots granted after the reports", leaving, slots)
	}
	// The target has started anew: no entry calls it leaving any more.
	c.report(second, "e1")
	if leaving, slots := leavingTarget(c.plan(second)); leaving || slots == 0 {
		t.Errorf("leaving %v, %d slots granted after the target has returned", leaving, slots)
	}
}

// The steer process is paused right before it renews the lease. Guards against the pause counting as time in which it
// observed the entries: slots of an entry that it has not heard of yet were then granted to others at once.
func TestPauseBeforeRenewal(t *testing.T) {
	c := newCluster(t)
	d := c.daemon("e1")
	var pause time.Duration
	d.planner.keeper = lease.NewKeeper(c.client, "e1", 1, func() time.Time {
		c.now = c.now.Add(pause)
		pause = 0
		return c.now
	})
	d.members.SetList(c.now, entryVMs())
	round := func() (term ident.Term, held bool) {
		d.planner.nextStep = time.Time{}
		d.planner.runRound(c.Context())
		return d.planner.keeper.Held(c.now)
	}
	first, _ := round()
	since := d.planner.heldSince
	c.now = c.now.Add(4 * time.Second)
	if term, held := round(); !held || term != first || d.planner.heldSince != since {
		t.Fatalf("held %v, term %d after %d: the lease is not renewed", held, term, first)
	}
	pause = time.Minute
	if term, held := round(); !held || term == first {
		t.Fatalf("held %v, term %d after %d; want a new term after the pause", held, term, first)
	}
	if observed := c.now.Sub(d.planner.heldSince); observed != 0 {
		t.Errorf("the entries count as observed for %v at the start of a term", observed)
	}
}

// The holder of the lease is paused before or within its write of a plan, and its successor has published another one.
// Guards against a plan in force that was computed on a lease that ran out.
func TestPausedHolderWritesNothing(t *testing.T) {
	for _, pausedWithinWrite := range []bool{false, true} {
		c := newCluster(t)
		first := c.leader("e1")
		c.accept(first, configuration("one"), 0)
		c.plan(first)
		next, checkedAt := first.planner.current, c.now
		next.Version++
		next.Targets = nil
		second := c.leader("e2") // waits until the lease has run out
		c.accept(second, configuration("two"), second.sync.Current(relay.Config).Version)
		inForce := c.plan(second)
		if !pausedWithinWrite {
			checkedAt = c.now
		}
		first.planner.write(c.Context(), checkedAt, next)
		row, err := c.client.Get(t.Context(), node.PlanKey)
		if err != nil {
			t.Fatal(err)
		}
		if row.Version != inForce.Version || first.sync.Current(relay.Plan).Version >= next.Version || first.planner.fenced.Count() != 1 {
			t.Errorf("paused within the write %v: plan %d in the store, want %d; plan %d in force at the paused process", pausedWithinWrite,
				row.Version, inForce.Version, first.sync.Current(relay.Plan).Version)
		}
	}
}
