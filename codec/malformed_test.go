package codec

import (
	"errors"
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
