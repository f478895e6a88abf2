package send

import (
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/currantpier/currantpier/retry"
	"github.com/currantpier/currantpier/stubs"
)

// respond returns the address of a target that answers each request with text and then closes the connection.
func respond(t *testing.T, text string) (address string) {
	t.Helper()
	raw, err := stubs.NewRaw(text)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(raw.Close)
	return raw.Address()
}

// A target closes the connection within its response. Guards against a head or body that was cut and is returned as
// complete, and against an order that is then sent to another target.
func TestResponseCutAtEachByte(t *testing.T) {
	for name, text := range map[string]string{
		"length":                 "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
		"chunks":                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nChecksum: 1\r\n\r\n",
		"length and chunks":      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"after interim response": "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
		"no body":                "HTTP/1.1 204 No Content\r\nDate: now\r\n\r\n",
	} {
		for n := range len(text) + 1 {
			for _, kind := range []retry.Request{retry.Idempotent, retry.Order} {
				addr := respond(t, text[:n])
				var req fasthttp.Request
				var resp fasthttp.Response
				req.SetRequestURI("http://target/")
				res := New(1<<20, time.Now).Do(Request{
					Address: addr, Kind: kind, Deadline: time.Now().Add(10 * time.Second), HTTP: &req,
				}, &resp)
				whole := n == len(text)
				if res.OK != whole || !res.Written || !whole && retry.Classify(res.Failure, retry.Order, res.Written) != retry.Unknown {
					t.Errorf("%s, cut after %d of %d bytes: %+v, status %d, body %q", name, n, len(text), res, resp.StatusCode(), resp.Body())
				}
			}
		}
	}
}

// Guards against a response that may have been cut and is returned as complete: where it states no length, or one that
// does not count because of its protocol version, nothing shows whether the body is whole.
func TestResponseWithoutLengthIsNotComplete(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\n\r\nhello",
		"HTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhe",
	} {
		c := New(1<<20, time.Now)
		var req fasthttp.Request
		var resp fasthttp.Response
		req.SetRequestURI("http://target/")
		res := c.Do(Request{Address: respond(t, text), Deadline: time.Now().Add(10 * time.Second), HTTP: &req}, &resp)
		if res.OK || res.Failure != retry.Truncated {
			t.Errorf("%q: %+v, body %q", text, res, resp.Body())
		}
		if addr := respond(t, text); c.Forward(addr, &req, &resp, time.Now().Add(10*time.Second)) {
			t.Errorf("%q: a forwarded request has the complete response %q", text, resp.Body())
		}
		if body, err := c.Get(respond(t, text), "/load", 10*time.Second); err == nil {
			t.Errorf("%q: the document %q was read", text, body)
		}
	}
}

// Guards against an interim response that the caller gets as the response, a refusal that contradicts itself and counts
// as "not run", and a second target that then gets an order which the first may have run.
func TestAmbiguousResponse(t *testing.T) {
	refusal := "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n"
	for text, want := range map[string]retry.Failure{
		"HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n": retry.Broken,
		"HTTP/1.1 100 Continue\r\nShed: not-run\r\n\r\n" + refusal + "\r\n":                    retry.Other,
		"HTTP/1.1 1000 x\r\nContent-Length: 0\r\n\r\n":                                         retry.Broken,
		refusal + "Shed: not-run\r\nShed: ran\r\n\r\n":                                         retry.Other,
		refusal + "Shed: not-run, ran\r\n\r\n":                                                 retry.Other,
		refusal + "shed: not-run\r\n\r\n":                                                      retry.Rejected,
	} {
		var req fasthttp.Request
		var resp fasthttp.Response
		req.SetRequestURI("http://target/")
		res := New(1<<20, time.Now).Do(Request{
			Address: respond(t, text), Kind: retry.Order, Deadline: time.Now().Add(10 * time.Second), HTTP: &req,
		}, &resp)
		if res.OK || res.Failure != want {
			t.Errorf("%q: %+v, status %d; want failure %d", text, res, resp.StatusCode(), want)
		}
	}
}
