package steer

import (
	"bytes"
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/kernel"
	"github.com/currantpier/currantpier/kinds"
	"github.com/currantpier/currantpier/lease"
	"github.com/currantpier/currantpier/lists"
	"github.com/currantpier/currantpier/member"
	"github.com/currantpier/currantpier/node"
	"github.com/currantpier/currantpier/plan"
	"github.com/currantpier/currantpier/relay"
	"github.com/currantpier/currantpier/share"
	"github.com/currantpier/currantpier/shift"
	"github.com/currantpier/currantpier/store"
	"github.com/currantpier/currantpier/wire"
)

const (
	// roundInterval is the interval between two rounds of the planner. Together with the time that a plan needs to
	// reach the entries it is well below the 3 s after which a leaving target must receive no new requests.
	roundInterval = 500 * time.Millisecond
	// maxReportAge is the age from which the report of an entry that sends no more is deleted. It is far above the age
	// from which a report counts as stale.
	maxReportAge = 2 * time.Minute
	// successorGrace is how long a new holder of the lease waits for the reports of all entries: they send one every 2 s,
	// once they have found the new holder.
	successorGrace = 10 * time.Second
)

// report is the newest report of one entry. at is the time at which it was received.
type report struct {
	at  time.Time
	msg *wire.ReportRequest
}

// planner is the service that competes for the steering lease and, while it holds the lease, computes and publishes
// traffic plans.
type planner struct {
	d      *Daemon
	keeper *lease.Keeper

	mu      sync.Mutex
	reports map[ident.VM]report
	// reason and input belong to the last computed plan. They are kept for dumps.
	reason plan.Changes
	input  plan.Input

	// The following fields are used by the goroutine of Run only.

	// nextStep is the time of the next step of the lease.
	nextStep time.Time
	// heldSince is the time since which this process has held the lease. It has no meaning while it does not.
	heldSince time.Time
	// current is the plan from which the next one is computed. It is valid if currentKnown is set. Its version is the
	// predecessor of the next one.
	current      plan.TrafficPlan
	currentKnown bool
	// row is the row of the plan as last read or written, without its value. It holds current unless lost is set: then
	// the store has lost the plan in force, which is current, or has a malformed one in its place. The next plan is then
	// published even if it equals the one in force.
	row  store.Row
	lost bool

	// fenced counts the plans that were not written because the lease or the plan in the store had changed.
	computed, published, fenced metrics.Counter
	computeTime                 metrics.Timer
}

func newPlanner(d *Daemon, k *lease.Keeper) *planner {
	return &planner{
		d: d, keeper: k, reports: map[ident.VM]report{},
		computed:    metrics.GetOrRegisterCounter("plans-computed", d.metrics),
		published:   metrics.GetOrRegisterCounter("plans-published", d.metrics),
		fenced:      metrics.GetOrRegisterCounter("plans-fenced", d.metrics),
		computeTime: metrics.GetOrRegisterTimer("plan-time", d.metrics),
	}
}

// Name implements kernel.Service.
func (p *planner) Name() string { return "planner" }

