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
	// After a pause this message may come before the first beat.
	s.notePause(now)
	t := m.traffic
	if s.state.plan != nil && t.Version < s.state.plan.Version {
		return
	}
	s.state.plan = t
	s.state.targets = make(map[ident.Target]Site, len(t.Targets))
	s.state.leaving = make(map[ident.Target]bool, len(t.Targets))
	targets := make([]route.Target, 0, len(t.Targets))
	for _, tg := range t.Targets {
		targets = append(targets, route.Target{
			Name: tg.Name, Service: tg.Service, Address: tg.Address, Place: tg.Place, Slots: tg.Slots,
			Leaving: tg.Leaving || s.state.noted[tg.Name],
		})
		s.state.targets[tg.Name] = Site{tg.Service, tg.Place.Region}
		s.state.leaving[tg.Name] = tg.Leaving
	}
	s.state.picker.SetTargets(now, targets)
	if m.confirmed {
		s.state.unconfirmed = false
	}
	if !s.state.unconfirmed {
		s.state.holder.Apply(now, t.Grants, t.Version)
	}
	for name := range s.state.targets {
		s.limit(now, name)
	}
	s.setRoutes(now, t)
	s.setQueues(now)
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
	}
	s.followWeights(now)
}

// setQueues makes a queue for each site of the plan, and gives each its slots and rates and each link its limit.
func (s *Scheduler) setQueues(now time.Time) {
	slots := map[Site]ident.Slots{}
	if s.state.plan != nil {
		for _, g := range s.state.plan.Grants {
			if g.Entry == s.self {
				slots[s.state.targets[g.Target]] += g.Slots
			}
		}
		for _, t := range s.state.plan.Targets {
			s.queue(Site{t.Service, t.Place.Region})
		}
	}
	rates := s.rates()
	for site, q := range s.state.queues {
		q.slots = slots[site]
		q.SetSlots(s.usable(q.slots))
		q.SetRates(now, scaled(rates[site.Service], s.share(now, site)), s.state.live)
	}
	for region, usable := range s.capacity {
		l, ok := s.state.links[region]
		if !ok {
			l = &shift.Link{}
			s.state.links[region] = l
		}
		l.SetLimit(now, usable, 1, s.state.live)
	}
}

// share is the part of a service's traffic at this entry that goes to the site.
func (s *Scheduler) share(now time.Time, site Site) float64 {
	f, ok := s.state.follow[followKey{site.Service, s.place.Region}]
	if !ok {
		return 1
	}
	for _, w := range f.Weights(now) {
		if w.Region == site.Region {
			return float64(w.Share) / float64(ident.Whole)
		}
	}
	return 0
}

// scaled divides the rates of customers among the sites of a service.
func scaled(rates []admit.Rate, share float64) []admit.Rate {
	part := slices.Clone(rates)
	for i := range part {
		part[i].PerSecond *= share
	}
	return part
}

// usable is the number of slots that the admission counts on. An entry without slots of its own can borrow one at a
// time, so its requests wait for a loan and are not refused at once.
func (s *Scheduler) usable(own ident.Slots) ident.Slots {
	if s.state.live > 1 {
		return max(own, 1)
	}
	return own
}

