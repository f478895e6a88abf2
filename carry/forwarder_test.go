package carry

import (
	"bufio"
	"context"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/currantpier/currantpier/codec"
	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/retry"
	"github.com/currantpier/currantpier/trace"
)

var testHeaders = Headers{Attempt: "Id", Deadline: "Deadline", Affinity: "Key", Signature: "Sig", Expect: "Expect", Load: "Load", NotRun: "Not-Run",
	Key: "Api-Key", Customer: "Customer"}

func newForwarder() *Forwarder {
	return New(Config{Headers: testHeaders, VM: "vm", Log: trace.New("vm"), Clock: func() time.Time { return time.Unix(1000, 0) },
		Quota: retry.QuotaLimits{Ratio: 0.2, Slack: 64, Window: 10 * time.Second}})
}

func newRequest(t *testing.T, fields ...string) *codec.Request {
	t.Helper()
	r := &codec.Request{}
	text := "GET /a/ HTTP/1.1\r\nHost: x\r\n" + strings.Join(fields, "") + "\r\n"
	if err := r.ReadHeader(bufio.NewReader(strings.NewReader(text))); err != nil {
		t.Fatal(err)
	}
	return r
}

// Guards against giving a target more time than the caller or the route allows, and against deadlines that cannot be
// parsed.
func TestTimeLimit(t *testing.T) {
	for _, tt := range []struct {
		field   string
		timeout time.Duration
		want    time.Duration
	}{
		{"Deadline: 500\r\n", 2 * time.Second, 500 * time.Millisecond},
		{"Deadline: 5000\r\n", 2 * time.Second, 2 * time.Second},
		{"Deadline: 12.5\r\n", 2 * time.Second, 12500 * time.Microsecond},
		{"", 2 * time.Second, 2 * time.Second},
		{"Deadline: soon\r\n", 2 * time.Second, 2 * time.Second},
		{"Deadline: -4\r\n", 2 * time.Second, 2 * time.Second},
		{"Deadline: 1e300\r\n", 2 * time.Second, 2 * time.Second},
		{"", 0, defaultTimeout},
	} {
		if got := newForwarder().timeLimit(newRequest(t, tt.field), &fleet.Route{Timeout: tt.timeout}); got != tt.want {
			t.Errorf("%q with a timeout of %v: %v, want %v", tt.field, tt.timeout, got, tt.want)
		}
	}
}

// Guards against refusals without a Retry-After field, and against Retry-After values that make all callers retry at
// once.
func TestRefusalHasSpreadRetryAfter(t *testing.T) {
	c := newForwarder()
	a := c.Handle(context.Background(), newRequest(t, "Id: 1\r\n"), time.Unix(1000, 0))
	if a.Status != 503 || a.Field("Retry-After") == "" {
		t.Errorf("without a configuration: %d, Retry-After %q; want 503 and a value", a.Status, a.Field("Retry-After"))
	}
	cfg := &fleet.Config{Version: 1, Services: map[ident.Service]fleet.Service{}, Routes: []fleet.Route{{
		Name: "r", Host: "x", Prefix: "/a/", Services: []fleet.WeightedService{{Service: "s", Weight: 1}}, Timeout: 2 * time.Second, MaxAttempts: 2}}}
	cfg.Index()
	c.Update(time.Unix(1000, 0), &fleet.Snapshot{Config: cfg, RegistryRead: true})
	spread := map[string]bool{}
	for i := range 100 {
		a := c.Handle(context.Background(), newRequest(t, fmt.Sprintf("Id: %d\r\n", i)), time.Unix(1000, 0))
		after, err := strconv.ParseFloat(a.Field("Retry-After"), 64)
		if a.Status != 503 || err != nil || after < minRetryAfter.Seconds() || after > maxRetryAfter.Seconds() {
			t.Fatalf("without a target: %d, Retry-After %q", a.Status, a.Field("Retry-After"))
		}
		spread[a.Field("Retry-After")] = true
	}
	if len(spread) < 20 {
		t.Errorf("100 callers got %d different Retry-After values, want at least 20", len(spread))
	}
}

// Guards against a load value derived from a malformed load report.
func TestParseLoad(t *testing.T) {
	k := &call{Forwarder: newForwarder()}
	for text, ok := range map[string]bool{"3,0,8": true, " 3, 1 ,8": true, "3,0": false, "": false, "a,b,c": false, "-1,0,8": false,
		"9223372036854775807,9223372036854775807,8": false, "1e3,0,8": false, "3,1048577,8": false, "3,0,8,1": true, "3,0,8, 250": true, "3,0,8,10000": true, "3,0,8,10001": false,
		"3,0,8,0": false, "3,0,8,-1": false, "3,0,8,": false, "3,0,8,1e2": false, "3,0,8,9223372036854775808": false,
		"3,1048577,8,100": false, "3,0,8,100,1": false, ",3,0,8": false} {
		got := k.parseLoad(codec.NewResponse(200, "", codec.Field{Name: "Load", Value: text}))
		if (got != nil) != ok {
			t.Errorf("%q: %+v", text, got)
		}
		want := map[string]int{"3,0,8,1": 1, "3,0,8, 250": 250, "3,0,8,10000": 10000}[text]
		if got != nil && (got.Running != 3 || got.Slots != 8 || got.Pace != want) {
			t.Errorf("%q: %+v, want a pace of %d", text, got, want)
		}
	}
}

// Guards against accepting the response to another request.
func TestOwnsResponse(t *testing.T) {
	k := &call{Forwarder: newForwarder(), id: "1"}
	for _, tt := range []struct {
		name     string
		response *codec.Response
		want     bool
	}{
		{"own id", codec.NewResponse(200, "", codec.Field{Name: "Id", Value: "1"}), true},
		{"other id", codec.NewResponse(200, "", codec.Field{Name: "Id", Value: "2"}), false},
		{"no id", codec.NewResponse(200, ""), false},
		{"refusal without an id", codec.NewResponse(503, "", codec.Field{Name: "Not-Run", Value: "1"}), false},
		{"refusal of another request", codec.NewResponse(503, "", codec.Field{Name: "Not-Run", Value: "1"}, codec.Field{Name: "Id", Value: "2"}), false},
	} {
		if got := k.ownsResponse(tt.response); got != tt.want {
			t.Errorf("%s: %v", tt.name, got)
		}
	}
	// A request without an id can only get responses without one.
	k.id = ""
	if !k.ownsResponse(codec.NewResponse(400, "", codec.Field{Name: "Not-Run", Value: "1"})) {
		t.Error("refusal without an id rejected for a request without an id")
	}
}

// Guards against a request for whose body there is no memory and that gets no Retry-After field, or a promise to succeed later
// although it has no route.
func TestRefuseBody(t *testing.T) {
	c := newForwarderFor(t, false, time.Second)
	if a := c.RefuseBody(newRequest(t, "Id: 1\r\n"), time.Now()); a.Status != 503 || a.Field("Retry-After") == "" {
		t.Errorf("status %d, Retry-After %q; want 503 and a value", a.Status, a.Field("Retry-After"))
	}
	other := &codec.Request{}
	if err := other.ReadHeader(bufio.NewReader(strings.NewReader("POST /other HTTP/1.1\r\nHost: x\r\n\r\n"))); err != nil {
		t.Fatal(err)
	}
	if a := c.RefuseBody(other, time.Now()); a.Status != 404 {
		t.Errorf("without a route: status %d, want 404", a.Status)
	}
}
