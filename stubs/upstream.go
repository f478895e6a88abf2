package stubs

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/currantpier/currantpier/ident"
)

// UpstreamFaults are the fault switches of an Upstream. They are also the JSON body of POST /faults, where omitted
// fields keep their values. A count is the number of coming requests that a fault affects.
type UpstreamFaults struct {
	// Silence makes every open connection silent for the rest of its lifetime. Later connections work. The switch
	// resets itself.
	Silence bool `json:"silence"`
	// Truncate sends less of the body than Content-Length states and closes the connection.
	Truncate int `json:"truncate"`
	// Reset resets the connection after the request was executed.
	Reset int `json:"reset"`
	// ResponseDelayMs delays responses by that many milliseconds after the execution, even past the deadline or a
	// cancellation. Setting the faults restarts the delay of waiting responses with the new value.
	ResponseDelayMs int64 `json:"late-ms"`
	// ShedUnmarked refuses requests with status 503 but without the header "Shed: not-run". They are not executed.
	ShedUnmarked int `json:"shed-unmarked"`
	// Misleading makes /health and /load always report load 0 and not leaving.
	Misleading bool `json:"misleading"`
	// Leaving announces in the load report that the target is draining.
	Leaving bool `json:"leaving"`
}

// UpstreamCounts counts requests since the start. It is the JSON response of GET /counts.
type UpstreamCounts struct {
	Arrived int64 `json:"arrived"`
	// Executed counts requests whose execution started.
	Executed int64 `json:"executed"`
	// Shed counts refused requests, with or without the header "Shed: not-run".
	Shed int64 `json:"shed"`
	// Cancelled counts executions that were stopped by the deadline or because the caller disconnected.
	Cancelled int64 `json:"cancelled"`
	// Waited counts requests that found no free slot, including those that were then refused.
	Waited int64 `json:"waited"`
	// Peak is the highest number of requests that were executing or queued at the same time.
	Peak int64 `json:"peak"`
}

// Response is the JSON body of a successful response.
type Response struct {
	Target    ident.Target `json:"target"`
	RequestID string       `json:"request-id"`
	Path      string       `json:"path"`
	// Execution is the number of executions of the request id at this target, including this one. It is 0 for a
	// request without id.
	Execution int `json:"execution"`
	// Padding enlarges the response.
	Padding string `json:"padding,omitempty"`
}

// Report is the JSON response of GET /health and GET /load.
type Report struct {
	// Load is the number of executing and queued requests divided by the number of slots.
	Load    float64 `json:"load"`
	Leaving bool    `json:"leaving"`
}

// Upstream is a stand-in for one target. It executes a request for any path except GET /health, /load,
// /executions?id=<request id> and /counts, and GET and POST /faults. The optional header Deadline-Ms is the remaining
// time in milliseconds, and Request-Id identifies the request.
type Upstream struct {
	name      ident.Target
	clock     func() time.Time
	startedAt time.Time
	// slots bounds the requests that execute concurrently, queueLimit those that wait for a slot, and queueWait the
	// time that one waits.
	slots, queueLimit int
	queueWait         time.Duration
	serviceTime       time.Duration
	coldFactor        float64
	coldPeriod        time.Duration
	reportLag         time.Duration
	padding           string

	mu      sync.Mutex
	running int
	// queue holds one channel for each waiting request, in order of arrival. The channel is closed to hand over a
	// slot.
	queue         []chan struct{}
	executions    map[string]int
	faults        UpstreamFaults
	responseDelay *adjustableDelay
	counts        UpstreamCounts
	// history holds the reports of the last reportLag and the newest one before that.
	history []timedReport
	conns   map[*conn]struct{}
}

type timedReport struct {
	at     time.Time
	report Report
}

// UpstreamOption overrides a default of NewUpstream.
type UpstreamOption func(*Upstream)

// WithSlots sets the number of requests that execute concurrently. The default is 4.
func WithSlots(n ident.Slots) UpstreamOption {
	return func(u *Upstream) { u.slots = int(n) }
}

// WithQueue sets the number of requests that may wait for a slot and the longest wait. The defaults are 4 and 100 ms.
func WithQueue(n int, wait time.Duration) UpstreamOption {
	return func(u *Upstream) { u.queueLimit, u.queueWait = n, wait }
}

// WithService sets the execution time of a request. The default is zero.
func WithService(d time.Duration) UpstreamOption {
	return func(u *Upstream) { u.serviceTime = d }
}

