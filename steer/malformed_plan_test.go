package steer

import (
	"testing"

	"github.com/currantpier/currantpier/node"
	"github.com/currantpier/currantpier/plan"
	"github.com/currantpier/currantpier/relay"
	"github.com/currantpier/currantpier/store"
)

// Guards against a malformed row of the plan that ends the computation of plans for good, and against a plan that is then
// computed without the grants that entries have.
func TestMalformedPlanRowIsReplaced(t *testing.T) {
	for _, value := range []string{"", "{", "null", `{"version":1}`, `{"version":2,"grants":[{"target":"x","entry":"e1","slots":1}]}`} {
		c := newCluster(t)
		d := c.leader("e1")
		c.accept(d, configuration("one"), 0)
		before := c.plan(d)
		row, err := c.client.Get(t.Context(), node.PlanKey)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.client.Txn(t.Context(), []store.Op{{Key: node.PlanKey, Value: []byte(value), IfVersion: row.Version}}); err != nil {
			t.Fatal(err)
		}
		fresh := c.daemon("e2")
		if fresh.planner.readCurrent(t.Context()) {
			t.Errorf("row %q: a process without the plan in force computes one", value)
		}
		d.planner.currentKnown = false
		if !d.planner.readCurrent(t.Context()) {
			t.Errorf("row %q: no plan is computed any more", value)
			continue
		}
		if len(before.Grants) == 0 || len(d.planner.current.Grants) != len(before.Grants) {
			t.Errorf("row %q: computed from a plan with %d grants, want the one in force with %d", value,
				len(d.planner.current.Grants), len(before.Grants))
		}
		after := c.plan(d)
		if after.Version <= before.Version+1 {
			t.Errorf("row %q: plan %d in force after row version %d", value, after.Version, before.Version+1)
		}
		if row, err := c.client.Get(t.Context(), node.PlanKey); err != nil || checkDocument(node.DocumentIn(relay.Plan, row)) != nil {
			t.Errorf("row %q: replaced by %q, %v", value, row.Value, err)
		}
		if _, err := plan.DecodeVersion(d.sync.Current(relay.Plan).Body, after.Version); err != nil {
			t.Error(err)
		}
	}
}
