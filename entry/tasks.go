package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/currantpier/currantpier/front"
	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/kinds"
	"github.com/currantpier/currantpier/lists"
	"github.com/currantpier/currantpier/lookup"
	"github.com/currantpier/currantpier/member"
	"github.com/currantpier/currantpier/node"
	"github.com/currantpier/currantpier/plan"
	"github.com/currantpier/currantpier/relay"
	"github.com/currantpier/currantpier/sched"
	"github.com/currantpier/currantpier/share"
	"github.com/currantpier/currantpier/wire"
)

// applier puts documents and changes of the members in force.
type applier struct {
	d *Daemon
	// configApplied, liveApplied and planLive are what the scheduler was given last, so that nothing is decoded or set
	// again without a change.
	configApplied         ident.Version
	liveApplied, planLive int
}

// Name implements kernel.Service.
func (a *applier) Name() string { return "applier" }

// Dump implements kernel.Service.
func (a *applier) Dump(time.Time) any {
	return struct {
		Waiting int  `json:"documents-waiting"`
		Leaving bool `json:"leaving"`
	}{len(a.d.documents), a.d.isLeaving()}
}

// Run applies changes until ctx ends. It looks at the documents in force once a second as well, so that a dropped
// message is made good.
func (a *applier) Run(ctx context.Context) error {
	if a.predecessorCrashed(ctx) {
		level.Warn(a.d.logger).Log("event", "predecessor-crashed")
		a.d.sched.Inherit(ctx, a.d.clock())
	}
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for {
		a.config(ctx, a.d.sync.Current(relay.Config))
		a.plan(ctx, a.d.sync.Current(relay.Plan), false)
		a.directory()
		a.readiness()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-a.d.documents:
		case <-a.d.members.Changed():
		case <-a.d.sched.Paused():
			a.afterPause(ctx)
		case <-t.C:
		}
	}
}

// processKey is the table row that says whether an entry process of the VM runs.
func processKey(vm ident.VM) string { return "entry/" + string(vm) }

// processRow is the content of that row. A planned stop sets Stopped; a crash leaves it false.
type processRow struct {
	Incarnation ident.Incarnation `json:"incarnation"`
	Stopped     bool              `json:"stopped"`
}

// predecessorCrashed registers this process and reports whether the one before it ended without a planned stop. If the
// store does not tell, a crash is assumed.
func (a *applier) predecessorCrashed(ctx context.Context) bool {
	row, err := a.d.store.Get(ctx, processKey(a.d.self.VM))
	if err != nil {
		return true
	}
	var before processRow
	if row.Version != 0 && json.Unmarshal(row.Value, &before) != nil {
		return true
	}
	a.d.writeProcessRow(ctx, row.Version, false)
	return row.Version != 0 && !before.Stopped
}

// afterPause reads the plan again after this process was paused. Until that succeeds, Paused is signalled again.
func (a *applier) afterPause(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, rereadTimeout)
	defer cancel()
	confirmed := a.d.sync.ConfirmPlan(call)
	level.Warn(a.d.logger).Log("event", "paused", "plan-confirmed", confirmed)
	if confirmed {
		a.plan(ctx, a.d.sync.Current(relay.Plan), true)
	}
}

// rereadTimeout bounds the reading of the plan after a pause.
const rereadTimeout = 3 * time.Second

func (a *applier) config(ctx context.Context, doc relay.Document) {
	live := a.d.liveEntries()
	if doc.Version == 0 || doc.Version == a.configApplied && live == a.liveApplied {
		return
	}
	c, err := lists.Decode(doc.Body)
	if err != nil {
		level.Error(a.d.logger).Log("event", "bad-document", "kind", "config", "version", doc.Version, "err", err)
		return
	}
	c.Version = doc.Version
	a.d.front.SetConfig(&c)
	if a.d.sched.SetConfig(ctx, &c, live) {
		a.configApplied, a.liveApplied = doc.Version, live
	}
}

