package stubs

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/currantpier/currantpier/ident"
)

// UpstreamFaults are the fault switches of an Upstream, as in the JSON body of POST /faults. Fields left out of the
// body keep their value. Counts say for how many of the next requests a fault lasts.
type UpstreamFaults struct {
	// Silence makes every connection that is open now silent for ever; new connections work. It is not kept.
	Silence bool `json:"silence"`
	// Truncate cuts an answer short of its Content-Length and closes the connection.
	Truncate int `json:"truncate"`
	// Reset resets the connection after the request was read and executed.
	Reset int `json:"reset"`
	// LateMs delays answers by that many milliseconds after the execution, past deadline and cancellation.
	LateMs int64 `json:"late-ms"`
	// ShedUnmarked sheds without the header "Shed: not-run". The request is not executed.
	ShedUnmarked int `json:"shed-unmarked"`
	// Misleading makes /health and /load report load 0 and not leaving, whatever is true.
	Misleading bool `json:"misleading"`
	// Leaving is the drain notice.
	Leaving bool `json:"leaving"`
}

// UpstreamCounts counts requests since the start, as in the JSON answer of GET /counts.
type UpstreamCounts struct {
	Arrived   int64 `json:"arrived"`
	Executed  int64 `json:"executed"`
	Shed      int64 `json:"shed"`
	Cancelled int64 `json:"cancelled"`
	// Waited counts requests that found no free slot.
	Waited int64 `json:"waited"`
	// Peak is the highest number of requests running or waiting at once.
	Peak int64 `json:"peak"`
}

// Answer is the JSON body of an answer.
type Answer struct {
	Target    ident.Target `json:"target"`
	RequestID string       `json:"request-id"`
	Path      string       `json:"path"`
	// Execution counts the executions of the request id at this target, this one included; 0 without an id.
	Execution int `json:"execution"`
}

// Upstream stands in for one target. Any path is work except GET /health, /load, /executions?id=, /counts and GET and
// POST /faults.
type Upstream struct{ name ident.Target }

// UpstreamOption changes a default of NewUpstream.
type UpstreamOption func(*Upstream)

// WithSlots sets how many requests run at once, and how many more may wait; the defaults are 4 and 4.
func WithSlots(slots ident.Slots, queue int) UpstreamOption { return func(u *Upstream) {} }

// WithService sets the time that one request takes; the default is zero.
func WithService(d time.Duration) UpstreamOption { return func(u *Upstream) {} }

// WithCold makes requests take factor times as long for a period after the start.
func WithCold(factor float64, period time.Duration) UpstreamOption { return func(u *Upstream) {} }

// WithReportLag sets by how much /health and /load lag.
func WithReportLag(d time.Duration) UpstreamOption { return func(u *Upstream) {} }

// WithPadding adds n bytes to each answer.
func WithPadding(n int) UpstreamOption { return func(u *Upstream) {} }

// NewUpstream returns a target. The clock is normally time.Now.
func NewUpstream(name ident.Target, clock func() time.Time, opts ...UpstreamOption) *Upstream {
	return &Upstream{name: name}
}

// Serve accepts connections until ctx ends, then closes the listener and all connections. The fault Silence works only
// for connections accepted here.
func (u *Upstream) Serve(ctx context.Context, ln net.Listener) error { return nil }

// ServeHTTP answers one request.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {}

// SetFaults replaces the fault switches.
func (u *Upstream) SetFaults(f UpstreamFaults) {}

// Faults returns the fault switches; the counts in it fall as faults are used up.
func (u *Upstream) Faults() UpstreamFaults { return UpstreamFaults{} }

// Executions returns how often work with the request id was started.
func (u *Upstream) Executions(id string) int { return 0 }

// AllExecutions returns the executions of every request id.
func (u *Upstream) AllExecutions() map[string]int { return nil }

// Counts returns the counters.
func (u *Upstream) Counts() UpstreamCounts { return UpstreamCounts{} }
