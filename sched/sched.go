// Package sched is the scheduler of one entry: one task that owns the admission queues, the choice of targets, the
// slots and the weights, so that each request gets its target and its slot in one decision. Requests reach it over a
// bounded ring.
package sched

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/currantpier/currantpier/admit"
	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/kinds"
	"github.com/currantpier/currantpier/lists"
	"github.com/currantpier/currantpier/plan"
	"github.com/currantpier/currantpier/ring"
	"github.com/currantpier/currantpier/route"
	"github.com/currantpier/currantpier/share"
	"github.com/currantpier/currantpier/shift"
)

const (
	// ringSize bounds the messages that wait for the scheduler. At about a microsecond each, a full ring is a few
	// milliseconds of work.
	ringSize = 4096
	// beat is the period of the control loop. It bounds how late an expired request is refused.
	beat = 20 * time.Millisecond
	// maxQueued bounds the waiting requests of one service.
	maxQueued = 2048
	// maxChoices bounds the targets that are tried for one request when slots of the first ones are lent.
	maxChoices = 4
)

// MaxDeadline is the longest time from the arrival of a request to its deadline. It is below share.MaxLoan, so that
// any waiting request can use any loan.
const MaxDeadline = share.MaxLoan - 5*time.Second

// Request asks for a slot at a target.
type Request struct {
	Service  ident.Service
	Customer ident.Customer
	Class    admit.Class
	// Deadline is the time by which the answer must be complete.
	Deadline time.Time
	// Exclude lists targets that were tried before.
	Exclude []route.TargetRef
	// Admitted is set for a further attempt of a request that was admitted before; it does not count against the rate.
	Admitted bool
}

// Slot is the permission to send one request to one target. Every slot must be given back with Scheduler.Done.
type Slot struct {
	Ref route.TargetRef
	// Loan is the id of the loan if the slot was borrowed from a peer, or zero.
	Loan uint64
	// Started is when the slot was taken.
	Started time.Time
}

// LoanWish asks the borrower task to find a slot at a peer.
type LoanWish struct {
	Service ident.Service
	// Until is the deadline to ask for. It is after the deadline of every waiting request.
	Until time.Time
}

// Scheduler is the service. Its methods are safe for concurrent use.
type Scheduler struct {
	self  ident.VM
	place ident.Place
	cap   shift.Cap
	clock func() time.Time

	messages chan message
	stats    ring.Stats
	wishes   chan LoanWish
	wishStat ring.Stats
	returns  chan share.Loan
	paused   chan struct{}

	state state
	admitted,
	queued,
	lent,
	borrowed metrics.Counter
	refused map[kinds.Kind]metrics.Counter
}

// state is owned by the task in Run.
type state struct {
	picker  *route.Picker
	holder  *share.Holder
	queues  map[ident.Service]*queue
	follow  map[followKey]*shift.Follower
	waiting map[uint64]*offer
	nextID  uint64
	// measured is when the last status was taken.
	measured time.Time
	config   *lists.Config
	plan     *plan.Traffic
	live     int
	targets  map[ident.Target]ident.Service
	// leaving says which targets leave by the plan, noted which ones have announced it to this entry.
	leaving, noted map[ident.Target]bool
	usage          map[ident.Target]*usage
	// wanted counts the loan wishes per service that no reply has come to yet.
	wanted map[ident.Service]int
}

type followKey struct {
	service ident.Service
	origin  ident.Region
}

type queue struct {
	*admit.Queue
	slots   ident.Slots
	arrived uint64
	refused uint64
	// waiting is the sum over beats of the waiting requests since the last status; short counts the requests that were
	// refused for want of a slot since then.
	waiting, beats, short int
	// usual is the moving average of the time that a request holds a slot.
	usual time.Duration
}

// firstUsual stands for the time that a request holds a slot before any was measured.
const firstUsual = 20 * time.Millisecond

// refuse counts a refusal.
func (q *queue) refuse(k kinds.Kind) {
	q.refused++
	if k == kinds.Overloaded || k == kinds.DeadlineTooShort || k == kinds.NoTarget {
		q.short++
	}
}

func (q *queue) finished(latency time.Duration) {
	q.Finished(latency)
	q.usual += (latency - q.usual) / 16
}

// wanted returns the mean number of slots that waiting and refused requests would have used.
func (q *queue) wanted(elapsed time.Duration) float64 {
	w := 0.0
	if q.beats > 0 {
		w = float64(q.waiting) / float64(q.beats)
	}
	if elapsed > 0 {
		w += float64(q.short) * q.usual.Seconds() / elapsed.Seconds()
	}
	return w
}

// usage measures the requests in progress and the traffic of one target since the last status.
type usage struct {
	inProgress int
	// since is when inProgress changed last, and slotTime the sum of requests in progress times time until then.
	since    time.Time
	slotTime time.Duration
	traffic  Traffic
}

