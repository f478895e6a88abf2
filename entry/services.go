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
	"github.com/currantpier/currantpier/kernel"
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

// applier applies new documents and changes of the membership to the other services.
type applier struct {
	d *Daemon
	// configVersion is the version of the configuration that was applied last, with configLive live entries. planLive
	// is the number of live entries with which the plan was applied last. They are kept so that nothing is decoded and
	// applied again without a change.
	configVersion        ident.Version
	configLive, planLive int
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

// Run applies changes until ctx is done. It also reads the documents in force once a second, so that a dropped wake-up
// delays a change by at most that.
func (a *applier) Run(ctx context.Context) error {
	if a.predecessorCrashed(ctx) {
		level.Warn(a.d.logger).Log("event", "predecessor-crashed")
		a.d.sched.SuspendForOldLoans(ctx, a.d.clock())
	}
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for {
		kernel.Guard(a.d.logger, "apply-config", func() { a.applyConfig(ctx, a.d.sync.Current(relay.Config)) })
		kernel.Guard(a.d.logger, "apply-plan", func() { a.applyPlan(ctx, a.d.sync.Current(relay.Plan), false) })
		kernel.Guard(a.d.logger, "apply-members", func() {
			a.updateDirectory()
			a.updateReadiness()
		})
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-a.d.documents:
		case <-a.d.members.Changed():
		case <-a.d.sched.Paused():
			kernel.Guard(a.d.logger, "after-pause", func() { a.afterPause(ctx) })
		case <-t.C:
		}
	}
}

// processKey returns the key of the table row that records whether an entry process runs on vm.
func processKey(vm ident.VM) string { return "entry/" + string(vm) }

// processRow is the JSON value of that row. Stopped is set at the end of a planned stop and stays false after a crash.
type processRow struct {
	Incarnation ident.Incarnation `json:"incarnation"`
	Stopped     bool              `json:"stopped"`
	// Era is the era of the store in which the row was written; zero if not known.
	Era ident.Era `json:"era,omitempty"`
}

// predecessorCrashed writes the row of this process and reports whether the previous process on this VM ended without
// completing a planned stop. It assumes a crash if the row can't be read, and if the store may have lost the row of a
// later process: the row, or its absence, is of an earlier era.
func (a *applier) predecessorCrashed(ctx context.Context) bool {
	row, err := a.d.store.Get(ctx, processKey(a.d.self.VM))
	if err != nil {
		return true
	}
	var before processRow
	if row.Version != 0 && json.Unmarshal(row.Value, &before) != nil {
		return true
	}
	a.d.writeProcessRow(ctx, row, false)
	mayBeLost := row.Era > ident.FirstEra && before.Era != row.Era
	return mayBeLost || row.Version != 0 && !before.Stopped
}

// afterPause confirms the plan after this process was paused, and restores its grants. If that fails, the scheduler
// keeps the grants void and signals Paused again.
func (a *applier) afterPause(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	confirmed := a.d.sync.ConfirmPlan(callCtx)
	level.Warn(a.d.logger).Log("event", "paused", "plan-confirmed", confirmed)
	if confirmed {
		a.applyPlan(ctx, a.d.sync.Current(relay.Plan), true)
	}
}

// confirmTimeout bounds the confirmation of the plan after a pause.
const confirmTimeout = 3 * time.Second

// applyConfig applies a configuration if it or the number of live entries has changed.
func (a *applier) applyConfig(ctx context.Context, doc relay.Document) {
	live := a.d.liveEntries()
	if doc.Version == 0 || doc.Version == a.configVersion && live == a.configLive {
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
		a.configVersion, a.configLive = doc.Version, live
	}
}

// applyPlan applies a traffic plan if it or the number of live entries has changed, or if confirmed is set. confirmed
// states that the plan was read again after a pause.
func (a *applier) applyPlan(ctx context.Context, doc relay.Document, confirmed bool) {
	// Before Ready, the plan may be older than the newest one. It may grant slots that the previous process on this VM
	// has given up.
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
	for _, target := range t.Targets {
		// The connections that a target accepts are divided evenly among the live entries. Connections for orders are
		// not counted, since each order opens one of its own.
		a.d.client.SetMaxConnections(target.Address, int(target.MaxConnections)/a.d.liveEntries())
	}
	a.d.sched.SetPlan(ctx, t, confirmed)
}

