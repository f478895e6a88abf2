// Package store is the HTTP client of the platform's transactional table, object store and VM list. Writes to the
// table are conditional requests (ETag and If-Match, RFC 9110). No other package depends on this HTTP interface.
package store

import "github.com/currantpier/currantpier/ident"

// Row is one row of the table.
type Row struct {
	// Key is a path whose parts are separated by '/', for example "lease/steer".
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Version counts the writes to the row. Zero means that the row does not exist.
	Version ident.Version `json:"version"`
	// Era is the era of the store when the row was read; zero if the store does not state it. The row may have been
	// written in an earlier era.
	Era ident.Era `json:"-"`
}

// Op is one operation of a transaction. Conditions of all operations are checked before any of them is applied.
type Op struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// IfVersion is the version that the row must have, in the era of the version. Zero requires that the row does not
	// exist.
	IfVersion ident.Version `json:"if"`
	// IfEra is the era that the store must have if IfVersion is zero; zero permits any. A caller that read the row
	// before sets it to Row.Era, since a row that is absent from a restored copy may have existed.
	IfEra ident.Era `json:"-"`
	// CheckOnly checks the condition without writing the row.
	CheckOnly bool `json:"check-only,omitempty"`
	// Delete removes the row instead of writing Value.
	Delete bool `json:"delete,omitempty"`
}

// VMState is the state of a VM in the platform's VM list.
type VMState string

// States of a listed VM. A VM that no longer exists is not listed.
const (
	Live    VMState = "live"
	Leaving VMState = "leaving"
)

// Role is the function of a VM.
type Role string

// Roles of a listed VM.
const (
	RoleEntry    Role = "entry"
	RoleUpstream Role = "upstream"
)

// VMInfo is one entry of the platform's VM list, which lags behind the actual set of VMs. It also lists upstream VMs,
// which is how entries discover targets.
type VMInfo struct {
	// Name is the VM name of an entry VM, or the target name of an upstream VM.
	Name  string      `json:"name"`
	Role  Role        `json:"role"`
	State VMState     `json:"state"`
	Place ident.Place `json:"place"`
	// Address is host:port with an IP address, on which an entry VM serves callers and an upstream VM serves
	// requests.
	Address string `json:"address"`
	// Control lists the control addresses (host:port) of an entry VM: first the entry daemon, then the steer daemon.
	Control []string `json:"control,omitempty"`
	// Service, Slots and Connections are set for upstream VMs only. Slots bounds concurrent requests, Connections
	// open connections.
	Service     ident.Service `json:"service,omitempty"`
	Slots       ident.Slots   `json:"slots,omitempty"`
	Connections int32         `json:"connections,omitempty"`
}

// TxnRequest is the body of POST /txn.
type TxnRequest struct {
	Ops []Op `json:"ops"`
}

// TxnResponse is the response body of POST /txn: the version of each row after the transaction.
type TxnResponse struct {
	Versions []ident.Version `json:"versions"`
}

// ListResponse is the response body of GET /table.
type ListResponse struct {
	Rows []Row `json:"rows"`
}

// VMsResponse is the response body of GET /vms.
type VMsResponse struct {
	VMs []VMInfo `json:"vms"`
}
