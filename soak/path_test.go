package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/currantpier/currantpier/stubs/plat"
	"github.com/currantpier/currantpier/trail"
)

func lookRequest(id string) request  { return request{id, "GET", "/look/x", "", 1500} }
func orderRequest(id string) request { return request{id, "POST", "/order/x", "body of " + id, 1500} }

// Guards against serving only one kind of request, changing forwarded requests, forwarding a deadline longer than the
// time left, and wrong refusals for an unknown route or a deadline that is too short.
func TestWholePath(t *testing.T) {
	tc := startCluster(t, 3)
	for i, v := range tc.vms {
		for _, r := range []request{lookRequest(fmt.Sprint("look", i)), orderRequest(fmt.Sprint("order", i))} {
			a := v.send(r)
			if !a.isCompleteFor(r.id) {
				t.Errorf("%s at %s: %+v", r.id, v.name, a)
			}
			for _, tg := range tc.targets {
				if body, ms, ended := tg.Attempt(r.id); !ended.IsZero() && (body != r.body || ms <= 0 || ms > r.deadlineMS) {
					t.Errorf("%s reached a target with body %q and deadline %d ms", r.id, body, ms)
				}
			}
		}
	}
	if a := tc.vms[0].send(request{"none", "GET", "/none/", "", 500}); a.status != 404 {
		t.Errorf("unknown route: %+v, want 404", a)
	}
	if a := tc.vms[0].send(request{"late", "GET", "/look/x", "", 1}); a.status != 503 || a.retryAfter == "" {
		t.Errorf("deadline too short: %+v, want 503 with Retry-After", a)
	}
}

// Guards against passing a faulty response on as a success, executing an order twice, and not retrying an idempotent
// request.
func TestFaultyResponses(t *testing.T) {
	tc := startCluster(t, 1)
	// The targets share the faults because the choice of the next target depends on earlier requests.
	responseFaults := &plat.ResponseFaults{}
	for _, tg := range tc.targets {
		tg.UseResponseFaults(responseFaults)
	}
	// A failure that the target itself reports is passed on with its signature.
	orderStatus := map[plat.ResponseFault]int{plat.ExtraResponse: 200, plat.ServerError: 500}
	for _, s := range []plat.ResponseFault{plat.ResetAfterRun, plat.TruncateBody, plat.ResetWithoutLength, plat.MalformedResponse,
		plat.InvalidStatus, plat.InvalidFieldName, plat.MissingSignature, plat.ExtraResponse, plat.ServerError} {
		t.Run(string(s), func(t *testing.T) {
			responseFaults.Set(s, 1)
			id := "look-" + string(s)
			if a := tc.vms[0].send(lookRequest(id)); !a.isCompleteFor(id) {
				t.Errorf("idempotent: %+v, want a complete response of another target", a)
			}
			tc.awaitRecovery(t)
			responseFaults.Set(s, 1)
			id = "order-" + string(s)
			a := tc.vms[0].send(orderRequest(id))
			want := 502
			if n, ok := orderStatus[s]; ok {
				want = n
			}
			if a.status != want || a.status == 200 && !a.isCompleteFor(id) {
				t.Errorf("order: %+v, want status %d", a, want)
			}
			if n := tc.executions()[id]; n != 1 {
				t.Errorf("order ran %d times, want once", n)
			}
			responseFaults.Set(plat.NoFault, 0)
			tc.awaitRecovery(t)
		})
	}
}

// Guards against delivering a response to the wrong caller: a late response to another request arrives on a reused
// connection in place of the response to the next request.
func TestStrayAnswer(t *testing.T) {
	tc := startCluster(t, 1)
	responseFaults := &plat.ResponseFaults{}
	for _, tg := range tc.targets {
		tg.UseResponseFaults(responseFaults)
	}
	responseFaults.Set(plat.LateExtraResponse, 1)
	if a := tc.vms[0].send(lookRequest("first")); !a.isCompleteFor("first") {
		t.Errorf("first request: %+v", a)
	}
	r := lookRequest("second")
	r.deadlineMS = 400
	if a := tc.vms[0].send(r); a.status == 200 && !a.isCompleteFor("second") {
		t.Errorf("second request got the response to another request: %+v", a)
	}
	tc.awaitRecovery(t)
}

var probeCount int

// preferredTarget returns the target that executed a request just now and will most likely get the next one.
func (tc *testCluster) preferredTarget(t *testing.T) *plat.Target {
	probeCount++
	r := lookRequest(fmt.Sprint("probe", probeCount))
	if a := tc.vms[0].send(r); !a.isCompleteFor(r.id) {
		t.Fatalf("probe request: %+v", a)
	}
	for _, tg := range tc.targets {
		if tg.Executions()[r.id] > 0 {
			return tg
		}
	}
	t.Fatal("no target executed the probe request")
	return nil
}