// updateDirectory gives the front the current members and client blocks.
func (a *applier) updateDirectory() {
	a.d.front.SetDirectory(front.NewDirectory(a.d.members.Snapshot(), a.d.blocks.Load()))
}

// updateReadiness gives the front the first reason that holds for refusing requests, or none.
func (a *applier) updateReadiness() {
	switch {
	case a.d.isLeaving():
		// The planned stop decides when requests are refused.
	case !a.d.sync.Ready():
		a.d.front.SetNotReady("the newest configuration and plan are not known yet")
	case a.d.sync.Current(relay.Config).Version == 0:
		a.d.front.SetNotReady("no configuration was accepted yet")
	case a.d.sync.Current(relay.Plan).Version == 0:
		a.d.front.SetNotReady("no traffic plan was published yet")
	case !a.d.watcher.polled.Load():
		// Before the first poll, this process does not know which targets are leaving and would send them new requests.
		a.d.front.SetNotReady("the targets were not polled yet")
	default:
		a.d.front.SetNotReady("")
	}
}

// watcher polls the load endpoint of the targets at which this entry has slots. It reports their load, and whether they
// are leaving, to the scheduler.
type watcher struct {
	d  *Daemon
	mu sync.Mutex
	// failing holds the targets whose load endpoint could not be read at the last poll.
	failing map[ident.Target]bool
	// leaving holds the targets that announced at their last poll that they leave.
	leaving map[ident.Target]bool
	// polled is set after the first round that polled the targets of a plan.
	polled atomic.Bool
}

func newWatcher(d *Daemon) *watcher {
	return &watcher{d: d, failing: map[ident.Target]bool{}, leaving: map[ident.Target]bool{}}
}

// watchInterval is the interval between two polls of a target, and the timeout of a poll. Both together keep the time
// from a target's drain notice to the last new request below 3 s.
const watchInterval = time.Second

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

