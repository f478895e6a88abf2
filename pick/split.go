package pick

import (
	"time"

	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/hash"
	"github.com/currantpier/currantpier/ident"
)

const (
	// splitMemory is the number of requests over which the shares of a route's services are measured.
	splitMemory = 60
	// splitSlack is how far a share may lie above its weight before an object goes to another service than its own.
	splitSlack = 0.03
)

// split divides the requests of a route among its services. Objects prefer one service, so that its targets know them;
// the measured shares correct what popular objects distort.
type split struct {
	// version is the configuration that the counts belong to.
	parts []fleet.Part
	// share is the exponential mean of the requests that each part got; it sums to 1 once there were many.
	share []float64
}

// Service returns the service for a request of a route and counts it.
func (p *Picker) Service(now time.Time, r *fleet.Route, o Object) ident.Service {
	if len(r.Parts) == 1 {
		return r.Parts[0].Service
	}
	s := p.splits[r.Name]
	if s == nil || !sameParts(s.parts, r.Parts) {
		s = newSplit(r.Parts)
		p.splits[r.Name] = s
	}
	i := s.choose(o)
	s.count(i)
	return r.Parts[i].Service
}

func sameParts(a, b []fleet.Part) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

func newSplit(parts []fleet.Part) *split {
	s := &split{parts: parts, share: make([]float64, len(parts))}
	for i := range parts {
		s.share[i] = s.weight(i)
	}
	return s
}

// weight is the share that part i should have.
func (s *split) weight(i int) float64 {
	sum := 0
	for _, p := range s.parts {
		sum += p.Weight
	}
	if sum == 0 {
		return 0
	}
	return float64(s.parts[i].Weight) / float64(sum)
}

// choose returns the part that the object prefers, or the one that is furthest behind if that has had enough.
func (s *split) choose(o Object) int {
	if i := s.preferred(o); o != 0 && s.share[i] <= s.weight(i)+splitSlack {
		return i
	}
	behind := 0
	for i := range s.parts {
		if s.weight(i)-s.share[i] > s.weight(behind)-s.share[behind] {
			behind = i
		}
	}
	return behind
}

func (s *split) preferred(o Object) int {
	x := float64(hash.Mix(uint64(o))>>11) / (1 << 53)
	for i := range s.parts {
		if x -= s.weight(i); x < 0 {
			return i
		}
	}
	return len(s.parts) - 1
}

func (s *split) count(chosen int) {
	for i := range s.share {
		x := 0.0
		if i == chosen {
			x = 1
		}
		s.share[i] += (x - s.share[i]) / splitMemory
	}
}
