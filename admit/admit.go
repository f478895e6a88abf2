// Package admit decides which requests of a service an entry accepts, queues or refuses, and in which order queued
// requests get free slots. Each customer has a rate limit from its plan and a queue of its own; weighted fair queueing
// divides the slots among customers. The package has no I/O, no goroutines and no clock of its own.
package admit

import (
	"math"
	"slices"
	"time"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/kinds"
)

const (
	// burstSeconds is the capacity of a customer's token bucket on an entry, in seconds of its rate. The capacity is at least
	// one request.
	burstSeconds = 2.0
	// serviceTimeEWMAWeight is the weight of a new sample in the moving averages of the service time and its deviation.
	serviceTimeEWMAWeight = 0.05
	// deadlineMarginDeviations is the time that queued work must have left beyond the mean service time, in mean deviations
	// of it. Without a margin, half of the requests that wait until shortly before their deadline use a slot and still miss
	// the deadline, and in a burst far more requests are refused than necessary.
	deadlineMarginDeviations = 2.0
)

// Rate is the rate limit and weight of one customer for the service.
type Rate struct {
	Customer ident.Customer
	// PerSecond is the limit in requests per second over all entries together.
	PerSecond float64
	// Weight is the customer's share of the slots relative to others when they are scarce, 1 to 1000.
	Weight int
}

// Class distinguishes idempotent requests from orders.
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
	// Deadline is the time by which the response must be complete.
	Deadline time.Time
}

// Verdict is the outcome of Offer.
type Verdict uint8

// The verdicts.
const (
	// Run: take a slot and send the request now. No item is waiting.
	Run Verdict = iota
	// Queued: wait until Next or Expire returns the item.
	Queued
	// Refused: the request is not run; Decision.Kind has the reason.
	Refused
)

// Decision is the result of Offer.
type Decision struct {
	Verdict Verdict
	// Kind is Answered unless the verdict is Refused; then it is UnknownCustomer, RateLimited, DeadlineTooShort or
	// Overloaded.
	Kind kinds.Kind
	// Wait is the expected time in the queue.
	Wait time.Duration
}

// customerQueue is the state of one customer. Items are in order of arrival; fair queueing changes the order between
// customers only.
type customerQueue struct {
	Rate
	// listed is false if SetRates no longer lists the customer and it remains only for its queued items.
	listed bool
	// tokens is the level of the token bucket at refilledAt, in requests.
	tokens     float64
	refilledAt time.Time
	items      []Item
	// finishTag is the virtual time at which the first queued item finishes if each customer gets slots by weight.
	finishTag float64
}

// Queue admits the requests of one service on one entry. It is not safe for concurrent use; see share.Holder.
type Queue struct {
	customers map[ident.Customer]*customerQueue
	// backlogged has the customers with queued items, in no particular order.
	backlogged []*customerQueue
	// backloggedWeight is the sum of the weights of the backlogged customers.
	backloggedWeight int
	queued           int
	// virtualTime is the finish tag of the last item that was started.
	virtualTime float64
	slots       ident.Slots
	liveEntries int
	// serviceTime is the mean service time and serviceTimeDeviation its mean absolute deviation, in nanoseconds.
	serviceTime              float64
	serviceTimeDeviation     float64
	maxPerCustomer, maxTotal int
	// maxWait is zero if only deadlines limit the wait.
	maxWait time.Duration
}

// Option changes a setting of a Queue.
type Option func(*Queue)

// WithMaxLength sets the maximum number of queued items, per customer and in total; 64 and 512 by default.
func WithMaxLength(perCustomer, total int) Option {
	return func(q *Queue) { q.maxPerCustomer, q.maxTotal = perCustomer, total }
}

// WithMaxWait limits the expected wait in the queue; by default, only deadlines limit it. In a lasting overload, a longer
// queue does not serve more requests but makes all of them late.
func WithMaxWait(d time.Duration) Option { return func(q *Queue) { q.maxWait = d } }

// WithServiceTime sets the mean service time that is assumed before the first sample; 20 ms by default.
func WithServiceTime(d time.Duration) Option { return func(q *Queue) { q.serviceTime = float64(d) } }

