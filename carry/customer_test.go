package carry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/ident"
)

// useCustomers puts a new configuration into force that has the routes and targets of the one before and the given customers.
func useCustomers(c *Forwarder, anonymous bool, customers ...fleet.Customer) {
	s := *c.Snapshot()
	s.Config = &fleet.Config{Services: s.Config.Services, Routes: append([]fleet.Route(nil), s.Config.Routes...), Customers: customers}
	s.Config.Routes[0].Anonymous = anonymous
	s.Config.Index()
	c.Update(time.Now(), &s)
}

// Guards against a request without a valid key that reaches a target, a key that a target or the log gets, and a customer that a
// caller can choose by a header field.
func TestCustomerOfRequest(t *testing.T) {
	customers := []fleet.Customer{{Name: "a", Keys: []string{"secret"}}, {Name: "blocked", Keys: []string{"bad"}, Blocked: true}}
	for _, tt := range []struct {
		name      string
		anonymous bool
		customers []fleet.Customer
		fields    string
		status    int
		// customer is the field that the target receives, cause a part of the log line.
		customer, cause string
	}{
		{"key", false, customers, "Api-Key: secret\r\n", 200, "a", ""},
		{"other case, stated by the caller", false, customers, "api-key: secret\r\ncustomer: b\r\nCUSTOMER: c\r\n", 200, "a", ""},
		{"fields of one connection", false, customers, "Api-Key: secret\r\nCustomer: b\r\nConnection: Customer, Api-Key\r\n", 200, "a", ""},
		{"no key", false, customers, "Customer: a\r\n", 401, "", "no single key"},
		{"empty key", false, customers, "Api-Key: \r\n", 401, "", "no single key"},
		{"unknown key", false, customers, "Api-Key: Secret\r\n", 401, "", "unknown key"},
		{"more than the key", false, customers, "Api-Key: Bearer secret\r\n", 401, "", "unknown key"},
		{"two keys in one field", false, customers, "Api-Key: secret,secret\r\n", 401, "", "unknown key"},
		{"two fields", false, customers, "Api-Key: secret\r\nApi-Key: other\r\n", 401, "", "no single key"},
		{"blocked customer", false, customers, "Api-Key: bad\r\n", 429, "", "rate or burst"},
		{"anonymous", true, customers, "Customer: b\r\n", 200, "", ""},
		{"anonymous with an unknown key", true, customers, "Api-Key: x\r\nCustomer: b\r\n", 200, "", ""},
		{"anonymous route with a key", true, customers, "Api-Key: secret\r\n", 200, "a", ""},
		{"no customers", false, nil, "Api-Key: secret\r\nCustomer: b\r\n", 200, "", ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			received := make(chan http.Header, 1)
			c := newForwarderFor(t, true, 5*time.Second, newFakeTarget(t, func(nc net.Conn, n int, r *http.Request) bool {
				received <- r.Header
				return respondOK(nc, n, r)
			}))
			useCustomers(c, tt.anonymous, tt.customers...)
			if got := c.Handle(context.Background(), newRequest(t, "Id: 1\r\n", tt.fields), time.Now()).Status; got != tt.status {
				t.Errorf("status %d, want %d", got, tt.status)
			}
			if got := c.RefuseBody(newRequest(t, "Id: 1\r\n", tt.fields), time.Now()).Status; got != tt.status && (got != 503 || tt.status != 200) {
				t.Errorf("without memory for the body: status %d", got)
			}
			var got http.Header
			if len(received) > 0 {
				got = <-received
			}
			if (got != nil) != (tt.status == 200) || strings.Join(got.Values("Customer"), ",") != tt.customer || got["Api-Key"] != nil {
				t.Errorf("the target received %v, want customer %q", got, tt.customer)
			}
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			var b strings.Builder
			if err := c.log.Run(ctx, &b); err != nil || !strings.Contains(b.String(), tt.cause) || strings.Contains(b.String(), "ecret") {
				t.Errorf("log %q, want the cause %q and no key", b.String(), tt.cause)
			}
		})
	}
}

