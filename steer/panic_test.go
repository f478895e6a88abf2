package steer

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/lease"
	"github.com/currantpier/currantpier/store"
)

// panickingTransport panics in the first call and closes second in the second one.
type panickingTransport struct {
	calls  int
	second chan struct{}
}

func (p *panickingTransport) RoundTrip(*http.Request) (*http.Response, error) {
	switch p.calls++; p.calls {
	case 1:
		panic("an unexpected value")
	case 2:
		close(p.second)
	}
	return nil, context.DeadlineExceeded
}

// Guards against an input of the plan that ends each steer process in turn, as each acquires the lease.
func TestPanicEndsOneRound(t *testing.T) {
	c := newCluster(t)
	d := c.daemon("a")
	tr := &panickingTransport{second: make(chan struct{})}
	d.planner.keeper = lease.NewKeeper(store.New("http://store", store.WithHTTPClient(&http.Client{Transport: tr})), "a", 1, c.clock)
	d.members.RecordMessage(c.now, "a", 1)
	d.members.SetList(c.now, []store.VMInfo{{Name: "a", Role: store.RoleEntry, Place: ident.Place{Domain: "d"}}})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- d.planner.Run(ctx) }()
	select {
	case <-tr.second:
	case <-time.After(20 * time.Second):
		t.Error("no round after a panic")
	}
	cancel()
	<-ended
}
