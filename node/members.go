package node

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"golang.org/x/sync/errgroup"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/kernel"
	"github.com/currantpier/currantpier/member"
	"github.com/currantpier/currantpier/store"
	"github.com/currantpier/currantpier/wire"
)

const (
	// probeTimeout bounds one call of another daemon.
	probeTimeout = 700 * time.Millisecond
	// listReadsPerSecond bounds the reads of the VM list by all processes together. It is a tenth of what the store can
	// serve.
	listReadsPerSecond = 200
	minListInterval    = time.Second
)

// Lister reads the platform's list of VMs. store.Client implements it.
type Lister interface {
	VMs(ctx context.Context) ([]store.VMInfo, error)
}

// Snapshot is the state of all known VMs at one time. It is immutable.
type Snapshot struct {
	At time.Time
	// Members holds every known entry VM, in whatever state, sorted by name.
	Members []member.Member
	// Upstreams holds the upstream VMs of the platform's list, as last read.
	Upstreams []store.VMInfo

	byVM map[ident.VM]int
}

// Member returns the member with the given name.
func (s *Snapshot) Member(vm ident.VM) (member.Member, bool) {
	i, ok := s.byVM[vm]
	if !ok {
		return member.Member{}, false
	}
	return s.Members[i], true
}

// Live returns the members that are alive or suspected.
func (s *Snapshot) Live() []member.Member {
	live := make([]member.Member, 0, len(s.Members))
	for _, m := range s.Members {
		if m.State == member.Alive || m.State == member.Suspected {
			live = append(live, m)
		}
	}
	return live
}

// Members is the membership service: it combines the platform's list of VMs with the results of probes. Its methods are
// safe for concurrent use.
type Members struct {
	self   Self
	lister Lister
	peers  *Peers
	clock  func() time.Time
	logger log.Logger
	// seeds holds control addresses of other VMs, host:port.
	seeds []string
	// versions returns the versions of the documents in force, which are sent with each probe.
	versions func() (config, plan ident.Version)

	// onPeerVersions is called with the versions from the reply to a probe.
	onPeerVersions func(vm ident.VM, config, plan ident.Version)

	mu        sync.Mutex
	view      *member.View
	upstreams []store.VMInfo
	// list is the platform's list as last read, or nil if it has not been read yet.
	list []store.VMInfo
	// leaving holds the entry processes that have announced a planned stop. In the platform's list it appears later or,
	// for a restart, never.
	leaving map[ident.VM]ident.Incarnation

	snapshot atomic.Pointer[Snapshot]
	changed  chan struct{}
}

// NewMembers returns the service for one process. Seeds are control addresses of other VMs, from which the list of VMs
// is read if the platform's can't be read at the start.
func NewMembers(self Self, lister Lister, peers *Peers, clock func() time.Time, logger log.Logger,
	seeds []string) *Members {
	m := &Members{
		self: self, lister: lister, peers: peers, clock: clock, logger: logger, seeds: seeds,
		versions:       func() (ident.Version, ident.Version) { return 0, 0 },
		onPeerVersions: func(ident.VM, ident.Version, ident.Version) {},
		view:           member.NewView(self.VM, uint64(self.Incarnation)),
		leaving:        map[ident.VM]ident.Incarnation{}, changed: make(chan struct{}, 1),
	}
	m.snapshot.Store(&Snapshot{})
	return m
}

// Name implements kernel.Service.
func (m *Members) Name() string { return "members" }

// Snapshot returns the newest snapshot.
func (m *Members) Snapshot() *Snapshot { return m.snapshot.Load() }

// Changed returns a channel that receives a value after a new snapshot was published. Several snapshots may be covered
// by one value.
func (m *Members) Changed() <-chan struct{} { return m.changed }

// locked runs fn with the lock held. The lock is released also if fn panics.
func (m *Members) locked(fn func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	fn()
}

// ProcessDead reports whether the process with incarnation inc on vm may be assumed to have ended, so that its journal may be
// sealed.
func (m *Members) ProcessDead(now time.Time, vm ident.VM, inc ident.Incarnation) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.ProcessDead(vm, inc, now)
}

// SlotsReclaimable reports whether the slots granted to vm may be granted to other entries.
func (m *Members) SlotsReclaimable(now time.Time, vm ident.VM) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.SlotsReclaimable(vm, now)
}

// RecordMessage records that the entry process with incarnation inc on vm has sent a message and so is alive.
func (m *Members) RecordMessage(now time.Time, vm ident.VM, inc ident.Incarnation) {
	m.recordProbe(now, vm, true, inc)
}

// RecordLeaving records that the entry process with incarnation inc on vm has begun a planned stop.
func (m *Members) RecordLeaving(now time.Time, vm ident.VM, inc ident.Incarnation) {
	var known bool
	m.locked(func() {
		if known = m.leaving[vm] >= inc; !known {
			m.leaving[vm] = inc
		}
	})
	if !known {
		level.Info(m.logger).Log("event", "member-leaving", "member", vm)
		m.refresh(now)
	}
}

// maxAnnounceCalls bounds the concurrent calls made by AnnounceLeaving.
const maxAnnounceCalls = 32

