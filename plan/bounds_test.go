package plan

import (
	"math"
	"testing"
	"time"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/lists"
	"github.com/currantpier/currantpier/store"
)

// Guards against a row of the VM list, or a plan, with a number of slots that occupies the lease holder for minutes, so that
// it loses the lease, and against other targets that get no slots because of it.
func TestSlotsOutOfBounds(t *testing.T) {
	place := ident.Place{Region: "r", Domain: "d"}
	now := time.Unix(1000, 0)
	vms := []store.VMInfo{{Name: "ordinary", Role: store.RoleUpstream, Service: "s", Place: place, Slots: 4}}
	for name, slots := range map[string]ident.Slots{"greatest": math.MaxInt32, "second": math.MaxInt32, "over": MaxSlots + 1, "none": 0, "least": math.MinInt32} {
		vms = append(vms, store.VMInfo{Name: name, Role: store.RoleUpstream, Service: "s", Place: place, Slots: slots})
	}
	in := Input{Config: lists.Config{Version: 1}, VMs: vms, Entries: []Entry{{VM: "a", Place: place, Reported: now}}}
	next, _ := Compute(in, TrafficPlan{}, now)
	if len(next.Targets) != 1 || len(next.Grants) != 1 || next.Grants[0].Slots != 4 {
		t.Errorf("targets %v, grants %v", next.Targets, next.Grants)
	}
	for _, p := range []TrafficPlan{
		{Version: 1, Targets: []Target{{Name: "t", Slots: math.MaxInt32}}, Grants: []Grant{{Target: "t", Entry: "a", Slots: math.MaxInt32}}},
		{Version: 1, Targets: []Target{{Name: "t", Slots: 1}}, Grants: []Grant{{Target: "t", Entry: "a", ReservedSlots: math.MaxInt32, ReservedSince: 1}}},
		{Version: 1, Targets: []Target{{Name: "t", Slots: -1}}},
	} {
		if Validate(p) == nil {
			t.Errorf("valid: %+v", p)
		}
	}
}
