package faults

import (
	"fmt"
	"time"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/retry"
)

// retryTarget is a target, the only one in its failure domain.
type retryTarget struct {
	domain ident.Domain
	// A dead target refuses connections. A paused one runs the requests that it has received only after the attempt ended.
	dead, paused bool
}

// retryRun is one request with all its attempts.
type retryRun struct {
	sim          *simulation
	kind         retry.Request
	call         retry.Call
	budget       retry.Budget
	verdictOf    retryDecider
	targets      []*retryTarget
	triedDomains []ident.Domain
	current      *retryTarget
	// connected is set if the attempt has a connection, newConn if that is, or for the next attempt must be, a new one,
	// silent if it carries no data.
	connected, newConn, silent bool
	// written is set if bytes of the attempt were written, arrived if the target has received the whole request, executed
	// if it ran it.
	written, arrived, executed bool
	failure                    retry.Failure
	failed                     bool
	// executions is the number of times that targets ran the request.
	executions, attempts int
	verdict              retry.Verdict
	// answeredBy is the number of the attempt whose answer the caller got; zero if none.
	answeredBy int
}

// retryDecider returns the verdict after a failed attempt.
type retryDecider func(c *retry.Call, now time.Time, f retry.Failure, written bool, b *retry.Budget) retry.Verdict

func retryProtocol(kind retry.Request, name string) protocol {
	checks := []check{attemptsLimited, ownAnswer}
	if kind == retry.Order {
		checks = append(checks, notRunIsTrue, atMostOnce)
	}
	return protocol{
		name: "retries and answers, " + name, checks: checks,
		start: func(sim *simulation) *scenario { return startRetry(sim, kind) },
	}
}

func startRetry(sim *simulation, kind retry.Request) *scenario {
	r := &retryRun{sim: sim, kind: kind, verdictOf: wrapRetry(sim), targets: []*retryTarget{
		{domain: "east-a"}, {domain: "east-b"}, {domain: "west-a"},
	}}
	r.call = retry.Call{Request: kind, Deadline: sim.now.Add(4 * time.Second)}
	for range 30 {
		r.budget.Request(sim.now)
	}
	r.current = r.targets[0]
	// A target that sheds the first attempt causes a second one in a run without faults too.
	shed := sim.randomBool()
	var steps []step
	for n := range 3 {
		steps = append(steps,
			step{fmt.Sprintf("connect, attempt %d", n+1), r.connect},
			step{fmt.Sprintf("write, attempt %d", n+1), r.write},
			step{fmt.Sprintf("run, attempt %d", n+1), func() { r.execute(shed && n == 0) }},
			step{fmt.Sprintf("answer, attempt %d", n+1), r.receive},
			step{fmt.Sprintf("decide, attempt %d", n+1), r.decide})
	}
	reason := "retries use no store, no plan and no measurement"
	return &scenario{
		steps: steps,
		inject: map[fault]func(){
			processDies:      func() { r.current.dead = true },
			regionFails:      func() { r.targets[0].dead, r.targets[1].dead = true, true },
			pausedHolder:     func() { r.current.paused = true },
			silentConnection: func() { r.silent = !r.connected && !r.newConn && r.kind == retry.Idempotent || r.connected },
		},
		notApplicable: map[fault]string{
			measurementsStop: reason, storeDown: reason, storeSlow: reason, answerLost: reason, operatorConflict: reason,
		},
		finish: r.finish,
	}
}

// ended reports whether the request has an answer or a final verdict.
func (r *retryRun) ended() bool {
	return r.answeredBy > 0 || r.verdict != 0 && r.verdict != retry.OtherTarget && r.verdict != retry.SameTarget
}

// fail records the failure of the attempt; later failures of the same attempt are ignored.
func (r *retryRun) fail(f retry.Failure) {
	if !r.failed {
		r.failure, r.failed = f, true
		r.sim.logf("attempt %d at %s fails: failure %d, written %v", r.attempts, r.current.domain, f, r.written)
	}
}

