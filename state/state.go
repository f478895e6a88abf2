// Package state owns a VM's copy of the platform state: the operators' table and the registry of targets, as read from
// the store or received from other VMs of its region and, if the store can't be reached, of other regions. It publishes
// the state to the forwarder and broadcasts changes to other VMs. All changes are made by one goroutine.
package state

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/currantpier/currantpier/carry"
	"github.com/currantpier/currantpier/feed"
	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/peers"
	"github.com/currantpier/currantpier/proto"
	"github.com/currantpier/currantpier/trace"
)

const (
	// tickInterval is the interval of checks that depend on time: targets whose warm-up ends or whose entry has
	// vanished, and VMs that failed.
	tickInterval = 200 * time.Millisecond
	// sweepInterval is the interval at which unused connections are closed.
	sweepInterval = time.Second
	// readingsBuffer is the capacity of the channel of store readings that wait to be applied.
	readingsBuffer = 8
)

// Decoder decodes rows of the store.
type Decoder interface {
	// DecodeChange decodes a row of the operators' table. It returns nil without an error for a row that needs no action.
	DecodeChange(r feed.Row) (*fleet.Change, error)
	// DecodeEntry decodes a row of the registry of targets.
	DecodeEntry(r feed.Row) (fleet.Entry, error)
}

// Config configures a State. All fields are required.
type Config struct {
	Self      proto.VMInfo
	Forwarder *carry.Forwarder
	Peers     *peers.Service
	// OperatorFollower and RegistryFollower schedule the calls to the two tables.
	OperatorFollower, RegistryFollower *feed.SyncFollower
	// PeerMessages delivers messages from other VMs with the changes that they have read.
	PeerMessages <-chan proto.Message
	Decoder      Decoder
	Log          *trace.Log
	Clock        func() time.Time
	// MaxOperatorSilence is how long a VM that does not long-poll the operators' table goes without a confirmation from a VM
	// that does, before it reads the table itself.
	MaxOperatorSilence time.Duration
}

// Topic is a table of the store that a VM follows.
type Topic uint8

// The tables.
const (
	// Operator is the operators' table: configurations and evacuations.
	Operator Topic = iota
	// Registry is the table of targets.
	Registry
)

// String returns the table's name in log lines.
func (t Topic) String() string { return [...]string{"operator", "registry"}[t] }

// source is where rows of a table came from, as in log lines.
type source string

// The sources of rows.
const (
	fromStore      source = "store"
	fromPeerDelta  source = "peer-delta"
	fromPeerTables source = "peer-state"
)

// reading is the result of one call to the store, or rows that take the place of one.
type reading struct {
	at     time.Time
	topic  Topic
	source source
	rows   feed.Rows
	err    error
}

// State is the service that owns a VM's copy of the platform state.
type State struct {
	cfg      Config
	stopping func() bool
	readings chan reading
	// refreshRequests has a value if a full reading of the operators' table is requested.
	refreshRequests chan struct{}

	// peerStates receives the states of other VMs, and stateRequests the requests for this VM's own.
	peerStates    chan *proto.Message
	stateRequests chan stateRequest
	// coldReports receives what this VM has found out about the warm-up of targets.
	coldReports chan fleet.ColdReport
	// collectedCold are the reports that are applied together.
	collectedCold []fleet.ColdReport
	// endedCold are the reports that are to be sent a second time, the oldest first.
	endedCold []endedAssumption
	// registryConfirmed is when the registry was last read or received.
	registryConfirmed atomic.Pointer[time.Time]

	started time.Time
	view    *fleet.View
	group   groupState
	// applied has the versions up to which the tables are applied. The followers' versions are ahead of them while a
	// reading waits to be applied.
	applied [2]ident.Version
	// rejected is the store's version of the last row of the operators' table that could not be decoded.
	rejected ident.Version
	// operatorRows has the rows of the operators' table by key, as in the store; nil before the table was read. In place of an
	// older configuration, it has the row of the one in force.
	operatorRows map[string]feed.Row
	restore      restoreState
	// operatorVersion is the version of the newest row of the operators' table.
	operatorVersion ident.Version
	// unreachable says for each table that the last call to the store failed and no delta was applied since.
	unreachable [2]bool
	// sharingVMs and quorum are the last logged number of VMs that share the limits and whether this VM has a quorum.
	sharingVMs int
	quorum     bool
	pause      pauseState
	// behindSince is when this VM was first found to lack a change of the operators' table that a peer has announced;
	// zero if it lacks none.
	behindSince time.Time
	// configBehindSince is when this VM was first found to have an older configuration in force than a peer; zero if it has
	// not. operatorReadBegun is when the last full reading of the operators' table began.
	configBehindSince, operatorReadBegun time.Time
	// operatorSince is the version from which on this VM knows all changes of the operators' table, also removals: that of the
	// last full reading. Rows that were removed before it are unknown.
	operatorSince ident.Version
	// missedRegistry is the newest version of the registry after which a peer's delta was rejected because of a gap.
	missedRegistry ident.Version
	// missedOperator is the newest version of the operators' table up to which a peer doesn't know what was removed since the
	// version applied here.
	missedOperator ident.Version
	// usableTargets is the number of targets in the last snapshot.
	usableTargets int
	// summary is what Dump returns.
	summary atomic.Pointer[Summary]
	// queryPeers, lacking and noConfig are the last results of shouldQueryPeers, lacksChange and lacksConfig, for other
	// goroutines.
	queryPeers, lacking, noConfig atomic.Bool
	// era is the newest known era of the store, zero before the first reading.
	era atomic.Uint32
}

