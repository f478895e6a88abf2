package fleet

import (
	"slices"
	"time"

	"github.com/currantpier/currantpier/ident"
)

const (
	// RegistryGrace is how long targets whose entries lapsed during an outage of the store stay usable after its end.
	// Running targets register again within about two seconds.
	RegistryGrace = 2100 * time.Millisecond
	// removedRetention is how long a removed entry is kept, so that a heartbeat from before the removal that arrives late
	// doesn't make the target usable again.
	removedRetention = 60 * time.Second
	// minRestartSilence is the time without a heartbeat after which a lower sequence of a target without a start time counts as
	// a restart. Before, it counts as a late heartbeat.
	minRestartSilence = 5 * time.Second
	// maxHeartbeatAge is the maximum age of a heartbeat when it is read.
	maxHeartbeatAge = 2500 * time.Millisecond
	// minLapsedShare is the share of all entries from which on entries missing after failed calls count as lapsed.
	minLapsedShare = 0.3
	// coldUntilTolerance is the difference between two reported ends of a warm-up up to which the later report is ignored.
	coldUntilTolerance = 300 * time.Millisecond
)

// Target is a registered target that may get new requests.
type Target struct {
	Entry
	// ColdUntil is the end of the warm-up, zero if the target is warm.
	ColdUntil time.Time
	// ColdAssumed is set if the target is cold by assumption; see ColdReport.
	ColdAssumed bool
	// Restarts is the number of restarts of the target that this VM has seen.
	Restarts int
}

// Snapshot is the state of a View at one time. It is immutable.
type Snapshot struct {
	// Config is nil until the first configuration is read.
	Config *Config
	// Targets maps a service to its targets that may get new requests.
	Targets map[ident.Service][]Target
	// Evacuated are the failure domains whose targets get no new requests.
	Evacuated map[ident.Domain]bool
	// RegistryRead is set if the registry was read at least once.
	RegistryRead bool
	// AssumedCold is the number of targets that are cold by assumption.
	AssumedCold int
}

// Usable reports whether a target of an earlier snapshot may still get new requests, and is still in the place for which it was
// chosen.
func (s *Snapshot) Usable(t *Target) bool {
	return slices.ContainsFunc(s.Targets[t.Service], func(x Target) bool {
		return x.ID == t.ID && x.StartedUnixMS == t.StartedUnixMS && x.Address == t.Address && x.Place == t.Place
	})
}

// record is the state of one registered target.
type record struct {
	Entry
	// lastRead is the time at which the last accepted heartbeat was read.
	lastRead  time.Time
	coldUntil time.Time
	// coldAssumed is set if coldUntil is an assumption, which may have run out.
	coldAssumed bool
	// assumedHere is set if a refused connection of this VM is the reason, or one of the reasons.
	assumedHere bool
	// pathFaultUntil is the time until which a refused connection of this VM says nothing about the target, and localUntil the time
	// until which the target is cold for this VM alone.
	pathFaultUntil, localUntil time.Time
	// staleUntil is the time until which a heartbeat may be older than what coldUntil is known from, and so can't shorten the
	// warm-up of the same process.
	staleUntil time.Time
	// missingSince is the time at which the entry was found missing, zero while it is registered.
	missingSince time.Time
	// keepUntil is the time until which the target stays usable although its entry is missing.
	keepUntil time.Time
	// leaving is set when the target announces that it is leaving. Only a restart resets it.
	leaving bool
	// restarts counts the restarts of the target.
	restarts int
}

// usable reports whether the target may get new requests by its registry entry alone, regardless of evacuations.
func (r *record) usable(now time.Time) bool {
	return !r.leaving && (r.missingSince.IsZero() || now.Before(r.keepUntil))
}

// View merges readings of the store. The version of the configuration never decreases. A View is not safe for concurrent
// use.
type View struct {
	config    *Config
	evacuated map[ident.Domain]bool
	records   map[ident.Target]*record
	read      bool
	// outage is set while the last call to the registry failed, firstAfterOutage until the first reading after failed calls is
	// applied.
	outage, firstAfterOutage bool
	// graceUntil is the time until which entries may be missing only because of an outage of the store.
	graceUntil time.Time
	// withheld are the targets of whose entries in a restored store this VM knows other ones, since the last call of Withheld.
	// withheldRemoved is set if one of them was removed.
	withheld        []ident.Target
	withheldRemoved bool
	// nextTick is the time of the next change that needs no reading, zero if there is none.
	nextTick time.Time
}

