// Package edge is the daemon of an entry VM on a platform that keeps configuration and registry in its store: it tells
// callers which VM to use and carries their requests to targets. One process does all of it; VMs agree on nothing but
// which of them are alive.
package edge

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/currantpier/currantpier/drain"
	"github.com/currantpier/currantpier/feed"
	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/inlet"
	"github.com/currantpier/currantpier/join"
	"github.com/currantpier/currantpier/kernel"
	"github.com/currantpier/currantpier/peers"
	"github.com/currantpier/currantpier/proto"
	"github.com/currantpier/currantpier/state"
	"github.com/currantpier/currantpier/trace"
)

// Times are the periods of a node.
type Times struct {
	// TTL is how long callers may cache a lookup.
	TTL time.Duration
	// Grace bounds a planned stop.
	Grace time.Duration
}

// Config is what a Node is made of. All fields are required.
type Config struct {
	// Config is that of the state, whose parts the daemon uses as well.
	state.Config
	Operator, Registry feed.Table
	Directory          join.Directory
	Times              Times
	// StatePort is the port, the same on all VMs, on which a VM hands its state to others.
	StatePort int
}

// Node is the daemon of one VM.
type Node struct {
	cfg     Config
	kernel  *kernel.Kernel
	callers *inlet.Server
	state   *state.State
	// announce knows whether this VM may be in the store's list.
	announce *join.Announcer

	mu   sync.Mutex
	stop *drain.Stop
}

// New returns a node that serves callers on ln and the HTTP services on the other listeners.
func New(cfg Config, ln net.Listener, others ...Listener) (*Node, error) {
	n := &Node{cfg: cfg, kernel: kernel.New(), stop: drain.NewStop(cfg.Times.TTL, cfg.Times.Grace)}
	onPanic := inlet.OnPanic(func(v any) { cfg.Log.Panicked(cfg.Clock(), "inlet", v) })
	n.callers = inlet.New(cfg.Carrier, n.limits, cfg.Clock, onPanic)
	n.state = state.New(cfg.Config, n.stopping)
	n.announce = &join.Announcer{
		Self: cfg.Self, Peers: cfg.Peers, Directory: cfg.Directory, Log: cfg.Log, Clock: cfg.Clock, Stopping: n.stopping,
	}
	services := []kernel.Service{
		cfg.Peers,
		n.state,
		&follow{name: "operator-feed", table: cfg.Operator, follower: cfg.OperatorFollower, topic: state.Operator, n: n,
			refresh: n.state.Behind()},
		&follow{name: "registry-feed", table: cfg.Registry, follower: cfg.RegistryFollower, topic: state.Registry, n: n},
		n.announce,
		&join.Adopter{
			Self: cfg.Self, Peers: cfg.Peers, Port: cfg.StatePort, Log: cfg.Log, Clock: cfg.Clock, Ready: n.informed,
			Adopted: n.state.Adopted(), CutOff: n.state.CutOff,
		},
		routing{n},
		&listen{name: "callers", ln: ln, server: n.callers},
	}
	for _, o := range others {
		services = append(services, &listen{name: o.Name, ln: o.Listener, server: inlet.New(o.Handler, n.limits, cfg.Clock, onPanic)})
	}
	for _, s := range services {
		if err := n.kernel.Register(s); err != nil {
			return nil, errors.Wrap(err, "register service")
		}
	}
	return n, nil
}

// Listener is an HTTP service beside the callers'.
type Listener struct {
	Name     string
	Listener net.Listener
	Handler  inlet.Handler
}

// Kernel returns the services of the node.
func (n *Node) Kernel() *kernel.Kernel { return n.kernel }

func (n *Node) limits() *fleet.Limits {
	if cfg := n.cfg.Carrier.Snapshot().Config; cfg != nil {
		return &cfg.Limits
	}
	return nil
}

// Ready reports whether the node takes callers.
func (n *Node) Ready() bool { return n.informed() && !n.stopping() }

// informed reports whether the node knows enough to serve.
func (n *Node) informed() bool {
	s := n.cfg.Carrier.Snapshot()
	return s.Config != nil && s.RegistryRead
}

// Lookup returns the addresses that a caller at the given place may use for a host.
func (n *Node) Lookup(now time.Time, from ident.Place, host string) []string {
	var ready []proto.Info
	n.cfg.Peers.With(func(v *peers.View) { ready = v.Ready(now) })
	var homes []ident.Region
	if cfg := n.cfg.Carrier.Snapshot().Config; cfg != nil {
		homes = cfg.Regions(host)
	}
	return lookup(ready, from, homes)
}

// TTL is how long a caller may cache a lookup.
func (n *Node) TTL() time.Duration { return n.cfg.Times.TTL }

func (n *Node) stopping() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stop.Next(n.cfg.Clock(), 1, false) != drain.Serving
}

// Run serves until ctx ends, and then finishes what is in progress.
func (n *Node) Run(ctx context.Context) error {
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	n.kernel.Start(runCtx)
	select {
	case err := <-n.kernel.Done():
		return err
	case <-ctx.Done():
	}
	n.drain()
	cancel()
	return <-n.kernel.Done()
}

// drainPoll is how often a planned stop looks at the requests in progress.
const drainPoll = 20 * time.Millisecond

// drain takes the node out of the lookups and waits for the requests in progress.
func (n *Node) drain() {
	now := n.cfg.Clock()
	n.mu.Lock()
	n.stop.Signal(now)
	n.mu.Unlock()
	n.cfg.Log.Add(now, trace.Stop, "phase", "announced")
	n.cfg.Peers.With(func(v *peers.View) { v.SetState(false, true, 0) })
	n.cfg.Peers.Farewell()
	n.callers.Drain()
	withdrawn := make(chan struct{})
	go func() {
		defer close(withdrawn)
		n.withdraw()
	}()
	t := time.NewTicker(drainPoll)
	defer t.Stop()
	for {
		requests, connections := n.callers.InFlight()
		phase := n.nextPhase(requests, withdrawn)
		if !phase.TakesWork() {
			n.callers.StopAccepting()
		}
		if phase == drain.Exit && (n.callers.Close() || n.stop.Cut()) {
			n.cfg.Log.Add(n.cfg.Clock(), trace.Stop, "phase", "exit", "requests", requests, "connections", connections)
			return
		}
		<-t.C
	}
}

// nextPhase advances the planned stop.
func (n *Node) nextPhase(requests int, withdrawn <-chan struct{}) drain.Phase {
	n.mu.Lock()
	defer n.mu.Unlock()
	handedOver := false
	select {
	case <-withdrawn:
		handedOver = true
	default:
	}
	return n.stop.Next(n.cfg.Clock(), requests, handedOver)
}

// withdraw removes the node from the store's list. An entry that stays is found dead by the other VMs.
func (n *Node) withdraw() {
	if !n.announce.Listed() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), withdrawFor)
	defer cancel()
	if err := n.cfg.Directory.Withdraw(ctx, n.cfg.Self.VM); err != nil {
		n.cfg.Log.Add(n.cfg.Clock(), trace.Lost, "dependency", "store", "call", "withdraw", "err", err)
	}
}
