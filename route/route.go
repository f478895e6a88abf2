// Package route chooses the target for each request of an entry. The entry's own in-flight counts, latencies and
// failures come first; reported load and health lag and may mislead, so they weigh in by their age only. The package
// has no I/O, no goroutines and no clock of its own, and its randomness comes from a source that the caller seeds.
package route

import (
	"math/rand/v2"
	"time"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/shift"
)

// Result is how a request at a target ended.
type Result uint8

// The results.
const (
	// OK: the target answered.
	OK Result = iota
	// Shed: the target refused the request without running it.
	Shed
	// Failed: the target answered with a server error, broke the connection or let the deadline pass.
	Failed
	// Unreachable: no connection could be opened.
	Unreachable
	// Abandoned: the caller went away; the request says nothing about the target except that it took at least so long.
	Abandoned
)

// Target is one target that the picker may choose.
type Target struct {
	Name    ident.Target
	Service ident.Service
	Address string
	Place   ident.Place
	// Slots is the target's number of slots.
	Slots ident.Slots
	// Leaving targets get no new work.
	Leaving bool
}

// TargetRef refers to a target of one Picker. The zero value refers to none. A reference stays valid when the target is
// removed from the picker.
type TargetRef struct {
	t *target
}

type target struct {
	Target
}

// Valid reports whether the reference refers to a target.
func (r TargetRef) Valid() bool { return r.t != nil }

// Target returns the description of the target.
func (r TargetRef) Target() Target { return r.t.Target }

// Name returns the name of the target.
func (r TargetRef) Name() ident.Target { return r.t.Name }

// Picker chooses targets. It is not safe for concurrent use, see share.Holder. Started must follow a Pick that is used
// before the next Pick, since the picker counts a request from Started on.
type Picker struct {
	rnd *rand.Rand
}

// Option changes a setting of a Picker.
type Option func(*Picker)

// Ramp sets the time over which a new or returned target is ramped up to all of its slots; 30 s by default.
func Ramp(d time.Duration) Option { return func(*Picker) {} }

// Backoff sets the first and the longest time without work for a target with failures; 500 ms and 15 s by default.
func Backoff(first, longest time.Duration) Option { return func(*Picker) {} }

// DomainCost sets how much latency a target in another failure domain of the region must save before it is preferred;
// 5 ms by default.
func DomainCost(d time.Duration) Option { return func(*Picker) {} }

// New returns a Picker without targets.
func New(src rand.Source, opts ...Option) *Picker { return &Picker{rnd: rand.New(src)} }

// SetTargets replaces the set of targets. Targets that stay keep their counts; new ones are ramped up, except in the
// first set of a service.
func (p *Picker) SetTargets(now time.Time, targets []Target) {}

// SetWeights sets the regions that serve a service for requests that arrive in origin, and their shares. Without
// weights, only the origin's own region is chosen.
func (p *Picker) SetWeights(svc ident.Service, origin ident.Region, w []shift.Weight) {}

// SetLimit sets how many requests this entry may have in flight at the target: its slots granted. A target without a
// limit has its Slots as the limit.
func (p *Picker) SetLimit(name ident.Target, slots ident.Slots) {}

// Pick chooses a target for a request that arrives at from. Targets in exclude are not chosen; another failure domain
// than theirs is preferred. It reports false if no target in the region that the weights select can take the request:
// a full region sheds and does not overflow into the next one.
func (p *Picker) Pick(now time.Time, from ident.Place, svc ident.Service, exclude []TargetRef) (TargetRef, bool) {
	return TargetRef{}, false
}

// Lookup returns the reference to a target by name.
func (p *Picker) Lookup(name ident.Target) (TargetRef, bool) { return TargetRef{}, false }

// Started records that a request was sent to the target.
func (p *Picker) Started(now time.Time, ref TargetRef) {}

// Finished records the end of a request for which Started was called.
func (p *Picker) Finished(now time.Time, ref TargetRef, latency time.Duration, res Result) {}

// Report records the load that the target reported: requests in progress per slot, as of the time asOf.
func (p *Picker) Report(now time.Time, name ident.Target, load float64, asOf time.Time) {}

// Leaving records that the target has announced that it leaves. It gets no new work until SetTargets lists it as new.
func (p *Picker) Leaving(name ident.Target) {}
