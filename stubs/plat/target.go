package plat

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Header fields of the users' protocol.
const (
	headerAttempt   = "X-Currantpier-Attempt-Id"
	headerDeadline  = "X-Currantpier-Deadline-Ms"
	headerExpect    = "X-Currantpier-Expect-Instance"
	headerSignature = "X-Currantpier-Server-Signature"
	headerNotRun    = "X-Currantpier-Not-Executed"
	headerLoad      = "X-Currantpier-Server-Load"
	headerAnswering = "X-Currantpier-Instance-Id"
)

// Spoil says how a target spoils an answer.
type Spoil string

// The ways of spoiling.
const (
	Whole     Spoil = ""
	LoseReset Spoil = "lose-reset" // runs the request and resets the connection
	LoseQuiet Spoil = "lose-quiet" // runs the request and never answers
	CutBody   Spoil = "cut-body"   // ends the connection within the body
	CutOpen   Spoil = "cut-open"   // has no length and resets the connection within the body
	Extra     Spoil = "extra"      // sends a second answer, to a request of somebody else
	ExtraLate Spoil = "extra-late" // sends it in place of the answer to the next request, which it does not run
	Garbage   Spoil = "garbage"    // sends bytes that are no answer
	Unsigned  Spoil = "unsigned"   // leaves out its signature
	Fail      Spoil = "fail"       // answers 500
)

// Spoils are the answers that are to be spoiled. Several targets can share them, so that the next answer is spoiled
// whichever of them gives it.
type Spoils struct {
	mu   sync.Mutex
	kind Spoil
	left int
}

// Set spoils the next n answers.
func (s *Spoils) Set(kind Spoil, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kind, s.left = kind, n
}

// next returns how the next answer is spoiled.
func (s *Spoils) next() Spoil {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.left == 0 {
		return Whole
	}
	s.left--
	return s.kind
}

// Target is one target of a service.
type Target struct {
	ID    string
	Slots int
	Queue int
	// Via is the address in the registry entry if callers reach the target through a proxy; empty means its own.
	Via string
	ln  net.Listener

	mu sync.Mutex
	// work is the time of one request.
	work    time.Duration
	runs    map[string]int
	bodies  map[string]string
	arrived map[string]time.Time
	ended   map[string]time.Time
	limits  map[string]int // deadline in milliseconds that a request arrived with
	running int
	spoils  *Spoils
	free    chan struct{}
}

// NewTarget listens on a free port of host.
func NewTarget(id, host string, slots int, work time.Duration) (*Target, error) {
	ln, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	return &Target{
		ID: id, Slots: slots, Queue: 3 * slots, work: work, ln: ln,
		runs: map[string]int{}, bodies: map[string]string{}, arrived: map[string]time.Time{}, ended: map[string]time.Time{},
		limits: map[string]int{}, spoils: &Spoils{}, free: make(chan struct{}, slots),
	}, nil
}

// Address returns host:port.
func (t *Target) Address() string { return t.ln.Addr().String() }

// Entry returns the registry entry of the target.
func (t *Target) Entry(service, zone, state string, sequence int) map[string]any {
	address := t.Address()
	if t.Via != "" {
		address = t.Via
	}
	return map[string]any{
		"Service": service, "Address": address, "Zone": zone, "Version": "v1", "Concurrency": t.Slots, "State": state,
		"WarmupLeftS": 0, "Sequence": sequence, "born": 1,
	}
}

// SetWork sets the time of one request.
func (t *Target) SetWork(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.work = d
}

// Share makes the target spoil the answers that s says, which other targets may share.
func (t *Target) Share(s *Spoils) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.spoils = s
}

// Spoil spoils the next n answers of this target, or of all that share its spoils.
func (t *Target) Spoil(s Spoil, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.spoils.Set(s, n)
}

// Runs returns how often each attempt has run here.
func (t *Target) Runs() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make(map[string]int, len(t.runs))
	for k, n := range t.runs {
		all[k] = n
	}
	return all
}

// Seen returns the body of an attempt, the deadline that it arrived with, and when it ended; zero while it runs.
func (t *Target) Seen(id string) (body string, deadlineMS int, ended time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.bodies[id], t.limits[id], t.ended[id]
}

// Last returns when the last request arrived.
func (t *Target) Last() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	var last time.Time
	for _, at := range t.arrived {
		if at.After(last) {
			last = at
		}
	}
	return last
}

// Serve serves until ctx ends.
func (t *Target) Serve(ctx context.Context) error {
	srv := &http.Server{Handler: t, IdleTimeout: 10 * time.Second}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if err := srv.Serve(t.ln); err != http.ErrServerClosed {
		return err
	}
	return nil
}

