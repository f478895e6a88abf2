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

func look(id string) request  { return request{id, "GET", "/look/x", "", 1500} }
func order(id string) request { return request{id, "POST", "/order/x", "body of " + id, 1500} }

// Guards against a path that serves one kind of request only, changes what it forwards, or hands on more time than is
// left.
func TestWholePath(t *testing.T) {
	w := newWorld(t, 3)
	for i, v := range w.vms {
		for _, r := range []request{look(fmt.Sprint("look", i)), order(fmt.Sprint("order", i))} {
			a := v.send(r)
			if !a.whole(r.id) {
				t.Errorf("%s at %s: %+v", r.id, v.name, a)
			}
			for _, tg := range w.targets {
				if body, ms, ended := tg.Seen(r.id); !ended.IsZero() && (body != r.body || ms <= 0 || ms > r.deadlineMS) {
					t.Errorf("%s reached a target with body %q and deadline %d ms", r.id, body, ms)
				}
			}
		}
	}
	if a := w.vms[0].send(request{"none", "GET", "/none/", "", 500}); a.status != 404 {
		t.Errorf("unknown route: %+v, want 404", a)
	}
	if a := w.vms[0].send(request{"late", "GET", "/look/x", "", 1}); a.status != 503 || a.after == "" {
		t.Errorf("no time left: %+v, want 503 with Retry-After", a)
	}
}

// Each case guards against a spoiled answer that reaches a caller as a success, an order that runs twice, or a request
// that could be repeated and was not.
func TestSpoiledAnswers(t *testing.T) {
	w := newWorld(t, 1)
	// Which target gets the next request depends on what earlier ones showed.
	spoils := &plat.Spoils{}
	for _, tg := range w.targets {
		tg.Share(spoils)
	}
	// A target's own failure of an order is passed on with its signature.
	statusOfOrder := map[plat.Spoil]int{plat.Extra: 200, plat.Fail: 500}
	for _, s := range []plat.Spoil{plat.LoseReset, plat.CutBody, plat.CutOpen, plat.Garbage, plat.Unsigned, plat.Extra, plat.Fail} {
		t.Run(string(s), func(t *testing.T) {
			spoils.Set(s, 1)
			id := "look-" + string(s)
			if a := w.vms[0].send(look(id)); !a.whole(id) {
				t.Errorf("idempotent: %+v, want a whole answer of another target", a)
			}
			w.calm(t)
			spoils.Set(s, 1)
			id = "order-" + string(s)
			a := w.vms[0].send(order(id))
			want := 502
			if n, ok := statusOfOrder[s]; ok {
				want = n
			}
			if a.status != want || a.status == 200 && !a.whole(id) {
				t.Errorf("order: %+v, want status %d", a, want)
			}
			if n := w.runs()[id]; n != 1 {
				t.Errorf("order ran %d times, want once", n)
			}
			spoils.Set(plat.Whole, 0)
			w.calm(t)
		})
	}
}

// Guards against a late answer to another request that a caller gets in place of its own: it arrives on a kept connection
// where the answer to the next request is expected.
func TestStrayAnswer(t *testing.T) {
	w := newWorld(t, 1)
	spoils := &plat.Spoils{}
	for _, tg := range w.targets {
		tg.Share(spoils)
	}
	spoils.Set(plat.ExtraLate, 1)
	if a := w.vms[0].send(look("first")); !a.whole("first") {
		t.Errorf("first request: %+v", a)
	}
	r := look("second")
	r.deadlineMS = 400
	if a := w.vms[0].send(r); a.status == 200 && !a.whole("second") {
		t.Errorf("second request got somebody else's answer: %+v", a)
	}
	w.calm(t)
}

var probes int

// holder returns the target that has run a look, and will most likely run the next one.
func (w *world) holder(t *testing.T) *plat.Target {
	probes++
	r := look(fmt.Sprint("probe", probes))
	if a := w.vms[0].send(r); !a.whole(r.id) {
		t.Fatalf("probe: %+v", a)
	}
	for _, tg := range w.targets {
		if tg.Runs()[r.id] > 0 {
			return tg
		}
	}
	t.Fatal("no target ran the probe")
	return nil
}

