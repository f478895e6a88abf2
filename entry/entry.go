// Package entry is the entry daemon: it creates and connects the services that answer lookups and forward requests, and
// runs a planned stop.
package entry

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"github.com/currantpier/currantpier/config"
	"github.com/currantpier/currantpier/drain"
	"github.com/currantpier/currantpier/front"
	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/kernel"
	"github.com/currantpier/currantpier/lists"
	"github.com/currantpier/currantpier/lookup"
	"github.com/currantpier/currantpier/node"
	"github.com/currantpier/currantpier/once"
	"github.com/currantpier/currantpier/orders"
	"github.com/currantpier/currantpier/plan"
	"github.com/currantpier/currantpier/relay"
	"github.com/currantpier/currantpier/sched"
	"github.com/currantpier/currantpier/send"
	"github.com/currantpier/currantpier/shift"
	"github.com/currantpier/currantpier/store"
)

// Daemon is one entry process.
type Daemon struct {
	self    node.Self
	cfg     *config.Settings
	clock   func() time.Time
	logger  log.Logger
	metrics metrics.Registry

	kernel  *kernel.Kernel
	store   *store.Client
	peers   *node.Peers
	members *node.Members
	sync    *node.Sync
	sched   *sched.Scheduler
	orders  *orders.Service
	client  *send.Client
	front   *front.Front
	watcher *watcher

	// blocks is the table of client blocks, or nil until one was read.
	blocks atomic.Pointer[lookup.Table]
	// plan is the traffic plan in force, or nil until one was received.
	plan atomic.Pointer[plan.TrafficPlan]
	// documents wakes the applier when a document comes into force.
	documents chan relay.Document
	// stop receives a value for each call of Stop, at most two.
	stop chan struct{}
	// leaving is closed when a planned stop begins.
	leaving chan struct{}
}

// Option changes a setting of a Daemon.
type Option func(*Daemon)

// WithClock replaces time.Now.
func WithClock(clock func() time.Time) Option { return func(d *Daemon) { d.clock = clock } }

// WithLogger sets the logger; by default nothing is logged.
func WithLogger(l log.Logger) Option { return func(d *Daemon) { d.logger = l } }

// New returns the daemon with the given settings. It serves callers and the control port on the two listeners, and
// accesses the platform only through the store client.
func New(cfg *config.Settings, callers, control net.Listener, st *store.Client, opts ...Option) (*Daemon, error) {
	d := &Daemon{
		cfg: cfg, clock: time.Now, logger: log.NewNopLogger(), metrics: metrics.NewRegistry(), kernel: kernel.New(),
		store: st, peers: node.NewPeers(), documents: make(chan relay.Document, 16), stop: make(chan struct{}, 2),
		leaving: make(chan struct{}),
	}
	for _, opt := range opts {
		opt(d)
	}
	d.self = node.Self{
		VM: cfg.VM.Name, Daemon: node.EntryDaemon, Place: cfg.VM.Place(),
		Incarnation: ident.Incarnation(d.clock().UnixNano()),
	}
	d.logger = log.With(d.logger, "vm", d.self.VM, "daemon", "entry")
	d.members = node.NewMembers(d.self, st, d.peers, d.clock, d.logger, cfg.VM.Seeds)
	d.sync = node.NewSync(d.self, relay.Options{
		ConfigInterval: cfg.Steer.ConfigInterval, PlanInterval: cfg.Steer.PlanInterval,
	}, st, d.members, d.peers, d.clock, d.logger, checkDocument)
	d.sync.Watch(d.enqueueDocument)
	d.sched = sched.New(d.self.VM, d.self.Place, rand.NewPCG(uint64(d.self.Incarnation), 1), d.metrics, d.clock,
		d.schedOptions()...)
	d.orders = orders.New(d.self.VM, d.self.Incarnation, st, d.liveEntries, d.metrics, d.clock, d.logger,
		once.WithMaxRecords(cfg.Orders.MaxRecords))
	d.client = send.New(cfg.Limits.MaxBody, d.clock)
	d.front = front.New(d.self, callers, front.Dependencies{
		Scheduler: d.sched, Orders: d.orders, Client: d.client, Members: d.members, Metrics: d.metrics,
		Logger: d.logger, Clock: d.clock,
	}, front.WithTTL(cfg.Limits.LookupTTL), front.WithMaxBody(cfg.Limits.MaxBody))
	return d, d.register(control)
}

func (d *Daemon) schedOptions() []sched.Option {
	opts := []sched.Option{
		sched.WithShiftCap(shift.Cap{PerStep: d.cfg.Shift.PerStep, PerMinute: d.cfg.Shift.PerMinute}),
		sched.WithQueueLength(d.cfg.Limits.QueueLength),
	}
	for _, r := range d.cfg.Regions {
		if l, ok := d.cfg.Link(d.cfg.VM.Region, r.Name); ok {
			opts = append(opts, sched.WithLinkCapacity(r.Name, l.Usable()))
		}
	}
	return opts
}

