// Package stubs holds stand-ins for the platform and for upstreams, with switches for their faults. Tests and the
// local mode use them.
package stubs

import (
	"net/http"
	"time"

	"github.com/currantpier/currantpier/store"
)

// PlatformFaults are the fault switches of a Platform, as in the JSON body of POST /faults. Fields left out of the
// body keep their value.
type PlatformFaults struct {
	// Down answers every call with 503 and Not-Written: true.
	Down bool `json:"down"`
	// SlowMs delays each call by that many milliseconds before it takes effect. A write takes effect even if the caller
	// has gone by then. Setting faults again ends the delay of waiting calls.
	SlowMs int64 `json:"slow-ms"`
	// LoseAnswers is for how many writes the connection is closed after the write took effect.
	LoseAnswers int `json:"lose-answers"`
	// LoseRequests is for how many writes the connection is closed and nothing is written.
	LoseRequests int `json:"lose-requests"`
	// FreezeVMs stops changes of the VM list from showing.
	FreezeVMs bool `json:"freeze-vms"`
}

// PlatformCounts counts calls since the start, as in the JSON answer of GET /counts.
type PlatformCounts struct {
	Reads     int64 `json:"reads"`
	Writes    int64 `json:"writes"`
	Conflicts int64 `json:"conflicts"`
	Lost      int64 `json:"lost"`
}

// Platform stands in for the table, object store and VM list. It serves the routes of section 3.2 of the design and,
// for tests of processes: GET and POST /faults, GET /counts, PUT /vms/<name> (a store.VMInfo) and DELETE /vms/<name>.
type Platform struct {
	clock func() time.Time
	lag   time.Duration
}

// NewPlatform returns an empty platform whose VM list shows changes after lag. The clock is normally time.Now.
func NewPlatform(clock func() time.Time, lag time.Duration) *Platform {
	return &Platform{clock: clock, lag: lag}
}

// ServeHTTP answers one call.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {}

// SetFaults replaces the fault switches.
func (p *Platform) SetFaults(f PlatformFaults) {}

// Faults returns the fault switches; the counts in it fall as faults are used up.
func (p *Platform) Faults() PlatformFaults { return PlatformFaults{} }

// SetVM adds a VM or replaces its row. To mark a VM as leaving, set State.
func (p *Platform) SetVM(vm store.VMInfo) {}

// LeaveVM marks a VM as leaving.
func (p *Platform) LeaveVM(name string) {}

// RemoveVM removes a VM.
func (p *Platform) RemoveVM(name string) {}

// VMs returns the list as GET /vms shows it now.
func (p *Platform) VMs() []store.VMInfo { return nil }

// Row returns a row of the table without counting a read.
func (p *Platform) Row(key string) store.Row { return store.Row{} }

// Counts returns the counters.
func (p *Platform) Counts() PlatformCounts { return PlatformCounts{} }
