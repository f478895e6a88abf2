package front

import (
	"net"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"github.com/currantpier/currantpier/node"
)

// fullConn is a connection whose peer reads nothing: a write ends at its deadline only.
type fullConn struct {
	net.Conn
	deadline chan time.Time
}

func (c *fullConn) Write([]byte) (int, error) {
	select {
	case d := <-c.deadline:
		_ = d // the deadline counts as reached
		return 0, &net.OpError{Op: "write", Err: errWriteTimeout{}}
	default:
		panic("a write without a deadline")
	}
}

func (c *fullConn) SetWriteDeadline(d time.Time) error {
	c.deadline <- d
	return nil
}

type errWriteTimeout struct{}

func (errWriteTimeout) Error() string { return "i/o timeout" }
func (errWriteTimeout) Timeout() bool { return true }

// Guards against callers that read no responses and each keep a connection, its memory and a goroutine for good.
func TestResponseToSlowCallerEnds(t *testing.T) {
	f := New(node.Self{}, &net.TCPListener{}, Dependencies{Metrics: metrics.NewRegistry(), Logger: log.NewNopLogger(), Clock: time.Now})
	client, server := net.Pipe()
	defer func() { _ = client.Close() }()
	ended := make(chan any, 1)
	go func() {
		defer func() { ended <- recover() }()
		_ = f.server().ServeConn(&fullConn{Conn: server, deadline: make(chan time.Time, 4)})
	}()
	if _, err := client.Write([]byte("GET /unknown HTTP/1.1\r\nHost: h\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	if v := <-ended; v != nil {
		t.Error(v)
	}
}