func (u *usage) count(now time.Time, change int, t Traffic) {
	if !u.since.IsZero() {
		u.slotTime += now.Sub(u.since) * time.Duration(u.inProgress)
	}
	u.since = now
	u.inProgress += change
	u.traffic.Sent += t.Sent
	u.traffic.Received += t.Received
}

func (s *Scheduler) usage(name ident.Target) *usage {
	u, ok := s.state.usage[name]
	if !ok {
		u = &usage{}
		s.state.usage[name] = u
	}
	return u
}

type message interface {
	apply(s *Scheduler, now time.Time)
}

// Option changes a setting of a Scheduler.
type Option func(*Scheduler)

// WithCap sets the cap of traffic shifts.
func WithCap(c shift.Cap) Option { return func(s *Scheduler) { s.cap = c } }

// New returns the scheduler of an entry.
func New(self ident.VM, place ident.Place, src rand.Source, reg metrics.Registry, clock func() time.Time,
	opts ...Option) *Scheduler {
	s := &Scheduler{
		self: self, place: place, clock: clock,
		cap:      shift.Cap{PerStep: ident.Whole / 20, PerMinute: ident.Whole / 5},
		messages: make(chan message, ringSize), wishes: make(chan LoanWish, 64), returns: make(chan share.Loan, 1024),
		paused: make(chan struct{}, 1),
		state: state{
			picker: route.New(src), holder: share.NewHolder(self), queues: map[ident.Service]*queue{},
			follow: map[followKey]*shift.Follower{}, waiting: map[uint64]*offer{},
			targets: map[ident.Target]ident.Service{}, noted: map[ident.Target]bool{},
			leaving: map[ident.Target]bool{}, usage: map[ident.Target]*usage{}, wanted: map[ident.Service]int{}, live: 1,
		},
		admitted: metrics.GetOrRegisterCounter("requests-admitted", reg),
		queued:   metrics.GetOrRegisterCounter("requests-queued", reg),
		lent:     metrics.GetOrRegisterCounter("loans-given", reg),
		borrowed: metrics.GetOrRegisterCounter("loans-taken", reg),
		refused:  map[kinds.Kind]metrics.Counter{},
	}
	for _, k := range kinds.All() {
		s.refused[k] = metrics.GetOrRegisterCounter("requests-refused-"+k.String(), reg)
	}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Name implements kernel.Service.
func (s *Scheduler) Name() string { return "scheduler" }

// Wishes delivers requests for loans. The borrower task answers each with Lent or NotLent.
func (s *Scheduler) Wishes() <-chan LoanWish { return s.wishes }

// Returns delivers borrowed slots that must be given back to their lenders.
func (s *Scheduler) Returns() <-chan share.Loan { return s.returns }

// Run is the task that owns the state.
func (s *Scheduler) Run(ctx context.Context) error {
	t := time.NewTicker(beat)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-s.messages:
			m.apply(s, s.clock())
		case <-t.C:
			s.beat(s.clock())
		}
	}
}

// Acquire waits for a slot. The error has the kind of the refusal; the request was not run then.
func (s *Scheduler) Acquire(ctx context.Context, r Request) (Slot, error) {
	o := &offer{Request: r, reply: make(chan verdict, 1)}
	select {
	case s.messages <- o:
		s.stats.Sent()
	default:
		s.stats.Full()
		s.refused[kinds.Overloaded].Inc(1)
		return Slot{}, kinds.Errorf(kinds.Overloaded, "the scheduler's ring is full")
	}
	select {
	case v := <-o.reply:
		if v.kind != kinds.Answered {
			s.refused[v.kind].Inc(1)
			return Slot{}, kinds.Errorf(v.kind, "service %s refused the request", r.Service)
		}
		return v.slot, nil
	case <-ctx.Done():
		s.abandon(o)
		return Slot{}, kinds.Errorf(kinds.Stopping, "the process ends")
	}
}

// abandon gives a slot back that may still arrive for o.
func (s *Scheduler) abandon(o *offer) {
	select {
	case v := <-o.reply:
		if v.kind == kinds.Answered {
			s.Done(v.slot, 0, route.Abandoned, Traffic{})
		}
	default:
	}
}

// Done gives a slot back. It waits for room in the ring, since a lost message would lose the slot.
func (s *Scheduler) Done(slot Slot, latency time.Duration, res route.Result, traffic Traffic) {
	s.messages <- &finished{slot, latency, res, traffic}
}

// Traffic is what one attempt sent to and received from its target, in bytes.
type Traffic struct {
	Sent, Received int
}

// post sends a control message and waits for room in the ring or the end of ctx.
func (s *Scheduler) post(ctx context.Context, m message) bool {
	select {
	case s.messages <- m:
		return true
	case <-ctx.Done():
		return false
	}
}

