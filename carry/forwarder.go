// Package carry forwards one request of a caller to a target and returns the response. Package pick chooses the target,
// package retry limits further attempts and package outlet sends.
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
	// responseGrace is how long after the deadline a target's own response is still awaited.
	responseGrace = 60 * time.Millisecond
	// minRemaining is the least time before the deadline with which a request is still sent.
	minRemaining = 15 * time.Millisecond
	// maxSends bounds the attempts of one request, including those that did not reach a target.
	maxSends = 4
	// defaultTimeout applies to a request without a deadline on a route without a timeout.
	defaultTimeout = 10 * time.Second
	// minRetryAfter and maxRetryAfter bound the Retry-After value of a refusal.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 800 * time.Millisecond
)

// Headers holds the names of the header fields that are exchanged with callers and targets.
type Headers struct {
	// Attempt holds the id of one attempt of a caller. Targets return it in their responses.
	Attempt string
	// Deadline holds the time that remains for the response, in milliseconds.
	Deadline string
	// Affinity holds the key of the object that a request concerns. On routes with affinity the choice of the target depends on it.
	Affinity string
	// Signature marks a response that was produced by the target itself.
	Signature string
	// Expect holds the id of the only target that may run the request.
	Expect string
	// Load holds a target's load report: running requests, waiting requests and slots, separated by commas, and for some targets a
	// fourth number, the pace in percent.
	Load string
	// NotRun states that the target did not run the request.
	NotRun string
	// Responder holds the id of the target that responds.
	Responder string
	// Key holds a customer's API key. It is never sent to targets.
	Key string
	// Customer holds the name of the customer in requests to targets. A value that a caller sends is never passed on.
	Customer string
	// Warmup holds, in responses to health requests, for how many milliseconds the target stays cold.
	Warmup string
}

// Counters holds the counts that are not kept by route and outcome.
type Counters struct {
	Retries, Sends atomic.Uint64
	// MalformedLoads counts the load reports that could not be parsed, SlowPaces those with a pace over 100 percent.
	MalformedLoads, SlowPaces atomic.Uint64
	// FurtherHolderSends counts the sends to a holder of the request's object other than the first one.
	FurtherHolderSends atomic.Uint64
	// ReportsReceived and ReportsApplied count the load reports of other VMs, and those that were newer than what this VM knew.
	// ReportsSent counts the load reports sent, at each receiver.
	ReportsReceived, ReportsApplied, ReportsSent atomic.Uint64
}

// Forwarder forwards the requests that one VM receives. It is safe for concurrent use.
type Forwarder struct {
	headers Headers
	pool    *outlet.Pool
	log     *trace.Log
	clock   func() time.Time
	quota   retry.QuotaLimits
	// customerQuota is nil if the deployment has no quotas.
	customerQuota CustomerQuota
	notices       NoticeDecoder

	// stopTime is when the process gives up its requests because it stops; nil until a stop is requested.
	stopTime     atomic.Pointer[time.Time]
	snapshot     atomic.Pointer[fleet.Snapshot]
	confirmation confirmation
	// Counters are exported by the metrics service.
	Counters Counters
	meter    *meter.Meter

	// connectionFailed is called when a connection to a target fails; nil if nobody wants to know.
	connectionFailed func(t fleet.Target, refused bool)

	mu     sync.Mutex
	picker *pick.Picker
	quotas map[ident.Service]*retry.Quota
	// vms is the number of VMs that share the connection limits, at least 1, and quotaVMs of those that share the retry quotas,
	// zero without a quorum.
	vms, quotaVMs int
}

// Config holds the parameters of a Forwarder.
type Config struct {
	Headers Headers
	VM      ident.VM
	Place   ident.Place
	Quota   retry.QuotaLimits
	Log     *trace.Log
	Clock   func() time.Time
	// MaxResponseMemory bounds the total size in bytes of the target responses that are being read. The first 64 KiB of each
	// response don't count.
	MaxResponseMemory int64
	// Notices decodes what responses say about their targets; nil if they say nothing.
	Notices NoticeDecoder
	// Holders gives objects as many holders as their demand needs (pick.WithHolders).
	Holders bool
	// CustomerQuota limits the requests of customers over all VMs; nil if the deployment has no quotas.
	CustomerQuota CustomerQuota
}

