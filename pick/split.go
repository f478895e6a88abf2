package pick

import (
	"time"

	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/hash"
	"github.com/currantpier/currantpier/ident"
)

const (
	// splitWindow is the number of requests that the exponential mean of a service's share spans.
	splitWindow = 60
	// splitTolerance is how far a service's measured share may exceed its configured share before requests are diverted.
	splitTolerance = 0.03
)

// split divides the requests of a route among its services by weight. Each object prefers one service, so that it stays in
// the caches of that service's targets; the measured shares correct the imbalance that popular objects cause.
type split struct {
	// parts are the route's parts that shares were measured for.
	parts []fleet.WeightedService
	// shares holds the exponential mean of each part's share of the requests. It starts at the configured shares.
	shares []float64
}

// Service selects the service for a request of a route and counts the request.
func (p *Picker) Service(now time.Time, r *fleet.Route, o Object) ident.Service {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	s := p.splitOf(r)
	p.splits[r.Name] = s
	i := s.choose(o)
	s.record(i)
	return r.Services[i].Service
}

// PreviewService returns what Service would return, and counts nothing.
func (p *Picker) PreviewService(r *fleet.Route, o Object) ident.Service {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	return r.Services[p.splitOf(r).choose(o)].Service
}

// splitOf returns the split of a route, a new one if none was measured for its parts.
func (p *Picker) splitOf(r *fleet.Route) *split {
	if s := p.splits[r.Name]; s != nil && sameParts(s.parts, r.Services) {
		return s
	}
	return newSplit(r.Services)
}

func sameParts(a, b []fleet.WeightedService) bool {
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

func newSplit(parts []fleet.WeightedService) *split {
	s := &split{parts: parts, shares: make([]float64, len(parts))}
	for i := range parts {
		s.shares[i] = s.weight(i)
	}
	return s
}

// weight returns the configured share of part i, 0 to 1.
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

// choose returns the part that the object prefers unless its share exceeds the tolerance; then, and for requests without an
// object, the part that is furthest below its configured share.
func (s *split) choose(o Object) int {
	if i := s.preferred(o); o != 0 && s.shares[i] <= s.weight(i)+splitTolerance {
		return i
	}
	lowest := 0
	for i := range s.parts {
		if s.weight(i)-s.shares[i] > s.weight(lowest)-s.shares[lowest] {
			lowest = i
		}
	}
	return lowest
}

// preferred returns the part for an object's hash, with a probability equal to the part's configured share.
func (s *split) preferred(o Object) int {
	x := float64(hash.Mix(uint64(o))>>11) / (1 << 53)
	for i := range s.parts {
		if x -= s.weight(i); x < 0 {
			return i
		}
	}
	return len(s.parts) - 1
}

func (s *split) record(chosen int) {
	for i := range s.shares {
		x := 0.0
		if i == chosen {
			x = 1
		}
		s.shares[i] += (x - s.shares[i]) / splitWindow
	}
}
