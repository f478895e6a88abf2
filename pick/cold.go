package pick

import (
	"time"

	"github.com/currantpier/currantpier/hash"
)

const (
	// coldVMs is the number of VMs that may send requests to one cold target. The rate of a cold target is bounded in sum
	// over all VMs, and a small fixed number of senders keeps the sum of their bursts small.
	coldVMs = 3
	// coldFill is the part of a cold target's rate that is used. The rest covers VMs that name different senders for a
	// moment, while one of them starts or leaves.
	coldFill = 0.6
)

// coldGate spaces the requests of this VM to a cold target.
type coldGate struct {
	// next is the earliest time of the next request.
	next time.Time
	gap  time.Duration
	// round is the Picker's round of VMs for which senders holds.
	round uint64
	// senders is the number of VMs that may send to the target; zero if this VM is none of them.
	senders int
}

func (g *coldGate) take(now time.Time) { g.next = now.Add(g.gap) }

// mayWarm reports whether this VM may send a request to a cold target now.
func (p *Picker) mayWarm(now time.Time, t *target) bool {
	rate := p.specs[t.Service].WarmupRate
	if rate <= 0 || now.Before(t.cold.next) {
		return false
	}
	if t.cold.round != p.round {
		t.cold.round, t.cold.senders = p.round, p.senders(t.hash)
	}
	if t.cold.senders == 0 {
		return false
	}
	t.cold.gap = time.Duration(float64(t.cold.senders) / (rate * coldFill) * float64(time.Second))
	return true
}

// senders returns the number of VMs that may send to the cold target with the given hash, or zero if this VM is none of
// them. They are the first ones by rendezvous hashing: the same on every VM that knows the same VMs.
func (p *Picker) senders(target uint64) int {
	own := hash.Mix(target ^ p.selfHash)
	before := 0
	for _, h := range p.vmHashes {
		if hash.Mix(target^h) < own {
			before++
		}
	}
	if before >= coldVMs {
		return 0
	}
	return min(coldVMs, len(p.vmHashes))
}