// Run polls the targets until ctx is done.
func (w *watcher) Run(ctx context.Context) error {
	t := time.NewTicker(watchInterval)
	defer t.Stop()
	for {
		known := w.d.plan.Load() != nil
		g, groupCtx := errgroup.WithContext(ctx)
		g.SetLimit(16)
		for _, target := range w.targets() {
			g.Go(func() error {
				kernel.Guard(w.d.logger, "poll-target", func() { w.poll(groupCtx, target) })
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

// targets returns the targets of the plan at which this entry has slots, and those that leave as far as this entry knows.
// The latter have no slots here any more, but only a poll shows that such a target has started anew.
func (w *watcher) targets() []plan.Target {
	t := w.d.plan.Load()
	if t == nil {
		return nil
	}
	granted := map[ident.Target]bool{}
	for _, g := range t.Grants {
		if g.Entry == w.d.self.VM && g.MaxInUse() > 0 {
			granted[g.Target] = true
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	var targets []plan.Target
	for _, target := range t.Targets {
		if granted[target.Name] || w.leaving[target.Name] {
			targets = append(targets, target)
		}
	}
	return targets
}

// loadReport is the JSON body of a target's load endpoint.
type loadReport struct {
	Load    float64 `json:"load"`
	Leaving bool    `json:"leaving"`
}

func (w *watcher) poll(ctx context.Context, target plan.Target) {
	asOf := w.d.clock()
	body, err := w.d.client.Get(target.Address, "/load", watchInterval)
	var r loadReport
	if err == nil {
		err = json.Unmarshal(body, &r)
	}
	w.recordPoll(target.Name, r.Leaving, err)
	if err == nil {
		w.d.sched.RecordReport(ctx, sched.TargetReport{Target: target.Name, Load: r.Load, AsOf: asOf, Leaving: r.Leaving})
	}
}

// recordPoll records the result of a poll. It logs only the first failure and the recovery of an endpoint.
func (w *watcher) recordPoll(name ident.Target, leaving bool, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case err == nil && leaving:
		w.leaving[name] = true
	case err == nil:
		delete(w.leaving, name)
	}
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

// borrower borrows slots from other entries and returns them.
type borrower struct{ d *Daemon }

const (
	// peerCallTimeout bounds one call of a peer: a request for a loan, the return of one, or a query for the lease
	// holder. A peer in another region is 55 ms away.
	peerCallTimeout = 250 * time.Millisecond
	// maxPeersAsked is the maximum number of peers of one region that are asked for one loan, and of steer daemons that
	// are asked for the lease holder.
	maxPeersAsked = 3
	// maxReturnAttempts bounds the attempts to return a loan. If all of them fail, the lender gets the slot back at the
	// loan's deadline.
	maxReturnAttempts = 3
)

// Name implements kernel.Service.
func (b *borrower) Name() string { return "borrower" }

// Dump implements kernel.Service.
func (b *borrower) Dump(time.Time) any {
	return map[string]int{"loan-requests-waiting": len(b.d.sched.LoanRequests()), "returns-waiting": len(b.d.sched.LoanReturns())}
}

// Run requests and returns loans until ctx is done.
func (b *borrower) Run(ctx context.Context) error {
	g, groupCtx := errgroup.WithContext(ctx)
	g.SetLimit(32)
	var id uint64
	for {
		select {
		case <-ctx.Done():
			_ = g.Wait()
			return ctx.Err()
		case req := <-b.d.sched.LoanRequests():
			id++
			loan := share.Loan{
				ID: id, Borrower: b.d.self.VM, Incarnation: b.d.self.Incarnation, Deadline: req.Until,
			}
			g.Go(func() error {
				if !kernel.Guard(b.d.logger, "borrow", func() { b.borrow(groupCtx, req, loan) }) {
					b.d.sched.LoanDenied(groupCtx, req.Site)
				}
				return nil
			})
		case l := <-b.d.sched.LoanReturns():
			g.Go(func() error {
				kernel.Guard(b.d.logger, "return-loan", func() { b.returnLoan(groupCtx, l) })
				return nil
			})
		}
	}
}

// borrow asks peers for a loan one after another, those in this region first, until one grants it.
func (b *borrower) borrow(ctx context.Context, req sched.LoanRequest, loan share.Loan) {
	for _, m := range b.lenders(int(loan.ID)) {
		callCtx, cancel := context.WithTimeout(ctx, peerCallTimeout)
		reply, err := b.d.peers.At(m.control).Borrow(callCtx, &wire.BorrowRequest{
			Vm: string(loan.Borrower), Incarnation: uint64(loan.Incarnation), Service: string(req.Site.Service), Region: string(req.Site.Region),
			DeadlineUnixMs: loan.Deadline.UnixMilli(), Loan: loan.ID,
		})
		cancel()
		if err != nil {
			// The peer may have lent a slot although its reply was lost, so the loan is returned.
			loan.Lender = m.vm
			b.returnLoan(ctx, loan)
			continue
		}
		if reply.GetGranted() {
			loan.Lender, loan.Target = m.vm, ident.Target(reply.GetTarget())
			b.d.sched.LoanGranted(ctx, req.Site, loan)
			return
		}
	}
	b.d.sched.LoanDenied(ctx, req.Site)
}

// lender is a peer that can be asked for a loan. control is the control address of its entry daemon.
type lender struct {
	vm      ident.VM
	control string
}

// lenders returns the peers to ask for a loan: at most maxPeersAsked in this region, and one in another. The selection
// rotates with turn, so that requests are spread evenly over the peers.
func (b *borrower) lenders(turn int) []lender {
	var sameRegion, otherRegion []lender
	for _, m := range b.d.members.Snapshot().Live() {
		switch {
		case m.VM == b.d.self.VM || len(m.Control) == 0:
		case m.Place.Region == b.d.self.Place.Region:
			sameRegion = append(sameRegion, lender{m.VM, m.Control[node.EntryDaemon]})
		default:
			otherRegion = append(otherRegion, lender{m.VM, m.Control[node.EntryDaemon]})
		}
	}
	return append(rotate(sameRegion, turn, maxPeersAsked), rotate(otherRegion, turn, 1)...)
}

// rotate returns up to n of the peers, starting at index turn modulo their number.
func rotate(peers []lender, turn, n int) []lender {
	var chosen []lender
	for i := range min(len(peers), n) {
		chosen = append(chosen, peers[(turn+i)%len(peers)])
	}
	return chosen
}

// returnLoan returns a loan to its lender. It gives up after maxReturnAttempts.
func (b *borrower) returnLoan(ctx context.Context, l share.Loan) {
	m, ok := b.d.members.Snapshot().Member(l.Lender)
	if !ok || len(m.Control) == 0 {
		return
	}
	for range maxReturnAttempts {
		callCtx, cancel := context.WithTimeout(ctx, peerCallTimeout)
		_, err := b.d.peers.At(m.Control[node.EntryDaemon]).Return(callCtx, &wire.ReturnRequest{
			Vm: string(l.Borrower), Incarnation: uint64(l.Incarnation), Loan: l.ID,
		})
		cancel()
		if err == nil || ctx.Err() != nil {
			return
		}
	}
}

// reporter reports the demand and the slots in use to the holder of the steering lease.
type reporter struct{ d *Daemon }

// reportInterval is a fifth of the age from which the lease holder considers a measurement stale.
const reportInterval = 2 * time.Second

// Name implements kernel.Service.
func (r *reporter) Name() string { return "reporter" }

// Dump implements kernel.Service.
func (r *reporter) Dump(time.Time) any {
	return map[string]int64{"period-ms": reportInterval.Milliseconds()}
}

// Run updates the gauges and sends reports until ctx is done.
func (r *reporter) Run(ctx context.Context) error {
	t := time.NewTicker(reportInterval)
	defer t.Stop()
	for {
		if st, ok := r.d.sched.Status(ctx, true); ok {
			kernel.Guard(r.d.logger, "report", func() {
				r.updateGauges(r.d.clock(), st)
				r.report(ctx, st)
			})
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
}

// updateGauges sets the metrics that describe a state of the scheduler.
func (r *reporter) updateGauges(now time.Time, st sched.Status) {
	gauge := func(name string, v float64) { metrics.GetOrRegisterGaugeFloat64(name, r.d.metrics).Update(v) }
	var granted, inUse, lent, borrowed float64
	for _, u := range st.Slots {
		granted += float64(u.Granted)
		inUse += float64(u.InUse)
		lent += float64(u.Lent)
		borrowed += float64(u.Borrowed)
	}
	gauge("slots-granted", granted)
	gauge("slots-in-use", inUse)
	gauge("slots-lent", lent)
	gauge("slots-borrowed", borrowed)
	gauge("config-version", float64(st.ConfigVersion))
	gauge("plan-version", float64(st.PlanVersion))
	gauge("scheduler-ring-full", float64(st.MessageQueue.Full))
	if t := r.d.plan.Load(); t != nil {
		gauge("plan-age-ms", float64(now.Sub(t.CreatedAt).Milliseconds()))
	}
	for _, l := range st.Links {
		gauge("link-mbit-per-second-"+string(l.To), l.Mbps)
	}
}

// report sends one report to the lease holder. Without a known holder it does nothing.
func (r *reporter) report(ctx context.Context, st sched.Status) {
	ctx, cancel := context.WithTimeout(ctx, reportInterval)
	defer cancel()
	holder := r.findHolder(ctx)
	m, ok := r.d.members.Snapshot().Member(holder)
	if !ok || len(m.Control) <= int(node.SteerDaemon) {
		return
	}
	req := &wire.ReportRequest{
		Vm: string(r.d.self.VM), Incarnation: uint64(r.d.self.Incarnation), PlanVersion: uint64(st.PlanVersion),
		AckedPlan: uint64(st.AckedPlanVersion), ConfigVersion: uint64(st.ConfigVersion),
	}
	for _, u := range st.Targets {
		req.Targets = append(req.Targets, &wire.TargetUse{
			Target: string(u.Target), InUse: uint32(u.InProgress), MeanMilli: uint64(u.MeanInProgress * 1000),
			BitsPerSecond: uint64(u.BitsPerSecond),
		})
	}
	for _, name := range st.Leaving {
		req.Targets = append(req.Targets, &wire.TargetUse{Target: string(name), Leaving: true})
	}
	for _, s := range st.Sites {
		req.Sites = append(req.Sites, &wire.SiteUse{
			Service: string(s.Service), Region: string(s.Region), Arrived: s.Arrived, Refused: s.Refused,
			WantedMilli: uint64(s.UnmetSlots * 1000),
		})
	}
	// Errors are ignored: the next report replaces a lost one.
	_, _ = r.d.peers.At(m.Control[node.SteerDaemon]).Report(ctx, req)
}

// findHolder asks the lease candidates near this VM for the holder of the lease. It returns an empty name if none of
// them knows it. Other steer daemons aren't asked, since they don't read the lease.
func (r *reporter) findHolder(ctx context.Context) ident.VM {
	s := r.d.members.Snapshot()
	candidates := leaseCandidates(r.d.self, s.Live())
	for _, vm := range candidates {
		m, ok := s.Member(vm)
		if !ok || len(m.Control) <= int(node.SteerDaemon) {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, peerCallTimeout)
		reply, err := r.d.peers.At(m.Control[node.SteerDaemon]).Probe(callCtx, &wire.ProbeRequest{})
		cancel()
		if err == nil && reply.GetHolder() != "" {
			return ident.VM(reply.GetHolder())
		}
	}
	return ""
}

// leaseCandidates returns up to maxPeersAsked VMs whose steer daemons read the lease: the relays of the failure domain
// of self, followed by the relays of one other domain. That is the domain of the first VM after self by name that is
// in another domain, so that different domains choose different ones.
func leaseCandidates(self node.Self, live []member.Member) []ident.VM {
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
	return vms[:min(len(vms), maxPeersAsked)]
}

// blockLoader loads the table of client blocks from the object store. A client block is a range of client addresses
// with its place.
type blockLoader struct{ d *Daemon }

const (
	// ClientBlocksObject is the name of the object that holds the table of client blocks.
	ClientBlocksObject = "blocks/current"
	// blocksInterval is the interval between reads of the table. Client blocks change only when the networks of callers
	// do, so a new table is not urgent.
	blocksInterval = 10 * time.Minute
)

// Name implements kernel.Service.
func (b *blockLoader) Name() string { return "blocks" }

// Dump implements kernel.Service.
func (b *blockLoader) Dump(time.Time) any {
	t := b.d.blocks.Load()
	if t == nil {
		return map[string]int{"blocks": 0}
	}
	return map[string]int{"blocks": t.Len(), "bytes": t.MemoryBytes()}
}

// Run loads the table at the start and then once in each interval until ctx is done. If the table can't be loaded, the
// previous one stays in use.
func (b *blockLoader) Run(ctx context.Context) error {
	for {
		kernel.Guard(b.d.logger, "client-blocks", func() {
			if t, err := b.load(ctx); err == nil {
				b.d.blocks.Store(t)
			} else if kinds.Of(err) != kinds.NotFound {
				level.Warn(b.d.logger).Log("event", "client-blocks", "err", err)
			}
		})
		t := time.NewTimer(blocksInterval)
		select {
		case <-ctx.Done():
			t.Stop()
			return ctx.Err()
		case <-t.C:
		}
	}
}

func (b *blockLoader) load(ctx context.Context) (*lookup.Table, error) {
	body, err := b.d.store.GetObject(ctx, ClientBlocksObject)
	if err != nil {
		return nil, err
	}
	return lookup.Read(bytes.NewReader(body))
}