// awaitRecovery sends requests until targets that were avoided after a failure are used again.
func (tc *testCluster) awaitRecovery(t *testing.T) {
	t.Helper()
	served := 0
	tc.eventually(15*time.Second, "requests are served again", func() bool {
		probeCount++
		id := fmt.Sprint("calm", probeCount)
		if tc.vms[0].send(lookRequest(id)).isCompleteFor(id) {
			served++
		}
		return served >= 5
	})
}

// Guards against refusing a request that was executed, and against a refusal without Retry-After.
func TestRefusedRequestsDidNotRun(t *testing.T) {
	tc := startCluster(t, 1)
	var mu sync.Mutex
	var wg sync.WaitGroup
	statuses := map[int]int{}
	for i := range 300 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			r := orderRequest(fmt.Sprint("rush", i))
			r.deadlineMS = 60
			a := tc.vms[0].send(r)
			mu.Lock()
			defer mu.Unlock()
			statuses[a.status]++
			if a.status == 503 && (a.retryAfter == "" || tc.executions()[r.id] > 0) {
				t.Errorf("%s: refused with Retry-After %q after %d executions", r.id, a.retryAfter, tc.executions()[r.id])
			}
		}()
	}
	wg.Wait()
	for id, n := range tc.executions() {
		if n > 1 {
			t.Errorf("%s ran %d times", id, n)
		}
	}
	if statuses[503] == 0 || statuses[200] == 0 {
		t.Errorf("statuses %v: want some requests served and some refused", statuses)
	}
}

// Guards against requests that reach a target after its drain bound, and against malformed registry entries that
// disturb routing.
func TestLeavingTarget(t *testing.T) {
	tc := startCluster(t, 3)
	tc.store.PutBytes("servers", "forged", []byte(`{"Service":"shop","Address":1}`))
	tc.store.PutBytes("servers", "noise", []byte{0xff, 0})
	leaving := tc.preferredTarget(t)
	for i, tg := range tc.targets {
		if tg == leaving {
			tc.register(i, "draining")
		}
	}
	leftAt := time.Now()
	for i := 0; time.Since(leftAt) < 4*time.Second; i++ {
		id := fmt.Sprint("leave", i)
		if a := tc.vms[i%3].send(lookRequest(id)); !a.isCompleteFor(id) {
			t.Errorf("%s: %+v", id, a)
		}
		time.Sleep(5 * time.Millisecond)
	}
	if late := leaving.LastArrival().Sub(leftAt); late > time.Duration(drainS*float64(time.Second)) {
		t.Errorf("a request reached the leaving target after %v", late)
	}
}

// Guards against a VM that drops its targets or configuration during a store outage, and against one that misses
// changes made meanwhile.
func TestStoreOutage(t *testing.T) {
	tc := startCluster(t, 3)
	for name, f := range map[string]plat.StoreFaults{
		"busy":   {Status: 503},
		"silent": {Silent: true},
	} {
		t.Run(name, func(t *testing.T) {
			tc.store.SetFaults(f)
			for i := range 60 {
				id := fmt.Sprint("outage", name, i)
				if a := tc.vms[i%3].send(lookRequest(id)); !a.isCompleteFor(id) {
					t.Errorf("%s: %+v", id, a)
				}
				time.Sleep(25 * time.Millisecond)
			}
			service := map[string]string{"busy": "desk", "silent": "shop"}[name]
			tc.configure(service)
			tc.store.SetFaults(plat.StoreFaults{})
			tc.awaitConfig(t, service, 6*time.Second)
		})
	}
	tc.store.Compact()
	tc.configure("desk")
	tc.awaitConfig(t, "desk", 3*time.Second)
}

// awaitConfig waits until all VMs send requests of the route /move/ to the given service.
func (tc *testCluster) awaitConfig(t *testing.T, service string, limit time.Duration) {
	t.Helper()
	for _, v := range tc.vms {
		tc.eventually(limit, "the new configuration is in force at "+v.name, func() bool { return tc.moveIsServedBy(v, service) })
	}
}

// moveIsServedBy reports whether a VM sends a request of the route /move/ to the given service.
func (tc *testCluster) moveIsServedBy(v *vm, service string) bool {
	from, to := 0, 4
	if service == "desk" {
		from, to = 4, targetCount
	}
	probeCount++
	id := fmt.Sprint("move", probeCount)
	if !v.send(request{id, "GET", "/move/x", "", 1500}).isCompleteFor(id) {
		return false
	}
	for _, tg := range tc.targets[from:to] {
		if tg.Executions()[id] > 0 {
			return true
		}
	}
	return false
}

