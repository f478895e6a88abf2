package fleet

import (
	"time"

	"github.com/currantpier/currantpier/ident"
)

// RegistryGrace is how long entries that vanished during an outage of the store are kept after its return. Living
// targets are registered again within about two seconds.
const RegistryGrace = 2300 * time.Millisecond

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

// record is the state of one registered target.
type record struct {
	Entry
	coldUntil time.Time
	// vanished is when the entry was found missing; zero while it is there.
	vanished time.Time
	// left says that this start of the target has announced that it is leaving, which it can't take back.
	left bool
}

// View merges what is read from the store. Configurations only go forward. It is not safe for concurrent use.
type View struct {
	config    *Config
	evacuated map[ident.Domain]bool
	records   map[ident.Target]*record
	read      bool
	// outage says that the last call to the store failed; back is when it answered again after an outage.
	outage bool
	back   time.Time
}

// NewView returns an empty view.
func NewView() *View {
	return &View{
		evacuated: map[ident.Domain]bool{},
		records:   map[ident.Target]*record{},
	}
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

// Put takes an entry that was read from the registry. It reports whether targets changed.
func (v *View) Put(now time.Time, e Entry) bool {
	r := v.records[e.ID]
	if r == nil {
		r = &record{}
		v.records[e.ID] = r
		r.Entry, r.coldUntil, r.left = e, coldUntil(now, e), !e.Ready
		return true
	}
	if e.older(&r.Entry) {
		return false
	}
	restarted := e.Born != r.Born
	changed := restarted || !r.vanished.IsZero() || e.Ready != r.Ready || e.Address != r.Address || e.Slots != r.Slots ||
		e.Service != r.Service
	r.vanished = time.Time{}
	r.left = !e.Ready || r.left && !restarted
	until := coldUntil(now, e)
	if moved := until.Sub(r.coldUntil); moved > coldNoise || moved < -coldNoise {
		r.coldUntil = until
		changed = true
	}
	r.Entry = e
	return changed
}

// coldNoise is the difference between two statements of the end of the warm-up that is no news.
const coldNoise = 300 * time.Millisecond

// coldUntil is the latest moment at which the target is still cold, as its entry tells.
func coldUntil(now time.Time, e Entry) time.Time {
	if e.WarmupLeft <= 0 {
		return time.Time{}
	}
	return now.Add(e.WarmupLeft)
}

// Remove takes note that an entry is missing from the registry. Right after an outage of the store the target is kept
// for RegistryGrace, since its entry may have lapsed only because the store was away.
func (v *View) Remove(now time.Time, id ident.Target) bool {
	r := v.records[id]
	if r == nil || !r.vanished.IsZero() {
		return false
	}
	r.vanished = now
	return true
}

// Replace takes a full reading of the registry.
func (v *View) Replace(now time.Time, entries []Entry) {
	v.read = true
	present := make(map[ident.Target]bool, len(entries))
	for _, e := range entries {
		present[e.ID] = true
		v.Put(now, e)
	}
	for id := range v.records {
		if !present[id] {
			v.Remove(now, id)
		}
	}
}

// Contact records whether a call to the store was answered.
func (v *View) Contact(now time.Time, ok bool) {
	if ok && v.outage {
		v.back = now
	}
	v.outage = !ok
}

// Outage reports whether the last call to the store failed.
func (v *View) Outage() bool { return v.outage }

// graced reports whether a vanished target is still used because the store was away.
func (v *View) graced(now time.Time, r *record) bool {
	return !v.back.IsZero() && now.Before(v.back.Add(RegistryGrace))
}

// Tick forgets entries whose absence is final. It reports whether targets changed and should be called several times a
// second.
func (v *View) Tick(now time.Time) bool {
	changed := false
	for id, r := range v.records {
		if !r.vanished.IsZero() && !v.graced(now, r) {
			delete(v.records, id)
			changed = true
		}
	}
	return changed
}

// Snapshot returns the present state. A vanished target is part of it only while it is kept for RegistryGrace.
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
		if r.left || v.evacuated[r.Place.Domain] || !r.vanished.IsZero() && !v.graced(now, r) {
			continue
		}
		s.Targets[r.Service] = append(s.Targets[r.Service], Target{Entry: r.Entry, ColdUntil: r.coldUntil})
	}
	return s
}
