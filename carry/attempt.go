package carry

import (
	"context"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/currantpier/currantpier/codec"
	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/kinds"
	"github.com/currantpier/currantpier/outlet"
	"github.com/currantpier/currantpier/pick"
	"github.com/currantpier/currantpier/trace"
)

// run sends the request until it has a final response or is given up.
func (k *call) run(ctx context.Context) *codec.Response {
	for {
		now := k.clock()
		if aborted(ctx) {
			return k.giveUp(now, kinds.Stopping, "this VM stops")
		}
		choice, final := k.chooseTarget(now)
		if final != nil {
			return final
		}
		a, result, err := k.send(ctx, now, choice)
		now = k.clock()
		switch {
		case ctx.Err() != nil && !aborted(ctx):
			k.observe(now, "caller-left")
			k.logEvent(now, trace.CallerLeft, "id", k.id, "route", k.route.Name, "target", choice.Target.ID, "after", now.Sub(k.arrived))
			return codec.NewResponse(http.StatusBadGateway, "caller left\n")
		case err == nil && k.isFinal(a, result):
			return k.deliver(now, choice, a)
		case aborted(ctx):
			k.mayHaveRun = k.mayHaveRun || k.ran(a, err) != kinds.RanNo
			return k.giveUp(now, kinds.Stopping, "this VM stops")
		}
		// The process may have been paused during the attempt.
		k.awaitConfirmation(ctx, now)
		if final := k.retryOrGiveUp(k.clock(), choice, a, result, err); final != nil {
			return final
		}
	}
}

// chooseTarget chooses the target of the next attempt. If there is none, it returns the final response.
func (k *call) chooseTarget(now time.Time) (pick.Choice, *codec.Response) {
	if k.deadlineTooShort(now) {
		return pick.Choice{}, k.giveUp(now, kinds.DeadlineTooShort, "deadline reached")
	}
	choice, reason, why, sendable := k.pick(now)
	if !sendable {
		return choice, k.giveUpWithdrawn(now, why)
	}
	switch reason {
	case pick.Chosen:
		k.sends++
		return choice, nil
	case pick.BackedOff:
		k.notBefore = k.earliestReturn(now)
		return choice, k.giveUp(now, kinds.Overloaded, reason.String())
	case pick.TooLate, pick.RegionLimit:
		return choice, k.giveUp(now, kinds.Overloaded, reason.String())
	}
	return choice, k.giveUp(now, kinds.NoTarget, reason.String())
}

// deadlineTooShort reports whether too little time is left to send the request.
func (k *call) deadlineTooShort(now time.Time) bool { return k.deadline.Sub(now) < minRemaining }

// pick chooses a target by the newest snapshot and records that snapshot. It reports false and why if the newest configuration does
// not allow sending the request any more.
func (k *call) pick(now time.Time) (choice pick.Choice, reason pick.Reason, why kinds.Kind, sendable bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.choiceSnapshot = k.snapshot.Load()
	if why, accepted := k.follow(k.choiceSnapshot.Config); !accepted || !k.mayRepeat() {
		return choice, reason, why, false
	}
	pickRequest := k.pickRequest()
	choice, reason = k.picker.Choose(now, pickRequest)
	if reason == pick.Chosen {
		k.picker.RecordStart(now, pickRequest, choice)
	}
	return choice, reason, kinds.Answered, true
}

func (k *call) pickRequest() pick.Request {
	r := pick.Request{Route: k.route, Service: k.service, Object: k.object, Deadline: k.deadline, Excluded: k.tried}
	if k.customer != nil {
		r.Regions = k.customer.Regions
	}
	if k.reachedAll() {
		r.Only = k.reached
	}
	return r
}

// reachedAll reports whether as many targets may have run the request as its route allows. It may then be sent again only to one of
// these, after a connection on which another request had been sent ended without a response.
func (k *call) reachedAll() bool { return len(k.reached) >= k.route.MaxAttempts }

// recordReached records that a target may have run the request.
func (k *call) recordReached(t ident.Target) {
	if !slices.Contains(k.reached, t) {
		k.reached = append(k.reached, t)
	}
}

// mayReachAny reports whether there may be a target left for a further attempt.
func (k *call) mayReachAny() bool {
	return !k.reachedAll() || slices.ContainsFunc(k.reached, func(t ident.Target) bool { return !slices.Contains(k.tried, t) })
}