// register creates the remaining services and registers all of them with the kernel.
func (d *Daemon) register(control net.Listener) error {
	peer := &peer{PeerBase: node.PeerBase{
		Self: d.self, Members: d.members, Sync: d.sync, Clock: d.clock, Leaving: d.isLeaving,
	}, d: d}
	d.watcher = newWatcher(d)
	services := []kernel.Service{
		d.members, d.sync, d.sched, d.orders, d.front,
		&applier{d: d}, d.watcher, &borrower{d}, &reporter{d},
		&blockLoader{d},
		node.NewControl(control, peer, d.kernel, d.metrics, d.clock, d.front.NotReady),
	}
	for _, s := range services {
		if err := d.kernel.Register(s); err != nil {
			return err
		}
	}
	return nil
}

// writeProcessRow records in the store that this process runs or has stopped, if the row is still as read. A failure is only logged: at worst, the
// next process on this VM assumes that this one crashed.
func (d *Daemon) writeProcessRow(ctx context.Context, read store.Row, stopped bool) {
	value, _ := json.Marshal(processRow{d.self.Incarnation, stopped, read.Era}) // can't fail: integers and a bool
	_, err := d.store.Txn(ctx, []store.Op{{
		Key: processKey(d.self.VM), Value: value, IfVersion: read.Version, IfEra: read.Era,
	}})
	if err != nil {
		level.Warn(d.logger).Log("event", "process-row", "stopped", stopped, "err", err)
	}
}

// recordStop records a planned stop that ended without cutting off requests.
func (d *Daemon) recordStop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, d.cfg.Store.Timeout)
	defer cancel()
	row, err := d.store.Get(ctx, processKey(d.self.VM))
	if err != nil {
		level.Warn(d.logger).Log("event", "process-row", "stopped", true, "err", err)
		return
	}
	d.writeProcessRow(ctx, row, true)
}

// Kernel returns the kernel of the process, for a dump.
func (d *Daemon) Kernel() *kernel.Kernel { return d.kernel }

// NotReady returns the reason why requests are refused, or an empty string.
func (d *Daemon) NotReady() string { return d.front.NotReady() }

// Stop begins a planned stop. A second call makes the process end at once.
func (d *Daemon) Stop() {
	select {
	case d.stop <- struct{}{}:
	default:
	}
}

// Run runs the daemon until a planned stop is complete, a service fails or ctx is done.
func (d *Daemon) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer d.peers.Close()
	level.Info(d.logger).Log("event", "start", "incarnation", uint64(d.self.Incarnation))
	d.kernel.Start(ctx)
	select {
	case err := <-d.kernel.Done():
		return err
	case <-ctx.Done():
	case <-d.stop:
		d.runPlannedStop(ctx)
	}
	cancel()
	err := <-d.kernel.Done()
	level.Info(d.logger).Log("event", "end", "err", err)
	return err
}

// stopPollInterval is the interval in which a planned stop checks for requests and orders in progress.
const stopPollInterval = 20 * time.Millisecond

// runPlannedStop runs the phases of a planned stop until the process may end or ctx is done.
func (d *Daemon) runPlannedStop(ctx context.Context) {
	stopPhases := drain.NewStop(d.cfg.Limits.LookupTTL, d.cfg.Limits.StopTimeout)
	stopPhases.HandleSignal(d.clock())
	close(d.leaving)
	d.front.SetLeaving()
	level.Info(d.logger).Log("event", "stop", "phase", "announced")
	announced := make(chan struct{})
	go func() {
		defer close(announced)
		d.members.AnnounceLeaving(ctx)
	}()
	defer func() { <-announced }()
	last := drain.Announced
	for {
		phase := stopPhases.Advance(d.clock(), d.front.InProgress(), d.orders.Finished())
		if phase != last {
			level.Info(d.logger).Log("event", "stop", "phase", phase, "in-progress", d.front.InProgress())
			last = phase
		}
		if phase >= drain.Finishing {
			d.front.SetNotReady("this VM is leaving")
			d.orders.Stop()
		}
		if !d.clock().Before(stopPhases.AbortTime()) {
			// The orders that are given up still get a final record.
			d.client.Abort()
		}
		if phase == drain.Exit {
			if !stopPhases.Forced() {
				d.recordStop(ctx)
			}
			return
		}
		t := time.NewTimer(stopPollInterval)
		select {
		case <-t.C:
		case <-d.stop:
			stopPhases.HandleSignal(d.clock())
		case <-ctx.Done():
			t.Stop()
			return
		}
		t.Stop()
	}
}

func (d *Daemon) isLeaving() bool {
	select {
	case <-d.leaving:
		return true
	default:
		return false
	}
}

// liveEntries returns the number of live entry VMs, at least 1, since this process runs even if it is not listed yet.
func (d *Daemon) liveEntries() int {
	return max(len(d.members.Snapshot().Live()), 1)
}

// checkDocument returns an error for a document that this version can't decode.
func checkDocument(doc relay.Document) error {
	if doc.Kind == relay.Config {
		_, err := lists.Decode(doc.Body)
		return err
	}
	_, err := decodePlan(doc)
	return err
}

// decodePlan decodes and validates a traffic plan.
func decodePlan(doc relay.Document) (*plan.TrafficPlan, error) {
	t, err := plan.DecodeVersion(doc.Body, doc.Version)
	if err != nil {
		return nil, err
	}
	return &t, nil
}

// enqueueDocument wakes the applier when a document comes into force. If the queue is full, the document is dropped.
// This is harmless, because the applier reads the documents in force on each round and does not use the queued ones.
func (d *Daemon) enqueueDocument(doc relay.Document) {
	select {
	case d.documents <- doc:
	default:
	}
}
