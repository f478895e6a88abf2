package stubs

import (
	"sync"
	"time"
)

// adjustableDelay delays calls by a duration that can be changed while calls wait.
type adjustableDelay struct {
	mu       sync.Mutex
	duration time.Duration
	// changed is closed and replaced whenever duration is set.
	changed chan struct{}
}

func newAdjustableDelay() *adjustableDelay { return &adjustableDelay{changed: make(chan struct{})} }

// set changes the duration, in milliseconds. Waiting calls start over with the new one.
func (l *adjustableDelay) set(ms int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.duration = time.Duration(ms) * time.Millisecond
	close(l.changed)
	l.changed = make(chan struct{})
}

// wait returns once the duration has passed, and at once if it is zero.
func (l *adjustableDelay) wait() {
	for {
		l.mu.Lock()
		d, changed := l.duration, l.changed
		l.mu.Unlock()
		if d <= 0 {
			return
		}
		t := time.NewTimer(d)
		select {
		case <-t.C:
			return
		case <-changed:
			t.Stop()
		}
	}
}