// Guards against an execution that continues at the target after the caller has disconnected.
func TestCallerDisconnects(t *testing.T) {
	tc := startCluster(t, 1)
	for _, tg := range tc.targets {
		tg.SetServiceTime(3 * time.Second)
	}
	nc, err := net.Dial("tcp", tc.vms[0].address(tc.ports.caller))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(nc, lookRequest("left").bytes()); err != nil {
		t.Fatal(err)
	}
	tc.eventually(2*time.Second, "the request is executed", func() bool { return tc.executions()["left"] == 1 })
	leftAt := time.Now()
	_ = nc.Close()
	tc.eventually(2*time.Second, "the target stopped the execution", func() bool {
		for _, tg := range tc.targets {
			if _, _, ended := tg.Attempt("left"); !ended.IsZero() {
				return ended.Sub(leftAt) < 500*time.Millisecond
			}
		}
		return false
	})
}

// Guards against responses to pipelined requests that are out of order, and against pipelined requests that block
// each other.
func TestPipelinedRequests(t *testing.T) {
	tc := startCluster(t, 1)
	nc, err := net.Dial("tcp", tc.vms[0].address(tc.ports.caller))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = nc.Close() }()
	all := ""
	for i := range 8 {
		all += lookRequest(fmt.Sprint("ahead", i)).bytes()
	}
	if _, err := io.WriteString(nc, all); err != nil {
		t.Fatal(err)
	}
	br := bufio.NewReader(nc)
	for i := range 8 {
		id := fmt.Sprint("ahead", i)
		_ = nc.SetDeadline(time.Now().Add(3 * time.Second))
		if a := readResponse(br, "GET"); !a.isCompleteFor(id) {
			t.Fatalf("response %d: %+v", i, a)
		}
	}
}

// Guards against a request on a persistent connection that gets no response because its VM is stopped as planned, and
// against lookups that still return the stopped VM.
func TestPlannedStop(t *testing.T) {
	tc := startCluster(t, 3)
	stopped := tc.vms[1]
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for c := range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			tc.keepSending(t, stopped, c, stop)
		}()
	}
	time.Sleep(300 * time.Millisecond)
	stopped.signal(syscall.SIGTERM)
	tc.eventually(4*time.Second, "lookups omit the stopped VM", func() bool {
		return !strings.Contains(strings.Join(tc.vms[0].lookup(), " "), stopped.ip)
	})
	select {
	case <-stopped.exited:
	case <-time.After(6 * time.Second):
		t.Error("the process has not exited 6 s after the lookups omitted it")
	}
	close(stop)
	wg.Wait()
	if keys := strings.Join(tc.store.Keys("currantpier-vms"), " "); strings.Contains(keys, stopped.name) {
		t.Errorf("the store still lists the VM: %s", keys)
	}
}

// keepSending sends requests on persistent connections until stop is closed or the VM accepts no more connections.
func (tc *testCluster) keepSending(t *testing.T, v *vm, c int, stop <-chan struct{}) {
	for n := 0; ; {
		nc, err := net.DialTimeout("tcp", v.address(tc.ports.caller), time.Second)
		if err != nil {
			return
		}
		br := bufio.NewReader(nc)
		for open := true; open; n++ {
			select {
			case <-stop:
				_ = nc.Close()
				return
			default:
			}
			id := fmt.Sprintf("kept%d-%d", c, n)
			a := exchange(nc, br, lookRequest(id))
			open = a.status != 0 && !a.closesConnection
			if a.status == 0 && tc.executions()[id] > 0 {
				t.Errorf("%s was executed but its caller got no response", id)
			}
			if a.status != 0 && !a.isCompleteFor(id) {
				t.Errorf("%s: %+v", id, a)
			}
			time.Sleep(3 * time.Millisecond)
		}
		_ = nc.Close()
	}
}

// Guards against a process that exits on SIGHUP instead of reloading its settings. Found on the bench with the mix of
// kalnins-seti, seed 132739993789.
func TestReloadOnSIGHUP(t *testing.T) {
	tc := startCluster(t, 1)
	tc.vms[0].signal(syscall.SIGHUP)
	tc.eventually(3*time.Second, "the settings are reloaded", func() bool { return tc.vms[0].logged("event=reload") })
	if a := tc.vms[0].send(lookRequest("after")); !a.isCompleteFor("after") {
		t.Errorf("after SIGHUP: %+v", a)
	}
}

