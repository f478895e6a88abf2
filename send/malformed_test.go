package send

import (
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/currantpier/currantpier/retry"
)

// testMalformed sends a response to a request, an order, a forwarded order and a request for a document. None may get it as a
// response, and the order may have run.
func testMalformed(t *testing.T, text string) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	c := New(1<<20, time.Now)
	var req fasthttp.Request
	var resp fasthttp.Response
	req.SetRequestURI("http://target/")
	for _, kind := range []retry.Request{retry.Idempotent, retry.Order} {
		res := c.Do(Request{Address: respond(t, text), Kind: kind, Deadline: deadline, HTTP: &req}, &resp)
		if res.OK || res.Failure != retry.Broken || !res.Written {
			t.Errorf("%q, kind %v: %+v, status %d, body %q", text, kind, res, resp.StatusCode(), resp.Body())
		}
	}
	if c.Forward(respond(t, text), &req, &resp, deadline) {
		t.Errorf("%q: a forwarded request has the response %d %q", text, resp.StatusCode(), resp.Body())
	}
	if body, err := c.Get(respond(t, text), "/load", 10*time.Second); err == nil {
		t.Errorf("%q: the document %q was read", text, body)
	}
}

// Guards against a response with an invalid status that reaches the caller as 200, or is skipped as an interim response.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	const rest = "\r\nContent-Length: 2\r\n\r\nok"
	for _, text := range []string{
		"HTTP/1.1 000 OK" + rest, "HTTP/1.1 000" + rest, "HTTP/1.1 600 x" + rest, "HTTP/1.1 999 x" + rest,
		"HTTP/1.1 042 x\r\n\r\nHTTP/1.1 200 OK" + rest,
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK" + rest,
		"HTTP/1.1 000 x\r\nShed: not-run" + rest,
	} {
		testMalformed(t, text)
	}
}

// Guards against a header with an invalid field name that reaches the caller, in a line of the header or as the begin of the body,
// and against a refusal with one that promises "not run".
func TestInvalidFieldNameIsNoResponse(t *testing.T) {
	const status, length = "HTTP/1.1 200 OK\r\n", "Content-Length: 2\r\n\r\nok"
	for _, text := range []string{
		status + "A B: c\r\n" + length,
		status + "A\x01: c\r\n" + length,
		status + "Content-Length : 2\r\n\r\nok",
		status + "X: a\r\n\nContent-Length: 2\r\n\r\nok",
		status + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nA B: c\r\n\r\n",
		status + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nA : c\r\n\r\n",
		"HTTP/1.1 103 x\r\nA B: c\r\n\r\n" + status + length,
		"HTTP/1.1 503 x\r\nShed : not-run\r\n" + length,
		"HTTP/1.1 503 x\r\nShed: not-run\r\nA B: c\r\n" + length,
	} {
		testMalformed(t, text)
	}
}
