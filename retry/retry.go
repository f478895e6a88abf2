// Package retry decides whether a failed attempt is retried, where, and until when. It has no clock and no I/O.
package retry

import (
	"slices"
	"time"

	"github.com/currantpier/currantpier/ident"
)

// MaxRetries is the greatest number of retries of a request, at the same target or another one.
const MaxRetries = 2

// MinRetryTime is the least time before the deadline with which a retry is worth its load.
const MinRetryTime = 5 * time.Millisecond

// Request is the kind of a request.
type Request uint8

const (
	Idempotent Request = iota
	// Order is an order, booking or invoice, which must run at most once.
	Order
)

// Failure states how an attempt ended without a complete response.
type Failure uint8

// The zero value is a failure of unknown kind.
const (
	Other Failure = iota
	// Refused: the connection was refused, or could not be opened in time.
	Refused
	// Rejected: the upstream stated that it did not run the request.
	Rejected
	// Silent: nothing was received on a reused connection within the time of the idle probe.
	Silent
	// Stale: a reused connection was closed before the first byte of a response.
	Stale
	// Broken: the connection broke before the response was complete.
	Broken
	// Truncated: the connection was closed before the response was complete, or the response states no length.
	Truncated
	// Deadline: the deadline of the request passed.
	Deadline
	// Stopped: this process is ending and has given the attempt up.
	Stopped
)

// Verdict states how to proceed after a failure.
type Verdict uint8

const (
	// OtherTarget: try a target in another failure domain.
	OtherTarget Verdict = iota + 1
	// SameTarget: try the same target once more on a new connection before the failure counts against it.
	SameTarget
	// NotRun: refuse the request; it was not run.
	NotRun
	// Unknown: an order may have run and must not be sent again.
	Unknown
	// Timeout: the deadline of an idempotent request passed.
	Timeout
	// Failed: an idempotent request failed and is not retried.
	Failed
)

// Classify returns the verdict on a failed attempt, regardless of limits. Written is true if any byte of the request
// was written to the connection or may have been.
func Classify(f Failure, r Request, written bool) Verdict {
	switch {
	case f == Rejected:
		return OtherTarget
	case r == Order && written:
		return Unknown
	case (f == Deadline || f == Stopped) && r == Order:
		return NotRun
	case f == Stopped:
		return Failed
	case f == Deadline:
		return Timeout
	case f == Silent || f == Stale:
		return SameTarget
	}
	return OtherTarget
}

// Call is the retry state of one request.
type Call struct {
	Request  Request
	Deadline time.Time
	// Retries counts the retries so far.
	Retries int
	// RetriedSame is set if the current target was already retried on a new connection.
	RetriedSame bool
}

// Next decides after a failure whether the request is retried. It returns OtherTarget or SameTarget only if the number
// of retries, the deadline and the budget allow it, and then takes one retry from the budget.
func (c *Call) Next(now time.Time, f Failure, written bool, b *Budget) Verdict {
	v := Classify(f, c.Request, written)
	if v == SameTarget && c.RetriedSame {
		v = OtherTarget
	}
	if v != OtherTarget && v != SameTarget {
		return v
	}
	switch {
	case !now.Before(c.Deadline) && c.Request == Idempotent:
		return Timeout
	case c.Deadline.Sub(now) < MinRetryTime, c.Retries >= MaxRetries, !b.TryTake(now):
		return c.giveUp()
	}
	c.Retries++
	c.RetriedSame = v == SameTarget
	return v
}

// giveUp returns the verdict on a request that is not retried although its failure would allow it. For an order this is
// NotRun: Classify allows a retry of an order only if the order was certainly not run.
func (c *Call) giveUp() Verdict {
	if c.Request == Order {
		return NotRun
	}
	return Failed
}

// AttemptDeadline returns the deadline of the attempt that starts now. For an idempotent request the remaining time is
// divided equally among this attempt and the retries that are left. An order gets all of it, since it is not retried
// after a byte was written.
func (c *Call) AttemptDeadline(now time.Time) time.Time {
	left := c.Deadline.Sub(now)
	if c.Request == Order || left <= 0 {
		return c.Deadline
	}
	return now.Add(left / time.Duration(MaxRetries-min(c.Retries, MaxRetries)+1))
}

// NextDomain returns the failure domain of a retry: the first candidate, in order of preference, that was not tried. It
// reports false if there is none.
func NextDomain(candidates, tried []ident.Domain) (ident.Domain, bool) {
	for _, d := range candidates {
		if !slices.Contains(tried, d) {
			return d, true
		}
	}
	return "", false
}

const (
	// creditPerRequest and creditPerRetry set the budget to 10% of the requests.
	creditPerRequest = 1
	creditPerRetry   = 10
	// maxCredit bounds a burst to 20 retries, so that credit saved during an hour of low load can't double the load of
	// an outage.
	maxCredit = 20 * creditPerRetry
	// idleRetryInterval is the time in which a process with few requests earns one retry. At most one is saved up this
	// way.
	idleRetryInterval = 10 * time.Second
)

// Budget limits retries to 10% of the requests, plus one retry per 10 s for processes with few requests. It is a token
// bucket in tenths of a retry. The zero value is ready for use. It is not safe for concurrent use.
type Budget struct {
	// credit is in tenths of a retry, 0 to maxCredit.
	credit int
	// idleCreditAt is the time up to which idle credit was added; zero before the first call.
	idleCreditAt time.Time
}

// Request adds the credit of one request. Retries do not count as requests.
func (b *Budget) Request(now time.Time) {
	b.addIdleCredit(now)
	b.credit = min(b.credit+creditPerRequest, maxCredit)
}

// TryTake takes one retry. It reports false if the budget is used up.
func (b *Budget) TryTake(now time.Time) bool {
	b.addIdleCredit(now)
	if b.credit < creditPerRetry {
		return false
	}
	b.credit -= creditPerRetry
	return true
}

// addIdleCredit raises the credit to one retry if at least idleRetryInterval has passed since the last time.
func (b *Budget) addIdleCredit(now time.Time) {
	if b.idleCreditAt.IsZero() {
		b.idleCreditAt = now
		return
	}
	if now.Sub(b.idleCreditAt) < idleRetryInterval {
		return
	}
	b.idleCreditAt = now
	b.credit = max(b.credit, creditPerRetry)
}
