package member

import (
	"testing"
	"time"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/store"
)

// A process finds that a VM is dead and is then paused; the VM works again meanwhile. Guards against judging the VM by what
// was seen before the pause: its slots were given to others, and its journal sealed, while it ran.
func TestPauseVoidsEvidence(t *testing.T) {
	const vm = ident.VM("b")
	entries := func(names ...string) (list []store.VMInfo) {
		for _, n := range names {
			list = append(list, store.VMInfo{Name: n, Role: store.RoleEntry, Control: []string{"127.0.0.1:1", "127.0.0.1:2"}})
		}
		return list
	}
	for name, pause := range map[string]time.Duration{"shorter than the limits": 30 * time.Second, "long": time.Hour} {
		now := time.Unix(1_000_000, 0)
		v := NewView("a", 1)
		v.ApplyList(now, entries("a", "b", "c"))
		v.RecordProbe(now, vm, true, 1)
		run := func(d time.Duration) {
			for end := now.Add(d); now.Before(end); now = now.Add(time.Second) {
				v.ApplyList(now, entries("a", "c"))
				v.ProbeTargets(now)
				v.RecordProbe(now, vm, false, 0)
			}
		}
		run(40 * time.Second)
		if v.State(vm, now) != Dead || v.SlotsReclaimable(vm, now) {
			t.Fatalf("%s: state %v, reclaimable %v before the pause", name, v.State(vm, now), v.SlotsReclaimable(vm, now))
		}
		now = now.Add(pause)
		for _, probed := range []bool{false, true} {
			if probed {
				v.ProbeTargets(now)
			}
			if v.State(vm, now) == Dead || v.SlotsReclaimable(vm, now) || v.ProcessDead(vm, 1, now) {
				t.Errorf("%s pause, probing again %v: state %v, reclaimable %v, process dead %v", name, probed,
					v.State(vm, now), v.SlotsReclaimable(vm, now), v.ProcessDead(vm, 1, now))
			}
		}
		run(DeadFailureSpan + 2*time.Second)
		if v.State(vm, now) != Dead || !v.ProcessDead(vm, 1, now) || v.SlotsReclaimable(vm, now) {
			t.Errorf("%s pause: state %v, reclaimable %v after new evidence for %v", name, v.State(vm, now),
				v.SlotsReclaimable(vm, now), DeadFailureSpan)
		}
		run(MissingTimeout)
		if !v.SlotsReclaimable(vm, now) {
			t.Errorf("%s pause: the slots can't be reclaimed %v later", name, MissingTimeout)
		}
	}
}
