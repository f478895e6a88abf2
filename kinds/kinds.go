// Package kinds defines the fixed set of request outcomes and error kinds, and maps each kind to the HTTP status and
// retry advice that callers get.
package kinds

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Kind is the outcome of a request or operation. A new kind needs a row in answers and in docs/errors.md.
type Kind uint8

// The kinds and when each is used.
const (
	// Answered: the upstream's response was forwarded complete.
	Answered Kind = iota
	// BadRequest: a header, parameter or list entry is malformed.
	BadRequest
	// UnknownCustomer: the customer is not in the configured customer list, or no customer has the request's API key.
	UnknownCustomer
	// NotInPlan: the customer's plan does not include the service.
	NotInPlan
	// NotFound: no such service, order, VM or key.
	NotFound
	// RateLimited: the customer exceeds the request rate of its plan, or the configured rate is invalid.
	RateLimited
	// Overloaded: no slot is free, and the queue is full or the expected wait exceeds the deadline.
	Overloaded
	// DeadlineTooShort: the work cannot finish before the deadline, so it was not started.
	DeadlineTooShort
	// NoTarget: no target of the service accepts requests.
	NoTarget
	// Stopping: this process is shutting down or not ready yet.
	Stopping
	// StaleTicket: the request id can no longer be used; the order was not run and the response carries a new ticket.
	StaleTicket
	// UpstreamFailed: an idempotent request failed at every target that was tried.
	UpstreamFailed
	// Timeout: the deadline of an idempotent request passed while it was in progress.
	Timeout
	// OutcomeUnknown: the order may or may not have run.
	OutcomeUnknown
	// InProgress: the order with this id is still running.
	InProgress
	// Conflict: a conditional write found another version; nothing was written.
	Conflict
	// StoreDown: the store could not be reached; nothing was written.
	StoreDown
	// StoreUnknown: the store may or may not have applied the write; the caller must read the value back.
	StoreUnknown
	// Fenced: another process has taken over the lease or journal; nothing was written.
	Fenced
	// Internal: an internal error.
	Internal

	kindCount
)

// Ran says whether the request was executed by an upstream.
type Ran uint8

// The values of Ran.
const (
	RanNo Ran = iota
	RanYes
	RanUnknown
)

// String returns "no", "yes" or "unknown".
func (r Ran) String() string {
	return [...]string{"no", "yes", "unknown"}[r]
}

// Retry is the retry advice to the caller.
type Retry string

// The values of Retry.
const (
	RetryNever   Retry = "never"
	RetrySameID  Retry = "same-id"  // repeat with the same request id
	RetryNewID   Retry = "new-id"   // retry with a new request id made from the ticket in the response
	RetryLater   Retry = "later"    // retry after the Retry-After time
	RetryOther   Retry = "other-vm" // retry through the next VM of the lookup response
	RetryAdvised Retry = "at-will"  // idempotent: may be retried at any time
)

// Answer describes the response to a caller for a kind.
type Answer struct {
	Name   string
	Status int
	Ran    Ran
	Retry  Retry
	// After is the value of the Retry-After header; zero omits the header.
	After time.Duration
}

var answers = [kindCount]Answer{
	Answered:         {"answered", 200, RanYes, RetryNever, 0},
	BadRequest:       {"bad-request", 400, RanNo, RetryNever, 0},
	UnknownCustomer:  {"unknown-customer", 401, RanNo, RetryNever, 0},
	NotInPlan:        {"not-in-plan", 403, RanNo, RetryNever, 0},
	NotFound:         {"not-found", 404, RanNo, RetryNever, 0},
	RateLimited:      {"over-plan", 429, RanNo, RetryLater, time.Second},
	Overloaded:       {"overloaded", 503, RanNo, RetryLater, time.Second},
	DeadlineTooShort: {"deadline-too-short", 503, RanNo, RetryLater, time.Second},
	NoTarget:         {"no-target", 503, RanNo, RetryLater, time.Second},
	Stopping:         {"stopping", 503, RanNo, RetryOther, 0},
	StaleTicket:      {"stale-ticket", 409, RanNo, RetryNewID, 0},
	UpstreamFailed:   {"upstream-failed", 502, RanUnknown, RetryAdvised, 0},
	Timeout:          {"timeout", 504, RanUnknown, RetryAdvised, 0},
	OutcomeUnknown:   {"outcome-unknown", 504, RanUnknown, RetrySameID, time.Second},
	InProgress:       {"in-progress", 409, RanUnknown, RetrySameID, time.Second},
	Conflict:         {"conflict", 412, RanNo, RetryNever, 0},
	StoreDown:        {"store-down", 503, RanNo, RetryLater, 5 * time.Second},
	StoreUnknown:     {"store-unknown", 504, RanUnknown, RetryLater, 5 * time.Second},
	Fenced:           {"fenced", 409, RanNo, RetryNever, 0},
	Internal:         {"internal", 500, RanUnknown, RetryNever, 0},
}

// Answer returns the response for k. Values that are not kinds are treated as Internal.
func (k Kind) Answer() Answer {
	if k >= kindCount {
		return answers[Internal]
	}
	return answers[k]
}

// String returns the name of the kind in kebab case.
func (k Kind) String() string {
	return k.Answer().Name
}

// ByName returns the kind with the given name, and whether there is one.
func ByName(name string) (Kind, bool) {
	for k := range kindCount {
		if answers[k].Name == name {
			return k, true
		}
	}
	return Internal, false
}

// All returns every kind in the order of its declaration.
func All() []Kind {
	all := make([]Kind, 0, kindCount)
	for k := range kindCount {
		all = append(all, k)
	}
	return all
}

// kindError attaches a kind to an error.
type kindError struct {
	kind  Kind
	cause error
}

func (e *kindError) Error() string { return e.kind.String() + ": " + e.cause.Error() }
func (e *kindError) Unwrap() error { return e.cause }

// Errorf returns an error of kind k.
func Errorf(k Kind, format string, args ...any) error {
	return &kindError{kind: k, cause: errors.NewWithDepthf(1, format, args...)}
}

// Wrap returns err with the kind k and a message prefix. It returns nil if err is nil.
func Wrap(k Kind, err error, prefix string) error {
	if err == nil {
		return nil
	}
	return &kindError{kind: k, cause: errors.WrapWithDepth(1, err, prefix)}
}

// Of returns the outermost kind of err: Answered for nil, Internal for an error without a kind.
func Of(err error) Kind {
	if err == nil {
		return Answered
	}
	var ke *kindError
	if errors.As(err, &ke) {
		return ke.kind
	}
	return Internal
}
