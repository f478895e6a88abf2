package carry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/retry"
	"github.com/currantpier/currantpier/trace"
)

// The operators change a route while its request is in progress at a target that then rejects it or loses the connection. Guards
// against a further send that mixes configurations: to a target of the newest registry in a region, or of a service, that only
// the earlier route allowed.
func TestFurtherSendFollowsNewestRoute(t *testing.T) {
	route := func(change func(r *fleet.Route)) fleet.Route {
		r := fleet.Route{Name: "r", Host: "x", Prefix: "/a/", Services: []fleet.WeightedService{{Service: "s", Weight: 1}},
			Timeout: 5 * time.Second, MaxAttempts: 3, Idempotent: true, Regions: []ident.Region{"a"}}
		change(&r)
		return r
	}
	unchanged := func(*fleet.Route) {}
	order := func(r *fleet.Route) { r.Idempotent = false }
	tests := []struct {
		name  string
		first func(nc net.Conn, r *http.Request) bool
		// old and newest change the route before and after the first send.
		old    func(r *fleet.Route)
		newest []fleet.Route
		status int
		// sentTo is the target of the further send, "" if there is none.
		sentTo ident.Target
	}{
		{"unchanged, rejected", reject, unchanged, []fleet.Route{route(unchanged)}, 200, "a2"},
		{"unchanged, connection lost", lose, unchanged, []fleet.Route{route(unchanged)}, 200, "a2"},
		{"other homes, rejected", reject, unchanged, []fleet.Route{route(func(r *fleet.Route) { r.Regions = []ident.Region{"b"} })}, 200, "b1"},
		{"other homes, connection lost", lose, unchanged, []fleet.Route{route(func(r *fleet.Route) { r.Regions = []ident.Region{"b"} })}, 200, "b1"},
		{"order with other homes, rejected", reject, order, []fleet.Route{route(func(r *fleet.Route) {
			order(r)
			r.Regions = []ident.Region{"b"}
		})}, 200, "b1"},
		{"homes without a target", reject, unchanged, []fleet.Route{route(func(r *fleet.Route) { r.Regions = []ident.Region{"c"} })}, 503, ""},
		{"other service and homes", reject, unchanged, []fleet.Route{route(func(r *fleet.Route) {
			r.Services = []fleet.WeightedService{{Service: "s2", Weight: 1}}
			r.Regions = []ident.Region{"b"}
		})}, 200, "b2"},
		{"service is not a part of the split any more", reject, unchanged, []fleet.Route{route(func(r *fleet.Route) {
			r.Services = []fleet.WeightedService{{Service: "s2", Weight: 3}, {Service: "s3", Weight: 1}}
			r.Regions = []ident.Region{"b"}
		})}, 200, "b2"},
		{"longer prefix with homes", reject, func(r *fleet.Route) { r.Prefix = "/" }, []fleet.Route{
			route(func(r *fleet.Route) { r.Prefix = "/" }),
			route(func(r *fleet.Route) { r.Name, r.Regions = "r2", []ident.Region{"b"} }),
		}, 200, "b1"},
		{"removed, a shorter prefix remains", reject, unchanged, []fleet.Route{
			route(func(r *fleet.Route) { r.Name, r.Prefix, r.Regions = "r2", "/", []ident.Region{"b"} }),
		}, 200, "b1"},
		{"removed, rejected", reject, unchanged, nil, 404, ""},
		{"removed, may have run", lose, unchanged, nil, 502, ""},
		{"may run at most once now, may have run", lose, unchanged, []fleet.Route{route(order)}, 502, ""},
		{"may be repeated now, may have run as an order", lose, order, []fleet.Route{route(unchanged)}, 502, ""},
		{"fewer attempts", reject, unchanged, []fleet.Route{route(func(r *fleet.Route) { r.MaxAttempts = 1 })}, 503, ""},
		{"shorter timeout, already over", reject, unchanged, []fleet.Route{route(func(r *fleet.Route) { r.Timeout = time.Nanosecond })}, 503, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			status, got := furtherSend(t, tt.first, &fleet.Config{Routes: []fleet.Route{route(tt.old)}}, &fleet.Config{Routes: tt.newest})
			if status != tt.status {
				t.Errorf("status %d, want %d", status, tt.status)
			}
			if got != tt.sentTo {
				t.Errorf("sent again to %q, want %q", got, tt.sentTo)
			}
		})
	}
}

// reject and lose are what a target does with a request that it turns away, or whose connection it ends.
func reject(nc net.Conn, r *http.Request) bool {
	_, err := fmt.Fprintf(nc, "HTTP/1.1 503 x\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Id"))
	return err == nil
}

func lose(net.Conn, *http.Request) bool { return false }

// furtherSend replaces a configuration by the newest one while a request with the key k is in progress at the target a1, which then
// responds with first. It returns the request's status and the target of the further send, "" if there is none.
func furtherSend(t *testing.T, first func(nc net.Conn, r *http.Request) bool, old, newest *fleet.Config) (status int, sentTo ident.Target) {
	t.Helper()
	entered, release := make(chan struct{}), make(chan struct{})
	targets := map[ident.Target]*fakeTarget{"a1": newFakeTarget(t, func(nc net.Conn, _ int, r *http.Request) bool {
		entered <- struct{}{}
		<-release
		return first(nc, r)
	})}
	for _, id := range []ident.Target{"a2", "b1", "b2"} {
		targets[id] = newFakeTarget(t, respondOK)
	}
	entry := func(id ident.Target, svc ident.Service) fleet.Target {
		return fleet.Target{Entry: fleet.Entry{ID: id, Service: svc, Address: targets[id].ln.Addr().String(), Slots: 8, Ready: true,
			Place: ident.Place{Region: ident.Region(id[:1])}}}
	}
	snapshot := func(version ident.Version, cfg *fleet.Config, list ...fleet.Target) *fleet.Snapshot {
		cfg.Version, cfg.Services = version, map[ident.Service]fleet.Service{}
		cfg.Index()
		s := &fleet.Snapshot{RegistryRead: true, Targets: map[ident.Service][]fleet.Target{}, Config: cfg}
		for _, x := range list {
			s.Targets[x.Service] = append(s.Targets[x.Service], x)
		}
		return s
	}
	c := New(Config{Headers: testHeaders, VM: "vm", Log: trace.New("vm"), Clock: time.Now, MaxResponseMemory: 4 << 20,
		Quota: retry.QuotaLimits{Ratio: 0.2, Slack: 64, Window: 10 * time.Second}})
	c.Update(time.Now(), snapshot(1, old, entry("a1", "s")))
	result := make(chan int)
	go func() {
		result <- c.Handle(context.Background(), newRequest(t, "Id: 1\r\nApi-Key: k\r\n"), time.Now()).Status
	}()
	<-entered
	c.Update(time.Now(), snapshot(2, newest, entry("a1", "s"), entry("a2", "s"), entry("b1", "s"), entry("b2", "s2"),
		fleet.Target{Entry: fleet.Entry{ID: "b3", Service: "s3", Address: targets["b2"].ln.Addr().String(), Slots: 8, Ready: true,
			Place: ident.Place{Region: "b"}}}))
	close(release)
	status = <-result
	want, got := map[ident.Target]int64{"a1": 1}, map[ident.Target]int64{}
	for id, f := range targets {
		if n := f.requests.Load(); n > 0 {
			got[id] = n
			if id != "a1" {
				sentTo, want[id] = id, 1
			}
		}
	}
	if d := cmp.Diff(want, got); d != "" || len(got) > 2 {
		t.Errorf("requests by target: %v %s", got, d)
	}
	return status, sentTo
}
