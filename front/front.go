// Package front is the HTTP interface of an entry for callers. It serves lookups of entry VMs, requests to services and
// the state of orders.
package front

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"github.com/currantpier/currantpier/admit"
	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/kinds"
	"github.com/currantpier/currantpier/lists"
	"github.com/currantpier/currantpier/lookup"
	"github.com/currantpier/currantpier/node"
	"github.com/currantpier/currantpier/once"
	"github.com/currantpier/currantpier/orders"
	"github.com/currantpier/currantpier/retry"
	"github.com/currantpier/currantpier/route"
	"github.com/currantpier/currantpier/sched"
	"github.com/currantpier/currantpier/send"
)

// The HTTP headers of requests and responses.
const (
	HeaderCustomer  = "Currantpier-Customer"
	HeaderDeadline  = "Currantpier-Deadline-Ms"
	HeaderKind      = "Currantpier-Kind"
	HeaderID        = "Currantpier-Request-Id"
	HeaderOutcome   = "Currantpier-Outcome"
	HeaderTicket    = "Currantpier-Ticket"
	HeaderTarget    = "Currantpier-Target"
	HeaderForwarded = "Currantpier-Hop"
)

// The values of HeaderKind.
const (
	KindIdempotent = "idempotent"
	KindOrder      = "order"
)

const (
	requestPrefix = "/v1/request/"
	ordersPrefix  = "/v1/orders/"
	lookupPath    = "/v1/lookup"

	defaultDeadline = 10 * time.Second
	// forwardMargin is subtracted from the deadline of an order that is forwarded to its owner, so that the owner's
	// response reaches the caller in time.
	forwardMargin = 5 * time.Millisecond
)

// slots gives and takes back the slots of targets. *sched.Scheduler implements it.
type slots interface {
	Acquire(ctx context.Context, r sched.Request) (sched.Slot, error)
	Release(slot sched.Slot, latency time.Duration, res route.Result, traffic sched.Traffic)
}

// orderRecords keeps the records of orders. *orders.Service implements it.
type orderRecords interface {
	Ticket(now time.Time) (ident.Ticket, bool)
	Begin(ctx context.Context, id ident.RequestID, deadline time.Time, d orders.Detail) once.Decision
	ClaimSend(id ident.RequestID) bool
	RecordNotRun(id ident.RequestID)
	RecordAnswer(id ident.RequestID, resp once.Response)
	RecordUnknown(id ident.RequestID, reason string)
	Abort(id ident.RequestID) bool
	Find(id ident.RequestID) once.Decision
	FindEnded(ctx context.Context, id ident.RequestID, t ident.Ticket) (once.Decision, error)
	JournalClosed(ctx context.Context, t ident.Ticket) bool
}

// Front is the service that accepts requests from callers. Its methods are safe for concurrent use.
type Front struct {
	self      node.Self
	ln        net.Listener
	ttl       time.Duration
	maxBody   int
	clock     func() time.Time
	logger    log.Logger
	scheduler slots
	orders    orderRecords
	client    *send.Client
	members   *node.Members

	directory atomic.Pointer[Directory]
	config    atomic.Pointer[configIndex]
	// inProgress counts the requests in progress, for which a planned stop waits.
	inProgress atomic.Int64
	// notReady is the reason why requests are refused, or empty if they are accepted.
	notReady atomic.Pointer[string]
	budget   sharedBudget
	// leaving is set when a planned stop begins. No tickets are issued from then on.
	leaving atomic.Bool

	// ctx is the context of Run. Requests use it and not a context of their own.
	ctx context.Context

	lookups         metrics.Meter
	outcomes        map[kinds.Kind]metrics.Counter
	latency         metrics.Timer
	retries         metrics.Counter
	forwardedOrders metrics.Counter
}

// configIndex holds the parts of a configuration against which requests are checked, by key.
type configIndex struct {
	version ident.Version
	plans   map[ident.Customer]ident.PlanName
	uses    map[planService]lists.Use
}

type planService struct {
	plan    ident.PlanName
	service ident.Service
}

// Dependencies holds the services that a Front uses.
type Dependencies struct {
	Scheduler *sched.Scheduler
	Orders    *orders.Service
	Client    *send.Client
	Members   *node.Members
	Metrics   metrics.Registry
	Logger    log.Logger
	Clock     func() time.Time
}

