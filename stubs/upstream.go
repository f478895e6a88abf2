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

// UpstreamFaults are the fault switches of an Upstream, as in the JSON body of POST /faults. Fields left out of the
// body keep their value. Counts say for how many of the next requests a fault lasts.
type UpstreamFaults struct {
	// Silence makes every connection that is open now silent for ever; new connections work. It is not kept.
	Silence bool `json:"silence"`
	// Truncate cuts an answer short of its Content-Length and closes the connection.
	Truncate int `json:"truncate"`
	// Reset resets the connection after the request was read and executed.
	Reset int `json:"reset"`
	// LateMs delays answers by that many milliseconds after the execution, past deadline and cancellation. Setting
	// faults again restarts the delay of waiting answers with the new value.
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
	Arrived int64 `json:"arrived"`
	// Executed counts requests whose work was started.
	Executed int64 `json:"executed"`
	// Shed counts requests refused with or without "Shed: not-run".
	Shed int64 `json:"shed"`
	// Cancelled counts requests whose work was stopped by the deadline or the caller.
	Cancelled int64 `json:"cancelled"`
	// Waited counts requests that found no free slot, those shed included.
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
	// Padding is there only to make the answer large.
	Padding string `json:"padding,omitempty"`
}

// Report is the JSON body of /health and /load.
type Report struct {
	// Load is requests running or waiting per slot.
	Load    float64 `json:"load"`
	Leaving bool    `json:"leaving"`
}

// Upstream stands in for one target. Any path is work except GET /health, /load, /executions?id=, /counts and GET and
// POST /faults. A request may carry Deadline-Ms, the time left in milliseconds, and Request-Id.
type Upstream struct {
	name  ident.Target
	clock func() time.Time
	start time.Time
	// slots is how many requests run at once, queueLimit how many more may wait, for at most queueWait.
	slots, queueLimit int
	queueWait         time.Duration
	service           time.Duration
	coldFactor        float64
	coldPeriod        time.Duration
	reportLag         time.Duration
	padding           string

	mu      sync.Mutex
	running int
	// queue holds a channel per waiting request, closed when it is given a slot; first come, first served.
	queue      []chan struct{}
	executions map[string]int
	faults     UpstreamFaults
	late       *delay
	counts     UpstreamCounts
	// history holds the reports of the last reportLag and the newest one that is older.
	history []pastReport
	conns   map[*conn]struct{}
}

type pastReport struct {
	at     time.Time
	report Report
}

// UpstreamOption changes a default of NewUpstream.
type UpstreamOption func(*Upstream)

// WithSlots sets how many requests run at once; the default is 4.
func WithSlots(n ident.Slots) UpstreamOption {
	return func(u *Upstream) { u.slots = int(n) }
}

// WithQueue sets how many requests may wait for a slot, and for how long; the defaults are 4 and 100 ms.
func WithQueue(n int, wait time.Duration) UpstreamOption {
	return func(u *Upstream) { u.queueLimit, u.queueWait = n, wait }
}

// WithService sets the time that one request takes; the default is zero.
func WithService(d time.Duration) UpstreamOption {
	return func(u *Upstream) { u.service = d }
}

// WithCold makes requests take factor times as long for a period after NewUpstream.
func WithCold(factor float64, period time.Duration) UpstreamOption {
	return func(u *Upstream) { u.coldFactor, u.coldPeriod = factor, period }
}

// WithReportLag sets by how much /health and /load lag; the default is zero.
func WithReportLag(d time.Duration) UpstreamOption {
	return func(u *Upstream) { u.reportLag = d }
}

// WithPadding adds n bytes to each answer.
func WithPadding(n int) UpstreamOption {
	return func(u *Upstream) { u.padding = strings.Repeat("x", n) }
}

// NewUpstream returns a target. The clock is normally time.Now.
func NewUpstream(name ident.Target, clock func() time.Time, opts ...UpstreamOption) *Upstream {
	u := &Upstream{
		name: name, clock: clock, start: clock(),
		slots: 4, queueLimit: 4, queueWait: 100 * time.Millisecond,
		executions: map[string]int{},
		late:       newDelay(),
		conns:      map[*conn]struct{}{},
	}
	for _, opt := range opts {
		opt(u)
	}
	return u
}

// Serve accepts connections until ctx ends, then closes the listener and all connections. The fault Silence works only
// for connections accepted here.
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

// ServeHTTP answers one request.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if u.serveAdmin(w, r) {
		return
	}
	// The body is read to its end first: net/http notices that the caller has gone only after that.
	if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, MaxBody)); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel, ok := withDeadline(r)
	defer cancel()
	if unmarked := u.shedUnmarked(); unmarked || !ok || !u.admit(ctx) {
		u.shed(w, !unmarked)
		return
	}
	e := u.execute(ctx, r.Header.Get("Request-Id"))
	u.late.wait()
	u.answer(w, r, e)
}

