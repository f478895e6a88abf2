// Package member merges the platform's lagging VM list and the results of probes into one view of the entry VMs. A
// View has no clock, no I/O and no source of randomness besides its seed, and is not safe for concurrent use.
package member

import (
	"time"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/store"
)

// The times and counts of the rules.
const (
	// SuspectAfter is how many probes in a row must fail before a VM is suspected.
	SuspectAfter = 3
	// DeadAfter is how long probes of a VM that is gone from the list must fail before it is dead.
	DeadAfter = 10 * time.Second
	// GoneAfter is how long a VM that is gone from the list and answers probes is alive, and how long one that is gone
	// must not have been heard from before its slots are given to others.
	GoneAfter = 60 * time.Second
	// ForgetAfter is how long a dead VM is kept and probed now and then, in case the list is wrong.
	ForgetAfter = 10 * time.Minute
	// PeersPerSecond is how many VMs are probed each second.
	PeersPerSecond = 3
)

// State is what the view says of a VM.
type State uint8

// The states.
const (
	// Unknown VMs are not in the list and were not in it before.
	Unknown State = iota
	// Alive VMs take work.
	Alive
	// Suspected VMs come last in lookup answers and keep their slots.
	Suspected
	// Leaving VMs finish their work and get no new work.
	Leaving
	// Dead VMs are gone from the list and fail probes: their journals may be sealed.
	Dead
)

// String returns the name of the state in kebab case.
func (s State) String() string {
	return [...]string{"unknown", "alive", "suspected", "leaving", "dead"}[s]
}

// Member is one VM of the view.
type Member struct {
	VM    ident.VM
	Place ident.Place
	// Address is host:port for callers, and Control the control ports: entry daemon, then steer daemon.
	Address string
	Control []string
	// Incarnation is that of the entry process that answered last; zero if none did.
	Incarnation ident.Incarnation
	State       State
}

// View is the view of one process.
type View struct {
	self ident.VM
	seed uint64
	// records holds every VM that is listed or was, sorted by name.
	records []*record
	byName  map[ident.VM]*record
	// ring holds the same records except self, sorted by a hash of the seed and the name: the order of probes.
	ring []*record
	// listedAt is when the list was last read, firstList when it was first read.
	listedAt, firstList time.Time
	// second, peers and cursor belong to Peers.
	second int64
	peers  []ident.VM
	cursor uint64
	doubt  uint64
}

// NewView returns an empty view of the process on self. The seed spreads the probes of different processes.
func NewView(self ident.VM, seed uint64) *View {
	return &View{self: self, seed: seed, byName: map[ident.VM]*record{}}
}

type record struct {
	member Member
	order  uint64
}

// Platform takes over the platform's list as read at now. Upstream VMs are passed over. An empty list is ignored: it is
// a fault of the platform, since the reader itself runs on a VM.
func (v *View) Platform(now time.Time, list []store.VMInfo) {}

// Probe takes over the result of a probe of vm, direct and indirect together. For ok, inc is the incarnation of the
// entry process that answered; a new one means that the old process is dead. Any message from the process counts as ok.
func (v *View) Probe(now time.Time, vm ident.VM, ok bool, inc ident.Incarnation) {}

// Alive returns the Alive and Suspected members, sorted by name. Self is among them unless it is leaving.
func (v *View) Alive(now time.Time) []Member { return v.AppendAlive(nil, now) }

// AppendAlive appends the members that Alive returns to dst.
func (v *View) AppendAlive(dst []Member, now time.Time) []Member { return dst }

// All returns every member that is known, sorted by name, for a dump.
func (v *View) All(now time.Time) []Member { return nil }

// State returns the state of vm at now.
func (v *View) State(vm ident.VM, now time.Time) State { return Unknown }

// Dead reports whether the process inc of vm has ended for certain enough to seal its journal: another process with a
// later incarnation answered on the VM, or the VM is dead, or the VM was never listed although inc is old.
func (v *View) Dead(vm ident.VM, inc ident.Incarnation, now time.Time) bool { return false }

// Vacant reports whether the slots of vm may be given to others: gone from the list and not heard from for GoneAfter.
func (v *View) Vacant(vm ident.VM, now time.Time) bool { return false }

// ListAge returns the time since the platform's list was last read. It is GoneAfter times 1000 if it never was.
func (v *View) ListAge(now time.Time) time.Duration { return 0 }

// Peers returns the VMs to probe in the second of now, at most PeersPerSecond. Calls in the same second return the
// same VMs. VMs in doubt take up to two of the places; the others go round all VMs.
func (v *View) Peers(now time.Time) []ident.VM { return nil }
