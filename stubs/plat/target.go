package plat

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Header fields of the platform's request protocol.
const (
	headerAttempt     = "X-Currantpier-Attempt-Id"
	headerDeadline    = "X-Currantpier-Deadline-Ms"
	headerExpect      = "X-Currantpier-Expect-Instance"
	headerSignature   = "X-Currantpier-Server-Signature"
	headerNotExecuted = "X-Currantpier-Not-Executed"
	headerLoad        = "X-Currantpier-Server-Load"
	headerInstance    = "X-Currantpier-Instance-Id"
	headerKey         = "X-Currantpier-Key"
	headerCustomer    = "X-Currantpier-Tenant"
)

// ResponseFault is a fault of a target's response.
type ResponseFault string

// Response faults.
const (
	NoFault            ResponseFault = ""
	ResetAfterRun      ResponseFault = "lose-reset" // executes the request and resets the connection without a response
	HangAfterRun       ResponseFault = "lose-quiet" // executes the request and sends no response
	TruncateBody       ResponseFault = "cut-body"   // closes the connection within a body of known length
	ResetWithoutLength ResponseFault = "cut-open"   // sends a body without Content-Length and resets the connection
	ExtraResponse      ResponseFault = "extra"      // sends a second response, which belongs to another caller's request
	LateExtraResponse  ResponseFault = "extra-late" // sends the second response in place of that to the next request, which is not executed
	MalformedResponse  ResponseFault = "garbage"    // sends bytes that are not an HTTP response
	InvalidStatus      ResponseFault = "status-000" // sends a response whose status is 000
	InvalidFieldName   ResponseFault = "blank-name" // sends a response with a blank in a field name, which hides that its body is chunked
	MissingSignature   ResponseFault = "unsigned"   // omits the signature
	ServerError        ResponseFault = "fail"       // responds with status 500
)

// ResponseFaults are the pending response faults of one or several targets. If targets share them, the next response
// has the fault whichever target sends it.
type ResponseFaults struct {
	mu        sync.Mutex
	fault     ResponseFault
	remaining int
}

// Set applies the fault to the next n responses.
func (s *ResponseFaults) Set(fault ResponseFault, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault, s.remaining = fault, n
}

// next returns the fault of the next response.
func (s *ResponseFaults) next() ResponseFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.remaining == 0 {
		return NoFault
	}
	s.remaining--
	return s.fault
}

// Target is a stand-in for one target of a service. It executes up to Slots requests concurrently and lets up to
// QueueLimit more wait.
type Target struct {
	ID         string
	Slots      int
	QueueLimit int
	// AdvertisedAddress is the address in the registry entry, for example of a proxy in front of the target. If it is
	// empty, the entry has the address of the target.
	AdvertisedAddress string
	ln                net.Listener

	mu sync.Mutex
	// serviceTime is the execution time of a request.
	serviceTime    time.Duration
	executions     map[string]int
	bodies         map[string]string
	arrivedAt      map[string]time.Time
	finishedAt     map[string]time.Time
	deadlinesMS    map[string]int // deadline of each request on arrival
	inProgress     int
	responseFaults *ResponseFaults
	slots          chan struct{}
	notices        Notices
	received       int // requests received, including refused ones
	keysReceived   int // requests with an API key, which must not reach a target
	customers      map[string]int
}

// NewTarget returns a target that listens on a free port of host and has a queue of three times its slots.
func NewTarget(id, host string, slots int, serviceTime time.Duration) (*Target, error) {
	ln, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	return &Target{
		ID: id, Slots: slots, QueueLimit: 3 * slots, serviceTime: serviceTime, ln: ln,
		executions: map[string]int{}, bodies: map[string]string{}, arrivedAt: map[string]time.Time{}, finishedAt: map[string]time.Time{},
		deadlinesMS: map[string]int{}, responseFaults: &ResponseFaults{}, slots: make(chan struct{}, slots), customers: map[string]int{},
	}, nil
}

