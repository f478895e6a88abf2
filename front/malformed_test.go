package front

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/currantpier/currantpier/once"
	"github.com/currantpier/currantpier/stubs"
)

// response returns what the caller of a request gets when each target sends text and closes the connection.
func response(t *testing.T, kind, text string, o *lastRecord) *http.Response {
	t.Helper()
	target, err := stubs.NewRaw(text)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(target.Close)
	f := newTestFront(t, &slotsAt{addr: target.Address()}, o)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- f.Run(ctx) }()
	nc := sendRequest(t, f, kind)
	defer func() {
		_ = nc.Close()
		cancel()
		<-ended
	}()
	return readResponse(t, nc)
}

func readResponse(t *testing.T, nc net.Conn) *http.Response {
	t.Helper()
	_ = nc.SetReadDeadline(time.Now().Add(20 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(resp.Body); err != nil {
		t.Fatal(err)
	}
	return resp
}

// Guards against a malformed response of a target that reaches the caller, and against an order that is then called "not run".
func TestMalformedResponseReachesNoCaller(t *testing.T) {
	const length, chunks = "Content-Length: 2\r\n\r\nok", "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"
	for _, text := range []string{
		"HTTP/1.1 000 OK\r\n" + length, "HTTP/1.1 200 O\rK\r\n" + length, "HTTP/1.1 200 OK\r\nA B: c\r\n" + length,
		"HTTP/1.1 200 OK\r\n" + chunks + "A B: c\r\n\r\n", "HTTP/1.1 503 x\r\nShed : not-run\r\n" + length,
	} {
		for kind, want := range map[string]string{KindIdempotent: "upstream-failed", KindOrder: "outcome-unknown"} {
			o := &lastRecord{}
			resp := response(t, kind, text, o)
			if got := resp.Header.Get(HeaderOutcome); got != want {
				t.Errorf("%q, %s: %s %v, want outcome %s", text, kind, resp.Status, resp.Header, want)
			}
			if kind == KindOrder && o.state != once.Unknown {
				t.Errorf("%q: record %v of the order, want an unknown outcome", text, o.state)
			}
		}
	}
}

// Guards against the version of a target's response in that to the caller, whose connection is one of HTTP/1.1 (RFC 9110 section 2.5).
func TestResponseHasOwnVersion(t *testing.T) {
	resp := response(t, KindIdempotent, "HTTP/1.0 299 Odd\r\nContent-Length: 2\r\n\r\nok", &lastRecord{})
	if resp.Proto != "HTTP/1.1" || resp.Status != "299 Odd" || resp.ContentLength != 2 {
		t.Errorf("%s %s with a body of %d bytes, want HTTP/1.1 299 Odd with 2", resp.Proto, resp.Status, resp.ContentLength)
	}
}
