// Package carry takes one request of a caller to a target and its answer back. It decides nothing about targets itself:
// package pick chooses them, package retry bounds further attempts and package outlet sends.
package carry

import (
	"context"
	"math"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/currantpier/currantpier/codec"
	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/kinds"
	"github.com/currantpier/currantpier/meter"
	"github.com/currantpier/currantpier/outlet"
	"github.com/currantpier/currantpier/pick"
	"github.com/currantpier/currantpier/retry"
	"github.com/currantpier/currantpier/trace"
)

const (
	// answerGrace is how long a target's own answer at its deadline is waited for.
	answerGrace = 60 * time.Millisecond
	// leastLeft is the time below which a request is not sent any more.
	leastLeft = 15 * time.Millisecond
	// sendsMost bounds the attempts of one request, those that reached no target included.
	sendsMost = 4
	// defaultTimeout holds for a request without a deadline on a route without a timeout.
	defaultTimeout = 10 * time.Second
	// retryAfterLeast and retryAfterMost bound the Retry-After of a refusal.
	retryAfterLeast = 100 * time.Millisecond
	retryAfterMost  = 800 * time.Millisecond
)

// Headers are the names of the header fields that callers and targets use.
type Headers struct {
	// Attempt is the id of one attempt of a caller.
	Attempt string
	// Deadline is the time that is left for the answer, in milliseconds.
	Deadline string
	// Affinity names the object of a request.
	Affinity string
	// Signature marks a target's own answer.
	Signature string
	// Expect names the target that may run the request.
	Expect string
	// Load is a target's report of running and waiting requests and its slots, separated by commas.
	Load string
	// NotRun says that the target did not run the request.
	NotRun string
	// Answering names the target that answers.
	Answering string
}

// Counters count what the meter does not.
type Counters struct{ Retries, Sends atomic.Uint64 }

// Carrier serves the requests of one VM. It is safe for concurrent use.
type Carrier struct {
	headers Headers
	pool    *outlet.Pool
	log     *trace.Log
	clock   func() time.Time
	quota   retry.QuotaRules

	snapshot     atomic.Pointer[fleet.Snapshot]
	confirmation confirmation
	// Counters are exported by the metrics service.
	Counters Counters
	meter    *meter.Meter

	mu     sync.Mutex
	picker *pick.Picker
	quotas map[ident.Service]*retry.Quota
	// vms is the number of VMs that share the bounds of targets, at least 1.
	vms int
}

// Config is what a Carrier is made of.
type Config struct {
	Headers Headers
	VM      ident.VM
	Place   ident.Place
	Quota   retry.QuotaRules
	Log     *trace.Log
	Clock   func() time.Time
	// AnswerMemory bounds the bytes of the targets' answers that are read at a time, but for small ones.
	AnswerMemory int64
}

// New returns a carrier that knows no configuration and no targets.
func New(cfg Config) *Carrier {
	c := &Carrier{
		headers: cfg.Headers, log: cfg.Log, clock: cfg.Clock, quota: cfg.Quota, meter: meter.New(),
		picker: pick.New(cfg.VM, cfg.Place), quotas: map[ident.Service]*retry.Quota{}, vms: 1,
	}
	c.pool = outlet.New(cfg.Clock, cfg.AnswerMemory, func(t outlet.Target, took time.Duration) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.picker.Trip(t.Region, took)
	})
	c.snapshot.Store(&fleet.Snapshot{})
	return c
}

// Update takes a new snapshot of configuration and targets.
func (c *Carrier) Update(now time.Time, s *fleet.Snapshot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.picker.SetTargets(now, s)
	c.snapshot.Store(s)
}

// SetVMs tells which VMs use the same targets.
func (c *Carrier) SetVMs(vms []ident.VM) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.picker.SetVMs(vms)
	c.vms = max(len(vms), 1)
}

// Snapshot returns the snapshot in use.
func (c *Carrier) Snapshot() *fleet.Snapshot { return c.snapshot.Load() }

// Meter returns the counters by route and outcome.
func (c *Carrier) Meter() *meter.Meter { return c.meter }

// Connections returns the counts of connections to targets and the number that is open.
func (c *Carrier) Connections() (outlet.Stats, int) { return c.pool.Stats() }

// State is the dump of a Carrier.
type State struct {
	Targets []pick.TargetState `json:"targets"`
	Routes  []pick.WorkState   `json:"routes"`
	VMs     int                `json:"vms-sharing"`
}

// Dump returns what is known of targets and routes.
func (c *Carrier) Dump(now time.Time) State {
	c.mu.Lock()
	defer c.mu.Unlock()
	targets, routes := c.picker.Dump(now)
	return State{Targets: targets, Routes: routes, VMs: c.vms}
}

// Sweep closes connections that are of no use any more.
func (c *Carrier) Sweep(now time.Time) {
	keep := map[ident.Target]bool{}
	for _, list := range c.snapshot.Load().Targets {
		for _, t := range list {
			keep[t.ID] = true
		}
	}
	c.pool.Sweep(now, keep)
}

// MayOverlap implements inlet.Handler.
func (c *Carrier) MayOverlap(r *codec.Request) bool {
	cfg := c.snapshot.Load().Config
	if cfg == nil {
		return true
	}
	route := cfg.Find(r.Host(), r.Path())
	return route == nil || route.Idempotent
}