type verdict struct {
	kind kinds.Kind
	slot Slot
}

// offer is a request that waits for a verdict.
type offer struct {
	Request
	id    uint64
	reply chan verdict
}

func (o *offer) refuse(k kinds.Kind) { o.reply <- verdict{kind: k} }

func (o *offer) apply(s *Scheduler, now time.Time) {
	q, ok := s.state.queues[o.Service]
	if !ok {
		o.refuse(kinds.NoTarget)
		return
	}
	q.arrived++
	if s.state.holder.Void(now) {
		q.refuse(kinds.NoTarget)
		o.refuse(kinds.NoTarget)
		return
	}
	ref, free := s.choose(now, &o.Request)
	if o.Admitted {
		// A retry does not wait: its first attempt has used up a part of the deadline already.
		if !free {
			o.refuse(kinds.Overloaded)
			return
		}
		s.start(now, o, ref)
		return
	}
	s.state.nextID++
	o.id = s.state.nextID
	item := admit.Item{ID: o.id, Customer: o.Customer, Class: o.Class, Deadline: o.Deadline}
	d := q.Offer(now, item, free)
	if free && d.Verdict != admit.Run {
		s.state.holder.Release(ref.Name())
	}
	switch d.Verdict {
	case admit.Run:
		s.start(now, o, ref)
	case admit.Queued:
		s.queued.Inc(1)
		s.state.waiting[o.id] = o
		s.serve(now, o.Service)
		s.wish(now, o.Service)
	default:
		q.refuse(d.Kind)
		o.refuse(d.Kind)
	}
}

// choose picks a target and takes a slot of it.
func (s *Scheduler) choose(now time.Time, r *Request) (route.TargetRef, bool) {
	exclude := r.Exclude
	for range maxChoices {
		ref, ok := s.state.picker.Pick(now, s.place, r.Service, exclude)
		if !ok {
			break
		}
		if s.state.holder.TryTake(now, ref.Name()) {
			return ref, true
		}
		// The picker does not know of slots that are lent to peers.
		exclude = append(slices.Clip(exclude), ref)
	}
	return route.TargetRef{}, false
}

func (s *Scheduler) start(now time.Time, o *offer, ref route.TargetRef) {
	s.state.picker.Started(ref)
	s.usage(ref.Name()).count(now, 1, Traffic{})
	s.admitted.Inc(1)
	o.reply <- verdict{slot: Slot{Ref: ref, Started: now}}
}

// serve gives free slots to waiting requests.
func (s *Scheduler) serve(now time.Time, svc ident.Service) {
	q := s.state.queues[svc]
	for q != nil && q.Len() > 0 {
		ref, free := s.choose(now, &Request{Service: svc})
		if !free {
			return
		}
		o, ok := s.next(now, q)
		if !ok {
			s.state.holder.Release(ref.Name())
			return
		}
		s.start(now, o, ref)
	}
}

func (s *Scheduler) next(now time.Time, q *queue) (*offer, bool) {
	for {
		item, ok := q.Next(now)
		if !ok {
			return nil, false
		}
		if o, ok := s.state.waiting[item.ID]; ok {
			delete(s.state.waiting, item.ID)
			return o, true
		}
	}
}

type finished struct {
	slot    Slot
	latency time.Duration
	result  route.Result
	traffic Traffic
}

func (f *finished) apply(s *Scheduler, now time.Time) {
	svc := f.slot.Ref.Target().Service
	s.usage(f.slot.Ref.Name()).count(now, -1, f.traffic)
	s.state.picker.Finished(now, f.slot.Ref, f.latency, f.result)
	if f.slot.Loan != 0 {
		s.giveBack(f.slot.Loan)
	} else {
		s.state.holder.Release(f.slot.Ref.Name())
	}
	if q := s.state.queues[svc]; q != nil && f.result == route.OK {
		q.finished(f.latency)
	}
	s.serve(now, svc)
}

func (s *Scheduler) beat(now time.Time) {
	s.state.holder.Beat(now)
	s.state.holder.Expire(now)
	if s.state.holder.Version() != 0 && s.state.holder.Void(now) {
		select {
		case s.paused <- struct{}{}:
		default:
		}
	}
	for key, f := range s.state.follow {
		if key.origin == s.place.Region {
			s.state.picker.SetWeights(key.service, key.origin, f.Weights(now))
		}
	}
	var expired []admit.Item
	for svc, q := range s.state.queues {
		q.beats++
		q.waiting += q.Len()
		expired = q.Expire(now, expired[:0])
		for _, item := range expired {
			o, ok := s.state.waiting[item.ID]
			if !ok {
				continue
			}
			delete(s.state.waiting, item.ID)
			q.refuse(kinds.DeadlineTooShort)
			o.refuse(kinds.DeadlineTooShort)
		}
		s.serve(now, svc)
		s.wish(now, svc)
	}
}
