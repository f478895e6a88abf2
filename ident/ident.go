// Package ident defines the types for identifiers and units that all other packages share. It imports no other package
// of the project.
package ident

import (
	"strconv"
	"strings"
	"time"
)

// VM is the name of an entry VM, for example "riga-1". It contains no dot, since request ids use dots as separators.
type VM string

// Region is the name of a region, for example "riga".
type Region string

// Domain is the name of a failure domain, for example "riga-a". It is unique across regions.
type Domain string

// Service is the name of an upstream service, for example "workshop".
type Service string

// Target is the name of one process of an upstream service, for example "workshop-17". It is unique across services.
type Target string

// Customer is the name of a customer.
type Customer string

// PlanName is the name of a customers' plan, which sets rates and weights per service.
type PlanName string

// Incarnation distinguishes successive processes on one VM; a later process has a greater number. It is the start time
// of the process since the Unix epoch in nanoseconds, or in milliseconds where it is sent often.
type Incarnation uint64

// Term is the fencing token of a lease. It increases by at least one with each new holder, also across eras of the
// store: as in a Version, its upper bits are the era in which it was given out.
type Term uint64

// PPM is a fraction of a service's traffic in parts per million.
type PPM int32

// Whole is 100% of a service's traffic.
const Whole PPM = 1_000_000

// Slots is a number of requests that a target serves concurrently.
type Slots int32

// Mbps is a link capacity in megabits per second, in one direction.
type Mbps int32

// Place is the location of a VM, a target or a block of client addresses.
type Place struct {
	Region Region `json:"region"`
	// Domain is a failure domain of Region.
	Domain Domain `json:"failure-domain"`
}

// Distance ranks how far apart two places are.
type Distance uint8

// The distances in ascending order.
const (
	SameDomain Distance = iota
	SameRegion
	OtherRegion
)

// To returns the distance from p to q.
func (p Place) To(q Place) Distance {
	switch {
	case p.Region != q.Region:
		return OtherRegion
	case p.Domain != q.Domain:
		return SameRegion
	}
	return SameDomain
}

// Class says whether an order is journalled before it is sent to a target.
type Class byte

// The classes of request ids.
const (
	// Journalled orders are sent only after their id is written to the owner's journal.
	Journalled Class = 'j'
	// Direct orders are sent without a journal entry, while the store is down.
	Direct Class = 'd'
)

// Ticket is the part of a request id that a lookup issues. It identifies the only process that may send the order to a
// target.
type Ticket struct {
	Class       Class
	Owner       VM
	Incarnation Incarnation
	// Minute is the time of issue in minutes since the Unix epoch.
	Minute int64
}

// RequestID is the text form of a ticket followed by a dot and a suffix chosen by the caller:
// "<class>.<vm>.<incarnation>.<minute>.<suffix>".
type RequestID string

// MaxSuffix is the maximum length of a suffix in bytes. It is also the limit for all names, see ValidName.
const MaxSuffix = 64

// NewTicket returns a ticket issued at now.
func NewTicket(class Class, owner VM, inc Incarnation, now time.Time) Ticket {
	return Ticket{Class: class, Owner: owner, Incarnation: inc, Minute: now.Unix() / 60}
}

// String returns the text form "<class>.<vm>.<incarnation in base 36>.<minute>".
func (t Ticket) String() string {
	return string(t.Class) + "." + string(t.Owner) + "." + strconv.FormatUint(uint64(t.Incarnation), 36) + "." +
		strconv.FormatInt(t.Minute, 10)
}

// ID returns the request id with the given suffix.
func (t Ticket) ID(suffix string) RequestID {
	return RequestID(t.String() + "." + suffix)
}

// Issued returns the time of issue, rounded down to the minute.
func (t Ticket) Issued() time.Time {
	return time.Unix(t.Minute*60, 0)
}

// Parse returns the ticket of a request id. It reports false if the id is malformed or not in canonical form.
func (id RequestID) Parse() (Ticket, bool) {
	parts := strings.SplitN(string(id), ".", 5)
	if len(parts) != 5 || len(parts[0]) != 1 || parts[1] == "" {
		return Ticket{}, false
	}
	class := Class(parts[0][0])
	if class != Journalled && class != Direct {
		return Ticket{}, false
	}
	inc, err := strconv.ParseUint(parts[2], 36, 64)
	if err != nil {
		return Ticket{}, false
	}
	minute, err := strconv.ParseInt(parts[3], 10, 64)
	if err != nil || minute < 0 || !validSuffix(parts[4]) {
		return Ticket{}, false
	}
	t := Ticket{Class: class, Owner: VM(parts[1]), Incarnation: Incarnation(inc), Minute: minute}
	// Only the canonical form is accepted: with two spellings of one id, the same order could run once under each.
	return t, t.ID(parts[4]) == id
}

// validSuffix reports whether s has 1 to MaxSuffix bytes, each a letter, digit, '-' or '_'.
func validSuffix(s string) bool {
	if s == "" || len(s) > MaxSuffix {
		return false
	}
	for i := 0; i < len(s); i++ {
		if !isNameByte(s[i]) {
			return false
		}
	}
	return true
}

func isNameByte(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_'
}

// ValidName reports whether s is a valid name of a VM, region, failure domain, service, target, customer or plan: 1 to
// 64 letters, digits, '-' or '_'.
func ValidName(s string) bool {
	return validSuffix(s)
}