// call is one request in progress.
type call struct {
	*Carrier
	r       *codec.Request
	id      string
	route   *fleet.Route
	service ident.Service
	object  pick.Object
	arrived time.Time
	// deadline is when the answer must be on its way to the caller.
	deadline time.Time
	tried    []ident.Target
	// chosenFrom is the snapshot from which the target of the present attempt was chosen.
	chosenFrom *fleet.Snapshot
	// sends counts the attempts.
	sends int
	// failure is a target's own answer that it failed; it is passed on if no other target answers.
	failure *codec.Answer
	// mayHaveRun says that a target may have run the request without a whole answer.
	mayHaveRun bool
}

// Handle implements inlet.Handler.
func (c *Carrier) Handle(ctx context.Context, r *codec.Request, arrived time.Time) *codec.Answer {
	c.awaitConfirmation(ctx, c.clock())
	cfg := c.snapshot.Load().Config
	if cfg == nil {
		return c.refuse(arrived, &call{Carrier: c, r: r, arrived: arrived}, kinds.Stopping, "no configuration yet")
	}
	route := cfg.Find(r.Host(), r.Path())
	if route == nil {
		c.meter.Observe("none", "no-route", c.clock().Sub(arrived))
		return codec.NewAnswer(http.StatusNotFound, "no such route\n")
	}
	k := &call{Carrier: c, r: r, id: r.Field(c.headers.Attempt), route: route, arrived: arrived}
	k.deadline = arrived.Add(c.timeAllowed(r, route))
	if route.Affinity {
		k.object = pick.NewObject(route.Name, []byte(r.Field(c.headers.Affinity)))
	}
	k.service = c.serviceOf(k)
	return k.run(ctx)
}

// serviceOf returns the service of a request and counts the request for its quota of further attempts.
func (c *Carrier) serviceOf(k *call) ident.Service {
	c.mu.Lock()
	defer c.mu.Unlock()
	svc := c.picker.Service(k.arrived, k.route, k.object)
	c.quotaOf(svc, k.arrived).Request(k.arrived, c.vms)
	return svc
}

// timeAllowed is the shorter of the caller's deadline and the route's timeout.
func (c *Carrier) timeAllowed(r *codec.Request, route *fleet.Route) time.Duration {
	allowed := route.Timeout
	// A deadline that is no number is treated as missing.
	if ms, err := strconv.ParseFloat(r.Field(c.headers.Deadline), 64); err == nil && ms >= 0 && ms < math.MaxInt32 {
		d := time.Duration(ms * float64(time.Millisecond))
		if allowed <= 0 || d < allowed {
			allowed = d
		}
	}
	if allowed <= 0 {
		allowed = defaultTimeout
	}
	return allowed
}

func (c *Carrier) quotaOf(svc ident.Service, now time.Time) *retry.Quota {
	q := c.quotas[svc]
	if q == nil {
		q = retry.NewQuota(c.quota, now, c.vms)
		c.quotas[svc] = q
	}
	return q
}

// giveUp returns the final answer of a request without a target's answer. A request that may have run is never said to
// have been refused.
func (k *call) giveUp(now time.Time, kind kinds.Kind, cause string) *codec.Answer {
	if k.failure != nil {
		k.observe(now, "target-failed")
		k.log.Add(now, trace.Failed, "id", k.id, "route", k.route.Name, "kind", "target-failed", "cause", cause, "sends", k.sends,
			"after", now.Sub(k.arrived))
		return k.failure
	}
	if !k.mayHaveRun {
		if kind == kinds.Timeout {
			kind = kinds.DeadlineTooShort
		}
		return k.refuse(now, k, kind, cause)
	}
	switch {
	case kind == kinds.Timeout || kind == kinds.DeadlineTooShort:
		kind = kinds.Timeout
	case k.route.Idempotent:
		kind = kinds.UpstreamFailed
	default:
		kind = kinds.OutcomeUnknown
	}
	k.observe(now, kind.String())
	k.log.Add(now, trace.Failed, "id", k.id, "route", k.route.Name, "kind", kind, "tried", k.triedText(), "cause", cause, "sends", k.sends,
		"after", now.Sub(k.arrived))
	status := http.StatusBadGateway
	if kind == kinds.Timeout {
		status = http.StatusGatewayTimeout
	}
	return codec.NewAnswer(status, kind.String()+"\n", codec.Field{Name: "Currantpier-Outcome", Value: kind.String()})
}

// refuse answers a request that has not run and never will.
func (c *Carrier) refuse(now time.Time, k *call, kind kinds.Kind, cause string) *codec.Answer {
	fields := []codec.Field{{Name: "Currantpier-Outcome", Value: kind.String()}}
	after := c.retryAfter(k)
	if after > 0 {
		fields = append(fields, codec.Field{Name: "Retry-After", Value: strconv.FormatFloat(after.Seconds(), 'f', 2, 64)})
	}
	route := fleet.RouteName("")
	if k.route != nil {
		route = k.route.Name
	}
	c.meter.Observe(string(route), kind.String(), now.Sub(k.arrived))
	c.log.Add(now, trace.Refused, "id", k.id, "route", route, "kind", kind, "cause", cause, "sends", k.sends, "tried", k.triedText(),
		"retry-after", after, "after", now.Sub(k.arrived))
	return codec.NewAnswer(http.StatusServiceUnavailable, kind.String()+"\n", fields...)
}

// retryAfter spreads the return of refused callers over the time in which they can still be served.
func (c *Carrier) retryAfter(k *call) time.Duration {
	if k.route == nil {
		return retryAfterLeast
	}
	spread := min(k.deadline.Sub(k.arrived)/4, retryAfterMost)
	// The id spreads callers evenly and needs no random source.
	part := float64(pick.NewObject("", []byte(k.id))>>11) / (1 << 53)
	return max(retryAfterLeast, time.Duration(part*float64(spread)))
}
