// Package config parses and validates the INI settings file of the daemons. It reports all errors of a file together.
package config

import (
	"net/netip"
	"time"

	"github.com/currantpier/currantpier/ident"
)

// Settings is the content of one settings file. Both daemons of a VM read the same file.
type Settings struct {
	VM     VM
	Entry  Entry
	Steer  Steer
	Store  Store
	Shift  Shift
	Orders Orders
	Log    Log
	Limits Limits
	// Regions is sorted by name and contains the region of VM.
	Regions []Region
	// Links is sorted by A and then B. A pair of regions without a link carries no traffic between them.
	Links []Link
}

// VM holds the name and location of this VM.
type VM struct {
	Name   ident.VM
	Region ident.Region
	// Domain is one of the failure domains of Region.
	Domain ident.Domain
	// Seeds are control ports of other VMs, as IP:port. A process that starts while the platform's list of VMs cannot be
	// read requests the list from them.
	Seeds []string
}

// Place returns the location of the VM.
func (v VM) Place() ident.Place {
	return ident.Place{Region: v.Region, Domain: v.Domain}
}

// Entry holds the listen addresses of the entry daemon.
type Entry struct {
	// Listen is the address for callers.
	Listen netip.AddrPort
	// ControlListen is the address for other daemons, metrics and dumps.
	ControlListen netip.AddrPort
}

// Steer holds the listen address and the intervals of the steer daemon.
type Steer struct {
	ControlListen netip.AddrPort
	// LeaseTerm is how long the steering lease is valid without renewal.
	LeaseTerm time.Duration
	// ConfigInterval and PlanInterval are the intervals at which a relay reads the configuration and the traffic plan
	// from the store.
	ConfigInterval time.Duration
	PlanInterval   time.Duration
}

// Store holds the address of the platform's table service and object store.
type Store struct {
	Address netip.AddrPort
	// Timeout is the timeout of one call. A call that exceeds it is handled like one to a store that is down.
	Timeout time.Duration
}

// Region lists the failure domains of one region.
type Region struct {
	Name ident.Region
	// Domains is sorted, not empty, and shares no name with another region.
	Domains []ident.Domain
}

// Link describes the network between two regions. Capacity applies to each direction.
type Link struct {
	// A sorts before B.
	A, B     ident.Region
	Capacity ident.Mbps
	// Share is the fraction of Capacity that steered traffic may use. The rest is reserved for other traffic.
	Share ident.PPM
}

// Usable returns the capacity that steered traffic may use in each direction.
func (l Link) Usable() ident.Mbps {
	return ident.Mbps(int64(l.Capacity) * int64(l.Share) / int64(ident.Whole))
}

// Shift is the rate limit of traffic shifts, as fractions of a service's traffic.
type Shift struct {
	// PerStep is the largest single step.
	PerStep ident.PPM
	// PerMinute is the largest total shift within one minute. It is at least PerStep.
	PerMinute ident.PPM
}

// Orders configures the records that ensure at-most-once execution of orders.
type Orders struct {
	// Retention is how long a record is kept to answer repeated requests.
	Retention time.Duration
	// MaxRecords is the maximum number of records in memory. Further orders are refused and not run.
	MaxRecords int
	// FlushInterval is the minimum time between two journal writes of one entry daemon.
	FlushInterval time.Duration
}

// Level is the lowest severity that is logged.
type Level string

// The log levels.
const (
	Debug Level = "debug"
	Info  Level = "info"
	Warn  Level = "warn"
	Error Level = "error"
)

// Log configures logging.
type Log struct {
	Level Level
}

// Limits holds the limits of the entry daemon for queues, bodies and times.
type Limits struct {
	// QueueLength is the maximum number of waiting requests per customer and service.
	QueueLength int
	// MaxBody is the maximum size of a request or response body, in bytes.
	MaxBody int
	// StopTimeout is the timeout of a graceful shutdown.
	StopTimeout time.Duration
	// LookupTTL is how long callers may cache a lookup response.
	LookupTTL time.Duration
}

// Domain returns the location of a failure domain, or false if no region lists it.
func (s *Settings) Domain(d ident.Domain) (ident.Place, bool) {
	for _, r := range s.Regions {
		for _, domain := range r.Domains {
			if domain == d {
				return ident.Place{Region: r.Name, Domain: d}, true
			}
		}
	}
	return ident.Place{}, false
}

// Link returns the link between two regions in either order, or false if there is none.
func (s *Settings) Link(a, b ident.Region) (Link, bool) {
	if b < a {
		a, b = b, a
	}
	for _, l := range s.Links {
		if l.A == a && l.B == b {
			return l, true
		}
	}
	return Link{}, false
}
