// Package orders serializes access to the at-most-once record of one entry process (package once). It writes the
// journal, wakes requests that wait for the state of an order, and answers requests for orders of processes that have
// ended, from their journals.
package orders

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/kinds"
	"github.com/currantpier/currantpier/once"
)

const (
	// expireInterval is the interval between checks for orders past their deadline.
	expireInterval = 50 * time.Millisecond
	// maxTakeovers bounds the number of ended processes whose journals are kept in memory.
	maxTakeovers = 256
	// storeTimeout bounds one journal call. A slower store is handled as unavailable.
	storeTimeout = 2 * time.Second
	// takeoverTimeout bounds the time for which one request reads a journal. The next request for the same journal
	// resumes after the part that was read.
	takeoverTimeout = 5 * time.Second
	// maxDetails bounds the number of descriptions kept for orders in progress and orders with an unknown outcome.
	maxDetails = 100_000
)

// Service holds the order record of one entry process. Its methods are safe for concurrent use.
type Service struct {
	vm      ident.VM
	journal *once.Journal
	clock   func() time.Time
	logger  log.Logger
	// liveEntries returns the number of live entry processes, among which the store's write rate is divided.
	liveEntries func() int

	mu    sync.Mutex
	owner *once.Owner
	// waiters holds one channel per request that waits for an order. Each receives the state from the next event of the
	// order and is then removed. The channels have a buffer of 1, so a send never blocks.
	waiters map[ident.RequestID][]chan once.State
	details map[ident.RequestID]Detail
	// journalWake ends the idle wait of writeJournal. Its buffer of 1 merges several wake-ups.
	journalWake chan struct{}

	takeovers *takeoverCache
	unknown   metrics.Counter
	batches   metrics.Counter
	failures  metrics.Counter
}

// Detail describes an order to operators if its outcome is unknown.
type Detail struct {
	Service  ident.Service
	Customer ident.Customer
	Received time.Time
	Reason   string
}

// New returns the service for the entry process with incarnation inc on vm.
func New(vm ident.VM, inc ident.Incarnation, st once.Store, liveEntries func() int, reg metrics.Registry,
	clock func() time.Time, logger log.Logger, opts ...once.Option) *Service {
	j := once.NewJournal(st)
	return &Service{
		vm: vm, journal: j, clock: clock, logger: logger, liveEntries: liveEntries,
		owner: once.NewOwner(vm, inc, opts...), waiters: map[ident.RequestID][]chan once.State{},
		details: map[ident.RequestID]Detail{}, journalWake: make(chan struct{}, 1), takeovers: newTakeoverCache(vm, j),
		unknown:  metrics.GetOrRegisterCounter("orders-unknown", reg),
		batches:  metrics.GetOrRegisterCounter("journal-batches", reg),
		failures: metrics.GetOrRegisterCounter("journal-failures", reg),
	}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return "orders" }

// Run writes the journal and aborts expired orders until ctx is done.
func (s *Service) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return s.writeJournal(ctx) })
	g.Go(func() error { return s.abortExpired(ctx) })
	return g.Wait()
}

func (s *Service) flushInterval() time.Duration { return once.FlushInterval(s.liveEntries()) }

// writeJournal performs the journal calls one after another until ctx is done.
func (s *Service) writeJournal(ctx context.Context) error {
	idle := time.NewTicker(once.MinFlushInterval)
	defer idle.Stop()
	for {
		s.mu.Lock()
		due := s.owner.NextIO(s.clock(), s.flushInterval())
		s.mu.Unlock()
		if due.Kind == once.IONone {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-idle.C:
			case <-s.journalWake:
			}
			continue
		}
		s.batches.Inc(1)
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		s.journal.Perform(callCtx, due, s.writeDone, s.readBackDone)
		cancel()
	}
}

func (s *Service) writeDone(r once.Result) {
	if r.Outcome != once.Written {
		s.failures.Inc(1)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notifyAll(s.owner.WriteDone(s.clock(), r))
}

func (s *Service) readBackDone(h once.Head, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.owner.ReadBackFailed()
		return
	}
	before := s.owner.Incarnation()
	s.notifyAll(s.owner.ReadBackDone(s.clock(), h))
	if after := s.owner.Incarnation(); after != before {
		level.Warn(s.logger).Log("event", "journal-sealed", "by", h.SealedBy, "old", uint64(before), "new", uint64(after))
	}
}

// abortExpired aborts orders that passed their deadline before they were sent, until ctx is done.
func (s *Service) abortExpired(ctx context.Context) error {
	t := time.NewTicker(expireInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
			s.mu.Lock()
			s.notifyAll(s.owner.Expire(s.clock()))
			s.mu.Unlock()
		}
	}
}

