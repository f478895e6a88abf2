// Package member merges the platform's delayed VM list and the results of probes into one view of the entry VMs. A View
// has no clock, no I/O and no source of randomness except its seed, and is not safe for concurrent use.
package member

import (
	"cmp"
	"math"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/span"
	"github.com/currantpier/currantpier/store"
)

const (
	// SuspectFailures is how many probes in a row must fail before a VM is suspected.
	SuspectFailures = 3
	// DeadFailureSpan is how long probes of a VM that is missing from the list must fail before it is dead.
	DeadFailureSpan = 10 * time.Second
	// MissingTimeout is how long a VM that is missing from the list stays alive while it answers probes, and how long a
	// missing VM must not have answered before its slots are given to others.
	MissingTimeout = 60 * time.Second
	// DeadRetention is how long a dead VM is kept and occasionally probed, in case the list is wrong.
	DeadRetention = 10 * time.Minute
	// ProbesPerSecond is how many VMs are probed each second while at most two are in doubt.
	ProbesPerSecond = 3
	// UndecidedProbesPerSecond bounds the additional probes of VMs whose state is undecided. A failure domain of 55 VMs
	// is probed within 2 s, so all of it is dead 11 s, and the duration of one probe, after the list has changed.
	UndecidedProbesPerSecond = 28
	// RecoveryProbesPerSecond bounds the additional probes of VMs whose state changes only if they answer. Together
	// with the ordinary probes, a region of 128 VMs is probed every DeadFailureSpan.
	RecoveryProbesPerSecond = 11
	// MaxProbesPerSecond is the largest number of VMs that ProbeTargets returns.
	MaxProbesPerSecond = ProbesPerSecond + UndecidedProbesPerSecond + RecoveryProbesPerSecond
	// maxRunInterval is the interval between two calls of ProbeTargets, which is called each second, from which the process
	// counts as paused in between.
	maxRunInterval = 5 * time.Second
	// extraSpacing is the minimum time between additional probes of an undecided VM: the three failures that make it
	// dead span DeadFailureSpan.
	extraSpacing = DeadFailureSpan / (SuspectFailures - 1)
)

// State is the state of a VM in a view.
type State uint8

// The states.
const (
	// Unknown VMs have no record: they were never listed and never answered, or they were removed after DeadRetention.
	Unknown State = iota
	// Alive VMs take work.
	Alive
	// Suspected VMs come last in lookup answers and keep their slots.
	Suspected
	// Leaving VMs finish their work and get no new work.
	Leaving
	// Dead VMs are missing from the list and fail probes: their journals may be sealed.
	Dead
)

// String returns the name of the state in kebab case.
func (s State) String() string {
	return [...]string{"unknown", "alive", "suspected", "leaving", "dead"}[s]
}

// Member is one VM of a view.
type Member struct {
	VM    ident.VM
	Place ident.Place
	// Address is the host:port for callers, and Control has the control addresses: entry daemon, then steer daemon.
	Address string
	Control []string
	// Incarnation is the latest incarnation of an entry process that answered; zero if none did.
	Incarnation ident.Incarnation
	State       State
}

// View is the membership view of one process.
type View struct {
	self ident.VM
	seed uint64
	// records has every VM that is or was listed or has answered, sorted by name.
	records []*record
	byName  map[ident.VM]*record
	// ring has the records except that of self, in the order of probes: sorted by a hash of the seed and the name.
	ring []*record
	// listedAt is when the list was last read, firstListAt when it was first read; zero if never.
	listedAt, firstListAt time.Time
	// runAt is the time of the last call of ProbeTargets, zero before the first. resumedAt is the end of the last pause.
	runAt, resumedAt time.Time
	// listReads counts the lists read.
	listReads uint64
	// peersSecond is the second, since the Unix epoch, for which peers was chosen.
	peersSecond int64
	peers       []ident.VM
	// Each cursor is the ring hash of the VM that was chosen last: in the round of all VMs, among the VMs in doubt,
	// among the undecided ones and among those that can only recover.
	roundCursor, doubtCursor, undecidedCursor, recoverCursor uint64
}

