package plan

import (
	"time"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/lists"
	"github.com/currantpier/currantpier/shift"
	"github.com/currantpier/currantpier/store"
)

// Entry is what the lease holder knows of an entry VM.
type Entry struct {
	VM    ident.VM
	Place ident.Place
	// Acked is the newest plan version whose decreases the entry has completed, as it reported last.
	Acked ident.Version
	// Silent is how long the entry has been gone from the platform's list and unheard of; zero if it is alive.
	Silent time.Duration
	// Leaving entries give their slots up.
	Leaving bool
}

// Demand is what one entry reported for one service in one serving region.
type Demand struct {
	Service ident.Service
	Region  ident.Region
	Entry   ident.VM
	// Slots is the mean number of requests in progress or waiting.
	Slots float64
	// Mbps is the traffic between the entry and the region's targets in Mbit/s, in the busier direction.
	Mbps float64
	// At is the time of the measurement.
	At time.Time
}

// Link is the connection between two regions, one direction.
type Link struct {
	From, To ident.Region
	// Limit is the capacity for all traffic.
	Limit ident.Mbps
	// Used is all measured traffic; At is the time of that measurement.
	Used float64
	At   time.Time
}

// Input is everything that a plan is computed from, besides the previous plan.
type Input struct {
	Config lists.Config
	Term   ident.Term
	// VMs is the platform's list; only upstreams are used.
	VMs []store.VMInfo
	// Entries lists every entry that is alive or was so during the last minutes, sorted by VM.
	Entries []Entry
	// Watched is how long the lease holder has observed the entries. An entry that the previous plan names and Entries
	// does not is taken to be silent for that long.
	Watched time.Duration
	// Demand is sorted by service, region and entry.
	Demand []Demand
	Links  []Link
	Rules  shift.Rules
}

// RouteReason says what happened to one route.
type RouteReason struct {
	Service ident.Service
	Origin  ident.Region
	Reason  shift.Reason
	// Share is how much moved.
	Share ident.PPM
}

// Reason explains a plan.
type Reason struct {
	// Changed is false if the plan equals the previous one except for its version and times. It need not be published.
	Changed bool
	// Routes lists the routes that are not at their goal, sorted by service and origin.
	Routes []RouteReason
}

// Compute returns the plan that follows previous. The caller publishes it with previous.Version as a condition; a plan
// that was not published must not be used as previous.
func Compute(in Input, previous Traffic, now time.Time) (Traffic, Reason) {
	return previous, Reason{}
}

// Validate checks a received plan: versions, order, sums of grants and shares. The error has the kind BadRequest.
func Validate(t Traffic) error { return nil }
