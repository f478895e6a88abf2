package carry

import (
	"context"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/currantpier/currantpier/codec"
	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/kinds"
	"github.com/currantpier/currantpier/outlet"
	"github.com/currantpier/currantpier/pick"
	"github.com/currantpier/currantpier/trace"
)

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
	choice, reason := k.pick(now, ask)
	switch reason {
	case pick.Chosen:
		k.sends++
		return choice, nil
	case pick.TooLate:
		return choice, k.giveUp(now, kinds.Overloaded, reason.String())
	}
	return choice, k.giveUp(now, kinds.NoTarget, reason.String())
}

// pick takes a target and notes the snapshot that the choice rests on.
func (k *call) pick(now time.Time, ask pick.Ask) (pick.Choice, pick.Reason) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.chosenFrom = k.snapshot.Load()
	choice, reason := k.picker.Choose(now, ask)
	if reason == pick.Chosen {
		k.picker.Started(now, ask, choice)
	}
	return choice, reason
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
	msg := outlet.Message{Method: k.r.Method(), Build: func() ([]byte, error) { return k.build(k.clock(), t) }, Mine: k.mine}
	a, err := k.pool.Do(ctx, k.outletTarget(t), msg)
	done := k.clock()
	result := k.result(ctx, a, err)
	outcome := pick.Outcome{Result: result, Took: done.Sub(now)}
	if a != nil {
		outcome.Load = k.load(a)
	}
	k.finished(done, choice, outcome)
	return a, result, err
}

func (k *call) finished(now time.Time, choice pick.Choice, o pick.Outcome) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.picker.Finished(now, k.ask(), choice, o)
}

// errWithdrawn says that a target that was chosen may not be used any more.
var errWithdrawn = errors.New("the target may not be used any more")

// errExpired says that the deadline came while a connection was opened.
var errExpired = errors.New("deadline reached before the request was sent")

// build returns the bytes of the request for a target. The choice may be old by now, since a connection was opened or the
// process was paused meanwhile: what it rests on is checked again.
func (k *call) build(now time.Time, t fleet.Target) ([]byte, error) {
	left := k.deadline.Sub(now)
	switch s := k.snapshot.Load(); {
	case left < leastLeft:
		return nil, errExpired
	case s != k.chosenFrom && !s.Usable(&t):
		return nil, errWithdrawn
	}
	return k.r.Append(nil,
		codec.Field{Name: k.headers.Deadline, Value: strconv.FormatInt(left.Milliseconds(), 10)},
		codec.Field{Name: k.headers.Expect, Value: string(t.ID)}), nil
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

// mine reports whether an answer belongs to this request. Answers carry the id of their request. One without an id, a
// refusal too, may be a late copy of an earlier answer on the connection: taken for this request's, it would promise that
// an order has not run that has.
func (k *call) mine(a *codec.Answer) bool { return a.Field(k.headers.Attempt) == k.id }

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
	case errors.Is(err, errWithdrawn), errors.Is(err, errExpired):
		// It says nothing about the target.
		return pick.Cancelled
	case errors.Is(err, outlet.ErrAnswerTooLong):
		return pick.Flooded
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
