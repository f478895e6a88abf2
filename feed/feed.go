// Package feed follows tables of the platform's store: a full reading first, then the changes, and a full reading again
// when the store no longer has the history. Follower decides what to do next and has no I/O and no clock of its own; Run
// moves the data.
package feed

import (
	"context"
	"math/rand"
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

// Follower decides the calls for one table. It is not safe for concurrent use.
type Follower struct {
	// pause is the time between two calls for changes, wait how long the store holds a call without changes.
	pause, wait time.Duration
	rnd         *rand.Rand

	full     bool
	version  ident.Version
	failures int
	next     time.Time
}

// NewFollower returns a follower that begins with a full reading. Either pause or wait is positive.
func NewFollower(pause, wait time.Duration, src rand.Source) *Follower {
	return &Follower{pause: pause, wait: wait, rnd: rand.New(src), full: true}
}

// Next returns the next call.
func (f *Follower) Next() Step {
	return Step{At: f.next, Full: f.full, After: f.version, Wait: f.wait}
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
		// Calls of all VMs fail at the same time; the random part spreads their return.
		d := min(firstBackoff<<min(f.failures, 8), mostBackoff)
		f.next = now.Add(d/2 + time.Duration(f.rnd.Int63n(int64(d/2)+1)))
		f.failures++
		return
	case rows.Compacted:
		f.full = true
		f.next = now
	default:
		f.full = false
		f.version = rows.Version
		f.next = begun.Add(f.pause)
	}
	f.failures = 0
}

// Sink takes what was read. It is called from one goroutine.
type Sink func(now time.Time, rows Rows, err error)

// Run follows a table until ctx ends. A value on refresh asks for a full reading, also while a call waits for changes.
func Run(ctx context.Context, t Table, f *Follower, sink Sink, refresh <-chan struct{}, clock func() time.Time) error {
	for ctx.Err() == nil {
		step := f.Next()
		if !sleep(ctx, step.At.Sub(clock()), refresh) {
			f.Refresh(clock())
			continue
		}
		callCtx, cancel := context.WithCancel(ctx)
		done := make(chan struct{})
		refreshed := false
		go func() {
			defer close(done)
			select {
			case <-refresh:
				refreshed = true
				cancel()
			case <-callCtx.Done():
			}
		}()
		begun := clock()
		rows, err := call(callCtx, t, step)
		cancel()
		<-done
		if ctx.Err() != nil {
			return nil
		}
		if refreshed && err != nil {
			f.Refresh(clock())
			continue
		}
		now := clock()
		f.Done(now, begun, rows, err)
		sink(now, rows, err)
	}
	return nil
}

func call(ctx context.Context, t Table, s Step) (Rows, error) {
	if s.Full {
		return t.Read(ctx)
	}
	return t.Changes(ctx, s.After, s.Wait)
}

// sleep waits for d. It returns false early if a refresh is asked for.
func sleep(ctx context.Context, d time.Duration, refresh <-chan struct{}) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return true
	case <-refresh:
		return false
	}
}
