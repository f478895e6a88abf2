package fleet

import (
	"slices"
	"time"

	"github.com/currantpier/currantpier/ident"
)

const (
	// RegistryGrace is how long targets whose entries lapsed during an outage of the store are kept after its return.
	// Living targets are registered again within about two seconds.
	RegistryGrace = 2100 * time.Millisecond
	// memory is how long a removed entry is remembered, so that a heartbeat written before its removal does not bring it
	// back.
	memory = 60 * time.Second
	// restartAfter is how long a target without a start time must have been silent before a lower sequence is taken for a
	// restart instead of a late heartbeat.
	restartAfter = 5 * time.Second
	// heartbeatLag is how old a heartbeat can be when it is read.
	heartbeatLag = 2500 * time.Millisecond
	// lapsePart is the part of all entries that must be missing after failed calls to count as lapsed.
	lapsePart = 0.3
	// coldNoise is the difference between two statements of the end of the warm-up that is no news.
	coldNoise = 300 * time.Millisecond
)

// Target is a registered target that may be used.
type Target struct {
	Entry
	// ColdUntil is when the target stops being cold; zero if it is warm.
	ColdUntil time.Time
}

// Snapshot is the state of a View at one moment. It is not changed after it was published.
type Snapshot struct {
	// Config is nil until the first configuration was read.
	Config *Config
	// Targets are those that may get new requests, by service.
	Targets map[ident.Service][]Target
	// Evacuated are the failure domains whose targets get no new requests.
	Evacuated map[ident.Domain]bool
	// RegistryRead says that the registry was read at least once.
	RegistryRead bool
}

// Usable reports whether a target that was chosen from another snapshot may still get new requests.
func (s *Snapshot) Usable(t *Target) bool {
	return slices.ContainsFunc(s.Targets[t.Service], func(x Target) bool {
		return x.ID == t.ID && x.Born == t.Born && x.Address == t.Address
	})
}

// record is the state of one registered target.
type record struct {
	Entry
	// seen is when the entry was last written, as far as this VM knows.
	seen      time.Time
	coldUntil time.Time
	// doubtful is until when a heartbeat may be older than the end of an evacuation, so that it does not end the warm-up.
	doubtful time.Time
	// vanished is when the entry was found missing; zero while it is there.
	vanished time.Time
	// keepUntil is until when the target is used although its entry is missing.
	keepUntil time.Time
	// left says that this start of the target has announced that it is leaving, which it can't take back.
	left bool
}

// usable reports whether the target may get new requests as far as its entry is concerned.
func (r *record) usable(now time.Time) bool {
	return !r.left && (r.vanished.IsZero() || now.Before(r.keepUntil))
}

// View merges what is read from the store. Configurations only go forward. It is not safe for concurrent use.
type View struct {
	config    *Config
	evacuated map[ident.Domain]bool
	records   map[ident.Target]*record
	read      bool
	// outage says that the last call to the store failed, resumed that the next reading is the first one after that.
	outage, resumed bool
	// graceUntil is until when entries may be missing only because the store was away.
	graceUntil time.Time
	// next is when the state next changes by time alone; zero if it doesn't.
	next time.Time
}

// NewView returns an empty view.
func NewView() *View {
	return &View{evacuated: map[ident.Domain]bool{}, records: map[ident.Target]*record{}}
}

// SetConfig takes a configuration if it is newer than the present one and reports whether it did.
func (v *View) SetConfig(c *Config) bool {
	if v.config != nil && c.Version <= v.config.Version {
		return false
	}
	v.config = c
	return true
}

// Version returns the version of the present configuration, or zero.
func (v *View) Version() ident.Version {
	if v.config == nil {
		return 0
	}
	return v.config.Version
}

