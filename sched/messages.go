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

// SetPlan puts a traffic plan in force. Plans older than the current one are ignored. confirmed says that the plan was
// read again after the last signal of Paused; without it, the grants stay void after a pause.
func (s *Scheduler) SetPlan(ctx context.Context, t *plan.TrafficPlan, confirmed bool) bool {
	return s.post(ctx, &setPlan{t, confirmed})
}

// Paused returns a channel that gets a value when the control loop has not run for so long that the grants are void.
func (s *Scheduler) Paused() <-chan struct{} { return s.paused }

type setPlan struct {
	traffic   *plan.TrafficPlan
	confirmed bool
}

func (m *setPlan) apply(s *Scheduler, now time.Time) {
	// After a pause, this message may be handled before the first tick.
	s.checkPause(now)
	t := m.traffic
	if s.state.plan != nil && t.Version < s.state.plan.Version {
		return
	}
	s.state.plan = t
	s.state.targets = make(map[ident.Target]Site, len(t.Targets))
	s.state.planLeaving = make(map[ident.Target]bool, len(t.Targets))
	targets := make([]route.Target, 0, len(t.Targets))
	for _, tg := range t.Targets {
		targets = append(targets, route.Target{
			Name: tg.Name, Service: tg.Service, Address: tg.Address, Place: tg.Place, Slots: tg.Slots,
			Leaving: tg.Leaving || s.state.announcedLeaving[tg.Name],
		})
		s.state.targets[tg.Name] = Site{tg.Service, tg.Place.Region}
		s.state.planLeaving[tg.Name] = tg.Leaving
	}
	s.state.picker.SetTargets(now, targets)
	if m.confirmed {
		s.state.awaitingPlan = false
	}
	if !s.state.awaitingPlan {
		s.state.holder.Apply(now, t.Grants, t.Version)
	}
	for name := range s.state.targets {
		s.updateLimit(now, name)
	}
	s.updateRoutes(now, t)
	s.updateQueues(now)
}

// updateRoutes sets the target weights of each traffic shift from the plan.
func (s *Scheduler) updateRoutes(now time.Time, t *plan.TrafficPlan) {
	for _, r := range t.Routes {
		key := followerKey{r.Service, r.Origin}
		f, ok := s.state.followers[key]
		if !ok {
			f = shift.NewWeightLimiter(s.shiftCap)
			s.state.followers[key] = f
		}
		f.Set(t.Version, r.Weights)
	}
	s.updateWeights(now)
}

// updateQueues adds a queue for each site of the plan and sets the slots and rates of all queues and the limits of all
// links.
func (s *Scheduler) updateQueues(now time.Time) {
	slots := map[Site]ident.Slots{}
	if s.state.plan != nil {
		for _, g := range s.state.plan.Grants {
			if g.Entry == s.self {
				slots[s.state.targets[g.Target]] += g.Slots
			}
		}
		for _, t := range s.state.plan.Targets {
			s.queueFor(Site{t.Service, t.Place.Region})
		}
	}
	rates := s.customerRates()
	for site, q := range s.state.queues {
		q.slots = slots[site]
		q.SetSlots(s.admissionSlots(q.slots))
		q.SetRates(now, scaleRates(rates[site.Service], s.siteShare(now, site)), s.state.liveEntries)
	}
	for region, usable := range s.linkCapacity {
		l, ok := s.state.links[region]
		if !ok {
			l = &shift.LinkLimiter{}
			s.state.links[region] = l
		}
		l.SetLimit(now, usable, 1, s.state.liveEntries)
	}
}

