package node

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"golang.org/x/sync/errgroup"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/kernel"
	"github.com/currantpier/currantpier/member"
	"github.com/currantpier/currantpier/relay"
	"github.com/currantpier/currantpier/ring"
	"github.com/currantpier/currantpier/store"
	"github.com/currantpier/currantpier/wire"
)

// The keys of the table rows that hold the documents.
const (
	ConfigKey = "config/current"
	PlanKey   = "plan/current"
)

// maxFetchWait bounds the time for which a Fetch waits for a newer document.
const maxFetchWait = 10 * time.Second

// Getter reads rows of the table. store.Client implements it.
type Getter interface {
	Get(ctx context.Context, key string) (store.Row, error)
}

// Watcher is called with each document that comes into force. It must not block and must not call methods of Sync,
// whose lock is held.
type Watcher func(doc relay.Document)

// Sync is the service that obtains the newest configuration and traffic plan from the store or from peers, and passes
// them on to peers. Its methods are safe for concurrent use.
type Sync struct {
	self    Self
	rows    Getter
	members *Members
	peers   *Peers
	clock   func() time.Time
	logger  log.Logger
	// check rejects documents that can't be decoded, so that an invalid one is neither applied nor passed on.
	check    func(relay.Document) error
	watchers []Watcher
	// rewrite is called with the row of the configuration and the configuration in force if the store has lost the
	// latter; nil in a daemon that does not write it.
	rewrite func(ctx context.Context, row store.Row, inForce relay.Document)

	mu sync.Mutex
	// node decides what to fetch and to push next. mu guards it.
	node *relay.Node
	// newer is closed and replaced when a document comes into force.
	newer chan struct{}

	// stopped is closed when Run ends. Calls of Fetch then wait no longer.
	stopped chan struct{}

	// wake ends the pause of the loop in Run. Its buffer of 1 merges several wake-ups.
	wake      chan struct{}
	wakeStats ring.SendStats
}

// NewSync returns the service for one process. It connects members to itself: probes then carry the versions in force.
func NewSync(self Self, opts relay.Options, rows Getter, members *Members, peers *Peers, clock func() time.Time,
	logger log.Logger, check func(relay.Document) error) *Sync {
	opts.Self = relay.Peer{VM: self.VM, Place: self.Place}
	opts.Leaf = self.Daemon == EntryDaemon
	opts.Seed = uint64(self.Incarnation)
	s := &Sync{
		self: self, rows: rows, members: members, peers: peers, clock: clock, logger: logger, check: check,
		node: relay.NewNode(clock(), opts), newer: make(chan struct{}), stopped: make(chan struct{}),
		wake: make(chan struct{}, 1),
	}
	members.versions, members.onPeerVersions = s.Versions, s.handlePeerVersions
	return s
}

// Watch adds a watcher. It must be called before Run.
func (s *Sync) Watch(w Watcher) { s.watchers = append(s.watchers, w) }

// OnLostConfig sets the function that writes the configuration in force again after the store has lost it. It must be
// called before Run.
func (s *Sync) OnLostConfig(rewrite func(ctx context.Context, row store.Row, inForce relay.Document)) {
	s.rewrite = rewrite
}

// Name implements kernel.Service.
func (s *Sync) Name() string { return "sync" }

// Versions returns the versions of the documents in force; zero for none.
func (s *Sync) Versions() (config, plan ident.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.node.Current(relay.Config).Version, s.node.Current(relay.Plan).Version
}

// Current returns the document of kind k that is in force. Its version is zero if there is none.
func (s *Sync) Current(k relay.Kind) relay.Document {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.node.Current(k)
}

// Ready reports whether this process has obtained the newest documents since its start.
func (s *Sync) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.node.Ready()
}

// Known reports whether this process has obtained the newest document of kind k since its start.
func (s *Sync) Known(k relay.Kind) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.node.Servable(k)
}

// locked runs fn with the lock held. The lock is released also if fn panics.
func (s *Sync) locked(fn func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fn()
}

// handlePeerVersions handles the versions of the documents that are in force at a peer.
func (s *Sync) handlePeerVersions(vm ident.VM, config, plan ident.Version) {
	s.locked(func() {
		s.node.Hint(vm, relay.Config, config)
		s.node.Hint(vm, relay.Plan, plan)
	})
	s.wakeLoop()
}

// Replicate pushes a document to one other VM, preferably in another failure domain, and reports whether one accepted
// it. If only this process held the document and ended during a store outage, no other process could get it until the
// end of the outage.
func (s *Sync) Replicate(ctx context.Context, doc relay.Document) bool {
	var otherDomain, sameDomain []ident.VM
	for _, m := range s.members.Snapshot().Live() {
		switch {
		case m.VM == s.self.VM:
		case m.Place.Domain != s.self.Place.Domain:
			otherDomain = append(otherDomain, m.VM)
		default:
			sameDomain = append(sameDomain, m.VM)
		}
	}
	for _, vm := range append(otherDomain, sameDomain...) {
		if ctx.Err() != nil {
			return false
		}
		if s.pushTo(ctx, relay.Action{Op: relay.Push, Kind: doc.Kind, To: vm, Doc: doc}).OK {
			return true
		}
	}
	return false
}