// Option changes a setting of a Front.
type Option func(*Front)

// WithTTL sets how long callers may cache a lookup answer.
func WithTTL(d time.Duration) Option { return func(f *Front) { f.ttl = d } }

// WithMaxBody sets the maximum size of a request body, in bytes.
func WithMaxBody(n int) Option { return func(f *Front) { f.maxBody = n } }

// New returns the service that accepts connections from ln. It refuses requests until SetNotReady("") is called.
func New(self node.Self, ln net.Listener, p Dependencies, opts ...Option) *Front {
	f := &Front{
		self: self, ln: ln, ttl: 5 * time.Second, maxBody: 1 << 20, clock: p.Clock, logger: p.Logger,
		scheduler: p.Scheduler, orders: p.Orders, client: p.Client, members: p.Members, ctx: context.Background(),
		lookups:         metrics.GetOrRegisterMeter("lookups", p.Metrics),
		outcomes:        map[kinds.Kind]metrics.Counter{},
		latency:         metrics.GetOrRegisterTimer("request-latency", p.Metrics),
		retries:         metrics.GetOrRegisterCounter("retries", p.Metrics),
		forwardedOrders: metrics.GetOrRegisterCounter("orders-forwarded", p.Metrics),
	}
	for _, k := range kinds.All() {
		f.outcomes[k] = metrics.GetOrRegisterCounter("outcome-"+k.String(), p.Metrics)
	}
	for _, opt := range opts {
		opt(f)
	}
	f.directory.Store(&Directory{VMs: lookup.NewDirectory(nil), Members: &node.Snapshot{}})
	f.config.Store(&configIndex{})
	f.SetNotReady("no configuration was received yet")
	return f
}

// SetNotReady makes the service refuse requests for the given reason, or accept them if reason is empty.
func (f *Front) SetNotReady(reason string) { f.notReady.Store(&reason) }

// SetLeaving stops the issue of tickets, because this process will end before orders with new tickets could run.
func (f *Front) SetLeaving() { f.leaving.Store(true) }

// ticket returns a ticket for a new order at this process, or false if the process issues none.
func (f *Front) ticket() (string, bool) {
	if f.leaving.Load() || f.NotReady() != "" {
		return "", false
	}
	t, ok := f.orders.Ticket(f.clock())
	if !ok {
		return "", false
	}
	return t.String(), true
}

// NotReady returns the reason why requests are refused, or an empty string.
func (f *Front) NotReady() string { return *f.notReady.Load() }

// InProgress returns the number of requests in progress.
func (f *Front) InProgress() int { return int(f.inProgress.Load()) }

// SetDirectory replaces the data from which lookups are answered.
func (f *Front) SetDirectory(d *Directory) { f.directory.Store(d) }

// SetConfig replaces the configuration against which requests are checked.
func (f *Front) SetConfig(c *lists.Config) {
	idx := &configIndex{
		version: c.Version, plans: make(map[ident.Customer]ident.PlanName, len(c.Customers)),
		uses: make(map[planService]lists.Use, len(c.Uses)),
	}
	for _, cp := range c.Customers {
		idx.plans[cp.Customer] = cp.Plan
	}
	for _, u := range c.Uses {
		idx.uses[planService{u.Plan, u.Service}] = u
	}
	f.config.Store(idx)
}

// Name implements kernel.Service.
func (f *Front) Name() string { return "front" }

// callerTimeout bounds the wait for a caller that sends a request or reads its response slowly, or is idle.
const callerTimeout = time.Minute

func (f *Front) server() *fasthttp.Server {
	return &fasthttp.Server{
		Handler: f.handle, MaxRequestBodySize: f.maxBody, NoDefaultServerHeader: true, NoDefaultDate: true,
		IdleTimeout: callerTimeout, ReadTimeout: callerTimeout, WriteTimeout: callerTimeout, CloseOnShutdown: true,
		Logger: discardLogger{},
	}
}