// send makes one attempt and passes its result to the picker.
func (k *call) send(ctx context.Context, now time.Time, choice pick.Choice) (*codec.Response, pick.Result, error) {
	t := choice.Target
	k.Counters.Sends.Add(1)
	if choice.Holder > 1 {
		k.Counters.FurtherHolderSends.Add(1)
	}
	ctx, cancel := context.WithDeadline(ctx, k.deadline.Add(responseGrace))
	defer cancel()
	msg := outlet.Message{Method: k.r.Method(), Build: func() ([][]byte, error) { return k.build(ctx, t) }, Matches: k.ownsResponse,
		NewConnection: k.id == "", OnHeader: func(a *codec.Response) { k.recordNotice(k.clock(), t, a) }}
	a, err := k.pool.Do(ctx, k.outletTarget(t), msg)
	done := k.clock()
	result := k.classify(ctx, a, err)
	outcome := pick.Outcome{Result: result, Duration: done.Sub(now), Refused: errors.Is(err, syscall.ECONNREFUSED)}
	if a != nil {
		outcome.Status, outcome.Load = a.Status, k.parseLoad(a)
		k.countLoad(a, outcome.Load)
	}
	k.usedQuota = k.usedQuota || k.ran(a, err) != kinds.RanNo
	k.finished(done, choice, outcome)
	if k.connectionFailed != nil && (outcome.Refused || connectionEnded(ctx, err)) {
		k.connectionFailed(t, outcome.Refused)
	}
	return a, result, err
}

// connectionEnded reports whether the target's end closed the connection on which a request was sent, before any byte of a response: as
// when its process ends.
func connectionEnded(ctx context.Context, err error) bool {
	var e *outlet.Error
	return ctx.Err() == nil && errors.As(err, &e) && e.Stage == outlet.Sent && !e.Partial
}

// countLoad counts a load report that is malformed or states that work takes longer than usual.
func (k *call) countLoad(a *codec.Response, l *pick.Load) {
	switch {
	case l == nil && a.Field(k.headers.Load) != "":
		k.Counters.MalformedLoads.Add(1)
	case l != nil && l.Pace > 100:
		k.Counters.SlowPaces.Add(1)
	}
}

func (k *call) finished(now time.Time, choice pick.Choice, o pick.Outcome) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.picker.RecordEnd(now, k.pickRequest(), choice, o)
}

// errTargetWithdrawn is returned if the chosen target was withdrawn before the request was sent.
var errTargetWithdrawn = errors.New("the target may not be used any more")

// errDeadlineReached is returned if the deadline passed while a connection was being opened.
var errDeadlineReached = errors.New("deadline reached before the request was sent")

// errConfigChanged is returned if a newer configuration arrived before the request was sent. Its route may have other homes,
// services or limits.
var errConfigChanged = errors.New("the configuration changed before the request was sent")

// build returns the encoded request for a target, or an error if it must not be sent there any more. The process may have been
// paused while a connection was being opened; the checks then need the state of after the pause.
func (k *call) build(ctx context.Context, t fleet.Target) ([][]byte, error) {
	k.awaitConfirmation(ctx, k.clock())
	return k.buildRequest(k.clock(), t)
}

// buildRequest returns the encoded request for a target. The choice of the target may be outdated because opening a
// connection took long or the process was paused, so the deadline, the configuration and the target are checked again.
func (k *call) buildRequest(now time.Time, t fleet.Target) ([][]byte, error) {
	left := k.deadline.Sub(now)
	switch s := k.snapshot.Load(); {
	case left < minRemaining:
		return nil, errDeadlineReached
	case s.Config != k.choiceSnapshot.Config:
		return nil, errConfigChanged
	case s != k.choiceSnapshot && !s.Usable(&t):
		return nil, errTargetWithdrawn
	}
	if err := k.checkNotice(now, &t); err != nil {
		return nil, err
	}
	return k.r.Encode(
		codec.Field{Name: k.headers.Deadline, Value: strconv.FormatInt(left.Milliseconds(), 10)},
		codec.Field{Name: k.headers.Expect, Value: string(t.ID)},
		codec.Field{Name: k.headers.Key},
		codec.Field{Name: k.headers.Customer, Value: k.customerName()}), nil
}