// Address returns the listen address as host:port.
func (t *Target) Address() string { return t.ln.Addr().String() }

// Entry returns the registry entry of the target.
func (t *Target) Entry(service, zone, state string, sequence int) map[string]any {
	address := t.Address()
	if t.AdvertisedAddress != "" {
		address = t.AdvertisedAddress
	}
	return map[string]any{
		"Service": service, "Address": address, "Zone": zone, "Version": "v1", "Concurrency": t.Slots, "State": state,
		"WarmupLeftS": 0, "Sequence": sequence, "born": 1,
	}
}

// SetServiceTime sets the execution time of a request.
func (t *Target) SetServiceTime(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.serviceTime = d
}

// UseResponseFaults replaces the response faults of the target by f, which other targets may share.
func (t *Target) UseResponseFaults(f *ResponseFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.responseFaults = f
}

// SetResponseFault applies a fault to the next n responses of the targets that share its response faults.
func (t *Target) SetResponseFault(fault ResponseFault, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.responseFaults.Set(fault, n)
}

// Executions returns the number of executions by attempt id.
func (t *Target) Executions() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make(map[string]int, len(t.executions))
	for k, n := range t.executions {
		all[k] = n
	}
	return all
}

// Customers returns the number of requests by the customer that they state, "" for none, and the number of requests with an API key.
// Health requests don't count.
func (t *Target) Customers() (requests map[string]int, withKey int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.customers), t.keysReceived
}

// recordCustomer counts a request for Customers.
func (t *Target) recordCustomer(h http.Header) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(h[headerKey]) > 0 {
		t.keysReceived++
	}
	t.customers[strings.Join(h[headerCustomer], ",")]++
}

// Attempt returns the body of an attempt, its deadline in milliseconds on arrival, and the time at which its
// execution finished. finished is zero until then.
func (t *Target) Attempt(id string) (body string, deadlineMS int, finished time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.bodies[id], t.deadlinesMS[id], t.finishedAt[id]
}

// LastArrival returns the arrival time of the latest request.
func (t *Target) LastArrival() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	var last time.Time
	for _, at := range t.arrivedAt {
		if at.After(last) {
			last = at
		}
	}
	return last
}

// Serve accepts requests until ctx ends.
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
		t.recordCustomer(r.Header)
	}
	h.Set(headerInstance, t.ID)
	notices := t.receive()
	notices.addTo(h)
	if want := r.Header.Get(headerExpect); want != "" && want != t.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the caller disconnected
	}
	if notices.Refuse {
		notices.refuse(w)
		return
	}
	if !t.acquireSlot(r, id, string(body)) {
		h.Set(headerNotExecuted, "1")
		h.Set(headerLoad, t.loadHeader())
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	fault := t.execute(r.Context(), id)
	h.Set(headerLoad, t.loadHeader())
	t.writeResponse(w, r, fault, id)
}

// acquireSlot waits for a slot. It returns false if the queue is full or the caller disconnects first.
func (t *Target) acquireSlot(r *http.Request, id, body string) bool {
	t.mu.Lock()
	full := t.inProgress >= t.Slots+t.QueueLimit
	if !full {
		t.inProgress++
		t.arrivedAt[id] = time.Now()
		t.bodies[id] = body
		t.deadlinesMS[id], _ = strconv.Atoi(r.Header.Get(headerDeadline)) // a missing deadline is recorded as zero
	}
	t.mu.Unlock()
	if full {
		return false
	}
	select {
	case t.slots <- struct{}{}:
		return true
	case <-r.Context().Done():
		t.release(false)
		return false
	}
}

