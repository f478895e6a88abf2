// Package orders is the service around the at-most-once record of one entry process: it performs the journal I/O, wakes
// requests that wait for an order, and answers for orders of processes that have ended.
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
	// tick is the period at which expired orders are aborted.
	tick = 50 * time.Millisecond
	// maxSuccessors bounds the journals of ended processes that are kept in memory.
	maxSuccessors = 256
	// storeTimeout bounds one journal call. A slower store is handled as down.
	storeTimeout = 2 * time.Second
	// takeoverTimeout bounds the reading of a whole journal; a request that comes later goes on where it stopped.
	takeoverTimeout = 5 * time.Second
	// maxDetails bounds the descriptions of orders in progress and of unknown ones.
	maxDetails = 100_000
)

// Service keeps the record of one entry process. Its methods are safe for concurrent use.
type Service struct {
	vm      ident.VM
	journal *once.Journal
	clock   func() time.Time
	logger  log.Logger
	// entries returns the number of live entries, which share the store's write rate.
	entries func() int

	mu    sync.Mutex
	owner *once.Owner
	// waiters holds the channels of requests that wait for an order; each gets the state of the next event of the order.
	waiters map[ident.RequestID][]chan once.State
	details map[ident.RequestID]Detail
	// kick wakes the journal task.
	kick chan struct{}

	successors *successors
	unknown    metrics.Counter
	batches    metrics.Counter
	failures   metrics.Counter
}

// Detail is what operators are told of an order whose outcome is unknown.
type Detail struct {
	Service  ident.Service
	Customer ident.Customer
	Received time.Time
	Reason   string
}

// New returns the service for the process inc on vm.
func New(vm ident.VM, inc ident.Incarnation, st once.Store, entries func() int, reg metrics.Registry,
	clock func() time.Time, logger log.Logger, opts ...once.Option) *Service {
	j := once.NewJournal(st)
	return &Service{
		vm: vm, journal: j, clock: clock, logger: logger, entries: entries,
		owner: once.NewOwner(vm, inc, opts...), waiters: map[ident.RequestID][]chan once.State{},
		details: map[ident.RequestID]Detail{}, kick: make(chan struct{}, 1), successors: newSuccessors(vm, j),
		unknown:  metrics.GetOrRegisterCounter("orders-unknown", reg),
		batches:  metrics.GetOrRegisterCounter("journal-batches", reg),
		failures: metrics.GetOrRegisterCounter("journal-failures", reg),
	}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return "orders" }

// Run writes the journal and aborts expired orders until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return s.writeJournal(ctx) })
	g.Go(func() error { return s.expire(ctx) })
	return g.Wait()
}

func (s *Service) flush() time.Duration { return once.FlushInterval(s.entries()) }

// writeJournal performs the journal I/O, one piece at a time.
func (s *Service) writeJournal(ctx context.Context) error {
	idle := time.NewTicker(once.MinFlush)
	defer idle.Stop()
	for {
		s.mu.Lock()
		w := s.owner.NextBatch(s.clock(), s.flush())
		s.mu.Unlock()
		if w.Kind == once.WorkNone {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-idle.C:
			case <-s.kick:
			}
			continue
		}
		s.batches.Inc(1)
		call, cancel := context.WithTimeout(ctx, storeTimeout)
		s.journal.Do(call, w, s.batchDone, s.readBack)
		cancel()
	}
}

func (s *Service) batchDone(r once.Result) {
	if r.Outcome != once.Written {
		s.failures.Inc(1)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wake(s.owner.BatchDone(s.clock(), r))
}

func (s *Service) readBack(h once.Head, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.owner.ReadBackFailed()
		return
	}
	before := s.owner.Incarnation()
	s.wake(s.owner.ReadBack(s.clock(), h))
	if after := s.owner.Incarnation(); after != before {
		level.Warn(s.logger).Log("event", "journal-sealed", "by", h.By, "old", uint64(before), "new", uint64(after))
	}
}

func (s *Service) expire(ctx context.Context) error {
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
			s.mu.Lock()
			s.wake(s.owner.Expire(s.clock()))
			s.mu.Unlock()
		}
	}
}

