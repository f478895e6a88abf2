// Package feed follows tables of the platform's store: it reads the whole table first, then the changes, and the whole table
// again when the store has compacted the history. Follower schedules the calls; it does no I/O and takes the time as a
// parameter. Run makes the calls.
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

// Rows is the result of a call. A reading of changes has one era: that of After and Version.
type Rows struct {
	Rows []Row
	// After is the version up to which the table was known when the call began. Changes follow it.
	After ident.Version
	// Version is the version of the table after these rows; the next changes are those after it.
	Version ident.Version
	// Full is set if Rows is the whole table.
	Full bool
	// Compacted is set, with no rows, if the store no longer has the requested changes, also because it was restored.
	Compacted bool
	// Era is the era in which the store answered.
	Era ident.Era
	// Begun is when the call began: changes that were written before it are in Rows. Zero for rows that are not the result of a
	// call.
	Begun time.Time
}

// OlderThan reports whether a reading lacks changes up to version, which was reached while the reading was in progress. A
// reading that is older than the version known at its beginning, from a store that states no eras, shows that the store's
// versions went back, and is not.
func (r *Rows) OlderThan(version ident.Version) bool {
	wentBack := r.Version < r.After && r.After.Era() == ident.FirstEra
	return !wentBack && r.Version < version
}

// Table reads one table of the store.
type Table interface {
	// Read returns the whole table. Its errors are of kind StoreDown.
	Read(ctx context.Context) (Rows, error)
	// Changes returns the changes after a version. If there are none, it waits for the first one, at most for wait. In another
	// era than that of the version, there are no changes after it, and the result is Compacted.
	Changes(ctx context.Context, after ident.Version, wait time.Duration) (Rows, error)
}

const (
	// minBackoff and maxBackoff bound the backoff after failed calls before jitter.
	minBackoff = 150 * time.Millisecond
	maxBackoff = 600 * time.Millisecond
	// dependentBackoff is the backoff of a VM that receives the changes from peers: these detect the end of an outage, and a
	// failed call costs the store as much as a successful one.
	dependentBackoff = 2 * time.Second
)

// Step is the next call that a Follower schedules.
type Step struct {
	// At is the time of the call.
	At time.Time
	// Full selects a call for the whole table; otherwise the call is for the changes after After and waits up to Wait.
	Full  bool
	After ident.Version
	Wait  time.Duration
}

const (
	// A VM that polls reads the table itself when no peer has reported changes for the poll interval, peerTimeout and
	// peerTimeoutPerRank times its rank. The part by rank lets a single VM take over.
	peerTimeout        = 350 * time.Millisecond
	peerTimeoutPerRank = 150 * time.Millisecond
	maxRank            = 4
	// longPollers is the number of VMs of a group that make long-poll calls for changes; the others receive changes from peers.
	longPollers = 2
	// fallbackInterval is the least time after which a VM that receives changes from peers makes a call itself. Up to the same
	// time again is added at random. These calls cover lost messages of peers.
	fallbackInterval = 30 * time.Second
)

// Follower schedules the calls for one table. The VMs of a group can share the calls: those of the lowest ranks read the
// table and send the changes to the others, which make calls only if they receive nothing or have missed changes. A Follower
// is not safe for concurrent use.
type Follower struct {
	// rank is the position of this VM among those that share calls, 0 to maxRank.
	rank int
	// pollInterval is the time between two calls for changes, longPoll the maximum duration of a long-poll call.
	pollInterval, longPoll time.Duration
	rng                    *rand.Rand

	// needFull is set if the next call must read the whole table.
	needFull bool
	// requestedAt is the time of the last request for a full reading, and requestedEra the earliest era of the store in which
	// it must be made; zero for any.
	requestedAt  time.Time
	requestedEra ident.Era
	// version is the version up to which the table is known.
	version ident.Version
	// failures counts consecutive failed calls.
	failures int
	// nextCall is the time of the next call.
	nextCall time.Time
}

// NewFollower returns a Follower whose first call reads the whole table. Exactly one of pollInterval and longPoll
// is positive. Until SetRank is called, the rank is the highest, that of a VM that receives changes from peers.
func NewFollower(pollInterval, longPoll time.Duration, src rand.Source) *Follower {
	return &Follower{pollInterval: pollInterval, longPoll: longPoll, rng: rand.New(src), needFull: true, rank: maxRank}
}

