// Package fleet holds the state that a VM reads from the platform: the operators' configuration, the failure domains under
// evacuation and the registry of upstream targets. It does no I/O and takes the time as a parameter.
package fleet

import (
	"slices"
	"strings"
	"time"

	"github.com/currantpier/currantpier/ident"
)

// RouteName names a route of the configuration.
type RouteName string

// WeightedService is one service of a route and its weight.
type WeightedService struct {
	Service ident.Service
	// Weight is positive. The share of requests is the weight divided by the sum of the route's weights.
	Weight int
}

// Route configures the services for requests with one host and path prefix, and the rules for these requests.
type Route struct {
	Name RouteName
	// Host is in lower case.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Services has at least one element.
	Services []WeightedService
	// Idempotent is set if a request may be executed more than once.
	Idempotent bool
	// Download is set if responses are large. Requests of such routes are idempotent.
	Download bool
	// UnknownType is set if the configuration states a type that this build doesn't know. Requests are then executed at most once.
	UnknownType bool
	// Anonymous is set if requests need no API key.
	Anonymous bool
	// Timeout is the maximum time until the response.
	Timeout time.Duration
	// LatencyTarget is the time within which a response has its full value.
	LatencyTarget time.Duration
	// MaxAttempts is the maximum number of targets that one request is sent to, at least 1.
	MaxAttempts int
	// Priority is 0 for the most important routes and greater for others.
	Priority int
	// Affinity is set if targets respond faster for objects that they have processed recently.
	Affinity bool
	// Regions are the regions that may serve the route; empty means all.
	Regions []ident.Region
}

// Allows reports whether targets in region r may serve the route.
func (r *Route) Allows(region ident.Region) bool {
	return len(r.Regions) == 0 || slices.Contains(r.Regions, region)
}

// Uses reports whether a service is one of the route's services.
func (r *Route) Uses(svc ident.Service) bool {
	return slices.ContainsFunc(r.Services, func(w WeightedService) bool { return w.Service == svc })
}

// Service is the configuration of an upstream service.
type Service struct {
	Name       ident.Service
	HealthPath string
	// MaxConnections limits the connections of all VMs to one target; zero means no limit.
	MaxConnections int
	// Warmup is how long a target stays cold after its start.
	Warmup time.Duration
	// WarmupRate is the number of requests per second that a cold target accepts from all VMs together.
	WarmupRate float64
}

// Limits bound the requests of callers.
type Limits struct {
	HeaderBytes, BodyBytes int
	// HeaderTimeout bounds the time from the first byte of a request to the end of its header.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the time between two requests on a connection.
	IdleTimeout time.Duration
}

// Config is one version of the operators' configuration. It is immutable after Index.
type Config struct {
	Version  ident.Version
	Routes   []Route
	Services map[ident.Service]Service
	Limits   Limits
	// Customers is empty if requests need no API key; see RequiresKey.
	Customers []Customer
	// CustomersLeftOut is the number of customers that the configuration states and that are not in Customers, since they are invalid.
	CustomersLeftOut int
	// Warnings say what was left out or replaced while decoding. They don't contain API keys.
	Warnings []string

	hosts map[string]*host
	// customers maps an API key to its customer.
	customers map[string]*Customer
	downloads bool
}

// host has the routes of one host.
type host struct {
	// routes maps a prefix to a route.
	routes  map[string]*Route
	regions HostRegions
}

// Index builds the index for Find, HostRegions, HasDownloads and CustomerOf. It must be called once, before other goroutines use the
// configuration.
func (c *Config) Index() {
	c.indexCustomers()
	c.hosts = map[string]*host{}
	for i := range c.Routes {
		r := &c.Routes[i]
		c.downloads = c.downloads || r.Download
		if c.hosts[r.Host] == nil {
			c.hosts[r.Host] = &host{routes: map[string]*Route{}}
		}
		c.hosts[r.Host].routes[r.Prefix] = r
	}
	for _, h := range c.hosts {
		h.regions = newHostRegions(h.routes)
	}
}

// host returns nil for a host without routes. It ignores the case and the port of the name.
func (c *Config) host(name string) *host { return c.hosts[strings.ToLower(withoutPort(name))] }

// Find returns the route of the host with the longest prefix of path, or nil. It ignores the case and the port of the host.
func (c *Config) Find(host, path string) *Route {
	h := c.host(host)
	for end := len(path); end > 0 && h != nil; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			return nil
		}
		if r, ok := h.routes[path[:slash+1]]; ok {
			return r
		}
		end = slash
	}
	return nil
}

// HostRegions returns which regions may serve the routes of a host. It ignores the case and the port of the host.
func (c *Config) HostRegions(host string) *HostRegions {
	if h := c.host(host); h != nil {
		return &h.regions
	}
	return &HostRegions{}
}

// HasDownloads reports whether any route has large responses.
func (c *Config) HasDownloads() bool { return c.downloads }

// Restricted returns the number of routes that only some regions may serve.
func (c *Config) Restricted() int {
	n := 0
	for i := range c.Routes {
		if len(c.Routes[i].Regions) > 0 {
			n++
		}
	}
	return n
}

func withoutPort(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		return host[:i]
	}
	return host
}

// Entry is the state that a target writes to the registry with each heartbeat.
type Entry struct {
	ID      ident.Target
	Service ident.Service
	// Address is host:port.
	Address string
	Place   ident.Place
	Slots   ident.Slots
	// Ready is false for a target that is leaving.
	Ready bool
	// WarmupLeft is the remaining warm-up time when the entry was written.
	WarmupLeft time.Duration
	// Assumed is set if WarmupLeft is an assumption; see ColdReport. It isn't in the registry, but in what VMs tell each other of it.
	Assumed bool
	// Sequence increases with each heartbeat and may begin again when the target restarts.
	Sequence uint64
	// StartedUnixMS is the start time of the target in milliseconds since the Unix epoch, zero if unknown.
	StartedUnixMS int64
}

// older reports whether e was written before f, which has the same id.
func (e *Entry) older(f *Entry) bool {
	if e.StartedUnixMS != f.StartedUnixMS {
		return e.StartedUnixMS < f.StartedUnixMS
	}
	return e.Sequence < f.Sequence
}
