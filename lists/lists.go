// Package lists defines the configuration that operators maintain: each customer's plan, the services that each plan may
// use, drains and moves. It parses and writes the two CSV lists and the JSON document, and compares configurations.
package lists

import (
	"github.com/currantpier/currantpier/ident"
)

// Config is one version of the configuration. It is immutable once it has a version.
type Config struct {
	// Version is assigned by the store when the configuration is accepted. It is zero before that.
	Version ident.Version `json:"version"`
	// Customers is sorted by customer and has no duplicates.
	Customers []CustomerPlan `json:"customers"`
	// Uses is sorted by plan and service and has no duplicates. Each plan of Customers has at least one row.
	Uses []Use `json:"uses"`
	// Drains is sorted by scope and name and has no duplicates.
	Drains []Drain `json:"drains"`
	// Moves is sorted by service and from, and has at most one move of each service and origin.
	Moves []Move `json:"moves"`
}

// CustomerPlan assigns a plan to a customer. It is one row of customers.csv.
type CustomerPlan struct {
	Customer ident.Customer `json:"customer"`
	Plan     ident.PlanName `json:"plan"`
}

// Use allows customers on a plan to use a service. It is one row of uses.csv.
type Use struct {
	Plan    ident.PlanName `json:"plan"`
	Service ident.Service  `json:"service"`
	// Rate is the limit in requests per second for each customer on the plan, summed over all entry VMs. It is above 0
	// and at most MaxRatePerSecond.
	Rate float64 `json:"rate"`
	// Weight is the customer's share relative to other customers of the service when capacity is scarce, 1 to MaxWeight.
	Weight int `json:"weight"`
	// Orders says whether customers on the plan may send orders and bookings.
	Orders bool `json:"orders"`
}

// Scope is the type of object that a drain applies to.
type Scope string

// The scopes of drains.
const (
	ScopeTarget Scope = "target"
	ScopeVM     Scope = "vm"
	ScopeDomain Scope = "failure-domain"
	ScopeRegion Scope = "region"
)

// Drain marks a target, VM, failure domain or region as accepting no new work.
type Drain struct {
	Scope Scope  `json:"scope"`
	Name  string `json:"name"`
}

// Move sends a share of a service's traffic that arrives in region From to region To.
type Move struct {
	Service ident.Service `json:"service"`
	From    ident.Region  `json:"from"`
	To      ident.Region  `json:"to"`
	// Share is a fraction of the service's traffic in From, 1 to ident.Whole parts per million.
	Share ident.PPM `json:"share"`
}