// Next returns the next call without starting it. After a failed call, a call does not wait for changes: its result tells at once
// whether the store can be reached again.
func (f *Follower) Next() Step {
	s := Step{At: f.nextCall, Full: f.needFull, After: f.version}
	if f.rank < longPollers && f.failures == 0 {
		s.Wait = f.longPoll
	}
	return s
}

// SetRank sets the position of this VM among those that share calls. With polling, rank 0 makes the calls; with long polling,
// the ranks below longPollers do.
func (f *Follower) SetRank(now time.Time, n int) {
	before := f.rank
	f.rank = min(n, maxRank)
	// A VM whose new rank makes calls starts at once.
	takesOver := f.longPoll > 0 && before >= longPollers && f.rank < longPollers || f.longPoll == 0 && before > 0 && f.rank == 0
	if takesOver && !f.needFull && f.failures == 0 && f.nextCall.After(now) {
		f.nextCall = now
	}
}

// Version returns the version up to which the table is known, zero before the first reading and while a full one is due.
func (f *Follower) Version() ident.Version {
	if f.needFull {
		return 0
	}
	return f.version
}

// ApplyPeerChanges records changes received from a peer: those after one version up to another. It returns whether they
// continue the known version. If there is a gap, or they span two eras, it schedules a call.
func (f *Follower) ApplyPeerChanges(now time.Time, after, version ident.Version) bool {
	if f.version == 0 || version < f.version {
		return false
	}
	if version.Era() != f.version.Era() {
		f.RequestCatchUp(now, version)
		return false
	}
	if after > f.version {
		f.RequestCatchUp(now, after)
		return false
	}
	f.version = version
	if f.needFull {
		// The requested full reading stays due. It may fail for a long time, so the changes are used until then.
		return true
	}
	f.failures = 0
	f.nextCall = now.Add(f.interval())
	return true
}

// ApplyPeerSnapshot records that the whole table was received from a peer while this VM's own calls fail. It returns
// whether the version is newer than the known one. The schedule of calls doesn't change, and a request for a reading in a later
// era stays.
func (f *Follower) ApplyPeerSnapshot(version ident.Version) bool {
	if f.version == 0 || version <= f.version {
		return false
	}
	f.needFull, f.version = version.Era() < f.requestedEra, version
	return true
}

// RequestCatchUp schedules a call within peerTimeoutPerRank if version is newer than the known one. The call is for the
// whole table if version is of a later era.
func (f *Follower) RequestCatchUp(now time.Time, version ident.Version) {
	if version.Era() > f.version.Era() {
		f.requestedAt, f.requestedEra = now, max(f.requestedEra, version.Era())
	}
	if f.needFull || version <= f.version {
		return
	}
	f.needFull = version.Era() > f.version.Era()
	// The jitter spreads the calls of VMs that have missed the same changes.
	f.nextCall = now.Add(time.Duration(f.rng.Int63n(int64(peerTimeoutPerRank))))
}

// InitFromPeer records that the whole table was received from a peer, in place of the first reading. It returns false
// if the table was read before or version is zero. A request for a reading in a later era stays.
func (f *Follower) InitFromPeer(now time.Time, version ident.Version) bool {
	if f.version > 0 || version == 0 {
		return false
	}
	f.needFull, f.version, f.failures = version.Era() < f.requestedEra, version, 0
	f.scheduleNext(now, now)
	return true
}

// ConfirmVersion records a peer's message that the table has no changes up to a version.
func (f *Follower) ConfirmVersion(now time.Time, version ident.Version) {
	if !f.needFull && version > f.version {
		f.ApplyPeerChanges(now, f.version, version)
	}
}

// LongPolls reports whether this VM makes long-poll calls.
func (f *Follower) LongPolls() bool { return f.longPoll > 0 && f.rank < longPollers }

// interval returns the time from the last call or changes of a peer to the next call.
func (f *Follower) interval() time.Duration {
	switch {
	case f.longPoll > 0 && f.rank < longPollers:
		return 0
	case f.longPoll > 0:
		return fallbackInterval + time.Duration(f.rng.Int63n(int64(fallbackInterval)))
	case f.rank == 0:
		return f.pollInterval
	}
	return f.pollInterval + peerTimeout + time.Duration(f.rank)*peerTimeoutPerRank
}

// backoff returns the time from a failed call to the next one. During an outage the calls of all VMs fail at the same time; the
// jitter spreads their next calls.
func (f *Follower) backoff() time.Duration {
	d := min(minBackoff<<min(f.failures, 8), maxBackoff)
	if f.rank >= longPollers && f.version > 0 && f.failures > 0 {
		d = dependentBackoff
	}
	return d/2 + time.Duration(f.rng.Int63n(int64(d/2)+1))
}

