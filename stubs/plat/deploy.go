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

// heartbeat is how often the targets of a Deployment write their registry entries.
const heartbeat = 500 * time.Millisecond

// Service describes the targets of one service in every failure domain.
type Service struct {
	Name      string
	PerDomain int
	Slots     int
	// Work is how long a request takes.
	Work time.Duration
}

// Route describes one route of a Deployment. All routes have the same host.
type Route struct {
	Name, Prefix, Service string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Aim and Timeout are in seconds.
	Aim, Timeout float64
}

// Deployment is a store, registered targets and a configuration, for trials on one machine.
type Deployment struct {
	Store   *Store
	Targets []*Target

	ln       net.Listener
	services []string // of the targets
	domains  []string // of the targets
}

// NewDeployment listens on free ports of 127.0.0.1 for a store and the targets of all services in all failure domains.
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
				t, err := NewTarget(fmt.Sprintf("%s-%s-%d", s.Name, domain, i+1), "127.0.0.1", s.Slots, s.Work)
				if err != nil {
					return nil, err
				}
				d.Targets = append(d.Targets, t)
				d.services = append(d.services, s.Name)
				d.domains = append(d.domains, domain)
			}
		}
	}
	// A VM that read the registry before the targets were in it would be ready and know none.
	d.register(1)
	return d, nil
}

// StoreAddress returns host:port of the store.
func (d *Deployment) StoreAddress() string { return d.ln.Addr().String() }

// Configure writes a version of the configuration.
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

// Dump implements kernel.Service.
func (d *Deployment) Dump(time.Time) any { return d.Store.Calls() }

// Run serves the store and the targets, and writes their heartbeats, until ctx ends.
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
		d.beat(ctx)
		return nil
	})
	return g.Wait()
}

func (d *Deployment) beat(ctx context.Context) {
	tick := time.NewTicker(heartbeat)
	defer tick.Stop()
	for n := 2; ctx.Err() == nil; n++ {
		d.register(n)
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
}

// register writes the entries of all targets.
func (d *Deployment) register(sequence int) {
	for i, t := range d.Targets {
		d.Store.Put("servers", t.ID, t.Entry(d.services[i], d.domains[i], "ready", sequence))
	}
}

// TryCommand returns a shell command that sends a request as callers of the platform do.
func TryCommand(method, address, host, path, attempt, object string) string {
	return fmt.Sprintf("curl -si -X %s -H 'Host: %s' -H '%s: %s' -H 'X-Currantpier-Affinity-Key: %s' -H '%s: 2000' http://%s%s",
		method, host, headerAttempt, attempt, object, headerDeadline, address, path)
}

// LookupCommand returns a shell command that asks a VM where to connect.
func LookupCommand(address, host, region, domain string) string {
	return fmt.Sprintf("curl -s 'http://%s/resolve?Name=%s&Region=%s&Zone=%s'", address, host, region, domain)
}