// Run runs a round in each interval until ctx is done. It then releases the lease, so that another process can take it
// without waiting for it to expire.
func (p *planner) Run(ctx context.Context) error {
	defer p.release()
	t := time.NewTicker(roundInterval)
	defer t.Stop()
	for {
		if !kernel.Guard(p.d.logger, "planner", func() { p.runRound(ctx) }) {
			p.currentKnown = false
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
}

// release releases the lease.
func (p *planner) release() {
	ctx, cancel := context.WithTimeout(context.Background(), store.DefaultTimeout)
	defer cancel()
	if err := p.keeper.Release(ctx); err != nil {
		level.Warn(p.d.logger).Log("event", "lease-release", "err", err)
	}
}

// candidate reports whether vm may compete for the lease: it must be live and a relay, which is one of the VMs that
// read the store for their failure domain. If every process were a candidate, the reads of the lease row would grow
// with the number of VMs, to 960 per second at 3,200 VMs. A process without a member list is not a candidate.
func candidate(vm ident.VM, live []member.Member) bool {
	peers := make([]relay.Peer, len(live))
	var domain ident.Domain
	known := false
	for i, m := range live {
		peers[i] = relay.Peer{VM: m.VM, Place: m.Place}
		if m.VM == vm {
			domain, known = m.Place.Domain, true
		}
	}
	return known && slices.Contains(relay.Relays(peers, domain), vm)
}

// runRound acquires or renews the lease if that is due and this process is a candidate, and publishes a plan if it
// holds the lease. A holder that is no longer a candidate does not renew, so the lease expires.
func (p *planner) runRound(ctx context.Context) {
	now := p.d.clock()
	termBefore, wasHeld := p.keeper.Held(now)
	if !now.Before(p.nextStep) && candidate(p.d.self.VM, p.d.members.Snapshot().Live()) {
		next, err := p.keeper.Step(ctx)
		if err != nil {
			level.Debug(p.d.logger).Log("event", "lease-step", "err", err)
			next = p.d.clock().Add(roundInterval)
		}
		p.nextStep = next
	}
	now = p.d.clock()
	term, held := p.keeper.Held(now)
	// A new term also begins within one step, after a pause in which the lease ran out.
	if held != wasHeld || held && term != termBefore {
		level.Info(p.d.logger).Log("event", "lease", "held", held, "term", term)
		p.heldSince, p.currentKnown = now, false
	}
	if !held {
		return
	}
	if !p.currentKnown && !p.readCurrent(ctx) {
		return
	}
	p.publish(ctx, p.d.clock())
}

// readCurrent reads the plan in the store, from which the next plan is computed. If the store has lost the plan in
// force here, the next one is computed from that: entries have acknowledged it, so slots that it moved must not be
// granted by an older one. The same holds if the row is malformed. It reports whether that succeeded, and false while only an entry has the plan that the store
// has lost: probes fetch it from there.
func (p *planner) readCurrent(ctx context.Context) bool {
	row, err := p.d.store.Get(ctx, node.PlanKey)
	if err != nil {
		return false
	}
	doc := node.DocumentIn(relay.Plan, row)
	if row.Version != 0 {
		p.d.sync.Offer(doc)
	}
	inForce := p.d.sync.Current(relay.Plan)
	lost := inForce.Version > doc.Version && node.MayBeOutdated(inForce, row)
	if row.Version != 0 && !lost {
		if err := checkDocument(doc); err != nil {
			level.Error(p.d.logger).Log("event", "bad-document", "kind", "plan", "version", doc.Version, "err", err)
			if inForce.Version == 0 {
				return false
			}
			lost = true // the row is replaced by a plan computed from the one in force
		}
	}
	if lost {
		doc = inForce
	}
	if (lost || node.MayBeOutdated(doc, row)) && p.newestReported(p.d.clock()) > doc.Version {
		return false
	}
	t := plan.TrafficPlan{}
	if doc.Version != 0 {
		if t, err = plan.Decode(doc.Body); err != nil {
			level.Error(p.d.logger).Log("event", "bad-document", "kind", "plan", "version", doc.Version, "err", err)
			return false
		}
	}
	t.Version = ident.NewVersion(row.Era, row.Version.Number()+1) - 1
	row.Value = nil
	p.current, p.currentKnown, p.row, p.lost = t, true, row, lost
	return true
}

// newestReported returns the newest version of a plan that an entry has reported to have. It passes over entries that have
// been silent for so long that their slots may be given to others.
func (p *planner) newestReported(now time.Time) ident.Version {
	p.mu.Lock()
	defer p.mu.Unlock()
	var newest ident.Version
	for _, r := range p.reports {
		if now.Sub(r.at) < share.DeadAfter {
			newest = max(newest, ident.Version(r.msg.GetPlanVersion()))
		}
	}
	return newest
}

// publish computes the next plan and, if it differs from the current one, writes it. The write succeeds only if the
// lease and the version of the current plan are unchanged in the store.
func (p *planner) publish(ctx context.Context, now time.Time) {
	in, ok := p.collectInput(now)
	if !ok {
		return
	}
	start := p.d.clock()
	next, reason := plan.Compute(in, p.current, now)
	p.computeTime.Update(p.d.clock().Sub(start))
	p.computed.Inc(1)
	p.mu.Lock()
	p.reason, p.input = reason, in
	p.mu.Unlock()
	if !reason.Changed && !p.lost {
		return
	}
	p.write(ctx, p.d.clock(), next)
}

// write writes the plan next, the successor of current, and puts it in force.
func (p *planner) write(ctx context.Context, now time.Time, next plan.TrafficPlan) {
	check, term, err := p.keeper.Fence(now)
	if err != nil {
		p.fenced.Inc(1)
		return
	}
	next.Term = term
	body := plan.Encode(next)
	_, err = p.d.store.Txn(ctx, []store.Op{check, {
		Key: node.PlanKey, Value: body, IfVersion: p.row.Version, IfEra: p.row.Era,
	}})
	switch kinds.Of(err) {
	case kinds.Answered:
		p.putInForce(next, body)
	case kinds.StoreDown:
		// Nothing was written. The next round computes the plan again.
	case kinds.StoreUnknown:
		p.readBack(ctx, next, body)
	default:
		// The lease or the plan in the store has changed. The next round reads both again.
		p.fenced.Inc(1)
		p.currentKnown, p.nextStep = false, time.Time{}
	}
}

// readBack reads the row after a write whose reply was lost. If the write took effect, the plan is put in force;
// otherwise the next round reads the current plan again.
func (p *planner) readBack(ctx context.Context, next plan.TrafficPlan, body []byte) {
	p.currentKnown = false
	row, err := p.d.store.Get(ctx, node.PlanKey)
	if err == nil && row.Version == next.Version && bytes.Equal(row.Value, body) {
		p.putInForce(next, body)
	}
}

// putInForce puts a plan in force that was written to the store.
func (p *planner) putInForce(t plan.TrafficPlan, body []byte) {
	p.current, p.currentKnown, p.lost = t, true, false
	p.row = store.Row{Key: node.PlanKey, Version: t.Version, Era: p.row.Era}
	p.published.Inc(1)
	p.d.sync.Accept(relay.Document{Kind: relay.Plan, Version: t.Version, Body: body})
	level.Debug(p.d.logger).Log("event", "plan-published", "version", t.Version, "term", t.Term, "config", t.ConfigVersion)
}

// collectInput collects the input for the computation of a plan. It returns false if there is no configuration or no VM
// list yet.
func (p *planner) collectInput(now time.Time) (plan.Input, bool) {
	doc := p.d.sync.Current(relay.Config)
	s := p.d.members.Snapshot()
	if doc.Version == 0 || len(s.Members) == 0 {
		return plan.Input{}, false
	}
	c, err := lists.Decode(doc.Body)
	if err != nil {
		return plan.Input{}, false
	}
	c.Version = doc.Version
	term, _ := p.keeper.Held(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	in := plan.Input{
		Config: c, Term: term, VMs: p.markLeaving(now, s.Upstreams, s), Entries: p.entries(now, s), ObservedFor: now.Sub(p.heldSince),
		Rules: p.rules(),
	}
	in.Demand = p.demand(now)
	in.Links = p.links(in.Demand, s)
	return in, true
}

func (p *planner) rules() shift.Settings {
	cfg := p.d.cfg.Shift
	return shift.Settings{Cap: shift.Cap{PerStep: cfg.PerStep, PerMinute: cfg.PerMinute}}
}

// markLeaving returns a copy of vms in which an upstream is marked as leaving if an entry has reported that. The
// platform's list shows it only later. Until this process has the reports of the entries, which its predecessor had, an
// upstream that leaves according to the current plan still does. The caller holds mu.
func (p *planner) markLeaving(now time.Time, vms []store.VMInfo, s *node.Snapshot) []store.VMInfo {
	leaving := map[string]bool{}
	if now.Sub(p.heldSince) < successorGrace && !p.allReported(s) {
		for _, t := range p.current.Targets {
			leaving[string(t.Name)] = t.Leaving
		}
	}
	for _, r := range p.reports {
		for _, t := range r.msg.GetTargets() {
			if t.GetLeaving() {
				leaving[t.GetTarget()] = true
			}
		}
	}
	vms = slices.Clone(vms)
	for i := range vms {
		if leaving[vms[i].Name] {
			vms[i].State = store.Leaving
		}
	}
	return vms
}

// allReported reports whether every live entry has reported since this process has held the lease. The caller holds mu.
func (p *planner) allReported(s *node.Snapshot) bool {
	for _, m := range s.Live() {
		if p.reports[m.VM].at.Before(p.heldSince) {
			return false
		}
	}
	return true
}

// entries returns the state of the entries as input for a plan. The caller holds mu.
func (p *planner) entries(now time.Time, s *node.Snapshot) []plan.Entry {
	entries := make([]plan.Entry, 0, len(s.Members))
	for _, m := range s.Members {
		e := plan.Entry{VM: m.VM, Place: m.Place, Leaving: m.State == member.Leaving}
		if r, ok := p.reports[m.VM]; ok {
			e.Acked = ident.Version(r.msg.GetAckedPlan())
			e.Reported = r.at
		}
		if p.d.members.SlotsReclaimable(now, m.VM) {
			e.Silent = share.DeadAfter
		}
		entries = append(entries, e)
	}
	return entries
}

// demandKey identifies the demand of one entry for one service in one region.
type demandKey struct {
	service ident.Service
	region  ident.Region
	entry   ident.VM
}

// demand sums the slots and the traffic that the entries reported, by service, region and entry. It deletes reports
// older than maxReportAge. The caller holds mu.
func (p *planner) demand(now time.Time) []plan.Demand {
	targets := map[ident.Target]plan.Target{}
	for _, t := range p.current.Targets {
		targets[t.Name] = t
	}
	sums := map[demandKey]*plan.Demand{}
	demandOf := func(k demandKey) *plan.Demand {
		d, ok := sums[k]
		if !ok {
			d = &plan.Demand{Service: k.service, Region: k.region, Entry: k.entry}
			sums[k] = d
		}
		return d
	}
	for vm, r := range p.reports {
		if now.Sub(r.at) > maxReportAge {
			delete(p.reports, vm)
			continue
		}
		for _, u := range r.msg.GetTargets() {
			if t, ok := targets[ident.Target(u.GetTarget())]; ok {
				d := demandOf(demandKey{t.Service, t.Place.Region, vm})
				d.Slots += float64(u.GetMeanMilli()) / 1000
				d.Mbps += float64(u.GetBitsPerSecond()) / 1e6
			}
		}
		for _, u := range r.msg.GetSites() {
			d := demandOf(demandKey{ident.Service(u.GetService()), ident.Region(u.GetRegion()), vm})
			d.Slots += float64(u.GetWantedMilli()) / 1000
		}
	}
	demand := make([]plan.Demand, 0, len(sums))
	for _, d := range sums {
		demand = append(demand, *d)
	}
	slices.SortFunc(demand, func(a, b plan.Demand) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Region, b.Region), cmp.Compare(a.Entry, b.Entry))
	})
	return demand
}