// Summary is the dump of the state.
type Summary struct {
	Version   ident.Version  `json:"version"`
	Evacuated []ident.Domain `json:"evacuated"`
	Targets   map[string]int `json:"targets"`
	Outage    bool           `json:"store-outage"`
	// OperatorVersion and RegistryVersion are the versions up to which the tables are applied, OperatorChange that of the
	// newest change of the operators' table.
	OperatorVersion ident.Version `json:"operator-version"`
	OperatorChange  ident.Version `json:"operator-change"`
	RegistryVersion ident.Version `json:"registry-version"`
	// Era is the newest known era of the store. Versions of later eras have it in their upper bits.
	Era ident.Era `json:"store-era"`
	// Behind says that a peer has announced a change of the operators' table or a configuration that this VM lacks.
	Behind bool `json:"behind"`
}

// New returns a state without any data. Stopping reports whether a planned stop has begun.
func New(cfg Config, stopping func() bool) *State {
	s := &State{
		cfg: cfg, stopping: stopping, readings: make(chan reading, readingsBuffer), refreshRequests: make(chan struct{}, 1),
		peerStates: make(chan *proto.Message), stateRequests: make(chan stateRequest),
		coldReports: make(chan fleet.ColdReport, coldReportBuffer), view: fleet.NewView(), started: cfg.Clock(), group: groupState{rank: registryBroadcastMaxRank + 1},
	}
	s.summary.Store(&Summary{})
	s.registryConfirmed.Store(&s.started)
	return s
}

// Name implements kernel.Service.
func (s *State) Name() string { return "state" }

// Dump implements kernel.Service.
func (s *State) Dump(time.Time) any { return s.summary.Load() }

// Sink returns the sink for the readings of a table.
func (s *State) Sink(ctx context.Context, t Topic) feed.Sink {
	return func(now time.Time, rows feed.Rows, err error) {
		select {
		case s.readings <- reading{at: now, topic: t, source: fromStore, rows: rows, err: err}:
		case <-ctx.Done():
		}
	}
}

// RefreshRequests delivers requests for a full reading of the operators' table.
func (s *State) RefreshRequests() <-chan struct{} { return s.refreshRequests }

// PeerStates returns the channel for the states of other VMs.
func (s *State) PeerStates() chan<- *proto.Message { return s.peerStates }

// ShouldQueryPeers reports whether state should be requested from other VMs because a table can't be read from the store.
func (s *State) ShouldQueryPeers() bool { return s.queryPeers.Load() }

// LacksChange reports whether this VM knows of a change of a table that it lacks.
func (s *State) LacksChange() bool { return s.lacking.Load() }

// LacksConfig reports whether a peer has a newer configuration than this VM, and the store has not.
func (s *State) LacksConfig() bool { return s.noConfig.Load() }

// Version returns the version of the operators' configuration.
func (s *State) Version() ident.Version { return s.summary.Load().Version }

// Era returns the newest known era of the store.
func (s *State) Era() ident.Era { return ident.Era(s.era.Load()) }

