package node

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/currantpier/currantpier/store"
)

// panickingStore panics in its first call of each kind and closes second when it is called again.
type panickingStore struct {
	calls  atomic.Int64
	second chan struct{}
}

func (p *panickingStore) call() {
	switch p.calls.Add(1) {
	case 1:
		panic("an unexpected value")
	case 2:
		close(p.second)
	}
}

func (p *panickingStore) Get(context.Context, string) (store.Row, error) {
	p.call()
	return store.Row{}, nil
}

func (p *panickingStore) VMs(context.Context) ([]store.VMInfo, error) {
	p.call()
	return nil, nil
}

// Guards against a row, list or message of unexpected content that ends the whole process, and against one that is never
// read again because the read that panicked counts as in progress.
func TestPanicEndsOneStep(t *testing.T) {
	rows := &panickingStore{second: make(chan struct{})}
	vms := &panickingStore{second: make(chan struct{})}
	s := newTestSync(rows)
	s.clock = time.Now
	m := NewMembers(s.self, vms, NewPeers(), time.Now, log.NewNopLogger(), nil)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 2)
	go func() { ended <- s.Run(ctx) }()
	go func() { ended <- m.Run(ctx) }()
	for name, p := range map[string]*panickingStore{"document": rows, "VM list": vms} {
		select {
		case <-p.second:
		case <-time.After(20 * time.Second):
			t.Errorf("%s: not read again after a panic", name)
		}
	}
	cancel()
	<-ended
	<-ended
}

// Guards against a lock that stays held after a panic, so that the process stops working instead of ending.
func TestPanicReleasesLocks(t *testing.T) {
	s := newTestSync(&rowGetter{})
	for name, step := range map[string]func(){
		"update":  func() { s.update(s.Current(1), func(time.Time) bool { panic("an unexpected value") }) },
		"members": func() { s.members.locked(func() { panic("an unexpected value") }) },
	} {
		func() {
			defer func() { _ = recover() }()
			step()
		}()
		if !s.mu.TryLock() || !s.members.mu.TryLock() {
			t.Fatalf("%s: a lock is held after a panic", name)
		}
		s.mu.Unlock()
		s.members.mu.Unlock()
	}
}
