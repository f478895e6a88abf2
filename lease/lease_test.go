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

const sec = time.Second

const plan = "plan/current"

var epoch = time.Unix(1_000_000, 0)

// Guards against a challenger that takes a live lease, one that never takes a dead lease, a term that does not grow, a
// renewal before or long after a third of the length, and belief based on a write that may not have happened.
func TestDecide(t *testing.T) {
	base := lease.State{Self: "a", Incarnation: 1, Length: 10 * sec, Margin: sec}
	holding := base
	holding.Version, holding.Term, holding.Until = 5, 2, epoch.Add(9*sec) // written at epoch
	watching := base
	watching.Watched, watching.WatchedSince = 5, epoch
	pending := base
	pending.PendingTerm, pending.PendingSince = 3, epoch
	own := lease.Row{Version: 5, Holder: "a", Incarnation: 1, Term: 2}
	other := lease.Row{Version: 5, Holder: "b", Incarnation: 1, Term: 2}
	restarted := lease.Row{Version: 5, Holder: "a", Incarnation: 7, Term: 2}
	slower := lease.Row{Version: 5, Holder: "b", Incarnation: 1, Term: 2, LengthMs: 30_000}
	mine := lease.Row{Version: 6, Holder: "a", Incarnation: 1, Term: 3}
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
		{"no row", base, lease.Row{}, 0, lease.Acquire, 1, 10 * sec / 3, false},
		{"released", watching, lease.Row{Version: 6, Term: 4}, 0, lease.Acquire, 5, 10 * sec / 3, false},
		{"first sight of another holder", base, other, 0, lease.Wait, 0, 10 * sec / 3, false},
		{"watched almost long enough", watching, other, 10*sec - 1, lease.Wait, 0, 10 * sec, false},
		{"watched long enough", watching, other, 10 * sec, lease.Acquire, 3, 40 * sec / 3, false},
		{"renewed meanwhile", watching, lease.Row{Version: 6, Holder: "b", Term: 2}, 10 * sec, lease.Wait, 0, 40 * sec / 3, false},
		{"the holder has a longer length", watching, slower, 10 * sec, lease.Wait, 0, 40 * sec / 3, false},
		{"an earlier process of the same VM", base, restarted, 0, lease.Wait, 0, 10 * sec / 3, false},
		{"fresh", holding, own, sec, lease.Wait, 0, 10 * sec / 3, true},
		{"due", holding, own, 10 * sec / 3, lease.Renew, 2, 20 * sec / 3, true},
		{"last moment", holding, own, 9*sec - 1, lease.Renew, 2, 9*sec - 1 + 10*sec/3, true},
		{"belief has ended", holding, own, 9 * sec, lease.Acquire, 3, 9*sec + 10*sec/3, false},
		{"taken by another", holding, lease.Row{Version: 6, Holder: "b", Term: 3}, sec, lease.Wait, 0, sec + 10*sec/3, false},
		{"the lost write took effect", pending, mine, sec, lease.Wait, 0, 10 * sec / 3, true},
		{"the lost write took effect long ago", pending, mine, 9 * sec, lease.Acquire, 4, 9*sec + 10*sec/3, false},
		{"the lost write did not take effect", pending, lease.Row{Version: 5, Term: 2}, sec, lease.Acquire, 3, sec + 10*sec/3, false},
		{"an earlier process of the same VM with the term of the lost write", pending, lease.Row{Version: 6, Holder: "a", Incarnation: 7, Term: 3},
			sec, lease.Wait, 0, sec + 10*sec/3, false},
		{"an own row that was never written", base, mine, sec, lease.Wait, 0, sec + 10*sec/3, false},
	}
	for _, tt := range tests {
		now := epoch.Add(tt.at)
		a := lease.Decide(tt.state, tt.row, now)
		if a.Do != tt.do || a.Row.Term != tt.term || a.At.Sub(epoch) != tt.next {
			t.Errorf("%s: do %v, term %d, at %v", tt.name, a.Do, a.Row.Term, a.At.Sub(epoch))
		}
		if a.Do != lease.Wait && (a.Op.If != tt.row.Version || a.Op.CheckOnly || a.Op.Key != lease.Key) {
			t.Errorf("%s: write without the condition on the row seen: %+v", tt.name, a.Op)
		}
		if _, held := a.State.Held(now); held != tt.held {
			t.Errorf("%s: held = %v", tt.name, held)
		}
	}
}

