package carry

import (
	"context"
	"sync"
	"time"
)

const (
	// pausedAfter is the time without a confirmation of the snapshot after which the process must have been paused: it is
	// confirmed several times a second.
	pausedAfter = 1500 * time.Millisecond
	// confirmFor bounds the wait of a request for the first confirmation after a pause. The store may be away.
	confirmFor = 300 * time.Millisecond
)

// confirmation shows whether the process was paused since its owner last looked at the store's news. Which targets may be used can
// have changed meanwhile; requests that waited in the sockets would otherwise be the first to act on it.
type confirmation struct {
	mu sync.Mutex
	// at is the time of the last confirmation; zero before the first one.
	at time.Time
	// next is closed at the next confirmation; nil if nobody waits for it.
	next chan struct{}
}

// confirm notes that what is known was confirmed.
func (p *confirmation) confirm(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.at = now
	if p.next != nil {
		close(p.next)
		p.next = nil
	}
}

// paused returns a channel that is closed at the next confirmation if the process was paused, otherwise nil.
func (p *confirmation) paused(now time.Time) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.at.IsZero() || Gap(p.at, now) < pausedAfter {
		return nil
	}
	if p.next == nil {
		p.next = make(chan struct{})
	}
	return p.next
}

// Gap is the time between two readings of the clock, that during a suspension of the machine included: the steady clock
// stands still then, and the time of day goes on.
func Gap(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// Confirm says that the snapshot is up to date as far as the VM can know. It must be called several times a second. After a
// pause of the process requests wait for it, for a short while.
func (c *Carrier) Confirm(now time.Time) { c.confirmation.confirm(now) }

// awaitConfirmation lets a request that finds the process just resumed wait for the news of the pause.
func (c *Carrier) awaitConfirmation(ctx context.Context, now time.Time) {
	next := c.confirmation.paused(now)
	if next == nil {
		return
	}
	timer := time.NewTimer(confirmFor)
	defer timer.Stop()
	select {
	case <-next:
	case <-timer.C:
	case <-ctx.Done():
	}
}