// The configuration is replaced while a request is in progress at a target that then rejects it, fails or loses the connection. Guards
// against a further send for a customer whose key was revoked or moved, and against a 401 for a request that may have run.
func TestRevokedKeyIsNotSentAgain(t *testing.T) {
	respond := func(nc net.Conn, r *http.Request) bool { return respondOK(nc, 0, r) }
	fail := func(nc net.Conn, r *http.Request) bool {
		_, err := fmt.Fprintf(nc, "%sContent-Length: 0\r\n\r\n", responseHead(500, r))
		return err == nil
	}
	a := fleet.Customer{Name: "a", Keys: []string{"k"}, Regions: []ident.Region{"a"}}
	other := fleet.Customer{Name: "b", Keys: []string{"k"}, Regions: []ident.Region{"b"}}
	revoked := fleet.Customer{Name: "a", Keys: []string{"k2"}}
	blocked := fleet.Customer{Name: "a", Keys: []string{"k"}, Blocked: true}
	for _, tt := range []struct {
		name      string
		first     func(net.Conn, *http.Request) bool
		newest    fleet.Customer
		anonymous bool
		status    int
		sentTo    ident.Target
	}{
		{"key stays, rejected", reject, a, false, 200, "a2"},
		{"key stays, connection lost", lose, a, false, 200, "a2"},
		{"revoked, rejected", reject, revoked, false, 401, ""},
		{"revoked, connection lost", lose, revoked, false, 502, ""},
		{"revoked, server error", fail, revoked, false, 502, ""},
		{"revoked, responded", respond, revoked, false, 200, ""},
		{"blocked, rejected", reject, blocked, false, 429, ""},
		{"blocked, connection lost", lose, blocked, false, 502, ""},
		{"other customer and region", reject, other, false, 200, "b1"},
		{"revoked on a route that is open now", reject, fleet.Customer{Name: "a"}, true, 200, "a2"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			route := fleet.Route{Name: "r", Host: "x", Prefix: "/a/", Services: []fleet.WeightedService{{Service: "s", Weight: 1}},
				Timeout: 5 * time.Second, MaxAttempts: 3, Idempotent: true}
			old := &fleet.Config{Routes: []fleet.Route{route}, Customers: []fleet.Customer{a}}
			route.Anonymous = tt.anonymous
			if tt.anonymous {
				route.Regions = []ident.Region{"a"}
			}
			status, sentTo := furtherSend(t, tt.first, old, &fleet.Config{Routes: []fleet.Route{route}, Customers: []fleet.Customer{tt.newest}})
			if status != tt.status || sentTo != tt.sentTo {
				t.Errorf("status %d, sent again to %q; want %d, %q", status, sentTo, tt.status, tt.sentTo)
			}
		})
	}
}

// Guards against a request that is sent under a key that was revoked after its admission or the choice of a target, against a priority
// of 0 that is taken for none, and against requests without a key that allow further retries of others.
func TestKeyRevokedBeforeFirstSend(t *testing.T) {
	c := newForwarderFor(t, false, 5*time.Second, newFakeTarget(t, respondOK))
	c.Snapshot().Config.Routes[0].Priority = 2
	useCustomers(c, false, fleet.Customer{Name: "a", Keys: []string{"k"}, HasPriority: true})
	now := time.Now()
	newCall := func() *call {
		k := &call{Forwarder: c, r: newRequest(t, "Id: 1\r\nApi-Key: k\r\n"), id: "1", arrived: now}
		if _, accepted := k.admit(c.Snapshot().Config); !accepted || k.priority != 0 {
			t.Fatalf("accepted %v, priority %d", accepted, k.priority)
		}
		return k
	}
	admitted, chosen := newCall(), newCall()
	choice, _, _, _ := chosen.pick(now)
	useCustomers(c, false, fleet.Customer{Name: "a", Keys: []string{"k2"}})
	if _, err := chosen.buildRequest(now, choice.Target); !errors.Is(err, errConfigChanged) {
		t.Errorf("build: %v", err)
	}
	for _, k := range []*call{admitted, chosen} {
		if _, final := k.chooseTarget(now); final == nil || final.Status != 401 {
			t.Errorf("response %+v, want 401", final)
		}
	}
	c.quotaOf("s", now).Take(now, 1)
	before := *c.quotaOf("s", now)
	c.Handle(context.Background(), newRequest(t, "Id: 2\r\n"), now)
	if *c.quotaOf("s", now) != before {
		t.Error("a request without a key changed the retry quota")
	}
}

// Guards against other bytes for targets of deployments without customers.
func TestRequestWithoutCustomers(t *testing.T) {
	c, now := newForwarderFor(t, true, 5*time.Second, newFakeTarget(t, respondOK)), time.Now()
	k := &call{Forwarder: c, r: newRequest(t, "Id: 1\r\n"), id: "1", arrived: now}
	k.admit(c.Snapshot().Config)
	choice, _, _, _ := k.pick(now)
	b, err := k.buildRequest(now, choice.Target)
	if want := "GET /a/ HTTP/1.1\r\nHost: x\r\nId: 1\r\nDeadline: 5000\r\nExpect: t0\r\n\r\n"; err != nil || string(b[0]) != want {
		t.Errorf("%q, error %v; want %q", b, err, want)
	}
}