// New returns a Queue without customers. It refuses everything until SetRates lists customers.
func New(opts ...Option) *Queue {
	q := &Queue{
		customers: map[ident.Customer]*customerQueue{}, liveEntries: 1, serviceTime: float64(20 * time.Millisecond),
		maxPerCustomer: 64, maxTotal: 512,
	}
	for _, o := range opts {
		o(q)
	}
	return q
}

// SetRates replaces the customers' rates. Each rate is divided by liveEntries, the number of live entries that share it.
// Queued items of customers that are no longer listed stay queued.
func (q *Queue) SetRates(now time.Time, rates []Rate, liveEntries int) {
	q.liveEntries = max(1, liveEntries)
	for _, c := range q.customers {
		c.listed = false
	}
	for _, r := range rates {
		r.Weight = max(1, r.Weight)
		c := q.customers[r.Customer]
		if c == nil {
			c = &customerQueue{refilledAt: now, tokens: q.bucketSize(r)}
			q.customers[r.Customer] = c
		}
		c.Rate, c.listed = r, true
		c.tokens = min(c.tokens, q.bucketSize(r))
	}
	q.backloggedWeight = 0
	for _, c := range q.backlogged {
		q.backloggedWeight += c.Weight
	}
	for name, c := range q.customers {
		if !c.listed && len(c.items) == 0 {
			delete(q.customers, name)
		}
	}
}

// bucketSize returns the capacity of a customer's token bucket on this entry, in requests.
func (q *Queue) bucketSize(r Rate) float64 {
	return max(1, burstSeconds*r.PerSecond/float64(q.liveEntries))
}

// SetSlots sets how many slots of the service the entry may use in total. With zero slots, Offer refuses every request for
// which slotFree is false; an entry that can borrow a slot therefore sets at least one.
func (q *Queue) SetSlots(n ident.Slots) { q.slots = n }

// Offer decides on a new request. slotFree says that a slot is free now. Refused requests do not count against the
// customer's rate.
func (q *Queue) Offer(now time.Time, item Item, slotFree bool) Decision {
	c := q.customers[item.Customer]
	switch {
	case c == nil || !c.listed:
		return refuse(kinds.UnknownCustomer, 0)
	case q.refill(c, now) < 1:
		return refuse(kinds.RateLimited, 0)
	case now.Add(time.Duration(q.serviceTime)).After(item.Deadline):
		return refuse(kinds.DeadlineTooShort, 0)
	case q.slots <= 0 && !slotFree:
		return refuse(kinds.Overloaded, 0)
	case slotFree && q.queued == 0:
		c.tokens--
		return Decision{Verdict: Run, Kind: kinds.Answered}
	}
	wait := q.customerWait(c)
	if len(c.items) >= q.maxPerCustomer || q.queued >= q.maxTotal || !q.meetsDeadline(now, item, wait) ||
		q.maxWait > 0 && wait > q.maxWait {
		return refuse(kinds.Overloaded, wait)
	}
	c.tokens--
	q.enqueue(c, item)
	return Decision{Verdict: Queued, Kind: kinds.Answered, Wait: wait}
}

func refuse(k kinds.Kind, wait time.Duration) Decision {
	return Decision{Verdict: Refused, Kind: k, Wait: wait}
}

// refill adds the tokens earned since the last call and returns the level of the bucket.
func (q *Queue) refill(c *customerQueue, now time.Time) float64 {
	if d := now.Sub(c.refilledAt); d > 0 {
		c.tokens = min(q.bucketSize(c.Rate), c.tokens+d.Seconds()*c.PerSecond/float64(q.liveEntries))
		c.refilledAt = now
	}
	return c.tokens
}

// meetsDeadline reports whether an item that waits for the given time is likely to finish before its deadline.
func (q *Queue) meetsDeadline(now time.Time, item Item, wait time.Duration) bool {
	return !now.Add(wait + time.Duration(q.serviceTime+float64(deadlineMarginDeviations*q.serviceTimeDeviation))).After(item.Deadline)
}

