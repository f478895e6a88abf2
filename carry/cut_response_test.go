package carry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// A target stops within its response and closes or resets the connection. Guards, at each byte, against a 2xx with an empty
// or short body that looks complete. Only a body without a length that ends with a close is complete wherever it ends. In
// HTTP/1.0 there are no chunks; such a response must not be returned with the sizes of chunks in its body.
func TestResponseCutAtEachByte(t *testing.T) {
	body := strings.Repeat("b", 120)
	head := "HTTP/1.1 200 OK\r\nId: 1\r\nSig: s\r\nKeep-Alive: timeout=5\r\n"
	for _, tt := range []struct{ name, text string }{
		{"length", head + "Content-Length: 120\r\n\r\n" + body},
		{"length first", "HTTP/1.1 200 OK\r\nContent-Length: 120\r\nId: 1\r\nSig: s\r\n\r\n" + body},
		{"length zero", head + "Content-Length: 0\r\n\r\n"},
		{"interim", "HTTP/1.1 100 Continue\r\n\r\n" + head + "Content-Length: 120\r\n\r\n" + body},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n" + "14;a=b\r\n" + body[:20] + "\r\n64\r\n" + body[20:] + "\r\n0\r\n\r\n"},
		{"trailer", head + "Transfer-Encoding: chunked\r\nTrailer: A\r\n\r\n78\r\n" + body + "\r\n0\r\nA: b\r\n\r\n"},
		{"no content", head[:9] + "204 No Content\r\nId: 1\r\nSig: s\r\nA: b\r\n\r\n"},
		{"bare line feeds", strings.ReplaceAll(head, "\r", "") + "Content-Length: 120\r\n\r\n" + body},
		{"interim responses with fields", "HTTP/1.1 103 x\r\nContent-Length: 7\r\nId: 1\r\n\r\nHTTP/1.1 102 x\r\n\r\n" + head + "Content-Length: 120\r\n\r\n" + body},
		{"length and chunks", head + "Content-Length: 7\r\nTransfer-Encoding: chunked\r\n\r\n78\r\n" + body + "\r\n0\r\n\r\n"},
		{"chunk size with zeros", head + "Transfer-Encoding: chunked\r\n\r\n0078\r\n" + body + "\r\n000\r\n\r\n"},
		{"trailer not announced", head + "Transfer-Encoding: chunked\r\n\r\n78\r\n" + body + "\r\n0\r\nA: b\r\nC: d\r\n\r\n"},
		{"without length", head + "\r\n" + body},
		{"HTTP/1.0", strings.Replace(head, "1.1", "1.0", 1) + "Content-Length: 120\r\n\r\n" + body},
		{"HTTP/1.0 with chunks", strings.Replace(head, "1.1", "1.0", 1) + "Transfer-Encoding: chunked\r\n\r\n78\r\n" + body + "\r\n0\r\n\r\n"},
	} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %v", tt.name, reset), func(t *testing.T) {
				t.Parallel()
				cut := make(chan int, 1)
				target := newFakeTarget(t, func(nc net.Conn, _ int, _ *http.Request) bool {
					_, _ = nc.Write([]byte(tt.text[:<-cut]))
					if reset {
						_ = nc.(*net.TCPConn).SetLinger(0)
					}
					return false
				})
				headEnd := strings.LastIndex(tt.text, "\r\n\r\n"+body) + len("\r\n\r\n")
				unframed := strings.HasSuffix(tt.name, "without length") && !reset
				for n := range len(tt.text) + 1 {
					cut <- n
					c := newForwarderFor(t, false, 5*time.Second, target)
					a := c.Handle(context.Background(), newRequest(t, "Id: 1\r\n"), time.Now())
					complete := n == len(tt.text) && !strings.HasPrefix(tt.name, "HTTP/1.0 with chunks")
					if complete && !reset && a.Status >= 300 {
						t.Errorf("the complete response became %d", a.Status)
					}
					if a.Status < 300 && !complete && !(unframed && n >= headEnd) {
						t.Errorf("cut at byte %d, after %q: %d with a body of %d bytes", n, tt.text[max(0, n-12):n], a.Status, len(a.Body))
					}
				}
			})
		}
	}
}