// siteShare returns the fraction of a service's traffic at this entry that goes to the site.
func (s *Scheduler) siteShare(now time.Time, site Site) float64 {
	f, ok := s.state.followers[followerKey{site.Service, s.place.Region}]
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

// scaleRates returns the customers' rates multiplied by a site's share of the service's traffic.
func scaleRates(rates []admit.Rate, share float64) []admit.Rate {
	part := slices.Clone(rates)
	for i := range part {
		part[i].PerSecond *= share
	}
	return part
}

// admissionSlots returns the number of slots that admission assumes. An entry without slots of its own can borrow one at a
// time while other entries are live, so its requests wait for a loan and are not refused immediately.
func (s *Scheduler) admissionSlots(own ident.Slots) ident.Slots {
	if s.state.liveEntries > 1 {
		return max(own, 1)
	}
	return own
}

// queueFor returns the queue of the site and creates it if it does not exist.
func (s *Scheduler) queueFor(site Site) *queue {
	q, ok := s.state.queues[site]
	if !ok {
		q = &queue{Queue: admit.New(admit.WithMaxLength(s.queueLength, maxQueuedPerSite)), meanHoldTime: initialHoldTime}
		s.state.queues[site] = q
	}
	return q
}

// customerRates returns the rates of all customers by service, from the configuration.
func (s *Scheduler) customerRates() map[ident.Service][]admit.Rate {
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

// SuspendForOldLoans records that an earlier process of this VM ended without a planned stop before this one started. Slots that it
// lent may still be in use, so the grants are void until its loans have ended; until then, requests use loans from peers.
func (s *Scheduler) SuspendForOldLoans(ctx context.Context, started time.Time) bool {
	return s.post(ctx, &inherit{started})
}

type inherit struct{ started time.Time }

func (m *inherit) apply(s *Scheduler, _ time.Time) { s.state.holder.SuspendForOldLoans(m.started) }

// SetConfig puts a configuration in force and sets the number of live entries that share the rates. Older configurations
// are ignored.
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
	s.state.liveEntries = max(m.live, 1)
	s.updateQueues(now)
}

// TargetReport is the result of polling a target's health and load endpoints.
type TargetReport struct {
	Target  ident.Target
	Load    float64
	AsOf    time.Time
	Leaving bool
}

// RecordReport records the result of a poll. A target that announces that it leaves gets no new work from then on, without
// waiting for a new plan.
func (s *Scheduler) RecordReport(ctx context.Context, o TargetReport) bool {
	return s.post(ctx, &o)
}

func (o *TargetReport) apply(s *Scheduler, now time.Time) {
	if o.Leaving {
		s.state.announcedLeaving[o.Target] = true
	} else {
		delete(s.state.announcedLeaving, o.Target)
	}
	s.state.picker.SetLeaving(now, o.Target, o.Leaving || s.state.planLeaving[o.Target])
	s.state.picker.RecordLoad(o.Target, o.Load, o.AsOf)
}

// requestLoan asks the borrower task for a slot if the site has more waiting requests than pending loan requests. If the
// channel is full, it counts the failure, and the next tick tries again.
func (s *Scheduler) requestLoan(now time.Time, site Site) {
	if s.state.liveEntries < 2 || s.state.pendingLoans[site] >= s.state.queues[site].Len() {
		return
	}
	select {
	case s.loanRequests <- LoanRequest{site, now.Add(share.MaxLoanDuration - time.Second)}:
		s.state.pendingLoans[site]++
		s.loanStats.Sent()
	default:
		s.loanStats.Full()
	}
}

// LoanGranted delivers a loan that a peer gave in answer to a loan request.
func (s *Scheduler) LoanGranted(ctx context.Context, site Site, l share.Loan) {
	if !s.post(ctx, &loanReply{site, l}) {
		s.queueLoanReturn(l)
	}
}

// LoanDenied reports that no peer gave a loan in answer to a loan request.
func (s *Scheduler) LoanDenied(ctx context.Context, site Site) {
	s.post(ctx, &loanReply{site: site})
}

// loanReply is the answer to a loan request; the loan's ID is zero if there is no loan.
type loanReply struct {
	site Site
	loan share.Loan
}

func (m *loanReply) apply(s *Scheduler, now time.Time) {
	s.state.pendingLoans[m.site] = max(s.state.pendingLoans[m.site]-1, 0)
	if m.loan.ID == 0 {
		return
	}
	ref, known := s.state.picker.Lookup(m.loan.Target)
	q := s.state.queues[m.site]
	if !known || s.state.announcedLeaving[m.loan.Target] || s.state.planLeaving[m.loan.Target] || q == nil ||
		!s.state.holder.Borrow(now, m.loan) {
		s.queueLoanReturn(m.loan)
		return
	}
	p, ok := s.nextWaiting(now, q)
	if !ok {
		s.returnLoan(now, m.loan.ID)
		return
	}
	if !s.state.holder.TakeBorrowed(now, m.loan.ID) {
		p.refuse(kinds.Overloaded)
		return
	}
	s.updateLimit(now, m.loan.Target)
	s.borrowed.Inc(1)
	s.state.picker.Started(ref)
	s.usageOf(ref.Name()).add(now, 1, Traffic{})
	p.reply <- acquireResult{slot: Slot{Ref: ref, Target: ref.Target(), Loan: m.loan.ID, Started: now}}
}

// returnLoan releases a borrowed slot and queues the loan for its return to the lender.
func (s *Scheduler) returnLoan(now time.Time, id uint64) {
	if l, ok := s.state.holder.ReleaseBorrowed(id); ok {
		s.updateLimit(now, l.Target)
		s.queueLoanReturn(l)
	}
}

// queueLoanReturn queues a loan for its return. If the channel is full, the loan is not returned and the lender gets the
// slot back after the loan's deadline.
func (s *Scheduler) queueLoanReturn(l share.Loan) {
	select {
	case s.loanReturns <- l:
	default:
		s.loanStats.Full()
	}
}

// Lend lends a slot to a peer and returns the target, which is chosen here. It reports false if no slot is free.
func (s *Scheduler) Lend(ctx context.Context, site Site, l share.Loan) (ident.Target, bool) {
	m := &lendRequest{site: site, loan: l, reply: make(chan ident.Target, 1)}
	if !s.post(ctx, m) {
		return "", false
	}
	select {
	case t := <-m.reply:
		return t, t != ""
	case <-ctx.Done():
		// The slot may have been lent all the same; that loan ends at its deadline.
		return "", false
	}
}

type lendRequest struct {
	site  Site
	loan  share.Loan
	reply chan ident.Target
}

func (m *lendRequest) apply(s *Scheduler, now time.Time) {
	q := s.state.queues[m.site]
	if q == nil || q.Len() > 0 {
		m.reply <- ""
		return
	}
	ref, ok := s.state.picker.PickInRegion(now, s.place, m.site.Service, m.site.Region, route.ExcludeTrials, 0)
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
	s.updateLimit(now, ref.Name())
	m.reply <- ref.Name()
}

// EndLoan ends a loan that this entry gave.
func (s *Scheduler) EndLoan(ctx context.Context, borrower ident.VM, inc ident.Incarnation, id uint64) bool {
	return s.post(ctx, &loanReturned{borrower, inc, id})
}

type loanReturned struct {
	borrower ident.VM
	inc      ident.Incarnation
	id       uint64
}

// apply updates the limits only if the loan is known; otherwise the next periodic update does.
func (m *loanReturned) apply(s *Scheduler, now time.Time) {
	if !s.state.holder.EndLoan(m.borrower, m.inc, m.id) {
		return
	}
	for name := range s.state.targets {
		s.updateLimit(now, name)
	}
	for site := range s.state.queues {
		s.serveWaiting(now, site)
	}
}

// Status is a snapshot of the scheduler's state for reports and dumps.
type Status struct {
	PlanVersion      ident.Version  `json:"plan-version"`
	AckedPlanVersion ident.Version  `json:"acked-plan-version"`
	ConfigVersion    ident.Version  `json:"config-version"`
	Void             bool           `json:"grants-void"`
	Live             int            `json:"live-entries"`
	Slots            []share.Usage  `json:"slots"`
	Targets          []TargetStatus `json:"targets"`
	Sites            []SiteStatus   `json:"sites"`
	Links            []LinkStatus   `json:"links"`
	Weights          []WeightStatus `json:"weights"`
	Leaving          []ident.Target `json:"leaving-targets"`
	MessageQueue     ring.Counts    `json:"ring"`
	Loans            ring.Counts    `json:"loan-ring"`
}

// TargetStatus is the use of one target by this entry since the last status with restart.
type TargetStatus struct {
	Target ident.Target `json:"target"`
	Site
	InProgress int `json:"in-progress"`
	// MeanInProgress is the mean number of requests in progress.
	MeanInProgress float64 `json:"mean"`
	// BitsPerSecond is the traffic in the direction with more of it.
	BitsPerSecond float64 `json:"bits-per-second"`
}

// SiteStatus is the demand of this entry for one site. Arrived and Refused are totals; UnmetSlots is a mean since the last
// status with restart.
type SiteStatus struct {
	Site
	Slots   ident.Slots `json:"slots"`
	Waiting int         `json:"waiting"`
	Arrived uint64      `json:"arrived"`
	Refused uint64      `json:"refused"`
	// UnmetSlots is the mean number of further slots that waiting and refused requests would have used.
	UnmetSlots float64 `json:"wanted"`
}

// LinkStatus is the traffic of this entry to another region.
type LinkStatus struct {
	To          ident.Region `json:"to"`
	Mbps        float64      `json:"mbit-per-second"`
	HasCapacity bool         `json:"open"`
}

// WeightStatus is the distribution over regions of a service's requests that arrive in one region.
type WeightStatus struct {
	Service ident.Service  `json:"service"`
	Origin  ident.Region   `json:"origin"`
	Weights []shift.Weight `json:"weights"`
}

// Status returns the current state, or false if ctx ends first. With restart, it also starts a new measurement period, so
// only one caller may set restart.
func (s *Scheduler) Status(ctx context.Context, restart bool) (Status, bool) {
	m := &statusRequest{restart: restart, reply: make(chan Status, 1)}
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

type statusRequest struct {
	restart bool
	reply   chan Status
}

func (m *statusRequest) apply(s *Scheduler, now time.Time) {
	st := Status{
		PlanVersion: s.state.holder.Version(), AckedPlanVersion: s.state.holder.Acked(), Void: s.state.holder.Suspended(now),
		Live: s.state.liveEntries, Slots: s.state.holder.AppendUsage(now, nil), MessageQueue: s.messageStats.Counts(), Loans: s.loanStats.Counts(),
	}
	if s.state.config != nil {
		st.ConfigVersion = s.state.config.Version
	}
	var elapsed time.Duration
	if !s.state.measuredSince.IsZero() {
		elapsed = now.Sub(s.state.measuredSince)
	}
	st.Targets = s.targetStatus(now, elapsed)
	for site, q := range s.state.queues {
		st.Sites = append(st.Sites, SiteStatus{site, q.slots, q.Len(), q.arrived, q.refused, q.unmetSlots(elapsed)})
	}
	for region, l := range s.state.links {
		st.Links = append(st.Links, LinkStatus{region, l.Mbps(now), l.Allow(now)})
	}
	if m.restart {
		s.resetMeasurements(now)
	}
	for key, f := range s.state.followers {
		st.Weights = append(st.Weights, WeightStatus{key.service, key.origin, slices.Clone(f.Weights(now))})
	}
	for name := range s.state.announcedLeaving {
		st.Leaving = append(st.Leaving, name)
	}
	sortStatus(&st)
	m.reply <- st
}

func (s *Scheduler) targetStatus(now time.Time, elapsed time.Duration) []TargetStatus {
	targets := make([]TargetStatus, 0, len(s.state.usage))
	for name, u := range s.state.usage {
		u.add(now, 0, Traffic{})
		ts := TargetStatus{Target: name, Site: s.state.targets[name], InProgress: u.inProgress}
		if elapsed > 0 {
			ts.MeanInProgress = u.slotTime.Seconds() / elapsed.Seconds()
			ts.BitsPerSecond = 8 * float64(max(u.traffic.Sent, u.traffic.Received)) / elapsed.Seconds()
		}
		targets = append(targets, ts)
	}
	slices.SortFunc(targets, func(a, b TargetStatus) int { return cmp.Compare(a.Target, b.Target) })
	return targets
}

// resetMeasurements starts a new measurement period and removes the measurements of targets that no longer exist.
func (s *Scheduler) resetMeasurements(now time.Time) {
	s.state.measuredSince = now
	for _, q := range s.state.queues {
		q.waitingSum, q.ticks, q.slotRefusals = 0, 0, 0
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
