// Package state owns what a VM believes of the platform: the operators' table and the registry of targets, as the store, the
// other VMs of its region and, if need be, VMs of other regions tell them. It publishes them to the carrier and tells other
// VMs. All changes pass through one goroutine.
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
	// tick is how often times are looked at: targets that stop being cold or whose entry has vanished, VMs that failed.
	tick = 200 * time.Millisecond
	// sweepEvery is how often unused connections are closed.
	sweepEvery = time.Second
	// readingsSize is the number of readings of the store that wait to be applied.
	readingsSize = 8
)

// Decoder turns rows of the store into what they say.
type Decoder interface {
	// Change decodes a row of the operators' table. A row that concerns nobody gives nil without an error.
	Change(r feed.Row) (*fleet.Change, error)
	// Entry decodes a row of the registry of targets.
	Entry(r feed.Row) (fleet.Entry, error)
}

// Config is what a State is made of. All fields are required.
type Config struct {
	Self    proto.VMInfo
	Carrier *carry.Forwarder
	Peers   *peers.Service
	// OperatorFollower and RegistryFollower decide the calls to the two tables.
	OperatorFollower, RegistryFollower *feed.SyncFollower
	// News are messages of other VMs that tell what they have read.
	News    <-chan proto.Message
	Decoder Decoder
	Log     *trace.Log
	Clock   func() time.Time
	// MaxOperatorSilence is how long a VM that is told of the operators' changes goes without word of a VM that follows them
	// before it looks for itself.
	MaxOperatorSilence time.Duration
}

// Topic is a table of the store that a VM follows.
type Topic uint8

// The tables.
const (
	// Operator is the operators' table: configurations and evacuations.
	Operator Topic = iota
	// Registry is that of the targets.
	Registry
)

// String returns the name of the table's content.
func (t Topic) String() string { return [...]string{"operator", "registry"}[t] }

// reading is the result of one call to the store.
type reading struct {
	at    time.Time
	topic Topic
	// after is the version that the rows follow.
	after ident.Version
	rows  feed.Rows
	err   error
}

// State is the service that owns what the VM believes.
type State struct {
	cfg      Config
	stopping func() bool
	readings chan reading
	// behind asks for a full reading of the operators' table.
	behind chan struct{}

	// adopted are states of other VMs, asks requests for this VM's own.
	adopted chan *proto.Message
	asks    chan question

	started time.Time
	view    *fleet.View
	shared  shared
	// applied are the versions up to which the tables are known here. The followers are ahead of them while a reading waits
	// to be applied.
	applied [2]ident.Version
	// operatorRows are the rows of the operators' table by key, as the store has them; nil before it was read.
	operatorRows map[string]feed.Row
	// operator is the version of the newest change of the operators.
	operator ident.Version
	lost     [2]bool
	vms      int
	// ticked is the time of the last tick, resumed that of the end of a pause after which the registry was not read yet; zero
	// if there is none.
	ticked, resumed time.Time
	// usable is the number of targets in the last snapshot.
	usable int
	// summary is for dumps.
	summary atomic.Pointer[Summary]
	// asking says that other VMs should be asked for what the store does not tell.
	asking atomic.Bool
}

// Summary is the dump of what the store said.
type Summary struct {
	Version   ident.Version  `json:"version"`
	Evacuated []ident.Domain `json:"evacuated"`
	Targets   map[string]int `json:"targets"`
	Outage    bool           `json:"store-outage"`
}

// New returns a state that has read nothing. Stopping reports whether a planned stop has begun.
func New(cfg Config, stopping func() bool) *State {
	s := &State{
		cfg: cfg, stopping: stopping, readings: make(chan reading, readingsSize), behind: make(chan struct{}, 1),
		adopted: make(chan *proto.Message), asks: make(chan question),
		view: fleet.NewView(), started: cfg.Clock(), shared: shared{rank: tellRank + 1},
	}
	s.summary.Store(&Summary{})
	return s
}

// Name implements kernel.Service.
func (s *State) Name() string { return "state" }

// Dump implements kernel.Service.
func (s *State) Dump(time.Time) any { return s.summary.Load() }

// Sink returns what takes the readings of a table.
func (s *State) Sink(ctx context.Context, t Topic) feed.Sink {
	return func(now time.Time, after ident.Version, rows feed.Rows, err error) {
		select {
		case s.readings <- reading{at: now, topic: t, after: after, rows: rows, err: err}:
		case <-ctx.Done():
		}
	}
}

// Behind delivers requests for a full reading of the operators' table.
func (s *State) Behind() <-chan struct{} { return s.behind }

// States takes what other VMs tell of their state.
func (s *State) States() chan<- *proto.Message { return s.adopted }