// AnnounceLeaving notifies both daemons of every live VM that this entry process has begun a planned stop.
func (m *Members) AnnounceLeaving(ctx context.Context) {
	m.RecordLeaving(m.clock(), m.self.VM, m.self.Incarnation)
	var g errgroup.Group
	g.SetLimit(maxAnnounceCalls)
	for _, mem := range m.Snapshot().Live() {
		for _, addr := range mem.Control {
			g.Go(func() error {
				callCtx, cancel := context.WithTimeout(ctx, probeTimeout)
				defer cancel()
				// A failure is ignored: the VM gets the same information from a probe or the platform's list.
				_, _ = m.peers.At(addr).Probe(callCtx, &wire.ProbeRequest{
					Vm: string(m.self.VM), Incarnation: uint64(m.self.Incarnation), Leaving: true,
				})
				return nil
			})
		}
	}
	_ = g.Wait()
}

// Run reads the platform's list and probes peers until ctx is done.
func (m *Members) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return m.readList(ctx) })
	g.Go(func() error { return m.probePeers(ctx) })
	return g.Wait()
}

// readList reads the platform's list in intervals of listInterval until ctx is done. It logs only the first failure and
// the first success after failures.
func (m *Members) readList(ctx context.Context) error {
	failing := false
	for {
		kernel.Guard(m.logger, "vm-list", func() { failing = m.readListOnce(ctx, failing) })
		if err := sleep(ctx, m.listInterval()); err != nil {
			return err
		}
	}
}

// readListOnce reads the platform's list and reports whether that failed. failing is the result of the call before.
func (m *Members) readListOnce(ctx context.Context, failing bool) bool {
	list, err := m.lister.VMs(ctx)
	switch {
	case err == nil:
		m.SetList(m.clock(), list)
	case len(m.List()) == 0:
		m.readListFromSeeds(ctx)
	}
	if failed := err != nil; failed != failing {
		level.Warn(m.logger).Log("event", "vm-list", "failing", failed, "err", err)
	}
	return err != nil
}

// List returns the platform's list as last read, or nil.
func (m *Members) List() []store.VMInfo {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.list
}

// readListFromSeeds reads the list from the first seed that has one. It is used by a process that starts while the
// platform's list can't be read.
func (m *Members) readListFromSeeds(ctx context.Context) {
	for _, addr := range m.seeds {
		callCtx, cancel := context.WithTimeout(ctx, probeTimeout)
		reply, err := m.peers.At(addr).List(callCtx, &wire.ListRequest{})
		cancel()
		var list []store.VMInfo
		if err != nil || json.Unmarshal(reply.GetVms(), &list) != nil || len(list) == 0 {
			continue
		}
		level.Warn(m.logger).Log("event", "vm-list-from-peer", "seed", addr, "vms", len(list))
		m.SetList(m.clock(), list)
		return
	}
}

// listInterval returns the interval between reads of the platform's list. It grows with the number of VMs, so that all
// processes together stay within listReadsPerSecond; each VM has two processes that read the list.
func (m *Members) listInterval() time.Duration {
	n := len(m.Snapshot().Members)
	return max(minListInterval, time.Duration(2*n)*time.Second/listReadsPerSecond)
}

// SetList applies a list of VMs that was read at now.
func (m *Members) SetList(now time.Time, list []store.VMInfo) {
	m.locked(func() {
		m.list = list
		m.view.ApplyList(now, list)
		m.upstreams = m.upstreams[:0:0]
		for _, vm := range list {
			if vm.Role == store.RoleUpstream {
				m.upstreams = append(m.upstreams, vm)
			}
		}
	})
	m.refresh(now)
}

// probePeers probes the peers that are due, every second, until ctx is done.
func (m *Members) probePeers(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	// A probe takes up to 2*probeTimeout, which is more than a second, so the probes of two rounds may overlap.
	g.SetLimit(2 * member.MaxProbesPerSecond)
	for {
		now := m.clock()
		var due []ident.VM
		kernel.Guard(m.logger, "members", func() {
			m.locked(func() { due = m.view.ProbeTargets(now) })
			m.refresh(now)
		})
		for _, vm := range due {
			g.Go(func() error {
				kernel.Guard(m.logger, "probe", func() { m.probe(ctx, vm) })
				return nil
			})
		}
		if err := sleep(ctx, time.Second); err != nil {
			_ = g.Wait()
			return err
		}
	}
}

// probe probes the entry process on vm and records the result. If it does not reply, another member is asked to probe
// it before the failure is recorded.
func (m *Members) probe(ctx context.Context, vm ident.VM) {
	target, ok := m.Snapshot().Member(vm)
	if !ok || len(target.Control) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, 2*probeTimeout)
	defer cancel()
	reply, err := m.sendProbe(ctx, target.Control[EntryDaemon], vm, false)
	if err != nil {
		reply, err = m.probeThrough(ctx, vm, err)
	}
	if ctx.Err() != nil && err != nil && ctx.Err() != context.DeadlineExceeded {
		return
	}
	inc := ident.Incarnation(reply.GetIncarnation())
	if err == nil {
		m.onPeerVersions(vm, ident.Version(reply.GetConfigVersion()), ident.Version(reply.GetPlanVersion()))
	}
	if reply.GetLeaving() {
		m.RecordLeaving(m.clock(), vm, inc)
	}
	m.recordProbe(m.clock(), vm, err == nil, inc)
}

