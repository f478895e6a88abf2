// Package ring counts the sends to the bounded queues between goroutines, both those that succeeded and those that
// found the queue full. A queue itself is a buffered channel of the message type, so that it is typed without
// generics; the counters make sure that a message dropped by a full queue is visible to operators.
package ring

import "sync/atomic"

// SendStats counts the outcomes of sends to one queue. The zero value is ready to use. All methods are safe for concurrent
// use.
type SendStats struct {
	sent atomic.Uint64
	full atomic.Uint64
}

// Sent records that a message was queued.
func (s *SendStats) Sent() { s.sent.Add(1) }

// Full records that a message was not queued because the queue was full. If another goroutine waits for the result of
// the message, the sender must report the failure to it.
func (s *SendStats) Full() { s.full.Add(1) }

// Counts is a snapshot of SendStats.
type Counts struct {
	Sent uint64 `json:"sent"`
	Full uint64 `json:"full"`
}

// Counts returns the counts so far. The two are read one after the other, so a concurrent send may show in one only.
func (s *SendStats) Counts() Counts {
	return Counts{Sent: s.sent.Load(), Full: s.full.Load()}
}
