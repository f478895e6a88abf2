// Package proto holds the messages that VMs send each other and their encoding.
package proto

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/currantpier/currantpier/feed"
	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/ident"
)

// Info is what a VM says of itself.
type Info struct {
	VM ident.VM `json:"vm"`
	// Peer is host:port for messages between VMs, Caller host:port for callers.
	Peer        string            `json:"peer"`
	Caller      string            `json:"caller"`
	Place       ident.Place       `json:"place"`
	Incarnation ident.Incarnation `json:"incarnation"`
}

// Key is the hash of a VM's name. Heartbeats carry it in place of the name, which is longer.
type Key uint64

// KeyOf returns the key of a VM.
func KeyOf(vm ident.VM) Key { return Key(xxhash.Sum64String(string(vm))) }

// Beat is the newest heartbeat of one VM that the sender of a message knows.
type Beat struct {
	VM          Key
	Incarnation ident.Incarnation
	Count       uint64
	// Ready says that the VM takes callers, Leaving that it is about to stop.
	Ready, Leaving bool
	// Age is the time since the VM counted the heartbeat, 3.15 s at most, without the times on the way.
	Age time.Duration
}

// Message is what VMs send each other.
type Message struct {
	From Info
	// Hello asks the receiver for everything that it knows.
	Hello bool
	Beats []Beat
	// Infos introduce VMs that the receiver may not know.
	Infos []Info
	// Operator is the version of the newest change of the operators that the sender has seen.
	Operator ident.Version
	// News and Change are nil in most messages.
	News   *News
	Change *Change
}

// News is what one VM has read of the registry, for the others of its group.
type News struct {
	From ident.VM
	// After and Version are the versions of the registry that the changes lie between.
	After, Version ident.Version
	// Rows are the targets that became usable, changed or ceased to be usable.
	Rows []fleet.Row
	// Operator is the version up to which the sender has read the operators' table; zero if its contact with it is lost.
	Operator ident.Version
	// Whole says that Rows is the whole registry.
	Whole bool
}

// Change is what one VM has read of the operators' table, for the others of its group.
type Change struct {
	// After and Version are the versions that the rows lie between.
	After, Version ident.Version
	Rows           []feed.Row
	// Whole says that Rows is the whole table.
	Whole bool
}
