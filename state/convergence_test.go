package state

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/ident"
)

// TestMain fixes the seed and number of rapid's checks, so that each run checks the same cases. Command-line flags override
// these values: go test ./state -run TestVMsConverge -rapid.checks=20000 -rapid.seed=7.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "12", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

const (
	// applyTime is the time after which a confirmed configuration is in force on each VM that reaches the store and the others.
	applyTime = 2500 * time.Millisecond
	// modelWarmup is the warm-up of a target.
	modelWarmup = 3 * time.Second
	// contactTime is the time after the last fault from which on applyTime holds.
	contactTime = 4 * time.Second
)

// fault is one random action of the model. The meaning of the numbers depends on the kind.
type fault struct {
	kind string
	vm   int
	// length is how long the fault lasts, or how far back a copy of the store goes; after the time to the next action.
	length, after time.Duration
}

var faultKinds = []string{
	"config", "config", "evacuate", "register", "drain", "leave", "restart-target",
	"restore", "restore", "restore-slowly", "compact", "refuse", "refuse-all", "cut", "pause", "restart-vm", "noise", "old-build",
	"burst", "refuse-connection",
}

func drawFaults(t *rapid.T) []fault {
	millis := func(limit int) *rapid.Generator[time.Duration] {
		return rapid.Map(rapid.IntRange(0, limit), func(n int) time.Duration { return time.Duration(n) * time.Millisecond })
	}
	one := rapid.Custom(func(t *rapid.T) fault {
		return fault{rapid.SampledFrom(faultKinds).Draw(t, "kind"), rapid.IntRange(0, 5).Draw(t, "vm"), millis(6000).Draw(t, "length"),
			millis(2500).Draw(t, "after")}
	})
	return rapid.SliceOfN(one, 1, 20).Draw(t, "faults")
}

// begin begins a fault and returns when it ends.
func (w *network) begin(f fault) time.Time {
	w.t.Logf("%v %+v, store %s", w.now.Sub(modelStart), f, ident.NewVersion(w.store.era, w.store.version))
	until := w.now.Add(f.length)
	v := w.vms[f.vm%len(w.vms)]
	switch f.kind {
	case "config":
		w.configure()
		return w.now
	case "evacuate":
		d := modelDomains[f.vm%len(modelDomains)]
		w.evacuated[d] = !w.evacuated[d]
		w.toggles[d]++
		w.written[evacuationPrefix+d] = noVersion
		w.operatorWrites[evacuationPrefix+d] = w.now
		return w.now
	case "burst":
		// Several changes while the messages and calls with the first are on their way.
		for range 4 {
			w.begin(fault{kind: "evacuate", vm: f.vm})
			w.configure()
			w.run(w.upTo(4*modelStep) + modelStep)
		}
		return w.now
	case "register":
		w.targets = append(w.targets, &modelTarget{incarnation: incarnation{ident.Target(fmt.Sprint("t", len(w.targets))), w.now.UnixMilli()},
			ready: true, nextWrite: w.now})
		return w.now
	case "drain", "leave", "restart-target":
		if len(w.targets) > 0 {
			w.targets[f.vm%len(w.targets)].change(w.now, f.kind)
		}
		return w.now
	case "restore":
		w.restore(w.copyTime(f.length), 0)
		return w.now.Add(rewriteTime)
	case "restore-slowly":
		down := time.Duration(f.vm) * 500 * time.Millisecond
		w.restore(w.copyTime(f.length), down)
		return w.now.Add(down + rewriteTime)
	case "compact":
		w.store.compacted = w.store.version
		return w.now
	case "refuse":
		v.refused = w.newOutage(f.length)
	case "refuse-all":
		for i, o := range w.vms {
			if i != f.vm {
				o.refused = w.newOutage(f.length)
			}
		}
	case "refuse-connection":
		if len(w.targets) > 0 {
			v.reportAssumed(w.targets[f.vm%len(w.targets)], true)
		}
		return w.now
	case "cut":
		v.cutUntil = until
	case "pause":
		v.pausedUntil = until
	case "restart-vm":
		v.start()
		return w.now
	case "old-build":
		v.old, w.old = true, true
		return w.now
	case "noise":
		w.noisyUntil = until
	}
	return until
}

// reportAssumed lets a VM report that a target is cold by assumption: it has refused a connection, or its answer is late.
func (v *modelVM) reportAssumed(t *modelTarget, refused bool) {
	c := fleet.ColdReport{ID: t.id, StartedUnixMS: t.born, Left: modelWarmup, Assumed: true, Refused: refused}
	v.deltas = append(v.deltas, v.input(nil, func(now time.Time) bool {
		v.s.collectedCold = append(v.s.collectedCold, c)
		return v.s.applyOwnColdReports(now)
	}))
}