// Accept puts a document in force that this process has written to the store, and passes it on to peers.
func (s *Sync) Accept(doc relay.Document) {
	s.update(doc, func(now time.Time) bool { return s.node.Publish(now, doc) })
}

// Offer handles a document that a peer pushed.
func (s *Sync) Offer(doc relay.Document) {
	if doc.Version == 0 || s.check(doc) != nil {
		return
	}
	s.update(doc, func(now time.Time) bool { return s.node.HandlePush(now, doc) })
}

// update runs fn under the lock. If fn reports that doc came into force, update calls the watchers and ends the wait of
// pending Fetch calls.
func (s *Sync) update(doc relay.Document, fn func(now time.Time) bool) {
	changed := false
	s.locked(func() {
		if changed = fn(s.clock()); !changed {
			return
		}
		close(s.newer)
		s.newer = make(chan struct{})
		// The watchers are called under the lock, so that they see the versions in order.
		for _, w := range s.watchers {
			w(doc)
		}
	})
	if changed {
		level.Info(s.logger).Log("event", "document", "kind", kindName(doc.Kind), "version", doc.Version)
	}
	s.wakeLoop()
}

func (s *Sync) wakeLoop() {
	select {
	case s.wake <- struct{}{}:
		s.wakeStats.Sent()
	default:
		// A wake-up is already pending.
		s.wakeStats.Full()
	}
}

// Fetch waits for a document newer than version have, for at most the shorter of wait and maxFetchWait. It returns a
// document of version 0 if there is none.
func (s *Sync) Fetch(ctx context.Context, k relay.Kind, have ident.Version, wait time.Duration) relay.Document {
	t := time.NewTimer(min(wait, maxFetchWait))
	defer t.Stop()
	for {
		var doc relay.Document
		var ok bool
		var newer chan struct{}
		s.locked(func() {
			doc, ok = s.node.NewerThan(k, have)
			newer = s.newer
		})
		if ok {
			return doc
		}
		select {
		case <-newer:
		case <-t.C:
			return relay.Document{Kind: k}
		case <-s.stopped:
			return relay.Document{Kind: k}
		case <-ctx.Done():
			return relay.Document{Kind: k}
		}
	}
}

// faultPause is the pause of a loop after a step that panicked.
const faultPause = time.Second

// Run performs the actions that the relay node decides on until ctx is done.
func (s *Sync) Run(ctx context.Context) error {
	defer close(s.stopped)
	g, ctx := errgroup.WithContext(ctx)
	for {
		now := s.clock()
		pause := faultPause
		var actions []relay.Action
		kernel.Guard(s.logger, "sync", func() {
			s.locked(func() {
				s.node.SetMembers(now, s.relayPeers())
				actions = s.node.Next(now, nil)
				pause = s.node.NextWake().Sub(now)
			})
		})
		for _, a := range actions {
			g.Go(func() error {
				s.perform(ctx, a)
				return nil
			})
		}
		if err := s.pause(ctx, pause); err != nil {
			_ = g.Wait()
			return err
		}
	}
}

// pause waits for d or a wake-up. It waits for at least 5 ms unless there is a wake-up, so that the loop does not spin
// if the relay node returns a time in the past.
func (s *Sync) pause(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(max(d, 5*time.Millisecond))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
	case <-s.wake:
	}
	return nil
}

// relayPeers returns the members that documents are exchanged with: those that are alive or suspected.
func (s *Sync) relayPeers() []relay.Peer {
	var peers []relay.Peer
	for _, m := range s.members.Snapshot().Members {
		if m.State == member.Alive || m.State == member.Suspected {
			peers = append(peers, relay.Peer{VM: m.VM, Place: m.Place})
		}
	}
	return peers
}

// Poll reads a document from the store and puts it in force if it is newer. If the store has lost the configuration in
// force, Poll has it written again.
func (s *Sync) Poll(ctx context.Context, k relay.Kind) {
	res := s.readStore(ctx, relay.Action{Kind: k})
	if !res.OK || res.Doc.Version != 0 && s.check(res.Doc) != nil {
		return
	}
	s.update(res.Doc, func(now time.Time) bool { return s.node.HandleStoreAnswer(now, res) })
}

// perform carries out one action within its timeout, checks a document that it returned, and passes the result to the
// relay node.
func (s *Sync) perform(ctx context.Context, a relay.Action) {
	ctx, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	var res relay.Result
	if !kernel.Guard(s.logger, "sync-action", func() { res = s.checkedResult(ctx, a) }) {
		res = relay.Result{}
	}
	kernel.Guard(s.logger, "sync-result", func() {
		s.update(res.Doc, func(now time.Time) bool { return s.node.Complete(now, a.ID, res) })
	})
}

