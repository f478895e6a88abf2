package stubs

import (
	"sync"
	"time"
)

// delay holds calls up for a time that can be changed while they wait.
type delay struct {
	mu sync.Mutex
	d  time.Duration
	// changed is closed and replaced when d is set.
	changed chan struct{}
}

func newDelay() *delay { return &delay{changed: make(chan struct{})} }

// set changes the time. Calls that wait start again with the new one.
func (l *delay) set(ms int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.d = time.Duration(ms) * time.Millisecond
	close(l.changed)
	l.changed = make(chan struct{})
}

// wait returns after the time has passed.
func (l *delay) wait() {
	for {
		l.mu.Lock()
		d, changed := l.d, l.changed
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
