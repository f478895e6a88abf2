// Package probe asks targets how long they stay cold while the registry, which says so otherwise, can't be read. A target can become
// cold at any moment, and fails under the requests that a warm one takes.
//
// Health requests wait for a slot like others, so each target is asked by one VM: the first of the target's region by rendezvous
// hashing, which tells all others what it learns.
package probe

import (
	"maps"
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
	// interval is the time between two requests to a target. In that time a busy target gets fewer requests than a cold one
	// endures in a second.
	interval = 250 * time.Millisecond
)

// Planner decides which targets this VM asks. It is not safe for concurrent use.
type Planner struct {
	self ident.VM
	// asked has the time of the last request to each target that was asked less than interval ago.
	asked map[ident.Target]time.Time
	// pending are the targets whose answers are awaited.
	pending map[ident.Target]bool
}

// NewPlanner returns a planner for a VM.
func NewPlanner(self ident.VM) *Planner {
	return &Planner{self: self, asked: map[ident.Target]time.Time{}, pending: map[ident.Target]bool{}}
}

// untilStale returns the time until the registry is old enough that targets are asked, zero or less if it is. Confirmed is when the
// registry was last read or received.
func untilStale(now, confirmed time.Time) time.Duration { return staleAfter - now.Sub(confirmed) }

// Due returns the targets to ask now, with a registry that is old enough, and records them as asked. Group are the VMs of this VM's
// region that are alive.
func (p *Planner) Due(now time.Time, s *fleet.Snapshot, group []proto.VMInfo) []fleet.Target {
	if s.Config == nil || !s.RegistryRead {
		return nil
	}
	maps.DeleteFunc(p.asked, func(_ ident.Target, at time.Time) bool { return now.Sub(at) >= interval })
	vms := groupHashes(group)
	var due []fleet.Target
	for name, list := range s.Targets {
		svc := s.Config.Services[name]
		if svc.HealthPath == "" || svc.WarmupRate <= 0 {
			continue
		}
		for i := range list {
			if t := &list[i]; p.isDue(now, t) && p.isFirst(vms, t) {
				p.asked[t.ID], p.pending[t.ID] = now, true
				due = append(due, *t)
			}
		}
	}
	return due
}

// isDue reports whether a target may have become cold without this VM's knowledge, and was not asked just now.
func (p *Planner) isDue(now time.Time, t *fleet.Target) bool {
	_, justAsked := p.asked[t.ID]
	return !now.Before(t.ColdUntil) && !p.pending[t.ID] && !justAsked
}

// Done records that the answer of a target has arrived or is no longer awaited.
func (p *Planner) Done(t ident.Target) { delete(p.pending, t) }

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
