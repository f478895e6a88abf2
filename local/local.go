// Package local runs a complete deployment in one process on loopback addresses, with stand-ins for the platform and
// the upstreams, for trying the system.
package local

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"github.com/currantpier/currantpier/config"
	"github.com/currantpier/currantpier/entry"
	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/kernel"
	"github.com/currantpier/currantpier/lists"
	"github.com/currantpier/currantpier/node"
	"github.com/currantpier/currantpier/steer"
	"github.com/currantpier/currantpier/store"
	"github.com/currantpier/currantpier/stubs"
)

// Service describes a service and its targets: PerDomain targets in every failure domain.
type Service struct {
	Name      ident.Service
	PerDomain int
	Slots     ident.Slots
	// Time is the execution time of a request.
	Time time.Duration
}

// Deployment describes the VMs, targets and configuration to run.
type Deployment struct {
	Places       []ident.Place
	VMsPerDomain int
	Services     []Service
	LinkCapacity ident.Mbps
	Customers    []lists.CustomerPlan
	Uses         []lists.Use
	// ListLag is the delay after which the platform's VM list shows a change.
	ListLag time.Duration
}

// maxTargetConnections bounds the open connections of one target.
const maxTargetConnections = 400

// Kalnins returns the deployment of the Kalniņš firm: 3 regions of 2 failure domains each, 12 entry VMs, 30 workshop
// targets and 12 customer targets.
func Kalnins() Deployment {
	d := Deployment{
		VMsPerDomain: 2, LinkCapacity: 4000, ListLag: 2 * time.Second,
		Services: []Service{
			{Name: "workshop", PerDomain: 5, Slots: 6, Time: 12 * time.Millisecond},
			{Name: "customer", PerDomain: 2, Slots: 4, Time: 8 * time.Millisecond},
		},
		Customers: []lists.CustomerPlan{{Customer: "bench-1", Plan: "fitter"}, {Customer: "coach-1", Plan: "operator"}},
		Uses: []lists.Use{
			{Plan: "fitter", Service: "workshop", Rate: 1200, Weight: 10, Orders: true},
			{Plan: "operator", Service: "customer", Rate: 1200, Weight: 5, Orders: true},
		},
	}
	for _, region := range []string{"riga", "tallinn", "vilnius"} {
		for _, part := range []string{"a", "b"} {
			d.Places = append(d.Places, ident.Place{
				Region: ident.Region(region), Domain: ident.Domain(region + "-" + part),
			})
		}
	}
	return d
}

// Address holds the addresses of one VM as host:port: the caller port and the control ports of the entry and steer
// daemons.
type Address struct {
	VM                      ident.VM
	Callers, Control, Steer string
}

// Cluster is a deployment that runs in this process.
type Cluster struct {
	Kernel    *kernel.Kernel
	Platform  *stubs.Platform
	Upstreams map[ident.Target]*stubs.Upstream
	Addresses []Address
	// StoreAddress is the address of the platform's stand-in.
	StoreAddress string

	deployment Deployment
	entries    map[ident.VM]*entry.Daemon
	listeners  []net.Listener
}

// New opens all listeners on loopback addresses and creates the services. The caller port of the first VM is callers
// unless that is zero; all other ports are free ones.
func New(d Deployment, callers int, logger log.Logger) (*Cluster, error) {
	c := &Cluster{
		Kernel: kernel.New(), Platform: stubs.NewPlatform(time.Now, d.ListLag),
		Upstreams: map[ident.Target]*stubs.Upstream{}, entries: map[ident.VM]*entry.Daemon{}, deployment: d,
	}
	if err := c.build(callers, logger); err != nil {
		for _, ln := range c.listeners {
			_ = ln.Close()
		}
		return nil, err
	}
	return c, nil
}

func (c *Cluster) build(callers int, logger log.Logger) error {
	ln, err := c.listenLoopback(0)
	if err != nil {
		return err
	}
	c.StoreAddress = ln.Addr().String()
	if err := c.Kernel.Register(&httpService{"platform", ln, c.Platform}); err != nil {
		return err
	}
	for _, s := range c.deployment.Services {
		for _, place := range c.deployment.Places {
			for i := range s.PerDomain {
				if err := c.addTarget(s, place, i+1); err != nil {
					return err
				}
			}
		}
	}
	for _, place := range c.deployment.Places {
		for i := range c.deployment.VMsPerDomain {
			if err := c.addVM(place, i+1, callers, logger); err != nil {
				return err
			}
			callers = 0
		}
	}
	c.Platform.PublishVMs()
	return nil
}

func (c *Cluster) listenLoopback(port int) (net.Listener, error) {
	ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	c.listeners = append(c.listeners, ln)
	return ln, nil
}

func (c *Cluster) addTarget(s Service, place ident.Place, i int) error {
	ln, err := c.listenLoopback(0)
	if err != nil {
		return err
	}
	name := ident.Target(fmt.Sprintf("%s-%s-%d", s.Name, place.Domain, i))
	u := stubs.NewUpstream(name, time.Now, stubs.WithSlots(s.Slots), stubs.WithService(s.Time))
	c.Upstreams[name] = u
	c.Platform.SetVM(store.VMInfo{
		Name: string(name), Role: store.RoleUpstream, State: store.Live, Place: place, Address: ln.Addr().String(),
		Service: s.Name, Slots: s.Slots, Connections: maxTargetConnections,
	})
	return c.Kernel.Register(&upstreamService{name, ln, u})
}

