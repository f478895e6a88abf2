package pick

import (
	"net/http"
	"time"

	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/ident"
)

// Load is the load report in a target's response: its requests in progress, its queued requests and the number of requests
// that it can process at the same time.
type Load struct {
	Running, Waiting, Slots int
	// Pace is how long work currently takes on the target's machine, in percent of the usual time; zero if it is not reported.
	Pace int
}

// Result classifies the end of an attempt at a target.
type Result uint8

const (
	// Served: the response arrived complete, with a status that is no server error.
	Served Result = iota
	// ServerError: the response arrived complete, with a status of 500 or more.
	ServerError
	// Overloaded: the target refused the request because it has no capacity left.
	Overloaded
	// Misdirected: another target responded at the address.
	Misdirected
	// Unreachable: no connection could be opened.
	Unreachable
	// Invalid: the connection failed or carried an invalid response.
	Invalid
	// TimedOut: the response did not arrive in time.
	TimedOut
	// ResponseTooLarge: the response exceeded its size limit.
	ResponseTooLarge
	// Cancelled: the caller disconnected, or this VM ended the attempt for another reason that doesn't depend on the target.
	Cancelled
)

// Outcome describes the end of an attempt at a target.
type Outcome struct {
	Result Result
	// Status is the status code of the response, zero without one.
	Status int
	// Duration is the time from sending the request to the end of the response.
	Duration time.Duration
	// Load is the load report of the response, nil if there is none.
	Load *Load
	// Refused is set if no process listens at the target's address: it has ended, and is cold once it has started again.
	Refused bool
}

// RecordStart records that a request is sent to the chosen target.
func (p *Picker) RecordStart(now time.Time, a Request, c Choice) {
	t := p.byID[c.Target.ID]
	if t == nil {
		return
	}
	t.inFlight++
	t.pool.homes.Record(now, c.home, c.cheapestRegion, t.Place.Region)
	if now.Before(t.ColdUntil) {
		t.pacer.requestSent(now)
	}
	if a.Object != 0 {
		t.recordObject(now, a.Object)
	}
}

// maxKnownObjects bounds the entries of target.lastRequest. At the bound, entries older than knownPeriod are evicted; if that
// doesn't suffice, all but the newest.
const maxKnownObjects = 256

func (t *target) recordObject(now time.Time, o Object) {
	t.lastRequest[o] = now
	if len(t.lastRequest) <= maxKnownObjects {
		return
	}
	for k, at := range t.lastRequest {
		if now.Sub(at) > knownPeriod {
			delete(t.lastRequest, k)
		}
	}
	if len(t.lastRequest) > maxKnownObjects {
		clear(t.lastRequest)
		t.lastRequest[o] = now
	}
}

// RecordEnd records the outcome of a request for which RecordStart was called. It ignores targets that were removed or restarted
// in the meantime.
func (p *Picker) RecordEnd(now time.Time, a Request, c Choice, o Outcome) {
	t := p.byID[c.Target.ID]
	if t == nil || t.StartedUnixMS != c.Target.StartedUnixMS {
		return
	}
	t.inFlight = max(t.inFlight-1, 0)
	if o.Load != nil {
		t.recordReport(now, o.Load)
		t.shareOwn(o.Load)
	}
	if o.Status != 0 {
		t.respondedAt = now
	}
	if t.failedWith(now, o) {
		t.pool.homes.RecordFailure(now)
	}
	switch o.Result {
	case Served:
		t.consecutiveFailures = 0
		t.updateFailRate(0)
		p.recordServiceTime(a, c, t, o)
	case ServerError:
		t.consecutiveFailures = 0
		t.updateFailRate(1)
	case Overloaded:
		t.consecutiveFailures = 0
		if o.Load == nil {
			t.othersLoad, t.reportedAt, t.heard = float64(3*t.Slots), now, false
			// This is an estimate, no report.
			t.shared.sendsLeft = 0
		}
		// The target didn't process the object, so the object isn't in its cache.
		delete(t.lastRequest, a.Object)
	case Misdirected:
		t.replaced = true
	case Unreachable, ResponseTooLarge:
		if o.Refused {
			p.assumeCold(now, t)
		}
		t.updateFailRate(1)
		t.markSuspect(now)
	case Invalid, TimedOut:
		// A single broken or late response doesn't suspend a target whose cache holds its objects.
		t.updateFailRate(1)
		t.consecutiveFailures++
		if t.consecutiveFailures > 1 {
			t.markSuspect(now)
		}
	case Cancelled:
	}
}