// Wait returns the expected time until all queued items and one more have got a slot.
func (q *Queue) Wait() time.Duration {
	return time.Duration(float64(q.queued+1) / float64(max(1, q.slots)) * q.serviceTime)
}

// customerWait returns the expected wait of a new item of the customer. The customer gets at least its weight's share of
// the slots, and it waits no longer than Wait, after which all queued items have got a slot.
func (q *Queue) customerWait(c *customerQueue) time.Duration {
	totalWeight := q.backloggedWeight
	if len(c.items) == 0 {
		totalWeight += c.Weight
	}
	serviceTimes := float64(len(c.items)+1) / float64(max(1, q.slots)) * float64(totalWeight) / float64(c.Weight)
	return min(q.Wait(), time.Duration(serviceTimes*q.serviceTime))
}

func (q *Queue) enqueue(c *customerQueue, item Item) {
	if len(c.items) == 0 {
		// An idle customer starts at the current virtual time; it gains no credit for the time it was idle.
		c.finishTag = max(c.finishTag, q.virtualTime) + 1/float64(c.Weight)
		q.backlogged = append(q.backlogged, c)
		q.backloggedWeight += c.Weight
	}
	c.items = append(c.items, item)
	q.queued++
}

// Next removes and returns the item that gets the next free slot. It skips items that are not likely to finish before their
// deadline; Expire returns those.
func (q *Queue) Next(now time.Time) (Item, bool) {
	var best *customerQueue
	bestIndex := 0
	for _, c := range q.backlogged {
		if best != nil && (c.finishTag > best.finishTag || c.finishTag == best.finishTag && c.Customer > best.Customer) {
			continue
		}
		for i, item := range c.items {
			if q.meetsDeadline(now, item, 0) {
				best, bestIndex = c, i
				break
			}
		}
	}
	if best == nil {
		return Item{}, false
	}
	item := best.items[bestIndex]
	q.virtualTime = max(q.virtualTime, best.finishTag)
	best.finishTag += 1 / float64(best.Weight)
	q.remove(best, bestIndex)
	return item, true
}

func (q *Queue) remove(c *customerQueue, i int) {
	c.items = slices.Delete(c.items, i, i+1)
	q.queued--
	if len(c.items) > 0 {
		return
	}
	// The tag was already advanced for a next item, but there is none.
	c.finishTag -= 1 / float64(c.Weight)
	q.backloggedWeight -= c.Weight
	k := slices.Index(q.backlogged, c)
	q.backlogged = slices.Delete(q.backlogged, k, k+1)
	if !c.listed {
		delete(q.customers, c.Customer)
	}
}

// Finished records the service time of a completed request, from which waits are estimated.
func (q *Queue) Finished(serviceTime time.Duration) {
	d := float64(serviceTime) - q.serviceTime
	q.serviceTime += float64(serviceTimeEWMAWeight * d)
	q.serviceTimeDeviation += float64(serviceTimeEWMAWeight * (math.Abs(d) - q.serviceTimeDeviation))
}

// Cancel removes a queued item whose caller went away. It reports false if the item is not queued.
func (q *Queue) Cancel(customer ident.Customer, id uint64) bool {
	c := q.customers[customer]
	if c == nil {
		return false
	}
	i := slices.IndexFunc(c.items, func(item Item) bool { return item.ID == id })
	if i < 0 {
		return false
	}
	q.remove(c, i)
	return true
}

// Expire removes the items that are no longer likely to finish before their deadline and appends them to dst. They were
// not run.
func (q *Queue) Expire(now time.Time, dst []Item) []Item {
	for k := len(q.backlogged) - 1; k >= 0; k-- {
		c := q.backlogged[k]
		for i := len(c.items) - 1; i >= 0; i-- {
			if !q.meetsDeadline(now, c.items[i], 0) {
				dst = append(dst, c.items[i])
				q.remove(c, i)
			}
		}
	}
	return dst
}

// Len returns the number of queued items.
func (q *Queue) Len() int { return q.queued }