// CallNow schedules the next call at now, unless the last call failed.
func (f *Follower) CallNow(now time.Time) {
	if f.failures == 0 && f.nextCall.After(now) {
		f.nextCall = now
	}
}

// RequestFullRead schedules a full reading at now or, if the last call failed, after the current backoff.
func (f *Follower) RequestFullRead(now time.Time) {
	f.needFull, f.requestedAt = true, now
	if f.failures == 0 {
		f.nextCall = now
	}
}

// RequestEra is RequestFullRead for a reading in an era of the store, or a later one.
func (f *Follower) RequestEra(now time.Time, era ident.Era) {
	f.requestedEra = max(f.requestedEra, era)
	f.RequestFullRead(now)
}

// RecordResult records the result of a call that was started at begun and schedules the next one. A full reading that is
// older than what peers have reported since is repeated. A request for a full reading that was made during the call stays, unless
// the call was such a reading, in the requested era.
func (f *Follower) RecordResult(now, begun time.Time, rows Rows, err error) {
	switch {
	case err != nil:
		f.nextCall = now.Add(f.backoff())
		f.failures++
		return
	case rows.Compacted:
		f.needFull = true
		f.nextCall = now
	case rows.Full && rows.OlderThan(f.version):
		f.needFull = true
		f.nextCall = now.Add(f.backoff())
	case rows.OlderThan(f.version):
		f.scheduleNext(now, begun)
	default:
		inEra := rows.Version.Era() >= f.requestedEra
		f.needFull = !f.requestedAt.Before(begun) && !(rows.Full && inEra)
		f.version = rows.Version
		f.scheduleNext(now, begun)
	}
	f.failures = 0
}

// scheduleNext schedules the call after one that was started at begun and has ended at now.
func (f *Follower) scheduleNext(now, begun time.Time) {
	if f.needFull {
		f.nextCall = now
		return
	}
	f.nextCall = begun.Add(f.interval())
}

// SyncFollower is a Follower that is safe for concurrent use.
type SyncFollower struct {
	mu sync.Mutex
	f  *Follower
	// dueEarlier signals Run that the next call is now due earlier.
	dueEarlier chan struct{}
}

// NewSyncFollower makes f safe for concurrent use. The caller must not use f itself any more.
func NewSyncFollower(f *Follower) *SyncFollower {
	return &SyncFollower{f: f, dueEarlier: make(chan struct{}, 1)}
}

// With calls g with the Follower under the lock.
func (s *SyncFollower) With(g func(f *Follower)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.f.Next().At
	g(s.f)
	if s.f.Next().At.Before(before) {
		select {
		case s.dueEarlier <- struct{}{}:
		default:
		}
	}
}

// Sink receives the result of each call. Run calls the sink from its own goroutine.
type Sink func(now time.Time, rows Rows, err error)

// Run makes the calls that the Follower schedules until ctx is cancelled. A value on refresh requests a full reading and
// interrupts a call for changes.
func Run(ctx context.Context, t Table, f *SyncFollower, sink Sink, refresh <-chan struct{}, clock func() time.Time) error {
	for ctx.Err() == nil {
		var step Step
		f.With(func(f *Follower) { step = f.Next() })
		if d := step.At.Sub(clock()); d > 0 {
			if f.sleep(ctx, d, refresh) {
				f.With(func(f *Follower) { f.RequestFullRead(clock()) })
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
			f.With(func(f *Follower) { f.RequestFullRead(now) })
		}
		if refreshed && err != nil {
			continue // the refresh has cancelled the call
		}
		rows.After, rows.Begun = step.After, begun
		f.With(func(f *Follower) { f.RecordResult(now, begun, rows, err) })
		sink(now, rows, err)
	}
	return nil
}

// call makes the call of a step. A refresh cancels a call for changes and sets refreshed, also if the call still succeeds: its
// answer may be of before what the refresh is for. A full reading isn't cancelled:
// refreshes that arrive faster than the store responds would otherwise prevent it from ever completing.
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
		refreshed = true
	}
	return rows, refreshed, err
}

// sleep waits for d or until the schedule changes. It returns true if a refresh is requested.
func (s *SyncFollower) sleep(ctx context.Context, d time.Duration, refresh <-chan struct{}) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.dueEarlier:
	case <-ctx.Done():
	case <-refresh:
		return true
	}
	return false
}