// StoreUnreachable reports whether other VMs should be asked for what the store does not tell.
func (s *State) StoreUnreachable() bool { return s.asking.Load() }

// Version returns the version of the operators' configuration.
func (s *State) Version() ident.Version { return s.summary.Load().Version }

// Run implements kernel.Service.
func (s *State) Run(ctx context.Context) error {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	swept := s.cfg.Clock()
	for {
		select {
		case r := <-s.readings:
			s.take(r.at, "reading", func() bool { return s.apply(r) })
		case n := <-s.cfg.News:
			now := s.cfg.Clock()
			s.take(now, "news", func() bool { return s.hear(now, n) })
		case m := <-s.adopted:
			now := s.cfg.Clock()
			s.take(now, "state", func() bool { return s.adopt(now, m) })
		case q := <-s.asks:
			q.reply <- s.answer(s.cfg.Clock(), q)
		case <-ticker.C:
			now := s.cfg.Clock()
			s.checkPause(now)
			if s.view.Tick(now) {
				s.publish(now)
			}
			s.tellPeers(now)
			s.checkOperator(now)
			s.asking.Store(s.cutOff())
			if now.Sub(swept) >= sweepEvery {
				swept = now
				s.cfg.Carrier.Sweep(now)
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// take applies something from outside and publishes the state if that changed it. What makes this process panic is left out:
// the VM goes on with what it knew, and a later reading repairs it.
func (s *State) take(now time.Time, what string, apply func() bool) {
	defer func() {
		if v := recover(); v != nil {
			s.cfg.Log.AddPanic(now, what, v)
			s.askRefresh()
		}
	}()
	if apply() {
		s.publish(now)
	}
	if s.resumed.IsZero() {
		s.cfg.Carrier.ConfirmSnapshot(now)
	}
}

// pausedAfter is the time between two ticks from which the process must have been paused.
const pausedAfter = time.Second

// checkPause asks for the news of both tables at once after a pause of the process, and otherwise confirms to the carrier
// that the news is followed.
func (s *State) checkPause(now time.Time) {
	gap := time.Duration(0)
	if !s.ticked.IsZero() {
		gap = carry.ElapsedWithSuspend(s.ticked, now)
	}
	s.ticked = now
	if gap >= pausedAfter {
		s.resumed = now
		s.cfg.Log.Add(now, trace.Resumed, "gap", gap)
		s.cfg.RegistryFollower.With(func(f *feed.Follower) { f.CallNow(now) })
		s.askRefresh()
	}
	if s.resumed.IsZero() {
		s.cfg.Carrier.ConfirmSnapshot(now)
	}
}

// publish hands the present state to the carrier.
func (s *State) publish(now time.Time) {
	snap := s.view.Snapshot(now)
	s.cfg.Carrier.Update(now, snap)
	s.tellPeers(now)
	sum := &Summary{Version: s.view.Version(), Evacuated: s.view.Evacuated(), Targets: map[string]int{}, Outage: s.view.Outage()}
	usable := 0
	for svc, list := range snap.Targets {
		sum.Targets[string(svc)] = len(list)
		usable += len(list)
	}
	if usable != s.usable {
		s.cfg.Log.Add(now, trace.Registry, "usable", usable, "before", s.usable, "store-outage", sum.Outage)
		s.usable = usable
	}
	s.summary.Store(sum)
}

// tellPeers exchanges with the peers' view: what this VM knows, and which VMs are alive.
func (s *State) tellPeers(now time.Time) {
	snap := s.cfg.Carrier.Snapshot()
	stopping := s.stopping()
	ready := snap.Config != nil && snap.RegistryRead && !stopping
	var vms []ident.VM
	var group []proto.VMInfo
	behind := false
	s.cfg.Peers.With(func(v *peers.View) {
		v.SetState(ready, stopping, s.operator)
		vms = v.SharingVMs(now)
		behind = v.OperatorTableBehind(now)
		group = v.RegionGroup(now)
	})
	s.setRank(now, group)
	if len(vms) != s.vms {
		s.cfg.Log.Add(now, trace.Members, "sharing", len(vms), "before", s.vms)
		s.vms = len(vms)
	}
	s.cfg.Carrier.SetVMs(vms)
	if behind {
		s.askRefresh()
	}
}

// askRefresh asks for a full reading of the operators' table.
func (s *State) askRefresh() {
	select {
	case s.behind <- struct{}{}:
	default:
	}
}

// apply takes a reading and reports whether anything changed.
func (s *State) apply(r reading) bool {
	s.contact(r)
	if r.err != nil || r.rows.Compacted {
		return false
	}
	if !r.rows.Full && r.rows.Version < s.applied[r.topic] {
		// A peer has told more than this while it was on its way.
		return false
	}
	if r.topic == Operator {
		changed := s.applyOperator(r)
		s.tellChange(r)
		return changed
	}
	return s.applyRegistry(r)
}

// advance notes that everything after one version of a table up to another is applied. A part that does not continue what
// is applied says nothing about what lies between.
func (s *State) advance(t Topic, after, version ident.Version, whole bool) {
	if whole || after <= s.applied[t] {
		s.applied[t] = max(s.applied[t], version)
	}
}

// contact logs when a table is lost and regained.
func (s *State) contact(r reading) {
	ok := r.err == nil
	if r.topic == Registry {
		// A failed call ends the wait as well: there is no news to be had.
		s.resumed = time.Time{}
	}
	if r.topic == Registry && !ok {
		s.view.RecordFailure()
	}
	if ok == !s.lost[r.topic] {
		return
	}
	s.lost[r.topic] = !ok
	if ok && r.topic == Registry && s.waits() {
		// A call that waits for the operators' changes may hang since before the outage. The other VMs are told, and find out
		// from heartbeats if they were not.
		s.askRefresh()
	}
	if ok {
		s.cfg.Log.Add(r.at, trace.DependencyRegained, "dependency", "store", "table", r.topic)
		return
	}
	s.cfg.Log.Add(r.at, trace.DependencyLost, "dependency", "store", "table", r.topic, "err", r.err)
}

func (s *State) applyOperator(r reading) bool {
	s.shared.confirmed = r.at
	s.advance(Operator, r.after, r.rows.Version, r.rows.Full)
	s.keepRows(r.rows)
	changed := false
	present := map[ident.Domain]bool{}
	for _, row := range r.rows.Rows {
		s.operator = max(s.operator, row.Version)
		c, err := s.cfg.Decoder.Change(row)
		if err != nil {
			s.cfg.Log.Add(r.at, trace.InternalFault, "row", row.Key, "version", row.Version, "err", err)
			continue
		}
		if c == nil {
			continue
		}
		if c.Config == nil {
			present[c.Domain] = !c.Ended
		}
		changed = s.change(r.at, c) || changed
	}
	if r.rows.Full {
		for _, d := range s.view.Evacuated() {
			if !present[d] {
				changed = s.change(r.at, &fleet.Change{Domain: d, Ended: true}) || changed
			}
		}
		s.cfg.Peers.With(func(v *peers.View) { v.SetReadUpTo(r.rows.Version) })
	}
	return changed
}

func (s *State) change(now time.Time, c *fleet.Change) bool {
	if c.Config != nil {
		if !s.view.SetConfig(c.Config) {
			return false
		}
		s.cfg.Log.Add(now, trace.Config, "version", c.Config.Version, "routes", len(c.Config.Routes))
		return true
	}
	if !s.view.Evacuate(now, c.Domain, !c.Ended) {
		return false
	}
	s.cfg.Log.Add(now, trace.Evacuation, "failure-domain", c.Domain, "on", !c.Ended)
	return true
}

func (s *State) applyRegistry(r reading) bool {
	in := fleet.RegistryUpdate{Full: r.rows.Full}
	for _, row := range r.rows.Rows {
		out := fleet.Row{Entry: fleet.Entry{ID: ident.Target(row.Key)}, Removed: true}
		if !row.Removed {
			if e, ok := s.entry(r.at, row); ok {
				out = fleet.Row{Entry: e}
			}
		}
		in.Rows = append(in.Rows, out)
	}
	changed := s.view.Apply(r.at, in)
	s.advance(Registry, r.after, r.rows.Version, r.rows.Full)
	s.logTargets(r.at, changed)
	s.tell(r, append(changed, returned(r.rows.Rows)...))
	return len(changed) > 0 || r.rows.Full
}

// returned names the targets whose entries were removed and written again in one reading.
func returned(rows []feed.Row) []ident.Target {
	removed := map[string]bool{}
	var ids []ident.Target
	for _, r := range rows {
		if !r.Removed && removed[r.Key] {
			ids = append(ids, ident.Target(r.Key))
		}
		removed[r.Key] = r.Removed
	}
	return ids
}

func (s *State) logTargets(now time.Time, changed []ident.Target) {
	for _, id := range changed {
		s.cfg.Log.Add(now, trace.Targets, s.view.Describe(now, id)...)
	}
}

func (s *State) entry(now time.Time, row feed.Row) (fleet.Entry, bool) {
	e, err := s.cfg.Decoder.Entry(row)
	if err != nil {
		s.cfg.Log.Add(now, trace.BadEntry, "key", row.Key, "err", err)
		return e, false
	}
	return e, true
}
