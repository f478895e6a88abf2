package lease_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/kinds"
	"github.com/currantpier/currantpier/lease"
	"github.com/currantpier/currantpier/store"
)

const second = time.Second

const planKey = "plan/current"

var epoch = time.Unix(1_000_000, 0)

// Guards against a challenger that acquires a live lease or never acquires an expired one, a term that does not grow, a
// renewal before or long after a third of the length, and a lease that is considered held after a write that may not
// have happened.
func TestDecide(t *testing.T) {
	base := lease.State{Self: "a", Incarnation: 1, Duration: 10 * second, Margin: second}
	holding := base
	holding.Version, holding.Term, holding.ValidUntil = 5, 2, epoch.Add(9*second) // written at epoch
	watching := base
	watching.ObservedVersion, watching.ObservedAt = 5, epoch
	pending := base
	pending.PendingTerm, pending.PendingSince = 3, epoch
	own := lease.Row{Version: 5, Holder: "a", Incarnation: 1, Term: 2}
	other := lease.Row{Version: 5, Holder: "b", Incarnation: 1, Term: 2}
	restarted := lease.Row{Version: 5, Holder: "a", Incarnation: 7, Term: 2}
	longerLength := lease.Row{Version: 5, Holder: "b", Incarnation: 1, Term: 2, DurationMs: 30_000}
	ownNextTerm := lease.Row{Version: 6, Holder: "a", Incarnation: 1, Term: 3}
	tests := []struct {
		name  string
		state lease.State
		row   lease.Row
		at    time.Duration
		do    lease.Verb
		term  ident.Term // of the row to write
		next  time.Duration
		held  bool
	}{
		{"no row", base, lease.Row{}, 0, lease.Acquire, 1, 10 * second / 3, false},
		{"released", watching, lease.Row{Version: 6, Term: 4}, 0, lease.Acquire, 5, 10 * second / 3, false},
		{"another holder read for the first time", base, other, 0, lease.Wait, 0, 10 * second / 3, false},
		{"unchanged for almost the length", watching, other, 10*second - 1, lease.Wait, 0, 10 * second, false},
		{"unchanged for the length", watching, other, 10 * second, lease.Acquire, 3, 40 * second / 3, false},
		{"renewed by the holder", watching, lease.Row{Version: 6, Holder: "b", Term: 2}, 10 * second, lease.Wait, 0, 40 * second / 3, false},
		{"the holder has a longer length", watching, longerLength, 10 * second, lease.Wait, 0, 40 * second / 3, false},
		{"an earlier process of the same VM", base, restarted, 0, lease.Wait, 0, 10 * second / 3, false},
		{"renewal not due", holding, own, second, lease.Wait, 0, 10 * second / 3, true},
		{"renewal due", holding, own, 10 * second / 3, lease.Renew, 2, 20 * second / 3, true},
		{"just before the end", holding, own, 9*second - 1, lease.Renew, 2, 9*second - 1 + 10*second/3, true},
		{"ended for the holder", holding, own, 9 * second, lease.Acquire, 3, 9*second + 10*second/3, false},
		{"acquired by another process", holding, lease.Row{Version: 6, Holder: "b", Term: 3}, second, lease.Wait, 0, second + 10*second/3, false},
		{"the write without response took effect", pending, ownNextTerm, second, lease.Wait, 0, 10 * second / 3, true},
		{"the write without response took effect long ago", pending, ownNextTerm, 9 * second, lease.Acquire, 4, 9*second + 10*second/3, false},
		{"the write without response did not take effect", pending, lease.Row{Version: 5, Term: 2}, second, lease.Acquire, 3, second + 10*second/3, false},
		{"an earlier process of the same VM with the term of the write without response", pending, lease.Row{Version: 6, Holder: "a", Incarnation: 7, Term: 3},
			second, lease.Wait, 0, second + 10*second/3, false},
		{"a row of this process that it did not write", base, ownNextTerm, second, lease.Wait, 0, second + 10*second/3, false},
	}
	for _, tt := range tests {
		now := epoch.Add(tt.at)
		a := lease.Decide(tt.state, tt.row, now)
		if a.Do != tt.do || a.Row.Term != tt.term || a.NextAt.Sub(epoch) != tt.next {
			t.Errorf("%s: do %v, term %d, at %v", tt.name, a.Do, a.Row.Term, a.NextAt.Sub(epoch))
		}
		if a.Do != lease.Wait && (a.Op.IfVersion != tt.row.Version || a.Op.CheckOnly || a.Op.Key != lease.Key) {
			t.Errorf("%s: write without a condition on the row read: %+v", tt.name, a.Op)
		}
		if _, held := a.State.Held(now); held != tt.held {
			t.Errorf("%s: held = %v", tt.name, held)
		}
	}
}