// sendProbe sends a probe of vm to a control address, which is that of vm or, if indirect is set, of a VM that probes vm
// and returns its reply. The reply of another VM is an error: it may use the address of one that has ended.
func (m *Members) sendProbe(ctx context.Context, addr string, vm ident.VM, indirect bool) (*wire.ProbeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	config, plan := m.versions()
	r := &wire.ProbeRequest{
		Vm: string(m.self.VM), Incarnation: uint64(m.self.Incarnation),
		ConfigVersion: uint64(config), PlanVersion: uint64(plan),
	}
	if indirect {
		r.Through = string(vm)
	}
	reply, err := m.peers.At(addr).Probe(ctx, r)
	if answeredBy := reply.GetVm(); err == nil && answeredBy != string(vm) && !(indirect && answeredBy == "") {
		return nil, errors.Newf("probe of %s answered by %s", vm, answeredBy)
	}
	return reply, err
}

// probeThrough asks one other live member to probe vm after a direct probe has failed with directErr. It returns
// directErr if the result could not change the state of vm.
func (m *Members) probeThrough(ctx context.Context, vm ident.VM, directErr error) (*wire.ProbeReply, error) {
	now := m.clock()
	var other member.Member
	var ok bool
	m.locked(func() { other, ok = m.view.ProbeVia(now, vm) })
	if !ok {
		return nil, directErr
	}
	reply, err := m.sendProbe(ctx, other.Control[EntryDaemon], vm, true)
	if err == nil && !reply.GetReached() {
		return nil, context.DeadlineExceeded
	}
	return reply, err
}

// ProbeFor probes vm on behalf of a peer. It returns vm's reply with Reached set, or an empty reply if vm did not
// reply.
func (m *Members) ProbeFor(ctx context.Context, vm ident.VM) *wire.ProbeReply {
	target, ok := m.Snapshot().Member(vm)
	if !ok || len(target.Control) == 0 {
		return &wire.ProbeReply{}
	}
	reply, err := m.sendProbe(ctx, target.Control[EntryDaemon], vm, false)
	if err != nil {
		return &wire.ProbeReply{}
	}
	reply.Reached = true
	return reply
}

// recordProbe records the result of a probe and publishes a snapshot if it changed the state of vm.
func (m *Members) recordProbe(now time.Time, vm ident.VM, ok bool, inc ident.Incarnation) {
	var before, after member.State
	m.locked(func() {
		before = m.view.State(vm, now)
		m.view.RecordProbe(now, vm, ok, inc)
		after = m.view.State(vm, now)
	})
	if before != after {
		level.Warn(m.logger).Log("event", "member-state", "member", vm, "from", before, "to", after)
		m.refresh(now)
	}
}

// refresh publishes a new snapshot.
func (m *Members) refresh(now time.Time) {
	s := &Snapshot{At: now}
	m.locked(func() {
		s.Members, s.Upstreams = m.view.All(now), m.upstreams
		for i, mem := range s.Members {
			inc, ok := m.leaving[mem.VM]
			if ok && inc >= mem.Incarnation && (mem.State == member.Alive || mem.State == member.Suspected) {
				s.Members[i].State = member.Leaving
			}
		}
	})
	s.byVM = make(map[ident.VM]int, len(s.Members))
	for i, mem := range s.Members {
		s.byVM[mem.VM] = i
	}
	m.snapshot.Store(s)
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

// MembersDump is the JSON dump of Members.
type MembersDump struct {
	// ListAgeMs is the time since the list was read; zero if it has not been read yet.
	ListAgeMs   int64             `json:"list-age-ms"`
	Self        ident.VM          `json:"self"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Members     []MemberDump      `json:"members"`
	Upstreams   []store.VMInfo    `json:"upstreams"`
}

// MemberDump is one VM in a MembersDump.
type MemberDump struct {
	VM          ident.VM          `json:"vm"`
	Place       ident.Place       `json:"place"`
	Address     string            `json:"address"`
	Control     []string          `json:"control"`
	State       string            `json:"state"`
	Incarnation ident.Incarnation `json:"incarnation"`
}

// Dump implements kernel.Service.
func (m *Members) Dump(now time.Time) any {
	var age time.Duration
	m.locked(func() { age, _ = m.view.ListAge(now) })
	s := m.Snapshot()
	d := MembersDump{
		ListAgeMs: age.Milliseconds(), Upstreams: s.Upstreams, Self: m.self.VM, Incarnation: m.self.Incarnation,
	}
	for _, mem := range s.Members {
		d.Members = append(d.Members, MemberDump{
			mem.VM, mem.Place, mem.Address, mem.Control, mem.State.String(), mem.Incarnation,
		})
	}
	return d
}

// sleep waits for d. It returns the context's error if ctx is done before.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