// record is the data on one VM.
type record struct {
	member Member
	// ringHash is the position in the ring.
	ringHash uint64
	// lastListRead is the value of View.listReads at which the VM was listed last; zero if it never was.
	lastListRead uint64
	// leaving is set if the VM was leaving when it was listed last.
	leaving bool
	// missingSince is when the list was first read without the VM, or when a VM that was never listed first answered.
	// It is zero while the VM is listed.
	missingSince time.Time
	// chosenAt is when ProbeTargets last returned the VM, answeredAt when the VM last answered; zero if never.
	chosenAt, answeredAt time.Time
	// failures counts the failed probes since answeredAt; firstFailureAt and lastFailureAt are the times of the first
	// and the last.
	failures                      int
	firstFailureAt, lastFailureAt time.Time
}

// NewView returns an empty view for the process on VM self. Views with different seeds probe in different orders.
func NewView(self ident.VM, seed uint64) *View {
	return &View{self: self, seed: seed, byName: map[ident.VM]*record{}}
}

// ApplyList applies the platform's VM list as read at now. Upstream VMs are skipped. A list without an entry VM is
// ignored as a fault of the platform, since the reader itself runs on one. The view keeps the Control slices.
func (v *View) ApplyList(now time.Time, list []store.VMInfo) {
	if !slices.ContainsFunc(list, func(vm store.VMInfo) bool { return vm.Role == store.RoleEntry }) {
		return
	}
	v.listReads++
	v.listedAt = now
	if v.firstListAt.IsZero() {
		v.firstListAt = now
	}
	known := len(v.records)
	for i := range list {
		if list[i].Role == store.RoleEntry {
			v.applyListed(&list[i])
		}
	}
	for _, r := range v.records {
		if r.lastListRead != v.listReads && r.missingSince.IsZero() {
			r.missingSince = now
		}
	}
	all := len(v.records)
	v.records = slices.DeleteFunc(v.records, func(r *record) bool { return v.forget(r, now) })
	if all != known || all != len(v.records) {
		v.sortRecords()
	}
}

func (v *View) applyListed(vm *store.VMInfo) {
	r := v.record(ident.VM(vm.Name))
	r.member.Place, r.member.Address, r.member.Control = vm.Place, vm.Address, vm.Control
	r.lastListRead, r.leaving, r.missingSince = v.listReads, vm.State == store.Leaving, time.Time{}
}

// record returns the record of vm, and appends a new one if there is none.
func (v *View) record(vm ident.VM) *record {
	if r, ok := v.byName[vm]; ok {
		return r
	}
	h := xxhash.NewWithSeed(v.seed)
	h.WriteString(string(vm)) // never fails
	r := &record{member: Member{VM: vm}, ringHash: h.Sum64()}
	v.byName[vm] = r
	v.records = append(v.records, r)
	return r
}

// forget reports whether a record is to be removed, and removes it from byName: that of a dead VM after DeadRetention,
// and that of a VM which was never listed and has not answered for that time. A pause of this process does not count.
func (v *View) forget(r *record, now time.Time) bool {
	expired := !r.missingSince.IsZero() && now.Sub(v.unseenSince(r)) >= DeadRetention
	if !expired || r.member.VM == v.self || r.lastListRead != 0 && v.state(r, now) != Dead {
		return false
	}
	delete(v.byName, r.member.VM)
	return true
}

func (v *View) sortRecords() {
	slices.SortFunc(v.records, func(a, b *record) int { return cmp.Compare(a.member.VM, b.member.VM) })
	v.ring = slices.DeleteFunc(slices.Clone(v.records), func(r *record) bool { return r.member.VM == v.self })
	slices.SortFunc(v.ring, func(a, b *record) int { return cmp.Compare(a.ringHash, b.ringHash) })
}

// RecordProbe applies the result of a probe of vm, direct and indirect together, obtained at now. If ok is set, inc is the
// incarnation of the entry process that answered, or zero if it is not known; a later one than before means that the
// earlier process is dead, and an answer from an earlier one is ignored. Any message from the process counts as ok. A
// process reports its own incarnation in the same way.
func (v *View) RecordProbe(now time.Time, vm ident.VM, ok bool, inc ident.Incarnation) {
	r, known := v.byName[vm]
	if !ok {
		if known {
			r.recordFailure(now)
		}
		return
	}
	if !known {
		r = v.record(vm)
		r.missingSince = now
		v.sortRecords()
	}
	if inc != 0 && inc < r.member.Incarnation {
		return
	}
	if inc != 0 {
		r.member.Incarnation = inc
	}
	r.answeredAt, r.failures = now, 0
}

