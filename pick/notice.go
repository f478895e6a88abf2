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
	// startedUnixMS is the start time of the process that gave the notice. sequence is the highest sequence of its entries, and
	// identifies the process if the start time is unknown.
	startedUnixMS int64
	sequence      uint64
	// updated is the time of the last change.
	updated time.Time
	// leavingSince is the time of the first response that announced that the target is leaving.
	leavingSince time.Time
}

// covers reports whether a registered target is the process that gave the notice. An entry of an earlier start is an old row that
// arrives late. A lower sequence without a start time is a restart, since fleet.View passes on no older entries of one process.
func (n *notice) covers(t *fleet.Target) bool {
	if n.startedUnixMS == 0 && t.StartedUnixMS == 0 {
		return t.Sequence >= n.sequence
	}
	return t.StartedUnixMS <= n.startedUnixMS
}

// noticeFor returns the notice that holds for a registered target, nil if there is none. It drops that of an earlier process.
func (p *Picker) noticeFor(t *fleet.Target) *notice {
	n := p.notices[t.ID]
	switch {
	case n == nil:
		return nil
	case !n.covers(t):
		delete(p.notices, t.ID)
		return nil
	}
	n.sequence = max(n.sequence, t.Sequence)
	return n
}

// RecordLeaving records that a target has announced in a response that it is leaving, and reports whether this is news. From
// then on Choose selects other targets, until the target starts anew. It ignores a response of a process that was replaced.
func (p *Picker) RecordLeaving(now time.Time, t *fleet.Target) bool {
	n := p.notices[t.ID]
	current := p.byID[t.ID]
	switch {
	case n != nil && n.covers(t):
		return false
	case current != nil && current.StartedUnixMS > t.StartedUnixMS:
		return false
	}
	n = &notice{startedUnixMS: t.StartedUnixMS, sequence: t.Sequence, updated: now, leavingSince: now}
	p.notices[t.ID] = n
	if current != nil {
		current.notice = p.noticeFor(&current.Target)
	}
	p.boundNotices()
	return true
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

// Leaving reports whether a target has announced that it is leaving.
func (p *Picker) Leaving(t *fleet.Target) bool {
	n := p.notices[t.ID]
	return n != nil && n.covers(t)
}

// NoticeState is one notice in a dump.
type NoticeState struct {
	ID            ident.Target `json:"id"`
	StartedUnixMS int64        `json:"started-unix-ms"`
	LeavingSince  time.Time    `json:"leaving-since,omitzero"`
}

// Notices returns all notices, sorted by target.
func (p *Picker) Notices() []NoticeState {
	var all []NoticeState
	for id, n := range p.notices {
		all = append(all, NoticeState{ID: id, StartedUnixMS: n.startedUnixMS, LeavingSince: n.leavingSince})
	}
	slices.SortFunc(all, func(a, b NoticeState) int { return cmp.Compare(a.ID, b.ID) })
	return all
}
