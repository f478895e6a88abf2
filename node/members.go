package node

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"golang.org/x/sync/errgroup"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/member"
	"github.com/currantpier/currantpier/store"
	"github.com/currantpier/currantpier/wire"
)

const (
	probeTimeout = 700 * time.Millisecond
	// listReadsPerSecond bounds the reads of the VM list by all processes together, a tenth of what the store serves.
	listReadsPerSecond = 200
	minListInterval    = time.Second
)

// Lister reads the platform's list of VMs. store.Client implements it.
type Lister interface {
	VMs(ctx context.Context) ([]store.VMInfo, error)
}

// Snapshot is the view of the VMs at one time. It is immutable.
type Snapshot struct {
	At time.Time
	// Members holds every known entry VM in any state, sorted by name.
	Members []member.Member
	// Upstreams is the platform's list of upstream VMs as last read.
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

// Members is the service that keeps the view of the VMs. Its methods are safe for concurrent use.
type Members struct {
	self   Self
	lister Lister
	peers  *Peers
	clock  func() time.Time
	logger log.Logger
	// seeds are control addresses of other VMs.
	seeds []string
	// versions returns the newest versions held, to be exchanged by probes.
	versions func() (config, plan ident.Version)

	// hint is told of the versions that a peer holds.
	hint func(vm ident.VM, config, plan ident.Version)

	mu        sync.Mutex
	view      *member.View
	upstreams []store.VMInfo
	// list is the platform's list as last read; nil if it never was.
	list []store.VMInfo
	// leaving holds the entry processes that have announced a planned stop. The platform's list shows it later or, for
	// a restart, not at all.
	leaving map[ident.VM]ident.Incarnation

	snapshot atomic.Pointer[Snapshot]
	changed  chan struct{}
}

// NewMembers returns the service for one process. The clock is normally time.Now. Seeds are control addresses of other
// VMs, which are asked for the list if the platform's cannot be read at the start.
func NewMembers(self Self, lister Lister, peers *Peers, clock func() time.Time, logger log.Logger,
	seeds []string) *Members {
	m := &Members{
		self: self, lister: lister, peers: peers, clock: clock, logger: logger, seeds: seeds,
		versions: func() (ident.Version, ident.Version) { return 0, 0 },
		hint:     func(ident.VM, ident.Version, ident.Version) {},
		view:     member.NewView(self.VM, uint64(self.Incarnation)),
		leaving:  map[ident.VM]ident.Incarnation{}, changed: make(chan struct{}, 1),
	}
	m.snapshot.Store(&Snapshot{})
	return m
}

// Name implements kernel.Service.
func (m *Members) Name() string { return "members" }

// Snapshot returns the newest view.
func (m *Members) Snapshot() *Snapshot { return m.snapshot.Load() }

// Changed delivers a value after the view has changed; several changes may share one value.
func (m *Members) Changed() <-chan struct{} { return m.changed }

// Dead reports whether the process inc of vm has ended for certain enough to seal its journal.
func (m *Members) Dead(now time.Time, vm ident.VM, inc ident.Incarnation) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Dead(vm, inc, now)
}

// Vacant reports whether the slots of vm may be given to others.
func (m *Members) Vacant(now time.Time, vm ident.VM) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Vacant(vm, now)
}

// Heard records a message from the entry process inc of vm.
func (m *Members) Heard(now time.Time, vm ident.VM, inc ident.Incarnation) {
	m.probed(now, vm, true, inc)
}

// Leaving records that the entry process inc of vm has begun a planned stop.
func (m *Members) Leaving(now time.Time, vm ident.VM, inc ident.Incarnation) {
	m.mu.Lock()
	known := m.leaving[vm] >= inc
	if !known {
		m.leaving[vm] = inc
	}
	m.mu.Unlock()
	if !known {
		level.Info(m.logger).Log("event", "member-leaving", "member", vm)
		m.refresh(now)
	}
}

// announcers bounds the concurrent calls of Announce.
const announcers = 32

// Announce tells every live VM that this entry process leaves.
func (m *Members) Announce(ctx context.Context) {
	m.Leaving(m.clock(), m.self.VM, m.self.Incarnation)
	var g errgroup.Group
	g.SetLimit(announcers)
	for _, mem := range m.Snapshot().Live() {
		for _, addr := range mem.Control {
			g.Go(func() error {
				call, cancel := context.WithTimeout(ctx, probeTimeout)
				defer cancel()
				// A VM that is missed learns it from a probe or the platform's list.
				_, _ = m.peers.At(addr).Probe(call, &wire.ProbeRequest{
					Vm: string(m.self.VM), Incarnation: uint64(m.self.Incarnation), Leaving: true,
				})
				return nil
			})
		}
	}
	_ = g.Wait()
}

// Run reads the list and probes peers until ctx ends.
func (m *Members) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return m.readList(ctx) })
	g.Go(func() error { return m.probePeers(ctx) })
	return g.Wait()
}

func (m *Members) readList(ctx context.Context) error {
	failing := false
	for {
		list, err := m.lister.VMs(ctx)
		switch {
		case err == nil:
			m.listed(m.clock(), list)
		case len(m.List()) == 0:
			m.askSeeds(ctx)
		}
		if failed := err != nil; failed != failing {
			failing = failed
			level.Warn(m.logger).Log("event", "vm-list", "failing", failing, "err", err)
		}
		if err := sleep(ctx, m.listInterval()); err != nil {
			return err
		}
	}
}

// List returns the platform's list as last read, or nil.
func (m *Members) List() []store.VMInfo {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.list
}

