package pick

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/currantpier/currantpier/hash"
	"github.com/currantpier/currantpier/ident"
)

const (
	// coldVMs is the number of VMs that may send requests to one cold target. The rate of a cold target is bounded in sum
	// over all VMs, and a small fixed number of senders keeps the sum of their bursts small.
	coldVMs = 3
	// coldFill is the part of a cold target's rate that is used. Two halves of the VMs that see each other as failed name
	// up to twice as many senders, so that the sum stays within 1.5 times the rate.
	coldFill = 0.6
)

// coldGate spaces the requests of this VM to a cold target.
type coldGate struct {
	// next is the earliest time of the next request.
	next time.Time
	gap  time.Duration
}

func (g *coldGate) take(now time.Time) { g.next = now.Add(g.gap) }

// mayWarm reports whether this VM may send a request to a cold target now.
func (p *Picker) mayWarm(now time.Time, t *target) bool {
	rate := p.specs[t.Service].WarmupRate
	if rate <= 0 || now.Before(t.cold.next) {
		return false
	}
	senders := p.warmers(t.ID)
	if !slices.Contains(senders, p.self) {
		return false
	}
	t.cold.gap = time.Duration(float64(len(senders)) / (rate * coldFill) * float64(time.Second))
	return true
}

// warmers returns the VMs that may send to a cold target, the same on every VM that knows the same VMs.
func (p *Picker) warmers(id ident.Target) []ident.VM {
	type scored struct {
		vm    ident.VM
		score uint64
	}
	h := xxhash.Sum64String(string(id))
	list := make([]scored, 0, len(p.vms))
	for _, vm := range p.vms {
		list = append(list, scored{vm, hash.Mix(h ^ xxhash.Sum64String(string(vm)))})
	}
	slices.SortFunc(list, func(a, b scored) int { return cmp.Compare(a.score, b.score) })
	list = list[:min(coldVMs, len(list))]
	vms := make([]ident.VM, 0, coldVMs)
	for _, s := range list {
		vms = append(vms, s.vm)
	}
	return vms
}
