// Package heat estimates the request rates of objects from the requests of one VM and derives from them how many targets, called
// holders, should have an object in their caches. Its memory is bounded. It does no I/O, starts no goroutines and takes the time
// as a parameter.
package heat

import (
	"math"
	"time"

	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/hash"
	"github.com/currantpier/currantpier/ident"
)

const (
	// MaxHolders bounds the holders of one object.
	MaxHolders = 16
	// rateWindow is the time constant with which requests are forgotten. It must span several requests of a hot object at one VM.
	rateWindow = 6 * time.Second
	// growDeviations and shrinkDeviations are the half widths of the rate's confidence interval below and above, in standard deviations
	// of a Poisson distribution. A decayed count has half of that variance. Below it is wider: a further holder that isn't needed evicts
	// another object from a cache.
	growDeviations, shrinkDeviations = 2.5, 1.5
	// minRequests is the decayed number of requests below which an object gets no further holder: with many VMs, each of which
	// stands for the same number of callers, a single request would look like a high rate.
	minRequests = 2.5
	// shrinkMargin is the part of its share that each remaining holder may have after their number has been reduced.
	shrinkMargin = 0.8
	// setCount and ways are the dimensions of the table. An object's hash determines its set.
	setCount, ways = 256, 4
)

// Key identifies an object, and has what is needed to find its holders again. Only Object is compared.
type Key struct {
	// Object is the hash of the object. It is not zero.
	Object  uint64
	Route   *fleet.Route
	Service ident.Service
}

// Table holds the rates of the objects with the most requests. It is not safe for concurrent use.
type Table struct {
	sets [setCount][ways]entry
}

// entry is the state of one object. The zero value is unused.
type entry struct {
	key Key
	// count is the number of requests as of updated, each weighted by exp(-age/rateWindow).
	count   float64
	updated time.Time
	// share is the number of this VM's requests per second for which one holder suffices, as of the last request.
	share float64
	// holders is the number of holders as of the last request.
	holders int
}

// NewTable returns an empty table. It allocates all memory that the table ever uses.
func NewTable() *Table { return &Table{} }

// Record records a request of this VM for an object and returns the object's number of holders, 1 to MaxHolders. One holder
// suffices for share requests of this VM per second.
func (t *Table) Record(now time.Time, k Key, share float64) int {
	e := t.find(k.Object)
	if e == nil {
		e = t.replace(now, k.Object)
		*e = entry{updated: now, holders: 1}
	}
	return e.record(now, k, share)
}

// HoldersAfterRecord returns what Record would return, and changes nothing.
func (t *Table) HoldersAfterRecord(now time.Time, k Key, share float64) int {
	e := entry{updated: now, holders: 1}
	if known := t.find(k.Object); known != nil {
		e = *known
	}
	return e.record(now, k, share)
}

func (e *entry) record(now time.Time, k Key, share float64) int {
	e.key, e.share = k, share
	e.count = e.countAt(now) + 1
	// A clock that went back must not let the time until the next request count twice.
	if now.After(e.updated) {
		e.updated = now
	}
	e.holders = e.holdersFor(e.count)
	return e.holders
}

// Holders returns the number of holders of an object without recording a request.
func (t *Table) Holders(now time.Time, object uint64) int {
	if e := t.find(object); e != nil {
		return e.holdersFor(e.countAt(now))
	}
	return 1
}

// Hot is an object with more than one holder.
type Hot struct {
	Key
	// Rate is the estimated number of this VM's requests per second, Share the number for which one holder suffices.
	Rate, Share float64
	Holders     int
}

// Hot returns the objects with more than one holder.
func (t *Table) Hot(now time.Time) []Hot {
	var list []Hot
	for i := range t.sets {
		for j := range t.sets[i] {
			e := &t.sets[i][j]
			if e.key.Object == 0 {
				continue
			}
			count := e.countAt(now)
			if n := e.holdersFor(count); n > 1 {
				list = append(list, Hot{Key: e.key, Rate: count / rateWindow.Seconds(), Share: e.share, Holders: n})
			}
		}
	}
	return list
}

func (t *Table) set(object uint64) *[ways]entry { return &t.sets[hash.Mix(object)%setCount] }

func (t *Table) find(object uint64) *entry {
	set := t.set(object)
	for i := range set {
		if set[i].key.Object == object {
			return &set[i]
		}
	}
	return nil
}

// replace returns the entry of the object's set that was used least. The new object does not take over its count, as it would in
// a summary of the most frequent objects: an object that is requested once must never look hot.
func (t *Table) replace(now time.Time, object uint64) *entry {
	set := t.set(object)
	least := &set[0]
	for i := range set {
		e := &set[i]
		if e.key.Object == 0 {
			return e
		}
		if e.countAt(now) < least.countAt(now) {
			least = e
		}
	}
	return least
}

func (e *entry) countAt(now time.Time) float64 {
	age := now.Sub(e.updated)
	if age <= 0 {
		return e.count
	}
	return e.count * math.Exp(-float64(age)/float64(rateWindow))
}

// holdersFor returns the number of holders for a count. The number grows only if the lower bound of the rate's confidence
// interval needs more holders, and shrinks only if the upper bound needs fewer, so that it doesn't follow the noise of a few requests.
func (e *entry) holdersFor(count float64) int {
	low, high := interval(count)
	n := e.holders
	if count >= minRequests {
		n = max(n, holdersOf(low/rateWindow.Seconds(), e.share))
	}
	return min(n, holdersOf(high/rateWindow.Seconds(), e.share*shrinkMargin))
}

// holdersOf returns the number of holders for a rate, 1 to MaxHolders. It is 1 if the share isn't known.
func holdersOf(rate, share float64) int {
	switch {
	case !(share > 0):
		return 1
	case rate >= share*MaxHolders:
		return MaxHolders
	}
	return max(1, int(math.Ceil(rate/share)))
}

// interval returns the confidence interval of the mean of a Poisson distribution from which count was drawn: the score interval's
// lower bound, and the normal one's upper bound, since the former's is not zero without requests. An object of which each VM of a
// large region gets a few requests would never return to one holder.
func interval(count float64) (low, high float64) {
	low = count + growDeviations*growDeviations/2 - growDeviations*math.Sqrt(count+growDeviations*growDeviations/4)
	return low, count + shrinkDeviations*math.Sqrt(count)
}
