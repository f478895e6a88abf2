// Package feed follows tables of the platform's store: a full reading first, then the changes, and a full reading again
// when the store no longer has the history. Follower decides what to do next and has no I/O and no clock of its own; Run
// moves the data.
package feed

import (
	"context"
	"math/rand"
	"sync"
	"time"

	"github.com/currantpier/currantpier/ident"
)

// Row is one row of a table. Value is nil for a row that was removed.
type Row struct {
	Key     string
	Value   []byte
	Version ident.Version
	Removed bool
}

// Rows is what a call returned.
type Rows struct {
	Rows []Row
	// Version is where changes continue.
	Version ident.Version
	// Whole says that the rows are the whole table.
	Whole bool
	// Compacted says that the store no longer has the changes that were asked for; there are no rows then.
	Compacted bool
}

// Table reads one table of the store.
type Table interface {
	// Read returns the whole table. The errors are of kind StoreDown.
	Read(ctx context.Context) (Rows, error)
	// Changes returns the changes after a version and waits up to wait for the first one.
	Changes(ctx context.Context, after ident.Version, wait time.Duration) (Rows, error)
}

const (
	// firstBackoff and mostBackoff bound the pause after calls that failed.
	firstBackoff = 150 * time.Millisecond
	mostBackoff  = 600 * time.Millisecond
	// followerBackoff is the pause of a VM that depends on the readings of others: they find out when the store is back, and
	// refused calls cost as much as others.
	followerBackoff = 2 * time.Second
)

// Step is what a Follower does next.
type Step struct {
	// At is when to do it.
	At time.Time
	// Full asks for the whole table, otherwise for the changes after After.
	Full  bool
	After ident.Version
	Wait  time.Duration
}

const (
	// patience and patienceRank are how much longer than a pause a VM waits for a peer's news before it reads the table
	// itself. VMs of higher rank wait longer, so that one of them takes over.
	patience     = 350 * time.Millisecond
	patienceRank = 150 * time.Millisecond
	rankMost     = 4
	// waiters is the number of VMs of a group that keep a call for changes waiting at the store; the others are told.
	waiters = 2
	// idleCheck is how often a VM that is told of changes looks for itself, should everything else fail.
	idleCheck = 30 * time.Second
)

// Follower decides the calls for one table. The VMs of a group can share the calls: those of the lowest ranks read the
// table and tell the others what has changed; they read only when they hear nothing or have missed something. It is not
// safe for concurrent use.
type Follower struct {
	// rank is the place of this VM among those that share calls.
	rank int
	// pause is the time between two calls for changes, wait how long the store holds a call without changes.
	pause, wait time.Duration
	rnd         *rand.Rand

	full     bool
	version  ident.Version
	failures int
	next     time.Time
}

// NewFollower returns a follower that begins with a full reading. Either pause or wait is positive. Until SetRank is
// called, it behaves as one of the VMs that are told by others.
func NewFollower(pause, wait time.Duration, src rand.Source) *Follower {
	return &Follower{pause: pause, wait: wait, rnd: rand.New(src), full: true, rank: rankMost}
}

// Next returns the next call.
func (f *Follower) Next() Step {
	s := Step{At: f.next, Full: f.full, After: f.version}
	if f.rank < waiters {
		s.Wait = f.wait
	}
	return s
}

// SetRank sets the place of this VM among those that share calls; zero reads the table.
func (f *Follower) SetRank(now time.Time, n int) {
	before := f.rank
	f.rank = min(n, rankMost)
	// A VM that becomes the reader, or one of those that wait for changes, begins at once.
	becomes := f.wait > 0 && before >= waiters && f.rank < waiters || f.wait == 0 && before > 0 && f.rank == 0
	if becomes && !f.full && f.failures == 0 && f.next.After(now) {
		f.next = now
	}
}

// Version returns the version up to which the table is known; zero before the first reading.
func (f *Follower) Version() ident.Version {
	if f.full {
		return 0
	}
	return f.version
}

// Heard takes a peer's news of the changes after one version up to another. It reports whether they continue what is
// known; otherwise the table is read soon.
func (f *Follower) Heard(now time.Time, after, version ident.Version) bool {
	if f.version == 0 || version < f.version {
		return false
	}
	if after > f.version {
		f.Missed(now, after)
		return false
	}
	f.version = version
	if f.full {
		// The full reading that was asked for is still due, and may fail for long.
		return true
	}
	f.failures = 0
	f.next = now.Add(f.interval())
	return true
}

// CaughtUp takes a peer's whole reading as of a version while this VM's own calls fail. It reports whether that is news; the
// calls go on.
func (f *Follower) CaughtUp(version ident.Version) bool {
	if f.version == 0 || version <= f.version {
		return false
	}
	f.full, f.version = false, version
	return true
}

// Missed asks for a reading soon if the changes up to a version are not known.
func (f *Follower) Missed(now time.Time, version ident.Version) {
	if f.full || version <= f.version {
		return
	}
	// The random part spreads the calls of all VMs that have missed the same news.
	f.next = now.Add(time.Duration(f.rnd.Int63n(int64(patienceRank))))
}

