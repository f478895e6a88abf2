// Package retry decides which failed attempts may be tried again, where, and until when. It has no clock and no I/O.
package retry

import (
	"slices"
	"time"

	"github.com/currantpier/currantpier/ident"
)

// MaxFurther is the greatest number of attempts after the first, at the same target or another one.
const MaxFurther = 2

// MinAttempt is the least time that must remain for a further attempt to be worth its load.
const MinAttempt = 5 * time.Millisecond

// Request is the kind of a request.
type Request uint8

// The kinds of requests.
const (
	Idempotent Request = iota
	// Order is an order, booking or invoice, which must run at most once.
	Order
)

// Failure says how an attempt ended without a complete answer.
type Failure uint8

// The failures. The zero value is a failure of unknown nature.
const (
	Other Failure = iota
	// Refused: the connection was refused, or could not be opened in time.
	Refused
	// Shed: the upstream said explicitly that it did not run the request.
	Shed
	// Silent: nothing came back on a connection that had been used before, within the idle probe's time.
	Silent
	// Stale: a connection that had been used before was closed before any byte of an answer.
	Stale
	// Broken: the connection broke before the answer was complete.
	Broken
	// Short: the answer ended before its Content-Length.
	Short
	// Deadline: the deadline of the request passed.
	Deadline
)

// Verdict says what to do after a failure.
type Verdict uint8

// The verdicts.
const (
	// OtherTarget: try a target in another failure domain.
	OtherTarget Verdict = iota + 1
	// SameTarget: try the same target once more on a new connection, before the failure is held against the target.
	SameTarget
	// NotRun: refuse; the request was not run.
	NotRun
	// Unknown: an order that may have run. It must not be sent again.
	Unknown
	// Timeout: the deadline of an idempotent request passed.
	Timeout
	// Failed: an idempotent request failed and is not tried again.
	Failed
)

// Classify returns the verdict on a failed attempt. Written says whether any byte of the request was written to the
// connection, or whether that is unknown.
func Classify(f Failure, r Request, written bool) Verdict {
	switch {
	case f == Shed:
		return OtherTarget
	case r == Order && written:
		return Unknown
	case f == Deadline && r == Order:
		return NotRun
	case f == Deadline:
		return Timeout
	case f == Silent || f == Stale:
		return SameTarget
	}
	return OtherTarget
}

// Call is the history of one request.
type Call struct {
	Request  Request
	Deadline time.Time
	// Further counts the attempts after the first.
	Further int
	// Again says that the present target was already tried on a new connection.
	Again bool
}

// Next decides after a failure whether the request is tried again. It returns OtherTarget or SameTarget only if the
// number of attempts, the deadline and the budget allow it, and then takes one retry from the budget.
func (c *Call) Next(now time.Time, f Failure, written bool, b *Budget) Verdict {
	v := Classify(f, c.Request, written)
	if v == SameTarget && c.Again {
		v = OtherTarget
	}
	if v != OtherTarget && v != SameTarget {
		return v
	}
	switch {
	case !now.Before(c.Deadline) && c.Request == Idempotent:
		return Timeout
	case c.Deadline.Sub(now) < MinAttempt, c.Further >= MaxFurther, !b.TryTake(now):
		return c.giveUp()
	}
	c.Further++
	c.Again = v == SameTarget
	return v
}

// giveUp returns the verdict for a request that could be tried again and is not. Classify lets an order be tried again
// only if it provably was not run.
func (c *Call) giveUp() Verdict {
	if c.Request == Order {
		return NotRun
	}
	return Failed
}

// AttemptDeadline returns the deadline of the attempt that starts now. An idempotent request leaves an equal part of
// the remaining time for each further attempt that is still allowed; an order gets all of it, since it is not tried
// again after a byte was written.
func (c *Call) AttemptDeadline(now time.Time) time.Time {
	left := c.Deadline.Sub(now)
	if c.Request == Order || left <= 0 {
		return c.Deadline
	}
	return now.Add(left / time.Duration(MaxFurther-min(c.Further, MaxFurther)+1))
}

// NextDomain chooses the failure domain of a further attempt: the first of the candidates, which are in order of
// preference, that was not tried. It reports false if there is none.
func NextDomain(candidates, tried []ident.Domain) (ident.Domain, bool) {
	for _, d := range candidates {
		if !slices.Contains(tried, d) {
			return d, true
		}
	}
	return "", false
}

const (
	// perRequest and perRetry make a budget of 10% of the requests.
	perRequest = 1
	perRetry   = 10
	// maxCredit bounds a burst of retries to 20, so that the credit of a quiet hour can't double the load of an
	// outage.
	maxCredit = 20 * perRetry
	// idleRetry is the time in which a process with few requests earns one retry, up to one in total.
	idleRetry = 10 * time.Second
)

// Budget limits retries to 10% of the requests, plus one retry per 10 s for processes with few requests. It is a token
// bucket in tenths of a retry. The zero value is ready for use. It is not safe for concurrent use.
type Budget struct {
	// credit is in tenths of a retry, 0 to maxCredit.
	credit int
	// idle is the time up to which idle credit was given; zero before the first call.
	idle time.Time
}

// Request earns credit for one request. Further attempts do not count as requests.
func (b *Budget) Request(now time.Time) {
	b.earnIdle(now)
	b.credit = min(b.credit+perRequest, maxCredit)
}

// TryTake takes one retry. It reports false if the budget is used up.
func (b *Budget) TryTake(now time.Time) bool {
	b.earnIdle(now)
	if b.credit < perRetry {
		return false
	}
	b.credit -= perRetry
	return true
}

// earnIdle gives the credit of one retry for each idleRetry that has passed, if there is less than that.
func (b *Budget) earnIdle(now time.Time) {
	if b.idle.IsZero() {
		b.idle = now
		return
	}
	if now.Sub(b.idle) < idleRetry {
		return
	}
	b.idle = now
	b.credit = max(b.credit, perRetry)
}
