package pick

import (
	"cmp"
	"slices"
	"time"

	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/ident"
)

// maxUnregisteredNotices bounds the notices of targets that aren't registered; beyond it the oldest one is dropped. A target that
// has left comes back only by a late row of the store, which is minutes old at most, while 4096 targets take far longer to leave.
const maxUnregisteredNotices = 4096

// notice is what a target has said about itself in its responses. It is kept apart from the registered targets, so that it
// outlasts a snapshot that lacks the target, and ends when the target starts anew.
type notice struct {
	// startedUnixMS is the start time of the process that gave the notice. If it is unknown, sequence, the highest one of its
	// entries, and address identify the process.
	startedUnixMS int64
	sequence      uint64
	address       string
	// restarts is the number of restarts of the target that this VM had seen.
	restarts int
	// updated is the time of the last change.
	updated time.Time
	// leavingSince is the time of the first response that announced that the target is leaving.
	leavingSince time.Time
	backOff      backOff
}

// excludes returns why a target with this notice gets no request now, or Chosen.
func (n *notice) excludes(now time.Time, t *target) Reason {
	switch {
	case !n.leavingSince.IsZero():
		return AllLeaving
	case t.inFlight >= n.backOff.limit(now, int(t.Slots)):
		return BackedOff
	}
	return Chosen
}

// covers reports whether a registered target is the process that gave the notice. An entry of an earlier start is an old row that
// arrives late. Without a start time, a restart that fleet.View has seen tells processes apart, and so do a lower sequence, since the
// view passes on no older entries of one process, and another address.
func (n *notice) covers(t *fleet.Target) bool {
	if n.startedUnixMS == 0 && t.StartedUnixMS == 0 {
		return t.Restarts == n.restarts && t.Sequence >= n.sequence && t.Address == n.address
	}
	return t.StartedUnixMS <= n.startedUnixMS
}

// coversChosen is covers for a target as it was chosen for a request. Its entry may be an earlier one of the same process, with a
// lower sequence: after a restart, SetTargets has dropped the notice.
func (n *notice) coversChosen(t *fleet.Target) bool {
	if n.startedUnixMS == 0 && t.StartedUnixMS == 0 {
		return t.Restarts == n.restarts && t.Address == n.address
	}
	return n.covers(t)
}

// afterRestart returns what remains of a notice for a process that is registered later, nil if nothing does: a back-off that this
// process may have asked for itself, before its entry arrived. An announcement that it made then is repeated in its next response.
func (n *notice) afterRestart(t *fleet.Target) *notice {
	if !n.backOff.askedBy(t) {
		return nil
	}
	return &notice{startedUnixMS: t.StartedUnixMS, sequence: t.Sequence, address: t.Address, restarts: t.Restarts, updated: n.updated,
		backOff: n.backOff}
}

// noticeFor returns the notice that holds for a registered target, nil if there is none. It drops that of an earlier process and
// one whose time is over.
func (p *Picker) noticeFor(now time.Time, t *fleet.Target) *notice {
	n := p.notices[t.ID]
	if n != nil && !n.covers(t) {
		n = n.afterRestart(t)
		p.notices[t.ID] = n
	}
	if n == nil || n.leavingSince.IsZero() && n.backOff.over(now) {
		delete(p.notices, t.ID)
		return nil
	}
	n.sequence = max(n.sequence, t.Sequence)
	return n
}

// RecordLeaving records that a target has announced in a response that it is leaving, and reports whether this is news. From
// then on Choose selects other targets, until the target starts anew. It ignores a response of a process that was replaced.
func (p *Picker) RecordLeaving(now time.Time, t *fleet.Target) bool {
	n := p.noticeOf(t)
	if n == nil || !n.leavingSince.IsZero() {
		return false
	}
	n.updated, n.leavingSince = now, now
	p.publishNotice(now, t, n)
	return true
}

// noticeOf returns the notice of a target that has responded, a new one if it has none. It returns nil if the response is one of
// a process that was replaced.
func (p *Picker) noticeOf(t *fleet.Target) *notice {
	if n := p.notices[t.ID]; n != nil && n.coversChosen(t) {
		if n.startedUnixMS > t.StartedUnixMS {
			return nil
		}
		return n
	}
	if current := p.byID[t.ID]; current != nil && replaces(&current.Target, t) {
		return nil
	}
	return &notice{startedUnixMS: t.StartedUnixMS, sequence: t.Sequence, address: t.Address, restarts: t.Restarts}
}

// replaces reports whether the registered target is a later process than the one that was chosen.
func replaces(registered, chosen *fleet.Target) bool {
	if registered.StartedUnixMS == 0 && chosen.StartedUnixMS == 0 {
		return registered.Restarts != chosen.Restarts || registered.Address != chosen.Address
	}
	return registered.StartedUnixMS > chosen.StartedUnixMS
}

// publishNotice makes a changed notice effective.
func (p *Picker) publishNotice(now time.Time, t *fleet.Target, n *notice) {
	p.notices[t.ID] = n
	if current := p.byID[t.ID]; current != nil {
		current.notice = p.noticeFor(now, &current.Target)
	}
	p.boundNotices()
}

// boundNotices drops the oldest notice of a target that isn't registered if there are too many.
func (p *Picker) boundNotices() {
	if len(p.notices) <= maxUnregisteredNotices+len(p.byID) {
		return
	}
	oldest, found := ident.Target(""), false
	for id, n := range p.notices {
		if p.byID[id] == nil && (!found || n.updated.Before(p.notices[oldest].updated)) {
			oldest, found = id, true
		}
	}
	if found {
		delete(p.notices, oldest)
	}
}

// Leaving reports whether a target that was chosen has announced that it is leaving.
func (p *Picker) Leaving(t *fleet.Target) bool {
	n := p.notices[t.ID]
	return n != nil && n.coversChosen(t) && !n.leavingSince.IsZero()
}

// NoticeState is one notice in a dump.
type NoticeState struct {
	ID            ident.Target `json:"id"`
	StartedUnixMS int64        `json:"started-unix-ms"`
	LeavingSince  time.Time    `json:"leaving-since,omitzero"`
	// BackOffUntil is the end of the time that the target asked for, ResumeAt when this VM sends to it again.
	BackOffUntil time.Time `json:"back-off-until,omitzero"`
	ResumeAt     time.Time `json:"resume-at,omitzero"`
}

// Notices returns all notices, sorted by target.
func (p *Picker) Notices() []NoticeState {
	var all []NoticeState
	for id, n := range p.notices {
		all = append(all, NoticeState{ID: id, StartedUnixMS: n.startedUnixMS, LeavingSince: n.leavingSince,
			BackOffUntil: n.backOff.until, ResumeAt: n.backOff.resumeAt})
	}
	slices.SortFunc(all, func(a, b NoticeState) int { return cmp.Compare(a.ID, b.ID) })
	return all
}