func (c *Cluster) addVM(place ident.Place, i, port int, logger log.Logger) error {
	vm := ident.VM(fmt.Sprintf("%s-%d", place.Domain, i))
	listeners := make([]net.Listener, 3)
	for j := range listeners {
		ln, err := c.listenLoopback(port)
		if err != nil {
			return err
		}
		listeners[j], port = ln, 0
	}
	address := Address{vm, listeners[0].Addr().String(), listeners[1].Addr().String(), listeners[2].Addr().String()}
	cfg, err := config.Parse(string(vm)+".ini", []byte(c.deployment.Settings(address, place, c.StoreAddress)))
	if err != nil {
		return err
	}
	storeClient := store.New("http://" + c.StoreAddress)
	entryDaemon, err := entry.New(cfg, listeners[0], listeners[1], storeClient, entry.WithLogger(logger))
	if err != nil {
		return err
	}
	steerDaemon, err := steer.New(cfg, listeners[2], storeClient, steer.WithLogger(logger))
	if err != nil {
		return err
	}
	c.entries[vm] = entryDaemon
	c.Addresses = append(c.Addresses, address)
	c.Platform.SetVM(store.VMInfo{
		Name: string(vm), Role: store.RoleEntry, State: store.Live, Place: place, Address: address.Callers,
		Control: []string{address.Control, address.Steer},
	})
	for _, svc := range []kernel.Service{
		&daemonService{string(vm) + "/entry", entryDaemon}, &daemonService{string(vm) + "/steer", steerDaemon},
	} {
		if err := c.Kernel.Register(svc); err != nil {
			return err
		}
	}
	return nil
}

// Settings returns the contents of the settings file of one VM.
func (d Deployment) Settings(a Address, place ident.Place, storeAddr string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[vm]\nname = %s\nregion = %s\nfailure-domain = %s\n", a.VM, place.Region, place.Domain)
	fmt.Fprintf(&b, "[entry]\nlisten = %s\ncontrol-listen = %s\n", a.Callers, a.Control)
	fmt.Fprintf(&b, "[steer]\ncontrol-listen = %s\n[store]\naddress = %s\n", a.Steer, storeAddr)
	var regions []ident.Region
	domains := map[ident.Region][]string{}
	for _, p := range d.Places {
		if len(domains[p.Region]) == 0 {
			regions = append(regions, p.Region)
		}
		domains[p.Region] = append(domains[p.Region], string(p.Domain))
	}
	for _, r := range regions {
		fmt.Fprintf(&b, "[region %s]\nfailure-domains = %s\n", r, strings.Join(domains[r], ", "))
	}
	for i, r := range regions {
		for _, q := range regions[i+1:] {
			fmt.Fprintf(&b, "[link %s %s]\ncapacity = %dMbit/s\n", r, q, d.LinkCapacity)
		}
	}
	return b.String()
}

// Config returns the initial configuration of the deployment.
func (d Deployment) Config() (lists.Config, error) {
	return lists.Config{}.WithLists(d.Customers, d.Uses)
}

// Entry returns the entry daemon of a VM and whether the VM exists.
func (c *Cluster) Entry(vm ident.VM) (*entry.Daemon, bool) {
	e, ok := c.entries[vm]
	return e, ok
}

// Run runs all services until ctx ends or one of them fails.
func (c *Cluster) Run(ctx context.Context) error {
	c.Kernel.Start(ctx)
	return <-c.Kernel.Done()
}

// AcceptInitial writes the initial configuration to the platform's table as version 1, as the first "apply" command
// does.
func (c *Cluster) AcceptInitial(ctx context.Context) error {
	cfg, err := c.deployment.Config()
	if err != nil {
		return err
	}
	cfg.Version = 1
	_, err = store.New("http://"+c.StoreAddress).Txn(ctx, []store.Op{{Key: node.ConfigKey, Value: cfg.Encode()}})
	return err
}

// httpService runs an HTTP handler as a kernel service.
type httpService struct {
	name    string
	ln      net.Listener
	handler http.Handler
}

func (s *httpService) Name() string { return s.name }

func (s *httpService) Run(ctx context.Context) error {
	server := &http.Server{Handler: s.handler, ReadHeaderTimeout: 5 * time.Second}
	done := make(chan error, 1)
	go func() { done <- server.Serve(s.ln) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	_ = server.Close()
	<-done
	return ctx.Err()
}

func (s *httpService) Dump(time.Time) any { return map[string]string{"address": s.ln.Addr().String()} }

type upstreamService struct {
	name     ident.Target
	ln       net.Listener
	upstream *stubs.Upstream
}

func (s *upstreamService) Name() string                  { return string(s.name) }
func (s *upstreamService) Run(ctx context.Context) error { return s.upstream.Serve(ctx, s.ln) }
func (s *upstreamService) Dump(time.Time) any            { return s.upstream.Counts() }

// daemon is an entry or steer daemon.
type daemon interface {
	Run(ctx context.Context) error
	Kernel() *kernel.Kernel
}

type daemonService struct {
	name string
	d    daemon
}

func (s *daemonService) Name() string { return s.name }

func (s *daemonService) Run(ctx context.Context) error { return s.d.Run(ctx) }

func (s *daemonService) Dump(now time.Time) any { return kernelDump(s.d.Kernel(), now) }

// kernelDump returns the dump of the services of a daemon as JSON, or the text of the error.
func kernelDump(k *kernel.Kernel, now time.Time) any {
	var b strings.Builder
	if err := k.WriteDump(&b, now); err != nil {
		return err.Error()
	}
	return rawJSON(b.String())
}

// rawJSON is JSON text that is embedded without further encoding.
type rawJSON string

// MarshalJSON implements json.Marshaler.
func (r rawJSON) MarshalJSON() ([]byte, error) { return []byte(r), nil }
