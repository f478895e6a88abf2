// Package ident defines the named types for ids and units that all other packages share. It imports no other package
// of the project.
package ident

import (
	"strconv"
	"strings"
	"time"
)

// VM names one entry VM, for example "riga-1". It has no dot, since request ids use dots as separators.
type VM string

// Region names a region, for example "riga".
type Region string

// Domain names a failure domain. It is unique across regions, for example "riga-a".
type Domain string

// Service names an upstream service, for example "workshop".
type Service string

// Target names one upstream target, for example "workshop-17". It is unique across services.
type Target string

// Customer names a customer.
type Customer string

// PlanName names a plan that customers are on.
type PlanName string

// Incarnation tells the processes that ran on one VM apart; a later one has a greater number. It is made of the time of
// its start since the Unix epoch, in nanoseconds or, where it is sent often, in milliseconds.
type Incarnation uint64

// Version counts the versions of a table row, a configuration or a traffic plan. Zero means that there is none.
type Version uint64

// Term is the fencing term of a lease. It grows by at least one with each new holder.
type Term uint64

// PPM is a fraction of a service's traffic in parts per million.
type PPM int32

// Whole is all of a service's traffic.
const Whole PPM = 1_000_000

// Slots counts requests that a target serves at the same time.
type Slots int32

// Mbps is a link capacity in megabits per second, one direction.
type Mbps int32

// Place is where a VM, a target or a block of clients is.
type Place struct {
	Region Region `json:"region"`
	// Domain lies in Region.
	Domain Domain `json:"failure-domain"`
}

// Distance orders places by how far apart they are.
type Distance uint8

// The distances, near to far.
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

// Class says how an order is recorded before it is sent.
type Class byte

// The classes of request ids.
const (
	// Journalled orders are sent only after their id is in the owner's journal.
	Journalled Class = 'j'
	// Direct orders are sent without a journal entry. They are used while the store is down.
	Direct Class = 'd'
)

// Ticket is the part of a request id that a lookup hands out. It names the only process that may send the order.
type Ticket struct {
	Class       Class
	Owner       VM
	Incarnation Incarnation
	// Minute is the time of issue in minutes since the Unix epoch.
	Minute int64
}

// RequestID is a ticket in text form followed by a dot and a suffix that the caller chose:
// "<class>.<vm>.<incarnation>.<minute>.<suffix>".
type RequestID string

// MaxSuffix is the longest suffix that a caller may choose, in bytes.
const MaxSuffix = 64

// NewTicket returns a ticket that is issued at now.
func NewTicket(class Class, owner VM, inc Incarnation, now time.Time) Ticket {
	return Ticket{Class: class, Owner: owner, Incarnation: inc, Minute: now.Unix() / 60}
}

// String returns the text form "<class>.<vm>.<incarnation in base 36>.<minute>".
func (t Ticket) String() string {
	return string(t.Class) + "." + string(t.Owner) + "." + strconv.FormatUint(uint64(t.Incarnation), 36) + "." +
		strconv.FormatInt(t.Minute, 10)
}

// ID returns the request id made of the ticket and a suffix.
func (t Ticket) ID(suffix string) RequestID {
	return RequestID(t.String() + "." + suffix)
}

// Issued returns the time of issue, rounded down to a minute.
func (t Ticket) Issued() time.Time {
	return time.Unix(t.Minute*60, 0)
}

// Parse splits a request id. It reports false if the id is malformed.
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
	// Two texts for one id would let the same order run under both.
	return t, t.ID(parts[4]) == id
}

func validSuffix(s string) bool {
	if s == "" || len(s) > MaxSuffix {
		return false
	}
	for i := 0; i < len(s); i++ {
		if !idByte(s[i]) {
			return false
		}
	}
	return true
}

func idByte(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_'
}

// ValidName reports whether s can name a VM, region, failure domain, service, target, customer or plan: 1 to 64
// letters, digits, '-' or '_'.
func ValidName(s string) bool {
	return validSuffix(s)
}
