package pick

import (
	"time"

	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/ident"
)

// Load is what a target reports of itself in an answer.
type Load struct {
	Running, Waiting, Slots int
}

// Result is how a request at a target ended.
type Result uint8

// The results.
const (
	// Served: the target's answer arrived whole, whatever its status.
	Served Result = iota
	// ServerError: the target answered that it failed.
	ServerError
	// Full: the target refused the request because it has no room.
	Full
	// Moved: another target answered at the address.
	Moved
	// Unreachable: no connection could be opened.
	Unreachable
	// Broken: the connection broke or carried something that is no answer.
	Broken
	// Silent: the target did not answer in time.
	Silent
	// Flooded: the target sent more than an answer may have.
	Flooded
	// Cancelled: the caller left or the request was ended here for another reason that says nothing about the target.
	Cancelled
)

// Outcome is what a request at a target showed.
type Outcome struct {
	Result Result
	// Took is the time from sending to the end of the answer.
	Took time.Duration
	// Load is the target's report; nil if the answer had none.
	Load *Load
}

// Started records that a request is sent to the choice.
func (p *Picker) Started(now time.Time, a Ask, c Choice) {
	t := p.byID[c.Target.ID]
	if t == nil {
		return
	}
	t.sent++
	p.pools[t.Service].spread.Count(now, c.wished, t.Place.Region)
	if now.Before(t.ColdUntil) {
		t.cold.take(now)
	}
	if a.Object != 0 {
		t.remember(now, a.Object)
	}
}

// knownMost bounds the objects that are remembered for a target.
const knownMost = 256

func (t *target) remember(now time.Time, o Object) {
	t.known[o] = now
	if len(t.known) <= knownMost {
		return
	}
	for k, at := range t.known {
		if now.Sub(at) > knownFor {
			delete(t.known, k)
		}
	}
	if len(t.known) > knownMost {
		clear(t.known)
		t.known[o] = now
	}
}

// Finished records the outcome of a request that was Started.
func (p *Picker) Finished(now time.Time, a Ask, c Choice, o Outcome) {
	t := p.byID[c.Target.ID]
	if t == nil || t.Born != c.Target.Born {
		return
	}
	t.sent = max(t.sent-1, 0)
	if o.Load != nil {
		t.others = max(0, float64(o.Load.Running+o.Load.Waiting-t.sent))
		t.reported = now
	}
	switch o.Result {
	case Served:
		t.failures = 0
		t.failed(0)
		p.learn(a, c, t, o)
	case ServerError:
		t.failures = 0
		t.failed(1)
	case Full:
		t.failures = 0
		if o.Load == nil {
			t.others, t.reported = float64(3*t.Slots), now
		}
		// An object that was refused is not known to the target.
		delete(t.known, a.Object)
	case Moved:
		t.gone = true
		p.pools[t.Service].spread.Failed(now)
	case Unreachable, Flooded:
		t.failed(1)
		t.hold(now)
		p.pools[t.Service].spread.Failed(now)
	case Broken, Silent:
		// One spoiled answer is no reason to leave a target that knows its objects.
		t.failed(1)
		t.failures++
		if t.failures > 1 {
			t.hold(now)
			p.pools[t.Service].spread.Failed(now)
		}
	case Cancelled:
	}
}

func (t *target) failed(x float64) { t.failRate += failMemory * (x - t.failRate) }

// hold keeps requests from the target for a time that grows with each failure in a row.
func (t *target) hold(now time.Time) {
	d := min(suspectFor<<min(t.failures, 8), suspectMost)
	t.failures++
	t.suspect = now.Add(d)
}

// learn updates the mean times of the route and the speed of the target from an answer that did not wait for a slot.
func (p *Picker) learn(a Ask, c Choice, t *target, o Outcome) {
	if c.Load+1 > float64(t.Slots) || o.Took <= 0 || o.Load != nil && o.Load.Waiting > 0 {
		return
	}
	w := p.workOf(a.Route)
	took := max(o.Took-p.trip(t), time.Millisecond)
	mean, n := &w.unknown, &w.unknownSamples
	if c.Known {
		mean, n = &w.known, &w.knownSamples
	}
	*n++
	t.slow += slowMemory * (min(float64(took)/float64(*mean), 8) - t.slow)
	t.slow = max(t.slow, 0.7)
	// Slowly from the start: the first requests find all targets cold, and as the mean of known objects their times would
	// make known targets look no better than others.
	*mean += scale(took-*mean, workMemory)
	w.unknown = max(w.unknown, w.known)
}

// TargetState is the dump of one target.
type TargetState struct {
	ID       ident.Target  `json:"id"`
	Service  ident.Service `json:"service"`
	Domain   ident.Domain  `json:"failure-domain"`
	Sent     int           `json:"sent"`
	Load     float64       `json:"load"`
	Slots    ident.Slots   `json:"slots"`
	FailRate float64       `json:"fail-rate"`
	Slow     float64       `json:"slow"`
	Cold     bool          `json:"cold,omitempty"`
	Suspect  bool          `json:"suspect,omitempty"`
	Gone     bool          `json:"gone,omitempty"`
	Known    int           `json:"known-objects"`
}

// WorkState is the dump of a route's mean times.
type WorkState struct {
	Route     fleet.RouteName `json:"route"`
	KnownMS   int64           `json:"known-ms"`
	UnknownMS int64           `json:"unknown-ms"`
}

// Dump returns the state of all targets and routes.
func (p *Picker) Dump(now time.Time) ([]TargetState, []WorkState) {
	var targets []TargetState
	for _, pl := range p.pools {
		for _, t := range pl.targets {
			targets = append(targets, TargetState{
				ID: t.ID, Service: t.Service, Domain: t.Place.Domain, Sent: t.sent, Load: t.load(now), Slots: t.Slots,
				FailRate: t.failRate, Slow: t.slow, Cold: now.Before(t.ColdUntil), Suspect: now.Before(t.suspect),
				Gone: t.gone, Known: len(t.known),
			})
		}
	}
	var routes []WorkState
	for name, w := range p.work {
		routes = append(routes, WorkState{Route: name, KnownMS: w.known.Milliseconds(), UnknownMS: w.unknown.Milliseconds()})
	}
	return targets, routes
}
