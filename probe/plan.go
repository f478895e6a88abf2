// Package probe asks targets how long they stay cold where the registry, which says so otherwise, doesn't: while it can't be read, and
// after a connection to a target has failed. A target can become cold at any moment, also by starting again under its id, and fails
// under the requests that a warm one takes. Its registry entry describes the process that wrote it.
//
// Health requests wait for a slot like others, so each target is asked by one VM: the first of the target's region by rendezvous
// hashing, which tells all others what it learns. Only after a connection has ended the VM that had it asks,
// once, unless another VM has told what it knows before.
package probe

import (
	"maps"
	"math/rand"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/hash"
	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/proto"
)

const (
	// staleAfter is the age of the registry from which on targets are asked. While the store answers, the registry is read, or
	// received from another VM, about once a second.
	staleAfter = 1500 * time.Millisecond
	// askInterval is the time between two requests to a target. In that time a busy target gets fewer requests than a cold one
	// endures in a second.
	askInterval = 250 * time.Millisecond
)

// Planner decides which targets this VM asks. It is not safe for concurrent use.
type Planner struct {
	self ident.VM
	// asked has the time of the last request to each target that was asked less than askInterval ago.
	asked map[ident.Target]time.Time
	// pending are the requests whose answers are awaited.
	pending map[ident.Target]*pendingAnswer
	// delayed are the requests that wait for their delay.
	delayed map[ident.Target]delayedRequest
	rnd     *rand.Rand
}

// pendingAnswer is a request to a target whose answer is awaited.
type pendingAnswer struct {
	asked time.Time
	// overdue is set once the target was reported as cold because the answer takes too long.
	overdue bool
}

// NewPlanner returns a planner for a VM. Source makes the random delays.
func NewPlanner(self ident.VM, source rand.Source) *Planner {
	return &Planner{self: self, asked: map[ident.Target]time.Time{}, pending: map[ident.Target]*pendingAnswer{},
		delayed: map[ident.Target]delayedRequest{}, rnd: rand.New(source)}
}

// untilStale returns the time until the registry is old enough that targets are asked, zero or less if it is. Confirmed is when the
// registry was last read or received.
func untilStale(now, confirmed time.Time) time.Duration { return staleAfter - now.Sub(confirmed) }

// Due returns the targets to ask now, and records them as asked: those that are only assumed to be cold and, with a registry that is
// stale, those that may have become cold without this VM's knowledge. Group are the VMs of this VM's region that are alive.
func (p *Planner) Due(now time.Time, s *fleet.Snapshot, group []proto.VMInfo, stale bool) []fleet.Target {
	if s.Config == nil || !s.RegistryRead || !stale && s.AssumedCold == 0 {
		return nil
	}
	vms := groupHashes(group)
	var due []fleet.Target
	for name, list := range s.Targets {
		svc := s.Config.Services[name]
		if svc.HealthPath == "" || svc.WarmupRate <= 0 {
			continue
		}
		for i := range list {
			t := &list[i]
			cold := now.Before(t.ColdUntil)
			if (cold && t.ColdAssumed || !cold && stale) && p.isFirst(vms, t) && p.Ask(now, t.ID) {
				due = append(due, *t)
			}
		}
	}
	return due
}

// Ask records that a target is asked now. It reports false if it was asked just now, or its answer is still awaited.
func (p *Planner) Ask(now time.Time, t ident.Target) bool {
	if at, ok := p.asked[t]; ok && now.Sub(at) < askInterval || p.pending[t] != nil {
		return false
	}
	p.asked[t], p.pending[t] = now, &pendingAnswer{asked: now}
	return true
}

// Expire forgets the targets that were asked askInterval ago or earlier.
func (p *Planner) Expire(now time.Time) {
	maps.DeleteFunc(p.asked, func(_ ident.Target, at time.Time) bool { return now.Sub(at) >= askInterval })
}

// assumption returns the report that a target, whose process has ended, is cold. It reports false where that limits nothing, if the
// target is assumed to be cold for long enough, or if it has left or started again. Chosen is the target as it was when the request was
// sent: what is known of its warm-up may have changed since.
func assumption(now time.Time, s *fleet.Snapshot, chosen *fleet.Target) (fleet.ColdReport, bool) {
	t := find(s, chosen)
	if s.Config == nil || t == nil {
		return fleet.ColdReport{}, false
	}
	svc := s.Config.Services[t.Service]
	if svc.Warmup <= 0 || svc.WarmupRate <= 0 || t.ColdAssumed && t.ColdUntil.Sub(now) > svc.Warmup/2 {
		return fleet.ColdReport{}, false
	}
	return fleet.ColdReport{ID: t.ID, StartedUnixMS: t.StartedUnixMS, Left: svc.Warmup, Assumed: true, Refused: true}, true
}

// overdueAfter is the time without an answer after which a target may have become cold for longer than its rate allows, counted from
// the answer before.
const overdueAfter = 150 * time.Millisecond

// overdueWarmup is for how long a target counts as cold whose answer is overdue. It is renewed while the answer is awaited.
const overdueWarmup = time.Second

// Overdue returns reports of the targets whose answers are awaited for longer than overdueAfter. In a region that is isolated, where
// nothing else says that targets have become cold, one may have done so since its last answer: the request waits for a slot, and a
// busy target gets more requests meanwhile than a cold one endures.
func (p *Planner) Overdue(now time.Time, s *fleet.Snapshot) (reports []fleet.ColdReport) {
	if len(p.pending) == 0 {
		return nil
	}
	for _, list := range s.Targets {
		for i := range list {
			t := &list[i]
			a := p.pending[t.ID]
			if a == nil || now.Sub(a.asked) <= overdueAfter || t.ColdUntil.Sub(now) > overdueWarmup/2 {
				continue
			}
			a.overdue = true
			reports = append(reports, fleet.ColdReport{ID: t.ID, StartedUnixMS: t.StartedUnixMS, Left: overdueWarmup, Assumed: true})
		}
	}
	return reports
}

// Done records that the answer of a target has arrived or is no longer awaited. It reports whether the answer was overdue.
func (p *Planner) Done(t ident.Target) (overdue bool) {
	a := p.pending[t]
	delete(p.pending, t)
	return a != nil && a.overdue
}

// vmHash is the hash of a VM's name.
type vmHash struct {
	vm     ident.VM
	region ident.Region
	hash   uint64
}

func groupHashes(group []proto.VMInfo) []vmHash {
	list := make([]vmHash, len(group))
	for i, info := range group {
		list[i] = vmHash{info.VM, info.Place.Region, xxhash.Sum64String(string(info.VM))}
	}
	return list
}

// isFirst reports whether this VM is the one of its region that asks the target. The targets of other regions are asked there.
func (p *Planner) isFirst(vms []vmHash, t *fleet.Target) bool {
	target := xxhash.Sum64String(string(t.ID))
	var first ident.VM
	least := uint64(0)
	for _, v := range vms {
		if v.region != t.Place.Region {
			continue
		}
		if h := hash.Mix(target ^ v.hash); first == "" || h < least {
			first, least = v.vm, h
		}
	}
	return first == p.self
}
