// Package carry takes one request of a caller to a target and its answer back. It decides nothing about targets itself:
// package pick chooses them, package retry bounds further attempts and package outlet sends.
package carry

import (
	"context"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

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

	snapshot atomic.Pointer[fleet.Snapshot]
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
}

// New returns a carrier that knows no configuration and no targets.
func New(cfg Config) *Carrier {
	c := &Carrier{
		headers: cfg.Headers, log: cfg.Log, clock: cfg.Clock, quota: cfg.Quota, meter: meter.New(),
		picker: pick.New(cfg.VM, cfg.Place), quotas: map[ident.Service]*retry.Quota{}, vms: 1,
	}
	c.pool = outlet.New(cfg.Clock, func(t outlet.Target, took time.Duration) {
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
	// sends counts the attempts.
	sends int
	// failure is a target's own answer that it failed; it is passed on if no other target answers.
	failure *codec.Answer
	// mayHaveRun says that a target may have run the request without a whole answer.
	mayHaveRun bool
}

// Handle implements inlet.Handler.
func (c *Carrier) Handle(ctx context.Context, r *codec.Request, arrived time.Time) *codec.Answer {
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
	c.mu.Lock()
	k.service = c.picker.Service(arrived, route, k.object)
	c.quotaOf(k.service, arrived).Request(arrived, c.vms)
	c.mu.Unlock()
	return k.run(ctx)
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

// run sends the request until it has an answer or must be given up.
func (k *call) run(ctx context.Context) *codec.Answer {
	for {
		now := k.clock()
		choice, answer := k.choose(now)
		if answer != nil {
			return answer
		}
		a, result, err := k.send(ctx, now, choice)
		now = k.clock()
		switch {
		case ctx.Err() != nil:
			k.observe(now, "caller-left")
			k.log.Add(now, trace.Left, "id", k.id, "route", k.route.Name, "target", choice.Target.ID, "after", now.Sub(k.arrived))
			return codec.NewAnswer(http.StatusBadGateway, "caller left\n")
		case err == nil && k.final(a, result):
			return k.deliver(now, choice, a)
		}
		if answer := k.again(now, choice, a, result, err); answer != nil {
			return answer
		}
	}
}

// choose takes a target for the next attempt. Without one it returns the final answer.
func (k *call) choose(now time.Time) (pick.Choice, *codec.Answer) {
	if k.deadline.Sub(now) < leastLeft {
		return pick.Choice{}, k.giveUp(now, kinds.DeadlineTooShort, "deadline reached")
	}
	ask := k.ask()
	k.mu.Lock()
	choice, reason := k.picker.Choose(now, ask)
	if reason == pick.Chosen {
		k.picker.Started(now, ask, choice)
	}
	k.mu.Unlock()
	switch reason {
	case pick.Chosen:
		k.sends++
		return choice, nil
	case pick.TooLate:
		return choice, k.giveUp(now, kinds.Overloaded, reason.String())
	}
	return choice, k.giveUp(now, kinds.NoTarget, reason.String())
}

func (k *call) ask() pick.Ask {
	return pick.Ask{Route: k.route, Service: k.service, Object: k.object, Deadline: k.deadline, Tried: k.tried}
}

// send makes one attempt and reports its result to the picker.
func (k *call) send(ctx context.Context, now time.Time, choice pick.Choice) (*codec.Answer, pick.Result, error) {
	t := choice.Target
	k.Counters.Sends.Add(1)
	ctx, cancel := context.WithDeadline(ctx, k.deadline.Add(answerGrace))
	defer cancel()
	left := max(k.deadline.Sub(now), time.Millisecond)
	msg := outlet.Message{
		Method: k.r.Method(),
		Bytes: k.r.Append(nil,
			codec.Field{Name: k.headers.Deadline, Value: strconv.FormatInt(left.Milliseconds(), 10)},
			codec.Field{Name: k.headers.Expect, Value: string(t.ID)}),
		Mine: k.mine,
	}
	a, err := k.pool.Do(ctx, k.outletTarget(t), msg)
	done := k.clock()
	result := k.result(ctx, a, err)
	outcome := pick.Outcome{Result: result, Took: done.Sub(now)}
	if a != nil {
		outcome.Load = k.load(a)
	}
	k.mu.Lock()
	k.picker.Finished(done, k.ask(), choice, outcome)
	k.mu.Unlock()
	return a, result, err
}

// outletTarget adds to a target what the connection to it needs. The bound of connections is divided among the VMs.
func (k *call) outletTarget(t fleet.Target) outlet.Target {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := outlet.Target{ID: t.ID, Service: t.Service, Address: t.Address, Region: t.Place.Region}
	if cfg := k.snapshot.Load().Config; cfg != nil {
		out.Connections = cfg.Services[t.Service].MaxConnections / k.vms
	}
	return out
}

// mine reports whether an answer belongs to this request. Answers carry the id of their request; only a target that
// refused a request may leave it out.
func (k *call) mine(a *codec.Answer) bool {
	if id := a.Field(k.headers.Attempt); id != "" {
		return id == k.id
	}
	return k.notRun(a)
}

// notRun reports whether a target says that it did not run the request.
func (k *call) notRun(a *codec.Answer) bool {
	return a.Field(k.headers.NotRun) != "" || a.Status == http.StatusMisdirectedRequest
}

// result says what an attempt showed of its target.
func (k *call) result(ctx context.Context, a *codec.Answer, err error) pick.Result {
	var e *outlet.Error
	switch {
	case err == nil && a.Status == http.StatusMisdirectedRequest:
		return pick.Moved
	case err == nil && k.notRun(a):
		return pick.Full
	case err == nil && a.Status < 300 && a.Field(k.headers.Signature) == "":
		return pick.Broken
	case err == nil && a.Status >= 500:
		return pick.ServerError
	case err == nil:
		return pick.Served
	case errors.Is(err, outlet.ErrTooMany):
		return pick.Full
	case errors.Is(ctx.Err(), context.Canceled):
		return pick.Cancelled
	case ctx.Err() != nil:
		return pick.Silent
	case errors.As(err, &e) && e.Reused && !e.Partial:
		// An unused connection may end at any time without a fault of its target.
		return pick.Cancelled
	case errors.As(err, &e) && e.Stage == outlet.NotSent:
		return pick.Unreachable
	}
	return pick.Broken
}

// load reads a target's load report; nil if there is none.
func (k *call) load(a *codec.Answer) *pick.Load {
	parts := strings.Split(a.Field(k.headers.Load), ",")
	if len(parts) != 3 {
		return nil
	}
	var n [3]int
	for i, s := range parts {
		v, err := strconv.Atoi(strings.TrimSpace(s))
		if err != nil || v < 0 {
			return nil // a report that cannot be read is as good as none
		}
		n[i] = v
	}
	return &pick.Load{Running: n[0], Waiting: n[1], Slots: n[2]}
}

// final reports whether an answer is the caller's. Refusals and failures of an idempotent request may be tried
// elsewhere first.
func (k *call) final(a *codec.Answer, result pick.Result) bool {
	switch result {
	case pick.Served:
		return true
	case pick.ServerError:
		return !k.route.Idempotent
	}
	return false
}

// triedText lists the targets that were tried, for log lines.
func (k *call) triedText() string {
	names := make([]string, len(k.tried))
	for i, id := range k.tried {
		names[i] = string(id)
	}
	return strings.Join(names, ",")
}

// observe counts the request under its outcome.
func (k *call) observe(now time.Time, outcome string) {
	k.meter.Observe(string(k.route.Name), outcome, now.Sub(k.arrived))
}

// deliver returns a target's answer to the caller.
func (k *call) deliver(now time.Time, choice pick.Choice, a *codec.Answer) *codec.Answer {
	took := now.Sub(k.arrived)
	outcome := "served"
	if took > k.route.Aim && k.route.Aim > 0 {
		outcome = "late"
		k.log.Add(now, trace.Late, "id", k.id, "route", k.route.Name, "target", choice.Target.ID, "took", took,
			"expected", choice.Expected, "known", choice.Known, "load", math.Round(choice.Load), "sends", k.sends)
	}
	k.observe(now, outcome)
	return a
}

// again decides after a failed attempt. It returns nil if the request may be tried at another target.
func (k *call) again(now time.Time, choice pick.Choice, a *codec.Answer, result pick.Result, err error) *codec.Answer {
	ran := k.ran(a, err)
	if ran != kinds.RanNo {
		k.mayHaveRun = true
	}
	if result == pick.ServerError {
		k.failure = a
	}
	retriable := ran == kinds.RanNo || k.route.Idempotent
	stale := result == pick.Cancelled && retriable
	if !stale {
		k.tried = append(k.tried, choice.Target.ID)
	}
	// An attempt that reached no target costs nothing of the budget.
	free := errors.Is(err, outlet.ErrTooMany) || ran == kinds.RanNo && a == nil
	switch {
	case !retriable, k.sends >= sendsMost, !free && len(k.tried) >= k.route.MaxAttempts, !free && !k.takeRetry(now):
		return k.giveUp(now, failureKind(result), describe(a, err))
	}
	k.Counters.Retries.Add(1)
	k.log.Add(now, trace.Retried, "id", k.id, "route", k.route.Name, "target", choice.Target.ID, "cause", describe(a, err),
		"after", now.Sub(k.arrived))
	return nil
}

// ran says whether the target of a failed attempt may have run the request.
func (k *call) ran(a *codec.Answer, err error) kinds.Ran {
	var e *outlet.Error
	switch {
	case a != nil && k.notRun(a):
		return kinds.RanNo
	case errors.As(err, &e) && e.Stage == outlet.NotSent:
		return kinds.RanNo
	}
	return kinds.RanUnknown
}

func failureKind(r pick.Result) kinds.Kind {
	switch r {
	case pick.Full:
		return kinds.Overloaded
	case pick.Silent:
		return kinds.Timeout
	}
	return kinds.NoTarget
}

func describe(a *codec.Answer, err error) string {
	if err != nil {
		return err.Error()
	}
	return "status " + strconv.Itoa(a.Status)
}

func (k *call) takeRetry(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.quotaOf(k.service, now).Take(now, k.vms)
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
