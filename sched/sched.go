// Package sched is the request scheduler of one entry. A single goroutine owns the admission queues, the choice of
// targets, the slots and the traffic weights, so that a request gets its target and its slot in one step. Requests reach
// it over a bounded message queue.
package sched

import (
	"context"
	"math/rand/v2"
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
	"github.com/currantpier/currantpier/span"
)

const (
	// messageCapacity is the capacity of the message queue. At about a microsecond per message, a full queue is a few
	// milliseconds of work.
	messageCapacity = 4096
	// tickInterval is the period of the control loop. It bounds how late an expired request is refused.
	tickInterval = 20 * time.Millisecond
	// maxQueuedPerSite is the maximum number of waiting requests of one service in one region.
	maxQueuedPerSite = 2048
)

// MaxDeadline is the longest time from the arrival of a request to its deadline. It is shorter than share.MaxLoanDuration, so that
// a loan lasts long enough for any waiting request.
const MaxDeadline = share.MaxLoanDuration - 5*time.Second

// Request asks for a slot at a target.
type Request struct {
	Service  ident.Service
	Customer ident.Customer
	Class    admit.Class
	// Deadline is the time by which the response must be complete.
	Deadline time.Time
	// Exclude has the targets of earlier attempts.
	Exclude []route.TargetRef
	// Retry is true for a further attempt of a request that was admitted before. It does not count against the rate.
	Retry bool
}

// Slot is the permission to send one request to one target. The caller must return each slot with Scheduler.Release.
type Slot struct {
	// Ref is for use by the scheduler only: a new plan changes the target that it refers to.
	Ref route.TargetRef
	// Target is a copy of the target's description at the time the slot was taken.
	Target route.Target
	// Loan is the ID of the loan if the slot was borrowed from a peer, otherwise zero.
	Loan uint64
	// Started is when the slot was taken.
	Started time.Time
}

// Site identifies the targets of one service in one region.
type Site struct {
	Service ident.Service `json:"service"`
	Region  ident.Region  `json:"region"`
}

// LoanRequest asks the borrower task to find a slot at a peer.
type LoanRequest struct {
	Site Site
	// Until is the deadline to request for the loan. It is later than the deadline of every waiting request.
	Until time.Time
}

// Scheduler is a kernel.Service. Its methods are safe for concurrent use.
type Scheduler struct {
	self     ident.VM
	place    ident.Place
	shiftCap shift.Cap
	// linkCapacity is the part of each link's capacity that steered traffic may use, by the region at the other end.
	linkCapacity map[ident.Region]ident.Mbps
	clock        func() time.Time
	// queueLength is the maximum number of waiting requests of one customer per site.
	queueLength int

	messages     chan message
	messageStats ring.SendStats
	loanRequests chan LoanRequest
	loanStats    ring.SendStats
	loanReturns  chan share.Loan
	paused       chan struct{}

	state state
	admitted,
	queued,
	lent,
	borrowed metrics.Counter
	refused map[kinds.Kind]metrics.Counter
}

// state is owned by the goroutine in Run.
type state struct {
	picker    *route.Picker
	holder    *share.Holder
	queues    map[Site]*queue
	followers map[followerKey]*shift.WeightLimiter
	waiting   map[uint64]*pendingRequest
	nextID    uint64
	// measuredSince is the start of the current measurement period: the last Status call with restart.
	measuredSince time.Time
	config        *lists.Config
	plan          *plan.TrafficPlan
	liveEntries   int
	targets       map[ident.Target]Site
	// planLeaving has the targets that leave according to the plan, announcedLeaving those that have announced it themselves.
	planLeaving, announcedLeaving map[ident.Target]bool
	usage                         map[ident.Target]*usage
	// pendingLoans is the number of unanswered loan requests per site.
	pendingLoans map[Site]int
	// links measures the traffic of this entry to each other region.
	links map[ident.Region]*shift.LinkLimiter
	// lastTick is the time of the last tick or SetPlan. awaitingPlan is true from a pause until the next confirmed plan.
	lastTick     time.Time
	awaitingPlan bool
	// ticks counts the runs of the control loop.
	ticks uint64
	// expired is a buffer that every tick reuses.
	expired []admit.Item
}

type followerKey struct {
	service ident.Service
	origin  ident.Region
}

// queue is the admission queue of a site with its measurements.
type queue struct {
	*admit.Queue
	slots   ident.Slots
	arrived uint64
	refused uint64
	// Since the last status with restart: waitingSum is the sum of the queue's lengths at each tick, ticks the number of ticks,
	// and slotRefusals the number of requests refused for lack of a slot.
	waitingSum, ticks, slotRefusals int
	// meanHoldTime is the moving average of the time that a request holds a slot.
	meanHoldTime time.Duration
}

