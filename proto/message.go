// Package proto defines the messages between VMs and their encoding.
package proto

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/currantpier/currantpier/feed"
	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/ident"
)

// VMInfo identifies a VM and holds its addresses.
type VMInfo struct {
	VM ident.VM `json:"vm"`
	// PeerAddress is the host:port for messages between VMs, Caller the host:port for callers.
	PeerAddress   string            `json:"peer"`
	CallerAddress string            `json:"caller"`
	Place         ident.Place       `json:"place"`
	Incarnation   ident.Incarnation `json:"incarnation"`
	// Capacity is the number of requests per second that the VM can carry; zero if it is unknown, as for a VM of a build that doesn't
	// state it. Use KnownCapacity for a value of another VM.
	Capacity int64 `json:"capacity,omitempty"`
}

// MaxCapacity bounds the capacity of a VM, so that sums over all VMs don't overflow.
const MaxCapacity = 1 << 20

// KnownCapacity returns the capacity, or false if it is unknown or out of bounds.
func (i *VMInfo) KnownCapacity() (int64, bool) {
	return i.Capacity, i.Capacity > 0 && i.Capacity <= MaxCapacity
}

// Key is the 64-bit hash of a VM's name. Heartbeats carry it in place of the longer name.
type Key uint64

// KeyOf returns the key of a VM's name.
func KeyOf(vm ident.VM) Key { return Key(xxhash.Sum64String(string(vm))) }

// Heartbeat is a heartbeat of one VM: the newest that the sender of the message has.
type Heartbeat struct {
	VM          Key
	Incarnation ident.Incarnation
	// Count is incremented with each heartbeat of an incarnation.
	Count uint64
	// Ready says that the VM takes callers, Stopping that it is stopping.
	Ready, Stopping bool
	// Age is the time since the VM sent the heartbeat, at most 3.15 s. It does not include the network delays.
	Age time.Duration
}

// Message is what VMs send each other.
type Message struct {
	From VMInfo
	// RequestMembers requests the addresses and heartbeats of all VMs that the receiver has.
	RequestMembers bool
	Heartbeats     []Heartbeat
	// VMs are addresses of VMs that the receiver may lack.
	VMs []VMInfo
	// OperatorVersion is the newest version of the operators' table that the sender has read.
	OperatorVersion ident.Version
	// ConfigVersion is the version of the configuration that the sender has in force. The operators number configurations, so
	// it orders them also where the store's versions don't. Zero if the sender has none, or is of a build that doesn't state it.
	ConfigVersion ident.Version
	// Registry and OperatorChange are nil in most messages.
	Registry       *RegistryDelta
	OperatorChange *OperatorDelta
	// Cold is what the sender has found out about the warm-up of targets.
	Cold []fleet.ColdReport
	// Quota is nil in most messages. A message with quota items has no other fields but the sender's name.
	Quota *QuotaMessage
	// Loads are load reports of targets, at most MaxLoadReports.
	Loads []fleet.LoadReport
}

// RegistryDelta is what one VM has read from the registry, for the other VMs of its group.
type RegistryDelta struct {
	From ident.VM
	// After and Version delimit the registry versions that Rows cover: after After, up to and including Version.
	After, Version ident.Version
	// Rows are the targets that became usable, changed or ceased to be usable.
	Rows []fleet.Row
	// OperatorVersion is the version up to which the sender has read the operators' table; zero if it can't reach the table.
	OperatorVersion ident.Version
	// OperatorSince is the version from which on the sender knows all changes of that table, also removals; zero if it is not
	// stated.
	OperatorSince ident.Version
	// Full says that Rows is the whole registry.
	Full bool
}

// OperatorDelta is what one VM has read from the operators' table, for the other VMs of its group.
type OperatorDelta struct {
	// After and Version delimit the versions that Rows cover: after After, up to and including Version.
	After, Version ident.Version
	Rows           []feed.Row
	// Full says that Rows is the whole table.
	Full bool
}