// CustomerQuota limits the requests of customers over all VMs.
type CustomerQuota interface {
	// Allow reports whether a request of the customer may be sent, and otherwise when to try again. It waits for 250 ms at most.
	Allow(ctx context.Context, now time.Time, customer ident.Customer) (ok bool, retryAfter time.Duration)
	// Return puts back what Allow took for a request that has reached no target.
	Return(now time.Time, customer ident.Customer)
}

// New returns a Forwarder without configuration and targets.
func New(cfg Config) *Forwarder {
	var options []pick.Option
	if cfg.Holders {
		options = append(options, pick.WithHolders())
	}
	c := &Forwarder{
		headers: cfg.Headers, log: cfg.Log, clock: cfg.Clock, quota: cfg.Quota, customerQuota: cfg.CustomerQuota, notices: cfg.Notices, meter: meter.New(),
		picker: pick.New(cfg.VM, cfg.Place, options...), quotas: map[ident.Service]*retry.Quota{}, vms: 1, quotaVMs: 1,
	}
	c.pool = outlet.New(cfg.Clock, cfg.MaxResponseMemory, func(t outlet.Target, took time.Duration) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.picker.RecordRTT(t.Region, took)
	})
	c.snapshot.Store(&fleet.Snapshot{})
	return c
}

// Update replaces the snapshot of configuration and targets.
func (c *Forwarder) Update(now time.Time, s *fleet.Snapshot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.picker.SetTargets(now, s)
	c.snapshot.Store(s)
}

// SetVMs sets the VMs that use the same targets, and whether this VM has a quorum. Without one, it does not know with how many
// VMs it shares: it sends nothing to cold targets, and has no part of the retries that do not follow from its own requests.
func (c *Forwarder) SetVMs(vms []ident.VM, quorum bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.picker.SetVMs(vms, quorum)
	c.vms, c.quotaVMs = max(len(vms), 1), 0
	if quorum {
		c.quotaVMs = c.vms
	}
}

// OnConnectionFailure sets a function that is called when a connection to a target fails in a way that the end of its process can
// explain; refused says that no process listens at its address. The function must not block. It must be set before the first request.
func (c *Forwarder) OnConnectionFailure(f func(t fleet.Target, refused bool)) { c.connectionFailed = f }

// SetCallerShare sets the part of the region's callers that use this VM.
func (c *Forwarder) SetCallerShare(share float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.picker.SetCallerShare(share)
}

// Snapshot returns the snapshot in use.
func (c *Forwarder) Snapshot() *fleet.Snapshot { return c.snapshot.Load() }

// Meter returns the counters by route and outcome.
func (c *Forwarder) Meter() *meter.Meter { return c.meter }

// Connections returns the connection counts of the pool and the number of open connections to targets.
func (c *Forwarder) Connections() (outlet.Stats, int) { return c.pool.Stats() }

// ResponseMemoryUsed returns the bytes of responses in progress that count towards MaxResponseMemory.
func (c *Forwarder) ResponseMemoryUsed() int64 { return c.pool.ResponseMemoryUsed() }

// State is the state of a Forwarder in the form that Dump returns.
type State struct {
	Targets []pick.TargetState `json:"targets"`
	Routes  []pick.RouteState  `json:"routes"`
	VMs     int                `json:"vms-sharing"`
	Notices []pick.NoticeState `json:"notices"`
	// HotObjects are the objects with more than one holder.
	HotObjects []pick.HotObject `json:"hot-objects,omitempty"`
}

// Dump returns the state of all targets and routes.
func (c *Forwarder) Dump(now time.Time) State {
	c.mu.Lock()
	defer c.mu.Unlock()
	targets, routes := c.picker.Dump(now)
	return State{Targets: targets, Routes: routes, VMs: c.vms, Notices: c.picker.Notices(), HotObjects: c.picker.HotObjects(now)}
}

