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
	// round is the period of the planner. With the time for a plan to reach the entries it stays well under the 3 s in
	// which a leaving target must get no new work.
	round = 500 * time.Millisecond
	// forgetReport is the age at which the report of a silent entry is dropped. It is far above the age at which it is
	// stale.
	forgetReport = 2 * time.Minute
)

// report is the newest report of one entry.
type report struct {
	at  time.Time
	msg *wire.ReportRequest
}

// planner is the task that keeps the lease, computes plans and publishes them.
type planner struct {
	d      *Daemon
	keeper *lease.Keeper

	mu      sync.Mutex
	reports map[ident.VM]report
	reason  plan.Reason
	input   plan.Input

	// The rest is used by the task alone.
	next  time.Time
	since time.Time
	// current is the plan in the store, known since the lease was taken.
	current plan.Traffic
	known   bool

	computed, published, fenced metrics.Counter
	took                        metrics.Timer
}

func newPlanner(d *Daemon, k *lease.Keeper) *planner {
	return &planner{
		d: d, keeper: k, reports: map[ident.VM]report{},
		computed:  metrics.GetOrRegisterCounter("plans-computed", d.metrics),
		published: metrics.GetOrRegisterCounter("plans-published", d.metrics),
		fenced:    metrics.GetOrRegisterCounter("plans-fenced", d.metrics),
		took:      metrics.GetOrRegisterTimer("plan-time", d.metrics),
	}
}

// Name implements kernel.Service.
func (p *planner) Name() string { return "planner" }

