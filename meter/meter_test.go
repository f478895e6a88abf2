package meter

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// Guards against counts in a wrong bucket, and against memory that grows with the number of routes.
func TestMeter(t *testing.T) {
	m := New()
	m.Observe("a", "served", 120*time.Millisecond)
	m.Observe("a", "served", 30*time.Millisecond)
	m.Observe("a", "refused", 0)
	for i := range 500 {
		m.Observe(fmt.Sprint("r", i), "served", time.Second)
	}
	var b strings.Builder
	if err := m.WriteText(&b); err != nil {
		t.Fatal(err)
	}
	for _, line := range []string{
		`currantpier_request_seconds_bucket{route="a",outcome="served",le="0.1"} 1`,
		`currantpier_request_seconds_bucket{route="a",outcome="served",le="0.15"} 2`,
		`currantpier_request_seconds_sum{route="a",outcome="served"} 0.150000`,
		`currantpier_requests_total{route="a",outcome="refused"} 1`,
		`currantpier_requests_total{route="other",outcome="served"} 401`,
	} {
		if !strings.Contains(b.String(), line+"\n") {
			t.Errorf("missing line %s", line)
		}
	}
	if n := strings.Count(b.String(), "currantpier_requests_total"); n > maxRoutes+2 {
		t.Errorf("%d series, want at most maxRoutes+2", n)
	}
}
