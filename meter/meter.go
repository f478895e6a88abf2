// Package meter counts requests and their latencies by route and outcome and writes both in a text format. The number
// of distinct routes is bounded.
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

// maxRoutes is the number of routes that are counted separately; further ones are counted together as otherRoute.
const (
	maxRoutes  = 100
	otherRoute = "other"
)

// latencyBuckets are the upper bounds of the latency buckets. Longer times are counted in the total only.
var latencyBuckets = []time.Duration{
	25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 150 * time.Millisecond, 200 * time.Millisecond,
	300 * time.Millisecond, 400 * time.Millisecond, 600 * time.Millisecond, 800 * time.Millisecond, 1200 * time.Millisecond,
	2500 * time.Millisecond,
}

// seriesKey identifies a series.
type seriesKey struct{ route, outcome string }

// series holds the counters of one route and outcome.
type series struct {
	total metrics.Counter
	// latencyMicros is the sum of the latencies in microseconds.
	latencyMicros metrics.Counter
	buckets       []metrics.Counter
}

// Meter counts requests. It is safe for concurrent use.
type Meter struct {
	mu          sync.Mutex
	series      map[seriesKey]*series
	knownRoutes map[string]bool
}

// New returns an empty meter.
func New() *Meter {
	return &Meter{series: map[seriesKey]*series{}, knownRoutes: map[string]bool{}}
}

// Observe counts one request and its latency.
func (m *Meter) Observe(route, outcome string, took time.Duration) {
	s := m.seriesFor(route, outcome)
	s.total.Inc(1)
	s.latencyMicros.Inc(took.Microseconds())
	for i, b := range latencyBuckets {
		if took <= b {
			s.buckets[i].Inc(1)
		}
	}
}

func (m *Meter) seriesFor(route, outcome string) *series {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.knownRoutes[route] {
		if len(m.knownRoutes) >= maxRoutes {
			route = otherRoute
		}
		m.knownRoutes[route] = true
	}
	k := seriesKey{route, outcome}
	s := m.series[k]
	if s == nil {
		s = &series{total: metrics.NewCounter(), latencyMicros: metrics.NewCounter()}
		for range latencyBuckets {
			s.buckets = append(s.buckets, metrics.NewCounter())
		}
		m.series[k] = s
	}
	return s
}

// WriteText writes all counters, one per line, with cumulative latency buckets in seconds.
func (m *Meter) WriteText(w io.Writer) error {
	m.mu.Lock()
	keys := make([]seriesKey, 0, len(m.series))
	all := make(map[seriesKey]*series, len(m.series))
	for k, s := range m.series {
		keys = append(keys, k)
		all[k] = s
	}
	m.mu.Unlock()
	slices.SortFunc(keys, func(a, b seriesKey) int {
		if a.route != b.route {
			return compareNames(a.route, b.route)
		}
		return compareNames(a.outcome, b.outcome)
	})
	for _, k := range keys {
		if err := writeSeries(w, k, all[k]); err != nil {
			return errors.Wrap(err, "write metrics")
		}
	}
	return nil
}

func compareNames(a, b string) int {
	if a < b {
		return -1
	}
	return 1
}

func writeSeries(w io.Writer, k seriesKey, s *series) error {
	labels := fmt.Sprintf("route=%q,outcome=%q", k.route, k.outcome)
	for i, b := range latencyBuckets {
		if _, err := fmt.Fprintf(w, "currantpier_request_seconds_bucket{%s,le=\"%g\"} %d\n", labels, b.Seconds(), s.buckets[i].Count()); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "currantpier_request_seconds_sum{%s} %.6f\ncurrantpier_requests_total{%s} %d\n",
		labels, float64(s.latencyMicros.Count())/1e6, labels, s.total.Count())
	return err
}

// WriteValue writes one metric that is not kept by route and outcome. The prefix "currantpier_" is added to its name.
func WriteValue(w io.Writer, name string, v any) error {
	_, err := fmt.Fprintf(w, "currantpier_%s %v\n", name, v)
	return errors.Wrap(err, "write metrics")
}