// initialHoldTime is the assumed time that a request holds a slot before the first sample.
const initialHoldTime = 20 * time.Millisecond

// refuse counts a refusal, also in slotRefusals if the cause is a lack of slots.
func (q *queue) refuse(k kinds.Kind) {
	q.refused++
	if k == kinds.Overloaded || k == kinds.DeadlineTooShort || k == kinds.NoTarget {
		q.slotRefusals++
	}
}

func (q *queue) recordFinished(latency time.Duration) {
	q.Finished(latency)
	q.meanHoldTime += (latency - q.meanHoldTime) / 16
}

// unmetSlots returns the mean number of further slots that waiting and refused requests would have used.
func (q *queue) unmetSlots(elapsed time.Duration) float64 {
	w := 0.0
	if q.ticks > 0 {
		w = float64(q.waitingSum) / float64(q.ticks)
	}
	if elapsed > 0 {
		w += float64(q.slotRefusals) * q.meanHoldTime.Seconds() / elapsed.Seconds()
	}
	return w
}

// usage measures the requests in progress and the traffic at one target since the last status with restart.
type usage struct {
	inProgress int
	// since is the time of the last update. slotTime is the integral of inProgress over time up to it.
	since    time.Time
	slotTime time.Duration
	traffic  Traffic
}

// add changes the number of requests in progress by delta and adds traffic.
func (u *usage) add(now time.Time, delta int, t Traffic) {
	if !u.since.IsZero() {
		u.slotTime += now.Sub(u.since) * time.Duration(u.inProgress)
	}
	u.since = now
	u.inProgress += delta
	u.traffic.Sent += t.Sent
	u.traffic.Received += t.Received
}

func (s *Scheduler) usageOf(name ident.Target) *usage {
	u, ok := s.state.usage[name]
	if !ok {
		u = &usage{}
		s.state.usage[name] = u
	}
	return u
}

// message is handled by the goroutine in Run, one at a time.
type message interface {
	apply(s *Scheduler, now time.Time)
}

// Option changes a setting of a Scheduler.
type Option func(*Scheduler)

// WithShiftCap limits the rate of traffic shifts.
func WithShiftCap(c shift.Cap) Option { return func(s *Scheduler) { s.shiftCap = c } }

// WithQueueLength sets the maximum number of waiting requests of one customer per site; 64 by default.
func WithQueueLength(n int) Option { return func(s *Scheduler) { s.queueLength = n } }

// WithLinkCapacity sets the capacity of the link to another region that steered traffic may use. Without this option, no request
// goes to that region.
func WithLinkCapacity(to ident.Region, usable ident.Mbps) Option {
	return func(s *Scheduler) { s.linkCapacity[to] = usable }
}

