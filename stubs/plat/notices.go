package plat

import (
	"io"
	"net/http"
)

// headerLeaving says in a target's responses that it is leaving.
const headerLeaving = "Server-Leaving"

// headerRetryAfter says in a refusal how many seconds the target wants no requests from the VM.
const headerRetryAfter = "Retry-After"

// Notices are what all responses of a target say about the target itself.
type Notices struct {
	// Leaving has the values of the Server-Leaving fields.
	Leaving []string
	// Refuse makes the target refuse all requests with status 503. RetryAfter has the values of the Retry-After fields of these
	// responses.
	Refuse     bool
	RetryAfter []string
	// Cut ends the connection within the body of a refusal.
	Cut bool
	// Trailer sends the fields in the trailer of a response instead of its header.
	Trailer bool
}

// SetNotices sets what all further responses say about the target.
func (t *Target) SetNotices(n Notices) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.notices = n
}

// Received returns the number of requests that have reached the target, including those that it refused.
func (t *Target) Received() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.received
}

// receive counts a request and returns what its response says about the target.
func (t *Target) receive() Notices {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.received++
	return t.notices
}

// addTo adds the fields to a response.
func (n Notices) addTo(h http.Header) {
	prefix := ""
	if n.Trailer {
		prefix = http.TrailerPrefix
	}
	for _, v := range n.Leaving {
		h.Add(prefix+headerLeaving, v)
	}
	for _, v := range n.RetryAfter {
		h.Add(prefix+headerRetryAfter, v)
	}
}

// refuse responds to a request that the target does not run.
func (n Notices) refuse(w http.ResponseWriter) {
	w.Header().Set(headerNotExecuted, "1")
	if !n.Cut {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Length", "9")
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = io.WriteString(w, "busy")          // an error means that the caller has disconnected
	_ = http.NewResponseController(w).Flush() // as above
	panic(http.ErrAbortHandler)               // net/http then closes the connection
}
