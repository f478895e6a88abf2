package front

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"github.com/currantpier/currantpier/lists"
	"github.com/currantpier/currantpier/node"
	"github.com/currantpier/currantpier/once"
	"github.com/currantpier/currantpier/route"
	"github.com/currantpier/currantpier/sched"
	"github.com/currantpier/currantpier/send"
)

// slotsAt gives slots at the target with the address addr.
type slotsAt struct {
	countedSlots
	addr string
}

func (s *slotsAt) Acquire(context.Context, sched.Request) (sched.Slot, error) {
	s.used++
	return sched.Slot{Target: route.Target{Name: "t", Address: s.addr}}, nil
}

// A planned stop ends while a target is at work on a request whose deadline is later. Guards against a connection that is
// closed without a response when the process exits, and against an order that is then called "not run".
func TestStopAnswersRequestsInProgress(t *testing.T) {
	for kind, wantOutcome := range map[string]string{KindIdempotent: "upstream-failed", KindOrder: "outcome-unknown"} {
		began := make(chan struct{})
		target := listen(t)
		go func() {
			nc, err := target.Accept()
			if err != nil {
				return
			}
			_, _ = nc.Read(make([]byte, 4<<10))
			close(began)
			_, _ = io.Copy(io.Discard, nc) // no response
		}()
		s, o := &slotsAt{addr: target.Addr().String()}, &lastRecord{}
		f := newTestFront(t, s, o)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- f.Run(ctx) }()
		nc := sendRequest(t, f, kind)
		select {
		case <-began:
		case <-time.After(10 * time.Second):
			b := make([]byte, 1<<10)
			n, _ := nc.Read(b)
			t.Fatalf("%s: the target got no request; response: %s", kind, b[:n])
		}
		cancel()
		<-ended // the process would exit now
		_ = nc.SetReadDeadline(time.Now().Add(time.Second))
		resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
		if err != nil {
			t.Errorf("%s: no response when the process exits: %v", kind, err)
		} else if got := resp.Header.Get(HeaderOutcome); got != wantOutcome {
			t.Errorf("%s: outcome %q, want %q", kind, got, wantOutcome)
		}
		if kind == KindOrder && o.state != once.Unknown {
			t.Errorf("%s: record %v, want an unknown outcome", kind, o.state)
		}
		if s.used != 0 {
			t.Errorf("%s: %d slots in use", kind, s.used)
		}
		_ = nc.Close()
	}
}

// newTestFront returns a Front with one customer and one service that has the given slots.
func newTestFront(t *testing.T, s *slotsAt, o *lastRecord) *Front {
	f := New(node.Self{}, listen(t), Dependencies{Client: send.New(1<<20, time.Now), Metrics: metrics.NewRegistry(),
		Logger: log.NewNopLogger(), Clock: time.Now})
	f.scheduler, f.orders = s, o
	f.SetConfig(&lists.Config{Version: 1, Customers: []lists.CustomerPlan{{Customer: "c", Plan: "p"}},
		Uses: []lists.Use{{Plan: "p", Service: "s", Orders: true}}})
	f.SetNotReady("")
	return f
}

// sendRequest sends a request of the customer and returns the connection.
func sendRequest(t *testing.T, f *Front, kind string) net.Conn {
	t.Helper()
	nc, err := net.Dial("tcp", f.ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(nc, strings.Join([]string{"POST /v1/request/s/x HTTP/1.1", "Host: h", "Content-Length: 0",
		HeaderCustomer + ": c", HeaderKind + ": " + kind, HeaderID + ": j.riga-1.25.20.x", HeaderDeadline + ": 20000", "", ""}, "\r\n"))
	return nc
}

func listen(t *testing.T) net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	return ln
}
