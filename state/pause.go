package state

import (
	"time"

	"github.com/currantpier/currantpier/carry"
	"github.com/currantpier/currantpier/feed"
	"github.com/currantpier/currantpier/trace"
)

// pauseThreshold is the time between two inputs or ticks from which the process is considered to have been paused.
const pauseThreshold = time.Second

// maxHold bounds the time after a pause in which requests are held, each for a while. A large configuration takes longer to read
// over a slow link.
const maxHold = 2 * time.Second

// pauseState is what a VM knows of pauses of its process. After a pause, sockets and channels hold messages and answers from
// before and during it, so only calls to the store that began afterwards show the present state.
type pauseState struct {
	// lastActive is the time of the last input or tick. resumedAt is when the last pause was noticed, and activeBefore the value
	// of lastActive then.
	lastActive, resumedAt, activeBefore time.Time
	// outdated says for each table that no call that began after the last pause has ended yet.
	outdated [2]bool
}

// recordCall records the end of a call. A failed call counts as well: newer data is not available.
func (p *pauseState) recordCall(r *reading) {
	if r.source == fromStore && !r.rows.Compacted && p.followsPause(r.rows.Begun) {
		p.outdated[r.topic] = false
	}
}

// followsPause reports whether a call that began at t follows the last pause. A call can begin after a pause before this service
// notices it. Since there is a tick every tickInterval, the pause began soon after activeBefore.
func (p *pauseState) followsPause(t time.Time) bool {
	return carry.ElapsedWithSuspend(p.activeBefore, t) >= 2*tickInterval
}

// checkPause requests a reading of both tables at once after a pause of the process. It is called before each input is applied:
// one that was queued before the pause may be applied before the first tick.
func (s *State) checkPause(now time.Time) {
	gap := time.Duration(0)
	if !s.pause.lastActive.IsZero() {
		gap = carry.ElapsedWithSuspend(s.pause.lastActive, now)
	}
	before := s.pause.lastActive
	s.pause.lastActive = now
	if gap < pauseThreshold {
		return
	}
	s.pause.activeBefore, s.pause.resumedAt, s.pause.outdated = before, now, [2]bool{true, true}
	s.cfg.Log.Add(now, trace.Resumed, "gap", gap)
	s.cfg.RegistryFollower.With(func(f *feed.Follower) { f.CallNow(now) })
	s.requestRefresh()
}

// holdsRequests reports whether requests wait because a table was not read since the process was paused.
func (s *State) holdsRequests(now time.Time) bool {
	return (s.pause.outdated[Operator] || s.pause.outdated[Registry]) && now.Sub(s.pause.resumedAt) < maxHold
}

// confirmSnapshot confirms to the forwarder that the tables are followed, unless requests are held.
func (s *State) confirmSnapshot(now time.Time) {
	if !s.holdsRequests(now) {
		s.cfg.Forwarder.ConfirmSnapshot(now)
	}
}
