// Package steer is the steer daemon: it accepts configurations, passes documents on, and, while it holds the lease,
// computes and publishes the traffic plan.
package steer

import (
	"context"
	"net"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"github.com/currantpier/currantpier/config"
	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/kernel"
	"github.com/currantpier/currantpier/lease"
	"github.com/currantpier/currantpier/lists"
	"github.com/currantpier/currantpier/node"
	"github.com/currantpier/currantpier/plan"
	"github.com/currantpier/currantpier/relay"
	"github.com/currantpier/currantpier/store"
)

// Daemon is one steer process.
type Daemon struct {
	self    node.Self
	cfg     *config.Settings
	clock   func() time.Time
	logger  log.Logger
	metrics metrics.Registry

	kernel  *kernel.Kernel
	peers   *node.Peers
	members *node.Members
	sync    *node.Sync
	store   *store.Client
	planner *planner
	leaving chan struct{}
}

// Option changes a setting of a Daemon.
type Option func(*Daemon)

// WithClock replaces time.Now.
func WithClock(clock func() time.Time) Option { return func(d *Daemon) { d.clock = clock } }

// WithLogger sets where events go; by default they are dropped.
func WithLogger(l log.Logger) Option { return func(d *Daemon) { d.logger = l } }

// leaseMargin is the part of the lease term by which the holder's belief ends early, for clocks of different rates.
const leaseMargin = 10

// New returns the daemon for a settings file and a listener for the control port.
func New(cfg *config.Settings, control net.Listener, st *store.Client, opts ...Option) (*Daemon, error) {
	d := &Daemon{
		cfg: cfg, clock: time.Now, logger: log.NewNopLogger(), metrics: metrics.NewRegistry(), kernel: kernel.New(),
		peers: node.NewPeers(), store: st, leaving: make(chan struct{}),
	}
	for _, opt := range opts {
		opt(d)
	}
	d.self = node.Self{
		VM: cfg.VM.Name, Daemon: node.SteerDaemon, Place: cfg.VM.Place(),
		Incarnation: ident.Incarnation(d.clock().UnixNano()),
	}
	d.logger = log.With(d.logger, "vm", d.self.VM, "daemon", "steer")
	d.members = node.NewMembers(d.self, st, d.peers, d.clock, d.logger, cfg.VM.Seeds)
	d.sync = node.NewSync(d.self, relay.Options{
		ConfigInterval: cfg.Steer.ConfigInterval, PlanInterval: cfg.Steer.PlanInterval,
	}, st, d.members, d.peers, d.clock, d.logger, checkDocument)
	keeper := lease.NewKeeper(st, d.self.VM, d.self.Incarnation, d.clock,
		lease.WithLength(cfg.Steer.LeaseTerm, cfg.Steer.LeaseTerm/leaseMargin))
	d.planner = newPlanner(d, keeper)
	p := &peer{Base: node.Base{
		Self: d.self, Members: d.members, Sync: d.sync, Clock: d.clock, Leaving: d.isLeaving, Holder: d.planner.holder,
	}, d: d}
	services := []kernel.Service{
		d.members, d.sync, d.planner,
		node.NewControl(control, p, d.kernel, d.metrics, d.clock, d.notReady),
	}
	for _, s := range services {
		if err := d.kernel.Register(s); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// Kernel returns the kernel of the process, for a dump.
func (d *Daemon) Kernel() *kernel.Kernel { return d.kernel }

// Run runs the daemon until ctx ends or a service fails. At the end it gives the lease up, so that another process
// need not wait for its expiry.
func (d *Daemon) Run(ctx context.Context) error {
	defer d.peers.Close()
	level.Info(d.logger).Log("event", "start", "incarnation", uint64(d.self.Incarnation))
	d.kernel.Start(ctx)
	err := <-d.kernel.Done()
	close(d.leaving)
	end, cancel := context.WithTimeout(context.Background(), d.cfg.Store.Timeout)
	defer cancel()
	if rerr := d.planner.keeper.Release(end); rerr != nil {
		level.Warn(d.logger).Log("event", "lease-release", "err", rerr)
	}
	level.Info(d.logger).Log("event", "end", "err", err)
	return err
}

func (d *Daemon) isLeaving() bool {
	select {
	case <-d.leaving:
		return true
	default:
		return false
	}
}

func (d *Daemon) notReady() string {
	if !d.sync.Ready() {
		return "the newest configuration and plan are not known yet"
	}
	return ""
}

func checkDocument(doc relay.Document) error {
	if doc.Kind == relay.Config {
		_, err := lists.Decode(doc.Body)
		return err
	}
	t, err := plan.Decode(doc.Body)
	if err != nil {
		return err
	}
	return plan.Validate(t)
}
