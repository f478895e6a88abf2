package edge

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/currantpier/currantpier/carry"
	"github.com/currantpier/currantpier/codec"
	"github.com/currantpier/currantpier/drain"
	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/inlet"
	"github.com/currantpier/currantpier/state"
	"github.com/currantpier/currantpier/trace"
)

// slowHandler responds once the context of a request has ended, with status 502 if the process stops.
type slowHandler struct{ entered chan string }

func (h slowHandler) Handle(ctx context.Context, r *codec.Request, _ time.Time) *codec.Response {
	h.entered <- r.Path()
	<-ctx.Done()
	if context.Cause(ctx) != carry.ErrStopping {
		return codec.NewResponse(http.StatusOK, "caller left")
	}
	return codec.NewResponse(http.StatusBadGateway, r.Path())
}

func (slowHandler) AllowsPipelining(*codec.Request) bool { return true }

// stoppingNode returns a node whose stop was signaled at start and takes 5 s, its address and its handler.
func stoppingNode(t *testing.T, start time.Time) (*Node, string, slowHandler) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := slowHandler{make(chan string, 4)}
	n := &Node{cfg: Config{Config: state.Config{Log: trace.New("vm")}}, stop: drain.NewStop(time.Second, 5*time.Second)}
	n.callerServer = inlet.New(h, func() *fleet.Limits { return nil }, time.Now)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- n.callerServer.Serve(ctx, ln) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	n.stop.HandleSignal(start)
	return n, ln.Addr().String(), h
}

// send opens a connection and writes text.
func send(t *testing.T, address, text string) net.Conn {
	t.Helper()
	nc, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = nc.Close() })
	_ = nc.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.WriteString(nc, text); err != nil {
		t.Fatal(err)
	}
	return nc
}

// Guards against an exit that cuts requests in progress without a response at the end of the grace period.
func TestStopAnswersBeforeExit(t *testing.T) {
	start := time.Unix(1000, 0)
	n, address, h := stoppingNode(t, start)
	nc := send(t, address, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
	<-h.entered
	withdrawn := make(chan struct{})
	close(withdrawn)
	for _, d := range []time.Duration{time.Second, 3 * time.Second, 4700 * time.Millisecond} {
		if n.drainStep(start.Add(d), withdrawn) {
			t.Fatalf("exit after %v with a request in progress", d)
		}
	}
	n.drainStep(start.Add(4800*time.Millisecond), withdrawn)
	b, err := io.ReadAll(nc)
	if want := "HTTP/1.1 502 "; err != nil || len(b) < len(want) || string(b[:len(want)]) != want {
		t.Errorf("response %q, error %v, want 502 and the end of the connection", b, err)
	}
	if !n.drainStep(start.Add(5*time.Second), withdrawn) {
		t.Error("no exit at the end of the grace period")
	}
}

// A caller sends the body of a request slowly. Guards against a process that waits for it beyond the grace period, is killed
// then, and cuts the request that it has meanwhile sent to a target.
func TestSlowBodyDoesNotDelayExit(t *testing.T) {
	start := time.Unix(1000, 0)
	n, address, h := stoppingNode(t, start)
	send(t, address, "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nx")
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if _, connections := n.callerServer.Active(); connections > 0 { // its arrival must be polled
			break
		}
	}
	withdrawn := make(chan struct{})
	close(withdrawn)
	if n.drainStep(start.Add(3*time.Second), withdrawn) {
		t.Error("exit while a request is being read and there is time for it")
	}
	if !n.drainStep(start.Add(5*time.Second), withdrawn) {
		t.Error("no exit at the end of the grace period")
	}
	if len(h.entered) > 0 {
		t.Errorf("request %s was admitted", <-h.entered)
	}
}