// outletTarget returns the connection parameters of a target. The connection limit of its service is divided among the
// VMs.
func (k *call) outletTarget(t fleet.Target) outlet.Target {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := outlet.Target{ID: t.ID, Service: t.Service, Address: t.Address, Region: t.Place.Region}
	if cfg := k.snapshot.Load().Config; cfg != nil {
		out.MaxConnections = cfg.Services[t.Service].MaxConnections / k.vms
	}
	return out
}

// ownsResponse reports whether a response belongs to this request: it must carry the request's id, and no other. A
// response or refusal without an id may be a late duplicate of an earlier one on the same connection. Accepting it could
// report an order as not run that has run.
func (k *call) ownsResponse(a *codec.Response) bool {
	for _, f := range a.Fields {
		if strings.EqualFold(f.Name, k.headers.Attempt) && f.Value != k.id {
			return false
		}
	}
	return a.Field(k.headers.Attempt) == k.id
}

// notRun reports whether a response states that the target did not run the request. A status that no refusal has
// contradicts the statement.
func (k *call) notRun(a *codec.Response) bool {
	return a.Status == http.StatusMisdirectedRequest ||
		k.hasNotRunField(a) && (a.Status == http.StatusBadRequest || promisesNotRun(a.Status))
}

func (k *call) hasNotRunField(a *codec.Response) bool { return a.Field(k.headers.NotRun) != "" }

// promisesNotRun reports whether a caller may conclude from a status that its request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// classify returns what an attempt shows about its target.
func (k *call) classify(ctx context.Context, a *codec.Response, err error) pick.Result {
	var e *outlet.Error
	switch {
	case err == nil && a.Status == http.StatusMisdirectedRequest:
		return pick.Misdirected
	case err == nil && k.notRun(a):
		return pick.Overloaded
	case err == nil && (k.hasNotRunField(a) || !k.route.Idempotent && promisesNotRun(a.Status)):
		// The response doesn't state that an order has not run, or contradicts itself. Passed on, its status would
		// promise that to the caller.
		return pick.Invalid
	case err == nil && a.Status < 300 && a.Field(k.headers.Signature) == "":
		return pick.Invalid
	case err == nil && a.Status >= 500:
		return pick.ServerError
	case err == nil:
		return pick.Served
	case errors.Is(err, outlet.ErrConnectionLimit):
		return pick.Overloaded
	case errors.Is(err, errTargetWithdrawn), errors.Is(err, errConfigChanged), errors.Is(err, errDeadlineReached):
		// The target was not contacted.
		return pick.Cancelled
	case errors.Is(err, outlet.ErrResponseTooLarge):
		return pick.ResponseTooLarge
	case errors.Is(ctx.Err(), context.Canceled):
		return pick.Cancelled
	case ctx.Err() != nil:
		return pick.TimedOut
	case errors.As(err, &e) && e.Reused && !e.Partial:
		// A target may close an idle connection at any time; this is no fault of the target.
		return pick.Cancelled
	case errors.As(err, &e) && e.Stage == outlet.NotSent:
		return pick.Unreachable
	}
	return pick.Invalid
}

// maxReportedLoad bounds each number of a load report. Larger ones are malformed: their sum could overflow, and one of them
// would distort the mean load of the service, which stands for targets without a report.
const maxReportedLoad = 1 << 20

// maxReportedPace bounds the fourth number of a load report, in percent. A machine that takes 100 times as long as usual is as good
// as stopped; a larger number is a fault of the report.
const maxReportedPace = 100 * 100

// parseLoad parses a target's load report: running and waiting requests and slots, and optionally the pace in percent. It returns
// nil if the report is missing or any of its numbers is malformed.
func (k *call) parseLoad(a *codec.Response) *pick.Load {
	parts := strings.Split(a.Field(k.headers.Load), ",")
	if len(parts) != 3 && len(parts) != 4 {
		return nil
	}
	var n [4]int
	for i, s := range parts {
		v, err := strconv.Atoi(strings.TrimSpace(s))
		if err != nil || v < 0 || v > maxReportedLoad {
			return nil
		}
		n[i] = v
	}
	if len(parts) == 4 && (n[3] == 0 || n[3] > maxReportedPace) {
		return nil
	}
	return &pick.Load{Running: n[0], Waiting: n[1], Slots: n[2], Pace: n[3]}
}