func (a *applier) plan(ctx context.Context, doc relay.Document, confirmed bool) {
	// An older plan than the newest may grant slots that a predecessor on this VM has given up.
	if doc.Version == 0 || !a.d.sync.Ready() {
		return
	}
	t := a.d.plan.Load()
	if t != nil && t.Version == doc.Version && !confirmed && a.d.liveEntries() == a.planLive {
		return
	}
	if t == nil || t.Version != doc.Version {
		decoded, err := decodePlan(doc)
		if err != nil {
			level.Error(a.d.logger).Log("event", "bad-document", "kind", "plan", "version", doc.Version, "err", err)
			return
		}
		t = decoded
		a.d.plan.Store(t)
	}
	a.planLive = a.d.liveEntries()
	for _, tg := range t.Targets {
		// The connections of a target are divided evenly; each entry may also open a fresh one per order.
		a.d.client.SetMaxConnections(tg.Address, int(tg.Connections)/a.d.liveEntries())
	}
	a.d.sched.SetPlan(ctx, t, confirmed)
}

func (a *applier) directory() {
	a.d.front.SetDirectory(front.NewDirectory(a.d.members.Snapshot(), a.d.blocks.Load()))
}

func (a *applier) readiness() {
	switch {
	case a.d.isLeaving():
		// The planned stop says when requests are refused.
	case !a.d.sync.Ready():
		a.d.front.SetNotReady("the newest configuration and plan are not known yet")
	case a.d.sync.Current(relay.Config).Version == 0:
		a.d.front.SetNotReady("no configuration was accepted yet")
	case a.d.sync.Current(relay.Plan).Version == 0:
		a.d.front.SetNotReady("no traffic plan was published yet")
	case !a.d.watcher.polled.Load():
		// A leaving target would get new work from a process that has not asked it.
		a.d.front.SetNotReady("the targets were not polled yet")
	default:
		a.d.front.SetNotReady("")
	}
}

// watcher polls the health and load endpoints of the targets that this entry has slots of.
type watcher struct {
	d  *Daemon
	mu sync.Mutex
	// failing holds the targets whose endpoints do not answer.
	failing map[ident.Target]bool
	// polled is set after the first round in which a plan was known.
	polled atomic.Bool
}

// watchPeriod is how often each target is polled. With the call itself it keeps the time from a drain notice to the
// last new request under 3 s.
const watchPeriod = time.Second

// Name implements kernel.Service.
func (w *watcher) Name() string { return "watcher" }

// Dump implements kernel.Service.
func (w *watcher) Dump(time.Time) any {
	w.mu.Lock()
	defer w.mu.Unlock()
	failing := make([]ident.Target, 0, len(w.failing))
	for name := range w.failing {
		failing = append(failing, name)
	}
	return map[string][]ident.Target{"failing-targets": failing}
}