func (r *retryRun) connect() {
	if r.ended() {
		return
	}
	r.attempts++
	r.connected, r.written, r.arrived, r.executed, r.failed = true, false, false, false, false
	if r.newConn = r.newConn || r.kind == retry.Order; r.newConn {
		r.silent = false
	}
	if r.current.dead {
		r.connected = false
		r.fail(retry.Refused)
	}
}

// write sends the request. On a reused connection whose target has died the write succeeds and the request is lost.
func (r *retryRun) write() {
	if r.ended() || !r.connected {
		return
	}
	r.written = true
	r.arrived = !r.silent && !r.current.dead
}

func (r *retryRun) execute(shed bool) {
	switch {
	case r.ended() || !r.arrived || r.current.paused:
	case r.current.dead && r.sim.randomBool():
		// The process died before it ran the request.
	case shed && !r.current.dead:
		r.arrived = false
		r.fail(retry.Rejected)
	default:
		r.executed = true
		r.executions++
		r.sim.logf("%s runs the request", r.current.domain)
	}
}

// receive ends the attempt with an answer or with the failure that the entry observes.
func (r *retryRun) receive() {
	if r.ended() || !r.connected || r.failed {
		return
	}
	switch {
	case r.current.dead && !r.arrived && !r.newConn:
		r.fail(retry.Stale)
	case r.current.dead && r.sim.randomBool():
		r.fail(retry.Truncated)
	case r.current.dead:
		r.fail(retry.Broken)
	case r.silent && !r.newConn:
		r.fail(retry.Silent)
	case r.silent || r.current.paused:
		r.sim.now = r.call.AttemptDeadline(r.sim.now)
		if r.sim.now.Before(r.call.Deadline) {
			r.fail(retry.Other)
		} else {
			r.fail(retry.Deadline)
		}
	default:
		r.answeredBy = r.attempts
	}
}

// decide gets the verdict. The connection of a failed attempt is closed, so that a late answer is not delivered.
func (r *retryRun) decide() {
	if r.ended() || !r.failed {
		return
	}
	if r.arrived && !r.executed && r.current.paused {
		// When it resumes, a paused target runs what it has received; its connection is closed by then.
		r.executions++
	}
	r.connected = false
	r.verdict = r.verdictOf(&r.call, r.sim.now, r.failure, r.written, &r.budget)
	r.sim.logf("verdict %d", r.verdict)
	r.newConn = r.verdict == retry.SameTarget
	if r.verdict != retry.OtherTarget {
		return
	}
	r.triedDomains = append(r.triedDomains, r.current.domain)
	var domains []ident.Domain
	for _, t := range r.targets {
		domains = append(domains, t.domain)
	}
	d, _ := retry.NextDomain(domains, r.triedDomains)
	for _, t := range r.targets {
		if t.domain == d {
			r.current = t
		}
	}
}

func (r *retryRun) finish() string {
	r.sim.ensure(ownAnswer, r.answeredBy == 0 || r.answeredBy == r.attempts && r.executed,
		"answer of attempt %d delivered in attempt %d", r.answeredBy, r.attempts)
	r.sim.ensure(attemptsLimited, r.attempts <= 1+retry.MaxRetries, "%d attempts", r.attempts)
	if r.kind == retry.Order {
		r.sim.ensure(notRunIsTrue, r.verdict != retry.NotRun || r.executions == 0, "refused as not run after %d runs",
			r.executions)
		r.sim.ensure(atMostOnce, r.executions <= 1, "ran %d times in %d attempts", r.executions, r.attempts)
	}
	result := [...]string{"no verdict", "tried elsewhere", "tried again", "told not run", "told unknown", "told timeout",
		"told failed"}[r.verdict]
	if r.answeredBy > 0 {
		result = "told the answer"
	}
	return fmt.Sprintf("%s in %d attempts", result, r.attempts)
}
