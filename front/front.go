// Package front is the interface for callers of one entry: lookups, requests and the state of orders, over HTTP.
package front

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
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
	"github.com/currantpier/currantpier/member"
	"github.com/currantpier/currantpier/node"
	"github.com/currantpier/currantpier/once"
	"github.com/currantpier/currantpier/orders"
	"github.com/currantpier/currantpier/retry"
	"github.com/currantpier/currantpier/sched"
	"github.com/currantpier/currantpier/send"
)

// The headers of the interface.
const (
	HeaderCustomer = "Currantpier-Customer"
	HeaderDeadline = "Currantpier-Deadline-Ms"
	HeaderKind     = "Currantpier-Kind"
	HeaderID       = "Currantpier-Request-Id"
	HeaderOutcome  = "Currantpier-Outcome"
	HeaderTicket   = "Currantpier-Ticket"
	HeaderTarget   = "Currantpier-Target"
	HeaderHop      = "Currantpier-Hop"
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
	// hopMargin is kept back for the way from the owner to the caller when an order is passed on to its owner.
	hopMargin = 5 * time.Millisecond
)

// Directory is what lookups are answered from. It is immutable.
type Directory struct {
	VMs *lookup.Directory
	// Blocks is nil while no client blocks are known; every client is then taken to be near this VM.
	Blocks *lookup.Table
	// Members finds the address of each VM.
	Members *node.Snapshot
}

// Front is the service. Its methods are safe for concurrent use.
type Front struct {
	self      node.Self
	ln        net.Listener
	ttl       time.Duration
	maxBody   int
	clock     func() time.Time
	logger    log.Logger
	scheduler *sched.Scheduler
	orders    *orders.Service
	client    *send.Client
	members   *node.Members

	directory atomic.Pointer[Directory]
	config    atomic.Pointer[index]
	// inProgress counts requests, for a planned stop.
	inProgress atomic.Int64
	// notReady is a reason to refuse requests, or empty.
	notReady atomic.Pointer[string]
	budget   budget
	// leaving is set when a planned stop begins: no tickets are given from then on.
	leaving atomic.Bool

	// ctx ends when the process does.
	ctx context.Context

	lookups  metrics.Meter
	outcomes map[kinds.Kind]metrics.Counter
	latency  metrics.Timer
	retries  metrics.Counter
	hops     metrics.Counter
}

// index is a configuration in the form that requests are checked against.
type index struct {
	version ident.Version
	plans   map[ident.Customer]ident.PlanName
	uses    map[useKey]lists.Use
}

type useKey struct {
	plan    ident.PlanName
	service ident.Service
}