// notifyAll delivers events to the waiting requests. The caller holds mu.
func (s *Service) notifyAll(events []once.Event) {
	for _, e := range events {
		if e.State == once.Aborted {
			delete(s.details, e.ID)
		}
		s.notify(e.ID, e.State)
	}
}

// notify delivers state to all requests that wait for id. The caller holds mu.
func (s *Service) notify(id ident.RequestID, state once.State) {
	for _, c := range s.waiters[id] {
		c <- state
	}
	delete(s.waiters, id)
}

// Ticket returns a ticket for a new order at this process, or false if the process accepts no new orders.
func (s *Service) Ticket(now time.Time) (ident.Ticket, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.owner.Ticket(now, s.flushInterval())
}

// Begin registers a request for an order and blocks until the order may be sent or has an outcome. It returns
// ActionSend, ActionReply, ActionRefuse, ActionUnknown or ActionForward. It returns ActionWait if the request's
// deadline passes, or ctx is done, while another request with the same id is in progress.
func (s *Service) Begin(ctx context.Context, id ident.RequestID, deadline time.Time, d Detail) once.Decision {
	s.mu.Lock()
	dec := s.owner.Begin(s.clock(), id, deadline)
	if (dec.Action == once.ActionJournal || dec.Action == once.ActionSend) && len(s.details) < maxDetails {
		s.details[id] = d
	}
	if dec.Action == once.ActionJournal {
		dec = s.awaitJournal(ctx, id)
		s.mu.Unlock()
		return dec
	}
	for dec.Action == once.ActionWait {
		if _, ok := s.wait(ctx, id, deadline); !ok {
			break
		}
		dec = s.owner.Lookup(s.clock(), id)
	}
	s.mu.Unlock()
	return dec
}

// awaitJournal waits until the id of a new order is in the journal, or until the order is aborted. The caller holds mu.
func (s *Service) awaitJournal(ctx context.Context, id ident.RequestID) once.Decision {
	s.wakeJournal()
	for {
		// No deadline is passed: abortExpired aborts the order at its deadline, which ends the wait.
		state, ok := s.wait(ctx, id, time.Time{})
		if !ok {
			s.owner.Abort(s.clock(), id)
		}
		dec := s.owner.Lookup(s.clock(), id)
		if dec.Action != once.ActionWait {
			return dec
		}
		if state == once.Ready {
			return once.Decision{Action: once.ActionSend, Ticket: dec.Ticket}
		}
	}
}

func (s *Service) wakeJournal() {
	select {
	case s.journalWake <- struct{}{}:
	default:
	}
}

// wait releases mu until the next event of id, the deadline (if it is not zero) or the end of ctx. It returns the state
// from the event, or false if there was none. The caller holds mu.
func (s *Service) wait(ctx context.Context, id ident.RequestID, deadline time.Time) (once.State, bool) {
	c := make(chan once.State, 1)
	s.waiters[id] = append(s.waiters[id], c)
	s.mu.Unlock()
	defer s.mu.Lock()
	var expired <-chan time.Time
	if !deadline.IsZero() {
		t := time.NewTimer(deadline.Sub(s.clock()))
		defer t.Stop()
		expired = t.C
	}
	select {
	case state := <-c:
		return state, true
	case <-expired:
	case <-ctx.Done():
	}
	return 0, false
}

// ClaimSend claims the right to send the order. It is called just before the first byte is written; the order may be
// sent only if it returns true.
func (s *Service) ClaimSend(id ident.RequestID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.owner.ClaimSend(s.clock(), id)
}

// RecordNotRun records that the target did not run the claimed attempt. The order may be claimed again.
func (s *Service) RecordNotRun(id ident.RequestID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.owner.RecordNotRun(s.clock(), id)
}

// RecordAnswer records the upstream's answer to a sent order.
func (s *Service) RecordAnswer(id ident.RequestID, resp once.Response) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.owner.RecordAnswer(s.clock(), id, resp)
	delete(s.details, id)
	s.notify(id, once.Answered)
	s.wakeJournal()
}

// RecordUnknown records that the outcome of a sent order is unknown. reason is shown to operators.
func (s *Service) RecordUnknown(id ident.RequestID, reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.owner.RecordUnknown(s.clock(), id)
	d := s.details[id]
	d.Reason = reason
	s.details[id] = d
	s.unknown.Inc(1)
	s.notify(id, once.Unknown)
	s.wakeJournal()
	level.Warn(s.logger).Log("event", "order-unknown", "request-id", id, "service", d.Service, "customer", d.Customer,
		"reason", reason)
}

// Abort ends an order that was not sent. The caller may be answered "not run" only if it returns true.
func (s *Service) Abort(id ident.RequestID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok := s.owner.Abort(s.clock(), id)
	if ok {
		delete(s.details, id)
	}
	s.notify(id, once.Aborted)
	return ok
}