// Run serves callers until ctx is done.
func (f *Front) Run(ctx context.Context) error {
	f.ctx = ctx
	server := f.server()
	done := make(chan error, 1)
	go func() { done <- server.Serve(f.ln) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	// A planned stop has already waited for the requests in progress. Those that are left, whose deadline is later than the
	// end of the stop, get a response now; one second is enough to write it.
	f.client.Abort()
	shutdownCtx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = server.ShutdownWithContext(shutdownCtx)
	<-done
	return ctx.Err()
}

// discardLogger discards the log messages of fasthttp, which mostly report connections that were broken by callers.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

func (f *Front) handle(r *fasthttp.RequestCtx) {
	// A panic in one request must not end the process and with it the requests of all other callers.
	defer func() {
		if v := recover(); v != nil {
			level.Error(f.logger).Log("event", "panic", "path", r.Path(), "value", fmt.Sprint(v), "stack", debug.Stack())
			r.Response.Reset()
			f.refuse(r, kinds.Errorf(kinds.Internal, "internal error of the entry; see its log"))
		}
	}()
	path := string(r.Path())
	switch {
	case path == lookupPath:
		f.handleLookup(r)
	case len(path) > len(requestPrefix) && path[:len(requestPrefix)] == requestPrefix:
		f.inProgress.Add(1)
		defer f.inProgress.Add(-1)
		f.handleRequest(r, path[len(requestPrefix):])
	case len(path) > len(ordersPrefix) && path[:len(ordersPrefix)] == ordersPrefix:
		f.handleOrderState(r, ident.RequestID(path[len(ordersPrefix):]))
	default:
		f.refuse(r, kinds.Errorf(kinds.NotFound, "no such path"))
	}
}

// parsedRequest holds the parsed path and headers of a request.
type parsedRequest struct {
	service ident.Service
	// path is the rest of the path after the service, with a leading slash.
	path     string
	customer ident.Customer
	kind     retry.Request
	id       ident.RequestID
	deadline time.Time
	// forwarded is set if another entry process forwarded the request to this one as the owner of the order.
	forwarded bool
}

func (f *Front) handleRequest(r *fasthttp.RequestCtx, rest string) {
	start := f.clock()
	c, err := f.parse(r, rest, start)
	if err != nil {
		f.refuseOrder(r, c, err)
		return
	}
	if c.kind == retry.Order {
		f.runOrder(r, c)
	} else {
		f.runIdempotent(r, c)
	}
	f.latency.Update(f.clock().Sub(start))
}

// parse parses a request and checks it against the configuration. On an error, the returned value holds what was parsed
// before it.
func (f *Front) parse(r *fasthttp.RequestCtx, rest string, now time.Time) (parsedRequest, error) {
	c := parsedRequest{customer: ident.Customer(r.Request.Header.Peek(HeaderCustomer))}
	c.service, c.path = splitService(rest)
	if !ident.ValidName(string(c.service)) {
		return c, kinds.Errorf(kinds.BadRequest, "path: %q is not a service name", c.service)
	}
	if err := c.parseKind(r); err != nil {
		return c, err
	}
	deadline, err := parseDeadline(string(r.Request.Header.Peek(HeaderDeadline)))
	if err != nil {
		return c, err
	}
	c.deadline = now.Add(deadline)
	c.forwarded = len(r.Request.Header.Peek(HeaderForwarded)) > 0
	return c, f.checkAllowed(c)
}

// splitService splits the path of a request after its prefix into the service and the path at the target.
func splitService(rest string) (ident.Service, string) {
	for i := range len(rest) {
		if rest[i] == '/' {
			return ident.Service(rest[:i]), rest[i:]
		}
	}
	return ident.Service(rest), "/"
}

func (c *parsedRequest) parseKind(r *fasthttp.RequestCtx) error {
	c.id = ident.RequestID(r.Request.Header.Peek(HeaderID))
	switch kind := string(r.Request.Header.Peek(HeaderKind)); kind {
	case KindIdempotent:
		if c.id != "" {
			if _, ok := c.id.Parse(); !ok {
				return kinds.Errorf(kinds.BadRequest, "%s: %q is not a request id", HeaderID, c.id)
			}
		}
	case KindOrder:
		c.kind = retry.Order
		if _, ok := c.id.Parse(); !ok {
			return kinds.Errorf(kinds.BadRequest, "%s: %q is not a request id; an order needs a ticket from a lookup, "+
				"a dot and a suffix of 1 to %d letters, digits, '-' or '_'", HeaderID, c.id, ident.MaxSuffix)
		}
	default:
		return kinds.Errorf(kinds.BadRequest, "%s: %q is neither %s nor %s", HeaderKind, kind, KindIdempotent, KindOrder)
	}
	return nil
}

// parseDeadline parses the deadline header, in milliseconds. It returns the default for an empty header.
func parseDeadline(s string) (time.Duration, error) {
	if s == "" {
		return defaultDeadline, nil
	}
	ms, err := strconv.ParseInt(s, 10, 32)
	if err != nil || ms < 1 || time.Duration(ms)*time.Millisecond > sched.MaxDeadline {
		return 0, kinds.Errorf(kinds.BadRequest, "%s: %q is not a number of milliseconds from 1 to %d", HeaderDeadline, s,
			sched.MaxDeadline.Milliseconds())
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// checkAllowed checks that requests are accepted and that the customer's plan includes the service.
func (f *Front) checkAllowed(c parsedRequest) error {
	if reason := f.NotReady(); reason != "" {
		return kinds.Errorf(kinds.Stopping, "%s", reason)
	}
	idx := f.config.Load()
	plan, ok := idx.plans[c.customer]
	if !ok {
		return kinds.Errorf(kinds.UnknownCustomer, "customer %q is not in the list of customers' plans", c.customer)
	}
	use, ok := idx.uses[planService{plan, c.service}]
	if !ok {
		return kinds.Errorf(kinds.NotInPlan, "plan %q may not use service %q", plan, c.service)
	}
	if c.kind == retry.Order && !use.Orders {
		return kinds.Errorf(kinds.NotInPlan, "plan %q may not send orders to service %q", plan, c.service)
	}
	return nil
}

func (c parsedRequest) class() admit.Class {
	if c.kind == retry.Order {
		return admit.Order
	}
	return admit.Idempotent
}

// refusal is the JSON body of every error response.
type refusal struct {
	Kind   string      `json:"kind"`
	Ran    string      `json:"ran"`
	Retry  kinds.Retry `json:"retry"`
	Detail string      `json:"detail"`
}

// refuseOrder refuses a request that failed the checks. If it is an order that this process owns, its id is aborted as
// well: the answer "not run" must stay true if a delayed duplicate of the request arrives when the checks would pass.
func (f *Front) refuseOrder(r *fasthttp.RequestCtx, c parsedRequest, err error) {
	if _, ok := c.id.Parse(); ok && c.kind == retry.Order {
		if d := f.orders.Find(c.id); d.Action != once.ActionForward && !f.orders.Abort(c.id) {
			// The id has a record, so the order may have run. The recorded answer is not returned, since this request
			// was not shown to come from the customer that sent the order.
			err = kinds.Errorf(kinds.OutcomeUnknown, "an order with this id exists; this request was refused: %v", err)
		}
	}
	f.refuse(r, err)
}

// refuse answers with the status, headers and body for the kind of err. If the caller can retry with a new id, it adds
// a ticket.
func (f *Front) refuse(r *fasthttp.RequestCtx, err error) {
	k := kinds.Of(err)
	a := k.Answer()
	f.outcomes[k].Inc(1)
	r.Response.Header.Set(HeaderOutcome, a.Name)
	if a.After > 0 {
		r.Response.Header.Set("Retry-After", strconv.Itoa(int(a.After.Seconds())))
	}
	if a.Retry == kinds.RetryNewID || a.Retry == kinds.RetryLater {
		if t, ok := f.ticket(); ok {
			r.Response.Header.Set(HeaderTicket, t)
		}
	}
	writeJSON(r, a.Status, refusal{a.Name, a.Ran.String(), a.Retry, err.Error()})
}

func writeJSON(r *fasthttp.RequestCtx, status int, v any) {
	r.SetStatusCode(status)
	r.SetContentType("application/json")
	// All values passed in are of types that encoding/json can encode.
	_ = json.NewEncoder(r).Encode(v)
}

// Dump implements kernel.Service.
func (f *Front) Dump(time.Time) any {
	d := f.directory.Load()
	blocks := 0
	if d.Blocks != nil {
		blocks = d.Blocks.Len()
	}
	return struct {
		Address    string        `json:"address"`
		NotReady   string        `json:"not-ready,omitempty"`
		InProgress int           `json:"in-progress"`
		Config     ident.Version `json:"config-version"`
		Blocks     int           `json:"client-blocks"`
	}{f.ln.Addr().String(), f.NotReady(), f.InProgress(), f.config.Load().version, blocks}
}