// Guards against lookups that still return a killed VM, and against a killed VM that does not rejoin after its
// restart.
func TestKilledVM(t *testing.T) {
	tc := startCluster(t, 3)
	killed := tc.vms[1]
	killed.signal(syscall.SIGKILL)
	<-killed.exited
	named := func() bool { return strings.Contains(strings.Join(tc.vms[0].lookup(), " "), killed.ip) }
	tc.eventually(6*time.Second, "lookups omit the killed VM", func() bool { return !named() })
	killed.start()
	tc.eventually(6*time.Second, "lookups return the restarted VM", named)
	if a := killed.send(orderRequest("back")); !a.isCompleteFor("back") {
		t.Errorf("after the restart: %+v", a)
	}
}

// Guards against a VM that is restarted during a store outage and does not serve until the store is available.
func TestStartDuringOutage(t *testing.T) {
	tc := startCluster(t, 3)
	tc.configure("desk")
	tc.awaitConfig(t, "desk", 3*time.Second)
	tc.store.SetFaults(plat.StoreFaults{Status: 503})
	v := tc.vms[1]
	v.signal(syscall.SIGKILL)
	<-v.exited
	v.start()
	tc.eventually(5*time.Second, "the VM is ready without the store", v.ready)
	if a := v.send(orderRequest("without-store")); !a.isCompleteFor("without-store") {
		t.Errorf("after a start during an outage: %+v", a)
	}
	tc.awaitConfig(t, "desk", time.Second)
	tc.store.SetFaults(plat.StoreFaults{})
	tc.configure("shop")
	tc.awaitConfig(t, "shop", 6*time.Second)
}

// Guards against a failed request that cannot be diagnosed: its id must lead to a log entry with the cause, and the
// metrics and the dump must be available.
func TestFailedRequestIsExplained(t *testing.T) {
	tc := startCluster(t, 1)
	for _, tg := range tc.targets {
		tg.SetResponseFault(plat.ResetAfterRun, 1)
	}
	if a := tc.vms[0].send(orderRequest("lost")); a.status != 502 {
		t.Errorf("%+v, want 502", a)
	}
	tc.eventually(2*time.Second, "the log contains the failed request", func() bool { return tc.vms[0].logged("event=failed id=lost") })
	tc.vms[0].mu.Lock()
	lines, err := trail.Read(strings.NewReader(tc.vms[0].output.String()))
	tc.vms[0].mu.Unlock()
	if err != nil {
		t.Fatal(err)
	}
	var explanation strings.Builder
	if found, err := trail.Explain(&explanation, lines, "lost"); err != nil || !found || !strings.Contains(explanation.String(), "outcome-unknown") {
		t.Errorf("explanation %q, error %v", explanation.String(), err)
	}
	for path, want := range map[string]string{
		"/metrics": `currantpier_requests_total{route="order",outcome="outcome-unknown"} 1`, "/dump": `"targets"`,
	} {
		resp, err := noKeepAliveClient.Get("http://" + tc.vms[0].address(tc.ports.metrics) + path)
		if err != nil {
			t.Fatal(err)
		}
		b, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil || !strings.Contains(string(b), want) {
			t.Errorf("%s: error %v, no %s in %.400s", path, err, want, b)
		}
	}
}

// Guards against a stopping VM that accepts a request on a persistent connection so late that the process exits
// before the response. Found with kalnins-seti-grown trouble-2, seed 1081075261651: LOST, accepted 4.7 s after
// SIGTERM.
func TestNoRequestIsTakenLate(t *testing.T) {
	tc := startCluster(t, 2)
	v := tc.vms[0]
	nc, err := net.Dial("tcp", v.address(tc.ports.caller))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = nc.Close() }()
	br := bufio.NewReader(nc)
	if a := exchange(nc, br, lookRequest("early")); !a.isCompleteFor("early") {
		t.Fatalf("before the stop: %+v", a)
	}
	v.signal(syscall.SIGTERM)
	// A request in progress keeps the process running.
	for _, tg := range tc.targets {
		tg.SetServiceTime(1900 * time.Millisecond)
	}
	time.Sleep(1500 * time.Millisecond)
	long := make(chan response, 1)
	go func() { long <- v.send(request{"long", "GET", "/look/x", "", 2000}) }()
	tc.eventually(3*time.Second, "the idle connection is closed", func() bool {
		_ = nc.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
		_, err := br.Peek(1)
		return errors.Is(err, io.EOF)
	})
	if len(long) > 0 {
		t.Error("the idle connection stayed open until the request in progress had finished")
	}
	if a := <-long; !a.isCompleteFor("long") {
		t.Errorf("the request in progress: %+v", a)
	}
}
