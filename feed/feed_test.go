package feed

import (
	"context"
	"errors"
	"math/rand"
	"testing"
	"time"

	"github.com/currantpier/currantpier/ident"
)

var start = time.Unix(1000, 0)

func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

var errDown = errors.New("down")

// Guards against a follower that hammers a store that is away, reads from the wrong version, or stays on a history that
// is gone.
func TestFollower(t *testing.T) {
	f := NewFollower(time.Second, 0, rand.NewSource(1))
	f.SetRank(start, 0)
	if s := f.Next(); !s.Full || s.At.After(start) {
		t.Fatalf("first step %+v, want a full reading at once", s)
	}
	f.Done(at(0.1), at(0), Rows{Whole: true, Version: 5}, nil)
	if s := f.Next(); s.Full || s.After != 5 || !s.At.Equal(at(1)) {
		t.Fatalf("after a full reading: %+v, want changes after 5 at 1 s", s)
	}
	f.Done(at(1.1), at(1), Rows{Version: 9}, nil)
	if s := f.Next(); s.After != 9 || !s.At.Equal(at(2)) {
		t.Fatalf("after changes: %+v, want changes after 9 at 2 s", s)
	}
	now, last := 2.0, time.Duration(0)
	for i := range 8 {
		f.Done(at(now), at(now), Rows{}, errDown)
		s := f.Next()
		pause := s.At.Sub(at(now))
		if s.After != 9 || s.Full {
			t.Fatalf("after a failure: %+v, want the same changes again", s)
		}
		if pause < firstBackoff/2 || pause > mostBackoff {
			t.Fatalf("pause %v after failure %d", pause, i)
		}
		last = pause
	}
	if last < mostBackoff/2 {
		t.Errorf("last pause %v, want at least %v", last, mostBackoff/2)
	}
	f.Done(at(9), at(9), Rows{Compacted: true}, nil)
	if s := f.Next(); !s.Full || !s.At.Equal(at(9)) {
		t.Errorf("after a lost history: %+v, want a full reading at once", s)
	}
}

// Guards against VMs of a group that all read the registry, or none of them when the reader falls silent.
func TestSharedReadings(t *testing.T) {
	read := func(rank int) *Follower {
		f := NewFollower(time.Second, 0, rand.NewSource(1))
		f.Done(at(0), at(0), Rows{Whole: true, Version: 5}, nil)
		f.SetRank(at(0), rank)
		return f
	}
	f := read(3)
	if !f.Heard(at(0.9), 5, 8) {
		t.Fatal("news that continues what is known was not taken")
	}
	if s := f.Next(); s.After != 8 || s.At.Before(at(1.9)) {
		t.Errorf("next step %+v, want none before the next news is due", s)
	}
	if s := f.Next(); s.At.After(at(0.9).Add(time.Second + patience + rankMost*patienceRank)) {
		t.Errorf("next step %+v: a silent reader must be replaced", s)
	}
	if f.Heard(at(1), 9, 12) {
		t.Error("news with a gap was taken")
	}
	if s := f.Next(); s.At.After(at(1).Add(patienceRank)) || s.After != 8 {
		t.Errorf("after a gap: %+v, want the changes after 8 soon", s)
	}
	if f.Heard(at(1), 3, 7) {
		t.Error("old news was taken")
	}
	if NewFollower(time.Second, 0, rand.NewSource(1)).Heard(at(1), 0, 7) {
		t.Error("news was taken before the first full reading")
	}
	a, b := read(1), read(2)
	a.Heard(at(0.5), 5, 6)
	b.Heard(at(0.5), 5, 6)
	if !a.Next().At.Before(b.Next().At) {
		t.Error("two VMs replace a silent reader at the same time")
	}
}

