// Package sched is the scheduler of one entry: one task that owns the admission queues, the choice of targets, the
// slots and the weights, so that each request gets its target and its slot in one decision. Requests reach it over a
// bounded ring.
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
)

const (
	// ringSize bounds the messages that wait for the scheduler. At about a microsecond each, a full ring is a few
	// milliseconds of work.
	ringSize = 4096
	// beat is the period of the control loop. It bounds how late an expired request is refused.
	beat = 20 * time.Millisecond
	// maxQueued bounds the waiting requests of one service.
	maxQueued = 2048
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
	// Ref is for the scheduler alone: a new plan changes what it refers to.
	Ref route.TargetRef
	// Target is a copy that stays as it was when the slot was taken.
	Target route.Target
	// Loan is the id of the loan if the slot was borrowed from a peer, or zero.
	Loan uint64
	// Started is when the slot was taken.
	Started time.Time
}

// Site is the targets of one service in one region.
type Site struct {
	Service ident.Service `json:"service"`
	Region  ident.Region  `json:"region"`
}

// LoanRequest asks the borrower task to find a slot at a peer.
type LoanRequest struct {
	Site Site
	// Until is the deadline to ask for. It is after the deadline of every waiting request.
	Until time.Time
}

// Scheduler is the service. Its methods are safe for concurrent use.
type Scheduler struct {
	self  ident.VM
	place ident.Place
	cap   shift.Cap
	// capacity is the part of each link's capacity that steered traffic may use, by the region at its other end.
	capacity map[ident.Region]ident.Mbps
	clock    func() time.Time
	// queueLength is how many requests of one customer may wait for a site.
	queueLength int

	messages     chan message
	stats        ring.Stats
	loanRequests chan LoanRequest
	loanStats    ring.Stats
	returns      chan share.Loan
	paused       chan struct{}

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
	queues  map[Site]*queue
	follow  map[followKey]*shift.Follower
	waiting map[uint64]*offer
	nextID  uint64
	// measured is when the last status was taken.
	measured time.Time
	config   *lists.Config
	plan     *plan.Traffic
	live     int
	targets  map[ident.Target]Site
	// leaving says which targets leave by the plan, noted which ones have announced it to this entry.
	leaving, noted map[ident.Target]bool
	usage          map[ident.Target]*usage
	// wanted counts the loan requests per site that no reply has come to yet.
	wanted map[Site]int
	// links meters the traffic of this entry to each other region.
	links map[ident.Region]*shift.Link
	// beatAt is the time of the last beat. unconfirmed says that a pause was found and no confirmed plan has come since.
	beatAt      time.Time
	unconfirmed bool
	// beats counts the runs of the control loop.
	beats uint64
	// expired is reused by each beat.
	expired []admit.Item
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

// WithQueueLength sets how many requests of one customer may wait for a site; 64 by default.
func WithQueueLength(n int) Option { return func(s *Scheduler) { s.queueLength = n } }

// WithLink sets the capacity of the link to another region that steered traffic may use. Without a link, no request
// goes to that region.
func WithLink(to ident.Region, usable ident.Mbps) Option {
	return func(s *Scheduler) { s.capacity[to] = usable }
}

// New returns the scheduler of an entry.
func New(self ident.VM, place ident.Place, src rand.Source, reg metrics.Registry, clock func() time.Time,
	opts ...Option) *Scheduler {
	s := &Scheduler{
		self: self, place: place, clock: clock, capacity: map[ident.Region]ident.Mbps{}, queueLength: 64,
		cap:      shift.Cap{PerStep: ident.Whole / 20, PerMinute: ident.Whole / 5},
		messages: make(chan message, ringSize), loanRequests: make(chan LoanRequest, 64), returns: make(chan share.Loan, 1024),
		paused: make(chan struct{}, 1),
		state: state{
			picker: route.New(src), holder: share.NewHolder(self), queues: map[Site]*queue{},
			follow: map[followKey]*shift.Follower{}, waiting: map[uint64]*offer{},
			targets: map[ident.Target]Site{}, noted: map[ident.Target]bool{},
			leaving: map[ident.Target]bool{}, usage: map[ident.Target]*usage{}, wanted: map[Site]int{},
			links: map[ident.Region]*shift.Link{}, live: 1,
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

// LoanRequests delivers requests for loans. The borrower task answers each with Lent or NotLent.
func (s *Scheduler) LoanRequests() <-chan LoanRequest { return s.loanRequests }

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
	site  Site
	reply chan verdict
}

func (o *offer) refuse(k kinds.Kind) { o.reply <- verdict{kind: k} }

func (o *offer) apply(s *Scheduler, now time.Time) {
	region, ok := s.state.picker.Draw(s.place.Region, o.Service)
	o.site = Site{o.Service, region}
	q := s.state.queues[o.site]
	if !ok || q == nil {
		o.refuse(kinds.NoTarget)
		return
	}
	q.arrived++
	if k := s.blocked(now, region); k != kinds.Answered {
		q.refuse(k)
		o.refuse(k)
		return
	}
	ref, free := s.choose(now, o.site, q, o.exclude())
	if o.Admitted {
		o.startRetry(s, q, ref, free)
		return
	}
	s.state.nextID++
	o.id = s.state.nextID
	d := q.Offer(now, admit.Item{ID: o.id, Customer: o.Customer, Class: o.Class, Deadline: o.Deadline}, free)
	if free && d.Verdict != admit.Run {
		s.state.holder.Release(ref.Name())
	}
	switch d.Verdict {
	case admit.Run:
		s.start(now, o, ref)
	case admit.Queued:
		s.queued.Inc(1)
		s.state.waiting[o.id] = o
		s.serve(now, o.site)
		s.requestLoan(now, o.site)
	default:
		q.refuse(d.Kind)
		o.refuse(d.Kind)
	}
}

// blocked says why no request may go to a region now: this entry's part of the link is used up, or there is none. Void
// grants do not block: requests then wait for loans.
func (s *Scheduler) blocked(now time.Time, region ident.Region) kinds.Kind {
	if region == s.place.Region {
		return kinds.Answered
	}
	if l := s.state.links[region]; l == nil || !l.Open(now) {
		return kinds.Overloaded
	}
	return kinds.Answered
}

// exclude lists the targets that are not to be chosen. An order never serves as the trial of a failed target.
func (o *offer) exclude() []route.TargetRef {
	if o.Class == admit.Order && len(o.Exclude) == 0 {
		return route.NoTrial
	}
	return o.Exclude
}

// startRetry starts another attempt of a request that was admitted before. It does not wait: the first attempt has used up
// a part of the deadline already.
func (o *offer) startRetry(s *Scheduler, q *queue, ref route.TargetRef, free bool) {
	if !free {
		q.refuse(kinds.Overloaded)
		o.refuse(kinds.Overloaded)
		return
	}
	s.start(s.clock(), o, ref)
}

// choose picks a target of the site and takes a slot of it.
func (s *Scheduler) choose(now time.Time, site Site, q *queue, exclude []route.TargetRef) (route.TargetRef, bool) {
	ref, ok := s.state.picker.PickIn(now, s.place, site.Service, site.Region, exclude, q.Wait())
	if !ok || !s.state.holder.TryTake(now, ref.Name()) {
		return route.TargetRef{}, false
	}
	return ref, true
}

func (s *Scheduler) start(now time.Time, o *offer, ref route.TargetRef) {
	s.state.picker.Started(ref)
	s.usage(ref.Name()).count(now, 1, Traffic{})
	s.admitted.Inc(1)
	o.reply <- verdict{slot: Slot{Ref: ref, Target: ref.Target(), Started: now}}
}

// serve gives free slots to waiting requests. None of them serves as a trial, since any of them may be an order.
func (s *Scheduler) serve(now time.Time, site Site) {
	q := s.state.queues[site]
	for q != nil && q.Len() > 0 && s.blocked(now, site.Region) == kinds.Answered {
		ref, free := s.choose(now, site, q, route.NoTrial)
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
	t := f.slot.Target
	site := Site{t.Service, t.Place.Region}
	s.usage(t.Name).count(now, -1, f.traffic)
	s.state.picker.Finished(now, f.slot.Ref, f.latency, f.result)
	if f.slot.Loan != 0 {
		s.giveBack(now, f.slot.Loan)
	} else {
		s.state.holder.Release(t.Name)
	}
	if l := s.state.links[t.Place.Region]; l != nil {
		l.Count(now, int64(max(f.traffic.Sent, f.traffic.Received)))
	}
	if q := s.state.queues[site]; q != nil && f.result == route.OK {
		q.finished(f.latency)
	}
	s.serve(now, site)
}

// limit tells the picker how many requests this entry may have at a target: grants less loans given, and loans taken.
func (s *Scheduler) limit(now time.Time, name ident.Target) {
	s.state.picker.SetLimit(name, s.state.holder.Limit(now, name))
}

// beatsPerRates is how many beats pass between two updates of the rates, which follow the weights during a shift.
const beatsPerRates = 50

func (s *Scheduler) beat(now time.Time) {
	s.state.holder.Beat(now)
	s.state.holder.Expire(now)
	s.notePause(now)
	s.followWeights(now)
	if s.state.beats++; s.state.beats%beatsPerRates == 0 {
		s.setQueues(now)
		for name := range s.state.targets {
			s.limit(now, name)
		}
	}
	for site, q := range s.state.queues {
		q.beats++
		q.waiting += q.Len()
		s.expire(now, q)
		s.serve(now, site)
		s.requestLoan(now, site)
	}
}

// notePause asks for a confirmed plan after a gap between two beats that made the grants void, until one comes.
func (s *Scheduler) notePause(now time.Time) {
	if !s.state.beatAt.IsZero() && now.Sub(s.state.beatAt) > share.PauseLimit {
		s.state.unconfirmed = true
	}
	s.state.beatAt = now
	if !s.state.unconfirmed {
		return
	}
	select {
	case s.paused <- struct{}{}:
	default:
	}
}

func (s *Scheduler) followWeights(now time.Time) {
	for key, f := range s.state.follow {
		if key.origin == s.place.Region {
			s.state.picker.SetWeights(key.service, key.origin, f.Weights(now))
		}
	}
}

// expire refuses the waiting requests that cannot finish in time any more.
func (s *Scheduler) expire(now time.Time, q *queue) {
	s.state.expired = q.Expire(now, s.state.expired[:0])
	for _, item := range s.state.expired {
		if o, ok := s.state.waiting[item.ID]; ok {
			delete(s.state.waiting, item.ID)
			q.refuse(kinds.DeadlineTooShort)
			o.refuse(kinds.DeadlineTooShort)
		}
	}
}
