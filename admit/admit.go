// Package admit decides which requests of a service an entry accepts, queues or refuses, and in which order queued ones
// get scarce slots. Each customer has a rate by its plan and one queue; weighted fair queueing divides slots between
// customers. The package has no I/O, no goroutines and no clock of its own.
package admit

import (
	"math"
	"slices"
	"time"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/kinds"
)

const (
	// burst is how many seconds of its rate a customer may use at once on an entry, and never less than one request.
	burst = 2.0
	// alpha is the weight of a new sample in the moving average of the service time.
	alpha = 0.05
	// spread is how many mean deviations of the service time queued work must have left. Without it, half of the work that
	// waits until shortly before its deadline occupies a slot in vain, and a rush refuses far more than it has to.
	spread = 2.0
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

// customer is the state of one customer. Queued items are in order of arrival, which fair queueing keeps.
type customer struct {
	Rate
	// listed is false when the customer left the list while items were queued.
	listed bool
	// tokens is what the customer may still send at the time filled.
	tokens float64
	filled time.Time
	items  []Item
	// tag is the virtual time at which the first queued item is done if each customer gets slots by weight.
	tag float64
}

// Queue admits the requests of one service on one entry. It is not safe for concurrent use, see share.Holder.
type Queue struct {
	customers map[ident.Customer]*customer
	// waiting lists the customers with queued items, in no particular order.
	waiting []*customer
	// weights is the sum of the weights of the waiting customers.
	weights int
	queued  int
	// virtual is the tag of the last item that was started.
	virtual float64
	slots   ident.Slots
	live    int
	// service is the mean service time and deviation its mean absolute deviation, in nanoseconds.
	service          float64
	deviation        float64
	perCustomer, all int
	// maxWait is zero if only deadlines bound the wait.
	maxWait time.Duration
}

// Option changes a setting of a Queue.
type Option func(*Queue)

// MaxLength sets the most items that wait, per customer and in all; 64 and 512 by default.
func MaxLength(perCustomer, all int) Option {
	return func(q *Queue) { q.perCustomer, q.all = perCustomer, all }
}

// MaxWait bounds the expected wait in the queue; by default only deadlines do. In a lasting overload a longer queue serves
// no more requests, it only makes all of them late.
func MaxWait(d time.Duration) Option { return func(q *Queue) { q.maxWait = d } }

// Typical sets the service time that is assumed before any was measured; 20 ms by default.
func Typical(d time.Duration) Option { return func(q *Queue) { q.service = float64(d) } }

// New returns a Queue without customers: it refuses everything.
func New(opts ...Option) *Queue {
	q := &Queue{
		customers: map[ident.Customer]*customer{}, live: 1, service: float64(20 * time.Millisecond),
		perCustomer: 64, all: 512,
	}
	for _, o := range opts {
		o(q)
	}
	return q
}

// SetRates replaces the customers' rates. Each rate is divided by live, the number of live entries that share it. Items
// of customers that are no longer listed stay queued.
func (q *Queue) SetRates(now time.Time, rates []Rate, live int) {
	q.live = max(1, live)
	for _, c := range q.customers {
		c.listed = false
	}
	for _, r := range rates {
		r.Weight = max(1, r.Weight)
		c := q.customers[r.Customer]
		if c == nil {
			c = &customer{filled: now, tokens: q.burst(r)}
			q.customers[r.Customer] = c
		}
		c.Rate, c.listed = r, true
		c.tokens = min(c.tokens, q.burst(r))
	}
	q.weights = 0
	for _, c := range q.waiting {
		q.weights += c.Weight
	}
	for name, c := range q.customers {
		if !c.listed && len(c.items) == 0 {
			delete(q.customers, name)
		}
	}
}

func (q *Queue) burst(r Rate) float64 { return max(1, burst*r.PerSecond/float64(q.live)) }

// SetSlots tells the queue how many slots of the service the entry may use in all. With none, everything is refused; an
// entry that can borrow a slot sets at least one.
func (q *Queue) SetSlots(n ident.Slots) { q.slots = n }

// Offer decides on a new request. With free set, a slot is free right now. Requests that are refused do not count
// against the customer's rate.
func (q *Queue) Offer(now time.Time, it Item, free bool) Decision {
	c := q.customers[it.Customer]
	switch {
	case c == nil || !c.listed:
		return refuse(kinds.UnknownCustomer, 0)
	case q.refill(c, now) < 1:
		return refuse(kinds.OverPlan, 0)
	case now.Add(time.Duration(q.service)).After(it.Deadline):
		return refuse(kinds.DeadlineTooShort, 0)
	case q.slots <= 0 && !free:
		return refuse(kinds.Overloaded, 0)
	case free && q.queued == 0:
		c.tokens--
		return Decision{Verdict: Run, Kind: kinds.Answered}
	}
	wait := q.wait(c)
	if len(c.items) >= q.perCustomer || q.queued >= q.all || !q.inTime(now, it, wait) ||
		q.maxWait > 0 && wait > q.maxWait {
		return refuse(kinds.Overloaded, wait)
	}
	c.tokens--
	q.push(c, it)
	return Decision{Verdict: Queued, Kind: kinds.Answered, Wait: wait}
}

func refuse(k kinds.Kind, wait time.Duration) Decision {
	return Decision{Verdict: Refused, Kind: k, Wait: wait}
}

// refill adds the tokens since the last call and returns how many there are.
func (q *Queue) refill(c *customer, now time.Time) float64 {
	if d := now.Sub(c.filled); d > 0 {
		c.tokens = min(q.burst(c.Rate), c.tokens+d.Seconds()*c.PerSecond/float64(q.live))
		c.filled = now
	}
	return c.tokens
}

// inTime reports whether an item that waits for so long very likely finishes before its deadline.
func (q *Queue) inTime(now time.Time, it Item, wait time.Duration) bool {
	return !now.Add(wait + time.Duration(q.service+spread*q.deviation)).After(it.Deadline)
}

// Wait returns the expected time until everything that waits now and one more item have a slot.
func (q *Queue) Wait() time.Duration {
	return time.Duration(float64(q.queued+1) / float64(max(1, q.slots)) * q.service)
}

// wait returns the expected wait of a new item of the customer. The customer is served at least at its weight's part of
// the slots, and everything that waits now is done after a full pass.
func (q *Queue) wait(c *customer) time.Duration {
	weights := q.weights
	if len(c.items) == 0 {
		weights += c.Weight
	}
	own := float64(len(c.items)+1) / float64(max(1, q.slots)) * float64(weights) / float64(c.Weight)
	return min(q.Wait(), time.Duration(own*q.service))
}

func (q *Queue) push(c *customer, it Item) {
	if len(c.items) == 0 {
		// A customer that was idle starts at the present virtual time: it has not saved up a claim.
		c.tag = max(c.tag, q.virtual) + 1/float64(c.Weight)
		q.waiting = append(q.waiting, c)
		q.weights += c.Weight
	}
	c.items = append(c.items, it)
	q.queued++
}

// Next removes and returns the item that gets the next free slot. Items that are not likely to finish in time are passed over;
// Expire returns them.
func (q *Queue) Next(now time.Time) (Item, bool) {
	var best *customer
	at := 0
	for _, c := range q.waiting {
		if best != nil && (c.tag > best.tag || c.tag == best.tag && c.Customer > best.Customer) {
			continue
		}
		for i, it := range c.items {
			if q.inTime(now, it, 0) {
				best, at = c, i
				break
			}
		}
	}
	if best == nil {
		return Item{}, false
	}
	it := best.items[at]
	q.virtual = max(q.virtual, best.tag)
	best.tag += 1 / float64(best.Weight)
	q.remove(best, at)
	return it, true
}

func (q *Queue) remove(c *customer, i int) {
	c.items = slices.Delete(c.items, i, i+1)
	q.queued--
	if len(c.items) > 0 {
		return
	}
	// The tag was that of an item that does not exist.
	c.tag -= 1 / float64(c.Weight)
	q.weights -= c.Weight
	k := slices.Index(q.waiting, c)
	q.waiting = slices.Delete(q.waiting, k, k+1)
	if !c.listed {
		delete(q.customers, c.Customer)
	}
}

// Finished records the service time of a request that ran, so that later waits are estimated from it.
func (q *Queue) Finished(took time.Duration) {
	d := float64(took) - q.service
	q.service += alpha * d
	q.deviation += alpha * (math.Abs(d) - q.deviation)
}

// Cancel removes a queued item whose caller went away.
func (q *Queue) Cancel(customer ident.Customer, id uint64) bool {
	c := q.customers[customer]
	if c == nil {
		return false
	}
	i := slices.IndexFunc(c.items, func(it Item) bool { return it.ID == id })
	if i < 0 {
		return false
	}
	q.remove(c, i)
	return true
}

// Expire removes the items that are not likely to finish before their deadline any more and appends them to dst. They were not
// run.
func (q *Queue) Expire(now time.Time, dst []Item) []Item {
	for k := len(q.waiting) - 1; k >= 0; k-- {
		c := q.waiting[k]
		for i := len(c.items) - 1; i >= 0; i-- {
			if !q.inTime(now, c.items[i], 0) {
				dst = append(dst, c.items[i])
				q.remove(c, i)
			}
		}
	}
	return dst
}

// Len returns the number of items that wait.
func (q *Queue) Len() int { return q.queued }