// links returns both directions of each link with the traffic, in Mbit/s, that the entries reported between its two
// regions. The time of the measurement is that of the oldest report. The caller holds mu.
func (p *planner) links(demand []plan.Demand, s *node.Snapshot) []plan.Link {
	type regionPair struct{ from, to ident.Region }
	used := map[regionPair]float64{}
	for _, d := range demand {
		if m, ok := s.Member(d.Entry); ok && m.Place.Region != d.Region {
			used[regionPair{m.Place.Region, d.Region}] += d.Mbps
		}
	}
	oldest := p.oldestReport(s)
	var links []plan.Link
	for _, l := range p.d.cfg.Links {
		links = append(links,
			plan.Link{From: l.A, To: l.B, Limit: l.Capacity, Used: used[regionPair{l.A, l.B}], At: oldest},
			plan.Link{From: l.B, To: l.A, Limit: l.Capacity, Used: used[regionPair{l.B, l.A}], At: oldest})
	}
	return links
}

// oldestReport returns the time of the oldest report of a live entry. It is zero if one of them has not reported. The
// caller holds mu.
func (p *planner) oldestReport(s *node.Snapshot) time.Time {
	var oldest time.Time
	for i, m := range s.Live() {
		at := p.reports[m.VM].at
		if i == 0 || at.Before(oldest) {
			oldest = at
		}
	}
	return oldest
}