func (s *Scheduler) queue(site Site) *queue {
	q, ok := s.state.queues[site]
	if !ok {
		q = &queue{Queue: admit.New(admit.MaxLength(s.queueLength, maxQueued)), usual: firstUsual}
		s.state.queues[site] = q
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

// Inherit says that a process of this VM ended without a planned stop before this one started. Its loans may still be
// out, so the grants are void until they have ended; until then requests are served with loans of peers.
func (s *Scheduler) Inherit(ctx context.Context, started time.Time) bool {
	return s.post(ctx, &inherit{started})
}

type inherit struct{ started time.Time }

func (m *inherit) apply(s *Scheduler, _ time.Time) { s.state.holder.Inherit(m.started) }

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

// requestLoan asks the borrower task for a slot if more requests wait than loans are asked for. A full ring is counted; the
// next beat asks again.
func (s *Scheduler) requestLoan(now time.Time, site Site) {
	if s.state.live < 2 || s.state.wanted[site] >= s.state.queues[site].Len() {
		return
	}
	select {
	case s.loanRequests <- LoanRequest{site, now.Add(share.MaxLoan - time.Second)}:
		s.state.wanted[site]++
		s.loanStats.Sent()
	default:
		s.loanStats.Full()
	}
}

// Lent hands in a loan that a peer gave for a loan request.
func (s *Scheduler) Lent(ctx context.Context, site Site, l share.Loan) {
	if !s.post(ctx, &lent{site, l}) {
		s.giveBackLoan(l)
	}
}

// NotLent says that no peer gave a loan for a loan request.
func (s *Scheduler) NotLent(ctx context.Context, site Site) {
	s.post(ctx, &lent{site: site})
}

type lent struct {
	site Site
	loan share.Loan
}

func (m *lent) apply(s *Scheduler, now time.Time) {
	s.state.wanted[m.site] = max(s.state.wanted[m.site]-1, 0)
	if m.loan.ID == 0 {
		return
	}
	ref, known := s.state.picker.Lookup(m.loan.Target)
	q := s.state.queues[m.site]
	if !known || s.state.noted[m.loan.Target] || s.state.leaving[m.loan.Target] || q == nil ||
		!s.state.holder.Borrow(now, m.loan) {
		s.giveBackLoan(m.loan)
		return
	}
	o, ok := s.next(now, q)
	if !ok {
		s.giveBack(now, m.loan.ID)
		return
	}
	if !s.state.holder.TakeBorrowed(now, m.loan.ID) {
		o.refuse(kinds.Overloaded)
		return
	}
	s.limit(now, m.loan.Target)
	s.borrowed.Inc(1)
	s.state.picker.Started(ref)
	s.usage(ref.Name()).count(now, 1, Traffic{})
	o.reply <- verdict{slot: Slot{Ref: ref, Target: ref.Target(), Loan: m.loan.ID, Started: now}}
}

func (s *Scheduler) giveBack(now time.Time, id uint64) {
	if l, ok := s.state.holder.ReleaseBorrowed(id); ok {
		s.limit(now, l.Target)
		s.giveBackLoan(l)
	}
}

// giveBackLoan queues a loan for its return. If the ring is full, the lender gets the slot back after the deadline.
func (s *Scheduler) giveBackLoan(l share.Loan) {
	select {
	case s.returns <- l:
	default:
		s.loanStats.Full()
	}
}

// Lend asks for a slot for a peer. The loan's target is chosen here; false means that no slot is free.
func (s *Scheduler) Lend(ctx context.Context, site Site, l share.Loan) (ident.Target, bool) {
	m := &lend{site: site, loan: l, reply: make(chan ident.Target, 1)}
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
	site  Site
	loan  share.Loan
	reply chan ident.Target
}

func (m *lend) apply(s *Scheduler, now time.Time) {
	q := s.state.queues[m.site]
	if q == nil || q.Len() > 0 {
		m.reply <- ""
		return
	}
	ref, ok := s.state.picker.PickIn(now, s.place, m.site.Service, m.site.Region, route.NoTrial, 0)
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
	s.limit(now, ref.Name())
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

// apply leaves the picker's limits of the target to the next beat if the loan is not known any more.
func (m *returned) apply(s *Scheduler, now time.Time) {
	if !s.state.holder.Return(m.borrower, m.inc, m.id) {
		return
	}
	for name := range s.state.targets {
		s.limit(now, name)
	}
	for site := range s.state.queues {
		s.serve(now, site)
	}
}

// Status is the state of the scheduler at one time, for reports and dumps.
type Status struct {
	Plan    ident.Version  `json:"plan-version"`
	Acked   ident.Version  `json:"acked-plan-version"`
	Config  ident.Version  `json:"config-version"`
	Void    bool           `json:"grants-void"`
	Live    int            `json:"live-entries"`
	Uses    []share.Use    `json:"slots"`
	Targets []TargetStatus `json:"targets"`
	Sites   []SiteStatus   `json:"sites"`
	Links   []LinkStatus   `json:"links"`
	Weights []WeightStatus `json:"weights"`
	Leaving []ident.Target `json:"leaving-targets"`
	Ring    ring.Counts    `json:"ring"`
	Loans   ring.Counts    `json:"loan-ring"`
}

// TargetStatus is the use of one target by this entry since the last status.
type TargetStatus struct {
	Target ident.Target `json:"target"`
	Site
	InProgress int `json:"in-progress"`
	// Mean is the mean number of requests in progress.
	Mean float64 `json:"mean"`
	// BitsPerSecond is the traffic in the busier direction.
	BitsPerSecond float64 `json:"bits-per-second"`
}

// SiteStatus is the demand of this entry for one site since the last status.
type SiteStatus struct {
	Site
	Slots   ident.Slots `json:"slots"`
	Waiting int         `json:"waiting"`
	Arrived uint64      `json:"arrived"`
	Refused uint64      `json:"refused"`
	// Wanted is the mean number of slots that waiting and refused requests would have used.
	Wanted float64 `json:"wanted"`
}

// LinkStatus is the traffic of this entry to another region.
type LinkStatus struct {
	To   ident.Region `json:"to"`
	Mbps float64      `json:"mbit-per-second"`
	Open bool         `json:"open"`
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
		Live: s.state.live, Uses: s.state.holder.Uses(now, nil), Ring: s.stats.Counts(), Loans: s.loanStats.Counts(),
	}
	if s.state.config != nil {
		st.Config = s.state.config.Version
	}
	var elapsed time.Duration
	if !s.state.measured.IsZero() {
		elapsed = now.Sub(s.state.measured)
	}
	st.Targets = s.targetStatus(now, elapsed)
	for site, q := range s.state.queues {
		st.Sites = append(st.Sites, SiteStatus{site, q.slots, q.Len(), q.arrived, q.refused, q.wanted(elapsed)})
	}
	for region, l := range s.state.links {
		st.Links = append(st.Links, LinkStatus{region, l.Mbps(now), l.Open(now)})
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
		ts := TargetStatus{Target: name, Site: s.state.targets[name], InProgress: u.inProgress}
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
	slices.SortFunc(st.Sites, func(a, b SiteStatus) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Region, b.Region))
	})
	slices.SortFunc(st.Links, func(a, b LinkStatus) int { return cmp.Compare(a.To, b.To) })
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
