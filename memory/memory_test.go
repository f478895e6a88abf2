package memory

import (
	"math"
	"sync"
	"testing"
)

// Guards against messages that together take more than the limit, against memory that is counted twice or not released, and
// against small messages that find no memory because of large ones.
func TestReservations(t *testing.T) {
	l := NewLimit(100)
	a, b := l.Reserve(0), l.Reserve(10)
	for _, tt := range []struct {
		name string
		r    *Reservation
		size int64
		ok   bool
		used int64
	}{
		{"first", a, 60, true, 60},
		{"beyond the limit", b, 51, false, 60},
		{"up to the limit, the first bytes uncounted", b, 50, true, 100},
		{"one more", a, 61, false, 100},
		{"the largest number", a, math.MaxInt64, false, 100},
		{"smaller", a, 40, true, 80},
		{"again up to the limit", b, 70, true, 100},
		{"uncounted only", b, 10, true, 40},
		{"from the uncounted bytes up", b, 11, true, 41},
	} {
		if ok := tt.r.Resize(tt.size); ok != tt.ok || l.Used() != tt.used {
			t.Errorf("%s: %v, %d bytes used; want %v, %d", tt.name, ok, l.Used(), tt.ok, tt.used)
		}
	}
	a.Release()
	b.Release()
	b.Release()
	if l.Used() != 0 {
		t.Errorf("%d bytes used after the release", l.Used())
	}
}

// Guards against a limit that concurrent messages exceed together.
func TestConcurrentReservations(t *testing.T) {
	const size, most = 10, 5
	l := NewLimit(size*most + size/2)
	var wg sync.WaitGroup
	granted := make(chan *Reservation, 100)
	for range cap(granted) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if r := l.Reserve(0); r.Resize(size) {
				granted <- r
			}
		}()
	}
	wg.Wait()
	if n := len(granted); n > most || l.Used() != int64(n*size) {
		t.Errorf("%d reservations were granted, %d bytes used; want %d reservations at most", n, l.Used(), most)
	}
}

// Guards against a message without a limit that needs a special case.
func TestNoLimit(t *testing.T) {
	var l *Limit
	r := l.Reserve(0)
	if !r.Resize(1 << 40) {
		t.Error("a reservation from no limit was refused")
	}
	r.Release()
}
