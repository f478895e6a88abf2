// Package admit decides which requests of a service an entry accepts, queues or refuses, and in which order queued ones
// get scarce slots. Each customer has a rate by its plan and one queue; weighted fair queueing divides slots between
// customers. The package has no I/O, no goroutines and no clock of its own.
package admit

import (
	"time"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/kinds"
)

// Rate is what one customer may use of the service.
type Rate struct {
	Customer ident.Customer
	// PerSecond is the limit over all entries together.
	PerSecond float64
	// Weight is the customer's share of scarce slots relative to others, 1 to 1000.
	Weight int
}

// Class tells the two kinds of requests apart.
type Class uint8

// The classes. Both share the queue of their customer.
const (
	Idempotent Class = iota
	Order
)

// Item is one request.
type Item struct {
	// ID is the caller's reference, unique among queued items.
	ID       uint64
	Customer ident.Customer
	Class    Class
	// Deadline is the time by which the answer must be complete.
	Deadline time.Time
}

// Verdict is what Offer decided.
type Verdict uint8

// The verdicts.
const (
	// Run: take a slot and send now. No item is waiting.
	Run Verdict = iota
	// Queued: wait until Next or Expire returns the item.
	Queued
	// Refused: the request was not run; Decision.Kind says why.
	Refused
)

// Decision is the result of Offer.
type Decision struct {
	Verdict Verdict
	// Kind is Answered unless the verdict is Refused; then it is UnknownCustomer, OverPlan, DeadlineTooShort or
	// Overloaded.
	Kind kinds.Kind
	// Wait is the expected time in the queue.
	Wait time.Duration
}

// Queue admits the requests of one service on one entry. It is not safe for concurrent use, see share.Holder.
type Queue struct{}

// Option changes a setting of a Queue.
type Option func(*Queue)

// MaxLength sets the most items that wait, per customer and in all; 64 and 512 by default.
func MaxLength(perCustomer, all int) Option { return func(*Queue) {} }

// Typical sets the service time that is assumed before any was measured; 20 ms by default.
func Typical(d time.Duration) Option { return func(*Queue) {} }

// New returns a Queue without customers: it refuses everything.
func New(opts ...Option) *Queue { return &Queue{} }

// SetRates replaces the customers' rates. Each rate is divided by live, the number of live entries that share it. Items
// of customers that are no longer listed stay queued.
func (q *Queue) SetRates(now time.Time, rates []Rate, live int) {}

// SetSlots tells the queue how many slots of the service the entry may use in all. With none, everything is refused.
func (q *Queue) SetSlots(n ident.Slots) {}

// Offer decides on a new request. With free set, a slot is free right now.
func (q *Queue) Offer(now time.Time, it Item, free bool) Decision { return Decision{} }

// Next removes and returns the item that gets the next free slot. Items that cannot finish in time are passed over;
// Expire returns them.
func (q *Queue) Next(now time.Time) (Item, bool) { return Item{}, false }

// Finished records the service time of a request that ran, so that later waits are estimated from it.
func (q *Queue) Finished(took time.Duration) {}

// Cancel removes a queued item whose caller went away.
func (q *Queue) Cancel(customer ident.Customer, id uint64) bool { return false }

// Expire removes the items that cannot finish before their deadline any more and appends them to dst. They were not
// run.
func (q *Queue) Expire(now time.Time, dst []Item) []Item { return dst }

// Len returns the number of items that wait.
func (q *Queue) Len() int { return 0 }
