// Package proto defines the messages between VMs and their encoding.
package proto

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/currantpier/currantpier/feed"
	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/ident"
)

// Info identifies a VM and holds its addresses.
type Info struct {
	VM ident.VM `json:"vm"`
	// Peer is the host:port for messages between VMs, Caller the host:port for callers.
	Peer        string            `json:"peer"`
	Caller      string            `json:"caller"`
	Place       ident.Place       `json:"place"`
	Incarnation ident.Incarnation `json:"incarnation"`
}

// Key is the 64-bit hash of a VM's name. Heartbeats carry it in place of the longer name.
type Key uint64

// KeyOf returns the key of a VM's name.
func KeyOf(vm ident.VM) Key { return Key(xxhash.Sum64String(string(vm))) }

// Beat is a heartbeat of one VM: the newest that the sender of the message has.
type Beat struct {
	VM          Key
	Incarnation ident.Incarnation
	// Count is incremented with each heartbeat of an incarnation.
	Count uint64
	// Ready says that the VM takes callers, Leaving that it is stopping.
	Ready, Leaving bool
	// Age is the time since the VM sent the heartbeat, at most 3.15 s. It does not include the network delays.
	Age time.Duration
}

// Message is what VMs send each other.
type Message struct {
	From Info
	// Hello requests the addresses and heartbeats of all VMs that the receiver has.
	Hello bool
	Beats []Beat
	// Infos are addresses of VMs that the receiver may lack.
	Infos []Info
	// Operator is the newest version of the operators' table that the sender has read.
	Operator ident.Version
	// News and Change are nil in most messages.
	News   *News
	Change *Change
}

// News is what one VM has read from the registry, for the other VMs of its group.
type News struct {
	From ident.VM
	// After and Version delimit the registry versions that Rows cover: after After, up to and including Version.
	After, Version ident.Version
	// Rows are the targets that became usable, changed or ceased to be usable.
	Rows []fleet.Row
	// Operator is the version up to which the sender has read the operators' table; zero if it can't reach the table.
	Operator ident.Version
	// Whole says that Rows is the whole registry.
	Whole bool
}

// Change is what one VM has read from the operators' table, for the other VMs of its group.
type Change struct {
	// After and Version delimit the versions that Rows cover: after After, up to and including Version.
	After, Version ident.Version
	Rows           []feed.Row
	// Whole says that Rows is the whole table.
	Whole bool
}