// checkedResult carries out an action. A document that can't be decoded counts as a failure.
func (s *Sync) checkedResult(ctx context.Context, a relay.Action) relay.Result {
	res := s.do(ctx, a)
	if !res.OK || res.Doc.Version == 0 {
		return res
	}
	if err := s.check(res.Doc); err != nil {
		level.Error(s.logger).Log("event", "bad-document", "kind", kindName(a.Kind), "from", a.To, "err", err)
		return relay.Result{}
	}
	return res
}

func (s *Sync) do(ctx context.Context, a relay.Action) relay.Result {
	switch a.Op {
	case relay.PollStore:
		return s.readStore(ctx, a)
	case relay.Fetch:
		return s.fetchFrom(ctx, a)
	}
	return s.pushTo(ctx, a)
}

func (s *Sync) readStore(ctx context.Context, a relay.Action) relay.Result {
	key := ConfigKey
	if a.Kind == relay.Plan {
		key = PlanKey
	}
	row, err := s.rows.Get(ctx, key)
	if err != nil {
		return relay.Result{}
	}
	doc := DocumentIn(a.Kind, row)
	inForce := s.Current(a.Kind)
	if a.Kind == relay.Config && s.rewrite != nil && inForce.Version > doc.Version && MayBeOutdated(inForce, row) {
		s.rewrite(ctx, row, inForce)
	}
	return relay.Result{OK: true, Doc: doc, Outdated: MayBeOutdated(doc, row)}
}

// addresses returns the control addresses of vm that serve documents, in the order in which they are to be tried. For
// this VM it is the steer daemon only; for others the entry daemon follows, which replies while the steer daemon is
// down.
func (s *Sync) addresses(vm ident.VM) []string {
	m, ok := s.members.Snapshot().Member(vm)
	if !ok || len(m.Control) <= int(SteerDaemon) {
		return nil
	}
	if vm == s.self.VM {
		return m.Control[SteerDaemon:]
	}
	return []string{m.Control[SteerDaemon], m.Control[EntryDaemon]}
}

func (s *Sync) fetchFrom(ctx context.Context, a relay.Action) relay.Result {
	for _, addr := range s.addresses(a.To) {
		doc, err := s.peers.At(addr).Fetch(ctx, &wire.FetchRequest{
			Kind: wire.DocumentKind(a.Kind), Version: uint64(a.HaveVersion), WaitMs: uint32(a.HoldFor.Milliseconds()),
		})
		if err == nil {
			return relay.Result{OK: true, Doc: fromWire(a.Kind, doc)}
		}
	}
	return relay.Result{}
}

func (s *Sync) pushTo(ctx context.Context, a relay.Action) relay.Result {
	doc := &wire.Document{Kind: wire.DocumentKind(a.Kind), Version: uint64(a.Doc.Version), Body: a.Doc.Body}
	for _, addr := range s.addresses(a.To) {
		if _, err := s.peers.At(addr).Push(ctx, doc); err == nil {
			return relay.Result{OK: true, Doc: relay.Document{Kind: a.Kind}}
		}
	}
	return relay.Result{}
}

// minPlanReplies is the number of other VMs that must reply before the newest of their plans is assumed to be the
// newest of all. If there are fewer other live VMs, all of them must reply.
const minPlanReplies = 2

// ConfirmPlan reads the traffic plan again, from the store or, if that fails, from other VMs, and puts a newer one in
// force. It reports whether the plan in force is now at least as new as every plan that was in force when the call
// began; without the store, or if the store may have lost a newer plan, this rests on the replies of minPlanReplies other
// VMs. A process that was paused must not use its slots before it succeeds, because they may have been granted to other
// entries during the pause.
func (s *Sync) ConfirmPlan(ctx context.Context) bool {
	if row, err := s.rows.Get(ctx, PlanKey); err == nil {
		doc := DocumentIn(relay.Plan, row)
		s.Offer(doc)
		if !MayBeOutdated(doc, row) {
			return doc.Version == 0 || s.Current(relay.Plan).Version >= doc.Version
		}
	}
	replies, others := 0, 0
	for _, m := range s.members.Snapshot().Live() {
		if m.VM == s.self.VM {
			continue
		}
		others++
		have := s.Current(relay.Plan).Version
		if res := s.fetchFrom(ctx, relay.Action{Kind: relay.Plan, To: m.VM, HaveVersion: have}); res.OK {
			s.Offer(res.Doc)
			replies++
		}
		if replies == minPlanReplies {
			return true
		}
	}
	return replies > 0 && replies == others
}

func fromWire(k relay.Kind, d *wire.Document) relay.Document {
	return relay.Document{Kind: k, Version: ident.Version(d.GetVersion()), Body: d.GetBody()}
}

func kindName(k relay.Kind) string {
	if k == relay.Config {
		return "config"
	}
	return "plan"
}

// syncDump is the JSON dump of Sync.
type syncDump struct {
	Ready  bool          `json:"ready"`
	Config ident.Version `json:"config-version"`
	Plan   ident.Version `json:"plan-version"`
	Wakes  ring.Counts   `json:"wakes"`
}

// Dump implements kernel.Service.
func (s *Sync) Dump(time.Time) any {
	config, plan := s.Versions()
	return syncDump{s.Ready(), config, plan, s.wakeStats.Counts()}
}
