package send

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/currantpier/currantpier/retry"
)

// Guards against an order that is delivered after its attempt was given up: a partition that holds it back would let it run
// long after its caller was told that the outcome is unknown.
func TestGivenUpOrderIsNotDelivered(t *testing.T) {
	const n = 256 << 10
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	givenUp, read := make(chan struct{}), make(chan error, 1)
	go func() {
		nc, err := ln.Accept()
		if err != nil {
			read <- err
			return
		}
		defer func() { _ = nc.Close() }()
		<-givenUp
		_, err = io.ReadAll(nc)
		read <- err
	}()
	c := New(1<<20, time.Now)
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	req.SetRequestURI("/order")
	req.Header.SetMethod("POST")
	req.SetBody(make([]byte, n))
	res := c.Do(Request{Address: ln.Addr().String(), Kind: retry.Order, ID: "o", Deadline: time.Now().Add(100 * time.Millisecond), HTTP: req}, resp)
	if res.Failure != retry.Deadline {
		t.Fatalf("%+v, want the failure %v", res, retry.Deadline)
	}
	close(givenUp)
	if err := <-read; !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the target read the given up order until %v, want a reset", err)
	}
}
