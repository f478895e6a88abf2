// Package member merges the platform's lagging VM list and the results of probes into one view of the entry VMs. A
// View has no clock, no I/O and no source of randomness besides its seed, and is not safe for concurrent use.
package member

import (
	"cmp"
	"math"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

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
	// PeersPerSecond is how many VMs are probed each second while few are in doubt.
	PeersPerSecond = 3
	// ExtraPerSecond bounds the further probes of VMs that wait for a verdict. A failure domain of 55 VMs is probed
	// within 2 s, so its verdict comes 11 s after the list has changed, and the duration of one probe.
	ExtraPerSecond = 28
	// RecoverPerSecond bounds the further probes of VMs whose state changes only if they answer. Together with the
	// ordinary probes, a region of 128 VMs is probed every DeadAfter.
	RecoverPerSecond = 11
	// MaxPerSecond is the largest number of VMs that Peers returns.
	MaxPerSecond = PeersPerSecond + ExtraPerSecond + RecoverPerSecond
	// extraSpacing is the shortest time between extra probes of a VM that waits for a verdict: three of them, which a
	// verdict needs, span DeadAfter.
	extraSpacing = DeadAfter / (SuspectAfter - 1)
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
	// records holds every VM that is listed, was, or was heard from, sorted by name.
	records []*record
	byName  map[ident.VM]*record
	// ring holds the records except self, sorted by a hash of the seed and the name: the order of probes.
	ring []*record
	// listedAt is when the list was last read, firstList when it was first read; zero if never.
	listedAt, firstList time.Time
	// reads counts the lists read.
	reads uint64
	// second is the second, since the Unix epoch, that peers belongs to.
	second int64
	peers  []ident.VM
	// round, doubt, extra and recover are the places in the ring where the round of all VMs, that of the VMs in doubt
	// and those of the further probes go on.
	round, doubt, extra, recover uint64
}

// record is what is known of one VM.
type record struct {
	member Member
	// order is the place in the ring.
	order uint64
	// read is the value of View.reads at which the VM was listed last; zero if it never was.
	read uint64
	// leaving is the state in the list when the VM was listed last.
	leaving bool
	// goneAt is when the list was first read without the VM, or when a VM that was never listed was first heard from.
	// It is zero while the VM is listed.
	goneAt time.Time
	// askedAt is when Peers last returned the VM, heardAt when the VM last answered; zero if never.
	askedAt, heardAt time.Time
	// fails counts the failed probes since heardAt; failedFrom and failedTo are the times of the first and the last.
	fails                int
	failedFrom, failedTo time.Time
}

// NewView returns an empty view of the process on self. The seed spreads the probes of different processes.
func NewView(self ident.VM, seed uint64) *View {
	return &View{self: self, seed: seed, byName: map[ident.VM]*record{}}
}

// Platform takes over the platform's list as read at now. Upstream VMs are passed over. A list without an entry VM is
// ignored as a fault of the platform, since the reader itself runs on one. The view keeps the Control slices.
func (v *View) Platform(now time.Time, list []store.VMInfo) {
	if !slices.ContainsFunc(list, func(vm store.VMInfo) bool { return vm.Role == store.RoleEntry }) {
		return
	}
	v.reads++
	v.listedAt = now
	if v.firstList.IsZero() {
		v.firstList = now
	}
	known := len(v.records)
	for i := range list {
		if list[i].Role == store.RoleEntry {
			v.list(&list[i])
		}
	}
	for _, r := range v.records {
		if r.read != v.reads && r.goneAt.IsZero() {
			r.goneAt = now
		}
	}
	all := len(v.records)
	v.records = slices.DeleteFunc(v.records, func(r *record) bool { return v.forget(r, now) })
	if all != known || all != len(v.records) {
		v.sort()
	}
}

func (v *View) list(vm *store.VMInfo) {
	r := v.record(ident.VM(vm.Name))
	r.member.Place, r.member.Address, r.member.Control = vm.Place, vm.Address, vm.Control
	r.read, r.leaving, r.goneAt = v.reads, vm.State == store.Leaving, time.Time{}
}

// record returns the record of vm and adds one at the end if there is none.
func (v *View) record(vm ident.VM) *record {
	if r, ok := v.byName[vm]; ok {
		return r
	}
	h := xxhash.NewWithSeed(v.seed)
	h.WriteString(string(vm)) // never fails
	r := &record{member: Member{VM: vm}, order: h.Sum64()}
	v.byName[vm] = r
	v.records = append(v.records, r)
	return r
}

