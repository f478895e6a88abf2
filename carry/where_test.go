package carry

import (
	"context"
	"encoding/json"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/ident"
)

// refusingQuota fails a test in which a quota is taken or returned.
type refusingQuota struct{ t *testing.T }

func (q refusingQuota) Allow(context.Context, time.Time, ident.Customer) (bool, time.Duration) {
	q.t.Error("quota was taken")
	return false, 0
}

func (q refusingQuota) Return(time.Time, ident.Customer) { q.t.Error("quota was returned") }

// Guards against an answer that differs from what the request would get, and against one that counts the request, takes a quota, logs
// or has the key.
func TestWhere(t *testing.T) {
	now := time.Unix(1000, 0)
	customers := []fleet.Customer{{Name: "a", Keys: []string{"secret"}, Priority: 3, HasPriority: true, Regions: []ident.Region{"x"}},
		{Name: "blocked", Keys: []string{"secret2"}, Blocked: true}}
	good := Query{Host: "X:80", Path: "/a/b?c", Object: "o", Key: "secret"}
	for _, tt := range []struct {
		name    string
		query   Query
		stop    time.Duration
		verdict string
		status  int
		// customer is the name in the answer.
		customer ident.Customer
	}{
		{"served", good, 0, "chosen", 0, "a"},
		{"unknown host", Query{Host: "y", Path: "/a/", Key: "secret"}, 0, "no-route", 404, ""},
		{"unknown path", Query{Host: "x", Path: "/b/", Key: "secret"}, 0, "no-route", 404, ""},
		{"no key", Query{Host: "x", Path: "/a/"}, 0, "unknown-customer", 401, ""},
		{"unknown key", Query{Host: "x", Path: "/a/", Key: "secret3"}, 0, "unknown-customer", 401, ""},
		{"blocked customer", Query{Host: "x", Path: "/a/", Key: "secret2"}, 0, "over-plan", 429, "blocked"},
		{"too late before the stop", good, 1500 * time.Millisecond, "stopping", 503, "a"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := newForwarderFor(t, true, 2*time.Second)
			c.customerQuota = refusingQuota{t}
			useCustomers(c, false, customers...)
			s := *c.Snapshot()
			s.Config.Routes[0].Affinity = true
			s.Targets = map[ident.Service][]fleet.Target{"s": {{Entry: fleet.Entry{ID: "t", Service: "s", Slots: 4, Place: ident.Place{Region: "x"}}},
				{Entry: fleet.Entry{ID: "u", Service: "s", Slots: 4, Place: ident.Place{Region: "y"}}}}}
			c.Update(now, &s)
			if tt.stop > 0 {
				c.StopBy(now.Add(tt.stop))
			}
			before := c.Dump(now)
			w, ok := c.Where(now, tt.query)
			if !ok || w.Verdict != tt.verdict || w.Status != tt.status || (tt.verdict == "chosen") != (w.Choice != nil && w.Choice.Target == "t") {
				t.Errorf("%v %+v, want %s, %d", ok, w, tt.verdict, tt.status)
			}
			if got := w.Customer; (got == nil) != (tt.customer == "") || got != nil && got.Name != tt.customer {
				t.Errorf("customer %+v, want %q", got, tt.customer)
			}
			if d := c.Dump(now); !reflect.DeepEqual(before, d) || len(c.quotas) > 0 || c.Counters.Sends.Load() > 0 {
				t.Errorf("dump before %+v, after %+v, %d retry quotas", before, d, len(c.quotas))
			}
			text, err := json.Marshal(w)
			if err != nil || strings.Contains(string(text), "secret") {
				t.Errorf("answer %s, error %v: want no key", text, err)
			}
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			var b, m strings.Builder
			if err := c.log.Run(ctx, &b); err != nil || b.Len() > 0 {
				t.Errorf("log %q, error %v", b.String(), err)
			}
			if err := c.meter.WriteText(&m); err != nil || strings.Contains(m.String(), "requests_total{") {
				t.Errorf("metrics %q, error %v", m.String(), err)
			}
		})
	}
}

// Guards against a query that adds header fields or is parsed as another request, and against a VM without a configuration that answers
// as if there were no route.
func TestWhereQuery(t *testing.T) {
	c := newForwarder()
	for _, q := range []Query{{}, {Host: "x"}, {Host: "x", Path: "a"}, {Host: "x", Path: "/a b"}, {Host: "x", Path: "/", Object: "o\r\nApi-Key: k"},
		{Host: "x\nApi-Key: k", Path: "/"}, {Host: "x", Path: "/", Key: "k\x00"}} {
		if w, ok := c.Where(time.Unix(1000, 0), q); ok {
			t.Errorf("%q: %+v", q, w)
		}
	}
	if w, ok := c.Where(time.Unix(1000, 0), Query{Host: "x", Path: "/"}); !ok || w.Verdict != "no-configuration" || w.Status != 503 {
		t.Errorf("without a configuration: %v %+v", ok, w)
	}
}