// release ends a request and frees its slot if it holds one.
func (t *Target) release(holdsSlot bool) {
	if holdsSlot {
		<-t.slots
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inProgress--
}

// execute runs the work of a request, which ends early if the caller disconnects, and returns the fault of its
// response.
func (t *Target) execute(ctx context.Context, id string) ResponseFault {
	t.mu.Lock()
	t.executions[id]++
	serviceTime := t.serviceTime
	t.mu.Unlock()
	select {
	case <-time.After(serviceTime):
	case <-ctx.Done():
	}
	t.release(true)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.finishedAt[id] = time.Now()
	if id == "" {
		// A health request must not use up the fault that a test has set for its own request.
		return NoFault
	}
	return t.responseFaults.next()
}

// loadHeader returns the value of the load header: executing requests, queued requests and slots.
func (t *Target) loadHeader() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	waiting := max(t.inProgress-t.Slots, 0)
	return fmt.Sprintf("%d,%d,%d", t.inProgress-waiting, waiting, t.Slots)
}

func (t *Target) writeResponse(w http.ResponseWriter, r *http.Request, fault ResponseFault, id string) {
	body := "answer of " + t.ID + " to " + id + "\n"
	switch fault {
	case NoFault, MissingSignature:
		if fault == NoFault {
			w.Header().Set(headerSignature, "sig-"+id)
		}
		_, _ = io.WriteString(w, body) // an error means that the caller has disconnected
		return
	case ServerError:
		w.Header().Set(headerSignature, "sig-"+id)
		w.WriteHeader(http.StatusInternalServerError)
		return
	case HangAfterRun:
		<-r.Context().Done()
		return
	}
	nc, bw, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = nc.Close() }()
	t.writeRaw(nc, bw.Writer, fault, id, body, w.Header())
}

// strayResponse is a complete response to a request of another caller.
const strayResponse = "HTTP/1.1 200 OK\r\n" + headerAttempt + ": other\r\n" + headerSignature + ": sig-other\r\n" +
	"Content-Length: 5\r\n\r\nother"

// strayResponseWait bounds the time for which LateExtraResponse waits for the next request on the connection.
const strayResponseWait = 2 * time.Second

// writeRaw writes a faulty response that net/http cannot produce.
func (t *Target) writeRaw(nc net.Conn, bw *bufio.Writer, fault ResponseFault, id, body string, h http.Header) {
	head := "HTTP/1.1 200 OK\r\n" + headerAttempt + ": " + id + "\r\n" + headerSignature + ": sig-" + id + "\r\n"
	for _, v := range h[headerLeaving] {
		head += headerLeaving + ": " + v + "\r\n"
	}
	reset := false
	switch fault {
	case ResetAfterRun:
		reset = true
	case TruncateBody:
		_, _ = fmt.Fprintf(bw, "%sContent-Length: %d\r\n\r\n%s", head, len(body)+10, body)
	case ResetWithoutLength:
		_, _ = fmt.Fprintf(bw, "%s\r\n%s", head, body)
		reset = true
	case MalformedResponse:
		_, _ = bw.WriteString("\x00\x01garbage\r\n\r\n")
	case InvalidStatus:
		_, _ = fmt.Fprintf(bw, "%sContent-Length: %d\r\n\r\n%s", strings.Replace(head, "200", "000", 1), len(body), body)
	case InvalidFieldName:
		_, _ = fmt.Fprintf(bw, "%sTransfer Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body)
	case ExtraResponse:
		_, _ = fmt.Fprintf(bw, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
		_, _ = bw.WriteString(strayResponse)
	case LateExtraResponse:
		_, _ = fmt.Fprintf(bw, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
		_ = bw.Flush() // an error means that the caller has disconnected
		_ = nc.SetReadDeadline(time.Now().Add(strayResponseWait))
		if _, err := nc.Read(make([]byte, 1)); err == nil {
			_, _ = bw.WriteString(strayResponse)
		}
	}
	_ = bw.Flush() // an error means that the caller has disconnected
	if tcp, ok := nc.(*net.TCPConn); ok && reset {
		_ = tcp.SetLinger(0)
	}
	if fault == ExtraResponse || fault == LateExtraResponse {
		time.Sleep(50 * time.Millisecond) // keeps the connection open while the caller receives the second response
	}
}