// Run polls until ctx ends.
func (w *watcher) Run(ctx context.Context) error {
	w.failing = map[ident.Target]bool{}
	t := time.NewTicker(watchPeriod)
	defer t.Stop()
	for {
		known := w.d.plan.Load() != nil
		g, gctx := errgroup.WithContext(ctx)
		g.SetLimit(16)
		for _, tg := range w.targets() {
			g.Go(func() error {
				w.poll(gctx, tg)
				return nil
			})
		}
		_ = g.Wait()
		if known {
			w.polled.Store(true)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
}

func (w *watcher) targets() []plan.Target {
	t := w.d.plan.Load()
	if t == nil {
		return nil
	}
	mine := map[ident.Target]bool{}
	for _, g := range t.Grants {
		if g.Entry == w.d.self.VM && g.Bound() > 0 {
			mine[g.Target] = true
		}
	}
	var targets []plan.Target
	for _, tg := range t.Targets {
		if mine[tg.Name] {
			targets = append(targets, tg)
		}
	}
	return targets
}

// report is the body of a target's load endpoint.
type report struct {
	Load    float64 `json:"load"`
	Leaving bool    `json:"leaving"`
}

func (w *watcher) poll(ctx context.Context, tg plan.Target) {
	asOf := w.d.clock()
	body, err := w.d.client.Get(tg.Address, "/load", watchPeriod)
	var r report
	if err == nil {
		err = json.Unmarshal(body, &r)
	}
	w.note(tg.Name, err)
	if err == nil {
		w.d.sched.Observe(ctx, sched.Observed{Target: tg.Name, Load: r.Load, AsOf: asOf, Leaving: r.Leaving})
	}
}

// note logs the first failure and the recovery of a target's endpoint.
func (w *watcher) note(name ident.Target, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if (err != nil) == w.failing[name] {
		return
	}
	if err != nil {
		w.failing[name] = true
	} else {
		delete(w.failing, name)
	}
	level.Warn(w.d.logger).Log("event", "target-report", "target", name, "err", err)
}

// borrower asks peers for slots and returns borrowed ones.
type borrower struct{ d *Daemon }

const (
	// borrowTimeout bounds one request for a loan. A peer of another region is 55 ms away.
	borrowTimeout = 250 * time.Millisecond
	// maxAsked is how many peers are asked for one loan.
	maxAsked = 3
	// returnTries bounds the tries to return a loan. After them, the lender waits for its deadline.
	returnTries = 3
)

// Name implements kernel.Service.
func (b *borrower) Name() string { return "borrower" }

// Dump implements kernel.Service.
func (b *borrower) Dump(time.Time) any {
	return map[string]int{"loan-requests-waiting": len(b.d.sched.LoanRequests()), "returns-waiting": len(b.d.sched.Returns())}
}

// Run asks and returns until ctx ends.
func (b *borrower) Run(ctx context.Context) error {
	g, gctx := errgroup.WithContext(ctx)
	g.SetLimit(32)
	var id uint64
	for {
		select {
		case <-ctx.Done():
			_ = g.Wait()
			return ctx.Err()
		case w := <-b.d.sched.LoanRequests():
			id++
			loan := share.Loan{
				ID: id, Borrower: b.d.self.VM, Incarnation: b.d.self.Incarnation, Deadline: w.Until,
			}
			g.Go(func() error {
				b.borrow(gctx, w, loan)
				return nil
			})
		case l := <-b.d.sched.Returns():
			g.Go(func() error {
				b.giveBack(gctx, l)
				return nil
			})
		}
	}
}

// borrow asks peers, those of this region first.
func (b *borrower) borrow(ctx context.Context, w sched.LoanRequest, loan share.Loan) {
	for _, m := range b.lenders(int(loan.ID)) {
		call, cancel := context.WithTimeout(ctx, borrowTimeout)
		reply, err := b.d.peers.At(m.control).Borrow(call, &wire.BorrowRequest{
			Vm: string(loan.Borrower), Incarnation: uint64(loan.Incarnation), Service: string(w.Site.Service), Region: string(w.Site.Region),
			DeadlineUnixMs: loan.Deadline.UnixMilli(), Loan: loan.ID,
		})
		cancel()
		if err != nil {
			// The peer may have lent a slot; it gets it back.
			loan.Lender = m.vm
			b.giveBack(ctx, loan)
			continue
		}
		if reply.GetGranted() {
			loan.Lender, loan.Target = m.vm, ident.Target(reply.GetTarget())
			b.d.sched.Lent(ctx, w.Site, loan)
			return
		}
	}
	b.d.sched.NotLent(ctx, w.Site)
}

type lender struct {
	vm      ident.VM
	control string
}

// lenders lists the peers to ask, at most maxAsked of this region and one of another. The choice changes with turn, so
// that the load of asking is even.
func (b *borrower) lenders(turn int) []lender {
	var near, far []lender
	for _, m := range b.d.members.Snapshot().Live() {
		switch {
		case m.VM == b.d.self.VM || len(m.Control) == 0:
		case m.Place.Region == b.d.self.Place.Region:
			near = append(near, lender{m.VM, m.Control[node.EntryDaemon]})
		default:
			far = append(far, lender{m.VM, m.Control[node.EntryDaemon]})
		}
	}
	return append(rotate(near, turn, maxAsked), rotate(far, turn, 1)...)
}

// rotate returns up to n of the peers, starting at turn.
func rotate(peers []lender, turn, n int) []lender {
	var chosen []lender
	for i := range min(len(peers), n) {
		chosen = append(chosen, peers[(turn+i)%len(peers)])
	}
	return chosen
}

func (b *borrower) giveBack(ctx context.Context, l share.Loan) {
	m, ok := b.d.members.Snapshot().Member(l.Lender)
	if !ok || len(m.Control) == 0 {
		return
	}
	for range returnTries {
		call, cancel := context.WithTimeout(ctx, borrowTimeout)
		_, err := b.d.peers.At(m.Control[node.EntryDaemon]).Return(call, &wire.ReturnRequest{
			Vm: string(l.Borrower), Incarnation: uint64(l.Incarnation), Loan: l.ID,
		})
		cancel()
		if err == nil || ctx.Err() != nil {
			return
		}
	}
}

// reporter tells the lease holder the demand and the slots in use.
type reporter struct{ d *Daemon }

// reportPeriod is a fifth of the age at which the lease holder takes a measurement for stale.
const reportPeriod = 2 * time.Second

// Name implements kernel.Service.
func (r *reporter) Name() string { return "reporter" }

// Dump implements kernel.Service.
func (r *reporter) Dump(time.Time) any {
	return map[string]int64{"period-ms": reportPeriod.Milliseconds()}
}

// Run reports until ctx ends.
func (r *reporter) Run(ctx context.Context) error {
	t := time.NewTicker(reportPeriod)
	defer t.Stop()
	for {
		if st, ok := r.d.sched.Status(ctx, true); ok {
			r.measure(r.d.clock(), st)
			r.report(ctx, st)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
}

// measure sets the gauges of the metrics page that describe a state and not an event.
func (r *reporter) measure(now time.Time, st sched.Status) {
	gauge := func(name string, v float64) { metrics.GetOrRegisterGaugeFloat64(name, r.d.metrics).Update(v) }
	var granted, inUse, lent, borrowed float64
	for _, u := range st.Uses {
		granted += float64(u.Granted)
		inUse += float64(u.InUse)
		lent += float64(u.Lent)
		borrowed += float64(u.Borrowed)
	}
	gauge("slots-granted", granted)
	gauge("slots-in-use", inUse)
	gauge("slots-lent", lent)
	gauge("slots-borrowed", borrowed)
	gauge("config-version", float64(st.Config))
	gauge("plan-version", float64(st.Plan))
	gauge("scheduler-ring-full", float64(st.Ring.Full))
	if t := r.d.plan.Load(); t != nil {
		gauge("plan-age-ms", float64(now.Sub(t.MadeAt).Milliseconds()))
	}
	for _, l := range st.Links {
		gauge("link-mbit-per-second-"+string(l.To), l.Mbps)
	}
}

func (r *reporter) report(ctx context.Context, st sched.Status) {
	ctx, cancel := context.WithTimeout(ctx, reportPeriod)
	defer cancel()
	holder := r.holder(ctx)
	m, ok := r.d.members.Snapshot().Member(holder)
	if !ok || len(m.Control) <= int(node.SteerDaemon) {
		return
	}
	req := &wire.ReportRequest{
		Vm: string(r.d.self.VM), Incarnation: uint64(r.d.self.Incarnation), PlanVersion: uint64(st.Plan),
		AckedPlan: uint64(st.Acked), ConfigVersion: uint64(st.Config),
	}
	for _, u := range st.Targets {
		req.Targets = append(req.Targets, &wire.TargetUse{
			Target: string(u.Target), InUse: uint32(u.InProgress), MeanMilli: uint64(u.Mean * 1000),
			BitsPerSecond: uint64(u.BitsPerSecond),
		})
	}
	for _, name := range st.Leaving {
		req.Targets = append(req.Targets, &wire.TargetUse{Target: string(name), Leaving: true})
	}
	for _, s := range st.Sites {
		req.Sites = append(req.Sites, &wire.SiteUse{
			Service: string(s.Service), Region: string(s.Region), Arrived: s.Arrived, Refused: s.Refused,
			WantedMilli: uint64(s.Wanted * 1000),
		})
	}
	// A report that is lost is replaced by the next one.
	_, _ = r.d.peers.At(m.Control[node.SteerDaemon]).Report(ctx, req)
}

// holder asks the candidates for the lease near this VM who holds it; the other steer daemons don't read the lease.
func (r *reporter) holder(ctx context.Context) ident.VM {
	s := r.d.members.Snapshot()
	asked := candidates(r.d.self, s.Live())
	for _, vm := range asked {
		m, ok := s.Member(vm)
		if !ok || len(m.Control) <= int(node.SteerDaemon) {
			continue
		}
		call, cancel := context.WithTimeout(ctx, borrowTimeout)
		reply, err := r.d.peers.At(m.Control[node.SteerDaemon]).Probe(call, &wire.ProbeRequest{})
		cancel()
		if err == nil && reply.GetHolder() != "" {
			return ident.VM(reply.GetHolder())
		}
	}
	return ""
}

// candidates lists steer daemons that know the holder of the lease, at most maxAsked: the relays of the failure domain of
// self, and then those of the domain of the next VM of another domain, by name. Different domains ask different others.
func candidates(self node.Self, live []member.Member) []ident.VM {
	peers := make([]relay.Peer, len(live))
	next := 0
	for i, m := range live {
		peers[i] = relay.Peer{VM: m.VM, Place: m.Place}
		if m.VM <= self.VM {
			next = i + 1
		}
	}
	vms := relay.Relays(peers, self.Place.Domain)
	for i := range peers {
		if p := peers[(next+i)%len(peers)]; p.Place.Domain != self.Place.Domain {
			vms = append(vms, relay.Relays(peers, p.Place.Domain)...)
			break
		}
	}
	return vms[:min(len(vms), maxAsked)]
}

// blockLoader reads the table of client blocks from the object store.
type blockLoader struct{ d *Daemon }

const (
	// BlocksObject is the object that holds the table of client blocks.
	BlocksObject = "blocks/current"
	// blocksPeriod is how often the table is read. Client blocks change with the networks of callers, not with the day.
	blocksPeriod = 10 * time.Minute
)

// Name implements kernel.Service.
func (b *blockLoader) Name() string { return "blocks" }

// Dump implements kernel.Service.
func (b *blockLoader) Dump(time.Time) any {
	t := b.d.blocks.Load()
	if t == nil {
		return map[string]int{"blocks": 0}
	}
	return map[string]int{"blocks": t.Len(), "bytes": t.Size()}
}

// Run reads the table at the start and in each period. The table in use stays if it cannot be read.
func (b *blockLoader) Run(ctx context.Context) error {
	for {
		if t, err := b.load(ctx); err == nil {
			b.d.blocks.Store(t)
		} else if kinds.Of(err) != kinds.NotFound {
			level.Warn(b.d.logger).Log("event", "client-blocks", "err", err)
		}
		t := time.NewTimer(blocksPeriod)
		select {
		case <-ctx.Done():
			t.Stop()
			return ctx.Err()
		case <-t.C:
		}
	}
}

func (b *blockLoader) load(ctx context.Context) (*lookup.Table, error) {
	body, err := b.d.store.GetObject(ctx, BlocksObject)
	if err != nil {
		return nil, err
	}
	return lookup.Read(bytes.NewReader(body))
}