// calm sends requests until targets that were held back after a failure are used again.
func (w *world) calm(t *testing.T) {
	t.Helper()
	served := 0
	w.eventually(15*time.Second, "requests are served again", func() bool {
		probes++
		id := fmt.Sprint("calm", probes)
		if w.vms[0].send(look(id)).whole(id) {
			served++
		}
		return served >= 5
	})
}

// Guards against a refusal of a request that has run, or one that leaves the caller without a time to come back.
func TestRefusalsAreTrue(t *testing.T) {
	w := newWorld(t, 1)
	var mu sync.Mutex
	var wg sync.WaitGroup
	statuses := map[int]int{}
	for i := range 300 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			r := order(fmt.Sprint("rush", i))
			r.deadlineMS = 60
			a := w.vms[0].send(r)
			mu.Lock()
			defer mu.Unlock()
			statuses[a.status]++
			if a.status == 503 && (a.after == "" || w.runs()[r.id] > 0) {
				t.Errorf("%s: refused with Retry-After %q after %d runs", r.id, a.after, w.runs()[r.id])
			}
		}()
	}
	wg.Wait()
	for id, n := range w.runs() {
		if n > 1 {
			t.Errorf("%s ran %d times", id, n)
		}
	}
	if statuses[503] == 0 || statuses[200] == 0 {
		t.Errorf("statuses %v: the rush must be served in part and refused in part", statuses)
	}
}

// Guards against requests that reach a target long after it said that it leaves, and against those that follow an
// entry of a writer that is no target.
func TestLeavingTarget(t *testing.T) {
	w := newWorld(t, 3)
	w.store.PutBytes("servers", "forged", []byte(`{"Service":"shop","Address":1}`))
	w.store.PutBytes("servers", "noise", []byte{0xff, 0})
	left := w.holder(t)
	for i, tg := range w.targets {
		if tg == left {
			w.register(i, "draining")
		}
	}
	leftAt := time.Now()
	for i := 0; time.Since(leftAt) < 4*time.Second; i++ {
		id := fmt.Sprint("leave", i)
		if a := w.vms[i%3].send(look(id)); !a.whole(id) {
			t.Errorf("%s: %+v", id, a)
		}
		time.Sleep(5 * time.Millisecond)
	}
	if late := left.Last().Sub(leftAt); late > time.Duration(leaveS*float64(time.Second)) {
		t.Errorf("a request reached the leaving target after %v", late)
	}
}

// Guards against a VM that drops targets or its configuration while the store is away, and against one that misses what
// happened meanwhile.
func TestStoreOutage(t *testing.T) {
	w := newWorld(t, 3)
	for name, f := range map[string]plat.StoreFaults{
		"busy":   {Status: 503},
		"silent": {Silent: true},
	} {
		t.Run(name, func(t *testing.T) {
			w.store.SetFaults(f)
			for i := range 60 {
				id := fmt.Sprint("outage", name, i)
				if a := w.vms[i%3].send(look(id)); !a.whole(id) {
					t.Errorf("%s: %+v", id, a)
				}
				time.Sleep(25 * time.Millisecond)
			}
			service := map[string]string{"busy": "desk", "silent": "shop"}[name]
			w.configure(service)
			w.store.SetFaults(plat.StoreFaults{})
			w.inForce(t, service, 6*time.Second)
		})
	}
	w.store.Compact()
	w.configure("desk")
	w.inForce(t, "desk", 3*time.Second)
}

// inForce waits until all VMs send requests of the moving route to the service.
func (w *world) inForce(t *testing.T, service string, limit time.Duration) {
	t.Helper()
	from, to := 0, 4
	if service == "desk" {
		from, to = 4, targetN
	}
	for _, v := range w.vms {
		w.eventually(limit, "the new configuration at "+v.name, func() bool {
			probes++
			id := fmt.Sprint("move", probes)
			if !v.send(request{id, "GET", "/move/x", "", 1500}).whole(id) {
				return false
			}
			for _, tg := range w.targets[from:to] {
				if tg.Runs()[id] > 0 {
					return true
				}
			}
			return false
		})
	}
}