// Run implements kernel.Service.
func (s *State) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	collected := time.NewTimer(coldCollectPeriod)
	defer collected.Stop()
	lastSweep := s.cfg.Clock()
	for {
		select {
		case r := <-s.readings:
			s.applyInput(r.at, "reading", func() bool { return s.applyReading(r) })
		case n := <-s.cfg.PeerMessages:
			now := s.cfg.Clock()
			s.applyInput(now, "news", func() bool { return s.applyPeerMessage(now, n) })
		case m := <-s.peerStates:
			now := s.cfg.Clock()
			s.applyInput(now, "state", func() bool { return s.applyPeerState(now, m) })
		case c := <-s.coldReports:
			s.collectCold(c, collected)
		case <-collected.C:
			now := s.cfg.Clock()
			s.applyInput(now, "cold", func() bool { return s.applyOwnColdReports(now) })
		case req := <-s.stateRequests:
			req.reply <- s.respond(s.cfg.Clock(), req)
		case <-ticker.C:
			now := s.cfg.Clock()
			s.tick(now)
			if now.Sub(lastSweep) >= sweepInterval {
				lastSweep = now
				s.cfg.Forwarder.Sweep(now)
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// tick updates what depends on time.
func (s *State) tick(now time.Time) {
	s.checkPause(now)
	s.confirmSnapshot(now)
	settled := s.settle(now)
	if s.view.Tick(now) || settled {
		s.publish(now)
	}
	s.syncPeers(now)
	s.checkOperatorAge(now)
	s.repeatEnded(now)
	s.rereadRegistry(now)
	s.queryPeers.Store(s.shouldQueryPeers())
	s.lacking.Store(s.lacksChange())
	s.noConfig.Store(s.lacksConfig())
}

// applyInput calls apply and publishes the state if it changed. It recovers from a panic in apply: the VM continues
// with its present state, which a later reading repairs. Input is the kind of input in the log.
func (s *State) applyInput(now time.Time, input string, apply func() bool) {
	defer func() {
		if v := recover(); v != nil {
			s.cfg.Log.AddPanic(now, input, v)
			s.requestRefresh()
		}
	}()
	s.checkPause(s.cfg.Clock())
	if apply() {
		s.publish(now)
	}
	s.confirmSnapshot(s.cfg.Clock())
}

// publish passes a snapshot of the state to the forwarder.
func (s *State) publish(now time.Time) {
	snap := s.view.Snapshot(now)
	s.cfg.Forwarder.Update(now, snap)
	s.syncPeers(now)
	sum := &Summary{
		Version: s.view.Version(), Evacuated: s.view.Evacuated(), Targets: map[string]int{}, Outage: s.view.Outage(),
		OperatorVersion: s.applied[Operator], OperatorChange: s.operatorVersion, RegistryVersion: s.applied[Registry],
		Behind: !s.behindSince.IsZero() || !s.configBehindSince.IsZero(), Era: s.Era(),
	}
	usableTargets := 0
	for svc, list := range snap.Targets {
		sum.Targets[string(svc)] = len(list)
		usableTargets += len(list)
	}
	if usableTargets != s.usableTargets {
		s.cfg.Log.Add(now, trace.Registry, "usable", usableTargets, "before", s.usableTargets, "store-outage", sum.Outage)
		s.usableTargets = usableTargets
	}
	s.summary.Store(sum)
}

// syncPeers passes this VM's state to the peers' view, and takes the VMs that share limits and this VM's rank from it.
func (s *State) syncPeers(now time.Time) {
	snap := s.cfg.Forwarder.Snapshot()
	stopping := s.stopping()
	ready := snap.Config != nil && snap.RegistryRead && !stopping
	var vms []ident.VM
	var group []proto.VMInfo
	behind, configBehind, quorum := false, false, false
	announced, peerConfig := ident.Version(0), ident.Version(0)
	s.cfg.Peers.With(func(v *peers.View) {
		v.SetState(ready, stopping)
		vms, quorum = v.SharingVMs(now), v.HasQuorum(now)
		behind, announced = v.OperatorTableBehind(now), v.NewestOperatorVersion()
		configBehind = v.ConfigBehind(now)
		_, peerConfig = v.ConfigHolder()
		group = v.RegionGroup(now)
	})
	s.enterEra(now, announced.Era())
	s.setRank(now, group)
	if len(vms) != s.sharingVMs || quorum != s.quorum {
		s.cfg.Log.Add(now, trace.Members, "sharing", len(vms), "before", s.sharingVMs, "quorum", quorum)
		s.sharingVMs, s.quorum = len(vms), quorum
	}
	s.cfg.Forwarder.SetVMs(vms, quorum)
	s.cfg.Forwarder.SetCallerShare(s.callerShare(group, snap.Config))
	s.recordBehind(now, behind, announced)
	s.recordConfigBehind(now, configBehind, peerConfig)
	if behind || configBehind && !s.lacksConfig() {
		s.requestRefresh()
	}
}

// recordBehind logs when this VM starts and ceases to lack a change of the operators' table that a peer has announced.
func (s *State) recordBehind(now time.Time, behind bool, announced ident.Version) {
	switch {
	case behind == !s.behindSince.IsZero():
	case behind:
		s.behindSince = now
		s.cfg.Log.Add(now, trace.Behind, "announced", announced, "newest-change", s.operatorVersion, "applied", s.applied[Operator],
			"store-reachable", !s.unreachable[Operator])
	default:
		s.cfg.Log.Add(now, trace.Behind, "caught-up", s.operatorVersion, "after", now.Sub(s.behindSince))
		s.behindSince = time.Time{}
	}
}

// recordConfigBehind logs when this VM starts and ceases to have an older configuration in force than a peer.
func (s *State) recordConfigBehind(now time.Time, behind bool, announced ident.Version) {
	switch {
	case behind == !s.configBehindSince.IsZero():
	case behind:
		s.configBehindSince = now
		s.cfg.Log.Add(now, trace.Behind, "announced-config", announced, "config", s.view.Version(), "applied", s.applied[Operator],
			"store-reachable", !s.unreachable[Operator])
	default:
		s.cfg.Log.Add(now, trace.Behind, "caught-up-config", s.view.Version(), "after", now.Sub(s.configBehindSince))
		s.configBehindSince = time.Time{}
	}
}

// requestRefresh requests a full reading of the operators' table, unless a request is pending.
func (s *State) requestRefresh() {
	select {
	case s.refreshRequests <- struct{}{}:
	default:
	}
}
