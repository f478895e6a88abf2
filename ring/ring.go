// Package ring counts what passes through the bounded queues between two goroutines. The queue itself is a buffered
// channel of the message's own type, so it stays typed without generics; a full queue is a counted outcome and never a
// silent loss.
package ring

import "sync/atomic"

// Stats counts the outcomes of sends to one ring. The zero value is ready to use. All methods are safe for concurrent
// use.
type Stats struct {
	sent atomic.Uint64
	full atomic.Uint64
}

// Sent records that a message was queued.
func (s *Stats) Sent() { s.sent.Add(1) }

// Full records that a message was not queued because the ring was full. The sender must report this to whoever waits
// for the message.
func (s *Stats) Full() { s.full.Add(1) }

// Counts is a snapshot of Stats.
type Counts struct {
	Sent uint64 `json:"sent"`
	Full uint64 `json:"full"`
}

// Counts returns the numbers so far.
func (s *Stats) Counts() Counts {
	return Counts{Sent: s.sent.Load(), Full: s.full.Load()}
}
