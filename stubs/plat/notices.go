package plat

import "net/http"

// headerLeaving says in a target's responses that it is leaving.
const headerLeaving = "Server-Leaving"

// Notices are what all responses of a target say about the target itself.
type Notices struct {
	// Leaving has the values of the Server-Leaving fields.
	Leaving []string
	// Trailer sends them in the trailer of a response instead of its header.
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
}
