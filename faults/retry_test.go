package faults

import (
	"fmt"
	"time"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/retry"
)

// retryTarget is one target in a failure domain of its own.
type retryTarget struct {
	domain ident.Domain
	// dead targets refuse connections, paused ones run what arrived only after the end of the request.
	dead, paused bool
}

// retryRun is one request over its attempts.
type retryRun struct {
	w       *world
	kind    retry.Request
	call    retry.Call
	budget  retry.Budget
	next    decider
	targets []*retryTarget
	tried   []ident.Domain
	cur     *retryTarget
	// open says that the attempt has a connection, fresh that it is a new one, silent that nothing comes through it.
	open, fresh, silent bool
	// written says that bytes of the attempt were written, arrived that the target has them all, ran that it ran them.
	written, arrived, ran bool
	failure               retry.Failure
	failed                bool
	// runs counts executions.
	runs, attempts int
	verdict        retry.Verdict
	// answer is what the caller got: the number of the attempt it belongs to; zero if none.
	answer int
}

// decider is the decision after a failed attempt.
type decider func(c *retry.Call, now time.Time, f retry.Failure, written bool, b *retry.Budget) retry.Verdict

func retryProtocol(kind retry.Request, name string) protocol {
	checks := []check{fewRetries, ownAnswer}
	if kind == retry.Order {
		checks = append(checks, refusalTrue, atMostOnce)
	}
	return protocol{
		name: "retries and answers, " + name, checks: checks,
		start: func(w *world) *scenario { return startRetry(w, kind) },
	}
}

func startRetry(w *world, kind retry.Request) *scenario {
	r := &retryRun{w: w, kind: kind, next: breakRetry(w), targets: []*retryTarget{
		{domain: "east-a"}, {domain: "east-b"}, {domain: "west-a"},
	}}
	r.call = retry.Call{Request: kind, Deadline: w.now.Add(4 * time.Second)}
	for range 30 {
		r.budget.Request(w.now)
	}
	r.cur = r.targets[0]
	// A target that sheds leads to a second attempt without a fault.
	shed := w.coin()
	var steps []step
	for n := range 3 {
		steps = append(steps,
			step{fmt.Sprintf("connect, attempt %d", n+1), r.connect},
			step{fmt.Sprintf("write, attempt %d", n+1), r.write},
			step{fmt.Sprintf("run, attempt %d", n+1), func() { r.execute(shed && n == 0) }},
			step{fmt.Sprintf("answer, attempt %d", n+1), r.receive},
			step{fmt.Sprintf("decide, attempt %d", n+1), r.decide})
	}
	none := "retries use no store, no plan and no measurement"
	return &scenario{
		steps: steps,
		inject: map[fault]func(){
			processDies:      func() { r.cur.dead = true },
			regionFails:      func() { r.targets[0].dead, r.targets[1].dead = true, true },
			pausedHolder:     func() { r.cur.paused = true },
			silentConnection: func() { r.silent = !r.open && !r.fresh && r.kind == retry.Idempotent || r.open },
		},
		noInput: map[fault]string{measurementsStop: none, storeDown: none, storeSlow: none, answerLost: none, operators: none},
		finish:  r.finish,
	}
}

// ended reports whether the request has an answer or a verdict that ends it.
func (r *retryRun) ended() bool {
	return r.answer > 0 || r.verdict != 0 && r.verdict != retry.OtherTarget && r.verdict != retry.SameTarget
}

func (r *retryRun) fail(f retry.Failure) {
	if !r.failed {
		r.failure, r.failed = f, true
		r.w.note("attempt %d at %s fails: failure %d, written %v", r.attempts, r.cur.domain, f, r.written)
	}
}

func (r *retryRun) connect() {
	if r.ended() {
		return
	}
	r.attempts++
	r.open, r.written, r.arrived, r.ran, r.failed = true, false, false, false, false
	if r.fresh = r.fresh || r.kind == retry.Order; r.fresh {
		r.silent = false
	}
	if r.cur.dead {
		r.open = false
		r.fail(retry.Refused)
	}
}

// write sends the request. A connection that was used before fails without a sign when its target has died.
func (r *retryRun) write() {
	if r.ended() || !r.open {
		return
	}
	r.written = true
	r.arrived = !r.silent && !r.cur.dead
}

func (r *retryRun) execute(shed bool) {
	switch {
	case r.ended() || !r.arrived || r.cur.paused:
	case r.cur.dead && r.w.coin():
		// The process died before it ran the request.
	case shed && !r.cur.dead:
		r.arrived = false
		r.fail(retry.Rejected)
	default:
		r.ran = true
		r.runs++
		r.w.note("%s runs the request", r.cur.domain)
	}
}

func (r *retryRun) receive() {
	if r.ended() || !r.open || r.failed {
		return
	}
	switch {
	case r.cur.dead && !r.arrived && !r.fresh:
		r.fail(retry.Stale)
	case r.cur.dead && r.w.coin():
		r.fail(retry.Truncated)
	case r.cur.dead:
		r.fail(retry.Broken)
	case r.silent && !r.fresh:
		r.fail(retry.Silent)
	case r.silent || r.cur.paused:
		r.w.now = r.call.AttemptDeadline(r.w.now)
		if r.w.now.Before(r.call.Deadline) {
			r.fail(retry.Other)
		} else {
			r.fail(retry.Deadline)
		}
	default:
		r.answer = r.attempts
	}
}

// decide asks for the verdict. The connection of a failed attempt is closed, so that a late answer reaches nobody.
func (r *retryRun) decide() {
	if r.ended() || !r.failed {
		return
	}
	if r.arrived && !r.ran && r.cur.paused {
		// A paused target runs what has arrived when it resumes, and its answer finds no connection.
		r.runs++
	}
	r.open = false
	r.verdict = r.next(&r.call, r.w.now, r.failure, r.written, &r.budget)
	r.w.note("verdict %d", r.verdict)
	r.fresh = r.verdict == retry.SameTarget
	if r.verdict != retry.OtherTarget {
		return
	}
	r.tried = append(r.tried, r.cur.domain)
	var domains []ident.Domain
	for _, t := range r.targets {
		domains = append(domains, t.domain)
	}
	d, _ := retry.NextDomain(domains, r.tried)
	for _, t := range r.targets {
		if t.domain == d {
			r.cur = t
		}
	}
}

func (r *retryRun) finish() string {
	r.w.ensure(ownAnswer, r.answer == 0 || r.answer == r.attempts && r.ran, "answer of attempt %d in attempt %d",
		r.answer, r.attempts)
	r.w.ensure(fewRetries, r.attempts <= 1+retry.MaxRetries, "%d attempts", r.attempts)
	if r.kind == retry.Order {
		r.w.ensure(refusalTrue, r.verdict != retry.NotRun || r.runs == 0, "refused as not run after %d runs", r.runs)
		r.w.ensure(atMostOnce, r.runs <= 1, "ran %d times in %d attempts", r.runs, r.attempts)
	}
	said := [...]string{"no verdict", "tried elsewhere", "tried again", "told not run", "told unknown", "told timeout",
		"told failed"}[r.verdict]
	if r.answer > 0 {
		said = "told the answer"
	}
	return fmt.Sprintf("%s in %d attempts", said, r.attempts)
}