// ServeHTTP implements http.Handler.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerAttempt)
	h := w.Header()
	if id != "" {
		h.Set(headerAttempt, id)
	}
	h.Set(headerAnswering, t.ID)
	if want := r.Header.Get(headerExpect); want != "" && want != t.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the caller left
	}
	if !t.enter(r, id, string(body)) {
		h.Set(headerNotRun, "1")
		h.Set(headerLoad, t.load())
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	spoil := t.run(r.Context(), id)
	h.Set(headerLoad, t.load())
	t.answer(w, r, spoil, id)
}

// enter waits for a slot and reports false if there is none in time.
func (t *Target) enter(r *http.Request, id, body string) bool {
	t.mu.Lock()
	full := t.running >= t.Slots+t.Queue
	if !full {
		t.running++
		t.arrived[id] = time.Now()
		t.bodies[id] = body
		t.limits[id], _ = strconv.Atoi(r.Header.Get(headerDeadline)) // a missing deadline is recorded as zero
	}
	t.mu.Unlock()
	if full {
		return false
	}
	select {
	case t.free <- struct{}{}:
		return true
	case <-r.Context().Done():
		t.leave(false)
		return false
	}
}

func (t *Target) leave(slot bool) {
	if slot {
		<-t.free
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
}

// run does the work of a request, which ends early if the caller leaves.
func (t *Target) run(ctx context.Context, id string) Spoil {
	t.mu.Lock()
	t.runs[id]++
	work := t.work
	t.mu.Unlock()
	select {
	case <-time.After(work):
	case <-ctx.Done():
	}
	t.leave(true)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended[id] = time.Now()
	return t.spoils.next()
}

func (t *Target) load() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	waiting := max(t.running-t.Slots, 0)
	return fmt.Sprintf("%d,%d,%d", t.running-waiting, waiting, t.Slots)
}

func (t *Target) answer(w http.ResponseWriter, r *http.Request, s Spoil, id string) {
	body := "answer of " + t.ID + " to " + id + "\n"
	switch s {
	case Whole, Unsigned:
		if s == Whole {
			w.Header().Set(headerSignature, "sig-"+id)
		}
		_, _ = io.WriteString(w, body) // the caller may have left
		return
	case Fail:
		w.Header().Set(headerSignature, "sig-"+id)
		w.WriteHeader(http.StatusInternalServerError)
		return
	case LoseQuiet:
		<-r.Context().Done()
		return
	}
	nc, bw, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = nc.Close() }()
	t.raw(nc, bw.Writer, s, id, body)
}

// strayAnswer is an answer to a request of somebody else.
const strayAnswer = "HTTP/1.1 200 OK\r\n" + headerAttempt + ": other\r\n" + headerSignature + ": sig-other\r\n" +
	"Content-Length: 5\r\n\r\nother"

// strayFor is how long a target waits for the next request of a connection to send a stray answer to.
const strayFor = 2 * time.Second

// raw writes an answer that net/http would not write.
func (t *Target) raw(nc net.Conn, bw *bufio.Writer, s Spoil, id, body string) {
	head := "HTTP/1.1 200 OK\r\n" + headerAttempt + ": " + id + "\r\n" + headerSignature + ": sig-" + id + "\r\n"
	reset := false
	switch s {
	case LoseReset:
		reset = true
	case CutBody:
		_, _ = fmt.Fprintf(bw, "%sContent-Length: %d\r\n\r\n%s", head, len(body)+10, body)
	case CutOpen:
		_, _ = fmt.Fprintf(bw, "%s\r\n%s", head, body)
		reset = true
	case Garbage:
		_, _ = bw.WriteString("\x00\x01garbage\r\n\r\n")
	case Extra:
		_, _ = fmt.Fprintf(bw, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
		_, _ = bw.WriteString(strayAnswer)
	case ExtraLate:
		_, _ = fmt.Fprintf(bw, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
		_ = bw.Flush() // as below
		_ = nc.SetReadDeadline(time.Now().Add(strayFor))
		if _, err := nc.Read(make([]byte, 1)); err == nil {
			_, _ = bw.WriteString(strayAnswer)
		}
	}
	_ = bw.Flush() // the caller may have left
	if tcp, ok := nc.(*net.TCPConn); ok && reset {
		_ = tcp.SetLinger(0)
	}
	if s == Extra || s == ExtraLate {
		time.Sleep(50 * time.Millisecond) // leaves the connection open with the second answer on it
	}
}