// Guards against VMs of a group that all keep calls waiting for the operators' changes, as they did: a change cost a call
// from each (sag-pier-grown scale-1: 2,600 of 3,893 calls).
func TestWaitingCalls(t *testing.T) {
	follow := func(rank int) *Follower {
		f := NewFollower(0, 20*time.Second, rand.NewSource(1))
		f.Done(at(0), at(0), Rows{Whole: true, Version: 5}, nil)
		f.SetRank(at(0), rank)
		return f
	}
	for rank, waits := range []bool{true, true, false, false, false, false} {
		f := follow(rank)
		s := f.Next()
		if soon := !s.At.After(at(0)); f.Waits() != waits || soon != waits || (s.Wait > 0) != waits {
			t.Errorf("rank %d: %+v, want a waiting call at once: %v", rank, s, waits)
		}
	}
	f := follow(5)
	if !f.Heard(at(1), 5, 7) || f.Next().After != 7 || f.Next().At.Before(at(20)) {
		t.Errorf("told of a change: next %+v", f.Next())
	}
	if f.Confirmed(at(2), 9); f.Next().After != 9 {
		t.Errorf("told that nothing changed up to 9: next %+v", f.Next())
	}
	if f.Heard(at(3), 10, 12) || f.Next().At.After(at(4)) {
		t.Errorf("a change was missed: next %+v, want a call soon", f.Next())
	}
	r := NewFollower(time.Second, 0, rand.NewSource(1))
	r.Done(at(0), at(0), Rows{Whole: true, Version: 5}, nil)
	if r.SetRank(at(0.5), 0); r.Next().At.After(at(0.5)) {
		t.Errorf("a VM that becomes the reader of a table begins at %v", r.Next().At)
	}
	g := follow(5)
	if g.SetRank(at(3), 1); g.Next().At.After(at(3)) {
		t.Errorf("a VM that is to wait for changes begins at %v", g.Next().At)
	}
}

// Guards against all VMs that call again and again while the store is away: refused calls cost as much as others.
func TestFollowersBackOff(t *testing.T) {
	calls := func(rank int, version ident.Version) int {
		f := NewFollower(time.Second, 0, rand.NewSource(1))
		if version > 0 {
			f.Done(at(0), at(0), Rows{Whole: true, Version: version}, nil)
		}
		f.SetRank(at(0), rank)
		n := 0
		for now := at(0); now.Before(at(10)); now = now.Add(10 * time.Millisecond) {
			if !f.Next().At.After(now) {
				f.Done(now, now, Rows{}, errDown)
				n++
			}
		}
		return n
	}
	if n := calls(0, 5); n < 10 || n > 35 {
		t.Errorf("the reader made %d calls in 10 s", n)
	}
	if n := calls(4, 5); n < 4 || n > 11 {
		t.Errorf("a VM that is told by others made %d calls in 10 s", n)
	}
	if n := calls(4, 0); n < 10 {
		t.Errorf("a VM that knows nothing yet made %d calls in 10 s", n)
	}
}

// slowTable answers a full reading after a while, and calls for changes never.
type slowTable struct{ reading time.Duration }

func (s slowTable) Read(ctx context.Context) (Rows, error) {
	select {
	case <-time.After(s.reading):
		return Rows{Whole: true, Version: 1}, nil
	case <-ctx.Done():
		return Rows{}, ctx.Err()
	}
}

func (s slowTable) Changes(ctx context.Context, _ ident.Version, _ time.Duration) (Rows, error) {
	<-ctx.Done()
	return Rows{}, ctx.Err()
}

// Guards against a full reading that never ends because refreshes are asked for faster than the store answers. The bench:
// kalnins-seti trouble-1, EVAC; VMs 110 ms from the store learned of an evacuation 7 s late.
func TestRefreshDoesNotInterruptFullReading(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	refresh := make(chan struct{})
	go func() {
		for ctx.Err() == nil {
			select {
			case refresh <- struct{}{}:
			case <-ctx.Done():
			}
		}
	}()
	readings := 0
	sink := func(_ time.Time, _ ident.Version, rows Rows, err error) {
		if err == nil && rows.Whole {
			readings++
		}
		if readings == 2 {
			cancel()
		}
	}
	follower := NewFollower(0, time.Hour, rand.NewSource(1))
	follower.SetRank(start, 0)
	f := Share(follower)
	if err := Run(ctx, slowTable{30 * time.Millisecond}, f, sink, refresh, time.Now); err != nil {
		t.Fatal(err)
	}
	if readings < 2 {
		t.Errorf("%d full readings ended, want 2: the first one and one after a refresh", readings)
	}
}
