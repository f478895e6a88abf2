package steer

import (
	"testing"
	"time"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/node"
	"github.com/currantpier/currantpier/plan"
	"github.com/currantpier/currantpier/relay"
	"github.com/currantpier/currantpier/store"
	"github.com/currantpier/currantpier/wire"
)

// Guards against a plan computed from a restored one, which grants slots that entries have given up since, and against a
// new plan that entries ignore because the store gives out versions again.
func TestPlanAfterRestore(t *testing.T) {
	for _, saved := range []bool{true, false} {
		c := newCluster(t)
		d := c.daemon("a")
		publish := func(service ident.Service) ident.Version {
			t.Helper()
			if _, err := d.planner.keeper.Step(t.Context()); err != nil {
				t.Fatal(err)
			}
			if !d.planner.readCurrent(t.Context()) {
				t.Fatal("the plan could not be read")
			}
			next := d.planner.current
			next.Version++
			next.Targets = []plan.Target{{Name: "t", Service: service}}
			d.planner.write(t.Context(), c.now, next)
			if got := d.sync.Current(relay.Plan).Version; got != next.Version {
				t.Fatalf("plan %d of era %d in force, want %d of era %d", got.Number(), got.Era(), next.Version.Number(), next.Version.Era())
			}
			return next.Version
		}
		if saved {
			publish("restored")
			c.platform.Save()
		}
		publish("older")
		lost := publish("newest")
		c.platform.Restore()
		for range 10 { // the lease of the earlier era is waited out; its renewal fails
			c.now = c.now.Add(2 * time.Second)
			_, _ = d.planner.keeper.Step(t.Context())
		}
		if !d.planner.readCurrent(t.Context()) {
			t.Fatal("the plan could not be read")
		}
		if got := d.planner.current.Targets[0].Service; got != "newest" || !d.planner.lost {
			t.Errorf("saved %v: the next plan is computed from the plan %q, lost %v", saved, got, d.planner.lost)
		}
		if next := publish("next"); next <= lost || next.Era() != 2 || d.planner.lost {
			t.Errorf("saved %v: plan %d of era %d after plan %d", saved, next.Number(), next.Era(), lost)
		}
		fresh := c.daemon("fresh")
		row, err := c.client.Get(t.Context(), node.PlanKey)
		if err != nil {
			t.Fatal(err)
		}
		fresh.sync.Offer(node.DocumentIn(relay.Plan, row))
		if got := fresh.sync.Current(relay.Plan).Version; got != d.sync.Current(relay.Plan).Version {
			t.Errorf("saved %v: plan %d of era %d in the store", saved, got.Number(), got.Era())
		}
	}
}

// Guards against a paused process that uses its slots again after it has read a restored plan: a newer plan, which the
// store has lost, may have granted them to other entries.
func TestRestoredPlanDoesNotConfirm(t *testing.T) {
	c := newCluster(t)
	d := c.daemon("a")
	put := func(v ident.Version, cond store.Row) {
		body := plan.Encode(plan.TrafficPlan{Version: v})
		if _, err := c.client.Txn(t.Context(), []store.Op{{Key: node.PlanKey, Value: body, IfVersion: cond.Version}}); err != nil {
			t.Fatal(err)
		}
	}
	put(1, store.Row{})
	if !d.sync.ConfirmPlan(t.Context()) {
		t.Error("a store that has lost nothing does not confirm its plan")
	}
	c.platform.Save()
	c.platform.Restore()
	if d.sync.ConfirmPlan(t.Context()) {
		t.Error("a restored plan is confirmed")
	}
	row, err := c.client.Get(t.Context(), node.PlanKey)
	if err != nil {
		t.Fatal(err)
	}
	put(row.Version+1, row)
	if !d.sync.ConfirmPlan(t.Context()) {
		t.Error("a plan of the new era is not confirmed")
	}
}

// Guards against a plan computed from a restored one while an entry follows a newer plan that no steer process has.
func TestPlanWaitsForLostPlanOfAnEntry(t *testing.T) {
	c := newCluster(t)
	d := c.daemon("a")
	body := func(v ident.Version) []byte { return plan.Encode(plan.TrafficPlan{Version: v}) }
	if _, err := c.client.Txn(t.Context(), []store.Op{{Key: node.PlanKey, Value: body(1)}}); err != nil {
		t.Fatal(err)
	}
	d.planner.recordReport(c.now, &wire.ReportRequest{Vm: "e", Incarnation: 1, PlanVersion: 3})
	if !d.planner.readCurrent(t.Context()) {
		t.Error("no plan is computed although the store has lost nothing")
	}
	c.platform.Save()
	c.platform.Restore()
	if d.planner.readCurrent(t.Context()) {
		t.Error("the next plan is computed from plan 1 while an entry follows plan 3")
	}
	silent := c.daemon("b")
	silent.planner.recordReport(c.now.Add(-time.Minute), &wire.ReportRequest{Vm: "e", Incarnation: 1, PlanVersion: 3})
	if !silent.planner.readCurrent(t.Context()) {
		t.Error("no plan is computed because of an entry that has been silent for a minute")
	}
	d.sync.Offer(relay.Document{Kind: relay.Plan, Version: 3, Body: body(3)})
	if !d.planner.readCurrent(t.Context()) || !d.planner.lost {
		t.Error("no plan is computed after plan 3 was fetched from the entry")
	}
}