// Sweep closes connections that were idle for too long and idle connections to targets that are no longer listed.
func (c *Forwarder) Sweep(now time.Time) {
	listed := map[ident.Target]bool{}
	for _, list := range c.snapshot.Load().Targets {
		for _, t := range list {
			listed[t.ID] = true
		}
	}
	c.pool.Sweep(now, listed)
}

// AllowsPipelining implements inlet.Handler. Requests of idempotent or unknown routes may run concurrently.
func (c *Forwarder) AllowsPipelining(r *codec.Request) bool {
	cfg := c.snapshot.Load().Config
	if cfg == nil {
		return true
	}
	route := cfg.Find(r.Host(), r.Path())
	return route == nil || route.Idempotent
}

// call is the state of one request in progress.
type call struct {
	*Forwarder
	r       *codec.Request
	id      string
	arrived time.Time
	// config is the configuration that route, customer, service, object and deadline were taken from. All of them change together, between
	// two attempts.
	config  *fleet.Config
	route   *fleet.Route
	service ident.Service
	object  pick.Object
	// customer is nil if the configuration requires no key, and for an anonymous request on a route that allows it.
	customer *fleet.Customer
	// priority is the customer's, else the route's.
	priority int
	// deadline is the time by which the response must be ready.
	deadline time.Time
	// idempotent is set if the routes of all configurations so far allow repeating the request.
	idempotent bool
	tried      []ident.Target
	// reached are the targets that may have run the request.
	reached []ident.Target
	// choiceSnapshot is the snapshot from which the target of the current attempt was chosen.
	choiceSnapshot *fleet.Snapshot
	// sends counts the attempts.
	sends int
	// quotaFrom is the customer from whose quota the request was taken; "" if from none. The customer can change by a new
	// configuration.
	quotaFrom ident.Customer
	// usedQuota is set once a target may have run the request.
	usedQuota bool
	// serverError is a target's response with a 5xx status. It is returned if no other target responds.
	serverError *codec.Response
	// mayHaveRun is set if a target may have run the request but sent no complete response.
	mayHaveRun bool
	// notBefore is when a target may take the request if all have asked for a time without requests; else zero.
	notBefore time.Time
	// askedForTime is set if a target has refused the request and asked for a time without requests.
	askedForTime bool
	// preview is set if the request is not to be sent, and must not be counted.
	preview bool
}

// Handle implements inlet.Handler.
func (c *Forwarder) Handle(ctx context.Context, r *codec.Request, arrived time.Time) *codec.Response {
	c.awaitConfirmation(ctx, c.clock())
	cfg := c.snapshot.Load().Config
	if cfg == nil {
		return c.refuse(arrived, &call{Forwarder: c, r: r, arrived: arrived}, kinds.Stopping, "no configuration yet")
	}
	k := &call{Forwarder: c, r: r, id: r.Field(c.headers.Attempt), arrived: arrived}
	if why, accepted := k.admit(cfg); !accepted {
		if isCustomerKind(why) {
			return k.refuseCustomer(c.clock(), why)
		}
		c.meter.Observe("none", "no-route", c.clock().Sub(arrived))
		return noRoute()
	}
	if !k.fitsBeforeStop(c.clock()) {
		return c.refuse(c.clock(), k, kinds.Stopping, "this VM stops")
	}
	if final := k.takeCustomerQuota(ctx); final != nil {
		return final
	}
	a := k.run(ctx)
	k.returnUnusedQuota()
	return a
}

func noRoute() *codec.Response { return codec.NewResponse(http.StatusNotFound, "no such route\n") }

// admit takes the route and the customer of a new request from a configuration and credits the request to the retry quota of its
// service. It reports false and why if the configuration doesn't accept the request.
func (k *call) admit(cfg *fleet.Config) (why kinds.Kind, accepted bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if why, accepted := k.follow(cfg); !accepted {
		return why, false
	}
	k.quotaOf(k.service, k.arrived).Request(k.arrived, k.quotaVMs)
	return kinds.Answered, true
}

