// Package fleet holds what the platform has told a VM: the operators' configuration, the failure domains that are being
// evacuated and the registry of upstream targets. It has no I/O and no clock of its own.
package fleet

import (
	"slices"
	"strings"
	"time"

	"github.com/currantpier/currantpier/ident"
)

// RouteName names a route of the configuration.
type RouteName string

// Part is one service of a route and its share of the route's requests.
type Part struct {
	Service ident.Service
	// Weight is positive; shares are weights divided by the sum of the route's weights.
	Weight int
}

// Route says where requests of one host and path prefix go and what may be done with them.
type Route struct {
	Name RouteName
	// Host is in lower case.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Parts has at least one element.
	Parts []Part
	// Idempotent requests may run more than once; all others at most once.
	Idempotent bool
	// Timeout is the longest time that a request may wait for its answer.
	Timeout time.Duration
	// Aim is the time within which an answer has its full value.
	Aim time.Duration
	// MaxAttempts is the greatest number of targets that one request may be sent to, at least 1.
	MaxAttempts int
	// Priority is the rank of the route; 0 is the highest.
	Priority int
	// Affinity says that targets answer faster for objects that they have handled recently.
	Affinity bool
	// Regions are the only regions that may serve the route; empty means all.
	Regions []ident.Region
}

// Allows reports whether targets in region r may serve the route.
func (r *Route) Allows(region ident.Region) bool {
	return len(r.Regions) == 0 || slices.Contains(r.Regions, region)
}

// Service is what the configuration says of an upstream service.
type Service struct {
	Name       ident.Service
	HealthPath string
	// MaxConnections is the limit of a target for all callers together; zero means that none is given.
	MaxConnections int
	// Warmup is how long a target stays cold after its start.
	Warmup time.Duration
	// WarmupRate is the number of requests a second that a cold target tolerates from all VMs together.
	WarmupRate float64
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes, BodyBytes int
	// HeaderTimeout bounds the time between the first byte of a request and the end of its header.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the time between two requests of a connection.
	IdleTimeout time.Duration
}

// Config is one version of the operators' configuration. It is not changed after Index.
type Config struct {
	Version  ident.Version
	Routes   []Route
	Services map[ident.Service]Service
	Limits   Limits

	// hosts finds a route by host and prefix.
	hosts map[string]map[string]*Route
}

// Index prepares Find. It must be called once, before the configuration is shared.
func (c *Config) Index() {
	c.hosts = map[string]map[string]*Route{}
	for i := range c.Routes {
		r := &c.Routes[i]
		if c.hosts[r.Host] == nil {
			c.hosts[r.Host] = map[string]*Route{}
		}
		c.hosts[r.Host][r.Prefix] = r
	}
}

// Find returns the route of host with the longest prefix that begins path, or nil.
func (c *Config) Find(host, path string) *Route {
	routes := c.hosts[strings.ToLower(withoutPort(host))]
	for end := len(path); end > 0 && routes != nil; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			return nil
		}
		if r, ok := routes[path[:slash+1]]; ok {
			return r
		}
		end = slash
	}
	return nil
}

// Regions returns the regions that may serve a host, or nil if any of its routes may be served everywhere.
func (c *Config) Regions(host string) []ident.Region {
	var all []ident.Region
	for _, r := range c.hosts[strings.ToLower(withoutPort(host))] {
		if len(r.Regions) == 0 {
			return nil
		}
		for _, region := range r.Regions {
			if !slices.Contains(all, region) {
				all = append(all, region)
			}
		}
	}
	return all
}

func withoutPort(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		return host[:i]
	}
	return host
}

// Entry is what a target says of itself in the registry.
type Entry struct {
	ID      ident.Target
	Service ident.Service
	// Address is host:port.
	Address string
	Place   ident.Place
	Slots   ident.Slots
	// Ready is false for a target that is leaving.
	Ready bool
	// WarmupLeft is how much longer the target was cold when it wrote the entry.
	WarmupLeft time.Duration
	// Sequence grows with each heartbeat of one start of the target.
	Sequence uint64
	// Born is the time of the target's start in milliseconds since the Unix epoch, or zero.
	Born int64
}

// older reports whether e was written before f, which has the same id.
func (e *Entry) older(f *Entry) bool {
	if e.Born != f.Born {
		return e.Born < f.Born
	}
	return e.Sequence < f.Sequence
}
