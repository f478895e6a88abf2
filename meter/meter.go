// Package meter counts requests and measures their latency by route and outcome, and writes both as text. The number of
// routes that are told apart is bounded.
package meter

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
)

// routesMost is the number of routes that are told apart; further ones are counted together as otherRoute.
const (
	routesMost = 100
	otherRoute = "other"
)

// bounds are the upper bounds of the latency buckets. Times above the last one are counted in the total only.
var bounds = []time.Duration{
	25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 150 * time.Millisecond, 200 * time.Millisecond,
	300 * time.Millisecond, 400 * time.Millisecond, 600 * time.Millisecond, 800 * time.Millisecond, 1200 * time.Millisecond,
	2500 * time.Millisecond,
}

// key is one line of counters.
type key struct{ route, outcome string }

// series holds the counters of one route and outcome.
type series struct {
	total metrics.Counter
	// micros sums the latencies in microseconds.
	micros  metrics.Counter
	buckets []metrics.Counter
}

// Meter is safe for concurrent use.
type Meter struct {
	mu     sync.Mutex
	series map[key]*series
	routes map[string]bool
}

// New returns a meter without counts.
func New() *Meter {
	return &Meter{series: map[key]*series{}, routes: map[string]bool{}}
}

// Observe counts one request that took the given time.
func (m *Meter) Observe(route, outcome string, took time.Duration) {
	s := m.of(route, outcome)
	s.total.Inc(1)
	s.micros.Inc(took.Microseconds())
	for i, b := range bounds {
		if took <= b {
			s.buckets[i].Inc(1)
		}
	}
}

func (m *Meter) of(route, outcome string) *series {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.routes[route] {
		if len(m.routes) >= routesMost {
			route = otherRoute
		}
		m.routes[route] = true
	}
	k := key{route, outcome}
	s := m.series[k]
	if s == nil {
		s = &series{total: metrics.NewCounter(), micros: metrics.NewCounter()}
		for range bounds {
			s.buckets = append(s.buckets, metrics.NewCounter())
		}
		m.series[k] = s
	}
	return s
}

// WriteText writes all counters, one a line, with cumulative latency buckets in seconds.
func (m *Meter) WriteText(w io.Writer) error {
	m.mu.Lock()
	keys := make([]key, 0, len(m.series))
	all := make(map[key]*series, len(m.series))
	for k, s := range m.series {
		keys = append(keys, k)
		all[k] = s
	}
	m.mu.Unlock()
	slices.SortFunc(keys, func(a, b key) int {
		if a.route != b.route {
			return compare(a.route, b.route)
		}
		return compare(a.outcome, b.outcome)
	})
	for _, k := range keys {
		if err := write(w, k, all[k]); err != nil {
			return errors.Wrap(err, "write metrics")
		}
	}
	return nil
}

func compare(a, b string) int {
	if a < b {
		return -1
	}
	return 1
}

func write(w io.Writer, k key, s *series) error {
	labels := fmt.Sprintf("route=%q,outcome=%q", k.route, k.outcome)
	for i, b := range bounds {
		if _, err := fmt.Fprintf(w, "currantpier_request_seconds_bucket{%s,le=\"%g\"} %d\n", labels, b.Seconds(), s.buckets[i].Count()); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "currantpier_request_seconds_sum{%s} %.6f\ncurrantpier_requests_total{%s} %d\n",
		labels, float64(s.micros.Count())/1e6, labels, s.total.Count())
	return err
}

// WriteValue writes one value that is not a count of requests.
func WriteValue(w io.Writer, name string, v any) error {
	_, err := fmt.Fprintf(w, "currantpier_%s %v\n", name, v)
	return errors.Wrap(err, "write metrics")
}
