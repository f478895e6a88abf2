// Package edge is the daemon of an entry VM on a platform that keeps configuration and registry in its store. A single
// process serves lookups of callers and forwards their requests to targets; the VMs coordinate nothing but the
// membership.
package edge

import (
	"context"
	"math/rand"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/currantpier/currantpier/carry"
	"github.com/currantpier/currantpier/drain"
	"github.com/currantpier/currantpier/feed"
	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/inlet"
	"github.com/currantpier/currantpier/join"
	"github.com/currantpier/currantpier/kernel"
	"github.com/currantpier/currantpier/memory"
	"github.com/currantpier/currantpier/peers"
	"github.com/currantpier/currantpier/probe"
	"github.com/currantpier/currantpier/proto"
	"github.com/currantpier/currantpier/quota"
	"github.com/currantpier/currantpier/state"
	"github.com/currantpier/currantpier/trace"
)

// Times are the time limits of a node.
type Times struct {
	// TTL is how long callers may cache a lookup response.
	TTL time.Duration
	// Grace bounds a planned stop.
	Grace time.Duration
}

// Config is the configuration of a Node. All fields but Quota are required.
type Config struct {
	// Config is the configuration of the state; the node uses parts of it as well.
	state.Config
	Operator, Registry feed.Table
	Directory          join.Directory
	Times              Times
	// MaxCallerConnections and MaxServiceConnections bound the connections of callers, and those on each other port; zero for no
	// limit.
	MaxCallerConnections, MaxServiceConnections int
	// MaxBodyMemory bounds the memory in bytes for the bodies of all requests that are being read or forwarded, beyond the first
	// 16 KiB of each.
	MaxBodyMemory int64
	// StatePort is the port, the same on all VMs, on which a VM serves its state to other VMs.
	StatePort int
	// ShareLoads makes the VMs of a region tell each other the load of targets.
	ShareLoads bool
	// LookupSource makes the random choices of weighted lookups.
	LookupSource rand.Source
	// Quota limits the requests of customers; nil in a deployment without quotas.
	Quota *quota.Service
	// ProbeSource makes the random delays of health requests.
	ProbeSource rand.Source
}

// Node is the daemon of one VM.
type Node struct {
	cfg          Config
	kernel       *kernel.Kernel
	callerServer *inlet.Server
	state        *state.State
	bodies       *memory.Limit
	probes       *probe.Service
	// registrar reports whether this VM may be in the store's list.
	registrar *join.Registrar

	mu   sync.Mutex
	stop *drain.Stop
	// lookupRand is used while holding mu.
	lookupRand *rand.Rand
	// lookups counts the lookups, weightedLookups those whose answer had only some VMs, by capacity.
	lookups, weightedLookups atomic.Uint64
}

// New returns a node that serves callers on ln and the handlers of extra on their listeners.
func New(cfg Config, ln net.Listener, extra ...Listener) (*Node, error) {
	n := &Node{cfg: cfg, kernel: kernel.New(), stop: drain.NewStop(cfg.Times.TTL, cfg.Times.Grace),
		lookupRand: rand.New(cfg.LookupSource)}
	onPanic := inlet.OnPanic(func(v any) { cfg.Log.AddPanic(cfg.Clock(), "inlet", v) })
	n.bodies = memory.NewLimit(cfg.MaxBodyMemory)
	n.callerServer = inlet.New(cfg.Forwarder, n.requestLimits, cfg.Clock, onPanic,
		inlet.LimitBodies(n.bodies, cfg.Forwarder.RefuseBody), inlet.LimitConnections(cfg.MaxCallerConnections))
	n.state = state.New(cfg.Config, n.stopping)
	n.registrar = &join.Registrar{
		Self: cfg.Self, Peers: cfg.Peers, Directory: cfg.Directory, Log: cfg.Log, Clock: cfg.Clock, Stopping: n.stopping,
		Era: n.state.Era,
	}
	n.probes = probe.New(cfg.Self.VM, probeSource{n.state, cfg.Forwarder}, cfg.Forwarder, cfg.Clock, cfg.ProbeSource,
		n.state.ReportCold)
	cfg.Forwarder.OnConnectionFailure(n.probes.ConnectionFailed)
	services := []kernel.Service{
		cfg.Peers,
		n.state,
		&feedService{name: "operator-feed", table: cfg.Operator, follower: cfg.OperatorFollower, topic: state.Operator, n: n,
			refresh: n.state.RefreshRequests()},
		&feedService{name: "registry-feed", table: cfg.Registry, follower: cfg.RegistryFollower, topic: state.Registry, n: n},
		n.registrar,
		&join.StateFetcher{
			Self: cfg.Self, Peers: cfg.Peers, Port: cfg.StatePort, Log: cfg.Log, Clock: cfg.Clock, Ready: n.stateLoaded,
			PeerStates: n.state.PeerStates(), ShouldQueryPeers: n.state.ShouldQueryPeers, LacksChange: n.state.LacksChange,
			LacksConfig: n.state.LacksConfig, ConfigVersion: n.state.Version,
		},
		forwarderService{n},
		n.probes,
		&listenService{name: "callers", ln: ln, server: n.callerServer},
	}
	if cfg.Quota != nil {
		cfg.Quota.Limits = n.quotaLimits
		services = append(services, cfg.Quota)
	}
	if cfg.ShareLoads {
		services = append(services, newReportService(cfg.Forwarder, cfg.Peers, cfg.Clock))
	}
	for _, o := range extra {
		server := inlet.New(o.Handler, n.requestLimits, cfg.Clock, onPanic, inlet.LimitBodies(n.bodies, inlet.RefuseBody),
			inlet.LimitConnections(cfg.MaxServiceConnections))
		services = append(services, &listenService{name: o.Name, ln: o.Listener, server: server})
	}
	for _, s := range services {
		if err := n.kernel.Register(s); err != nil {
			return nil, errors.Wrap(err, "register service")
		}
	}
	return n, nil
}