// wake must be called with mu held.
func (s *Service) wake(events []once.Event) {
	for _, e := range events {
		if e.State == once.Aborted {
			delete(s.details, e.ID)
		}
		s.wakeOne(e.ID, e.State)
	}
}

func (s *Service) wakeOne(id ident.RequestID, state once.State) {
	for _, c := range s.waiters[id] {
		c <- state
	}
	delete(s.waiters, id)
}

// Ticket returns a ticket for a new order at this process, or false if it takes none.
func (s *Service) Ticket(now time.Time) (ident.Ticket, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.owner.Ticket(now, s.flush())
}

// Begin decides how a request for an order goes on, after waiting until the order may be sent or has an outcome. It
// returns DoSend, DoReply, DoRefuse, DoUnknown or DoForward; at the deadline of a request that waits for another one it
// returns DoWait.
func (s *Service) Begin(ctx context.Context, id ident.RequestID, deadline time.Time, d Detail) once.Decision {
	s.mu.Lock()
	dec := s.owner.Begin(s.clock(), id, deadline)
	if (dec.Do == once.DoJournal || dec.Do == once.DoSend) && len(s.details) < maxDetails {
		s.details[id] = d
	}
	if dec.Do == once.DoJournal {
		dec = s.awaitJournal(ctx, id)
		s.mu.Unlock()
		return dec
	}
	for dec.Do == once.DoWait {
		if _, ok := s.wait(ctx, id, deadline); !ok {
			break
		}
		dec = s.owner.Find(s.clock(), id)
	}
	s.mu.Unlock()
	return dec
}

// awaitJournal waits until the id of a new order is in the journal. The owner ends the wait at the deadline.
func (s *Service) awaitJournal(ctx context.Context, id ident.RequestID) once.Decision {
	s.poke()
	for {
		// Expire ends orders past their deadline, so that the wait has an end without a deadline of its own.
		state, ok := s.wait(ctx, id, time.Time{})
		if !ok {
			s.owner.Abort(s.clock(), id)
		}
		dec := s.owner.Find(s.clock(), id)
		if dec.Do != once.DoWait {
			return dec
		}
		if state == once.Ready {
			return once.Decision{Do: once.DoSend, Ticket: dec.Ticket}
		}
	}
}

func (s *Service) poke() {
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

// wait releases mu until the next event of id, the deadline (if it is set) or the end of ctx. It returns the state that
// the event told, and false if there was no event.
func (s *Service) wait(ctx context.Context, id ident.RequestID, deadline time.Time) (once.State, bool) {
	c := make(chan once.State, 1)
	s.waiters[id] = append(s.waiters[id], c)
	s.mu.Unlock()
	defer s.mu.Lock()
	var over <-chan time.Time
	if !deadline.IsZero() {
		t := time.NewTimer(deadline.Sub(s.clock()))
		defer t.Stop()
		over = t.C
	}
	select {
	case state := <-c:
		return state, true
	case <-over:
	case <-ctx.Done():
	}
	return 0, false
}

// ReadyToSend claims the attempt to send the order, just before the first byte is written.
func (s *Service) ReadyToSend(id ident.RequestID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.owner.ReadyToSend(s.clock(), id)
}

// NotRun says that the claimed attempt did not run; the order may be claimed again.
func (s *Service) NotRun(id ident.RequestID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.owner.NotRun(s.clock(), id)
}

// Answered records the upstream's answer.
func (s *Service) Answered(id ident.RequestID, a once.Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.owner.Answered(s.clock(), id, a)
	delete(s.details, id)
	s.wakeOne(id, once.Answered)
	s.poke()
}

// Broken records that the outcome of a sent order is unknown.
func (s *Service) Broken(id ident.RequestID, reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.owner.Broken(s.clock(), id)
	d := s.details[id]
	d.Reason = reason
	s.details[id] = d
	s.unknown.Inc(1)
	s.wakeOne(id, once.Unknown)
	s.poke()
	level.Warn(s.logger).Log("event", "order-unknown", "request-id", id, "service", d.Service, "customer", d.Customer,
		"reason", reason)
}

// Abort ends an order that was not sent. "Not run" may be told only if it returns true.
func (s *Service) Abort(id ident.RequestID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok := s.owner.Abort(s.clock(), id)
	if ok {
		delete(s.details, id)
	}
	s.wakeOne(id, once.Aborted)
	return ok
}

// Find returns the recorded state of an order of this process.
func (s *Service) Find(id ident.RequestID) once.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.owner.Find(s.clock(), id)
}

