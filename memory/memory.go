// Package memory bounds the memory that messages in progress take together. Each message can be within its own limit and all of
// them together still exceed the memory of the process.
package memory

import (
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// ErrExhausted is returned if the messages in progress leave too little memory for one more.
var ErrExhausted = errors.New("no memory left for the message")

// Limit bounds the sum of all reservations made from it, in bytes. It is safe for concurrent use. A nil Limit grants any.
type Limit struct {
	max  int64
	used atomic.Int64
}

// NewLimit returns a limit of max bytes.
func NewLimit(max int64) *Limit { return &Limit{max: max} }

// Used returns the reserved bytes.
func (l *Limit) Used() int64 { return l.used.Load() }

// Reservation is the memory that one message holds. It is used by one goroutine at a time. A nil Reservation has no limit.
type Reservation struct {
	limit *Limit
	// uncounted is the size up to which the message doesn't count towards the limit.
	uncounted int64
	// held is the number of bytes that count.
	held int64
}

// Reserve returns a reservation of no bytes. The first uncounted bytes of it don't count towards the limit, so that small
// messages get through while large ones use it up.
func (l *Limit) Reserve(uncounted int64) *Reservation {
	if l == nil {
		return nil
	}
	return &Reservation{limit: l, uncounted: uncounted}
}

// Resize changes the size of the reservation. It reports false, without a change, if it grows and the limit leaves too little.
func (r *Reservation) Resize(size int64) bool {
	if r == nil {
		return true
	}
	more := max(size-r.uncounted, 0) - r.held
	if !r.limit.add(more) {
		return false
	}
	r.held += more
	return true
}

// add adds n bytes, or a negative number, to the used ones. It reports false, without a change, if n is positive and too little is
// left. A message that doesn't fit is never counted, so that it can't keep another one out meanwhile.
func (l *Limit) add(n int64) bool {
	for {
		used := l.used.Load()
		if n > 0 && n > l.max-used {
			return false
		}
		if l.used.CompareAndSwap(used, used+n) {
			return true
		}
	}
}

// Release ends the reservation. Further calls have no effect.
func (r *Reservation) Release() { r.Resize(0) }