// Guards against a guess about a write whose response was lost: whether the lease is held must follow the row as read
// back, and run from before the first write that may have produced it.
func TestLostResponses(t *testing.T) {
	tests := []struct {
		outcome writeOutcome
		until   time.Duration
	}{{responseLost, 9 * second}, {requestLost, 10 * second}, {refused, 10 * second}}
	for _, tt := range tests {
		st, c := newFakeStore(), &fakeClock{epoch}
		k := lease.NewKeeper(st, "a", 1, c.Now)
		st.setNextOutcome(tt.outcome)
		if _, err := k.Step(t.Context()); err == nil {
			t.Errorf("outcome %d: no error", tt.outcome)
		}
		if _, held := k.Held(c.now); held {
			t.Errorf("outcome %d: held without a response", tt.outcome)
		}
		c.advance(second)
		mustStep(t, k)
		term, held := k.Held(epoch.Add(tt.until - 1))
		_, after := k.Held(epoch.Add(tt.until))
		if !held || after || term != 1 {
			t.Errorf("outcome %d: held %v, after %v, term %d", tt.outcome, held, after, term)
		}
	}
}

// Guards against a delayed renewal that is applied between the read-back and the repeated write, and is then attributed
// to another process or to the later of two renewals.
func TestDelayedRenewal(t *testing.T) {
	st, c := newFakeStore(), &fakeClock{epoch}
	k := lease.NewKeeper(st, "a", 1, c.Now)
	step := func(want kinds.Kind) {
		t.Helper()
		if _, err := k.Step(t.Context()); kinds.Of(err) != want {
			t.Errorf("at %v: %v, want %v", c.now.Sub(epoch), err, want)
		}
	}
	step(kinds.Answered)
	c.advance(4 * second)
	st.setNextOutcome(delayed)
	step(kinds.StoreUnknown)
	c.advance(second)
	st.nextOutcome = func() writeOutcome { st.nextOutcome = nil; st.applyDelayed(); return applied }
	step(kinds.Conflict)
	c.advance(second)
	step(kinds.Answered)
	if u := k.State().ValidUntil.Sub(epoch); u != 13*second {
		t.Errorf("held until %v, want 13 s: the renewal was sent at 4 s", u)
	}
	for _, outcome := range []writeOutcome{delayed, requestLost} { // at 8 s and at 9 s
		c.advance(2 * second)
		st.setNextOutcome(outcome)
		step(kinds.StoreUnknown)
		c.advance(-second)
	}
	st.applyDelayed()
	c.advance(second)
	step(kinds.Answered)
	if u := k.State().ValidUntil.Sub(epoch); u != 17*second {
		t.Errorf("held until %v, want 17 s: the first of the two renewals was sent at 8 s", u)
	}
}

// Guards against two holders at once, a former holder whose plan is accepted, a term that decreases, and a lease that no
// process acquires: five processes with clocks that differ in time and by up to 4% in rate, which are paused between
// and during calls, and whose writes are refused, lost or delayed.
func TestOneHolder(t *testing.T) {
	terms := 0
	for seed := range uint64(60) {
		sim := newSimulation(seed)
		sim.run(300 * second)
		if sim.violation != "" {
			t.Fatalf("seed %d: %s", seed, sim.violation)
		}
		terms += int(sim.term)
	}
	if terms < 300 {
		t.Errorf("only %d terms in 60 runs, want at least 300: too few changes of the holder to test them", terms)
	}
}

// Guards against the same violations, and a term of two holders, when the store returns to a copy up to 20 s old every
// 25 s on average: it has then lost acquisitions, renewals and releases, and gives out their versions again.
func TestOneHolderOfRestoredStore(t *testing.T) {
	terms := 0
	for seed := range uint64(60) {
		sim := newSimulation(seed)
		sim.restores = true
		sim.run(300 * second)
		if sim.violation != "" {
			t.Fatalf("seed %d, era %d: %s", seed, sim.store.era, sim.violation)
		}
		terms += len(sim.holders)
	}
	if terms < 300 {
		t.Errorf("only %d terms in 60 runs, want at least 300: too few changes of the holder to test them", terms)
	}
}

