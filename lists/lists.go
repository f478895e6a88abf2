// Package lists holds the configuration that operators maintain: the list of customers' plans, the list of what each
// plan may use, and the announced drains and moves.
package lists

import (
	"github.com/currantpier/currantpier/ident"
)

// Config is one version of the configuration. It is immutable once it has a version.
type Config struct {
	// Version is given by the store when the configuration is accepted; zero before that.
	Version ident.Version `json:"version"`
	// Customers is sorted by customer and has no duplicates.
	Customers []CustomerPlan `json:"customers"`
	// Uses is sorted by plan and service and has no duplicates. Each plan of Customers has at least one row.
	Uses []Use `json:"uses"`
	// Drains is sorted by scope and name and has no duplicates.
	Drains []Drain `json:"drains"`
	// Moves is sorted by service, from and to; a service and origin appears at most once.
	Moves []Move `json:"moves"`
}

// CustomerPlan is one row of the list of customers' plans.
type CustomerPlan struct {
	Customer ident.Customer `json:"customer"`
	Plan     ident.PlanName `json:"plan"`
}

// Use is one row of the list of what each plan may use.
type Use struct {
	Plan    ident.PlanName `json:"plan"`
	Service ident.Service  `json:"service"`
	// Rate is the limit of requests per second for each customer on the plan, over all entries; positive.
	Rate float64 `json:"rate"`
	// Weight is the share under scarcity relative to other customers of the service; 1 to 1000.
	Weight int `json:"weight"`
	// Orders says whether customers on the plan may send orders and bookings.
	Orders bool `json:"orders"`
}

// Scope says what a drain covers.
type Scope string

// The scopes of drains.
const (
	ScopeTarget Scope = "target"
	ScopeVM     Scope = "vm"
	ScopeDomain Scope = "failure-domain"
	ScopeRegion Scope = "region"
)

// Drain announces that a target, VM, failure domain or region takes no new work.
type Drain struct {
	Scope Scope  `json:"scope"`
	Name  string `json:"name"`
}

// Move announces that a share of the traffic of a service that arrives for region From is served by region To.
type Move struct {
	Service ident.Service `json:"service"`
	From    ident.Region  `json:"from"`
	To      ident.Region  `json:"to"`
	// Share is in parts per million of the service's traffic in From, 1 to ident.Whole.
	Share ident.PPM `json:"share"`
}
