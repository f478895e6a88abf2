// Package plan computes the traffic plan: which regions serve which share of each service's traffic, and how the slots
// of each target are divided among the entries.
package plan

import (
	"time"

	"github.com/currantpier/currantpier/ident"
)

// Traffic is one version of the traffic plan. The lease holder writes it; every entry applies the newest one.
type Traffic struct {
	// Version grows by one with each published plan.
	Version ident.Version `json:"version"`
	// Term is the fencing term of the lease under which the plan was written.
	Term ident.Term `json:"term"`
	// Config is the version of the configuration that the plan was computed from.
	Config ident.Version `json:"config"`
	MadeAt time.Time     `json:"made-at"`
	// Routes is sorted by service and origin.
	Routes []Route `json:"routes"`
	// Grants is sorted by target and entry. The sum over a target never exceeds its slots.
	Grants []Grant `json:"grants"`
	// Targets is sorted by name. It lists every target that may get work or still holds some.
	Targets []Target `json:"targets"`
}

// Route says where the requests for a service that arrive in one region are served.
type Route struct {
	Service ident.Service `json:"service"`
	Origin  ident.Region  `json:"origin"`
	// Weights is sorted by region; the shares add up to ident.Whole.
	Weights []Weight `json:"weights"`
}

// Weight is the share of one serving region.
type Weight struct {
	Region ident.Region `json:"region"`
	Share  ident.PPM    `json:"share"`
}

// Grant gives an entry slots of a target.
type Grant struct {
	Target ident.Target `json:"target"`
	Entry  ident.VM     `json:"entry"`
	Slots  ident.Slots  `json:"slots"`
}

// Target describes one target as the lease holder knows it.
type Target struct {
	Name    ident.Target  `json:"name"`
	Service ident.Service `json:"service"`
	// Address is host:port with an IP address.
	Address string      `json:"address"`
	Place   ident.Place `json:"place"`
	Slots   ident.Slots `json:"slots"`
	// Connections is the limit on open connections from all entries together.
	Connections int32 `json:"connections"`
	// Leaving targets get no new work.
	Leaving bool `json:"leaving"`
}
