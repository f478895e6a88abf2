package lease

import (
	"context"
	"sync"
	"time"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/kinds"
	"github.com/currantpier/currantpier/store"
)

// Store is the part of a table client that a Keeper needs. store.Client implements it. Txn errors must be of the kinds
// Conflict, StoreDown and StoreUnknown as store.Client defines them.
type Store interface {
	Get(ctx context.Context, key string) (store.Row, error)
	Txn(ctx context.Context, ops []store.Op) ([]ident.Version, error)
}

// Keeper acquires, renews and releases the lease for one process. Step and Release must be called from one goroutine;
// the other methods can be called from any.
type Keeper struct {
	store Store
	clock func() time.Time

	mu    sync.Mutex
	state State
	// row is the lease row as last read or written; rowKnown is false before the first read and after a write with an
	// unknown effect on the row.
	row      Row
	rowKnown bool
	// stopped is set by Release and never cleared.
	stopped bool
}

// Option changes a default of NewKeeper.
type Option func(*State)

// WithDuration sets how long one write holds the lease, and how much earlier it ends for the holder.
func WithDuration(length, margin time.Duration) Option {
	return func(s *State) { s.Duration, s.Margin = length, margin }
}

// NewKeeper returns a Keeper for the process inc on VM self. The clock is normally time.Now.
func NewKeeper(st Store, self ident.VM, inc ident.Incarnation, clock func() time.Time, opts ...Option) *Keeper {
	s := State{Self: self, Incarnation: inc, Duration: DefaultDuration, Margin: DefaultMargin}
	for _, opt := range opts {
		opt(&s)
	}
	return &Keeper{store: st, clock: clock, state: s}
}

// Step reads the lease row if it is not known, and acquires or renews the lease if that is due: at most one read and
// one write. It returns the time at which to call it again. After an error, which has one of the kinds of Store,
// or Stopping, Held reports whether the lease is still held; the caller calls Step again after a pause.
func (k *Keeper) Step(ctx context.Context) (next time.Time, err error) {
	s, row, rowKnown, err := k.begin()
	if err != nil {
		return time.Time{}, err
	}
	// A holder need not read before it renews: the condition of the write fails if the row has changed.
	if !rowKnown || s.Version == 0 {
		if row, err = k.read(ctx); err != nil {
			return time.Time{}, err
		}
	}
	now := k.clock()
	a := Decide(s, row, now)
	k.set(a.State, row, true)
	if a.Do == Wait {
		return a.NextAt, nil
	}
	versions, err := k.store.Txn(ctx, []store.Op{a.Op})
	return a.NextAt, k.handleWriteResult(a, now, versions, err)
}

func (k *Keeper) begin() (State, Row, bool, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.stopped {
		return State{}, Row{}, false, kinds.Errorf(kinds.Stopping, "the lease was released by this process")
	}
	return k.state, k.row, k.rowKnown, nil
}

func (k *Keeper) read(ctx context.Context) (Row, error) {
	r, err := k.store.Get(ctx, Key)
	if err != nil {
		return Row{}, err
	}
	return ParseRow(r), nil
}

func (k *Keeper) set(s State, row Row, rowKnown bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.state, k.row, k.rowKnown = s, row, rowKnown
}

// handleWriteResult updates the state with the result of the write of a, sent at sent.
func (k *Keeper) handleWriteResult(a Action, sent time.Time, versions []ident.Version, err error) error {
	switch kinds.Of(err) {
	case kinds.Answered:
		a.Row.Version = versions[0]
		k.set(Confirmed(a.State, a.Row, sent), a.Row, true)
	case kinds.StoreDown:
		// Not written: the row is unchanged.
	case kinds.Conflict:
		if a.State.PendingTerm == 0 {
			// No unresolved write of this process can have changed the row, so another process did.
			a.State.Version, a.State.ValidUntil = 0, time.Time{}
		}
		k.set(a.State, Row{}, false)
	default:
		k.set(Unresolved(a.State, a.Row, sent), Row{}, false)
	}
	return kinds.Wrap(kinds.Of(err), err, "write lease")
}

// Held returns the fencing term, and whether this process may act as the holder at now.
func (k *Keeper) Held(now time.Time) (ident.Term, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.state.Held(now)
}

// Fence returns the check that each write made as the holder must include in its transaction, and the term to write
// with it. It returns a Fenced error if the lease is not held at now. The check fails after a renewal, so the goroutine
// that calls Step must also make the fenced writes; the store refuses a write that is delayed past a renewal.
func (k *Keeper) Fence(now time.Time) (store.Op, ident.Term, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	term, held := k.state.Held(now)
	if !held {
		return store.Op{}, 0, kinds.Errorf(kinds.Fenced, "the lease is not held")
	}
	return store.Op{Key: Key, IfVersion: k.state.Version, CheckOnly: true}, term, nil
}

// Release releases the lease before a planned stop, so that another process need not wait for the expiry. The process
// stops being the holder before the write is sent, and Step fails from then on. After an error the lease is left to
// expire.
func (k *Keeper) Release(ctx context.Context) error {
	k.mu.Lock()
	s := k.state
	row, rowKnown := k.row, k.rowKnown
	k.stopped = true
	k.state.Version, k.state.ValidUntil = 0, time.Time{}
	k.mu.Unlock()
	if s.PendingTerm == 0 && s.Version == 0 {
		return nil
	}
	if !rowKnown {
		var err error
		if row, err = k.read(ctx); err != nil {
			return err
		}
	}
	if row.Holder != s.Self || row.Incarnation != s.Incarnation {
		return nil
	}
	_, err := k.store.Txn(ctx, []store.Op{writeOp(Row{Term: row.Term}, row)})
	return kinds.Wrap(kinds.Of(err), err, "release lease")
}

// State returns a copy of the current state, for a dump.
func (k *Keeper) State() State {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.state
}

// LastRow returns the lease row as last read or written, which may be another process's or out of date. It is zero while
// the row is not known.
func (k *Keeper) LastRow() Row {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.row
}