// Guards against a lost answer that is guessed: belief must follow what the row says, from before the first write that
// may have written it.
func TestLostAnswers(t *testing.T) {
	tests := []struct {
		fate  fate
		until time.Duration
	}{{lostAnswer, 9 * sec}, {lostRequest, 10 * sec}, {refused, 10 * sec}}
	for _, tt := range tests {
		st, c := newFakeStore(), &fakeClock{epoch}
		k := lease.NewKeeper(st, "a", 1, c.Now)
		st.once(tt.fate)
		if _, err := k.Step(t.Context()); err == nil {
			t.Errorf("fate %d: no error", tt.fate)
		}
		if _, held := k.Held(c.now); held {
			t.Errorf("fate %d: believes without an answer", tt.fate)
		}
		c.advance(sec)
		mustStep(t, k)
		term, held := k.Held(epoch.Add(tt.until - 1))
		_, after := k.Held(epoch.Add(tt.until))
		if !held || after || term != 1 {
			t.Errorf("fate %d: held %v, after %v, term %d", tt.fate, held, after, term)
		}
	}
}

// Guards against a delayed renewal that lands between the read-back and the repeated write, and is then taken for
// another process's or for the newer of the two.
func TestDelayedWriteLands(t *testing.T) {
	st, c := newFakeStore(), &fakeClock{epoch}
	k := lease.NewKeeper(st, "a", 1, c.Now)
	step := func(want kinds.Kind) {
		t.Helper()
		if _, err := k.Step(t.Context()); kinds.Of(err) != want {
			t.Errorf("at %v: %v, want %v", c.now.Sub(epoch), err, want)
		}
	}
	step(kinds.Answered)
	c.advance(4 * sec)
	st.once(delayed)
	step(kinds.StoreUnknown)
	c.advance(sec)
	st.next = func() fate { st.next = nil; st.land(); return applied }
	step(kinds.Conflict)
	c.advance(sec)
	step(kinds.Answered)
	if u := k.State().Until.Sub(epoch); u != 13*sec {
		t.Errorf("believes until %v, want 13 s: the renewal was sent at 4 s", u)
	}
	for _, f := range []fate{delayed, lostRequest} { // at 8 s and at 9 s
		c.advance(2 * sec)
		st.once(f)
		step(kinds.StoreUnknown)
		c.advance(-sec)
	}
	st.land()
	c.advance(sec)
	step(kinds.Answered)
	if u := k.State().Until.Sub(epoch); u != 17*sec {
		t.Errorf("believes until %v, want 17 s: the first of the two renewals was sent at 8 s", u)
	}
}

// Guards against two holders at once, an old holder whose plan is accepted, a term that falls, and a lease that nobody
// takes: five processes with clocks that differ in time and by up to 4% in rate, which are paused between and during
// calls, and whose writes are refused, lost or late.
func TestOneHolder(t *testing.T) {
	terms := 0
	for seed := range uint64(60) {
		w := newWorld(seed)
		w.run(300 * sec)
		if w.broken != "" {
			t.Fatalf("seed %d: %s", seed, w.broken)
		}
		terms += int(w.term)
	}
	if terms < 300 {
		t.Errorf("only %d terms in 60 runs: the runs prove little", terms)
	}
}

type world struct {
	rnd    *rand.Rand
	now    time.Time // true time
	store  *fakeStore
	procs  []*proc
	term   ident.Term // of the newest plan
	broken string
}

type proc struct {
	w      *world
	keeper *lease.Keeper
	// offset and rate turn true time into the time of the process.
	offset time.Duration
	rate   float64
	wake   time.Time
	busy   bool
}

func (p *proc) now() time.Time {
	return epoch.Add(p.offset + time.Duration(p.rate*float64(p.w.now.Sub(epoch))))
}

func newWorld(seed uint64) *world {
	w := &world{rnd: rand.New(rand.NewPCG(seed, 1)), now: epoch, store: newFakeStore()}
	w.store.pass = func() {
		d := w.rnd.IntN(300)
		if w.rnd.IntN(8) == 0 {
			d = 2000
		}
		w.run(time.Duration(d) * time.Millisecond)
	}
	w.store.next = func() fate {
		return [...]fate{applied, applied, applied, applied, refused, lostAnswer, lostRequest, delayed}[w.rnd.IntN(8)]
	}
	w.store.written = w.written
	for i := range 5 {
		p := &proc{w: w, offset: time.Duration(w.rnd.IntN(7200)-3600) * sec, rate: 0.96 + 0.02*float64(i)}
		p.keeper = lease.NewKeeper(w.store, ident.VM(fmt.Sprint("vm-", i)), 1, p.now)
		w.procs = append(w.procs, p)
	}
	return w
}

// written checks the term of a plan when the store writes it, which may be long after it was sent.
func (w *world) written(op store.Op) {
	if op.Key != plan {
		return
	}
	n, _ := strconv.ParseUint(string(op.Value), 10, 64)
	if term := ident.Term(n); term < w.term {
		w.broken = fmt.Sprintf("a plan of term %d was accepted after term %d", term, w.term)
	} else {
		w.term = term
	}
}

