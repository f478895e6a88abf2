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

var names = Headers{Attempt: "Id", Deadline: "Deadline", Affinity: "Key", Signature: "Sig", Expect: "Expect", Load: "Load", NotRun: "Not-Run"}

func carrier() *Carrier {
	return New(Config{Headers: names, VM: "vm", Log: trace.New("vm"), Clock: func() time.Time { return time.Unix(1000, 0) },
		Quota: retry.QuotaRules{Ratio: 0.2, Slack: 64, Window: 10 * time.Second}})
}

func request(t *testing.T, fields ...string) *codec.Request {
	t.Helper()
	r := &codec.Request{}
	text := "GET /a/ HTTP/1.1\r\nHost: x\r\n" + strings.Join(fields, "") + "\r\n"
	if err := r.ReadHeader(bufio.NewReader(strings.NewReader(text))); err != nil {
		t.Fatal(err)
	}
	return r
}

// Guards against a target that is handed more time than the caller or the route has, and a deadline that cannot be read.
func TestTimeAllowed(t *testing.T) {
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
		if got := carrier().timeAllowed(request(t, tt.field), &fleet.Route{Timeout: tt.timeout}); got != tt.want {
			t.Errorf("%q with a timeout of %v: %v, want %v", tt.field, tt.timeout, got, tt.want)
		}
	}
}

// Guards against a refusal without a time to return, and one that makes all callers return at once.
func TestRefusals(t *testing.T) {
	c := carrier()
	a := c.Handle(context.Background(), request(t, "Id: 1\r\n"), time.Unix(1000, 0))
	if a.Status != 503 || a.Field("Retry-After") == "" {
		t.Errorf("without a configuration: %d, Retry-After %q; want 503 and a time", a.Status, a.Field("Retry-After"))
	}
	cfg := &fleet.Config{Version: 1, Services: map[ident.Service]fleet.Service{}, Routes: []fleet.Route{{
		Name: "r", Host: "x", Prefix: "/a/", Parts: []fleet.Part{{Service: "s", Weight: 1}}, Timeout: 2 * time.Second, MaxAttempts: 2}}}
	cfg.Index()
	c.Update(time.Unix(1000, 0), &fleet.Snapshot{Config: cfg, RegistryRead: true})
	spread := map[string]bool{}
	for i := range 100 {
		a := c.Handle(context.Background(), request(t, fmt.Sprintf("Id: %d\r\n", i)), time.Unix(1000, 0))
		after, err := strconv.ParseFloat(a.Field("Retry-After"), 64)
		if a.Status != 503 || err != nil || after < retryAfterLeast.Seconds() || after > retryAfterMost.Seconds() {
			t.Fatalf("without a target: %d, Retry-After %q", a.Status, a.Field("Retry-After"))
		}
		spread[a.Field("Retry-After")] = true
	}
	if len(spread) < 20 {
		t.Errorf("100 callers return at %d different times", len(spread))
	}
}

// Guards against a load report that is made up from one that cannot be read.
func TestLoadReport(t *testing.T) {
	k := &call{Carrier: carrier()}
	for text, ok := range map[string]bool{"3,0,8": true, " 3, 1 ,8": true, "3,0": false, "": false, "a,b,c": false, "-1,0,8": false} {
		got := k.load(codec.NewAnswer(200, "", codec.Field{Name: "Load", Value: text}))
		if (got != nil) != ok {
			t.Errorf("%q: %+v", text, got)
		}
	}
}

// Guards against an answer to another request that is taken for this one's.
func TestMine(t *testing.T) {
	k := &call{Carrier: carrier(), id: "1"}
	for _, tt := range []struct {
		name   string
		answer *codec.Answer
		want   bool
	}{
		{"own id", codec.NewAnswer(200, "", codec.Field{Name: "Id", Value: "1"}), true},
		{"another id", codec.NewAnswer(200, "", codec.Field{Name: "Id", Value: "2"}), false},
		{"no id", codec.NewAnswer(200, ""), false},
		{"refusal without an id", codec.NewAnswer(503, "", codec.Field{Name: "Not-Run", Value: "1"}), false},
		{"refusal of another request", codec.NewAnswer(503, "", codec.Field{Name: "Not-Run", Value: "1"}, codec.Field{Name: "Id", Value: "2"}), false},
	} {
		if got := k.mine(tt.answer); got != tt.want {
			t.Errorf("%s: %v", tt.name, got)
		}
	} // A request without an id can only get answers without one.
	k.id = ""
	if !k.mine(codec.NewAnswer(400, "", codec.Field{Name: "Not-Run", Value: "1"})) {
		t.Error("the refusal of a request without an id is not taken for its answer")
	}
}