// WithCold multiplies the execution time by factor for the given period after NewUpstream, as after a cold start.
func WithCold(factor float64, period time.Duration) UpstreamOption {
	return func(u *Upstream) { u.coldFactor, u.coldPeriod = factor, period }
}

// WithReportLag sets the age of the reports of /health and /load. The default is zero.
func WithReportLag(d time.Duration) UpstreamOption {
	return func(u *Upstream) { u.reportLag = d }
}

// WithPadding enlarges each response by n bytes.
func WithPadding(n int) UpstreamOption {
	return func(u *Upstream) { u.padding = strings.Repeat("x", n) }
}

// NewUpstream returns a stand-in for the named target. The clock is time.Now outside tests.
func NewUpstream(name ident.Target, clock func() time.Time, opts ...UpstreamOption) *Upstream {
	u := &Upstream{
		name: name, clock: clock, startedAt: clock(),
		slots: 4, queueLimit: 4, queueWait: 100 * time.Millisecond,
		executions:    map[string]int{},
		responseDelay: newAdjustableDelay(),
		conns:         map[*conn]struct{}{},
	}
	for _, opt := range opts {
		opt(u)
	}
	return u
}

// Serve accepts connections until ctx ends, then closes the listener and all connections. The fault Silence affects
// only connections accepted by Serve.
func (u *Upstream) Serve(ctx context.Context, ln net.Listener) error {
	srv := &http.Server{Handler: u}
	stop := context.AfterFunc(ctx, func() { srv.Close() })
	defer stop()
	err := srv.Serve(listener{ln, u})
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

// ServeHTTP implements http.Handler.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if u.serveAdmin(w, r) {
		return
	}
	// net/http detects that the caller has disconnected only once the body was read to its end.
	if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, MaxBody)); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel, ok := workContext(r)
	defer cancel()
	if unmarked := u.takeUnmarkedShed(); unmarked || !ok || !u.acquireSlot(ctx) {
		u.writeShed(w, !unmarked)
		return
	}
	e := u.execute(ctx, r.Header.Get("Request-Id"))
	u.responseDelay.wait()
	u.writeResponse(w, r, e)
}

// workContext returns the context that bounds the execution of r. It returns false if the deadline has passed or is
// malformed.
func workContext(r *http.Request) (context.Context, context.CancelFunc, bool) {
	v := r.Header.Get("Deadline-Ms")
	if v == "" {
		return r.Context(), func() {}, true
	}
	ms, err := strconv.ParseInt(v, 10, 64)
	if err != nil || ms <= 0 {
		return r.Context(), func() {}, false
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
	return ctx, cancel, true
}

func (u *Upstream) takeUnmarkedShed() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.counts.Arrived++
	return consume(&u.faults.ShedUnmarked)
}

func consume(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// acquireSlot waits for a slot and reports whether it got one within queueWait and before ctx ended.
func (u *Upstream) acquireSlot(ctx context.Context) bool {
	u.mu.Lock()
	if u.running < u.slots {
		u.running++
		u.recordLoad()
		u.mu.Unlock()
		return true
	}
	u.counts.Waited++
	if len(u.queue) >= u.queueLimit {
		u.mu.Unlock()
		return false
	}
	granted := make(chan struct{})
	u.queue = append(u.queue, granted)
	u.recordLoad()
	u.mu.Unlock()
	t := time.NewTimer(u.queueWait)
	defer t.Stop()
	select {
	case <-granted:
		return true
	case <-ctx.Done():
	case <-t.C:
	}
	return u.leaveQueue(granted)
}

// leaveQueue removes a request from the queue. It returns true if the request has been given a slot meanwhile.
func (u *Upstream) leaveQueue(granted chan struct{}) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	at := slices.Index(u.queue, granted)
	if at < 0 {
		return true
	}
	u.queue = slices.Delete(u.queue, at, at+1)
	u.recordLoad()
	return false
}

// recordLoad updates the peak and the report history. It is called after every change of the load, with u.mu held.
func (u *Upstream) recordLoad() {
	inProgress := u.running + len(u.queue)
	u.counts.Peak = max(u.counts.Peak, int64(inProgress))
	if u.reportLag == 0 {
		return
	}
	now := u.clock()
	u.history = append(u.history, timedReport{now, u.currentReport()})
	expired := 0
	for expired+1 < len(u.history) && !u.history[expired+1].at.After(now.Add(-u.reportLag)) {
		expired++
	}
	u.history = u.history[expired:]
}

func (u *Upstream) currentReport() Report {
	return Report{Load: float64(u.running+len(u.queue)) / float64(u.slots), Leaving: u.faults.Leaving}
}