// Guards against a lease that is acquired in a new era while a holder whose row is lost still acts on it, whatever row
// the restored store has, and against a term that is given out again.
func TestLeaseLostByRestore(t *testing.T) {
	release := func(t *testing.T, k *lease.Keeper) {
		if err := k.Release(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	for _, tt := range []struct {
		name string
		// before prepares the copy that the store returns to.
		before func(t *testing.T, st *fakeStore, c *fakeClock)
	}{
		{"the copy has no row", func(*testing.T, *fakeStore, *fakeClock) {}},
		{"the copy has a released row", func(t *testing.T, st *fakeStore, c *fakeClock) {
			k := lease.NewKeeper(st, "z", 1, c.Now)
			mustStep(t, k)
			release(t, k)
		}},
	} {
		st, c := newFakeStore(), &fakeClock{epoch}
		tt.before(t, st, c)
		saved := st.save()
		a, b := lease.NewKeeper(st, "a", 1, c.Now), lease.NewKeeper(st, "b", 1, c.Now)
		mustStep(t, a)
		fence, lost, err := a.Fence(c.now)
		if err != nil {
			t.Fatal(err)
		}
		st.restore(saved)
		for range 9 {
			mustStep(t, b)
			_, aHolds := a.Held(c.now)
			if _, bHolds := b.Held(c.now); aHolds && bHolds {
				t.Errorf("%s: two holders %v after the restore", tt.name, c.now.Sub(epoch))
			}
			c.advance(second)
		}
		c.advance(second)
		mustStep(t, b)
		term, held := b.Held(c.now)
		if !held || term <= lost {
			t.Errorf("%s: term %d after term %d, held %v", tt.name, term, lost, held)
		}
		if _, err := st.Txn(t.Context(), []store.Op{fence, {Key: planKey}}); kinds.Of(err) != kinds.Conflict {
			t.Errorf("%s: write with the fence of the lost lease: %v", tt.name, err)
		}
		release(t, b)
		d := lease.NewKeeper(st, "d", 1, c.Now)
		mustStep(t, d)
		if next, held := d.Held(c.now); !held || next <= term {
			t.Errorf("%s: term %d after the release of term %d in the same era, held %v", tt.name, next, term, held)
		}
	}
}

// Guards against the first write of the row, whose condition names no version, that takes effect in a later era than the
// one in which the row was read.
func TestDelayedAcquisitionAfterRestore(t *testing.T) {
	st, c := newFakeStore(), &fakeClock{epoch}
	k := lease.NewKeeper(st, "a", 1, c.Now)
	st.setNextOutcome(delayed)
	if _, err := k.Step(t.Context()); kinds.Of(err) != kinds.StoreUnknown {
		t.Fatalf("Step: %v", err)
	}
	st.restore(nil)
	st.applyDelayed()
	if row, ok := st.rows[lease.Key]; ok {
		t.Errorf("the row was written in era %d: %s", st.era, row.Value)
	}
}

type simulation struct {
	rng       *rand.Rand
	now       time.Time // simulated time
	store     *fakeStore
	procs     []*proc
	term      ident.Term // of the last accepted plan
	violation string
	// restores makes the store return to one of saved, its copies of the last 20 s, now and then.
	restores bool
	saved    []map[string]store.Row
	// holders are the processes by the terms that they have held.
	holders map[ident.Term]*proc
}

type proc struct {
	sim    *simulation
	keeper *lease.Keeper
	// offset and rate convert simulated time to the time of the process's clock.
	offset time.Duration
	rate   float64
	wake   time.Time
	busy   bool
}

func (p *proc) now() time.Time {
	return epoch.Add(p.offset + time.Duration(p.rate*float64(p.sim.now.Sub(epoch))))
}

func newSimulation(seed uint64) *simulation {
	sim := &simulation{rng: rand.New(rand.NewPCG(seed, 1)), now: epoch, store: newFakeStore(), holders: map[ident.Term]*proc{}}
	sim.store.onCall = func() {
		d := sim.rng.IntN(300)
		if sim.rng.IntN(8) == 0 {
			d = 2000
		}
		sim.run(time.Duration(d) * time.Millisecond)
	}
	sim.store.nextOutcome = func() writeOutcome {
		return [...]writeOutcome{applied, applied, applied, applied, refused, responseLost, requestLost, delayed}[sim.rng.IntN(8)]
	}
	sim.store.onWrite = sim.checkWrite
	for i := range 5 {
		p := &proc{sim: sim, offset: time.Duration(sim.rng.IntN(7200)-3600) * second, rate: 0.96 + 0.02*float64(i)}
		p.keeper = lease.NewKeeper(sim.store, ident.VM(fmt.Sprint("vm-", i)), 1, p.now)
		sim.procs = append(sim.procs, p)
	}
	return sim
}

// checkWrite checks the term of a plan when the store applies it, which may be long after it was sent.
func (sim *simulation) checkWrite(op store.Op) {
	if op.Key != planKey {
		return
	}
	n, _ := strconv.ParseUint(string(op.Value), 10, 64)
	if term := ident.Term(n); term < sim.term {
		sim.violation = fmt.Sprintf("a plan of term %d was accepted after term %d", term, sim.term)
	} else {
		sim.term = term
	}
}

// run advances simulated time and runs the processes that are due and not in a call. It checks for two holders at each
// step.
func (sim *simulation) run(d time.Duration) {
	for end := sim.now.Add(d); sim.now.Before(end); {
		sim.now = sim.now.Add(50 * time.Millisecond)
		holders := 0
		for _, p := range sim.procs {
			if term, held := p.keeper.Held(p.now()); held {
				holders++
				if first, ok := sim.holders[term]; ok && first != p && sim.violation == "" {
					sim.violation = fmt.Sprintf("term %d has a second holder", term)
				}
				sim.holders[term] = p
			}
		}
		if holders > 1 && sim.violation == "" {
			sim.violation = fmt.Sprintf("%d holders at %v", holders, sim.now.Sub(epoch))
		}
		if sim.rng.IntN(60) == 0 {
			sim.store.applyDelayed()
		}
		if sim.restores {
			sim.restore()
		}
		for _, p := range sim.procs {
			if !p.busy && !sim.now.Before(p.wake) {
				p.act()
			}
		}
	}
}

// restore saves a copy of the store each second and sometimes returns to one of the last 20.
func (sim *simulation) restore() {
	if sim.now.Sub(epoch)%second == 0 {
		sim.saved = append(sim.saved, sim.store.save())
		sim.saved = sim.saved[max(len(sim.saved)-20, 0):]
	}
	if len(sim.saved) > 0 && sim.rng.IntN(500) == 0 {
		i := sim.rng.IntN(len(sim.saved))
		sim.store.restore(sim.saved[i])
		sim.saved = sim.saved[:i+1]
	}
}

// act makes one step and one plan write, and schedules the next call, sometimes after a long pause.
func (p *proc) act() {
	sim := p.sim
	p.busy = true
	p.keeper.Step(context.Background())
	if fence, term, err := p.keeper.Fence(p.now()); err == nil {
		sim.store.Txn(context.Background(), []store.Op{
			fence, {Key: planKey, IfVersion: sim.store.row(planKey).Version, Value: fmt.Append(nil, term)},
		})
	}
	pause := time.Duration(sim.rng.IntN(1000)) * time.Millisecond
	if sim.rng.IntN(15) == 0 {
		pause += 20 * second
	}
	p.wake, p.busy = sim.now.Add(pause), false
}

// Guards against a holder that was paused past the end of its lease and continues to act: the time alone must show that
// the lease has ended, and its plan write must fail even if it does not check the lease.
func TestPausedHolder(t *testing.T) {
	st, ca, cb := newFakeStore(), &fakeClock{epoch}, &fakeClock{epoch.Add(-time.Hour)}
	a := lease.NewKeeper(st, "a", 1, ca.Now)
	b := lease.NewKeeper(st, "b", 1, cb.Now)
	mustStep(t, a)
	stale, _, err := a.Fence(ca.now)
	if err != nil {
		t.Fatal(err)
	}
	for range 3 {
		mustStep(t, b)
		cb.advance(5 * second)
	}
	if _, held := b.Held(cb.now); !held {
		t.Fatal("the lease of a paused holder was not acquired")
	}
	ca.advance(15 * second)
	if _, _, err := a.Fence(ca.now); kinds.Of(err) != kinds.Fenced {
		t.Errorf("Fence after the pause: %v", err)
	}
	_, err = st.Txn(t.Context(), []store.Op{stale, {Key: planKey}})
	if kinds.Of(err) != kinds.Conflict || st.rows[planKey].Version != 0 {
		t.Errorf("plan write of the former holder: %v", err)
	}
	if _, err := a.Step(t.Context()); kinds.Of(err) != kinds.Conflict {
		t.Errorf("Step of the former holder: %v", err)
	}
}

// Guards against a process that still acts as the holder after the store has refused its renewal because another
// process wrote the row.
func TestConflictEndsLease(t *testing.T) {
	st, c := newFakeStore(), &fakeClock{epoch}
	k := lease.NewKeeper(st, "a", 1, c.Now)
	mustStep(t, k)
	st.rows[lease.Key] = store.Row{Key: lease.Key, Version: 2, Value: []byte(`{"holder":"b","term":2}`)}
	c.advance(4 * second)
	if _, err := k.Step(t.Context()); kinds.Of(err) != kinds.Conflict {
		t.Errorf("renewal: %v", err)
	}
	if _, held := k.Held(c.now); held {
		t.Error("held after the conflict")
	}
}

// Guards against a renewal that reads the row first, which would double the load, and against one that is not made.
func TestRenewal(t *testing.T) {
	st, c := newFakeStore(), &fakeClock{epoch}
	k := lease.NewKeeper(st, "a", 1, c.Now)
	for range 20 {
		next := mustStep(t, k)
		c.now = next
		if term, held := k.Held(c.now); !held || term != 1 {
			t.Fatalf("term %d, held %v at %v", term, held, c.now.Sub(epoch))
		}
	}
	if st.reads != 1 || st.rows[lease.Key].Version < 10 {
		t.Errorf("%d reads, version %d", st.reads, st.rows[lease.Key].Version)
	}
}

// Guards against a planned stop that leaves the lease to expire, a process that reacquires the lease after its own
// release, and a release of a lease that another process holds.
func TestRelease(t *testing.T) {
	for _, outcome := range []writeOutcome{applied, responseLost, refused} {
		st, c := newFakeStore(), &fakeClock{epoch}
		a, b := lease.NewKeeper(st, "a", 1, c.Now), lease.NewKeeper(st, "b", 1, c.Now)
		mustStep(t, a)
		st.setNextOutcome(outcome)
		if err := a.Release(t.Context()); (err == nil) != (outcome == applied) {
			t.Errorf("outcome %d: Release: %v", outcome, err)
		}
		if _, held := a.Held(c.now); held {
			t.Errorf("outcome %d: held after Release", outcome)
		}
		if _, err := a.Step(t.Context()); kinds.Of(err) != kinds.Stopping {
			t.Errorf("outcome %d: Step after Release: %v", outcome, err)
		}
		mustStep(t, b)
		if term, held := b.Held(c.now); held != (outcome != refused) || held && term != 2 {
			t.Errorf("outcome %d: the next process has term %d, held %v", outcome, term, held)
		}
	}
	st, c := newFakeStore(), &fakeClock{epoch}
	a, b := lease.NewKeeper(st, "a", 1, c.Now), lease.NewKeeper(st, "b", 1, c.Now)
	mustStep(t, a)
	mustStep(t, b)
	if err := b.Release(t.Context()); err != nil || st.rows[lease.Key].Version != 1 {
		t.Errorf("Release of a process that holds nothing: %v", err)
	}
}

// Guards, under the race detector, against a dump or a check that reads the state while Step changes it.
func TestConcurrentReaders(t *testing.T) {
	st, c := newFakeStore(), &fakeClock{epoch}
	k := lease.NewKeeper(st, "a", 1, c.Now)
	done := make(chan lease.Row)
	go func() {
		for range 100 {
			k.Held(epoch)
			k.Fence(epoch)
			k.State()
		}
		done <- k.LastRow()
	}()
	for range 20 {
		c.now = mustStep(t, k)
	}
	<-done
}

// Guards against a lease that is considered held after failed reads, and a malformed row that is overwritten
// while the process that wrote it may hold the lease.
func TestStoreErrors(t *testing.T) {
	st, c := newFakeStore(), &fakeClock{epoch}
	st.readsFail = true
	k := lease.NewKeeper(st, "a", 1, c.Now)
	if _, err := k.Step(t.Context()); kinds.Of(err) != kinds.StoreDown {
		t.Errorf("Step while down: %v", err)
	}
	st.readsFail = false
	st.rows[lease.Key] = store.Row{Key: lease.Key, Version: 4, Value: []byte("{")}
	for range 10 { // until the lease that the row may stand for has ended
		_, err := k.Step(t.Context())
		if _, held := k.Held(c.now); err != nil || held || st.rows[lease.Key].Version != 4 {
			t.Errorf("Step with a malformed row: %v, held %v, version %d", err, held, st.rows[lease.Key].Version)
		}
		c.now = c.now.Add(6 * second)
	}
}

func mustStep(t *testing.T, k *lease.Keeper) time.Time {
	t.Helper()
	next, err := k.Step(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return next
}
