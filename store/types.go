// Package store is the client of the platform's transactional table, object store and VM list, over plain HTTP with
// conditional requests (ETag and If-Match, RFC 9110). It is the only package that knows the platform's interface.
package store

import "github.com/currantpier/currantpier/ident"

// Row is one row of the table.
type Row struct {
	// Key uses '/' between parts, for example "lease/steer".
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Version counts the writes to the row; zero means that the row does not exist.
	Version ident.Version `json:"version"`
}

// Op is one operation of a transaction. All conditions are checked before anything is written.
type Op struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// IfVersion is the version the row must have; zero means that it must not exist.
	IfVersion ident.Version `json:"if"`
	// CheckOnly checks the condition and writes nothing.
	CheckOnly bool `json:"check-only,omitempty"`
	// Delete removes the row.
	Delete bool `json:"delete,omitempty"`
}

// VMState is the state of a VM in the platform's list.
type VMState string

// The states in the platform's list. A VM that is gone is not listed.
const (
	Live    VMState = "live"
	Leaving VMState = "leaving"
)

// Role says what runs on a VM.
type Role string

// The roles in the platform's list.
const (
	RoleEntry    Role = "entry"
	RoleUpstream Role = "upstream"
)

// VMInfo is one row of the platform's VM list, which lags behind the truth. Upstream VMs are listed too: that is how
// targets are found.
type VMInfo struct {
	// Name is the VM's name for an entry and the target's name for an upstream.
	Name  string      `json:"name"`
	Role  Role        `json:"role"`
	State VMState     `json:"state"`
	Place ident.Place `json:"place"`
	// Address is host:port for callers (entry) or for requests (upstream), with an IP address.
	Address string `json:"address"`
	// Control lists the host:port of the control ports of an entry VM: entry daemon, then steer daemon.
	Control []string `json:"control,omitempty"`
	// Service, Slots and Connections describe an upstream.
	Service     ident.Service `json:"service,omitempty"`
	Slots       ident.Slots   `json:"slots,omitempty"`
	Connections int32         `json:"connections,omitempty"`
}

// TxnRequest is the body of POST /txn.
type TxnRequest struct {
	Ops []Op `json:"ops"`
}

// TxnAnswer is the answer to POST /txn: the version of each row after the transaction.
type TxnAnswer struct {
	Versions []ident.Version `json:"versions"`
}

// ListAnswer is the answer to GET /table.
type ListAnswer struct {
	Rows []Row `json:"rows"`
}

// VMsAnswer is the answer to GET /vms.
type VMsAnswer struct {
	VMs []VMInfo `json:"vms"`
}