func (r *record) recordFailure(now time.Time) {
	if r.failures == 0 {
		r.firstFailureAt = now
	}
	r.failures++
	r.lastFailureAt = now
}

// Alive returns the Alive and Suspected members, sorted by name. Self is included unless it is leaving. VMs that were
// never listed are omitted, since their address is not known.
func (v *View) Alive(now time.Time) []Member {
	return v.AppendAlive(make([]Member, 0, len(v.records)), now)
}

// AppendAlive appends to dst the members that Alive returns.
func (v *View) AppendAlive(dst []Member, now time.Time) []Member {
	for _, r := range v.records {
		if s := v.state(r, now); (s == Alive || s == Suspected) && r.lastListRead != 0 {
			dst = append(dst, r.member)
			dst[len(dst)-1].State = s
		}
	}
	return dst
}

// All returns all members, sorted by name.
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
	listed := r.missingSince.IsZero()
	switch self := r.member.VM == v.self; {
	case listed && r.leaving:
		return Leaving
	case listed && !self && r.failures >= SuspectFailures:
		return Suspected
	case listed:
		return Alive
	case !self && r.failedForSpan() && !v.paused(now):
		return Dead
	case r.leaving || now.Sub(r.missingSince) >= MissingTimeout:
		return Leaving
	case !self && r.failures > 0:
		return Suspected
	}
	return Alive
}

// failedForSpan reports whether probes failed for DeadFailureSpan. The time ends at the last failed probe and not at the
// present, since a process that was paused made no probes meanwhile.
func (r *record) failedForSpan() bool {
	return r.failures >= SuspectFailures && r.lastFailureAt.Sub(r.firstFailureAt) >= DeadFailureSpan
}

// ProcessDead reports whether the journal of the process inc on vm may be sealed: a later process answered on the VM, or the
// VM is dead, or the VM has no record although a running process would have been listed by now. If the journal is
// sealed although the process runs, its orders stop and none runs twice.
func (v *View) ProcessDead(vm ident.VM, inc ident.Incarnation, now time.Time) bool {
	r, ok := v.byName[vm]
	if !ok {
		return v.wouldBeListed(inc)
	}
	return inc < r.member.Incarnation || v.state(r, now) == Dead
}

// wouldBeListed reports whether a VM without a record would have been listed by now if a process had started on it at
// inc.
func (v *View) wouldBeListed(inc ident.Incarnation) bool {
	if v.firstListAt.IsZero() || inc > math.MaxInt64 {
		return false
	}
	limit := v.listedAt.Add(-MissingTimeout)
	return !later(v.firstListAt, v.resumedAt).After(limit) && !time.Unix(0, int64(inc)).After(limit)
}

// SlotsReclaimable reports whether the slots of vm may be given to others: the VM is dead, and for MissingTimeout it has been
// missing from the list and has not answered, while this process ran without a pause. For a VM without a record, lists must have been read without it for that
// time.
func (v *View) SlotsReclaimable(vm ident.VM, now time.Time) bool {
	r, ok := v.byName[vm]
	if !ok {
		return v.wouldBeListed(0)
	}
	return v.state(r, now) == Dead && now.Sub(v.unseenSince(r)) >= MissingTimeout
}

// unseenSince returns the time since which a VM that is missing from the list has not been seen by this process, which has
// run without a pause since then.
func (v *View) unseenSince(r *record) time.Time {
	return later(later(r.missingSince, r.answeredAt), v.resumedAt)
}

// paused reports whether this process has not run for so long that its evidence is out of date at now.
func (v *View) paused(now time.Time) bool {
	return !v.runAt.IsZero() && span.Elapsed(v.runAt, now) > maxRunInterval
}

// recordRun records that the process runs at now. After a pause, VMs must fail probes anew for DeadFailureSpan before they
// are dead: each of them may have answered others meanwhile.
func (v *View) recordRun(now time.Time) {
	if v.paused(now) {
		v.resumedAt = now
		for _, r := range v.records {
			if r.failures > 0 {
				r.failures = min(r.failures, SuspectFailures)
				r.firstFailureAt, r.lastFailureAt = now, now
			}
		}
	}
	v.runAt = now
}