// isFinal reports whether a response is returned to the caller. After a refusal, or after a server error of an
// idempotent request, another target may be tried first.
func (k *call) isFinal(a *codec.Response, result pick.Result) bool {
	switch result {
	case pick.Served:
		return true
	case pick.ServerError:
		return !k.idempotent
	}
	return false
}

// triedText returns the ids of the targets that were tried, separated by commas, for log lines.
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

// deliver records the outcome of a request that a target completed and returns the response.
func (k *call) deliver(now time.Time, choice pick.Choice, a *codec.Response) *codec.Response {
	took := now.Sub(k.arrived)
	outcome := "served"
	if took > k.route.LatencyTarget && k.route.LatencyTarget > 0 {
		outcome = "late"
		fields := []any{"id", k.id, "route", k.route.Name, "target", choice.Target.ID, "took", took,
			"expected", choice.Expected, "known", choice.Known, "load", math.Round(choice.Load), "sends", k.sends}
		if choice.Pace != 1 {
			fields = append(fields, "pace", math.Round(choice.Pace*100))
		}
		k.logEvent(now, trace.Late, fields...)
	}
	k.observe(now, outcome)
	return a
}

// retryOrGiveUp decides how to proceed after a failed attempt. It returns nil if the request is to be sent again,
// otherwise the final response.
func (k *call) retryOrGiveUp(now time.Time, choice pick.Choice, a *codec.Response, result pick.Result, err error) *codec.Response {
	ran := k.ran(a, err)
	if ran != kinds.RanNo {
		k.mayHaveRun = true
		k.recordReached(choice.Target.ID)
	}
	if result == pick.ServerError {
		k.serverError = a
	}
	why, accepted := k.followNewest()
	retriable := k.mayRepeat()
	sameTargetAllowed := result == pick.Cancelled && retriable
	if !sameTargetAllowed {
		k.tried = append(k.tried, choice.Target.ID)
	}
	// An attempt that sent nothing to a target doesn't count towards MaxAttempts or the retry quota.
	notSent := errors.Is(err, outlet.ErrConnectionLimit) || ran == kinds.RanNo && a == nil
	switch {
	case !accepted && (!k.mayHaveRun || isCustomerKind(why) && k.idempotent && result != pick.TimedOut):
		return k.giveUpWithdrawn(now, why)
	case !accepted, k.rejectedWhenFull(a), !retriable, k.sends >= maxSends, !k.mayReachAny(), !notSent && len(k.tried) >= k.route.MaxAttempts, !notSent && !k.takeRetry(now):
		if k.askedForTime {
			k.notBefore = k.earliestReturn(now)
		}
		return k.giveUp(now, failureKind(result), failureCause(a, err))
	}
	k.Counters.Retries.Add(1)
	k.logEvent(now, trace.Retried, "id", k.id, "route", k.route.Name, "target", choice.Target.ID, "cause", failureCause(a, err),
		"after", now.Sub(k.arrived), "config", k.config.Version)
	return nil
}

// rejectedWhenFull reports whether a response rejects the request because the target has no free slot. Such a request is refused
// at once: the next target does not know its object and is likely to be as full, and each attempt there delays the requests of
// callers that it could serve.
func (k *call) rejectedWhenFull(a *codec.Response) bool {
	if a == nil || !k.notRun(a) || a.Status == http.StatusMisdirectedRequest {
		return false
	}
	l := k.parseLoad(a)
	return l != nil && (l.Waiting > 0 || l.Running >= l.Slots)
}

// ran reports whether the target of a failed attempt may have run the request.
func (k *call) ran(a *codec.Response, err error) kinds.Ran {
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
	case pick.Overloaded:
		return kinds.Overloaded
	case pick.TimedOut:
		return kinds.Timeout
	}
	return kinds.NoTarget
}

func failureCause(a *codec.Response, err error) string {
	if err != nil {
		return err.Error()
	}
	return "status " + strconv.Itoa(a.Status)
}

func (k *call) takeRetry(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.quotaOf(k.service, now).Take(now, k.quotaVMs)
}