// NewView returns an empty view.
func NewView() *View {
	return &View{evacuated: map[ident.Domain]bool{}, records: map[ident.Target]*record{}}
}

// SetConfig replaces the configuration by a newer version and reports whether c is newer.
func (v *View) SetConfig(c *Config) bool {
	if v.config != nil && c.Version <= v.config.Version {
		return false
	}
	v.config = c
	return true
}

// Version returns the version of the current configuration, zero without one.
func (v *View) Version() ident.Version {
	if v.config == nil {
		return 0
	}
	return v.config.Version
}

// Evacuate starts or ends the evacuation of a failure domain and reports whether this is a change.
func (v *View) Evacuate(now time.Time, d ident.Domain, on bool) bool {
	if v.evacuated[d] == on {
		return false
	}
	if on {
		v.evacuated[d] = true
		return true
	}
	delete(v.evacuated, d)
	// The targets may have become cold during the evacuation. Their next heartbeats report the remaining warm-up.
	for _, r := range v.records {
		if r.Place.Domain == d {
			r.coldUntil = now.Add(v.warmup(r.Service))
			r.staleUntil = now.Add(maxHeartbeatAge)
		}
	}
	return true
}

// Evacuated returns the failure domains under evacuation.
func (v *View) Evacuated() []ident.Domain {
	var all []ident.Domain
	for d := range v.evacuated {
		all = append(all, d)
	}
	return all
}

func (v *View) warmup(svc ident.Service) time.Duration {
	if v.config == nil {
		return 0
	}
	return v.config.Services[svc].Warmup
}

// Row is one change of the registry: an entry that was written, or the removal of the entry with the same id.
type Row struct {
	Entry
	Removed bool
	// Lapsed is set for a removed entry that may only have lapsed during an outage of the store. Its target stays usable for
	// RegistryGrace. In a full registry, the row has the whole entry.
	Lapsed bool
}

// RegistryUpdate is the result of one call to the registry.
type RegistryUpdate struct {
	// Rows are in the order of their writes; one reading can hold the removal of an entry and its next write.
	Rows []Row
	// Full is set if Rows is the whole registry.
	Full bool
	// GraceElapsed is set if the reading comes from another VM that has already waited for lapsed entries to be written again.
	GraceElapsed bool
	// Restored is set if the store was restored from an earlier copy since the last reading. The copy lacks targets that have
	// registered since, and has older entries of others, also of targets that have left, until these write again.
	Restored bool
}

// lastRows returns the last row of each id and the ids in order of their first rows.
func (r *RegistryUpdate) lastRows() (rows map[ident.Target]*Row, order []ident.Target) {
	rows = make(map[ident.Target]*Row, len(r.Rows))
	for i := range r.Rows {
		id := r.Rows[i].ID
		if rows[id] == nil {
			order = append(order, id)
		}
		rows[id] = &r.Rows[i]
	}
	return rows, order
}

// RecordFailure records that a call to the registry failed.
func (v *View) RecordFailure() {
	v.outage = true
	v.firstAfterOutage = true
}

// RegistryRead reports whether the registry was read at least once.
func (v *View) RegistryRead() bool { return v.read }

// Outage reports whether the last call to the registry failed.
func (v *View) Outage() bool { return v.outage }

