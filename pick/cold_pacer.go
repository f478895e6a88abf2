package pick

import (
	"time"

	"github.com/currantpier/currantpier/hash"
)

const (
	// coldSenders is the number of VMs that may send requests to one cold target. The target's warm-up rate bounds the
	// requests of all VMs together; with few senders the sum of their bursts stays small.
	coldSenders = 3
	// coldRateShare is the share of a cold target's warm-up rate that is used. The rest covers the time in which VMs disagree
	// about the senders because one of them is starting or leaving.
	coldRateShare = 0.6
)

// coldPacer spaces the requests of this VM to a cold target.
type coldPacer struct {
	// nextAt is the earliest time of the next request, interval the time between two requests.
	nextAt   time.Time
	interval time.Duration
	// vmsVersion is the Picker's vmsVersion for which senders was computed.
	vmsVersion uint64
	// senders is the number of VMs that may send to the target; zero if this VM is none of them.
	senders int
}

func (g *coldPacer) requestSent(now time.Time) { g.nextAt = now.Add(g.interval) }

// maySendCold reports whether this VM may send a request to a cold target now. It updates the pacer unless the pass is a preview.
func (p *Picker) maySendCold(now time.Time, t *target, mode pass) bool {
	pacer, allowed := p.updatedPacer(now, t)
	if mode == choosing {
		t.pacer = pacer
	}
	return allowed
}

// updatedPacer returns the target's pacer with its senders and interval brought up to date, and whether this VM may send now.
func (p *Picker) updatedPacer(now time.Time, t *target) (coldPacer, bool) {
	g, rate := t.pacer, p.services[t.Service].WarmupRate
	if rate <= 0 || !p.quorum || now.Before(g.nextAt) {
		return g, false
	}
	if g.vmsVersion != p.vmsVersion {
		g.vmsVersion, g.senders = p.vmsVersion, p.senderCount(t.hash)
	}
	if g.senders == 0 {
		return g, false
	}
	g.interval = time.Duration(float64(g.senders) / (rate * coldRateShare) * float64(time.Second))
	return g, true
}

// assumeCold takes a target whose process has ended for cold. Until its registry entry is that of a new process, the entry doesn't
// say so. The next snapshot has what all VMs know of it. Without a warm-up rate nothing is known that a cold target endures, and
// maySendCold would allow no request at all.
func (p *Picker) assumeCold(now time.Time, t *target) {
	if p.services[t.Service].WarmupRate <= 0 {
		return
	}
	if until := now.Add(p.services[t.Service].Warmup); until.After(t.ColdUntil) {
		t.ColdUntil = until
	}
}

// senderCount returns the number of VMs that may send to the cold target with the given hash, or zero if this VM is not
// among them. The senders are the first VMs by rendezvous hashing: VMs with the same list of VMs select the same senders.
func (p *Picker) senderCount(target uint64) int {
	own := hash.Mix(target ^ p.selfHash)
	preceding := 0
	for _, h := range p.vmHashes {
		if hash.Mix(target^h) < own {
			preceding++
		}
	}
	if preceding >= coldSenders {
		return 0
	}
	return min(coldSenders, len(p.vmHashes))
}