// Listener is an HTTP service other than the callers'.
type Listener struct {
	Name     string
	Listener net.Listener
	Handler  inlet.Handler
}

// Kernel returns the kernel, which runs the services of the node.
func (n *Node) Kernel() *kernel.Kernel { return n.kernel }

// requestLimits returns the limits for requests; nil before the configuration is read.
func (n *Node) requestLimits() *fleet.Limits {
	if cfg := n.cfg.Forwarder.Snapshot().Config; cfg != nil {
		return &cfg.Limits
	}
	return nil
}

// Ready reports whether the node takes callers.
func (n *Node) Ready() bool { return n.stateLoaded() && !n.stopping() }

// stateLoaded reports whether the node has a configuration and a registry, which it needs to serve.
func (n *Node) stateLoaded() bool {
	s := n.cfg.Forwarder.Snapshot()
	return s.Config != nil && s.RegistryRead
}

// Lookup returns the addresses that a caller at the given place may use for a host.
func (n *Node) Lookup(now time.Time, from ident.Place, host string) []string {
	var ready []proto.VMInfo
	n.cfg.Peers.With(func(v *peers.View) { ready = v.Ready(now) })
	n.lookups.Add(1)
	var regions *fleet.HostRegions
	if cfg := n.cfg.Forwarder.Snapshot().Config; cfg != nil {
		regions = cfg.HostRegions(host)
		if list := n.weightedLookup(cfg, ready, from); list != nil {
			n.weightedLookups.Add(1)
			return list
		}
	}
	return lookup(ready, from, regions)
}

// weightedLookup returns nil if all VMs are to be returned. Without large responses the links of VMs are not scarce, and callers are
// distributed by the number of VMs.
func (n *Node) weightedLookup(cfg *fleet.Config, ready []proto.VMInfo, from ident.Place) []string {
	if !cfg.HasDownloads() {
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return weightedLookup(ready, from, n.lookupRand)
}

// TTL returns how long a caller may cache a lookup response.
func (n *Node) TTL() time.Duration { return n.cfg.Times.TTL }

func (n *Node) stopping() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stop.Advance(n.cfg.Clock(), 1, false) != drain.Serving
}

// Run serves until ctx ends, and then drains the node.
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

// drainPollInterval is the time between two checks of the requests in progress during a planned stop.
const drainPollInterval = 20 * time.Millisecond

// drain removes the node from the lookup responses and waits for the requests in progress.
func (n *Node) drain() {
	now := n.cfg.Clock()
	n.mu.Lock()
	n.stop.HandleSignal(now)
	n.mu.Unlock()
	abortTime, _ := n.stopTimes()
	n.cfg.Forwarder.StopBy(abortTime)
	n.cfg.Log.Add(now, trace.Stop, "phase", "announced")
	n.cfg.Peers.With(func(v *peers.View) { v.SetState(false, true) })
	n.cfg.Peers.BroadcastState()
	n.callerServer.Drain()
	withdrawn := make(chan struct{})
	go func() {
		defer close(withdrawn)
		n.withdraw()
	}()
	t := time.NewTicker(drainPollInterval)
	defer t.Stop()
	for !n.drainStep(n.cfg.Clock(), withdrawn) {
		<-t.C
	}
}

// drainStep makes one step of a planned stop and reports whether the process may exit. Requests that are in progress shortly
// before the exit are given up, so that their callers get a response.
func (n *Node) drainStep(now time.Time, withdrawn <-chan struct{}) (done bool) {
	requests, connections := n.callerServer.Active()
	phase := n.nextPhase(now, requests, withdrawn)
	if !phase.TakesWork() {
		n.callerServer.StopAccepting()
	}
	abortTime, exitTime := n.stopTimes()
	if !now.Before(abortTime) {
		n.callerServer.Abort(carry.ErrStopping)
	}
	// A connection on which a request is still being read doesn't delay the exit.
	if phase != drain.Exit || !n.callerServer.Close() && now.Before(exitTime) {
		return false
	}
	n.cfg.Log.Add(now, trace.Stop, "phase", "exit", "requests", requests, "connections", connections)
	return true
}

func (n *Node) stopTimes() (abortTime, exitTime time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stop.AbortTime(), n.stop.ExitTime()
}

// nextPhase advances the planned stop and returns its phase.
func (n *Node) nextPhase(now time.Time, requests int, withdrawn <-chan struct{}) drain.Phase {
	n.mu.Lock()
	defer n.mu.Unlock()
	handedOver := false
	select {
	case <-withdrawn:
		handedOver = true
	default:
	}
	return n.stop.Advance(now, requests, handedOver)
}

// withdraw removes the node from the store's list. If that fails, the entry remains; other VMs find it dead.
func (n *Node) withdraw() {
	if !n.registrar.MaybeListed() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), withdrawTimeout)
	defer cancel()
	if err := n.cfg.Directory.Withdraw(ctx, n.cfg.Self.VM); err != nil {
		n.cfg.Log.Add(n.cfg.Clock(), trace.DependencyLost, "dependency", "store", "call", "withdraw", "err", err)
	}
}
