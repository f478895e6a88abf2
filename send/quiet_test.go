package send

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/currantpier/currantpier/outlet"
	"github.com/currantpier/currantpier/retry"
)

// A target sends a response again while its connection is idle. Guards against returning it to the caller of the next request.
func TestResponseSentAgainIsNotReturned(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	idle := make(chan struct{})
	go func() {
		for _, body := range []string{"first", "second"} {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			defer func() { _ = nc.Close() }()
			text := "HTTP/1.1 200 OK\r\nContent-Length: " + map[string]string{"first": "5", "second": "6"}[body] + "\r\n\r\n" + body
			_, _ = nc.Read(make([]byte, 4<<10)) // a request that is cut shows as a wrong response
			_, _ = io.WriteString(nc, text)
			if body == "first" {
				<-idle
				_, _ = io.WriteString(nc, text)
			}
		}
	}()
	var conn net.Conn
	c := New(1<<20, time.Now)
	c.target(ln.Addr().String()).pooled.Dial = func(addr string) (net.Conn, error) {
		nc, err := c.dial(addr)
		if conn == nil {
			conn = nc
		}
		return nc, err
	}
	do := func(newConnection bool) (Result, string) {
		var req fasthttp.Request
		var resp fasthttp.Response
		req.SetRequestURI("http://target/")
		res := c.Do(Request{Address: ln.Addr().String(), Deadline: time.Now().Add(10 * time.Second), NewConnection: newConnection, HTTP: &req}, &resp)
		return res, string(resp.Body())
	}
	if res, body := do(false); !res.OK || body != "first" {
		t.Fatalf("%+v %q", res, body)
	}
	close(idle)
	if q, ok := conn.(*quietConn); ok {
		conn = q.Conn
	}
	for end := time.Now().Add(10 * time.Second); outlet.IsOpenAndQuiet(conn) && time.Now().Before(end); {
		time.Sleep(time.Millisecond) // the arrival of bytes must be polled
	}
	if res, body := do(false); res.OK || res.Failure != retry.Stale || res.Written {
		t.Errorf("%+v %q, want a stale connection on which nothing was written", res, body)
	}
	if res, body := do(true); !res.OK || body != "second" {
		t.Errorf("on a new connection: %+v %q", res, body)
	}
}

// A target sends a response and the begin of a copy at once, and the rest of the copy while the next request is in progress. Guards
// against a request on that connection, whose response would begin within the copy.
func TestBytesAfterResponseEndConnection(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	go func() {
		for _, extra := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n", ""} {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			defer func() { _ = nc.Close() }()
			_, _ = nc.Read(make([]byte, 4<<10))
			_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"+extra)
			if n, _ := nc.Read(make([]byte, 4<<10)); n > 0 {
				_, _ = io.WriteString(nc, "\r\nok")
			}
		}
	}()
	c := New(1<<20, time.Now)
	for range 2 {
		var req fasthttp.Request
		var resp fasthttp.Response
		req.SetRequestURI("http://target/")
		res := c.Do(Request{Address: ln.Addr().String(), Deadline: time.Now().Add(10 * time.Second), HTTP: &req}, &resp)
		if !res.OK || string(resp.Body()) != "ok" {
			t.Errorf("%+v %q", res, resp.Body())
		}
	}
}
