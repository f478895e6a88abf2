package quota

import (
	"time"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/proto"
)

// regionParts counts the failure domains of the region whose parts the pools of this VM have: its own, and each other one that has
// live VMs, from some time after it was first seen. Behind a partition inside the region each side has the parts of its own failure
// domains; when the partition ends, the pool of the other side may have granted or lent its parts just before. Two sides may notice
// the same change up to detectTime apart: a link that works for less than a heartbeat interval may carry heartbeats one way only.
type regionParts struct {
	// domains is the number of failure domains of the region in the settings.
	domains int
	counted int
	// countFrom is when each other failure domain that is seen counts.
	countFrom map[ident.Domain]time.Time
	// ownFrom is when new pools of this VM may use their own shares. A VM behind a partition can't know whether the other side has
	// noticed the partition yet; until it has, the other side's pool has the parts of both.
	ownFrom time.Time
	// starting says that the VM has started and has not yet seen all failure domains. Once it has, the other VMs have seen it too, and
	// ownFrom is lenderLife later.
	starting bool
}

// start begins with the own failure domain.
func (r *regionParts) start(now time.Time) {
	r.counted, r.countFrom, r.starting = 1, map[ident.Domain]time.Time{}, true
	if r.domains > 1 {
		r.ownFrom = now.Add(detectTime + lenderLife)
	}
}

// reset is called after a pause. The list of live VMs may be as old as the pause is long, so it doesn't end the wait for ownFrom.
func (r *regionParts) reset(now time.Time) {
	r.start(now)
	r.starting = false
}

// see applies a list of live VMs.
func (r *regionParts) see(now time.Time, self ident.Place, vms []proto.VMInfo) {
	before := r.countFrom
	r.countFrom = map[ident.Domain]time.Time{}
	for i := range vms {
		p := &vms[i].Place
		if p.Region != self.Region || p.Domain == self.Domain {
			continue
		}
		from, ok := before[p.Domain]
		if !ok && r.starting {
			from = now.Add(lenderLife)
		} else if !ok {
			from = now.Add(detectTime + lenderLife)
		}
		r.countFrom[p.Domain] = from
	}
	for d := range before {
		if _, ok := r.countFrom[d]; !ok {
			r.ownFrom = now.Add(detectTime + lenderLife)
		}
	}
	if r.starting && len(r.countFrom)+1 >= r.domains {
		r.starting = false
		if from := now.Add(lenderLife); from.Before(r.ownFrom) {
			r.ownFrom = from
		}
	}
	r.count(now)
}

// startTogether counts all failure domains that are seen, from the given time on.
func (r *regionParts) startTogether(from time.Time) {
	r.starting, r.ownFrom = false, from
	for d := range r.countFrom {
		r.countFrom[d] = from
	}
}

// count updates counted, and reports whether it changed.
func (r *regionParts) count(now time.Time) bool {
	before := r.counted
	r.counted = 1
	for _, from := range r.countFrom {
		if !now.Before(from) {
			r.counted++
		}
	}
	return r.counted != before
}