// silencePeriod is the time without any response from which on a target whose requests time out counts as silent.
const silencePeriod = time.Second

// failedWith reports whether an outcome shows that the target has failed, and is not only overloaded: an overloaded target
// rejects requests, responds to some of them late, or with the status 504 after their deadline.
func (t *target) failedWith(now time.Time, o Outcome) bool {
	switch o.Result {
	case Misdirected, Unreachable, Invalid, ResponseTooLarge:
		return true
	case ServerError:
		return o.Status != http.StatusGatewayTimeout
	case TimedOut:
		return t.consecutiveFailures > 0 && now.Sub(t.respondedAt) >= silencePeriod
	}
	return false
}

func (t *target) updateFailRate(failed float64) {
	t.failRate += float64(failRateWeight * (failed - t.failRate))
}

// markSuspect suspends the target. The time doubles with each consecutive failure, from suspectPeriod to maxSuspectPeriod.
func (t *target) markSuspect(now time.Time) {
	d := min(suspectPeriod<<min(t.consecutiveFailures, 8), maxSuspectPeriod)
	t.consecutiveFailures++
	t.suspectUntil = now.Add(d)
}

// recordServiceTime updates the route's mean service times and the target's slowdown. It ignores responses that waited for a
// slot. The pace of the target's machine is divided out: it passes within a second, while the slowdown and the means last for
// many requests.
func (p *Picker) recordServiceTime(a Request, c Choice, t *target, o Outcome) {
	if c.Load+1 > float64(t.Slots) || o.Duration <= 0 || o.Load != nil && o.Load.Waiting > 0 {
		return
	}
	w := p.serviceTimesOf(a.Route)
	took := max(scale(o.Duration-p.rtt(t), 1/paceDuring(o)), time.Millisecond)
	mean, n := &w.unknown, &w.unknownSamples
	if c.Known {
		mean, n = &w.known, &w.knownSamples
	}
	*n++
	t.slowdown += float64(slowdownWeight * (min(float64(took)/float64(*mean), 8) - t.slowdown))
	t.slowdown = max(t.slowdown, 0.7)
	// The first samples have no greater weight: they come from cold caches, and as the mean for known objects they would make
	// targets that know the object look no faster than others.
	*mean += scale(took-*mean, serviceTimeWeight)
	w.unknown = max(w.unknown, w.known)
}

// TargetState is the state of one target in a dump.
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
	// Pace is the estimated ratio of the time that work takes now to the usual time, zero if the target doesn't report it.
	Pace float64 `json:"pace,omitempty"`
}

// RouteState holds the mean service times of one route in a dump.
type RouteState struct {
	Route     fleet.RouteName `json:"route"`
	KnownMS   int64           `json:"known-ms"`
	UnknownMS int64           `json:"unknown-ms"`
}

// Dump returns the state of all targets and the mean service times of all routes that had requests.
func (p *Picker) Dump(now time.Time) ([]TargetState, []RouteState) {
	var targets []TargetState
	for _, pl := range p.pools {
		for _, t := range pl.targets {
			x := TargetState{
				ID: t.ID, Service: t.Service, Domain: t.Place.Domain, Sent: t.inFlight, Load: t.load(now), Slots: t.Slots,
				FailRate: t.failRate, Slow: t.slowdown, Cold: now.Before(t.ColdUntil), Suspect: now.Before(t.suspectUntil),
				Gone: t.replaced, Known: len(t.lastRequest),
			}
			if t.reportedPace != 0 {
				x.Pace = t.pace(now)
			}
			targets = append(targets, x)
		}
	}
	var routes []RouteState
	for name, w := range p.serviceTimes {
		routes = append(routes, RouteState{Route: name, KnownMS: w.known.Milliseconds(), UnknownMS: w.unknown.Milliseconds()})
	}
	return targets, routes
}
