// Package plan computes the traffic plan: which regions serve which share of each service's traffic, and how the slots
// of each target are divided among the entries.
package plan

import (
	"time"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/share"
	"github.com/currantpier/currantpier/shift"
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
	// Grants is sorted by target and entry. For each target the sum of Bound never exceeds its slots, except while
	// entries have not yet given up slots of a target that has shrunk or is leaving.
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
	// Moved is the recent movement of a shift; see shift.State.
	Moved []shift.Moved `json:"moved,omitempty"`
	// Stepped is the version of the plan that last changed Weights; zero if none has.
	Stepped ident.Version `json:"stepped,omitempty"`
}

// Weight is the share of one serving region.
type Weight = shift.Weight

// Grant gives an entry slots of a target.
type Grant = share.Grant

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
