// Package config reads the settings of the daemons from an INI file, checks them and reports every error of the file at
// once.
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

// VM names this VM and says where it is.
type VM struct {
	Name   ident.VM
	Region ident.Region
	// Domain is one of the failure domains of Region.
	Domain ident.Domain
	// Seeds are control ports of other VMs, IP:port. They are asked for the list of VMs by a process that starts while
	// the platform's list cannot be read.
	Seeds []string
}

// Place returns where the VM is.
func (v VM) Place() ident.Place {
	return ident.Place{Region: v.Region, Domain: v.Domain}
}

// Entry holds the addresses of the entry daemon.
type Entry struct {
	// Listen is the address for callers.
	Listen netip.AddrPort
	// ControlListen is the address for other daemons, metrics and dumps.
	ControlListen netip.AddrPort
}

// Steer holds the address and the periods of the steer daemon.
type Steer struct {
	ControlListen netip.AddrPort
	// LeaseTerm is how long the steering lease is valid without renewal.
	LeaseTerm time.Duration
	// ConfigInterval and PlanInterval are the periods at which a relay reads each document from the store.
	ConfigInterval time.Duration
	PlanInterval   time.Duration
}

// Store says how to reach the platform's table service and object store.
type Store struct {
	Address netip.AddrPort
	// Timeout bounds one call; a slower store is handled as down.
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
	// Share is the part of Capacity that steered traffic may use; the rest is left to other traffic.
	Share ident.PPM
}

// Usable returns the capacity that steered traffic may use in each direction.
func (l Link) Usable() ident.Mbps {
	return ident.Mbps(int64(l.Capacity) * int64(l.Share) / int64(ident.Whole))
}

// Shift is the cap of traffic shifts of one service.
type Shift struct {
	PerStep ident.PPM
	// PerMinute is at least PerStep.
	PerMinute ident.PPM
}

// Orders sets how the at-most-once record of orders is kept.
type Orders struct {
	// Retention is how long the record of an order answers repeated requests.
	Retention time.Duration
	// MaxRecords bounds the records in memory; further orders are refused as not run.
	MaxRecords int
	// FlushInterval is the shortest time between two journal writes of one entry.
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

// Log sets what is logged.
type Log struct {
	Level Level
}

// Limits bounds queues, bodies and waits of the entry daemon.
type Limits struct {
	// QueueLength is the number of waiting requests per customer and service.
	QueueLength int
	// MaxBody is the size of the largest request or answer body, in bytes.
	MaxBody int
	// StopTimeout bounds a planned stop.
	StopTimeout time.Duration
	// LookupTTL is how long callers may cache a lookup answer.
	LookupTTL time.Duration
}

// Domain returns the place of a failure domain, or false if no region lists it.
func (s *Settings) Domain(d ident.Domain) (ident.Place, bool) {
	for _, r := range s.Regions {
		for _, have := range r.Domains {
			if have == d {
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