// Stop refuses new orders from now on.
func (s *Service) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.owner.StopAccepting()
	s.poke()
}

// Finished reports whether no order is in progress and the final seal is written.
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

// Unknown lists the orders whose outcome is unknown to this process.
func (s *Service) Unknown() []UnknownOrder {
	s.mu.Lock()
	var list []UnknownOrder
	for _, id := range s.owner.Unknown() {
		list = append(list, UnknownOrder{id, s.details[id]})
	}
	s.mu.Unlock()
	for _, id := range s.successors.unknown() {
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

// Successor answers for an order whose owner process has ended: it seals and reads that process's journal. An error
// means that the store did not answer.
func (s *Service) Successor(ctx context.Context, id ident.RequestID, t ident.Ticket) (once.Decision, error) {
	ctx, cancel := context.WithTimeout(ctx, takeoverTimeout)
	defer cancel()
	dec, err := s.successors.verdict(ctx, s.clock(), id, t)
	if err != nil || dec.Do != once.DoReply || dec.Row == 0 {
		return dec, err
	}
	body, err := s.journal.Body(ctx, id, dec.Row)
	if kinds.Of(err) == kinds.NotFound {
		dec.Answer.NotKept = true
		return dec, nil
	}
	dec.Answer.Body = body
	return dec, err
}

// Ended reports whether the journal of a ticket's owner is sealed or complete, so that Successor changes nothing. It
// tells a process that has stopped as planned from one that cannot be reached.
func (s *Service) Ended(ctx context.Context, t ident.Ticket) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	h, err := s.journal.ReadHead(ctx, t.Owner, t.Incarnation)
	return err == nil && (h.State == once.Sealed || h.State == once.Complete)
}

type successorKey struct {
	vm  ident.VM
	inc ident.Incarnation
}

// successors holds the journals of ended processes that were taken over.
type successors struct {
	by      ident.VM
	journal *once.Journal

	mu    sync.Mutex
	byKey map[successorKey]*takeover
	// order lists the keys from the oldest.
	order []successorKey
}

// takeover is one journal. Its mutex is held during the I/O, so that a journal is taken over by one request at a time.
type takeover struct {
	mu   sync.Mutex
	next *once.Successor
}

func newSuccessors(by ident.VM, j *once.Journal) *successors {
	return &successors{by: by, journal: j, byKey: map[successorKey]*takeover{}}
}

func (s *successors) get(t ident.Ticket) *takeover {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := successorKey{t.Owner, t.Incarnation}
	if have, ok := s.byKey[key]; ok {
		return have
	}
	if len(s.order) >= maxSuccessors {
		delete(s.byKey, s.order[0])
		s.order = s.order[1:]
	}
	made := &takeover{next: once.NewSuccessor(t.Owner, t.Incarnation, s.by)}
	s.byKey[key] = made
	s.order = append(s.order, key)
	return made
}

func (s *successors) verdict(ctx context.Context, now time.Time, id ident.RequestID, t ident.Ticket) (once.Decision,
	error) {
	to := s.get(t)
	to.mu.Lock()
	defer to.mu.Unlock()
	if err := s.journal.Takeover(ctx, to.next); err != nil {
		return once.Decision{}, err
	}
	return to.next.Verdict(now, id), nil
}

func (s *successors) unknown() []ident.RequestID {
	s.mu.Lock()
	all := make([]*takeover, 0, len(s.byKey))
	for _, key := range s.order {
		all = append(all, s.byKey[key])
	}
	s.mu.Unlock()
	var ids []ident.RequestID
	for _, to := range all {
		to.mu.Lock()
		ids = append(ids, to.next.Unknown()...)
		to.mu.Unlock()
	}
	return ids
}