// Apply merges a reading of the registry and returns the targets whose state has changed by more than a heartbeat.
func (v *View) Apply(now time.Time, r RegistryUpdate) []ident.Target {
	v.outage = false
	v.read = true
	rows, order := r.lastRows()
	var changed, removed []ident.Target
	for _, id := range order {
		row := rows[id]
		if row.Removed {
			removed = append(removed, id)
		}
		if row.Removed && !(r.Full && row.Lapsed) || (r.Restored || row.Lapsed) && v.outdated(now, &row.Entry) {
			continue
		}
		if v.applyEntry(now, row.Entry) {
			changed = append(changed, id)
		}
	}
	if r.Full {
		for id := range v.records {
			if rows[id] == nil {
				removed = append(removed, id)
			}
		}
	}
	switch {
	case r.Restored:
		v.firstAfterOutage, v.graceUntil = false, now.Add(RegistryGrace)
	case r.GraceElapsed:
		v.firstAfterOutage, v.graceUntil = false, time.Time{}
	case v.firstAfterOutage:
		v.firstAfterOutage = false
		v.detectOutage(now, removed)
	}
	for _, id := range removed {
		keepUntil := v.graceUntil
		switch row := rows[id]; {
		case row == nil:
		case row.Lapsed:
			keepUntil = now.Add(RegistryGrace)
		case r.Restored:
			keepUntil = time.Time{} // another VM knows that the target left
		}
		if v.markMissing(now, id, keepUntil) {
			changed = append(changed, id)
		}
	}
	return changed
}

// outdated reports whether an entry of a restored store, or one that has lapsed, is older than what is known of the target: a newer
// entry or, whatever the sequence, its removal. VMs know few heartbeats of a target before its removal, and the copy may have a
// later one.
func (v *View) outdated(now time.Time, e *Entry) bool {
	r := v.records[e.ID]
	if r == nil || e.StartedUnixMS > r.StartedUnixMS {
		return false
	}
	gone := !r.missingSince.IsZero() && !r.usable(now)
	if !gone && !e.older(&r.Entry) {
		return false
	}
	if gone || r.leaving == e.Ready || r.differs(e) {
		v.withheld = append(v.withheld, e.ID)
		v.withheldRemoved = v.withheldRemoved || gone
	}
	return true
}

// Withheld returns the targets of which a restored store had other entries than this VM knows, since the last call, and whether one of
// them was removed. What these targets write again is no change for this VM, but is one for a VM that knows only the copy. If a
// removed one writes again, a full reading finds it once the entries of the others have been removed again.
func (v *View) Withheld() (ids []ident.Target, removed bool) {
	ids, removed = v.withheld, v.withheldRemoved
	v.withheld, v.withheldRemoved = nil, false
	return ids, removed
}

// Lapsed reports whether the entry of a target is missing while the target is still usable.
func (v *View) Lapsed(now time.Time, id ident.Target) bool {
	r := v.records[id]
	return r != nil && !r.missingSince.IsZero() && r.usable(now)
}

// detectOutage decides at the first reading after failed calls whether the store itself was unavailable. In that case targets
// couldn't write heartbeats, so a large share of all entries has lapsed, and a grace period begins. If only this VM couldn't
// reach the store, the few missing entries belong to targets that have left.
func (v *View) detectOutage(now time.Time, removed []ident.Target) {
	known, missing := 0, 0
	for _, r := range v.records {
		if r.missingSince.IsZero() {
			known++
		}
	}
	for _, id := range removed {
		if r := v.records[id]; r != nil && r.missingSince.IsZero() {
			missing++
		}
	}
	if float64(missing) >= minLapsedShare*float64(known) {
		v.graceUntil = now.Add(RegistryGrace)
	}
}

// applyEntry merges an entry and reports whether it changes more than the heartbeat.
func (v *View) applyEntry(now time.Time, e Entry) bool {
	r := v.records[e.ID]
	if r == nil {
		r = &record{leaving: !e.Ready}
		r.applyWarmup(now, &e, true)
		r.setEntry(now, e)
		v.records[e.ID] = r
		return true
	}
	if !r.supersededBy(now, &e) {
		return false
	}
	restarted := e.StartedUnixMS != r.StartedUnixMS || e.Sequence < r.Sequence
	if restarted {
		r.restarts++
	}
	changed := restarted || !r.missingSince.IsZero() || e.Ready != r.Ready || r.differs(&e)
	r.missingSince = time.Time{}
	r.leaving = !e.Ready || r.leaving && !restarted
	changed = r.applyWarmup(now, &e, restarted) || changed
	r.setEntry(now, e)
	return changed
}

// setEntry stores an entry that was read at now, without an assumption of another VM.
func (r *record) setEntry(now time.Time, e Entry) {
	if e.Assumed {
		e.WarmupLeft, e.Assumed = 0, false
	}
	r.Entry, r.lastRead = e, now
}