// run lets true time pass and runs the processes that are due and not in a call. It looks for two holders all the while.
func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(50 * time.Millisecond)
		holders := 0
		for _, p := range w.procs {
			if _, held := p.keeper.Held(p.now()); held {
				holders++
			}
		}
		if holders > 1 && w.broken == "" {
			w.broken = fmt.Sprintf("%d holders at %v", holders, w.now.Sub(epoch))
		}
		if w.rnd.IntN(60) == 0 {
			w.store.land()
		}
		for _, p := range w.procs {
			if !p.busy && !w.now.Before(p.wake) {
				p.act()
			}
		}
	}
}

// act makes one step and one plan write, and then sleeps or is paused.
func (p *proc) act() {
	w := p.w
	p.busy = true
	p.keeper.Step(context.Background())
	if fence, term, err := p.keeper.Fence(p.now()); err == nil {
		w.store.Txn(context.Background(), []store.Op{
			fence, {Key: plan, If: w.store.rows[plan].Version, Value: fmt.Append(nil, term)},
		})
	}
	pause := time.Duration(w.rnd.IntN(1000)) * time.Millisecond
	if w.rnd.IntN(15) == 0 {
		pause += 20 * sec
	}
	p.wake, p.busy = w.now.Add(pause), false
}

// Guards against a holder that was paused past its lease and acts on: it must find out by the time alone, and its plan
// write must fail even if it does not ask.
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
		cb.advance(5 * sec)
	}
	if _, held := b.Held(cb.now); !held {
		t.Fatal("the lease of a paused holder was not taken")
	}
	ca.advance(15 * sec)
	if _, _, err := a.Fence(ca.now); kinds.Of(err) != kinds.Fenced {
		t.Errorf("Fence after the pause: %v", err)
	}
	_, err = st.Txn(t.Context(), []store.Op{stale, {Key: plan}})
	if kinds.Of(err) != kinds.Conflict || st.rows[plan].Version != 0 {
		t.Errorf("plan write of the old holder: %v", err)
	}
	if _, err := a.Step(t.Context()); kinds.Of(err) != kinds.Conflict {
		t.Errorf("Step of the old holder: %v", err)
	}
}

// Guards against a holder that goes on after the store told it that the row is another's.
func TestConflictEndsBelief(t *testing.T) {
	st, c := newFakeStore(), &fakeClock{epoch}
	k := lease.NewKeeper(st, "a", 1, c.Now)
	mustStep(t, k)
	st.rows[lease.Key] = store.Row{Key: lease.Key, Version: 2, Value: []byte(`{"holder":"b","term":2}`)}
	c.advance(4 * sec)
	if _, err := k.Step(t.Context()); kinds.Of(err) != kinds.Conflict {
		t.Errorf("renewal: %v", err)
	}
	if _, held := k.Held(c.now); held {
		t.Error("held after the conflict")
	}
}

// Guards against a renewal that reads first, which would double the load, and one that is not made.
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

// Guards against a planned stop that leaves the lease to expire, a released lease that is taken again by the process
// that stops, and a release that takes the lease from another process.
func TestRelease(t *testing.T) {
	for _, f := range []fate{applied, lostAnswer, refused} {
		st, c := newFakeStore(), &fakeClock{epoch}
		a, b := lease.NewKeeper(st, "a", 1, c.Now), lease.NewKeeper(st, "b", 1, c.Now)
		mustStep(t, a)
		st.once(f)
		if err := a.Release(t.Context()); (err == nil) != (f == applied) {
			t.Errorf("fate %d: Release: %v", f, err)
		}
		if _, held := a.Held(c.now); held {
			t.Errorf("fate %d: held after Release", f)
		}
		if _, err := a.Step(t.Context()); kinds.Of(err) != kinds.Stopping {
			t.Errorf("fate %d: Step after Release: %v", f, err)
		}
		mustStep(t, b)
		if term, held := b.Held(c.now); held != (f != refused) || held && term != 2 {
			t.Errorf("fate %d: the next process has term %d, held %v", f, term, held)
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
		done <- k.Holder()
	}()
	for range 20 {
		c.now = mustStep(t, k)
	}
	<-done
}

// Guards against belief that outlives failed reads, and a malformed row that is overwritten.
func TestStoreFaults(t *testing.T) {
	st, c := newFakeStore(), &fakeClock{epoch}
	st.readsFail = true
	k := lease.NewKeeper(st, "a", 1, c.Now)
	if _, err := k.Step(t.Context()); kinds.Of(err) != kinds.StoreDown {
		t.Errorf("Step while down: %v", err)
	}
	st.readsFail = false
	st.rows[lease.Key] = store.Row{Key: lease.Key, Version: 4, Value: []byte("{")}
	if _, err := k.Step(t.Context()); kinds.Of(err) != kinds.Internal || st.rows[lease.Key].Version != 4 {
		t.Errorf("Step with a malformed row: %v", err)
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
