package carry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/currantpier/currantpier/codec"
	"github.com/currantpier/currantpier/pick"
)

// A target announces that it is leaving, or asks for a time without requests, after it was chosen for a request and before the
// request is written, as when the connection takes long to open. Guards against sending the request there, and against giving it
// up instead of choosing anew.
func TestNoticeBetweenChoiceAndSend(t *testing.T) {
	for _, tt := range []struct {
		notice Notice
		want   error
	}{{Notice{Leaving: true}, errTargetLeaving}, {Notice{BackOff: time.Second}, errTargetBackedOff}} {
		c := newForwarderFor(t, false, 5*time.Second, newFakeTarget(t, respondOK))
		c.notices = func(*codec.Response) (Notice, error) { return tt.notice, nil }
		s := c.Snapshot()
		now := time.Now()
		k := &call{Forwarder: c, r: newRequest(t, "Id: 1\r\n"), id: "1", arrived: now}
		_, admitted := k.admit(s.Config)
		choice, reason, _, sendable := k.pick(now)
		if !admitted || !sendable || reason != pick.Chosen {
			t.Fatal(reason)
		}
		if _, err := k.buildRequest(now, choice.Target); err != nil {
			t.Fatalf("before the response: %v", err)
		}
		k.recordNotice(now, choice.Target, codec.NewResponse(503, ""))
		_, err := k.buildRequest(now, choice.Target)
		if !errors.Is(err, tt.want) || k.classify(t.Context(), nil, err) != pick.Cancelled {
			t.Errorf("after the response: %v, want %v as a cancelled attempt", err, tt.want)
		}
	}
}

// decodeTestNotice decodes the fields Leaving and Back-Off, the latter in seconds.
func decodeTestNotice(a *codec.Response) (Notice, error) {
	n := Notice{Leaving: a.Field("Leaving") != ""}
	if v := a.Field("Back-Off"); v != "" {
		seconds, err := strconv.Atoi(v)
		n.BackOff = time.Duration(seconds) * time.Second
		return n, err
	}
	return n, nil
}

// A target sends the response to an earlier request again, before that to the next one on the connection. Guards against a notice in
// a response that is read and not passed on: it may be as old as the request to which it belongs.
func TestStrayResponseGivesNoNotice(t *testing.T) {
	for name, stray := range map[string]string{
		"leaving":          "HTTP/1.1 200 x\r\nId: first\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n",
		"back-off":         "HTTP/1.1 503 x\r\nId: first\r\nNot-Run: 1\r\nBack-Off: 40\r\nContent-Length: 0\r\n\r\n",
		"without an id":    "HTTP/1.1 503 x\r\nNot-Run: 1\r\nBack-Off: 40\r\nContent-Length: 0\r\n\r\n",
		"interim response": "HTTP/1.1 103 x\r\nId: second\r\nLeaving: 1\r\n\r\n",
	} {
		target := newFakeTarget(t, func(nc net.Conn, n int, r *http.Request) bool {
			text := responseHead(200, r) + "Content-Length: 2\r\n\r\nok"
			if n == 1 {
				text = stray + text
			}
			_, err := nc.Write([]byte(text))
			return err == nil
		})
		c := newForwarderFor(t, false, 5*time.Second, target)
		c.notices = decodeTestNotice
		for _, id := range []string{"first", "second"} {
			if a := c.Handle(context.Background(), newRequest(t, "Id: "+id+"\r\n"), time.Now()); a.Status != http.StatusOK {
				t.Errorf("%s: order %s: status %d", name, id, a.Status)
			}
		}
		if n := c.Dump(time.Now()).Notices; len(n) != 0 {
			t.Errorf("%s: %+v", name, n)
		}
	}
}

// A target asks for time in a response with status 503 that doesn't state that the request has not run. Guards against promising that
// to the caller of an order, against running the order elsewhere, and against requests to the target within the time.
func TestBackOffWithoutStatementPromisesNothing(t *testing.T) {
	respond := func(nc net.Conn, _ int, r *http.Request) bool {
		_, err := fmt.Fprintf(nc, "%sBack-Off: 40\r\nContent-Length: 0\r\n\r\n", responseHead(503, r))
		return err == nil
	}
	first, second := newFakeTarget(t, respond), newFakeTarget(t, respond)
	c := newForwarderFor(t, false, 5*time.Second, first, second)
	c.notices = decodeTestNotice
	for want := range 2 {
		a := c.Handle(context.Background(), newRequest(t, "Id: 1\r\n"), time.Now())
		if a.Status != http.StatusBadGateway || a.Field("Retry-After") != "" {
			t.Errorf("status %d, Retry-After %q, want 502 without a promise", a.Status, a.Field("Retry-After"))
		}
		if n := first.requests.Load() + second.requests.Load(); n != int64(want+1) {
			t.Errorf("%d sends for %d orders", n, want+1)
		}
	}
	if a := c.Handle(context.Background(), newRequest(t, "Id: 1\r\n"), time.Now()); a.Status != http.StatusServiceUnavailable {
		t.Errorf("both targets have asked for time: status %d", a.Status)
	}
}

// Targets that refuse and ask for time are tried one after the other. Guards against further attempts beyond the retry quota, and
// against callers that all return at the earliest end, or before it.
func TestBackOffObeysQuotaAndSpreadsCallers(t *testing.T) {
	refuse := func(nc net.Conn, _ int, r *http.Request) bool {
		_, err := fmt.Fprintf(nc, "%sNot-Run: 1\r\nBack-Off: 40\r\nContent-Length: 0\r\n\r\n", responseHead(503, r))
		return err == nil
	}
	first, second := newFakeTarget(t, refuse), newFakeTarget(t, refuse)
	c := newForwarderFor(t, true, 5*time.Second, first, second)
	c.notices, c.quota.Slack, c.quota.Ratio = decodeTestNotice, 0, 0
	for want := range 2 {
		a := c.Handle(context.Background(), newRequest(t, "Id: 1\r\n"), time.Now())
		if n := first.requests.Load() + second.requests.Load(); a.Status != http.StatusServiceUnavailable || n != int64(want+1) {
			t.Errorf("without a retry quota: status %d, %d sends for %d requests", a.Status, n, want+1)
		}
	}
	times := map[string]bool{}
	for i := range 50 {
		a := c.Handle(context.Background(), newRequest(t, fmt.Sprintf("Id: %d\r\n", i)), time.Now())
		if after, err := strconv.ParseFloat(a.Field("Retry-After"), 64); err != nil || after < 30 {
			t.Errorf("Retry-After %q, want the time that the targets asked for", a.Field("Retry-After"))
		}
		times[a.Field("Retry-After")[:4]] = true // tenths of a second, as the earliest end comes closer within the loop
	}
	if len(times) < 5 {
		t.Errorf("50 callers return at %d different tenths of a second, want 5 at least", len(times))
	}
}