// Adopt takes a peer's whole reading as of a version in place of the first one. It reports false if the table was read
// already.
func (f *Follower) Adopt(now time.Time, version ident.Version) bool {
	if f.version > 0 || version == 0 {
		return false
	}
	f.full, f.version, f.failures = false, version, 0
	f.next = now.Add(f.interval())
	return true
}

// Confirmed takes a peer's word that nothing has changed up to a version.
func (f *Follower) Confirmed(now time.Time, version ident.Version) {
	if !f.full && version > f.version {
		f.Heard(now, f.version, version)
	}
}

// Waits reports whether this VM keeps a call for changes waiting at the store.
func (f *Follower) Waits() bool { return f.wait > 0 && f.rank < waiters }

// interval is the time from one reading or piece of news to the next reading.
func (f *Follower) interval() time.Duration {
	switch {
	case f.wait > 0 && f.rank < waiters:
		return 0
	case f.wait > 0:
		return idleCheck + time.Duration(f.rnd.Int63n(int64(idleCheck)))
	case f.rank == 0:
		return f.pause
	}
	return f.pause + patience + time.Duration(f.rank)*patienceRank
}

// backoff is the pause after a call that failed. Calls of all VMs fail at the same time; the random part spreads their
// return.
func (f *Follower) backoff() time.Duration {
	d := min(firstBackoff<<min(f.failures, 8), mostBackoff)
	if f.rank >= waiters && f.version > 0 && f.failures > 0 {
		d = followerBackoff
	}
	return d/2 + time.Duration(f.rnd.Int63n(int64(d/2)+1))
}

// CallNow asks for the next call at once, unless calls are failing.
func (f *Follower) CallNow(now time.Time) {
	if f.failures == 0 && f.next.After(now) {
		f.next = now
	}
}

// Refresh asks for a full reading at once, or after the present pause if calls are failing.
func (f *Follower) Refresh(now time.Time) {
	f.full = true
	if f.failures == 0 {
		f.next = now
	}
}

// Done takes the result of a call that was started at begun.
func (f *Follower) Done(now, begun time.Time, rows Rows, err error) {
	switch {
	case err != nil:
		f.next = now.Add(f.backoff())
		f.failures++
		return
	case rows.Compacted:
		f.full = true
		f.next = now
	default:
		f.full = false
		f.version = rows.Version
		f.next = begun.Add(f.interval())
	}
	f.failures = 0
}

// Shared is a follower that several goroutines use.
type Shared struct {
	mu sync.Mutex
	f  *Follower
	// moved says that the next call has changed.
	moved chan struct{}
}

// Share returns a follower for several goroutines.
func Share(f *Follower) *Shared { return &Shared{f: f, moved: make(chan struct{}, 1)} }

// With calls g with the follower.
func (s *Shared) With(g func(f *Follower)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.f.Next().At
	g(s.f)
	if s.f.Next().At.Before(before) {
		select {
		case s.moved <- struct{}{}:
		default:
		}
	}
}

// Sink takes what was read after a version of the table. It is called from one goroutine.
type Sink func(now time.Time, after ident.Version, rows Rows, err error)

// Run follows a table until ctx ends. A value on refresh asks for a full reading, also while a call waits for changes.
func Run(ctx context.Context, t Table, f *Shared, sink Sink, refresh <-chan struct{}, clock func() time.Time) error {
	for ctx.Err() == nil {
		var step Step
		f.With(func(f *Follower) { step = f.Next() })
		if d := step.At.Sub(clock()); d > 0 {
			if f.sleep(ctx, d, refresh) {
				f.With(func(f *Follower) { f.Refresh(clock()) })
			}
			continue
		}
		begun := clock()
		rows, refreshed, err := call(ctx, t, step, refresh)
		if ctx.Err() != nil {
			return nil
		}
		now := clock()
		if refreshed {
			f.With(func(f *Follower) { f.Refresh(now) })
			continue
		}
		f.With(func(f *Follower) { f.Done(now, begun, rows, err) })
		sink(now, step.After, rows, err)
	}
	return nil
}

// call makes the call of a step. A call for changes ends early, with refreshed set, if a refresh is asked for. A full
// reading is what a refresh asks for and goes on: requests that come faster than the store answers must not keep it from
// ending.
func call(ctx context.Context, t Table, s Step, refresh <-chan struct{}) (rows Rows, refreshed bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		if s.Full {
			rows, err = t.Read(ctx)
		} else {
			rows, err = t.Changes(ctx, s.After, s.Wait)
		}
	}()
	if s.Full {
		refresh = nil
	}
	select {
	case <-done:
	case <-refresh:
		cancel()
		<-done
		refreshed = err != nil
	}
	return rows, refreshed, err
}

// sleep waits for d, or until the next call is due earlier. It returns true if a refresh is asked for.
func (s *Shared) sleep(ctx context.Context, d time.Duration, refresh <-chan struct{}) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.moved:
	case <-ctx.Done():
	case <-refresh:
		return true
	}
	return false
}