// recordReport stores the report of an entry. It returns false for a report of an earlier process on the same VM.
func (p *planner) recordReport(now time.Time, r *wire.ReportRequest) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	vm := ident.VM(r.GetVm())
	if old, ok := p.reports[vm]; ok && old.msg.GetIncarnation() > r.GetIncarnation() {
		// The report was delayed: its process has ended, and the newer process has its own demand.
		return false
	}
	p.reports[vm] = report{now, r}
	return true
}

// holder returns the holder of the lease, as last read from the store, and its term.
func (p *planner) holder() (ident.VM, ident.Term) {
	row := p.keeper.LastRow()
	return row.Holder, row.Term
}

// PlannerDump is the JSON dump of the planner.
type PlannerDump struct {
	Cap       shift.Cap           `json:"cap"`
	Held      bool                `json:"lease-held"`
	Holder    ident.VM            `json:"lease-holder"`
	Term      ident.Term          `json:"term"`
	Routes    []plan.RouteOutcome `json:"routes-moving"`
	Demand    []plan.Demand       `json:"demand"`
	Entries   []plan.Entry        `json:"entries"`
	Links     []plan.Link         `json:"links"`
	ReportAge map[ident.VM]int64  `json:"report-age-ms"`
}

// Dump implements kernel.Service.
func (p *planner) Dump(now time.Time) any {
	_, held := p.keeper.Held(now)
	vm, term := p.holder()
	p.mu.Lock()
	defer p.mu.Unlock()
	d := PlannerDump{
		Cap: p.rules().Cap, Held: held, Holder: vm, Term: term, Routes: p.reason.Routes, Demand: p.input.Demand, Entries: p.input.Entries,
		Links: p.input.Links, ReportAge: map[ident.VM]int64{},
	}
	for vm, r := range p.reports {
		d.ReportAge[vm] = now.Sub(r.at).Milliseconds()
	}
	return d
}
