package stubs_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/currantpier/currantpier/stubs"
)

// waitUntil polls for a condition that another goroutine establishes. If it never holds, go test times out.
func waitUntil(ok func() bool) {
	for !ok() {
		runtime.Gosched()
	}
}

// startUpstream serves u on a free port and returns its URL.
func startUpstream(t testing.TB, u *stubs.Upstream) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- u.Serve(ctx, ln) }()
	t.Cleanup(func() { cancel(); <-done })
	return "http://" + ln.Addr().String()
}

type result struct {
	status int
	shed   string
	answer stubs.Response
	err    error
}

func send(ctx context.Context, h *http.Client, url, id, deadlineMs string) result {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/work", strings.NewReader("body"))
	if err != nil {
		return result{err: err}
	}
	req.Header.Set("Request-Id", id)
	if deadlineMs != "" {
		req.Header.Set("Deadline-Ms", deadlineMs)
	}
	resp, err := h.Do(req)
	if err != nil {
		return result{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	r := result{status: resp.StatusCode, shed: resp.Header.Get("Shed"), err: err}
	if err == nil && r.status == http.StatusOK {
		r.err = json.Unmarshal(body, &r.answer)
	}
	return r
}

// Guards against outcomes that a caller cannot tell apart, wrong execution counts (refused requests must not count),
// and faults with other effects than documented.
func TestUpstreamOutcomes(t *testing.T) {
	workForever := stubs.WithService(time.Hour)
	tests := []struct {
		name       string
		opts       []stubs.UpstreamOption
		faults     string
		deadlineMs string
		status     int // 0 expects no response
		shed       string
		executions int
	}{
		{"success", nil, `{}`, "", 200, "", 1},
		{"zero deadline", nil, `{}`, "0", 503, "not-run", 0},
		{"malformed deadline", nil, `{}`, "soon", 503, "not-run", 0},
		{"deadline during execution", []stubs.UpstreamOption{workForever}, `{}`, "1", 504, "", 1},
		{"no slots", []stubs.UpstreamOption{stubs.WithSlots(0), stubs.WithQueue(0, time.Hour)}, `{}`, "", 503, "not-run", 0},
		{"queue timeout", []stubs.UpstreamOption{stubs.WithSlots(0), stubs.WithQueue(1, 1)}, `{}`, "", 503, "not-run", 0},
		{"deadline in the queue", []stubs.UpstreamOption{stubs.WithSlots(0), stubs.WithQueue(1, time.Hour)}, `{}`, "1", 503, "not-run", 0},
		{"unmarked shed", nil, `{"shed-unmarked":1}`, "", 503, "", 0},
		{"truncated", nil, `{"truncate":1}`, "", 200, "", 1},
		{"reset", nil, `{"reset":1}`, "", 0, "", 1},
		{"late response", nil, `{"late-ms":1}`, "", 200, "", 1},
		{"cold", []stubs.UpstreamOption{workForever, stubs.WithCold(0, time.Minute)}, `{}`, "", 200, "", 1},
		{"warm", []stubs.UpstreamOption{workForever, stubs.WithCold(0, time.Second)}, `{}`, "1", 504, "", 1},
	}
	for _, tt := range tests {
		c := &manualClock{time.Unix(1000, 0)}
		u := stubs.NewUpstream("t-1", c.Now, tt.opts...)
		c.now = c.now.Add(time.Second)
		url := startUpstream(t, u)
		post(t, url+"/faults", tt.faults)
		r := send(t.Context(), &http.Client{Transport: &http.Transport{}}, url, "id-1", tt.deadlineMs)
		if r.status != tt.status || r.shed != tt.shed || (r.err != nil) != (tt.status == 0 || tt.name == "truncated") {
			t.Errorf("%s: %+v", tt.name, r)
		}
		want := stubs.Response{Target: "t-1", RequestID: "id-1", Path: "/work", Execution: 1}
		if diff := cmp.Diff(want, r.answer); r.status == 200 && r.err == nil && diff != "" {
			t.Errorf("%s: %s", tt.name, diff)
		}
		if n := u.Executions("id-1"); n != tt.executions {
			t.Errorf("%s: %d executions, want %d", tt.name, n, tt.executions)
		}
	}
}

// Guards against executing more requests at once than there are slots, a queue that is not first in, first out, and a
// slot that is not freed when its caller disconnects.
func TestSlotsAndQueue(t *testing.T) {
	c := &manualClock{time.Unix(1000, 0)}
	u := stubs.NewUpstream("t-1", c.Now, stubs.WithSlots(2), stubs.WithQueue(1, time.Hour), stubs.WithService(time.Hour))
	url := startUpstream(t, u)
	h := &http.Client{Transport: &http.Transport{}}
	var wg sync.WaitGroup
	cancel := make([]context.CancelFunc, 3)
	for i := range 3 {
		ctx, stop := context.WithCancel(t.Context())
		cancel[i] = stop
		wg.Go(func() { send(ctx, h, url, fmt.Sprint("id-", i), "") })
		waitUntil(func() bool { return u.Report().Load == float64(i+1)/2 })
	}
	if r := send(t.Context(), h, url, "id-3", ""); r.shed != "not-run" {
		t.Errorf("slots and queue full: %+v", r)
	}
	if n := u.Counts(); n.Executed != 2 || n.Waited != 2 || n.Peak != 3 || u.Executions("id-2") != 0 {
		t.Errorf("counts with two slots and a queue of one: %+v", n)
	}
	cancel[0]()
	waitUntil(func() bool { return u.Executions("id-2") == 1 })
	cancel[1]()
	cancel[2]()
	waitUntil(func() bool { return u.Report().Load == 0 })
	if n := u.Counts(); n.Cancelled != 3 {
		t.Errorf("counts after all callers disconnected: %+v", n)
	}
	wg.Wait()
}

// Guards against a silent connection that responds or is closed, and against silence that spreads to new connections.
func TestSilentConnection(t *testing.T) {
	u := stubs.NewUpstream("t-1", (&manualClock{time.Unix(1000, 0)}).Now)
	url := startUpstream(t, u)
	existing, fresh := &http.Client{Transport: &http.Transport{}}, &http.Client{Transport: &http.Transport{}}
	if r := send(t.Context(), existing, url, "id-1", ""); r.status != 200 {
		t.Fatalf("before the fault: %+v", r)
	}
	u.SetFaults(stubs.UpstreamFaults{Silence: true})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if r := send(ctx, existing, url, "id-2", ""); ctx.Err() == nil || u.Executions("id-2") != 0 {
		t.Errorf("on the silent connection: %+v", r)
	}
	for _, h := range []*http.Client{fresh, existing} {
		if r := send(t.Context(), h, url, "id-3", ""); r.status != 200 {
			t.Errorf("on a new connection: %+v", r)
		}
	}
}

// Guards against sending the response to a request in progress after its connection has become silent.
func TestConnectionSilencedDuringRequest(t *testing.T) {
	u := stubs.NewUpstream("t-1", (&manualClock{time.Unix(1000, 0)}).Now)
	url := startUpstream(t, u)
	u.SetFaults(stubs.UpstreamFaults{ResponseDelayMs: 3_600_000})
	ctx, cancel := context.WithCancel(t.Context())
	got := make(chan result, 1)
	go func() { got <- send(ctx, &http.Client{Transport: &http.Transport{}}, url, "id-1", "") }()
	waitUntil(func() bool { return u.Executions("id-1") == 1 })
	u.SetFaults(stubs.UpstreamFaults{Silence: true}) // also ends the delay
	if r := send(t.Context(), &http.Client{Transport: &http.Transport{}}, url, "id-2", ""); r.status != 200 {
		t.Errorf("on a new connection: %+v", r)
	}
	cancel()
	if r := <-got; r.err == nil {
		t.Errorf("on the silent connection: %+v", r)
	}
}

// Guards against a delayed response that ends at the deadline of its caller, and against a delay that occupies the
// slot.
func TestLateResponse(t *testing.T) {
	u := stubs.NewUpstream("t-1", (&manualClock{time.Unix(1000, 0)}).Now, stubs.WithSlots(1), stubs.WithQueue(0, 0))
	url := startUpstream(t, u)
	u.SetFaults(stubs.UpstreamFaults{ResponseDelayMs: 3_600_000})
	got := make(chan result, 2)
	for i := range 2 {
		go func() {
			got <- send(t.Context(), &http.Client{Transport: &http.Transport{}}, url, fmt.Sprint("id-", i), "1")
		}()
		waitUntil(func() bool { return u.Counts().Executed == int64(i+1) && u.Report().Load == 0 })
	}
	if len(got) > 0 {
		t.Error("response arrived before the delay ended")
	}
	u.SetFaults(stubs.UpstreamFaults{})
	for range 2 {
		if r := <-got; r.status != 200 {
			t.Errorf("late response: %+v", r)
		}
	}
}

// Guards against reports newer than the lag, and against a leaving flag that is missing from them.
func TestReports(t *testing.T) {
	c := &manualClock{time.Unix(1000, 0)}
	u := stubs.NewUpstream("t-1", c.Now, stubs.WithReportLag(2*time.Second))
	reportsLeaving := func(f stubs.UpstreamFaults, d time.Duration) bool {
		u.SetFaults(f)
		c.now = c.now.Add(d)
		return u.Report().Leaving
	}
	leaving := stubs.UpstreamFaults{Leaving: true}
	if reportsLeaving(leaving, time.Second) {
		t.Error("leaving reported before the lag has passed")
	}
	if !reportsLeaving(leaving, time.Second) {
		t.Error("leaving not reported after the lag")
	}
	if reportsLeaving(stubs.UpstreamFaults{Leaving: true, Misleading: true}, 0) {
		t.Error("misleading report contains leaving")
	}
	if !reportsLeaving(stubs.UpstreamFaults{}, 2*time.Second-1) || reportsLeaving(stubs.UpstreamFaults{}, 1) {
		t.Error("end of leaving not reported exactly after the lag")
	}
}

func BenchmarkUpstream(b *testing.B) {
	u := stubs.NewUpstream("t-1", time.Now, stubs.WithSlots(1000))
	url := startUpstream(b, u)
	h := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if r := send(context.Background(), h, url, "", ""); r.status != 200 {
				b.Errorf("response: %+v", r)
				return
			}
		}
	})
}