// withDeadline returns the context of the work, and false if there is no time left.
func withDeadline(r *http.Request) (context.Context, context.CancelFunc, bool) {
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

func (u *Upstream) shedUnmarked() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.counts.Arrived++
	return takeOne(&u.faults.ShedUnmarked)
}

func takeOne(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// admit waits for a slot and reports whether it got one.
func (u *Upstream) admit(ctx context.Context) bool {
	u.mu.Lock()
	if u.running < u.slots {
		u.running++
		u.note()
		u.mu.Unlock()
		return true
	}
	u.counts.Waited++
	if len(u.queue) >= u.queueLimit {
		u.mu.Unlock()
		return false
	}
	turn := make(chan struct{})
	u.queue = append(u.queue, turn)
	u.note()
	u.mu.Unlock()
	t := time.NewTimer(u.queueWait)
	defer t.Stop()
	select {
	case <-turn:
		return true
	case <-ctx.Done():
	case <-t.C:
	}
	return u.leaveQueue(turn)
}

// leaveQueue gives up waiting. It reports true if the slot was given in the meantime.
func (u *Upstream) leaveQueue(turn chan struct{}) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	at := slices.Index(u.queue, turn)
	if at < 0 {
		return true
	}
	u.queue = slices.Delete(u.queue, at, at+1)
	u.note()
	return false
}

// note records the load after a change.
func (u *Upstream) note() {
	in := u.running + len(u.queue)
	u.counts.Peak = max(u.counts.Peak, int64(in))
	if u.reportLag == 0 {
		return
	}
	now := u.clock()
	u.history = append(u.history, pastReport{now, u.current()})
	n := 0
	for n+1 < len(u.history) && !u.history[n+1].at.After(now.Add(-u.reportLag)) {
		n++
	}
	u.history = u.history[n:]
}

func (u *Upstream) current() Report {
	return Report{Load: float64(u.running+len(u.queue)) / float64(u.slots), Leaving: u.faults.Leaving}
}

func (u *Upstream) shed(w http.ResponseWriter, marked bool) {
	u.mu.Lock()
	u.counts.Shed++
	u.mu.Unlock()
	if marked {
		w.Header().Set("Shed", "not-run")
	}
	http.Error(w, "shed", http.StatusServiceUnavailable)
}

// execution is the result of work.
type execution struct {
	// number counts the executions of the same request id; zero without an id.
	number   int
	finished bool
	// reset and truncate are faults for the answer.
	reset, truncate bool
}

// execute does the work and frees the slot.
func (u *Upstream) execute(ctx context.Context, id string) execution {
	var e execution
	u.mu.Lock()
	u.counts.Executed++
	if id != "" {
		u.executions[id]++
		e.number = u.executions[id]
	}
	e.reset = takeOne(&u.faults.Reset)
	e.truncate = !e.reset && takeOne(&u.faults.Truncate)
	u.mu.Unlock()
	e.finished = u.serve(ctx)
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
	u.note()
	return e
}

// serve takes the service time and reports false if ctx ended first.
func (u *Upstream) serve(ctx context.Context) bool {
	d := u.service
	if u.coldPeriod > 0 && u.clock().Sub(u.start) < u.coldPeriod {
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

func (u *Upstream) answer(w http.ResponseWriter, r *http.Request, e execution) {
	switch {
	case e.reset:
		reset(w)
		return
	case !e.finished:
		http.Error(w, "deadline passed during the work", http.StatusGatewayTimeout)
		return
	}
	id := r.Header.Get("Request-Id")
	body, _ := json.Marshal(Answer{u.name, id, r.URL.Path, e.number, u.padding}) // strings and an int can't fail
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

// reset closes the connection with a TCP reset.
func reset(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler) // closes the connection
	}
	if l, ok := c.(interface{ SetLinger(sec int) error }); ok {
		l.SetLinger(0)
	}
	c.Close()
}

// serveAdmin answers the routes that are not work and reports whether r was one of them.
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
	u.note()
	u.late.set(f.LateMs)
}

// Faults returns the fault switches; the counts in it fall as faults are used up.
func (u *Upstream) Faults() UpstreamFaults {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.faults
}

// Report returns what /health and /load answer now.
func (u *Upstream) Report() Report {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.faults.Misleading {
		return Report{}
	}
	if u.reportLag == 0 {
		return u.current()
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

// Executions returns how often work with the request id was started.
func (u *Upstream) Executions(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.executions[id]
}

// AllExecutions returns the executions of every request id.
func (u *Upstream) AllExecutions() map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return maps.Clone(u.executions)
}

// Counts returns the counters.
func (u *Upstream) Counts() UpstreamCounts {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.counts
}