// askSeeds takes over the list of another VM. It is used by a process that starts while the platform's list cannot be
// read.
func (m *Members) askSeeds(ctx context.Context) {
	for _, addr := range m.seeds {
		call, cancel := context.WithTimeout(ctx, probeTimeout)
		reply, err := m.peers.At(addr).List(call, &wire.ListRequest{})
		cancel()
		var list []store.VMInfo
		if err != nil || json.Unmarshal(reply.GetVms(), &list) != nil || len(list) == 0 {
			continue
		}
		level.Warn(m.logger).Log("event", "vm-list-from-peer", "seed", addr, "vms", len(list))
		m.listed(m.clock(), list)
		return
	}
}

// listInterval grows with the number of VMs. Each VM has two processes that read the list.
func (m *Members) listInterval() time.Duration {
	n := len(m.Snapshot().Members)
	return max(minListInterval, time.Duration(2*n)*time.Second/listReadsPerSecond)
}

func (m *Members) listed(now time.Time, list []store.VMInfo) {
	m.mu.Lock()
	m.list = list
	m.view.Platform(now, list)
	m.upstreams = m.upstreams[:0:0]
	for _, vm := range list {
		if vm.Role == store.RoleUpstream {
			m.upstreams = append(m.upstreams, vm)
		}
	}
	m.mu.Unlock()
	m.refresh(now)
}

func (m *Members) probePeers(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	// A probe takes at most 2*probeTimeout, so the probes of one second may overlap those of the next.
	g.SetLimit(2 * member.MaxPerSecond)
	for {
		now := m.clock()
		m.mu.Lock()
		due := m.view.Peers(now)
		m.mu.Unlock()
		for _, vm := range due {
			g.Go(func() error {
				m.probe(ctx, vm)
				return nil
			})
		}
		m.refresh(now)
		if err := sleep(ctx, time.Second); err != nil {
			_ = g.Wait()
			return err
		}
	}
}

// probe asks the entry process on vm directly, and through another VM before a verdict if it does not answer.
func (m *Members) probe(ctx context.Context, vm ident.VM) {
	target, ok := m.Snapshot().Member(vm)
	if !ok || len(target.Control) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, 2*probeTimeout)
	defer cancel()
	reply, err := m.ask(ctx, target.Control[EntryDaemon], "")
	if err != nil {
		reply, err = m.askThrough(ctx, vm, err)
	}
	if ctx.Err() != nil && err != nil && ctx.Err() != context.DeadlineExceeded {
		return
	}
	inc := ident.Incarnation(reply.GetIncarnation())
	if err == nil {
		m.hint(vm, ident.Version(reply.GetConfigVersion()), ident.Version(reply.GetPlanVersion()))
	}
	if reply.GetLeaving() {
		m.Leaving(m.clock(), vm, inc)
	}
	m.probed(m.clock(), vm, err == nil, inc)
}

func (m *Members) ask(ctx context.Context, addr, through string) (*wire.ProbeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	config, plan := m.versions()
	return m.peers.At(addr).Probe(ctx, &wire.ProbeRequest{
		Vm: string(m.self.VM), Incarnation: uint64(m.self.Incarnation),
		ConfigVersion: uint64(config), PlanVersion: uint64(plan), Through: through,
	})
}

// askThrough asks one other live member to probe vm after a direct probe failed with the given error, unless no verdict
// depends on it.
func (m *Members) askThrough(ctx context.Context, vm ident.VM, failed error) (*wire.ProbeReply, error) {
	now := m.clock()
	m.mu.Lock()
	other, ok := m.view.Through(now, vm)
	m.mu.Unlock()
	if !ok {
		return nil, failed
	}
	reply, err := m.ask(ctx, other.Control[EntryDaemon], string(vm))
	if err == nil && !reply.GetReached() {
		return nil, context.DeadlineExceeded
	}
	return reply, err
}

// ProbeFor probes vm on behalf of a peer and returns the reply of vm with Reached set.
func (m *Members) ProbeFor(ctx context.Context, vm ident.VM) *wire.ProbeReply {
	target, ok := m.Snapshot().Member(vm)
	if !ok || len(target.Control) == 0 {
		return &wire.ProbeReply{}
	}
	reply, err := m.ask(ctx, target.Control[EntryDaemon], "")
	if err != nil {
		return &wire.ProbeReply{}
	}
	reply.Reached = true
	return reply
}

func (m *Members) probed(now time.Time, vm ident.VM, ok bool, inc ident.Incarnation) {
	m.mu.Lock()
	before := m.view.State(vm, now)
	m.view.Probe(now, vm, ok, inc)
	after := m.view.State(vm, now)
	m.mu.Unlock()
	if before != after {
		level.Warn(m.logger).Log("event", "member-state", "member", vm, "from", before, "to", after)
		m.refresh(now)
	}
}

// refresh publishes a new snapshot.
func (m *Members) refresh(now time.Time) {
	m.mu.Lock()
	s := &Snapshot{At: now, Members: m.view.All(now), Upstreams: m.upstreams}
	for i, mem := range s.Members {
		inc, ok := m.leaving[mem.VM]
		if ok && inc >= mem.Incarnation && (mem.State == member.Alive || mem.State == member.Suspected) {
			s.Members[i].State = member.Leaving
		}
	}
	m.mu.Unlock()
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

// MembersDump is the state of Members in a dump.
type MembersDump struct {
	// ListAgeMs is zero if the list was never read.
	ListAgeMs   int64             `json:"list-age-ms"`
	Self        ident.VM          `json:"self"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Members     []MemberDump      `json:"members"`
	Upstreams   []store.VMInfo    `json:"upstreams"`
}

// MemberDump is one VM in a dump.
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
	m.mu.Lock()
	age, _ := m.view.ListAge(now)
	m.mu.Unlock()
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
