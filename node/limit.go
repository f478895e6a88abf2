package node

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/currantpier/currantpier/codec"
	"github.com/currantpier/currantpier/lists"
)

const (
	// maxMessageBytes bounds the body of one call or reply between daemons. The largest is a configuration.
	maxMessageBytes = lists.MaxDocumentBytes + 1<<20
	// maxMemoryBytes bounds the bodies that a process is reading at the same time, since any number of peers can send one.
	maxMemoryBytes = 3 * maxMessageBytes
)

// errMessageTooLarge is returned by a read of a body that exceeds maxMessageBytes or, with others, maxMemoryBytes.
var errMessageTooLarge = errors.New("the message is too large")

// bodyLimit bounds the bodies that are being read. It is safe for concurrent use.
type bodyLimit struct {
	maxMessage, maxTotal int64
	used                 atomic.Int64
}

func newBodyLimit() *bodyLimit {
	return &bodyLimit{maxMessage: maxMessageBytes, maxTotal: maxMemoryBytes}
}

// boundedBody is a body that counts towards a bodyLimit until it is closed.
type boundedBody struct {
	io.ReadCloser
	limit *bodyLimit
	read  int64
}

// Read implements io.Reader.
func (b *boundedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p[:min(int64(len(p)), b.limit.maxMessage-b.read+1)])
	b.read += int64(n)
	if used := b.limit.used.Add(int64(n)); b.read > b.limit.maxMessage || used > b.limit.maxTotal {
		return 0, errMessageTooLarge
	}
	return n, err
}

// Close implements io.Closer.
func (b *boundedBody) Close() error {
	b.limit.used.Add(-b.read)
	b.read = 0
	return b.ReadCloser.Close()
}

// handler bounds the bodies of the requests that next handles.
func (l *bodyLimit) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body := &boundedBody{ReadCloser: r.Body, limit: l}
		defer func() { _ = body.Close() }()
		r.Body = body
		next.ServeHTTP(w, r)
	})
}

// boundedTransport bounds the bodies of responses.
type boundedTransport struct {
	http.RoundTripper
	limit *bodyLimit
}

// RoundTrip implements http.RoundTripper.
func (t *boundedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.RoundTripper.RoundTrip(r)
	if err == nil {
		resp.Body = &boundedBody{ReadCloser: resp.Body, limit: t.limit}
	}
	return resp, err
}

// CloseIdleConnections is called by http.Client.CloseIdleConnections.
func (t *boundedTransport) CloseIdleConnections() {
	if c, ok := t.RoundTripper.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// maxHeaderBytes bounds the header of a call or reply, which consists of a few short fields.
const maxHeaderBytes = 64 << 10

// NewHTTPClient returns a client for control ports. It bounds the size of replies and refuses malformed ones. Each call ends after
// timeout.
func NewHTTPClient(timeout time.Duration) *http.Client {
	t := &http.Transport{
		MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: maxClientIdle, MaxResponseHeaderBytes: maxHeaderBytes,
	}
	return &http.Client{Transport: &boundedTransport{codec.Transport{RoundTripper: t, RequireLength: true}, newBodyLimit()}, Timeout: timeout}
}
