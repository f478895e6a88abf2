package feed

import (
	"context"
	"math/rand"
	"testing"
	"time"

	"github.com/currantpier/currantpier/ident"
)

// Guards against a call that was in progress while the store was restored and whose result withdraws the request to read the table
// in the new era: the VM stays on the lost history, or waits for up to a minute.
func TestResultOfEarlierEraKeepsRequest(t *testing.T) {
	restored := ident.NewVersion(2, 3)
	for _, tt := range []struct {
		name    string
		request func(f *Follower)
		result  Rows
	}{
		{"changes", func(f *Follower) { f.RequestCatchUp(at(1.1), restored) }, Rows{After: 5, Version: 6}},
		{"full reading", func(f *Follower) { f.RequestCatchUp(at(1.1), restored) }, Rows{After: 5, Version: 6, Full: true}},
		{"full reading, requested before", func(f *Follower) { f.RequestFullRead(at(0.9)); f.RequestCatchUp(at(1.1), restored) },
			Rows{After: 5, Version: 6, Full: true}},
		{"changes that a peer has sent before", func(f *Follower) {
			f.ApplyPeerChanges(at(1.1), 5, 8)
			f.RequestCatchUp(at(1.1), restored)
		}, Rows{After: 5, Version: 6}},
		{"changes, requested without a version", func(f *Follower) { f.RequestFullRead(at(1.1)) }, Rows{After: 5, Version: 6}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := NewFollower(0, 20*time.Second, rand.NewSource(1))
			f.RecordResult(at(0), at(0), Rows{Full: true, Version: 5}, nil)
			tt.request(f)
			f.RecordResult(at(1.2), at(1), tt.result, nil)
			if s := f.Next(); !s.Full || s.At.After(at(1.4)) {
				t.Errorf("next call %+v, want a full reading at once", s)
			}
			f.RecordResult(at(1.3), at(1.25), Rows{After: 5, Version: restored, Full: true}, nil)
			if s := f.Next(); s.Full || s.After != restored {
				t.Errorf("next call %+v after the reading of the new era, want changes", s)
			}
		})
	}
}

// Guards against the state of a peer of the lost history that withdraws the request to read the table in the new era.
func TestPeerStateOfEarlierEraKeepsRequest(t *testing.T) {
	f := NewFollower(time.Second, 0, rand.NewSource(1))
	f.RecordResult(at(0), at(0), Rows{Full: true, Version: 5}, nil)
	f.RequestCatchUp(at(1), ident.NewVersion(2, 3))
	if !f.ApplyPeerSnapshot(9) || !f.Next().Full {
		t.Errorf("next call %+v after a peer's state of the earlier era, want a full reading", f.Next())
	}
	if !f.ApplyPeerSnapshot(ident.NewVersion(2, 4)) || f.Next().Full {
		t.Errorf("next call %+v after a peer's state of the new era, want changes", f.Next())
	}
}

// Guards against a VM that starts with the state of a peer of the lost history, although another one has told it of the new era, and
// that does not read the table for up to a minute.
func TestStartWithStateOfEarlierEra(t *testing.T) {
	f := NewFollower(0, 20*time.Second, rand.NewSource(1))
	f.RequestCatchUp(at(1), ident.NewVersion(2, 3))
	if !f.InitFromPeer(at(1.1), 9) || !f.Next().Full || f.Next().At.After(at(1.2)) {
		t.Errorf("next call %+v after a peer's state of the earlier era, want a full reading at once", f.Next())
	}
	f.RecordResult(at(1.3), at(1.2), Rows{After: 9, Version: ident.NewVersion(2, 4), Full: true}, nil)
	if f.Next().Full {
		t.Errorf("next call %+v after the reading of the new era, want changes", f.Next())
	}
}

// crossingTable answers a call for changes when it is cancelled: the answer had arrived already.
type crossingTable struct{ calls []string }

func (c *crossingTable) Read(context.Context) (Rows, error) {
	c.calls = append(c.calls, "full")
	return Rows{Full: true, Version: 5}, nil
}

func (c *crossingTable) Changes(ctx context.Context, after ident.Version, _ time.Duration) (Rows, error) {
	c.calls = append(c.calls, "changes")
	<-ctx.Done()
	return Rows{Version: after}, nil
}

// Guards against a refresh that is lost because the call for changes that it interrupts ends with an answer.
func TestRefreshIsNotLostWithAnswer(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	refresh := make(chan struct{}, 1)
	c := &crossingTable{}
	sink := func(time.Time, Rows, error) {
		if len(c.calls) == 3 {
			cancel()
			return
		}
		refresh <- struct{}{}
	}
	follower := NewFollower(0, time.Hour, rand.NewSource(1))
	follower.SetRank(start, 0)
	now := start
	clock := func() time.Time { now = now.Add(time.Millisecond); return now }
	if err := Run(ctx, c, NewSyncFollower(follower), sink, refresh, clock); err != nil {
		t.Fatal(err)
	}
	if len(c.calls) < 3 || c.calls[2] != "full" {
		t.Errorf("calls %v, want a full reading after the refresh", c.calls)
	}
}
