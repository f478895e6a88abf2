package outlet

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/currantpier/currantpier/codec"
)

const (
	strayRefusal = "HTTP/1.1 503 x\r\nId: first\r\nContent-Length: 0\r\n\r\n"
	trueResponse = "HTTP/1.1 200 x\r\nId: second\r\nContent-Length: 2\r\n\r\nok"
)

// startTarget returns a pool and a target whose connections are served by serve.
func startTarget(t *testing.T, serve func(nc net.Conn)) (*Pool, Target) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(nc)
		}
	}()
	return New(time.Now, 4<<20, func(Target, time.Duration) {}), Target{ID: "t", Address: ln.Addr().String()}
}

// do sends n bytes as the request with the given id.
func do(t *testing.T, p *Pool, target Target, id string, n int) *codec.Response {
	t.Helper()
	a, err := p.Do(context.Background(), target, Message{
		Method: "POST", Build: func() ([][]byte, error) { return [][]byte{bytes.Repeat([]byte("x"), n)}, nil },
		Matches: func(a *codec.Response) bool { return a.Field("Id") == id },
	})
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// Guards against the use of an idle connection on which bytes have arrived, which belong to no request.
func TestConnectionWithUnsolicitedBytesIsDropped(t *testing.T) {
	idle := make(chan struct{})
	first := true
	p, target := startTarget(t, func(nc net.Conn) {
		defer func() { _ = nc.Close() }()
		_, _ = io.ReadFull(nc, make([]byte, 1)) // an error shows as a missing response
		if !first {
			_, _ = io.WriteString(nc, trueResponse)
			return
		}
		first = false
		_, _ = io.WriteString(nc, "HTTP/1.1 200 x\r\nId: first\r\nContent-Length: 0\r\n\r\n")
		<-idle
		_, _ = io.WriteString(nc, strayRefusal)
		_, _ = nc.Read(make([]byte, 1)) // waits for the end of the connection
	})
	do(t, p, target, "first", 1)
	close(idle)
	c := p.group(target).idle[0]
	for end := time.Now().Add(10 * time.Second); c.isOpenAndQuiet() && time.Now().Before(end); {
		time.Sleep(time.Millisecond) // the arrival of bytes must be polled
	}
	if a := do(t, p, target, "second", 1); a.Status != 200 || string(a.Body) != "ok" {
		t.Errorf("%d %q", a.Status, a.Body)
	}
	if stats, open := p.Stats(); stats.Opened != 2 || open > 1 {
		t.Errorf("%d connections opened, %d open, want 2 and one at most", stats.Opened, open)
	}
}

// Guards against a refusal of an earlier request that arrives before the present one is completely written, and against a
// request that is not completely written because of it: the target would read other bytes as its rest.
func TestRefusalWhileRequestIsWritten(t *testing.T) {
	const n = 4 << 20
	p, target := startTarget(t, func(nc net.Conn) {
		defer func() { _ = nc.Close() }()
		_, _ = io.ReadFull(nc, make([]byte, 1)) // an error shows as a missing response
		_, _ = io.WriteString(nc, strayRefusal)
		if _, err := io.ReadFull(nc, make([]byte, n-1)); err == nil {
			_, _ = io.WriteString(nc, trueResponse)
		}
	})
	if a := do(t, p, target, "second", n); a.Status != 200 || string(a.Body) != "ok" {
		t.Errorf("%d %q", a.Status, a.Body)
	}
}
