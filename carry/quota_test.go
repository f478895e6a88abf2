package carry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/ident"
)

// countingQuota admits requests while it has tokens.
type countingQuota struct{ tokens int }

func (q *countingQuota) Allow(context.Context, time.Time, ident.Customer) (bool, time.Duration) {
	if q.tokens == 0 {
		return false, 70 * time.Millisecond
	}
	q.tokens--
	return true, 0
}

func (q *countingQuota) Return(time.Time, ident.Customer) { q.tokens++ }

// Guards against requests over their customer's quota that reach a target, against refusals that don't say when to come back, and
// against a quota that is used up by requests that no target has run.
func TestCustomerQuota(t *testing.T) {
	rejecting := func(nc net.Conn, _ int, r *http.Request) bool {
		_, err := fmt.Fprintf(nc, "%sNot-Run: 1\r\nContent-Length: 0\r\n\r\n", responseHead(503, r))
		return err == nil
	}
	for _, tt := range []struct {
		name   string
		script connScript
		key    string
		tokens int
		// statuses are those of two requests, left the tokens after them.
		statuses [2]int
		left     int
	}{
		{"within the quota", respondOK, "Api-Key: k\r\n", 3, [2]int{200, 200}, 1},
		{"over the quota", respondOK, "Api-Key: k\r\n", 1, [2]int{200, 429}, 0},
		{"rejected by the target", rejecting, "Api-Key: k\r\n", 1, [2]int{503, 503}, 1},
		{"without a key", respondOK, "", 1, [2]int{401, 401}, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			target := newFakeTarget(t, tt.script)
			c := newForwarderFor(t, true, time.Second, target)
			c.headers.Key = "Api-Key"
			q := &countingQuota{tokens: tt.tokens}
			c.customerQuota = q
			useCustomers(c, false, fleet.Customer{Name: "a", Keys: []string{"k"}, Rate: 1})
			for i, want := range tt.statuses {
				a := c.Handle(context.Background(), newRequest(t, fmt.Sprintf("Id: %d\r\n", i), tt.key), time.Now())
				if a.Status != want {
					t.Errorf("request %d: status %d, want %d", i, a.Status, want)
				}
				if a.Status == 429 && a.Field("Retry-After") != "0.07" {
					t.Errorf("Retry-After %q, want the time of the quota", a.Field("Retry-After"))
				}
			}
			if q.tokens != tt.left {
				t.Errorf("%d tokens are left, want %d", q.tokens, tt.left)
			}
		})
	}
}

// namedQuota records the customers whose quota was taken and returned.
type namedQuota struct{ taken, returned []ident.Customer }

func (q *namedQuota) Allow(_ context.Context, _ time.Time, c ident.Customer) (bool, time.Duration) {
	q.taken = append(q.taken, c)
	return true, 0
}

func (q *namedQuota) Return(_ time.Time, c ident.Customer) { q.returned = append(q.returned, c) }

// Guards against a quota that is returned to another customer than it was taken from: the key moves while the request is in progress.
func TestQuotaIsReturnedToItsCustomer(t *testing.T) {
	var c *Forwarder
	target := newFakeTarget(t, func(nc net.Conn, _ int, r *http.Request) bool {
		useCustomers(c, false, fleet.Customer{Name: "b", Keys: []string{"k"}, Rate: 1})
		_, err := fmt.Fprintf(nc, "%sNot-Run: 1\r\nContent-Length: 0\r\n\r\n", responseHead(503, r))
		return err == nil
	})
	c = newForwarderFor(t, true, time.Second, target)
	c.headers.Key = "Api-Key"
	q := &namedQuota{}
	c.customerQuota = q
	useCustomers(c, false, fleet.Customer{Name: "a", Keys: []string{"k"}, Rate: 1})
	c.Handle(context.Background(), newRequest(t, "Id: 1\r\n", "Api-Key: k\r\n"), time.Now())
	if want := []ident.Customer{"a"}; !slices.Equal(q.taken, want) || !slices.Equal(q.returned, want) {
		t.Errorf("taken from %v, returned to %v; want %v", q.taken, q.returned, want)
	}
}
