// Package steer is the steer daemon: it accepts configurations from operators, passes documents on to other VMs, and,
// while it holds the steering lease, computes and publishes the traffic plan.
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
	// leaving is closed when the services have ended.
	leaving chan struct{}
}

// Option changes a setting of a Daemon.
type Option func(*Daemon)

// WithClock replaces time.Now.
func WithClock(clock func() time.Time) Option { return func(d *Daemon) { d.clock = clock } }

// WithLogger sets the logger; by default nothing is logged.
func WithLogger(l log.Logger) Option { return func(d *Daemon) { d.logger = l } }

// leaseMarginDivisor sets the safety margin of the lease to 1/10 of its length. The holder stops acting as holder that
// much before the lease expires, since the clock of another process may run at a different rate.
const leaseMarginDivisor = 10

// stopTimeout is how long a planned stop waits for calls in progress. The longest is an operator's change: a call of the
// store, and the time until another VM holds the change.
const stopTimeout = 5 * time.Second

// New returns the daemon with the given settings. It serves the control port on the listener control.
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
	d.sync.OnLostConfig(d.rewriteConfig)
	keeper := lease.NewKeeper(st, d.self.VM, d.self.Incarnation, d.clock,
		lease.WithDuration(cfg.Steer.LeaseTerm, cfg.Steer.LeaseTerm/leaseMarginDivisor))
	d.planner = newPlanner(d, keeper)
	p := &peer{PeerBase: node.PeerBase{
		Self: d.self, Members: d.members, Sync: d.sync, Clock: d.clock, Leaving: d.isLeaving, Holder: d.planner.holder,
	}, d: d}
	services := []kernel.Service{
		d.members, d.sync, d.planner,
		node.NewControl(control, p, d.kernel, d.metrics, d.clock, d.notReady, node.WithStopTimeout(stopTimeout)),
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

// Run runs the daemon until ctx is done or a service fails.
func (d *Daemon) Run(ctx context.Context) error {
	defer d.peers.Close()
	level.Info(d.logger).Log("event", "start", "incarnation", uint64(d.self.Incarnation))
	d.kernel.Start(ctx)
	err := <-d.kernel.Done()
	close(d.leaving)
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

// notReady returns the reason why the process is not ready, or an empty string.
func (d *Daemon) notReady() string {
	if !d.sync.Ready() {
		return "the newest configuration and plan are not known yet"
	}
	return ""
}

// checkDocument returns an error for a document that can't be decoded or, for a plan, is invalid or of another version.
func checkDocument(doc relay.Document) error {
	if doc.Kind == relay.Config {
		_, err := lists.Decode(doc.Body)
		return err
	}
	_, err := plan.DecodeVersion(doc.Body, doc.Version)
	return err
}