// forget removes a dead VM from the index after ForgetAfter, and also one that was only heard from.
func (v *View) forget(r *record, now time.Time) bool {
	old := !r.goneAt.IsZero() && now.Sub(later(r.goneAt, r.heardAt)) >= ForgetAfter
	if !old || r.member.VM == v.self || r.read != 0 && v.state(r, now) != Dead {
		return false
	}
	delete(v.byName, r.member.VM)
	return true
}

func (v *View) sort() {
	slices.SortFunc(v.records, func(a, b *record) int { return cmp.Compare(a.member.VM, b.member.VM) })
	v.ring = slices.DeleteFunc(slices.Clone(v.records), func(r *record) bool { return r.member.VM == v.self })
	slices.SortFunc(v.ring, func(a, b *record) int { return cmp.Compare(a.order, b.order) })
}

// Probe takes over the result of a probe of vm, direct and indirect together, known at now. For ok, inc is the
// incarnation of the entry process that answered, zero if it is not known; a later one than before means that the
// earlier process is dead, and an answer of an earlier one is ignored. Any message from the process counts as ok. A
// process reports its own incarnation the same way.
func (v *View) Probe(now time.Time, vm ident.VM, ok bool, inc ident.Incarnation) {
	r, known := v.byName[vm]
	if !ok {
		if known {
			r.fail(now)
		}
		return
	}
	if !known {
		r = v.record(vm)
		r.goneAt = now
		v.sort()
	}
	if inc != 0 && inc < r.member.Incarnation {
		return
	}
	if inc != 0 {
		r.member.Incarnation = inc
	}
	r.heardAt, r.fails = now, 0
}

func (r *record) fail(now time.Time) {
	if r.fails == 0 {
		r.failedFrom = now
	}
	r.fails++
	r.failedTo = now
}

// Alive returns the Alive and Suspected members, sorted by name. Self is among them unless it is leaving. VMs that were
// never listed are left out, since their address is not known.
func (v *View) Alive(now time.Time) []Member {
	return v.AppendAlive(make([]Member, 0, len(v.records)), now)
}

// AppendAlive appends the members that Alive returns to dst.
func (v *View) AppendAlive(dst []Member, now time.Time) []Member {
	for _, r := range v.records {
		if s := v.state(r, now); (s == Alive || s == Suspected) && r.read != 0 {
			dst = append(dst, r.member)
			dst[len(dst)-1].State = s
		}
	}
	return dst
}

// All returns every member that is known, sorted by name.
func (v *View) All(now time.Time) []Member {
	all := make([]Member, len(v.records))
	for i, r := range v.records {
		all[i] = r.member
		all[i].State = v.state(r, now)
	}
	return all
}

// State returns the state of vm at now.
func (v *View) State(vm ident.VM, now time.Time) State {
	if r, ok := v.byName[vm]; ok {
		return v.state(r, now)
	}
	return Unknown
}

func (v *View) state(r *record, now time.Time) State {
	listed := r.goneAt.IsZero()
	switch self := r.member.VM == v.self; {
	case listed && r.leaving:
		return Leaving
	case listed && !self && r.fails >= SuspectAfter:
		return Suspected
	case listed:
		return Alive
	case !self && r.dead():
		return Dead
	case r.leaving || now.Sub(r.goneAt) >= GoneAfter:
		return Leaving
	case !self && r.fails > 0:
		return Suspected
	}
	return Alive
}

// dead reports whether probes failed for DeadAfter. The time runs to the last failed probe and not to the present: a
// process that was paused made no probes meanwhile.
func (r *record) dead() bool {
	return r.fails >= SuspectAfter && r.failedTo.Sub(r.failedFrom) >= DeadAfter
}

// Dead reports whether the journal of the process inc of vm may be sealed: a later process answered on the VM, or the
// VM is dead, or the VM is not known although it would be in the list if the process were there. Sealing the journal of
// a process that runs after all stops its orders and lets none run twice.
func (v *View) Dead(vm ident.VM, inc ident.Incarnation, now time.Time) bool {
	r, ok := v.byName[vm]
	if !ok {
		return v.neverListed(inc)
	}
	return inc < r.member.Incarnation || v.state(r, now) == Dead
}

// neverListed reports whether a process started at inc would have been seen in the list by now.
func (v *View) neverListed(inc ident.Incarnation) bool {
	if v.firstList.IsZero() || inc > math.MaxInt64 {
		return false
	}
	limit := v.listedAt.Add(-GoneAfter)
	return !v.firstList.After(limit) && !time.Unix(0, int64(inc)).After(limit)
}

