package codec

import (
	"bufio"
	"errors"
	"strings"
	"testing"
)

// A response whose status line has no valid status is no response (RFC 9110 section 15). Guards against 000, which was returned as
// 200, against 001 to 099, which were skipped as interim responses, and against rejecting unusual statuses.
func TestStatusRange(t *testing.T) {
	const final = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno"
	for _, tt := range []struct {
		status string
		want   int
	}{
		{"000", 0}, {"000 OK", 0}, {" 000", 0}, {"001", 0}, {"099", 0}, {"600", 0}, {"999", 0},
		{"00", 0}, {"0200", 0}, {"+20", 0}, {"-20", 0}, {"2OO", 0}, {"", 0},
		{"200", 200}, {" 200", 200}, {"200 ", 200}, {"200 000", 200}, {"299 x", 299}, {"402", 402}, {"599 x", 599},
	} {
		in := "HTTP/1.1 " + tt.status + "\r\nContent-Length: 2\r\n\r\nok"
		a, err := ReadResponse(newReader(in+final), "GET", 100)
		if tt.want == 0 && !errors.Is(err, ErrMalformed) {
			t.Errorf("status %q: response %+v, error %v; want %v", tt.status, a, err, ErrMalformed)
		}
		if tt.want != 0 && (err != nil || a.Status != tt.want || string(a.Body) != "ok") {
			t.Errorf("status %q: response %+v, error %v; want status %d", tt.status, a, err, tt.want)
		}
		// Nothing tells where a response with an invalid status ends, so that the next one can't be used either.
		in = "HTTP/1.1 " + tt.status + "\r\n\r\n"
		if a, err := ReadResponse(newReader(in+final), "GET", 100); tt.want == 0 && err == nil {
			t.Errorf("status %q, then 200: response %+v", tt.status, a)
		}
	}
}

// A field name has no blanks and no control bytes, and no blank comes before its colon (RFC 9112 section 5.1). Guards against such
// a line that is passed on, or that decides where the body begins or ends, and against rejecting unusual names and values.
func TestFieldNames(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"
	for _, tt := range []struct {
		line string
		ok   bool
	}{
		{"A B: c\r\n", false}, {" A: b\r\n", false}, {"\tA: b\r\n", false}, {"A : b\r\n", false}, {"A\t: b\r\n", false}, {"A\tB: c\r\n", false},
		{"\x00A: b\r\n", false}, {"A\x01: b\r\n", false}, {"A\x7f: b\r\n", false}, {"A\rB: c\r\n", false}, {"\rA: b\r\n", false},
		{"A\nB: c\r\n", false}, {"\nA: b\r\n", false}, {"\r\nA: b\r\n", true}, {"A: b\n\r\nC: d\r\n", false}, {"A\x80: b\r\n", false},
		{": b\r\n", false}, {"A\r\n", false}, {"A: b\n", false}, {"A B: c\r\n d\r\n", false}, {"A: b\r\n C: d\r\n", false}, {"A: b\r\n\tC: d\r\n", false},
		{"", true}, {"a-b: c\r\n", true}, {"!#$%&'*+-.^_`|~09: b\r\n", true}, {"A:\r\n", true}, {"A:b\r\n", true}, {"A: \t b:c \r\n", true},
		{"A: b\nC: d\r\n", true}, {"A: b\r\n c\r\n", true}, {"A: b\r\n\tc\r\n", true}, {"A: b\r\n \r\n", true}, {"A: \x80\xff\r\n", true},
	} {
		responses := map[string]string{"trailer": chunked + tt.line + "\r\n"}
		if tt.line != "\r\nA: b\r\n" {
			responses["header"] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + tt.line + "\r\nok"
			responses["interim header"] = "HTTP/1.1 103 x\r\nD: e\r\n" + tt.line + "\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
		}
		for place, in := range responses {
			a, err := ReadResponse(newReader(in), "GET", 100)
			if !tt.ok && !errors.Is(err, ErrMalformed) {
				t.Errorf("%q in a %s: response %+v, error %v; want %v", tt.line, place, a, err, ErrMalformed)
			}
			if tt.ok && (err != nil || string(a.Body) != "ok") {
				t.Errorf("%q in a %s: response %+v, error %v", tt.line, place, a, err)
			}
		}
	}
}

// Guards against waiting for the rest of a header that is malformed already, up to the deadline if its sender sends nothing more.
func TestMalformedHeaderIsRefusedAtOnce(t *testing.T) {
	const status = "HTTP/1.1 200 OK\r\n"
	for _, in := range []string{
		"HTTP/1.1 000 OK\r\n", "HTTP/2.0 200 OK\r\n", "garbage\r\n", "\x00\x01garbage\r\n", "HTTP/1.1 200 O\x01K\r\n",
		status + "A B: c\r\n", status + "A : b\r\n", status + "A\x01: b\r\n", status + "A(: b\r\n", status + "A\x80: b\r\n", status + ": b\r\n",
		status + "garbage\r\n", status + "A: \x01\r\n", status + "A: b\rc\r\n", status + "A: b\r\n c\x00\r\n", status + "A: b\r\n\n",
	} {
		a, err := ReadResponse(bufio.NewReader(resetReader{strings.NewReader(in)}), "GET", 100)
		if !errors.Is(err, ErrMalformed) {
			t.Errorf("%q: response %+v, error %v; want %v", in, a, err, ErrMalformed)
		}
	}
}

// Guards against a status line of another protocol that is read as one of HTTP/1, and against control bytes in one, which package
// front would pass on.
func TestStatusLine(t *testing.T) {
	for line, ok := range map[string]bool{
		"HTTP/2.0 200 OK": false, "HTTP/0.9 200 OK": false, "HTTP/9.1 200 OK": false, "http/1.1 200 OK": false, "HTTP/1.10 200 OK": false,
		"HTTP/1.1 200 O\x01K": false, "HTTP/1.1 200 O\rK": false, "HTTP/1.1 200 \x00": false, "HTTP/1.1 200 OK\x7f": false, "HTTP/1.1 200 OK\r": false,
		"HTTP/1.0 200 OK": true, "HTTP/1.2 200 OK": true, "HTTP/1.1 200": true, "HTTP/1.1 200 ": true, "HTTP/1.1 200 O\tK \xc3\xa9 :": true,
	} {
		a, err := ReadResponse(newReader(line+"\r\nContent-Length: 2\r\n\r\nok"), "GET", 100)
		if !ok && !errors.Is(err, ErrMalformed) || ok && (err != nil || string(a.Body) != "ok") {
			t.Errorf("%q: response %+v, error %v", line, a, err)
		}
	}
}

// HTTP/1.0 has no transfer codings, and a later minor version is to be read as HTTP/1.1. fasthttp ignores the field in both. Guards
// against a part of the chunks, with their sizes, that is taken for the body.
func TestTransferCodingOfOtherVersions(t *testing.T) {
	for _, version := range []string{"1.0", "1.2"} {
		for _, field := range []string{"Transfer-Encoding: chunked", "transfer-encoding:chunked", "Transfer-Encoding: identity"} {
			for _, length := range []string{"Content-Length: 12\r\n", ""} {
				in := "HTTP/" + version + " 200 OK\r\n" + length + field + "\r\n\r\n2\r\nok\r\n0\r\n\r\n"
				if a, err := ReadResponse(newReader(in), "GET", 100); !errors.Is(err, ErrMalformed) {
					t.Errorf("%q: response %+v, error %v", in, a, err)
				}
			}
		}
	}
}
