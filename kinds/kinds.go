// Package kinds holds the closed list of outcomes and errors of the system and the table from kind to answer.
package kinds

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Kind is one outcome of a request or operation. The list is closed: a new kind needs a row in the table below and in
// docs/errors.md.
type Kind uint8

// The kinds. The comment of each says when it is used.
const (
	// Answered: the answer of the upstream is passed on whole.
	Answered Kind = iota
	// BadRequest: a header, parameter or list entry is malformed.
	BadRequest
	// UnknownCustomer: the customer is not in the operators' list.
	UnknownCustomer
	// NotInPlan: the customer's plan does not include the service.
	NotInPlan
	// NotFound: no such service, order, VM or key.
	NotFound
	// OverPlan: the customer is above the rate of its plan.
	RateLimited
	// Overloaded: no slot is free and the queue is full or too slow for the deadline.
	Overloaded
	// DeadlineTooShort: the work cannot finish before the deadline, so it was not started.
	DeadlineTooShort
	// NoTarget: no target of the service can take work.
	NoTarget
	// Stopping: this process is leaving or not ready yet.
	Stopping
	// StaleTicket: the request id can no longer be used; the order was not run and the answer carries a new ticket.
	StaleTicket
	// UpstreamFailed: an idempotent request failed at every target that was tried.
	UpstreamFailed
	// Timeout: the deadline of an idempotent request passed while it was in progress.
	Timeout
	// OutcomeUnknown: the order may or may not have run.
	OutcomeUnknown
	// InProgress: the order with this id is being run.
	InProgress
	// Conflict: a conditional write found another version; nothing was written.
	Conflict
	// StoreDown: the store was not reached; nothing was written.
	StoreDown
	// StoreUnknown: the store may or may not have written; the caller must read back.
	StoreUnknown
	// Fenced: the lease or journal belongs to somebody else now.
	Fenced
	// Internal: a fault of the system itself.
	Internal

	count
)

// Ran says whether the request ran at an upstream.
type Ran uint8

// The three answers to "did it run".
const (
	RanNo Ran = iota
	RanYes
	RanUnknown
)

// String returns "no", "yes" or "unknown".
func (r Ran) String() string {
	return [...]string{"no", "yes", "unknown"}[r]
}

// Retry is the advice to the caller.
type Retry string

// The advice values.
const (
	RetryNever   Retry = "never"
	RetrySameID  Retry = "same-id"  // ask again with the same request id
	RetryNewID   Retry = "new-id"   // send again with a new request id from the ticket in the answer
	RetryLater   Retry = "later"    // send again after the Retry-After time
	RetryOther   Retry = "other-vm" // send again through the next VM of the lookup
	RetryAdvised Retry = "at-will"  // idempotent: may be sent again
)

// Answer is what a caller is told for a kind.
type Answer struct {
	Name   string
	Status int
	Ran    Ran
	Retry  Retry
	// After is the Retry-After time; zero means that the header is left out.
	After time.Duration
}

var table = [count]Answer{
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

// Answer returns the row of the table for k.
func (k Kind) Answer() Answer {
	if k >= count {
		return table[Internal]
	}
	return table[k]
}

// String returns the name of the kind in kebab case.
func (k Kind) String() string {
	return k.Answer().Name
}

// ByName returns the kind with the given name.
func ByName(name string) (Kind, bool) {
	for k := range count {
		if table[k].Name == name {
			return k, true
		}
	}
	return Internal, false
}

// All returns every kind in table order.
func All() []Kind {
	all := make([]Kind, 0, count)
	for k := range count {
		all = append(all, k)
	}
	return all
}

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

// Wrap gives err the kind k and a prefix. It returns nil if err is nil.
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