// Run keeps the lease and publishes plans until ctx ends.
func (p *planner) Run(ctx context.Context) error {
	t := time.NewTicker(round)
	defer t.Stop()
	for {
		p.round(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
}

// candidate reports whether vm may take the lease: it is live and reads the store for its failure domain. If every
// process were a candidate, their reads of the lease row would grow with the number of VMs, to 960 a second for 3,200.
// A process without a list of the members is no candidate.
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

// round steps the lease if that is due and this process is a candidate, and publishes a plan if it holds the lease. A
// holder that is no candidate any more lets the lease expire.
func (p *planner) round(ctx context.Context) {
	now := p.d.clock()
	_, before := p.keeper.Held(now)
	if !now.Before(p.next) && candidate(p.d.self.VM, p.d.members.Snapshot().Live()) {
		next, err := p.keeper.Step(ctx)
		if err != nil {
			level.Debug(p.d.logger).Log("event", "lease-step", "err", err)
			next = p.d.clock().Add(round)
		}
		p.next = next
	}
	now = p.d.clock()
	term, held := p.keeper.Held(now)
	if held != before {
		level.Info(p.d.logger).Log("event", "lease", "held", held, "term", term)
		p.since, p.known = now, false
	}
	if !held {
		return
	}
	if !p.known && !p.read(ctx) {
		return
	}
	p.publish(ctx, p.d.clock())
}

// read takes over the plan in the store as the one to continue from.
func (p *planner) read(ctx context.Context) bool {
	row, err := p.d.store.Get(ctx, node.PlanKey)
	if err != nil {
		return false
	}
	t := plan.Traffic{}
	if row.Version != 0 {
		if t, err = plan.Decode(row.Value); err != nil {
			level.Error(p.d.logger).Log("event", "bad-document", "kind", "plan", "version", row.Version, "err", err)
			return false
		}
		p.d.sync.Offer(relay.Document{Kind: relay.Plan, Version: row.Version, Body: row.Value})
	}
	t.Version = row.Version
	p.current, p.known = t, true
	return true
}

// publish computes the next plan and writes it under the lease and the version it continues from.
func (p *planner) publish(ctx context.Context, now time.Time) {
	in, ok := p.gather(now)
	if !ok {
		return
	}
	start := p.d.clock()
	next, reason := plan.Compute(in, p.current, now)
	p.took.Update(p.d.clock().Sub(start))
	p.computed.Inc(1)
	p.mu.Lock()
	p.reason, p.input = reason, in
	p.mu.Unlock()
	if !reason.Changed {
		return
	}
	check, term, err := p.keeper.Fence(p.d.clock())
	if err != nil {
		p.fenced.Inc(1)
		return
	}
	next.Term = term
	body := plan.Encode(next)
	_, err = p.d.store.Txn(ctx, []store.Op{check, {Key: node.PlanKey, Value: body, If: p.current.Version}})
	switch kinds.Of(err) {
	case kinds.Answered:
		p.accept(next, body)
	case kinds.StoreDown:
		// Not written: the next round computes it again.
	case kinds.StoreUnknown:
		p.readBack(ctx, next, body)
	default:
		// The lease or the plan has changed; both are read again.
		p.fenced.Inc(1)
		p.known, p.next = false, time.Time{}
	}
}

// readBack finds out whether a write with a lost answer took effect.
func (p *planner) readBack(ctx context.Context, next plan.Traffic, body []byte) {
	p.known = false
	row, err := p.d.store.Get(ctx, node.PlanKey)
	if err == nil && row.Version == next.Version && bytes.Equal(row.Value, body) {
		p.accept(next, body)
	}
}

func (p *planner) accept(t plan.Traffic, body []byte) {
	p.current, p.known = t, true
	p.published.Inc(1)
	p.d.sync.Accept(relay.Document{Kind: relay.Plan, Version: t.Version, Body: body})
	level.Debug(p.d.logger).Log("event", "plan-published", "version", t.Version, "term", t.Term, "config", t.Config)
}

// gather collects the input of a plan. It reports false while there is no configuration or no VM list.
func (p *planner) gather(now time.Time) (plan.Input, bool) {
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
		Config: c, Term: term, VMs: p.withNotices(s.Upstreams), Entries: p.entries(now, s), Watched: now.Sub(p.since),
		Rules: p.rules(),
	}
	in.Demand = p.demand(now)
	in.Links = p.links(in.Demand, s)
	return in, true
}

func (p *planner) rules() shift.Rules {
	cfg := p.d.cfg.Shift
	return shift.Rules{Cap: shift.Cap{PerStep: cfg.PerStep, PerMinute: cfg.PerMinute}}
}

// withNotices marks upstreams as leaving that have told an entry so; the platform's list lags.
func (p *planner) withNotices(vms []store.VMInfo) []store.VMInfo {
	leaving := map[string]bool{}
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

func (p *planner) entries(now time.Time, s *node.Snapshot) []plan.Entry {
	entries := make([]plan.Entry, 0, len(s.Members))
	for _, m := range s.Members {
		e := plan.Entry{VM: m.VM, Place: m.Place, Leaving: m.State == member.Leaving}
		if r, ok := p.reports[m.VM]; ok {
			e.Acked = ident.Version(r.msg.GetAckedPlan())
			e.Reported = r.at
		}
		if p.d.members.Vacant(now, m.VM) {
			e.Silent = share.DeadAfter
		}
		entries = append(entries, e)
	}
	return entries
}

type demandKey struct {
	service ident.Service
	region  ident.Region
	entry   ident.VM
}

// demand adds up what the entries reported.
func (p *planner) demand(now time.Time) []plan.Demand {
	targets := map[ident.Target]plan.Target{}
	for _, t := range p.current.Targets {
		targets[t.Name] = t
	}
	sums := map[demandKey]*plan.Demand{}
	at := func(k demandKey) *plan.Demand {
		d, ok := sums[k]
		if !ok {
			d = &plan.Demand{Service: k.service, Region: k.region, Entry: k.entry}
			sums[k] = d
		}
		return d
	}
	for vm, r := range p.reports {
		if now.Sub(r.at) > forgetReport {
			delete(p.reports, vm)
			continue
		}
		for _, u := range r.msg.GetTargets() {
			if t, ok := targets[ident.Target(u.GetTarget())]; ok {
				d := at(demandKey{t.Service, t.Place.Region, vm})
				d.Slots += float64(u.GetMeanMilli()) / 1000
				d.Mbps += float64(u.GetBitsPerSecond()) / 1e6
			}
		}
		for _, u := range r.msg.GetSites() {
			d := at(demandKey{ident.Service(u.GetService()), ident.Region(u.GetRegion()), vm})
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

// links gives both directions of each link the traffic that the entries reported between the two regions, as old as the
// oldest of the reports.
func (p *planner) links(demand []plan.Demand, s *node.Snapshot) []plan.Link {
	type pair struct{ from, to ident.Region }
	used := map[pair]float64{}
	for _, d := range demand {
		if m, ok := s.Member(d.Entry); ok && m.Place.Region != d.Region {
			used[pair{m.Place.Region, d.Region}] += d.Mbps
		}
	}
	oldest := p.oldestReport(s)
	var links []plan.Link
	for _, l := range p.d.cfg.Links {
		links = append(links,
			plan.Link{From: l.A, To: l.B, Limit: l.Capacity, Used: used[pair{l.A, l.B}], At: oldest},
			plan.Link{From: l.B, To: l.A, Limit: l.Capacity, Used: used[pair{l.B, l.A}], At: oldest})
	}
	return links
}

// oldestReport is zero if a live entry has not reported.
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

// reported takes the report of an entry.
func (p *planner) reported(now time.Time, r *wire.ReportRequest) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	vm := ident.VM(r.GetVm())
	if old, ok := p.reports[vm]; ok && old.msg.GetIncarnation() > r.GetIncarnation() {
		// A late report of a process that has ended says nothing about the present one.
		return false
	}
	p.reports[vm] = report{now, r}
	return true
}

// holder returns who holds the lease as last seen, and its term.
func (p *planner) holder() (ident.VM, ident.Term) {
	row := p.keeper.Holder()
	return row.Holder, row.Term
}

// PlannerDump is the state of the planner in a dump.
type PlannerDump struct {
	Cap       shift.Cap          `json:"cap"`
	Held      bool               `json:"lease-held"`
	Holder    ident.VM           `json:"lease-holder"`
	Term      ident.Term         `json:"term"`
	Routes    []plan.RouteReason `json:"routes-moving"`
	Demand    []plan.Demand      `json:"demand"`
	Entries   []plan.Entry       `json:"entries"`
	Links     []plan.Link        `json:"links"`
	ReportAge map[ident.VM]int64 `json:"report-age-ms"`
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
