package carry

import (
	"context"
	"sync"
	"time"

	"github.com/currantpier/currantpier/span"
)

const (
	// pauseThreshold is the time since the last confirmation of the snapshot from which the process counts as paused.
	// Confirmations normally come several times a second.
	pauseThreshold = 1500 * time.Millisecond
	// maxConfirmationWait bounds how long a request waits for the first confirmation after a pause. During an outage of
	// the store there is none.
	maxConfirmationWait = 300 * time.Millisecond
)

// confirmation detects pauses of the process by the time since the snapshot was last confirmed. The set of usable
// targets may have changed during a pause, and requests that waited in the sockets would otherwise be sent before the
// snapshot is updated.
type confirmation struct {
	mu sync.Mutex
	// last is the time of the last confirmation; zero before the first one.
	last time.Time
	// next is closed at the next confirmation; nil if no request waits for it.
	next chan struct{}
}

// confirm records a confirmation and releases the waiting requests.
func (cf *confirmation) confirm(now time.Time) {
	cf.mu.Lock()
	defer cf.mu.Unlock()
	cf.last = now
	if cf.next != nil {
		close(cf.next)
		cf.next = nil
	}
}

// nextIfPaused returns a channel that is closed at the next confirmation, or nil if the process was not paused.
func (cf *confirmation) nextIfPaused(now time.Time) <-chan struct{} {
	cf.mu.Lock()
	defer cf.mu.Unlock()
	if cf.last.IsZero() || ElapsedWithSuspend(cf.last, now) < pauseThreshold {
		return nil
	}
	if cf.next == nil {
		cf.next = make(chan struct{})
	}
	return cf.next
}

// ElapsedWithSuspend returns the time between two clock readings, including any suspension of the machine.
func ElapsedWithSuspend(from, to time.Time) time.Duration { return span.Elapsed(from, to) }

// ConfirmSnapshot records that the snapshot is as current as the VM can determine. It must be called several times a second.
// After a pause of the process, requests wait up to maxConfirmationWait for the next call.
func (c *Forwarder) ConfirmSnapshot(now time.Time) { c.confirmation.confirm(now) }

// awaitConfirmation delays a request after a pause of the process until the snapshot is confirmed, at most
// maxConfirmationWait.
func (c *Forwarder) awaitConfirmation(ctx context.Context, now time.Time) {
	next := c.confirmation.nextIfPaused(now)
	if next == nil {
		return
	}
	timer := time.NewTimer(maxConfirmationWait)
	defer timer.Stop()
	select {
	case <-next:
	case <-timer.C:
	case <-ctx.Done():
	}
}