// checkColdReports checks that what one VM reports of a target is known on each, and that heartbeats end it everywhere.
func (w *network) checkColdReports() {
	i := slices.IndexFunc(w.targets, func(t *modelTarget) bool { return t.ready && !t.left })
	if i < 0 {
		return
	}
	t := w.targets[i]
	for _, v := range w.vms {
		if v.s.view.AssumedCold(w.now, t.id) {
			w.t.Fatalf("%s: the target %s writes heartbeats and is cold by assumption", v.info.VM, t.id)
		}
	}
	// A refused connection may count for one VM alone by now.
	w.vms[w.rnd.Intn(len(w.vms))].reportAssumed(t, false)
	w.run(2 * (maxDelay + maxQueueDelay))
	for _, v := range w.vms {
		if !v.s.view.AssumedCold(w.now, t.id) {
			w.t.Fatalf("%s doesn't know that the target %s is assumed to be cold", v.info.VM, t.id)
		}
	}
}

// copyTime returns the time of a copy of the given age. The first configuration is in each copy: it is written before there is
// traffic.
func (w *network) copyTime(age time.Duration) time.Time {
	at := w.now.Add(-age)
	if at.Before(w.settled) {
		return w.settled
	}
	return at
}

// configure writes a new configuration.
func (w *network) configure() {
	w.config += 1 + ident.Version(w.rnd.Intn(3))
	w.operatorWrites["config"] = w.now
}

// change changes a target by an action of its own.
func (t *modelTarget) change(now time.Time, kind string) {
	t.nextWrite = now
	switch kind {
	case "drain":
		t.ready = false
	case "leave":
		t.left = true
	case "restart-target":
		*t = modelTarget{incarnation: incarnation{t.id, now.UnixMilli()}, ready: true, nextWrite: now}
	}
}

// check checks what holds at any time, in any trouble.
func (v *modelVM) check() {
	s, w := v.s, v.w
	fail := func(format string, args ...any) {
		w.t.Helper()
		w.t.Fatalf("%v, %s: %s", w.now.Sub(modelStart), v.info.VM, fmt.Sprintf(format, args...))
	}
	if s.view.Version() < v.config {
		fail("configuration %d after %d", s.view.Version(), v.config)
	}
	v.config = s.view.Version()
	if s.operatorRows == nil {
		return
	}
	if got := string(s.operatorRows["config"].Value); got != fmt.Sprint(uint64(v.config)) {
		fail("a VM that starts gets configuration %s, in force is %d", got, v.config)
	}
	v.checkTargets(fail)
	v.checkEvacuations(fail)
	if w.old && min(s.applied[Operator].Era(), s.applied[Registry].Era()) < w.store.era {
		return // a VM that does not know of the restore yet takes changes of the old build for those of the lost history
	}
	if d := v.lacks(s.applied[Operator]); d != "" {
		fail("the operators' table is applied up to %s and lacks %s", s.applied[Operator], d)
	}
	if d := v.lacksTarget(s.applied[Registry]); d != "" {
		fail("the registry is applied up to %s, but %s", s.applied[Registry], d)
	}
	if d := cmp.Diff(evacuations(s.operatorRows), v.evacuated(), cmpopts.EquateEmpty()); d != "" && s.restore.settlesAt.IsZero() {
		fail("evacuations in the table for VMs that start, and in force: %s", d)
	}
}

// checkTargets fails if the VM uses a target again of whose departure it has known: it had used the target, and has read the registry
// in which that was leaving.
func (v *modelVM) checkTargets(fail func(format string, args ...any)) {
	usable := v.usable()
	for _, t := range v.w.targets {
		if usable[t.incarnation] && v.gone[t.incarnation] {
			fail("target %s is in use again, though it left", t.id)
		}
		v.used[t.incarnation] = v.used[t.incarnation] || usable[t.incarnation]
		if v.used[t.incarnation] && !usable[t.incarnation] && t.departureIn(v.s.applied[Registry]) {
			v.gone[t.incarnation] = true
		}
	}
}

// checkEvacuations fails if a VM that has seen the operators' last write of an evacuation takes it back in the settle time after the
// first reading of a restored store, or while it can't read the store. A copy with an evacuation before the last one that ended may start
// it again: only the last one is remembered.
func (v *modelVM) checkEvacuations(fail func(format string, args ...any)) {
	w := v.w
	if era := v.s.applied[Operator].Era(); era > v.era {
		v.era, v.eraSince = era, w.now
	}
	now := v.evacuated()
	for _, d := range modelDomains {
		if now[d] == v.evacuations[d] {
			continue
		}
		kept := w.now.Before(v.eraSince.Add(settleTime-maxQueueDelay)) || v.s.unreachable[Operator]
		last := v.s.operatorRows[evacuationPrefix+d].Version.Number() == w.lastStart[d]
		if kept && v.seen[d] == w.toggles[d] && now[d] != w.evacuated[d] && (last || !now[d]) {
			fail("evacuation of %s is %v again", d, now[d])
		}
		written := w.written[evacuationPrefix+d]
		if now[d] == w.evacuated[d] && written <= v.s.applied[Operator] && written.Era() == v.era {
			v.seen[d] = w.toggles[d]
		}
	}
	v.evacuations = now
}