// Guards against work that goes on at a target after its caller has left.
func TestCallerLeaves(t *testing.T) {
	w := newWorld(t, 1)
	for _, tg := range w.targets {
		tg.SetWork(3 * time.Second)
	}
	nc, err := net.Dial("tcp", w.vms[0].address(w.ports.caller))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(nc, look("left").bytes()); err != nil {
		t.Fatal(err)
	}
	w.eventually(2*time.Second, "the request runs", func() bool { return w.runs()["left"] == 1 })
	leftAt := time.Now()
	_ = nc.Close()
	w.eventually(2*time.Second, "the target has stopped", func() bool {
		for _, tg := range w.targets {
			if _, _, ended := tg.Seen("left"); !ended.IsZero() {
				return ended.Sub(leftAt) < 500*time.Millisecond
			}
		}
		return false
	})
}

// Guards against answers out of order, and against requests sent ahead that wait for each other.
func TestRequestsSentAhead(t *testing.T) {
	w := newWorld(t, 1)
	nc, err := net.Dial("tcp", w.vms[0].address(w.ports.caller))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = nc.Close() }()
	all := ""
	for i := range 8 {
		all += look(fmt.Sprint("ahead", i)).bytes()
	}
	if _, err := io.WriteString(nc, all); err != nil {
		t.Fatal(err)
	}
	br := bufio.NewReader(nc)
	for i := range 8 {
		id := fmt.Sprint("ahead", i)
		_ = nc.SetDeadline(time.Now().Add(3 * time.Second))
		if a := readAnswer(br, "GET"); !a.whole(id) {
			t.Fatalf("answer %d: %+v", i, a)
		}
	}
}

// Guards against a request that ends without an answer when its VM is stopped as planned, on connections that callers
// keep until they end; and against a VM that stays in the lookups.
func TestPlannedStop(t *testing.T) {
	w := newWorld(t, 3)
	stopped := w.vms[1]
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for c := range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			w.keepSending(t, stopped, c, stop)
		}()
	}
	time.Sleep(300 * time.Millisecond)
	stopped.signal(syscall.SIGTERM)
	w.eventually(4*time.Second, "the lookups leave the VM out", func() bool {
		return !strings.Contains(strings.Join(w.vms[0].lookup(), " "), stopped.ip)
	})
	select {
	case <-stopped.done:
	case <-time.After(6 * time.Second):
		t.Error("the process has not ended")
	}
	close(stop)
	wg.Wait()
	if keys := strings.Join(w.store.Keys("currantpier-vms"), " "); strings.Contains(keys, stopped.name) {
		t.Errorf("the store still lists the VM: %s", keys)
	}
}

// keepSending sends requests on kept connections until the VM takes no more.
func (w *world) keepSending(t *testing.T, v *vm, c int, stop <-chan struct{}) {
	for n := 0; ; {
		nc, err := net.DialTimeout("tcp", v.address(w.ports.caller), time.Second)
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
			a := exchange(nc, br, look(id))
			open = a.status != 0 && !a.close
			if a.status == 0 && w.runs()[id] > 0 {
				t.Errorf("%s ran and its caller got no answer", id)
			}
			if a.status != 0 && !a.whole(id) {
				t.Errorf("%s: %+v", id, a)
			}
			time.Sleep(3 * time.Millisecond)
		}
		_ = nc.Close()
	}
}

// Guards against a process that ends at SIGHUP, as it did on the bench (mix of kalnins-seti, seed 132739993789).
func TestHangup(t *testing.T) {
	w := newWorld(t, 1)
	w.vms[0].signal(syscall.SIGHUP)
	w.eventually(3*time.Second, "the settings were read again", func() bool { return w.vms[0].logged("event=reload") })
	if a := w.vms[0].send(look("after")); !a.whole("after") {
		t.Errorf("after SIGHUP: %+v", a)
	}
}