// Find returns the recorded state of an order of this process.
func (s *Service) Find(id ident.RequestID) once.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.owner.Lookup(s.clock(), id)
}

// Stop makes the service refuse new orders.
func (s *Service) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.owner.StopAccepting()
	s.wakeJournal()
}

// Finished reports whether Stop was called, no order is in progress and the journal is marked as complete.
func (s *Service) Finished() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.owner.Finished()
}

// UnknownOrder is one order whose outcome is unknown.
type UnknownOrder struct {
	ID ident.RequestID `json:"id"`
	Detail
}

// Unknown lists the orders with an unknown outcome, both of this process and of the ended processes whose journals it
// has read.
func (s *Service) Unknown() []UnknownOrder {
	s.mu.Lock()
	var list []UnknownOrder
	for _, id := range s.owner.Unknown() {
		list = append(list, UnknownOrder{id, s.details[id]})
	}
	s.mu.Unlock()
	for _, id := range s.takeovers.unknown() {
		list = append(list, UnknownOrder{id, Detail{Reason: "the owner process ended"}})
	}
	return list
}

// Dump implements kernel.Service.
func (s *Service) Dump(now time.Time) any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.owner.Snapshot(now)
}

// FindEnded returns the decision for an order whose owner process has ended. It seals that process's journal, so that
// the process can't write to it any more, and reads it. An error means that the journal could not be read in time.
func (s *Service) FindEnded(ctx context.Context, id ident.RequestID, t ident.Ticket) (once.Decision, error) {
	ctx, cancel := context.WithTimeout(ctx, takeoverTimeout)
	defer cancel()
	dec, err := s.takeovers.find(ctx, s.clock(), id, t)
	if err != nil || dec.Action != once.ActionReply || dec.BodyRow == 0 {
		return dec, err
	}
	body, err := s.journal.Body(ctx, id, dec.BodyRow)
	if kinds.Of(err) == kinds.NotFound {
		dec.Answer.BodyOmitted = true
		return dec, nil
	}
	dec.Answer.Body = body
	return dec, err
}

// JournalClosed reports whether the journal of a ticket's owner is sealed or complete, so that FindEnded need not seal
// it. It distinguishes an owner that completed a planned stop from one that can't be reached.
func (s *Service) JournalClosed(ctx context.Context, t ident.Ticket) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	h, err := s.journal.ReadHead(ctx, t.Owner, t.Incarnation)
	return err == nil && (h.State == once.Sealed || h.State == once.Complete)
}

// processKey identifies one entry process.
type processKey struct {
	vm  ident.VM
	inc ident.Incarnation
}

// takeoverCache caches the journals of ended processes. The oldest one is evicted first.
type takeoverCache struct {
	self    ident.VM
	journal *once.Journal

	mu    sync.Mutex
	byKey map[processKey]*takeover
	// order lists the keys of byKey, the oldest first.
	order []processKey
}

// takeover is the journal of one ended process. Its mutex is held during the I/O, so that only one request at a time
// seals and reads the journal.
type takeover struct {
	mu        sync.Mutex
	successor *once.Successor
}

func newTakeoverCache(self ident.VM, j *once.Journal) *takeoverCache {
	return &takeoverCache{self: self, journal: j, byKey: map[processKey]*takeover{}}
}

// forTicket returns the takeover of the ticket's owner process and creates it if necessary.
func (s *takeoverCache) forTicket(t ident.Ticket) *takeover {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := processKey{t.Owner, t.Incarnation}
	if existing, ok := s.byKey[key]; ok {
		return existing
	}
	if len(s.order) >= maxTakeovers {
		delete(s.byKey, s.order[0])
		s.order = s.order[1:]
	}
	created := &takeover{successor: once.NewSuccessor(t.Owner, t.Incarnation, s.self)}
	s.byKey[key] = created
	s.order = append(s.order, key)
	return created
}

// find seals and reads the journal of the ticket's owner and returns the decision for id.
func (s *takeoverCache) find(ctx context.Context, now time.Time, id ident.RequestID, t ident.Ticket) (once.Decision,
	error) {
	to := s.forTicket(t)
	to.mu.Lock()
	defer to.mu.Unlock()
	if err := s.journal.SealAndRead(ctx, to.successor); err != nil {
		return once.Decision{}, err
	}
	return to.successor.Lookup(now, id), nil
}

func (s *takeoverCache) unknown() []ident.RequestID {
	s.mu.Lock()
	all := make([]*takeover, 0, len(s.byKey))
	for _, key := range s.order {
		all = append(all, s.byKey[key])
	}
	s.mu.Unlock()
	var ids []ident.RequestID
	for _, to := range all {
		to.mu.Lock()
		ids = append(ids, to.successor.Unknown()...)
		to.mu.Unlock()
	}
	return ids
}
