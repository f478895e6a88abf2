// Package plan computes the traffic plan: the share of each service's traffic that each region serves, and the
// allocation of each target's slots to the entries.
package plan

import (
	"time"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/share"
	"github.com/currantpier/currantpier/shift"
)

// MaxSlots is the greatest number of slots of one target. Slots are allocated one by one, so that a malformed number would
// occupy the lease holder, and each of its successors. Targets have a few slots.
const MaxSlots ident.Slots = 1 << 14

// TrafficPlan is a version of the traffic plan. The lease holder publishes it; every entry applies the newest version.
type TrafficPlan struct {
	// Version increases by one with each published plan.
	Version ident.Version `json:"version"`
	// Term is the fencing term of the lease under which the plan was published.
	Term ident.Term `json:"term"`
	// ConfigVersion is the version of the configuration that the plan was computed from.
	ConfigVersion ident.Version `json:"config"`
	CreatedAt     time.Time     `json:"made-at"`
	// Routes is sorted by service and origin.
	Routes []Route `json:"routes"`
	// Grants is sorted by target and entry. The sum of MaxInUse over the grants of a target never exceeds its slots, except
	// after its slots were reduced or it began to leave, until entries have acknowledged the decrease.
	Grants []Grant `json:"grants"`
	// Targets is sorted by name. It lists every target that may get requests or still has grants.
	Targets []Target `json:"targets"`
}

// Route states which regions serve the requests for a service that arrive in one region, the origin.
type Route struct {
	Service ident.Service `json:"service"`
	Origin  ident.Region  `json:"origin"`
	// Weights is sorted by region; the shares add up to ident.Whole.
	Weights []Weight `json:"weights"`
	// Movements lists the recent movements of a shift; see shift.State.
	Movements []shift.Movement `json:"moved,omitempty"`
	// LastStep is the plan version that last moved traffic of this route, or zero if none has.
	LastStep ident.Version `json:"stepped,omitempty"`
}

// Weight is the share of the traffic that one region serves.
type Weight = shift.Weight

// Grant is the allocation of slots of one target to one entry.
type Grant = share.Grant

// Target is the state of a target as known to the lease holder.
type Target struct {
	Name    ident.Target  `json:"name"`
	Service ident.Service `json:"service"`
	// Address is an IP address and a port.
	Address string      `json:"address"`
	Place   ident.Place `json:"place"`
	Slots   ident.Slots `json:"slots"`
	// MaxConnections is the maximum number of open connections from all entries together.
	MaxConnections int32 `json:"connections"`
	// Leaving is true for a target that is being removed. It gets no new requests.
	Leaving bool `json:"leaving"`
}
