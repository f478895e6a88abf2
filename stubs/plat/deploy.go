package plat

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"
)

// heartbeatInterval is the period at which targets of a Deployment rewrite their registry entries.
const heartbeatInterval = 500 * time.Millisecond

// Service describes a service and its targets: PerDomain targets in every failure domain.
type Service struct {
	Name      string
	PerDomain int
	Slots     int
	// ServiceTime is the execution time of a request.
	ServiceTime time.Duration
}

// Route describes one route of a Deployment. All routes have the same host.
type Route struct {
	Name, Prefix, Service string
	// Idempotent allows a request of the route to run more than once.
	Idempotent bool
	// Aim is the response time goal and Timeout the limit of a request, both in seconds.
	Aim, Timeout float64
}

// Deployment is a store with a configuration and registered targets, for trying the program on one machine.
type Deployment struct {
	Store   *Store
	Targets []*Target

	ln       net.Listener
	services []string // by index in Targets
	domains  []string // by index in Targets
}

// NewDeployment creates a store and, in every failure domain, the targets of all services. All listen on free ports
// of 127.0.0.1.
func NewDeployment(domains []string, services []Service) (*Deployment, error) {
	d := &Deployment{Store: NewStore()}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d.ln = ln
	for _, s := range services {
		for _, domain := range domains {
			for i := range s.PerDomain {
				t, err := NewTarget(fmt.Sprintf("%s-%s-%d", s.Name, domain, i+1), "127.0.0.1", s.Slots, s.ServiceTime)
				if err != nil {
					return nil, err
				}
				d.Targets = append(d.Targets, t)
				d.services = append(d.services, s.Name)
				d.domains = append(d.domains, domain)
			}
		}
	}
	// Targets register before the store serves: a VM that reads an empty registry would become ready without any
	// target.
	d.register(1)
	return d, nil
}

// StoreAddress returns the address of the store as host:port.
func (d *Deployment) StoreAddress() string { return d.ln.Addr().String() }

// Configure stores the given version of the configuration.
func (d *Deployment) Configure(version int, host string, routes []Route, services []Service) {
	var rows, specs []any
	for _, r := range routes {
		kind := "unsafe"
		if r.Idempotent {
			kind = "safe"
		}
		rows = append(rows, map[string]any{
			"Name": r.Name, "Host": host, "Prefix": r.Prefix, "Type": kind, "TimeoutS": r.Timeout, "AimS": r.Aim, "Priority": 1,
			"Service": r.Service, "MaxAttempts": 2, "SessionAffinity": true, "AllowedRegions": []string{},
		})
	}
	for _, s := range services {
		specs = append(specs, map[string]any{
			"Name": s.Name, "HealthPath": "/healthz", "MaxConnections": 400, "WarmupS": 1, "WarmupPerS": 50,
		})
	}
	d.Store.Put("op", "config", map[string]any{
		"Version": "r" + strconv.Itoa(version), "Routes": rows, "Services": specs,
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 1 << 20, "HeaderTimeoutS": 3, "IdleTimeoutS": 15},
	})
}

// Name implements kernel.Service.
func (d *Deployment) Name() string { return "stand-ins" }

// Dump implements kernel.Service. It returns the number of store calls by path.
func (d *Deployment) Dump(time.Time) any { return d.Store.Calls() }

// Run serves the store and the targets and writes the heartbeats of the targets until ctx ends.
func (d *Deployment) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	server := &http.Server{Handler: d.Store, ReadHeaderTimeout: 5 * time.Second}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	g.Go(func() error {
		if err := server.Serve(d.ln); err != http.ErrServerClosed {
			return err
		}
		return nil
	})
	for _, t := range d.Targets {
		g.Go(func() error { return t.Serve(ctx) })
	}
	g.Go(func() error {
		d.runHeartbeats(ctx)
		return nil
	})
	return g.Wait()
}

func (d *Deployment) runHeartbeats(ctx context.Context) {
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	for n := 2; ctx.Err() == nil; n++ {
		d.register(n)
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
}

// register writes the registry entries of all targets.
func (d *Deployment) register(sequence int) {
	for i, t := range d.Targets {
		d.Store.Put("servers", t.ID, t.Entry(d.services[i], d.domains[i], "ready", sequence))
	}
}

// TryCommand returns a curl command that sends a request with the headers that callers of the platform set.
func TryCommand(method, address, host, path, attempt, object string) string {
	return fmt.Sprintf("curl -si -X %s -H 'Host: %s' -H '%s: %s' -H 'X-Currantpier-Affinity-Key: %s' -H '%s: 2000' http://%s%s",
		method, host, headerAttempt, attempt, object, headerDeadline, address, path)
}

// LookupCommand returns a curl command that looks up, at one VM, the addresses of VMs that serve host.
func LookupCommand(address, host, region, domain string) string {
	return fmt.Sprintf("curl -s 'http://%s/resolve?Name=%s&Region=%s&Zone=%s'", address, host, region, domain)
}