// RefuseBody responds to a request for whose body there is no memory. Only its header was read.
func (c *Forwarder) RefuseBody(r *codec.Request, arrived time.Time) *codec.Response {
	k := &call{Forwarder: c, r: r, id: r.Field(c.headers.Attempt), arrived: arrived}
	if c.snapshot.Load().Config != nil {
		if why, accepted := k.followNewest(); isCustomerKind(why) {
			return k.refuseCustomer(c.clock(), why)
		} else if !accepted {
			return noRoute()
		}
	}
	return c.refuse(c.clock(), k, kinds.Overloaded, "no memory for the body")
}

// timeLimit returns the shorter of the caller's deadline and the route's timeout.
func (c *Forwarder) timeLimit(r *codec.Request, route *fleet.Route) time.Duration {
	limit := route.Timeout
	// A Deadline field that is not a number from 0 to 2^31-1 is treated as missing.
	if ms, err := strconv.ParseFloat(r.Field(c.headers.Deadline), 64); err == nil && ms >= 0 && ms < math.MaxInt32 {
		d := time.Duration(ms * float64(time.Millisecond))
		if limit <= 0 || d < limit {
			limit = d
		}
	}
	if limit <= 0 {
		limit = defaultTimeout
	}
	return limit
}

func (c *Forwarder) quotaOf(svc ident.Service, now time.Time) *retry.Quota {
	q := c.quotas[svc]
	if q == nil {
		q = retry.NewQuota(c.quota, now, c.quotaVMs)
		c.quotas[svc] = q
	}
	return q
}

// giveUp returns the final response of a request that no target completed. A request that may have run is never
// reported as refused.
func (k *call) giveUp(now time.Time, kind kinds.Kind, cause string) *codec.Response {
	if k.serverError != nil {
		k.observe(now, "target-failed")
		k.logEvent(now, trace.Failed, "id", k.id, "route", k.route.Name, "kind", "target-failed", "cause", cause, "sends", k.sends,
			"after", now.Sub(k.arrived))
		return k.serverError
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
	case k.idempotent:
		kind = kinds.UpstreamFailed
	default:
		kind = kinds.OutcomeUnknown
	}
	k.observe(now, kind.String())
	k.logEvent(now, trace.Failed, "id", k.id, "route", k.route.Name, "kind", kind, "tried", k.triedText(), "cause", cause, "sends", k.sends,
		"after", now.Sub(k.arrived))
	status := http.StatusBadGateway
	if kind == kinds.Timeout {
		status = http.StatusGatewayTimeout
	}
	return codec.NewResponse(status, kind.String()+"\n", codec.Field{Name: "Currantpier-Outcome", Value: kind.String()})
}

// refuse responds to a request that has not run and will not run.
func (c *Forwarder) refuse(now time.Time, k *call, kind kinds.Kind, cause string) *codec.Response {
	fields := []codec.Field{{Name: "Currantpier-Outcome", Value: kind.String()}}
	after := max(k.notBefore.Sub(now), 0) + c.retryAfter(k)
	if after > 0 {
		fields = append(fields, codec.Field{Name: "Retry-After", Value: strconv.FormatFloat(after.Seconds(), 'f', 2, 64)})
	}
	route := fleet.RouteName("")
	if k.route != nil {
		route = k.route.Name
	}
	c.meter.Observe(string(route), kind.String(), now.Sub(k.arrived))
	k.logEvent(now, trace.Refused, "id", k.id, "route", route, "kind", kind, "cause", cause, "sends", k.sends, "tried", k.triedText(),
		"retry-after", after, "after", now.Sub(k.arrived))
	return codec.NewResponse(http.StatusServiceUnavailable, kind.String()+"\n", fields...)
}

// retryAfter spreads the retries of refused callers over a quarter of the time until the deadline, at most maxRetryAfter.
func (c *Forwarder) retryAfter(k *call) time.Duration {
	if k.route == nil {
		return minRetryAfter
	}
	spread := min(k.deadline.Sub(k.arrived)/4, maxRetryAfter)
	// The hash of the id spreads callers evenly and needs no random source.
	fraction := float64(pick.NewObject("", []byte(k.id))>>11) / (1 << 53)
	return max(minRetryAfter, time.Duration(fraction*float64(spread)))
}
