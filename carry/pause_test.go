package carry

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/ident"
)

// Pattern: a VM is frozen for seconds, and requests wait in its sockets. Guards against requests that are the first to act
// after the pause and go to a target that was told to leave meanwhile, or whose failure domain is evacuated.
func TestPausedProcessWaitsForNews(t *testing.T) {
	old, rest := newFakeTarget(t, whole), newFakeTarget(t, whole)
	c := atTargets(t, false, 5*time.Second, old)
	s := *c.Snapshot()
	s.Targets = map[ident.Service][]fleet.Target{"s": {{Entry: fleet.Entry{ID: "rest", Service: "s", Slots: 8, Ready: true,
		Address: rest.ln.Addr().String()}}}}
	// The clock of the last confirmation was read before the pause.
	c.Confirm(time.Now().Add(-3 * time.Second))
	answers := make(chan int)
	for range 8 {
		go func() {
			answers <- c.Handle(context.Background(), request(t, "Id: 1\r\n"), time.Now()).Status
		}()
	}
	// The news comes when the requests have found out about the pause, or were sent without it.
	for waits := false; !waits && old.requests.Load() == 0; time.Sleep(time.Millisecond) {
		c.confirmation.mu.Lock()
		waits = c.confirmation.next != nil
		c.confirmation.mu.Unlock()
	}
	c.Update(time.Now(), &s)
	c.Confirm(time.Now())
	for range 8 {
		if status := <-answers; status != http.StatusOK {
			t.Errorf("status %d", status)
		}
	}
	if n := old.requests.Load(); n != 0 {
		t.Errorf("%d requests were sent to the target that left during the pause", n)
	}
}

// Guards against requests that wait although nothing was paused, or for ever while the store is away.
func TestConfirmation(t *testing.T) {
	start := time.Unix(1000, 0)
	var p confirmation
	if p.paused(start) != nil {
		t.Error("paused before the first confirmation")
	}
	p.confirm(start)
	if p.paused(start.Add(pausedAfter-1)) != nil {
		t.Error("a gap of less than pausedAfter counts as a pause")
	}
	next := p.paused(start.Add(pausedAfter))
	if next == nil {
		t.Fatal("a pause was not seen")
	}
	p.confirm(start.Add(pausedAfter))
	<-next
	c := atTargets(t, true, 5*time.Second, newFakeTarget(t, whole))
	c.Confirm(time.Now().Add(-time.Minute))
	if a := c.Handle(context.Background(), request(t, "Id: 1\r\n"), time.Now()); a.Status != http.StatusOK {
		t.Errorf("without news after a pause: %d, want the request to be served in the end", a.Status)
	}
}

// Guards against a suspension of the machine that the steady clock does not show.
func TestGapCountsSuspension(t *testing.T) {
	from := time.Now()
	// Only the time of day went on: the sum without the reading of the steady clock.
	to := from.Round(0).Add(5 * time.Second)
	if got := Gap(from, to); got < 5*time.Second {
		t.Errorf("a gap of %v, want 5s", got)
	}
}