// New returns the scheduler of an entry.
func New(self ident.VM, place ident.Place, src rand.Source, reg metrics.Registry, clock func() time.Time,
	opts ...Option) *Scheduler {
	s := &Scheduler{
		self: self, place: place, clock: clock, linkCapacity: map[ident.Region]ident.Mbps{}, queueLength: 64,
		shiftCap: shift.Cap{PerStep: ident.Whole / 20, PerMinute: ident.Whole / 5},
		messages: make(chan message, messageCapacity), loanRequests: make(chan LoanRequest, 64), loanReturns: make(chan share.Loan, 1024),
		paused: make(chan struct{}, 1),
		state: state{
			picker: route.New(src), holder: share.NewHolder(self), queues: map[Site]*queue{},
			followers: map[followerKey]*shift.WeightLimiter{}, waiting: map[uint64]*pendingRequest{},
			targets: map[ident.Target]Site{}, announcedLeaving: map[ident.Target]bool{},
			planLeaving: map[ident.Target]bool{}, usage: map[ident.Target]*usage{}, pendingLoans: map[Site]int{},
			links: map[ident.Region]*shift.LinkLimiter{}, liveEntries: 1,
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

// LoanRequests returns the channel of loan requests. The borrower task answers each with LoanGranted or LoanDenied.
func (s *Scheduler) LoanRequests() <-chan LoanRequest { return s.loanRequests }

// LoanReturns returns the channel of loans that must be returned to their lenders.
func (s *Scheduler) LoanReturns() <-chan share.Loan { return s.loanReturns }

// Run handles messages and ticks until ctx is done.
func (s *Scheduler) Run(ctx context.Context) error {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-s.messages:
			m.apply(s, s.clock())
		case <-t.C:
			s.tick(s.clock())
		}
	}
}

// Acquire waits for a slot. If it returns an error, the request was not run, and the error's kind is the reason.
func (s *Scheduler) Acquire(ctx context.Context, r Request) (Slot, error) {
	p := &pendingRequest{Request: r, reply: make(chan acquireResult, 1)}
	select {
	case s.messages <- p:
		s.messageStats.Sent()
	default:
		s.messageStats.Full()
		s.refused[kinds.Overloaded].Inc(1)
		return Slot{}, kinds.Errorf(kinds.Overloaded, "the scheduler's message queue is full")
	}
	select {
	case v := <-p.reply:
		if v.kind != kinds.Answered {
			s.refused[v.kind].Inc(1)
			return Slot{}, kinds.Errorf(v.kind, "service %s refused the request", r.Service)
		}
		return v.slot, nil
	case <-ctx.Done():
		s.abandon(p)
		return Slot{}, kinds.Errorf(kinds.Stopping, "the process is stopping")
	}
}

// abandon returns the slot if p was answered at the same time as its caller gave up. It does not wait for a later answer.
func (s *Scheduler) abandon(p *pendingRequest) {
	select {
	case v := <-p.reply:
		if v.kind == kinds.Answered {
			s.Release(v.slot, 0, route.Abandoned, Traffic{})
		}
	default:
	}
}

// Release returns a slot. It blocks while the message queue is full, since a dropped message would leak the slot.
func (s *Scheduler) Release(slot Slot, latency time.Duration, res route.Result, traffic Traffic) {
	s.messages <- &slotReturn{slot, latency, res, traffic}
}

// Traffic is the number of bytes that one attempt sent to and received from its target.
type Traffic struct {
	Sent, Received int
}

// post sends a control message. It blocks while the message queue is full and reports false if ctx ends first.
func (s *Scheduler) post(ctx context.Context, m message) bool {
	select {
	case s.messages <- m:
		return true
	case <-ctx.Done():
		return false
	}
}

// acquireResult is the answer to Acquire: a slot, or the kind of the refusal.
type acquireResult struct {
	kind kinds.Kind
	slot Slot
}

// pendingRequest is a request without an answer yet.
type pendingRequest struct {
	Request
	id    uint64
	site  Site
	reply chan acquireResult
}

func (p *pendingRequest) refuse(k kinds.Kind) { p.reply <- acquireResult{kind: k} }

func (p *pendingRequest) apply(s *Scheduler, now time.Time) {
	region, ok := s.state.picker.DrawRegion(s.place.Region, p.Service)
	p.site = Site{p.Service, region}
	q := s.state.queues[p.site]
	if !ok || q == nil {
		p.refuse(kinds.NoTarget)
		return
	}
	q.arrived++
	if k := s.linkRefusal(now, region); k != kinds.Answered {
		q.refuse(k)
		p.refuse(k)
		return
	}
	ref, free := s.takeSlot(now, p.site, q, p.exclude())
	if p.Retry {
		p.startRetry(s, q, ref, free)
		return
	}
	s.state.nextID++
	p.id = s.state.nextID
	d := q.Offer(now, admit.Item{ID: p.id, Customer: p.Customer, Class: p.Class, Deadline: p.Deadline}, free)
	if free && d.Verdict != admit.Run {
		s.state.holder.Release(ref.Name())
	}
	switch d.Verdict {
	case admit.Run:
		s.start(now, p, ref)
	case admit.Queued:
		s.queued.Inc(1)
		s.state.waiting[p.id] = p
		s.serveWaiting(now, p.site)
		s.requestLoan(now, p.site)
	default:
		q.refuse(d.Kind)
		p.refuse(d.Kind)
	}
}

// linkRefusal returns Answered if requests may go to the region, and the kind of the refusal if not: this entry's part of
// the link is used up, or there is no link. Suspended grants are no reason to refuse; requests then wait for loans.
func (s *Scheduler) linkRefusal(now time.Time, region ident.Region) kinds.Kind {
	if region == s.place.Region {
		return kinds.Answered
	}
	if l := s.state.links[region]; l == nil || !l.Allow(now) {
		return kinds.Overloaded
	}
	return kinds.Answered
}

// exclude returns the targets that must not be chosen. An order is never the trial of a failed target while another one is
// up.
func (p *pendingRequest) exclude() []route.TargetRef {
	if p.Class == admit.Order && len(p.Exclude) == 0 {
		return route.ExcludeTrials
	}
	return p.Exclude
}

// startRetry starts another attempt of a request that was admitted before. It refuses the attempt if no slot is free: the
// first attempt has used part of the deadline, so the retry does not wait.
func (p *pendingRequest) startRetry(s *Scheduler, q *queue, ref route.TargetRef, free bool) {
	if !free {
		q.refuse(kinds.Overloaded)
		p.refuse(kinds.Overloaded)
		return
	}
	s.start(s.clock(), p, ref)
}

// takeSlot picks a target of the site and takes one of its slots.
func (s *Scheduler) takeSlot(now time.Time, site Site, q *queue, exclude []route.TargetRef) (route.TargetRef, bool) {
	ref, ok := s.state.picker.PickInRegion(now, s.place, site.Service, site.Region, exclude, q.Wait())
	if !ok || !s.state.holder.TryTake(now, ref.Name()) {
		return route.TargetRef{}, false
	}
	return ref, true
}

func (s *Scheduler) start(now time.Time, p *pendingRequest, ref route.TargetRef) {
	s.state.picker.Started(ref)
	s.usageOf(ref.Name()).add(now, 1, Traffic{})
	s.admitted.Inc(1)
	p.reply <- acquireResult{slot: Slot{Ref: ref, Target: ref.Target(), Started: now}}
}

// serveWaiting gives free slots to waiting requests. None of them is used as a trial of a failed target while another one
// is up, since any of them may be an order.
func (s *Scheduler) serveWaiting(now time.Time, site Site) {
	q := s.state.queues[site]
	for q != nil && q.Len() > 0 && s.linkRefusal(now, site.Region) == kinds.Answered {
		ref, free := s.takeSlot(now, site, q, route.ExcludeTrials)
		if !free {
			return
		}
		p, ok := s.nextWaiting(now, q)
		if !ok {
			s.state.holder.Release(ref.Name())
			return
		}
		s.start(now, p, ref)
	}
}

// nextWaiting removes and returns the next waiting request of the queue.
func (s *Scheduler) nextWaiting(now time.Time, q *queue) (*pendingRequest, bool) {
	for {
		item, ok := q.Next(now)
		if !ok {
			return nil, false
		}
		if p, ok := s.state.waiting[item.ID]; ok {
			delete(s.state.waiting, item.ID)
			return p, true
		}
	}
}

// slotReturn is the message of Release.
type slotReturn struct {
	slot    Slot
	latency time.Duration
	result  route.Result
	traffic Traffic
}

func (f *slotReturn) apply(s *Scheduler, now time.Time) {
	t := f.slot.Target
	site := Site{t.Service, t.Place.Region}
	s.usageOf(t.Name).add(now, -1, f.traffic)
	s.state.picker.Finished(now, f.slot.Ref, f.latency, f.result)
	if f.slot.Loan != 0 {
		s.returnLoan(now, f.slot.Loan)
	} else {
		s.state.holder.Release(t.Name)
	}
	if l := s.state.links[t.Place.Region]; l != nil {
		l.Charge(now, int64(max(f.traffic.Sent, f.traffic.Received)))
	}
	if q := s.state.queues[site]; q != nil && f.result == route.OK {
		q.recordFinished(f.latency)
	}
	s.serveWaiting(now, site)
}

// updateLimit sets the picker's limit of a target: the grant less the slots lent, plus the slots borrowed.
func (s *Scheduler) updateLimit(now time.Time, name ident.Target) {
	s.state.picker.SetLimit(name, s.state.holder.Limit(now, name))
}

// ticksPerRateUpdate is the number of ticks between updates of the rates, which follow the weights during a traffic shift.
const ticksPerRateUpdate = 50

// tick runs the control loop once.
func (s *Scheduler) tick(now time.Time) {
	s.state.holder.RecordLoopRun(now)
	s.state.holder.ExpireLoans(now)
	s.checkPause(now)
	s.updateWeights(now)
	if s.state.ticks++; s.state.ticks%ticksPerRateUpdate == 0 {
		s.updateQueues(now)
		for name := range s.state.targets {
			s.updateLimit(now, name)
		}
	}
	for site, q := range s.state.queues {
		q.ticks++
		q.waitingSum += q.Len()
		s.expire(now, q)
		s.serveWaiting(now, site)
		s.requestLoan(now, site)
	}
}

// checkPause requests a confirmed plan if the gap since the last tick is so long that the grants are void. It repeats the
// request at each tick until the plan is set.
func (s *Scheduler) checkPause(now time.Time) {
	if !s.state.lastTick.IsZero() && span.Elapsed(s.state.lastTick, now) > share.MaxLoopInterval {
		s.state.awaitingPlan = true
	}
	s.state.lastTick = now
	if !s.state.awaitingPlan {
		return
	}
	select {
	case s.paused <- struct{}{}:
	default:
	}
}

// updateWeights sets the picker's weights to the current step of each traffic shift.
func (s *Scheduler) updateWeights(now time.Time) {
	for key, f := range s.state.followers {
		if key.origin == s.place.Region {
			s.state.picker.SetWeights(key.service, key.origin, f.Weights(now))
		}
	}
}

// expire refuses the waiting requests that can no longer finish before their deadline.
func (s *Scheduler) expire(now time.Time, q *queue) {
	s.state.expired = q.Expire(now, s.state.expired[:0])
	for _, item := range s.state.expired {
		if p, ok := s.state.waiting[item.ID]; ok {
			delete(s.state.waiting, item.ID)
			q.refuse(kinds.DeadlineTooShort)
			p.refuse(kinds.DeadlineTooShort)
		}
	}
}
