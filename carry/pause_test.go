package carry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/ident"
)

// A VM is frozen for seconds while requests wait in its sockets. Guards against sending these requests, after the
// pause, to a target that was withdrawn or whose failure domain was evacuated in the meantime.
func TestRequestsWaitForConfirmationAfterPause(t *testing.T) {
	withdrawn, replacement := newFakeTarget(t, respondOK), newFakeTarget(t, respondOK)
	c := newForwarderFor(t, false, 5*time.Second, withdrawn)
	s := *c.Snapshot()
	s.Targets = map[ident.Service][]fleet.Target{"s": {{Entry: fleet.Entry{ID: "rest", Service: "s", Slots: 8, Ready: true,
		Address: replacement.ln.Addr().String()}}}}
	// The last confirmation is older than pauseThreshold.
	c.ConfirmSnapshot(time.Now().Add(-3 * time.Second))
	statuses := make(chan int)
	for range 8 {
		go func() {
			statuses <- c.Handle(context.Background(), newRequest(t, "Id: 1\r\n"), time.Now()).Status
		}()
	}
	// The update comes once a request waits for the confirmation, or was sent without waiting.
	for waiting := false; !waiting && withdrawn.requests.Load() == 0; time.Sleep(time.Millisecond) {
		c.confirmation.mu.Lock()
		waiting = c.confirmation.next != nil
		c.confirmation.mu.Unlock()
	}
	c.Update(time.Now(), &s)
	c.ConfirmSnapshot(time.Now())
	for range 8 {
		if status := <-statuses; status != http.StatusOK {
			t.Errorf("status %d", status)
		}
	}
	if n := withdrawn.requests.Load(); n != 0 {
		t.Errorf("%d requests were sent to the target that was withdrawn during the pause", n)
	}
}

// Guards against a further attempt, right after the process was paused during the first one, to a target that was withdrawn
// during the pause.
func TestRetryWaitsForConfirmationAfterPause(t *testing.T) {
	var c *Forwarder
	paused := make(chan struct{})
	first := newFakeTarget(t, func(nc net.Conn, _ int, r *http.Request) bool {
		// The last confirmation is older than pauseThreshold.
		c.ConfirmSnapshot(time.Now().Add(-3 * time.Second))
		close(paused)
		_, err := fmt.Fprintf(nc, "HTTP/1.1 503 x\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Id"))
		return err == nil
	})
	withdrawn, replacement := newFakeTarget(t, respondOK), newFakeTarget(t, respondOK)
	c = newForwarderFor(t, true, 5*time.Second, first)
	snapshot := func(targets map[ident.Target]*fakeTarget) *fleet.Snapshot {
		s := *c.Snapshot()
		s.Targets = map[ident.Service][]fleet.Target{}
		for id, f := range targets {
			s.Targets["s"] = append(s.Targets["s"], fleet.Target{Entry: fleet.Entry{ID: id, Service: "s", Slots: 8, Ready: true,
				Address: f.ln.Addr().String()}})
		}
		return &s
	}
	c.Update(time.Now(), snapshot(map[ident.Target]*fakeTarget{"first": first}))
	statuses := make(chan int)
	go func() { statuses <- c.Handle(context.Background(), newRequest(t, "Id: 1\r\n"), time.Now()).Status }()
	<-paused
	c.Update(time.Now(), snapshot(map[ident.Target]*fakeTarget{"withdrawn": withdrawn}))
	for waiting := false; !waiting && withdrawn.requests.Load() == 0; time.Sleep(time.Millisecond) {
		c.confirmation.mu.Lock()
		waiting = c.confirmation.next != nil
		c.confirmation.mu.Unlock()
	}
	c.Update(time.Now(), snapshot(map[ident.Target]*fakeTarget{"rest": replacement}))
	c.ConfirmSnapshot(time.Now())
	if status := <-statuses; status != http.StatusOK || withdrawn.requests.Load() != 0 {
		t.Errorf("status %d, %d requests were sent to the target that was withdrawn during the pause", status, withdrawn.requests.Load())
	}
}

// Guards against a request that is written to its target by the configuration and registry from before a pause of the process,
// because the pause began after the target was chosen, while a connection was being opened.
func TestSendWaitsForConfirmationAfterPause(t *testing.T) {
	target := fleet.Target{Entry: fleet.Entry{ID: "t", Service: "s"}}
	before := &fleet.Snapshot{Config: &fleet.Config{Version: 1}, Targets: map[ident.Service][]fleet.Target{"s": {target}}}
	for _, tt := range []struct {
		name  string
		after *fleet.Snapshot
		want  error
	}{
		{"other homes in a newer configuration", &fleet.Snapshot{Config: &fleet.Config{Version: 2}, Targets: before.Targets}, errConfigChanged},
		{"target withdrawn", &fleet.Snapshot{Config: before.Config}, errTargetWithdrawn},
		{"unchanged", before, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newForwarder()
				now := c.clock()
				c.Update(now, before)
				k := &call{Forwarder: c, r: newRequest(t), deadline: now.Add(time.Minute), choiceSnapshot: before}
				c.ConfirmSnapshot(now.Add(-3 * time.Second))
				sent := make(chan error, 1)
				go func() {
					_, err := k.build(context.Background(), target)
					sent <- err
				}()
				synctest.Wait()
				c.Update(now, tt.after)
				c.ConfirmSnapshot(now)
				if err := <-sent; !errors.Is(err, tt.want) {
					t.Errorf("error %v, want %v", err, tt.want)
				}
			})
		})
	}
}

// Guards against requests that wait although the process was not paused, or without bound during an outage of the
// store.
func TestPauseDetection(t *testing.T) {
	start := time.Unix(1000, 0)
	var p confirmation
	if p.nextIfPaused(start) != nil {
		t.Error("pause reported before the first confirmation")
	}
	p.confirm(start)
	if p.nextIfPaused(start.Add(pauseThreshold-1)) != nil {
		t.Error("pause reported after less than pauseThreshold")
	}
	next := p.nextIfPaused(start.Add(pauseThreshold))
	if next == nil {
		t.Fatal("no pause reported after pauseThreshold")
	}
	p.confirm(start.Add(pauseThreshold))
	<-next
	c := newForwarderFor(t, true, 5*time.Second, newFakeTarget(t, respondOK))
	c.ConfirmSnapshot(time.Now().Add(-time.Minute))
	if a := c.Handle(context.Background(), newRequest(t, "Id: 1\r\n"), time.Now()); a.Status != http.StatusOK {
		t.Errorf("without a confirmation after a pause: status %d, want 200 after the wait", a.Status)
	}
}

// Guards against missing a suspension of the machine, which the monotonic clock doesn't count.
func TestGapCountsSuspension(t *testing.T) {
	from := time.Now()
	// Round(0) removes the monotonic reading, so that only the wall clock advances.
	to := from.Round(0).Add(5 * time.Second)
	if got := ElapsedWithSuspend(from, to); got < 5*time.Second {
		t.Errorf("a gap of %v, want 5s", got)
	}
}