// Parts are the services that a Front uses.
type Parts struct {
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

// WithMaxBody sets the size of the largest request body, in bytes.
func WithMaxBody(n int) Option { return func(f *Front) { f.maxBody = n } }

// New returns the service for a listener.
func New(self node.Self, ln net.Listener, p Parts, opts ...Option) *Front {
	f := &Front{
		self: self, ln: ln, ttl: 5 * time.Second, maxBody: 1 << 20, clock: p.Clock, logger: p.Logger,
		scheduler: p.Scheduler, orders: p.Orders, client: p.Client, members: p.Members, ctx: context.Background(),
		lookups:  metrics.GetOrRegisterMeter("lookups", p.Metrics),
		outcomes: map[kinds.Kind]metrics.Counter{},
		latency:  metrics.GetOrRegisterTimer("request-latency", p.Metrics),
		retries:  metrics.GetOrRegisterCounter("retries", p.Metrics),
		hops:     metrics.GetOrRegisterCounter("orders-forwarded", p.Metrics),
	}
	for _, k := range kinds.All() {
		f.outcomes[k] = metrics.GetOrRegisterCounter("outcome-"+k.String(), p.Metrics)
	}
	for _, opt := range opts {
		opt(f)
	}
	f.directory.Store(&Directory{VMs: lookup.NewDirectory(nil), Members: &node.Snapshot{}})
	f.config.Store(&index{})
	f.SetNotReady("no configuration was received yet")
	return f
}

// SetNotReady refuses requests for a reason; an empty reason accepts them.
func (f *Front) SetNotReady(reason string) { f.notReady.Store(&reason) }

// SetLeaving ends the issue of tickets, since this process will not be there to run the orders.
func (f *Front) SetLeaving() { f.leaving.Store(true) }

// ticket returns a ticket for a new order at this process.
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

// NotReady returns the reason for which requests are refused, or an empty string.
func (f *Front) NotReady() string { return *f.notReady.Load() }

// InProgress returns the number of requests in progress.
func (f *Front) InProgress() int { return int(f.inProgress.Load()) }

// SetDirectory replaces what lookups are answered from.
func (f *Front) SetDirectory(d *Directory) { f.directory.Store(d) }

// SetConfig replaces the configuration that requests are checked against.
func (f *Front) SetConfig(c *lists.Config) {
	ix := &index{
		version: c.Version, plans: make(map[ident.Customer]ident.PlanName, len(c.Customers)),
		uses: make(map[useKey]lists.Use, len(c.Uses)),
	}
	for _, cp := range c.Customers {
		ix.plans[cp.Customer] = cp.Plan
	}
	for _, u := range c.Uses {
		ix.uses[useKey{u.Plan, u.Service}] = u
	}
	f.config.Store(ix)
}

// Name implements kernel.Service.
func (f *Front) Name() string { return "front" }

// Run serves callers until ctx ends.
func (f *Front) Run(ctx context.Context) error {
	f.ctx = ctx
	server := &fasthttp.Server{
		Handler: f.handle, MaxRequestBodySize: f.maxBody, NoDefaultServerHeader: true, NoDefaultDate: true,
		IdleTimeout: time.Minute, ReadTimeout: time.Minute, CloseOnShutdown: true,
		Logger: silent{},
	}
	done := make(chan error, 1)
	go func() { done <- server.Serve(f.ln) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	// The planned stop has waited for the requests in progress already.
	end, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = server.ShutdownWithContext(end)
	<-done
	return ctx.Err()
}

// silent drops the messages of fasthttp: a caller that breaks its connection is not an event for operators.
type silent struct{}

func (silent) Printf(string, ...any) {}

func (f *Front) handle(r *fasthttp.RequestCtx) {
	// A fault in one request must not end the requests in progress of all others.
	defer func() {
		if v := recover(); v != nil {
			level.Error(f.logger).Log("event", "panic", "path", r.Path(), "value", fmt.Sprint(v), "stack", debug.Stack())
			r.Response.Reset()
			f.refuse(r, kinds.Errorf(kinds.Internal, "a fault of the entry; see its log"))
		}
	}()
	path := string(r.Path())
	switch {
	case path == lookupPath:
		f.lookup(r)
	case len(path) > len(requestPrefix) && path[:len(requestPrefix)] == requestPrefix:
		f.inProgress.Add(1)
		defer f.inProgress.Add(-1)
		f.request(r, path[len(requestPrefix):])
	case len(path) > len(ordersPrefix) && path[:len(ordersPrefix)] == ordersPrefix:
		f.order(r, ident.RequestID(path[len(ordersPrefix):]))
	default:
		f.refuse(r, kinds.Errorf(kinds.NotFound, "no such path"))
	}
}

// LookupAnswer is the answer to a lookup.
type LookupAnswer struct {
	Service ident.Service `json:"service"`
	TTLMs   int64         `json:"ttl-ms"`
	// Ticket is empty while this VM takes no new orders.
	Ticket  string        `json:"ticket,omitempty"`
	Entries []LookupEntry `json:"entries"`
}

// LookupEntry is one entry VM of a lookup answer.
type LookupEntry struct {
	VM      ident.VM     `json:"vm"`
	Address string       `json:"address"`
	Region  ident.Region `json:"region"`
	Domain  ident.Domain `json:"failure-domain"`
}

// maxEntries is the most VMs that lookup.Directory.Order lists.
const maxEntries = 20

func (f *Front) lookup(r *fasthttp.RequestCtx) {
	f.lookups.Mark(1)
	args := r.QueryArgs()
	svc := string(args.Peek("service"))
	if !ident.ValidName(svc) {
		f.refuse(r, kinds.Errorf(kinds.BadRequest, "parameter service: %q is not a service name", svc))
		return
	}
	client, err := f.clientAddr(r, args)
	if err != nil {
		f.refuse(r, err)
		return
	}
	d := f.directory.Load()
	ans := LookupAnswer{Service: ident.Service(svc), TTLMs: f.ttl.Milliseconds()}
	for _, vm := range d.VMs.Order(make([]ident.VM, 0, maxEntries), client, f.place(d, client)) {
		if m, ok := d.Members.Member(vm); ok {
			ans.Entries = append(ans.Entries, LookupEntry{vm, m.Address, m.Place.Region, m.Place.Domain})
		}
	}
	ans.Ticket, _ = f.ticket()
	if len(ans.Entries) == 0 {
		f.refuse(r, kinds.Errorf(kinds.Stopping, "no entry VM is known yet"))
		return
	}
	f.outcomes[kinds.Answered].Inc(1)
	writeJSON(r, fasthttp.StatusOK, ans)
}

func (f *Front) place(d *Directory, client netip.Addr) ident.Place {
	if d.Blocks != nil {
		if i, ok := d.Blocks.Find(client); ok {
			return d.Blocks.Place(i)
		}
	}
	return f.self.Place
}

func (f *Front) clientAddr(r *fasthttp.RequestCtx, args *fasthttp.Args) (netip.Addr, error) {
	if s := string(args.Peek("client")); s != "" {
		a, err := netip.ParseAddr(s)
		if err != nil {
			return netip.Addr{}, kinds.Errorf(kinds.BadRequest, "parameter client: %q is not an IP address", s)
		}
		return a.Unmap(), nil
	}
	a, _ := netip.AddrFromSlice(r.RemoteIP())
	return a.Unmap(), nil
}

// call is a request that was checked.
type call struct {
	service  ident.Service
	path     string
	customer ident.Customer
	kind     retry.Request
	id       ident.RequestID
	deadline time.Time
	hop      bool
}

func (f *Front) request(r *fasthttp.RequestCtx, rest string) {
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

// parse checks everything that can be checked without a decision of the scheduler.
func (f *Front) parse(r *fasthttp.RequestCtx, rest string, now time.Time) (call, error) {
	c := call{customer: ident.Customer(r.Request.Header.Peek(HeaderCustomer))}
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
	c.hop = len(r.Request.Header.Peek(HeaderHop)) > 0
	return c, f.allowed(c)
}

func splitService(rest string) (ident.Service, string) {
	for i := range len(rest) {
		if rest[i] == '/' {
			return ident.Service(rest[:i]), rest[i:]
		}
	}
	return ident.Service(rest), "/"
}

func (c *call) parseKind(r *fasthttp.RequestCtx) error {
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

func (f *Front) allowed(c call) error {
	if reason := f.NotReady(); reason != "" {
		return kinds.Errorf(kinds.Stopping, "%s", reason)
	}
	ix := f.config.Load()
	plan, ok := ix.plans[c.customer]
	if !ok {
		return kinds.Errorf(kinds.UnknownCustomer, "customer %q is not in the list of customers' plans", c.customer)
	}
	use, ok := ix.uses[useKey{plan, c.service}]
	if !ok {
		return kinds.Errorf(kinds.NotInPlan, "plan %q may not use service %q", plan, c.service)
	}
	if c.kind == retry.Order && !use.Orders {
		return kinds.Errorf(kinds.NotInPlan, "plan %q may not send orders to service %q", plan, c.service)
	}
	return nil
}

func (c call) class() admit.Class {
	if c.kind == retry.Order {
		return admit.Order
	}
	return admit.Idempotent
}

// refusal is the body of every answer that is not an upstream's.
type refusal struct {
	Kind   string      `json:"kind"`
	Ran    string      `json:"ran"`
	Retry  kinds.Retry `json:"retry"`
	Detail string      `json:"detail"`
}

// refuseOrder refuses a request that was not admitted. An order of this process is refused for good: "not run" must stay
// true when a delayed duplicate of the request arrives after the reason is gone.
func (f *Front) refuseOrder(r *fasthttp.RequestCtx, c call, err error) {
	if _, ok := c.id.Parse(); ok && c.kind == retry.Order {
		if d := f.orders.Find(c.id); d.Do != once.DoForward && !f.orders.Abort(c.id) {
			// The order has a record, so that "not run" may be false; its answer belongs to the customer that sent it.
			err = kinds.Errorf(kinds.OutcomeUnknown, "an order with this id exists; this request was refused: %v", err)
		}
	}
	f.refuse(r, err)
}

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
	// The values are of types that always can be encoded.
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

// MakeDirectory returns the directory of a snapshot. Blocks may be nil.
func MakeDirectory(s *node.Snapshot, blocks *lookup.Table) *Directory {
	vms := make([]lookup.Member, 0, len(s.Members))
	for _, m := range s.Members {
		if m.State == member.Unknown || m.State == member.Dead {
			continue
		}
		vms = append(vms, lookup.Member{
			VM: m.VM, Place: m.Place, Leaving: m.State == member.Leaving, Suspected: m.State == member.Suspected,
		})
	}
	return &Directory{VMs: lookup.NewDirectory(vms), Blocks: blocks, Members: s}
}