// Guards against a VM that stays in the lookups after it was killed, and one that does not come back.
func TestKilledVM(t *testing.T) {
	w := newWorld(t, 3)
	killed := w.vms[1]
	killed.signal(syscall.SIGKILL)
	<-killed.done
	named := func() bool { return strings.Contains(strings.Join(w.vms[0].lookup(), " "), killed.ip) }
	w.eventually(6*time.Second, "the lookups leave the killed VM out", func() bool { return !named() })
	killed.start()
	w.eventually(6*time.Second, "the lookups name it again", named)
	if a := killed.send(order("back")); !a.whole("back") {
		t.Errorf("after the restart: %+v", a)
	}
}

// Guards against a VM that is restarted while the store is away and serves nobody until it is back.
func TestStartDuringOutage(t *testing.T) {
	w := newWorld(t, 3)
	w.configure("desk")
	w.inForce(t, "desk", 3*time.Second)
	w.store.SetFaults(plat.StoreFaults{Status: 503})
	v := w.vms[1]
	v.signal(syscall.SIGKILL)
	<-v.done
	v.start()
	w.eventually(5*time.Second, "the VM is ready without the store", v.ready)
	if a := v.send(order("without-store")); !a.whole("without-store") {
		t.Errorf("after a start during an outage: %+v", a)
	}
	w.inForce(t, "desk", time.Second)
	w.store.SetFaults(plat.StoreFaults{})
	w.configure("shop")
	w.inForce(t, "shop", 6*time.Second)
}

// Guards against a failed request that nobody can explain: its id must lead to a log line with the cause, and the counters
// and the dump must be there.
func TestExplainedAfterwards(t *testing.T) {
	w := newWorld(t, 1)
	for _, tg := range w.targets {
		tg.Spoil(plat.LoseReset, 1)
	}
	if a := w.vms[0].send(order("lost")); a.status != 502 {
		t.Errorf("%+v, want 502", a)
	}
	w.eventually(2*time.Second, "the log names the request", func() bool { return w.vms[0].logged("event=failed id=lost") })
	w.vms[0].mu.Lock()
	lines, err := trail.Read(strings.NewReader(w.vms[0].log.String()))
	w.vms[0].mu.Unlock()
	if err != nil {
		t.Fatal(err)
	}
	var story strings.Builder
	if told, err := trail.Explain(&story, lines, "lost"); err != nil || !told || !strings.Contains(story.String(), "outcome-unknown") {
		t.Errorf("story %q, error %v", story.String(), err)
	}
	for path, want := range map[string]string{
		"/metrics": `currantpier_requests_total{route="order",outcome="outcome-unknown"} 1`, "/dump": `"targets"`,
	} {
		resp, err := plainClient.Get("http://" + w.vms[0].address(w.ports.metrics) + path)
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

// Guards against a request that a stopping VM takes on a kept connection so late that its process ends before the answer
// (kalnins-seti-grown trouble-2, seed 1081075261651: LOST, taken 4.7 s after SIGTERM).
func TestNoRequestIsTakenLate(t *testing.T) {
	w := newWorld(t, 2)
	v := w.vms[0]
	nc, err := net.Dial("tcp", v.address(w.ports.caller))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = nc.Close() }()
	br := bufio.NewReader(nc)
	if a := exchange(nc, br, look("early")); !a.whole("early") {
		t.Fatalf("before the stop: %+v", a)
	}
	v.signal(syscall.SIGTERM)
	// Another request keeps the process from its end.
	for _, tg := range w.targets {
		tg.SetWork(1900 * time.Millisecond)
	}
	time.Sleep(1500 * time.Millisecond)
	long := make(chan answer, 1)
	go func() { long <- v.send(request{"long", "GET", "/look/x", "", 2000}) }()
	w.eventually(3*time.Second, "the idle connection ends", func() bool {
		_ = nc.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
		_, err := br.Peek(1)
		return errors.Is(err, io.EOF)
	})
	if len(long) > 0 {
		t.Error("the idle connection was open until the request in progress had ended")
	}
	if a := <-long; !a.whole("long") {
		t.Errorf("the request in progress: %+v", a)
	}
}