// Vacant reports whether the slots of vm may be given to others: the VM is dead, and it has been gone from the list and
// not heard from for GoneAfter. For a VM that is not known, the list must have been read without it for that time.
func (v *View) Vacant(vm ident.VM, now time.Time) bool {
	r, ok := v.byName[vm]
	if !ok {
		return v.neverListed(0)
	}
	return v.state(r, now) == Dead && now.Sub(later(r.goneAt, r.heardAt)) >= GoneAfter
}

// ListAge returns the time since the platform's list was last read, and false if it never was.
func (v *View) ListAge(now time.Time) (time.Duration, bool) {
	return now.Sub(v.listedAt), !v.listedAt.IsZero()
}

// Peers returns the VMs to probe in the second of now, at most MaxPerSecond. Calls in the same second return the same
// VMs. VMs that are gone or failed their last probe, and are not yet dead, take up to two of the first PeersPerSecond
// places in turn. The other places go round all VMs. Further VMs are added only while more than two are in doubt.
func (v *View) Peers(now time.Time) []ident.VM {
	if s := now.Unix(); s != v.second || v.peers == nil {
		v.second = s
		v.peers = make([]ident.VM, 0, PeersPerSecond)
		v.choose(now, &v.doubt, PeersPerSecond-1, func(r *record) bool { return v.inDoubt(r, now) })
		v.choose(now, &v.round, PeersPerSecond, func(*record) bool { return true })
		v.choose(now, &v.extra, len(v.peers)+ExtraPerSecond, func(r *record) bool {
			return v.inDoubt(r, now) && r.pending() && r.due(now)
		})
		v.choose(now, &v.recover, len(v.peers)+RecoverPerSecond, func(r *record) bool {
			return v.inDoubt(r, now) && !r.pending() && now.Sub(r.askedAt) >= DeadAfter
		})
	}
	return slices.Clone(v.peers)
}

func (v *View) inDoubt(r *record, now time.Time) bool {
	return (r.fails > 0 || !r.goneAt.IsZero()) && v.state(r, now) != Dead
}

// pending reports whether more failed probes of a VM in doubt change what others do. A VM that left in order has
// sealed its journal, and one that is listed is suspected for as long as it doesn't answer.
func (r *record) pending() bool {
	return !r.leaving && (!r.goneAt.IsZero() || r.fails < SuspectAfter)
}

// due reports whether a VM that waits for a verdict was not probed for extraSpacing, or was not probed since it is gone
// or since its failures can be long enough.
func (r *record) due(now time.Time) bool {
	if now.Sub(r.askedAt) >= extraSpacing || r.askedAt.Before(r.goneAt) {
		return true
	}
	spans := r.failedFrom.Add(DeadAfter)
	return r.fails > 0 && !now.Before(spans) && r.askedAt.Before(spans)
}

// choose adds the next VMs of the ring after the place from that are wanted, until there are limit peers. The place is
// a hash and not an index, so VMs that come and go don't make the round skip others.
func (v *View) choose(now time.Time, from *uint64, limit int, want func(*record) bool) {
	start := sort.Search(len(v.ring), func(i int) bool { return v.ring[i].order > *from })
	for i := range v.ring {
		if len(v.peers) == limit {
			return
		}
		r := v.ring[(start+i)%len(v.ring)]
		if r.read != 0 && want(r) && !slices.Contains(v.peers, r.member.VM) {
			v.peers = append(v.peers, r.member.VM)
			*from, r.askedAt = r.order, now
		}
	}
}

// Through returns the member by which vm is probed again after a direct probe failed, and false if none is needed or
// there is none. It is needed if the failure would complete or confirm a verdict. The choice differs between processes,
// since the ring does, and between VMs and seconds: if all asked the same member, it would get the indirect probes of
// the whole deployment.
func (v *View) Through(now time.Time, vm ident.VM) (Member, bool) {
	r, ok := v.byName[vm]
	if !ok || r.fails < SuspectAfter-1 || len(v.ring) == 0 {
		return Member{}, false
	}
	start := xxhash.Sum64String(string(vm)) + uint64(now.Unix())
	for i := range uint64(len(v.ring)) {
		o := v.ring[(start+i)%uint64(len(v.ring))]
		if o != r && o.read != 0 && len(o.member.Control) > 0 && o.fails == 0 && v.state(o, now) == Alive {
			m := o.member
			m.State = Alive
			return m, true
		}
	}
	return Member{}, false
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
