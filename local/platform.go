package local

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/currantpier/currantpier/edge"
	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/kernel"
	"github.com/currantpier/currantpier/platform"
	"github.com/currantpier/currantpier/stubs/plat"
	"github.com/currantpier/currantpier/trace"
)

// ShopHost is the host name to which callers of a PlatformCluster send requests.
const ShopHost = "kalnins.example"

// PlatformCluster is a deployment in one process that is configured as on the users' platform: each VM runs one
// daemon, and the store and the targets are stand-ins.
type PlatformCluster struct {
	Kernel   *kernel.Kernel
	Platform *plat.Deployment
	// VMs are in the order of the places of the deployment.
	VMs []PlatformVM

	nodes []*edge.Node
}

// PlatformVM holds the addresses of one VM.
type PlatformVM struct {
	VM ident.VM
	// Callers, Lookups and Metrics are host:port.
	Callers, Lookups, Metrics string
	Place                     ident.Place
}

// vmPorts are the ports that every VM uses on its own loopback address.
type vmPorts struct{ callers, lookups, ready, peers, metrics int }

// NewPlatform creates the VMs of a deployment as they run on the users' platform. All VMs use the port callers for
// callers, or a free port if it is zero. The VMs write their log lines to logs.
func NewPlatform(d Deployment, callers int, logs io.Writer) (*PlatformCluster, error) {
	services := make([]plat.Service, 0, len(d.Services))
	for _, s := range d.Services {
		services = append(services, plat.Service{Name: string(s.Name), PerDomain: s.PerDomain, Slots: int(s.Slots), ServiceTime: s.Time})
	}
	domains := make([]string, 0, len(d.Places))
	for _, p := range d.Places {
		domains = append(domains, string(p.Domain))
	}
	standIns, err := plat.NewDeployment(domains, services)
	if err != nil {
		return nil, errors.Wrap(err, "start stand-ins")
	}
	standIns.Configure(1, ShopHost, serviceRoutes(services), services)
	ports, err := pickPorts(callers)
	if err != nil {
		return nil, err
	}
	c := &PlatformCluster{Kernel: kernel.New(), Platform: standIns}
	if err := c.Kernel.Register(standIns); err != nil {
		return nil, err
	}
	for _, p := range d.Places {
		for i := range d.VMsPerDomain {
			if err := c.addVM(d, p, i+1, ports, logs); err != nil {
				return nil, err
			}
		}
	}
	return c, nil
}

// serviceRoutes returns two routes for each service: an idempotent one for look-ups and one for orders.
func serviceRoutes(services []plat.Service) []plat.Route {
	var routes []plat.Route
	for _, s := range services {
		routes = append(routes,
			plat.Route{Name: s.Name + "-look-up", Prefix: "/" + s.Name + "/look/", Service: s.Name, Idempotent: true, Aim: 0.3, Timeout: 2},
			plat.Route{Name: s.Name + "-order", Prefix: "/" + s.Name + "/order/", Service: s.Name, Aim: 0.5, Timeout: 2})
	}
	return routes
}

// vmAddress returns the loopback address of the VM with the given index.
func vmAddress(i int) string { return fmt.Sprintf("127.0.10.%d", i+1) }

// pickPorts returns ports that are free on the address of the first VM.
func pickPorts(callers int) (vmPorts, error) {
	p := vmPorts{callers: callers}
	for _, port := range []*int{&p.callers, &p.lookups, &p.ready, &p.peers, &p.metrics} {
		if *port != 0 {
			continue
		}
		ln, err := net.Listen("tcp", net.JoinHostPort(vmAddress(0), "0"))
		if err != nil {
			return p, errors.Wrap(err, "pick a port; addresses in 127.0.0.0/8 other than 127.0.0.1 are needed")
		}
		*port = ln.Addr().(*net.TCPAddr).Port
		// All listeners stay open until the function returns, so that the ports differ.
		defer func() { _ = ln.Close() }()
	}
	return p, nil
}

func (c *PlatformCluster) addVM(d Deployment, p ident.Place, i int, ports vmPorts, logs io.Writer) error {
	ip := vmAddress(len(c.VMs))
	address := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	vm := PlatformVM{
		VM: ident.VM(fmt.Sprintf("%s-%d", p.Domain, i)), Callers: address(ports.callers), Lookups: address(ports.lookups),
		Metrics: address(ports.metrics), Place: p,
	}
	s := &platform.Settings{
		VM: vm.VM, IP: ip, Place: p, CallerAddress: vm.Callers, DirectoryAddress: vm.Lookups, ReadyAddress: address(ports.ready),
		PeerPort: ports.peers, MetricsPort: ports.metrics, Seeds: []string{vmAddress(0)},
		Regions: map[ident.Domain]ident.Region{},
		Store:   platform.StoreSettings{Address: c.Platform.StoreAddress(), Heartbeat: time.Second},
		Bounds: platform.Bounds{
			TargetLeave: 2500 * time.Millisecond, Grace: 6 * time.Second, RetryRatio: 0.2, RetrySlack: 64,
			RetryWindow: 10 * time.Second, LookupTTL: 2 * time.Second,
		},
	}
	for _, q := range d.Places {
		s.Regions[q.Domain] = q.Region
	}
	current := &atomic.Pointer[platform.Settings]{}
	current.Store(s)
	log := trace.New(vm.VM)
	n, err := platform.NewNode(current, log)
	if err != nil {
		return err
	}
	c.VMs = append(c.VMs, vm)
	c.nodes = append(c.nodes, n)
	return c.Kernel.Register(&nodeService{string(vm.VM), n, log, logs})
}

// Run runs all services until ctx ends or one of them fails.
func (c *PlatformCluster) Run(ctx context.Context) error {
	c.Kernel.Start(ctx)
	return <-c.Kernel.Done()
}

// Ready returns the number of VMs that are ready to serve callers.
func (c *PlatformCluster) Ready() int {
	n := 0
	for _, x := range c.nodes {
		if x.Ready() {
			n++
		}
	}
	return n
}

// nodeService runs one VM and writes its log.
type nodeService struct {
	name string
	node *edge.Node
	log  *trace.Log
	logs io.Writer
}

func (s *nodeService) Name() string { return s.name }

func (s *nodeService) Run(ctx context.Context) error {
	logCtx, stopLog := context.WithCancel(context.WithoutCancel(ctx))
	logged := make(chan error, 1)
	go func() { logged <- s.log.Run(logCtx, s.logs) }()
	err := s.node.Run(ctx)
	stopLog()
	return errors.CombineErrors(err, <-logged)
}

func (s *nodeService) Dump(now time.Time) any { return kernelDump(s.node.Kernel(), now) }
