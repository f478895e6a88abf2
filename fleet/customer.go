package fleet

import (
	"slices"

	"github.com/currantpier/currantpier/ident"
)

// Customer is a customer of the configuration, who is identified by API keys.
type Customer struct {
	Name ident.Customer
	// Keys are the API keys that identify the customer. None is empty, and no other customer has any of them.
	Keys []string
	// Priority overrides the priority of routes if HasPriority is set.
	Priority    int
	HasPriority bool
	// Rate is the number of requests per second that the customer may send over all VMs; zero means no limit. Burst is a number of
	// requests.
	Rate, Burst float64
	// Blocked is set if the rate or burst is invalid: no request of the customer is accepted, since without a limit its requests
	// could overload targets.
	Blocked bool
	// Regions are the regions that may serve the customer; empty means all.
	Regions []ident.Region
}

// PriorityOn returns the priority of the customer's requests on a route. The receiver may be nil, for requests without a customer.
func (c *Customer) PriorityOn(r *Route) int {
	if c != nil && c.HasPriority {
		return c.Priority
	}
	return r.Priority
}

// RequiresKey reports whether requests need the API key of a customer, except on routes that allow anonymous ones. Customers that
// were left out count, so that a faulty list of customers doesn't open all routes.
func (c *Config) RequiresKey() bool { return len(c.Customers) > 0 || c.CustomersLeftOut > 0 }

// CustomerOf returns the customer that an API key identifies, or nil.
func (c *Config) CustomerOf(key string) *Customer { return c.customers[key] }

// indexCustomers builds the index for CustomerOf. The first customer with a key keeps it. Empty keys are ignored: they would
// identify requests without a key.
func (c *Config) indexCustomers() {
	c.customers = make(map[string]*Customer, len(c.Customers))
	for i := range slices.Backward(c.Customers) {
		for _, key := range c.Customers[i].Keys {
			if key != "" {
				c.customers[key] = &c.Customers[i]
			}
		}
	}
}