// differs reports whether e is of another start of the target, or describes another place or size.
func (r *record) differs(e *Entry) bool {
	return e.StartedUnixMS != r.StartedUnixMS || e.Address != r.Address || e.Slots != r.Slots || e.Service != r.Service || e.Place != r.Place
}

// supersededBy reports whether e replaces the entry of the record. After its removal, an entry is replaced only by a newer
// heartbeat, not by the same one.
func (r *record) supersededBy(now time.Time, e *Entry) bool {
	switch {
	case r.Entry.older(e):
		return true
	case r.StartedUnixMS == 0 && e.StartedUnixMS == 0 && e.Sequence < r.Sequence:
		return now.Sub(r.lastRead) > minRestartSilence
	}
	return r.missingSince.IsZero() && r.StartedUnixMS == e.StartedUnixMS && r.Sequence == e.Sequence
}

// markMissing records that an entry is missing and reports whether it was registered before. The target is usable until keepUntil.
func (v *View) markMissing(now time.Time, id ident.Target, keepUntil time.Time) bool {
	r := v.records[id]
	if r == nil || !r.missingSince.IsZero() {
		return false
	}
	r.missingSince = now
	r.keepUntil = keepUntil
	if now.Before(r.keepUntil) {
		v.scheduleTick(r.keepUntil)
	}
	v.scheduleTick(now.Add(removedRetention))
	return true
}

// scheduleTick makes Tick update the state at t or earlier.
func (v *View) scheduleTick(t time.Time) {
	if v.nextTick.IsZero() || t.Before(v.nextTick) {
		v.nextTick = t
	}
}

// Describe returns the state of a target as keys and values for a log line.
func (v *View) Describe(now time.Time, id ident.Target) []any {
	r := v.records[id]
	if r == nil {
		return []any{"target", id, "state", "unknown"}
	}
	state := "leaving"
	switch {
	case !r.missingSince.IsZero() && now.Before(r.keepUntil):
		state = "missing"
	case !r.missingSince.IsZero():
		state = "removed"
	case r.usable(now):
		state = "ready"
	}
	return []any{"target", id, "service", r.Service, "state", state, "sequence", r.Sequence, "warmup-left", r.WarmupLeft}
}

// Tick updates the state that depends on time and reports whether a grace period or a retention may have ended since the last
// call. It should be called several times per second.
func (v *View) Tick(now time.Time) bool {
	if v.nextTick.IsZero() || now.Before(v.nextTick) {
		return false
	}
	v.nextTick = time.Time{}
	for id, r := range v.records {
		switch {
		case r.missingSince.IsZero():
		case now.Sub(r.missingSince) >= removedRetention:
			delete(v.records, id)
		case now.Before(r.keepUntil):
			v.scheduleTick(r.keepUntil)
		default:
			v.scheduleTick(r.missingSince.Add(removedRetention))
		}
	}
	return true
}

// Registered returns the entries of usable targets, also those under evacuation, with the remaining warm-up at now.
func (v *View) Registered(now time.Time) map[ident.Target]Entry {
	all := make(map[ident.Target]Entry, len(v.records))
	for id, r := range v.records {
		if !r.usable(now) {
			continue
		}
		e := r.Entry
		e.WarmupLeft = max(r.coldUntil.Sub(now), 0)
		e.Assumed = r.coldAssumed && e.WarmupLeft > 0
		all[id] = e
	}
	return all
}

// Snapshot returns the current state.
func (v *View) Snapshot(now time.Time) *Snapshot {
	s := &Snapshot{
		Config:       v.config,
		Targets:      map[ident.Service][]Target{},
		Evacuated:    make(map[ident.Domain]bool, len(v.evacuated)),
		RegistryRead: v.read,
	}
	for d := range v.evacuated {
		s.Evacuated[d] = true
	}
	for _, r := range v.records {
		if r.usable(now) && !v.evacuated[r.Place.Domain] {
			assumed := r.coldAssumed && now.Before(r.coldUntil)
			s.Targets[r.Service] = append(s.Targets[r.Service], Target{Entry: r.Entry, ColdUntil: r.coldUntilHere(), ColdAssumed: assumed, Restarts: r.restarts})
			if assumed {
				s.AssumedCold++
			}
		}
	}
	return s
}
