package sched

import (
	"cmp"
	"context"
	"slices"
	"time"

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

// SetPlan puts a traffic plan in force. Older plans are ignored. Confirmed says that the plan was read again after the
// last signal of Paused; without it, the grants stay void after a pause.
func (s *Scheduler) SetPlan(ctx context.Context, t *plan.Traffic, confirmed bool) bool {
	return s.post(ctx, &setPlan{t, confirmed})
}

// Paused delivers a value after the control loop has not run for so long that the grants are void.
func (s *Scheduler) Paused() <-chan struct{} { return s.paused }

type setPlan struct {
	traffic   *plan.Traffic
	confirmed bool
}

func (m *setPlan) apply(s *Scheduler, now time.Time) {
	t := m.traffic
	if s.state.plan != nil && t.Version < s.state.plan.Version {
		return
	}
	s.state.plan = t
	targets := make([]route.Target, 0, len(t.Targets))
	s.state.targets = make(map[ident.Target]ident.Service, len(t.Targets))
	s.state.leaving = make(map[ident.Target]bool, len(t.Targets))
	for _, tg := range t.Targets {
		targets = append(targets, route.Target{
			Name: tg.Name, Service: tg.Service, Address: tg.Address, Place: tg.Place, Slots: tg.Slots,
			Leaving: tg.Leaving || s.state.noted[tg.Name],
		})
		s.state.targets[tg.Name] = tg.Service
		s.state.leaving[tg.Name] = tg.Leaving
	}
	s.state.picker.SetTargets(now, targets)
	if m.confirmed || s.state.holder.Version() == 0 || !s.state.holder.Void(now) {
		s.state.holder.Apply(now, t.Grants, t.Version)
	}
	s.setLimits(t)
	s.setRoutes(now, t)
	s.setQueues(now)
}

// setLimits tells the picker the slots of this entry; targets without a grant get none.
func (s *Scheduler) setLimits(t *plan.Traffic) {
	for name := range s.state.targets {
		s.state.picker.SetLimit(name, 0)
	}
	for _, g := range t.Grants {
		if g.Entry == s.self {
			s.state.picker.SetLimit(g.Target, g.Slots)
		}
	}
}

func (s *Scheduler) setRoutes(now time.Time, t *plan.Traffic) {
	for _, r := range t.Routes {
		key := followKey{r.Service, r.Origin}
		f, ok := s.state.follow[key]
		if !ok {
			f = shift.NewFollower(s.cap)
			s.state.follow[key] = f
		}
		f.Set(t.Version, r.Weights)
		if r.Origin == s.place.Region {
			s.state.picker.SetWeights(r.Service, r.Origin, f.Weights(now))
		}
	}
}

// setQueues makes a queue for each service that has targets or customers, and gives each its slots and rates.
func (s *Scheduler) setQueues(now time.Time) {
	slots := map[ident.Service]ident.Slots{}
	if s.state.plan != nil {
		for _, g := range s.state.plan.Grants {
			if g.Entry == s.self {
				slots[s.state.targets[g.Target]] += g.Slots
			}
		}
		for _, t := range s.state.plan.Targets {
			s.queue(t.Service)
		}
	}
	rates := s.rates()
	for svc, q := range s.state.queues {
		q.slots = slots[svc]
		q.SetSlots(s.usable(q.slots))
		q.SetRates(now, rates[svc], s.state.live)
	}
}

// usable is the number of slots that the admission counts on. An entry without slots of its own can borrow one at a
// time, so its requests wait for a loan and are not refused at once.
func (s *Scheduler) usable(own ident.Slots) ident.Slots {
	if s.state.live > 1 {
		return max(own, 1)
	}
	return own
}

func (s *Scheduler) queue(svc ident.Service) *queue {
	q, ok := s.state.queues[svc]
	if !ok {
		q = &queue{Queue: admit.New(admit.MaxLength(maxQueued/8, maxQueued)), usual: firstUsual}
		s.state.queues[svc] = q
	}
	return q
}

func (s *Scheduler) rates() map[ident.Service][]admit.Rate {
	rates := map[ident.Service][]admit.Rate{}
	if s.state.config == nil {
		return rates
	}
	uses := map[ident.PlanName][]lists.Use{}
	for _, u := range s.state.config.Uses {
		uses[u.Plan] = append(uses[u.Plan], u)
	}
	for _, c := range s.state.config.Customers {
		for _, u := range uses[c.Plan] {
			rates[u.Service] = append(rates[u.Service],
				admit.Rate{Customer: c.Customer, PerSecond: u.Rate, Weight: u.Weight})
		}
	}
	return rates
}

// SetConfig puts a configuration in force for live entries that share the rates. Older ones are ignored.
func (s *Scheduler) SetConfig(ctx context.Context, c *lists.Config, live int) bool {
	return s.post(ctx, &setConfig{c, live})
}

type setConfig struct {
	config *lists.Config
	live   int
}

func (m *setConfig) apply(s *Scheduler, now time.Time) {
	if m.config != nil && (s.state.config == nil || m.config.Version >= s.state.config.Version) {
		s.state.config = m.config
	}
	s.state.live = max(m.live, 1)
	s.setQueues(now)
}

// Observed is what a poll of a target's health and load endpoints said.
type Observed struct {
	Target  ident.Target
	Load    float64
	AsOf    time.Time
	Leaving bool
}

// Observe records a report of a target. A notice that the target leaves takes effect at once, before any plan says so.
func (s *Scheduler) Observe(ctx context.Context, o Observed) bool {
	return s.post(ctx, &o)
}

func (o *Observed) apply(s *Scheduler, now time.Time) {
	if o.Leaving {
		s.state.noted[o.Target] = true
	} else {
		delete(s.state.noted, o.Target)
	}
	s.state.picker.Leaving(now, o.Target, o.Leaving || s.state.leaving[o.Target])
	s.state.picker.Report(o.Target, o.Load, o.AsOf)
}

// wish asks the borrower task for a slot if more requests wait than loans are asked for. A full ring is counted; the
// next beat asks again.
func (s *Scheduler) wish(now time.Time, svc ident.Service) {
	if s.state.live < 2 || s.state.wanted[svc] >= s.state.queues[svc].Len() {
		return
	}
	select {
	case s.wishes <- LoanWish{svc, now.Add(share.MaxLoan - time.Second)}:
		s.state.wanted[svc]++
		s.wishStat.Sent()
	default:
		s.wishStat.Full()
	}
}

// Lent hands in a loan that a peer gave for a wish.
func (s *Scheduler) Lent(ctx context.Context, svc ident.Service, l share.Loan) {
	if !s.post(ctx, &lent{svc, l}) {
		s.giveBackLoan(l)
	}
}

// NotLent says that no peer gave a loan for a wish.
func (s *Scheduler) NotLent(ctx context.Context, svc ident.Service) {
	s.post(ctx, &lent{service: svc})
}

type lent struct {
	service ident.Service
	loan    share.Loan
}

func (m *lent) apply(s *Scheduler, now time.Time) {
	s.state.wanted[m.service] = max(s.state.wanted[m.service]-1, 0)
	if m.loan.ID == 0 {
		return
	}
	ref, known := s.state.picker.Lookup(m.loan.Target)
	q := s.state.queues[m.service]
	if !known || ref.Target().Leaving || q == nil || !s.state.holder.Borrow(now, m.loan) {
		s.giveBackLoan(m.loan)
		return
	}
	o, ok := s.next(now, q)
	if !ok {
		s.giveBack(m.loan.ID)
		return
	}
	if !s.state.holder.TakeBorrowed(now, m.loan.ID) {
		o.refuse(kinds.Overloaded)
		return
	}
	s.borrowed.Inc(1)
	s.state.picker.Started(ref)
	s.usage(ref.Name()).count(now, 1, Traffic{})
	o.reply <- verdict{slot: Slot{Ref: ref, Loan: m.loan.ID, Started: now}}
}

func (s *Scheduler) giveBack(id uint64) {
	if l, ok := s.state.holder.ReleaseBorrowed(id); ok {
		s.giveBackLoan(l)
	}
}

// giveBackLoan queues a loan for its return. If the ring is full, the lender gets the slot back after the deadline.
func (s *Scheduler) giveBackLoan(l share.Loan) {
	select {
	case s.returns <- l:
	default:
		s.wishStat.Full()
	}
}

// Lend asks for a slot for a peer. The loan's target is chosen here; false means that no slot is free.
func (s *Scheduler) Lend(ctx context.Context, svc ident.Service, l share.Loan) (ident.Target, bool) {
	m := &lend{service: svc, loan: l, reply: make(chan ident.Target, 1)}
	if !s.post(ctx, m) {
		return "", false
	}
	select {
	case t := <-m.reply:
		return t, t != ""
	case <-ctx.Done():
		// The loan may have been given; it ends at its deadline.
		return "", false
	}
}

type lend struct {
	service ident.Service
	loan    share.Loan
	reply   chan ident.Target
}

func (m *lend) apply(s *Scheduler, now time.Time) {
	q := s.state.queues[m.service]
	if q == nil || q.Len() > 0 {
		m.reply <- ""
		return
	}
	ref, ok := s.state.picker.Pick(now, s.place, m.service, nil)
	if !ok {
		m.reply <- ""
		return
	}
	m.loan.Target, m.loan.Lender = ref.Name(), s.self
	if !s.state.holder.Lend(now, m.loan) {
		m.reply <- ""
		return
	}
	s.lent.Inc(1)
	m.reply <- ref.Name()
}

// Returned ends a loan that this entry gave.
func (s *Scheduler) Returned(ctx context.Context, borrower ident.VM, inc ident.Incarnation, id uint64) bool {
	return s.post(ctx, &returned{borrower, inc, id})
}

type returned struct {
	borrower ident.VM
	inc      ident.Incarnation
	id       uint64
}

func (m *returned) apply(s *Scheduler, now time.Time) {
	if !s.state.holder.Return(m.borrower, m.inc, m.id) {
		return
	}
	for svc := range s.state.queues {
		s.serve(now, svc)
	}
}

// Status is the state of the scheduler at one time, for reports and dumps.
type Status struct {
	Plan     ident.Version   `json:"plan-version"`
	Acked    ident.Version   `json:"acked-plan-version"`
	Config   ident.Version   `json:"config-version"`
	Void     bool            `json:"grants-void"`
	Live     int             `json:"live-entries"`
	Uses     []share.Use     `json:"slots"`
	Targets  []TargetStatus  `json:"targets"`
	Services []ServiceStatus `json:"services"`
	Weights  []WeightStatus  `json:"weights"`
	Leaving  []ident.Target  `json:"leaving-targets"`
	Ring     ring.Counts     `json:"ring"`
	Loans    ring.Counts     `json:"loan-ring"`
}

// TargetStatus is the use of one target by this entry since the last status.
type TargetStatus struct {
	Target     ident.Target  `json:"target"`
	Service    ident.Service `json:"service"`
	InProgress int           `json:"in-progress"`
	// Mean is the mean number of requests in progress.
	Mean float64 `json:"mean"`
	// BitsPerSecond is the traffic in the busier direction.
	BitsPerSecond float64 `json:"bits-per-second"`
}

// ServiceStatus is the demand of one service since the last status.
type ServiceStatus struct {
	Service ident.Service `json:"service"`
	Slots   ident.Slots   `json:"slots"`
	Waiting int           `json:"waiting"`
	Arrived uint64        `json:"arrived"`
	Refused uint64        `json:"refused"`
	// Wanted is the mean number of slots that waiting and refused requests would have used.
	Wanted float64 `json:"wanted"`
}

// WeightStatus is where the requests of a service go that arrive in one region.
type WeightStatus struct {
	Service ident.Service  `json:"service"`
	Origin  ident.Region   `json:"origin"`
	Weights []shift.Weight `json:"weights"`
}

// Status returns the present state, or false if ctx ends before. With restart, means and peaks start anew; only one
// reader may ask for that.
func (s *Scheduler) Status(ctx context.Context, restart bool) (Status, bool) {
	m := &status{restart: restart, reply: make(chan Status, 1)}
	if !s.post(ctx, m) {
		return Status{}, false
	}
	select {
	case st := <-m.reply:
		return st, true
	case <-ctx.Done():
		return Status{}, false
	}
}

type status struct {
	restart bool
	reply   chan Status
}

func (m *status) apply(s *Scheduler, now time.Time) {
	st := Status{
		Plan: s.state.holder.Version(), Acked: s.state.holder.Acked(), Void: s.state.holder.Void(now),
		Live: s.state.live, Uses: s.state.holder.Uses(now, nil), Ring: s.stats.Counts(), Loans: s.wishStat.Counts(),
	}
	if s.state.config != nil {
		st.Config = s.state.config.Version
	}
	var elapsed time.Duration
	if !s.state.measured.IsZero() {
		elapsed = now.Sub(s.state.measured)
	}
	st.Targets = s.targetStatus(now, elapsed)
	for svc, q := range s.state.queues {
		st.Services = append(st.Services,
			ServiceStatus{svc, q.slots, q.Len(), q.arrived, q.refused, q.wanted(elapsed)})
	}
	if m.restart {
		s.restart(now)
	}
	for key, f := range s.state.follow {
		st.Weights = append(st.Weights, WeightStatus{key.service, key.origin, slices.Clone(f.Weights(now))})
	}
	for name := range s.state.noted {
		st.Leaving = append(st.Leaving, name)
	}
	sortStatus(&st)
	m.reply <- st
}

func (s *Scheduler) targetStatus(now time.Time, elapsed time.Duration) []TargetStatus {
	targets := make([]TargetStatus, 0, len(s.state.usage))
	for name, u := range s.state.usage {
		u.count(now, 0, Traffic{})
		ts := TargetStatus{Target: name, Service: s.state.targets[name], InProgress: u.inProgress}
		if elapsed > 0 {
			ts.Mean = u.slotTime.Seconds() / elapsed.Seconds()
			ts.BitsPerSecond = 8 * float64(max(u.traffic.Sent, u.traffic.Received)) / elapsed.Seconds()
		}
		targets = append(targets, ts)
	}
	slices.SortFunc(targets, func(a, b TargetStatus) int { return cmp.Compare(a.Target, b.Target) })
	return targets
}

// restart starts the measurements anew and drops those of targets that are gone.
func (s *Scheduler) restart(now time.Time) {
	s.state.measured = now
	for _, q := range s.state.queues {
		q.waiting, q.beats, q.short = 0, 0, 0
	}
	for name, u := range s.state.usage {
		u.slotTime, u.traffic = 0, Traffic{}
		if _, known := s.state.targets[name]; !known && u.inProgress == 0 {
			delete(s.state.usage, name)
		}
	}
}

func sortStatus(st *Status) {
	slices.SortFunc(st.Services, func(a, b ServiceStatus) int { return cmp.Compare(a.Service, b.Service) })
	slices.SortFunc(st.Weights, func(a, b WeightStatus) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Origin, b.Origin))
	})
	slices.Sort(st.Leaving)
}

// Dump implements kernel.Service.
func (s *Scheduler) Dump(time.Time) any {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	st, ok := s.Status(ctx, false)
	if !ok {
		return "the scheduler does not answer"
	}
	return st
}
