package codec

import (
	"bytes"
	"strings"
	"testing"
)

// Guards against response bytes that crash the process, a body over the limit, and a response that changes when it is
// forwarded.
func FuzzReadResponse(f *testing.F) {
	for _, s := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nA: b\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\nabc", "HTTP/1.1 999 ?\r\nContent-Length: -2\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\n", "HTTP/1.1 200 OK\r\nA: b\r\n c\r\nKeep-Alive: timeout=-1\r\n\r\n", "\x00\xff\r\n\r\n",
		"HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nA B: c\r\nD : e\r\n\r\n", "HTTP/1.1 200 OK\r\n\nContent-Length: 1\r\n\r\na",
	} {
		f.Add([]byte(s))
	}
	const limit = 64
	f.Fuzz(func(t *testing.T, b []byte) {
		a, err := ReadResponse(newReader(string(b)), "GET", limit)
		if err != nil {
			return
		}
		if a.Status < 200 || a.Status > 599 {
			t.Errorf("status %d", a.Status)
		}
		for _, f := range a.Fields {
			if strings.ContainsFunc(f.Name, func(c rune) bool { return c <= ' ' || c >= 0x7f || c == ':' }) {
				t.Errorf("field name %q", f.Name)
			}
		}
		if len(a.Body) > limit {
			t.Fatalf("body of %d bytes, limit %d", len(a.Body), limit)
		}
		reparsed, err := ReadResponse(newReader(joined(a.Encode(false))), "GET", limit)
		if err != nil {
			t.Fatalf("the forwarded response cannot be parsed: %v", err)
		}
		if !bytes.Equal(a.Body, reparsed.Body) || a.Status != reparsed.Status {
			t.Errorf("%d %q became %d %q", a.Status, a.Body, reparsed.Status, reparsed.Body)
		}
	})
}

// Guards against request bytes that crash the process.
func FuzzReadRequest(f *testing.F) {
	for _, s := range []string{
		"GET /a HTTP/1.1\r\nHost: h\r\n\r\n", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc",
		"PUT /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n", "GET  HTTP/1.1\r\n\r\n", "\x00",
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		r := &Request{}
		br := newReader(string(b))
		if r.ReadHeader(br) != nil || r.ReadBody(br, 64) != nil {
			return
		}
		_, _, _ = r.Method(), r.Host(), r.Path()
		if len(joined(r.Encode())) == 0 {
			t.Error("a parsed request is forwarded as zero bytes")
		}
	})
}
