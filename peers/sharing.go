package peers

import (
	"time"

	"github.com/currantpier/currantpier/ident"
)

const (
	// sharingTimeout is how long a VM without heartbeats still counts among those that divide the limits of targets. It
	// may be cut off from this VM and still send requests: if the sides of a partition removed each other, each would
	// use the whole limit.
	sharingTimeout = removeAfter
	// unheardSharingTimeout is how long after the start of this process VMs without any received heartbeat count as
	// well.
	unheardSharingTimeout = sharingTimeout
)

// SharingVMs returns the VMs that may send requests to the same targets, including this one. It rather returns too many,
// so that both sides of a partition divide the limits by the same number of VMs: a VM without heartbeats counts for
// sharingTimeout unless it has announced that it stops.
func (v *View) SharingVMs(now time.Time) []ident.VM {
	list := []ident.VM{v.self.VM}
	for _, m := range v.sorted {
		if m.heartbeat.Stopping {
			continue
		}
		if now.Sub(m.lastHeartbeat) < sharingTimeout || m.lastHeartbeat.IsZero() && now.Sub(v.started) < unheardSharingTimeout {
			list = append(list, m.VM)
		}
	}
	return list
}

// isolationPeriod is the time without a heartbeat from another region after which this VM's region counts as isolated. In large
// deployments, most VMs get heartbeats from other regions only through others, up to maxHeartbeatAge later.
const isolationPeriod = maxHeartbeatAge

// Isolated reports whether this VM hears of no VM of any other region, although there are some: by the failure domains of the deployment,
// since members without heartbeats are removed, or by the members. A VM that has just started may not have heard of them yet.
func (v *View) Isolated(now time.Time) bool {
	expected := v.otherRegions && now.Sub(v.started) >= isolationPeriod
	for _, m := range v.sorted {
		if m.Place.Region == v.self.Place.Region {
			continue
		}
		if now.Sub(m.lastHeartbeat) < isolationPeriod {
			return false
		}
		expected = expected || !m.heartbeat.Stopping
	}
	return expected
}

// HasQuorum reports whether this VM has received heartbeats from most of the deployment's failure domains, its own included,
// within sharingTimeout. VMs that met then agree on SharingVMs, whichever parts a partition has. VMs that started in different
// parts of a partition don't, and at most one of these parts has a quorum: half of the failure domains are one only with the
// first of them. Without known failure domains, it is true.
func (v *View) HasQuorum(now time.Time) bool {
	seen := map[ident.Domain]bool{v.self.Place.Domain: true}
	for _, m := range v.sorted {
		if !m.lastHeartbeat.IsZero() && now.Sub(m.lastHeartbeat) < sharingTimeout {
			seen[m.Place.Domain] = true
		}
	}
	n := 0
	for _, d := range v.domains {
		if seen[d] {
			n++
		}
	}
	return 2*n > len(v.domains) || 2*n == len(v.domains) && (n == 0 || seen[v.domains[0]])
}