func (u *Upstream) writeShed(w http.ResponseWriter, marked bool) {
	u.mu.Lock()
	u.counts.Shed++
	u.mu.Unlock()
	if marked {
		w.Header().Set("Shed", "not-run")
	}
	http.Error(w, "shed", http.StatusServiceUnavailable)
}

// execution is the result of executing a request.
type execution struct {
	// number is the number of executions of the request id so far. It is zero for a request without id.
	number   int
	finished bool
	// reset and truncate are the faults that apply to the response.
	reset, truncate bool
}

// execute runs the work of a request and hands its slot to the next waiting request or frees it.
func (u *Upstream) execute(ctx context.Context, id string) execution {
	var e execution
	u.mu.Lock()
	u.counts.Executed++
	if id != "" {
		u.executions[id]++
		e.number = u.executions[id]
	}
	e.reset = consume(&u.faults.Reset)
	e.truncate = !e.reset && consume(&u.faults.Truncate)
	u.mu.Unlock()
	e.finished = u.runWork(ctx)
	u.mu.Lock()
	defer u.mu.Unlock()
	if !e.finished {
		u.counts.Cancelled++
	}
	if len(u.queue) > 0 {
		close(u.queue[0])
		u.queue = u.queue[1:]
	} else {
		u.running--
	}
	u.recordLoad()
	return e
}

// runWork waits for the execution time. It returns false if ctx ended first.
func (u *Upstream) runWork(ctx context.Context) bool {
	d := u.serviceTime
	if u.coldPeriod > 0 && u.clock().Sub(u.startedAt) < u.coldPeriod {
		d = time.Duration(float64(d) * u.coldFactor)
	}
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (u *Upstream) writeResponse(w http.ResponseWriter, r *http.Request, e execution) {
	switch {
	case e.reset:
		resetConnection(w)
		return
	case !e.finished:
		http.Error(w, "deadline passed during the work", http.StatusGatewayTimeout)
		return
	}
	id := r.Header.Get("Request-Id")
	body, _ := json.Marshal(Response{u.name, id, r.URL.Path, e.number, u.padding}) // strings and integers always encode
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if id != "" {
		h.Set("Request-Id", id)
	}
	if e.truncate {
		w.Write(body[:len(body)/2])
		http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler) // closes the connection
	}
	w.Write(body)
}

// resetConnection closes the connection with a TCP RST.
func resetConnection(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler) // closes the connection
	}
	if l, ok := c.(interface{ SetLinger(sec int) error }); ok {
		l.SetLinger(0)
	}
	c.Close()
}

// serveAdmin serves the routes that execute no request. It reports whether r is for one of them.
func (u *Upstream) serveAdmin(w http.ResponseWriter, r *http.Request) bool {
	switch path := r.URL.Path; {
	case path == "/faults":
		f := u.Faults()
		if r.Method == http.MethodPost {
			if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxBody)).Decode(&f); err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return true
			}
			u.SetFaults(f)
		}
		writeJSON(w, u.Faults())
	case r.Method != http.MethodGet:
		return false
	case path == "/health" || path == "/load":
		writeJSON(w, u.Report())
	case path == "/executions":
		writeJSON(w, map[string]int{"executions": u.Executions(r.URL.Query().Get("id"))})
	case path == "/counts":
		writeJSON(w, u.Counts())
	default:
		return false
	}
	return true
}

// SetFaults replaces the fault switches.
func (u *Upstream) SetFaults(f UpstreamFaults) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if f.Silence {
		for c := range u.conns {
			c.silence()
		}
		clear(u.conns)
	}
	f.Silence = false
	u.faults = f
	u.recordLoad()
	u.responseDelay.set(f.ResponseDelayMs)
}

// Faults returns the fault switches. Their counts decrease as faults occur.
func (u *Upstream) Faults() UpstreamFaults {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.faults
}

// Report returns the report that /health and /load serve now.
func (u *Upstream) Report() Report {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.faults.Misleading {
		return Report{}
	}
	if u.reportLag == 0 {
		return u.currentReport()
	}
	var r Report
	asOf := u.clock().Add(-u.reportLag)
	for _, h := range u.history {
		if h.at.After(asOf) {
			break
		}
		r = h.report
	}
	return r
}

// Executions returns the number of started executions of the request id.
func (u *Upstream) Executions(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.executions[id]
}

// AllExecutions returns the number of started executions of every request id.
func (u *Upstream) AllExecutions() map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return maps.Clone(u.executions)
}

// Counts returns the request counts.
func (u *Upstream) Counts() UpstreamCounts {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.counts
}