// ListAge returns the time since the platform's list was last read, and false if it was never read.
func (v *View) ListAge(now time.Time) (time.Duration, bool) {
	return now.Sub(v.listedAt), !v.listedAt.IsZero()
}

// ProbeTargets returns the VMs to probe in the second of now, at most MaxProbesPerSecond. Calls in the same second return the same
// VMs. VMs in doubt, which are missing from the list or failed their last probe and are not yet dead, take up to two of
// the first ProbesPerSecond places in turn. The other places go to all VMs in turn. Additional VMs are returned only
// while more than two are in doubt.
func (v *View) ProbeTargets(now time.Time) []ident.VM {
	v.recordRun(now)
	if s := now.Unix(); s != v.peersSecond || v.peers == nil {
		v.peersSecond = s
		v.peers = make([]ident.VM, 0, ProbesPerSecond)
		v.choose(now, &v.doubtCursor, ProbesPerSecond-1, func(r *record) bool { return v.inDoubt(r, now) })
		v.choose(now, &v.roundCursor, ProbesPerSecond, func(*record) bool { return true })
		v.choose(now, &v.undecidedCursor, len(v.peers)+UndecidedProbesPerSecond, func(r *record) bool {
			return v.inDoubt(r, now) && r.undecided() && r.probeDue(now)
		})
		v.choose(now, &v.recoverCursor, len(v.peers)+RecoveryProbesPerSecond, func(r *record) bool {
			return v.inDoubt(r, now) && !r.undecided() && now.Sub(r.chosenAt) >= DeadFailureSpan
		})
	}
	return slices.Clone(v.peers)
}

func (v *View) inDoubt(r *record, now time.Time) bool {
	return (r.failures > 0 || !r.missingSince.IsZero()) && v.state(r, now) != Dead
}

// undecided reports whether further failed probes of a VM in doubt can change its state. A VM that was leaving has
// sealed its journal, and a listed VM stays suspected for as long as it does not answer.
func (r *record) undecided() bool {
	return !r.leaving && (!r.missingSince.IsZero() || r.failures < SuspectFailures)
}

// probeDue reports whether an undecided VM was not chosen for extraSpacing, or not since it went missing, or not since
// its failures could first span DeadFailureSpan.
func (r *record) probeDue(now time.Time) bool {
	if now.Sub(r.chosenAt) >= extraSpacing || r.chosenAt.Before(r.missingSince) {
		return true
	}
	spansAt := r.firstFailureAt.Add(DeadFailureSpan)
	return r.failures > 0 && !now.Before(spansAt) && r.chosenAt.Before(spansAt)
}

// choose appends VMs that match to v.peers, in the order of the ring after the cursor, until there are limit peers. The
// cursor is a hash and not an index, so that VMs are not skipped when others come and go.
func (v *View) choose(now time.Time, cursor *uint64, limit int, match func(*record) bool) {
	start := sort.Search(len(v.ring), func(i int) bool { return v.ring[i].ringHash > *cursor })
	for i := range v.ring {
		if len(v.peers) == limit {
			return
		}
		r := v.ring[(start+i)%len(v.ring)]
		if r.lastListRead != 0 && match(r) && !slices.Contains(v.peers, r.member.VM) {
			v.peers = append(v.peers, r.member.VM)
			*cursor, r.chosenAt = r.ringHash, now
		}
	}
}

// ProbeVia returns the member through which vm is probed indirectly after a direct probe failed, and false if no
// indirect probe is needed or no member is suitable. It is needed if the failure would make the VM suspected or dead,
// or confirm that it is. The choice differs between processes, because their rings differ, and between VMs and seconds:
// if all processes chose the same member, it would get the indirect probes of the whole deployment.
func (v *View) ProbeVia(now time.Time, vm ident.VM) (Member, bool) {
	r, ok := v.byName[vm]
	if !ok || r.failures < SuspectFailures-1 || len(v.ring) == 0 {
		return Member{}, false
	}
	start := xxhash.Sum64String(string(vm)) + uint64(now.Unix())
	for i := range uint64(len(v.ring)) {
		o := v.ring[(start+i)%uint64(len(v.ring))]
		if o != r && o.lastListRead != 0 && len(o.member.Control) > 0 && o.failures == 0 && v.state(o, now) == Alive {
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