// Evacuate starts or ends the evacuation of a failure domain. It reports whether that is a change.
func (v *View) Evacuate(now time.Time, d ident.Domain, on bool) bool {
	if v.evacuated[d] == on {
		return false
	}
	if on {
		v.evacuated[d] = true
		return true
	}
	delete(v.evacuated, d)
	// The targets may have become cold meanwhile. Their next heartbeat says how long they stay so.
	for _, r := range v.records {
		if r.Place.Domain == d {
			r.coldUntil = now.Add(v.warmup(r.Service))
			r.doubtful = now.Add(heartbeatLag)
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

// Row is one row of the registry: an entry, or the removal of the one with its id.
type Row struct {
	Entry
	Removed bool
	// Lapsed says of a removed entry that it may only have lapsed while the store was away. Its target is used for
	// RegistryGrace.
	Lapsed bool
}

// Reading is what one call returned of the registry.
type Reading struct {
	// Rows are in the order in which they were written; an entry can be removed and written again in one reading.
	Rows []Row
	// Whole says that Rows is the whole registry.
	Whole bool
	// Settled says that another VM has already waited for entries that may only have lapsed.
	Settled bool
}

// last returns the final row of each id and the ids in order of first appearance.
func (r *Reading) last() (rows map[ident.Target]*Row, order []ident.Target) {
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

// Failed records that a call to the registry failed.
func (v *View) Failed() {
	v.outage = true
	v.resumed = true
}

// Read reports whether the registry was read at least once.
func (v *View) Read() bool { return v.read }

// Outage reports whether the last call to the registry failed.
func (v *View) Outage() bool { return v.outage }

// Apply takes a reading of the registry and returns the targets for which something changed that matters.
func (v *View) Apply(now time.Time, r Reading) []ident.Target {
	v.outage = false
	v.read = true
	rows, order := r.last()
	var changed, removed []ident.Target
	for _, id := range order {
		if rows[id].Removed {
			removed = append(removed, id)
		} else if v.put(now, rows[id].Entry) {
			changed = append(changed, id)
		}
	}
	if r.Whole {
		for id := range v.records {
			if rows[id] == nil {
				removed = append(removed, id)
			}
		}
	}
	switch {
	case r.Settled:
		v.resumed, v.graceUntil = false, time.Time{}
	case v.resumed:
		v.resumed = false
		v.resume(now, removed)
	}
	for _, id := range removed {
		keepUntil := v.graceUntil
		if row := rows[id]; row != nil && row.Lapsed {
			keepUntil = now.Add(RegistryGrace)
		}
		if v.remove(now, id, keepUntil) {
			changed = append(changed, id)
		}
	}
	return changed
}

// Lapsed reports whether the entry of a target is missing and the target is used all the same.
func (v *View) Lapsed(now time.Time, id ident.Target) bool {
	r := v.records[id]
	return r != nil && !r.vanished.IsZero() && r.usable(now)
}

// resume decides at the first reading after failed calls whether the store itself was away: then targets could not write
// and a large part of all entries has lapsed at once. If only this VM was cut off, the few entries that are missing
// belong to targets that are gone.
func (v *View) resume(now time.Time, removed []ident.Target) {
	known, gone := 0, 0
	for _, r := range v.records {
		if r.vanished.IsZero() {
			known++
		}
	}
	for _, id := range removed {
		if r := v.records[id]; r != nil && r.vanished.IsZero() {
			gone++
		}
	}
	if float64(gone) >= lapsePart*float64(known) {
		v.graceUntil = now.Add(RegistryGrace)
	}
}

// put takes an entry and reports whether it is a change that matters.
func (v *View) put(now time.Time, e Entry) bool {
	r := v.records[e.ID]
	if r == nil {
		v.records[e.ID] = &record{Entry: e, seen: now, coldUntil: coldUntil(now, &e), left: !e.Ready}
		return true
	}
	if !r.supersededBy(now, &e) {
		return false
	}
	restarted := e.Born != r.Born || e.Sequence < r.Sequence
	changed := restarted || !r.vanished.IsZero() || e.Ready != r.Ready || e.Address != r.Address || e.Slots != r.Slots ||
		e.Service != r.Service || e.Place != r.Place
	r.vanished = time.Time{}
	r.left = !e.Ready || r.left && !restarted
	until := coldUntil(now, &e)
	if now.Before(r.doubtful) && until.Before(r.coldUntil) {
		until = r.coldUntil
	}
	if moved := until.Sub(r.coldUntil); moved > coldNoise || moved < -coldNoise {
		r.coldUntil = until
		changed = true
	}
	r.Entry, r.seen = e, now
	return changed
}

// supersededBy reports whether e was written after the entry of the record. A removed entry comes back only with a
// heartbeat that is newer than its last one.
func (r *record) supersededBy(now time.Time, e *Entry) bool {
	switch {
	case r.Entry.older(e):
		return true
	case r.Born == 0 && e.Born == 0 && e.Sequence < r.Sequence:
		return now.Sub(r.seen) > restartAfter
	}
	return r.vanished.IsZero() && r.Born == e.Born && r.Sequence == e.Sequence
}

// coldUntil is the latest moment at which the target is still cold, as its entry tells.
func coldUntil(now time.Time, e *Entry) time.Time {
	if e.WarmupLeft <= 0 {
		return time.Time{}
	}
	return now.Add(e.WarmupLeft)
}

// remove takes note that an entry is missing and reports whether that is news. Its target is used until keepUntil.
func (v *View) remove(now time.Time, id ident.Target, keepUntil time.Time) bool {
	r := v.records[id]
	if r == nil || !r.vanished.IsZero() {
		return false
	}
	r.vanished = now
	r.keepUntil = keepUntil
	if now.Before(r.keepUntil) {
		v.wake(r.keepUntil)
	}
	v.wake(now.Add(memory))
	return true
}

// wake asks for a change by time at t.
func (v *View) wake(t time.Time) {
	if v.next.IsZero() || t.Before(v.next) {
		v.next = t
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
	case !r.vanished.IsZero() && now.Before(r.keepUntil):
		state = "missing"
	case !r.vanished.IsZero():
		state = "removed"
	case r.usable(now):
		state = "ready"
	}
	return []any{"target", id, "service", r.Service, "state", state, "sequence", r.Sequence, "warmup-left", r.WarmupLeft}
}

// Tick reports whether targets ceased to be usable by time alone. It should be called several times a second.
func (v *View) Tick(now time.Time) bool {
	if v.next.IsZero() || now.Before(v.next) {
		return false
	}
	v.next = time.Time{}
	for id, r := range v.records {
		switch {
		case r.vanished.IsZero():
		case now.Sub(r.vanished) >= memory:
			delete(v.records, id)
		case now.Before(r.keepUntil):
			v.wake(r.keepUntil)
		default:
			v.wake(r.vanished.Add(memory))
		}
	}
	return true
}

// Registered returns the targets that are usable as far as the registry is concerned, with the warm-up that is left.
func (v *View) Registered(now time.Time) map[ident.Target]Entry {
	all := make(map[ident.Target]Entry, len(v.records))
	for id, r := range v.records {
		if !r.usable(now) {
			continue
		}
		e := r.Entry
		e.WarmupLeft = max(r.coldUntil.Sub(now), 0)
		all[id] = e
	}
	return all
}

// Snapshot returns the present state.
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
			s.Targets[r.Service] = append(s.Targets[r.Service], Target{Entry: r.Entry, ColdUntil: r.coldUntil})
		}
	}
	return s
}