// departureIn reports whether the registry at a version contains that the target was leaving.
func (t *modelTarget) departureIn(version ident.Version) bool {
	return slices.ContainsFunc(t.departures, func(d ident.Version) bool { return d <= version && d.Era() == version.Era() })
}

// lacks describes a change of the operators' table up to a version that the VM's rows lack.
func (v *modelVM) lacks(version ident.Version) string {
	want, known := v.w.store.contents(Operator, version)
	if !known {
		return "a version that the store never had"
	}
	for key, row := range want {
		got, ok := v.s.operatorRows[key]
		if !ok || got.Version < row.Version && key != "config" {
			return fmt.Sprintf("%s %q of %s: has %q of %s", key, row.Value, row.Version, got.Value, got.Version)
		}
	}
	for key, row := range v.s.operatorRows {
		if _, ok := want[key]; !ok && row.Version <= version {
			return fmt.Sprintf("the removal of %s of %s", key, row.Version)
		}
	}
	return ""
}

// lacksTarget describes a target that the VM uses although the registry at a version contains its departure, or that it doesn't use
// although it is registered then; it may know of a later departure. Entries that may have lapsed are used for a while.
func (v *modelVM) lacksTarget(version ident.Version) string {
	now := v.w.now
	rows, _ := v.w.store.contents(Registry, version)
	usable := v.usable()
	if now.Before(v.s.restore.registrySettlesAt.Add(fleet.RegistryGrace)) || version == 0 {
		return ""
	}
	for _, t := range v.w.targets {
		e, _ := modelDecoder{}.DecodeEntry(rows[string(t.id)])
		registered := e.Ready && e.StartedUnixMS == t.born
		switch {
		case usable[t.incarnation] && t.departureIn(version) && !v.s.view.Lapsed(now, t.id):
			return fmt.Sprintf("target %s is in use", t.id)
		case !usable[t.incarnation] && registered && t.ready && !t.left:
			return fmt.Sprintf("target %s is not in use", t.id)
		}
	}
	return ""
}

// checkInForce checks that each VM has the operators' newest state and the registry's targets.
func (w *network) checkInForce(when string) {
	targets := map[incarnation]bool{}
	for _, t := range w.targets {
		if t.ready && !t.left {
			targets[t.incarnation] = true
		}
	}
	evacuated := map[string]bool{}
	for d, on := range w.evacuated {
		if on {
			evacuated[d] = true
		}
	}
	for _, v := range w.vms {
		started, _ := newTestState(w.now)
		started.cfg.Decoder = modelDecoder{}
		m := v.s.fullState(w.now)
		if m == nil {
			w.t.Fatalf("%s: %s has not read the tables", when, v.info.VM)
		}
		started.applyPeerState(w.now, m)
		d := cmp.Diff(evacuated, v.evacuated(), cmpopts.EquateEmpty()) + cmp.Diff(targets, v.usable(), cmp.AllowUnexported(incarnation{}), cmpopts.EquateEmpty()) +
			cmp.Diff(evacuated, evacuations(v.s.operatorRows), cmpopts.EquateEmpty())
		if v.s.view.Version() != w.config || started.view.Version() != w.config || d != "" {
			w.t.Fatalf("%s: %s: configuration %d, a VM that starts gets %d, want %d; applied %v, store %s, behind since %v, unreachable %v\n%s", when, v.info.VM,
				v.s.view.Version(), started.view.Version(), w.config, v.s.applied, ident.NewVersion(w.store.era, w.store.version),
				v.s.behindSince, v.s.unreachable, d)
		}
	}
}

// Guards against VMs that stay behind, take a configuration back or use a target that left, after the store was restored from
// earlier copies, beside lost messages, refused calls, pauses and restarts. In calm, a change is in force everywhere within
// applyTime.
func TestVMsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newNetwork(t, rapid.IntRange(3, 6).Draw(t, "vms"), rapid.IntRange(1, 2).Draw(t, "regions"), rapid.Int64().Draw(t, "seed"))
		w.play(drawFaults(t))
	})
}

// play lets the faults strike one after another, and then checks what the VMs have.
func (w *network) play(faults []fault) {
	w.operatorWrites["config"] = w.now
	for range 3 {
		w.begin(fault{kind: "register"})
	}
	w.run(contactTime)
	w.settled = w.now
	calm := w.now
	for _, f := range faults {
		if end := w.begin(f); end.After(calm) {
			calm = end
		}
		w.run(f.after)
	}
	w.run(max(calm.Sub(w.now), 0) + contactTime + applyTime)
	w.checkInForce("after the last fault")
	w.checkColdReports()
	for range 3 {
		w.configure()
		w.begin(fault{kind: "evacuate", vm: w.rnd.Intn(2)})
		w.begin(fault{kind: "register"})
		w.begin(fault{kind: "drain", vm: w.rnd.Intn(6)})
		w.run(applyTime + w.upTo(time.Second))
		w.checkInForce("after a change in calm")
	}
}
