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

// eventually waits for another goroutine. The timeout of go test reports a condition that never holds.
func eventually(ok func() bool) {
	for !ok() {
		runtime.Gosched()
	}
}

// serve runs u on a port of its own and returns its address.
func serve(t testing.TB, u *stubs.Upstream) string {
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
	answer stubs.Answer
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

// Guards against answers that cannot be told apart, executions that are not counted or counted for shed work, and
// faults that leave the wrong trace.
func TestUpstreamOutcomes(t *testing.T) {
	hour := stubs.WithService(time.Hour)
	tests := []struct {
		name       string
		opts       []stubs.UpstreamOption
		faults     string
		deadlineMs string
		status     int // 0: no answer
		shed       string
		executions int
	}{
		{"answered", nil, `{}`, "", 200, "", 1},
		{"no time left", nil, `{}`, "0", 503, "not-run", 0},
		{"malformed deadline", nil, `{}`, "soon", 503, "not-run", 0},
		{"deadline during the work", []stubs.UpstreamOption{hour}, `{}`, "1", 504, "", 1},
		{"no slots", []stubs.UpstreamOption{stubs.WithSlots(0), stubs.WithQueue(0, time.Hour)}, `{}`, "", 503, "not-run", 0},
		{"queue too slow", []stubs.UpstreamOption{stubs.WithSlots(0), stubs.WithQueue(1, 1)}, `{}`, "", 503, "not-run", 0},
		{"deadline in the queue", []stubs.UpstreamOption{stubs.WithSlots(0), stubs.WithQueue(1, time.Hour)}, `{}`, "1", 503, "not-run", 0},
		{"shed without a mark", nil, `{"shed-unmarked":1}`, "", 503, "", 0},
		{"truncated", nil, `{"truncate":1}`, "", 200, "", 1},
		{"reset", nil, `{"reset":1}`, "", 0, "", 1},
		{"late", nil, `{"late-ms":1}`, "", 200, "", 1},
		{"cold", []stubs.UpstreamOption{hour, stubs.WithCold(0, time.Minute)}, `{}`, "", 200, "", 1},
		{"warm", []stubs.UpstreamOption{hour, stubs.WithCold(0, time.Second)}, `{}`, "1", 504, "", 1},
	}
	for _, tt := range tests {
		c := &clock{time.Unix(1000, 0)}
		u := stubs.NewUpstream("t-1", c.Now, tt.opts...)
		c.now = c.now.Add(time.Second)
		url := serve(t, u)
		post(t, url+"/faults", tt.faults)
		r := send(t.Context(), &http.Client{Transport: &http.Transport{}}, url, "id-1", tt.deadlineMs)
		if r.status != tt.status || r.shed != tt.shed || (r.err != nil) != (tt.status == 0 || tt.name == "truncated") {
			t.Errorf("%s: %+v", tt.name, r)
		}
		want := stubs.Answer{Target: "t-1", RequestID: "id-1", Path: "/work", Execution: 1}
		if diff := cmp.Diff(want, r.answer); r.status == 200 && r.err == nil && diff != "" {
			t.Errorf("%s: %s", tt.name, diff)
		}
		if n := u.Executions("id-1"); n != tt.executions {
			t.Errorf("%s: %d executions, want %d", tt.name, n, tt.executions)
		}
	}
}

// Guards against more work at once than slots, a queue that is not first come first served, and a slot that is not
// freed when a caller goes away.
func TestSlotsAndQueue(t *testing.T) {
	c := &clock{time.Unix(1000, 0)}
	u := stubs.NewUpstream("t-1", c.Now, stubs.WithSlots(2), stubs.WithQueue(1, time.Hour), stubs.WithService(time.Hour))
	url := serve(t, u)
	h := &http.Client{Transport: &http.Transport{}}
	var wg sync.WaitGroup
	cancel := make([]context.CancelFunc, 3)
	for i := range 3 {
		ctx, stop := context.WithCancel(t.Context())
		cancel[i] = stop
		wg.Go(func() { send(ctx, h, url, fmt.Sprint("id-", i), "") })
		eventually(func() bool { return u.Report().Load == float64(i+1)/2 })
	}
	if r := send(t.Context(), h, url, "id-3", ""); r.shed != "not-run" {
		t.Errorf("over slots and queue: %+v", r)
	}
	if n := u.Counts(); n.Executed != 2 || n.Waited != 2 || n.Peak != 3 || u.Executions("id-2") != 0 {
		t.Errorf("two slots and a queue of one: %+v", n)
	}
	cancel[0]()
	eventually(func() bool { return u.Executions("id-2") == 1 })
	cancel[1]()
	cancel[2]()
	eventually(func() bool { return u.Report().Load == 0 })
	if n := u.Counts(); n.Cancelled != 3 {
		t.Errorf("after all callers left: %+v", n)
	}
	wg.Wait()
}

// Guards against a silent connection that answers after all, one that is closed, and new connections that fail too.
func TestSilentConnection(t *testing.T) {
	u := stubs.NewUpstream("t-1", (&clock{time.Unix(1000, 0)}).Now)
	url := serve(t, u)
	old, fresh := &http.Client{Transport: &http.Transport{}}, &http.Client{Transport: &http.Transport{}}
	if r := send(t.Context(), old, url, "id-1", ""); r.status != 200 {
		t.Fatalf("before: %+v", r)
	}
	u.SetFaults(stubs.UpstreamFaults{Silence: true})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if r := send(ctx, old, url, "id-2", ""); ctx.Err() == nil || u.Executions("id-2") != 0 {
		t.Errorf("on the silent connection: %+v", r)
	}
	for _, h := range []*http.Client{fresh, old} {
		if r := send(t.Context(), h, url, "id-3", ""); r.status != 200 {
			t.Errorf("on a new connection: %+v", r)
		}
	}
}

// Guards against an answer to a request in progress that leaves a connection which has gone silent meanwhile.
func TestSilenceDuringRequest(t *testing.T) {
	u := stubs.NewUpstream("t-1", (&clock{time.Unix(1000, 0)}).Now)
	url := serve(t, u)
	u.SetFaults(stubs.UpstreamFaults{LateMs: 3_600_000})
	ctx, cancel := context.WithCancel(t.Context())
	got := make(chan result, 1)
	go func() { got <- send(ctx, &http.Client{Transport: &http.Transport{}}, url, "id-1", "") }()
	eventually(func() bool { return u.Executions("id-1") == 1 })
	u.SetFaults(stubs.UpstreamFaults{Silence: true}) // also ends the delay
	if r := send(t.Context(), &http.Client{Transport: &http.Transport{}}, url, "id-2", ""); r.status != 200 {
		t.Errorf("on a new connection: %+v", r)
	}
	cancel()
	if r := <-got; r.err == nil {
		t.Errorf("on the silent connection: %+v", r)
	}
}

// Guards against a late answer that ends with its caller's deadline, and against one that keeps the slot.
func TestLateAnswer(t *testing.T) {
	u := stubs.NewUpstream("t-1", (&clock{time.Unix(1000, 0)}).Now, stubs.WithSlots(1), stubs.WithQueue(0, 0))
	url := serve(t, u)
	u.SetFaults(stubs.UpstreamFaults{LateMs: 3_600_000})
	got := make(chan result, 2)
	for i := range 2 {
		go func() {
			got <- send(t.Context(), &http.Client{Transport: &http.Transport{}}, url, fmt.Sprint("id-", i), "1")
		}()
		eventually(func() bool { return u.Counts().Executed == int64(i+1) && u.Report().Load == 0 })
	}
	if len(got) > 0 {
		t.Error("an answer came before the delay had ended")
	}
	u.SetFaults(stubs.UpstreamFaults{})
	for range 2 {
		if r := <-got; r.status != 200 {
			t.Errorf("late: %+v", r)
		}
	}
}

// Guards against a report that is fresher than the lag, and a drain notice that does not show.
func TestReports(t *testing.T) {
	c := &clock{time.Unix(1000, 0)}
	u := stubs.NewUpstream("t-1", c.Now, stubs.WithReportLag(2*time.Second))
	step := func(f stubs.UpstreamFaults, d time.Duration) bool {
		u.SetFaults(f)
		c.now = c.now.Add(d)
		return u.Report().Leaving
	}
	leaving := stubs.UpstreamFaults{Leaving: true}
	if step(leaving, time.Second) {
		t.Error("leaving shows before the lag")
	}
	if !step(leaving, time.Second) {
		t.Error("leaving does not show after the lag")
	}
	if step(stubs.UpstreamFaults{Leaving: true, Misleading: true}, 0) {
		t.Error("a misleading report shows the truth")
	}
	if !step(stubs.UpstreamFaults{}, 2*time.Second-1) || step(stubs.UpstreamFaults{}, 1) {
		t.Error("the end of leaving does not show exactly after the lag")
	}
}

func BenchmarkUpstream(b *testing.B) {
	u := stubs.NewUpstream("t-1", time.Now, stubs.WithSlots(1000))
	url := serve(b, u)
	h := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if r := send(context.Background(), h, url, "", ""); r.status != 200 {
				b.Errorf("answer: %+v", r)
				return
			}
		}
	})
}
