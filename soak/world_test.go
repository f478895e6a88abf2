package soak

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	_ "github.com/currantpier/currantpier/platform" // the program under test: its changes make cached results void
	"github.com/currantpier/currantpier/stubs/plat"
)

var binary string

// TestMain builds the program once.
func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "pier")
	if out, err := exec.Command("go", "build", "-o", binary, "../cmd/pier").CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

const (
	host    = "shop.example"
	targetN = 6
	leaveS  = 2.0
	graceS  = 5
	configS = 3
)

// ports are the ports of every VM, which have one loopback address each.
type ports struct{ caller, ready, directory, control, peer, metrics int }

// world is a small deployment: VMs as processes, targets and the store in this process.
type world struct {
	t       *testing.T
	store   *plat.Store
	storeAt string
	targets []*plat.Target
	vms     []*vm
	// toTarget are the paths to the targets.
	toTarget []*proxy
	ports    ports
	version  int
	seq      int
}

type vm struct {
	w    *world
	name string
	ip   string
	zone string
	path string
	// toStore is the path of this VM to the store.
	toStore *proxy
	cmd     *exec.Cmd
	done    chan struct{}

	mu  sync.Mutex
	log bytes.Buffer
}

var zones = map[string]string{"a1": "a", "a2": "a", "b1": "b"}

var zoneOrder = []string{"a1", "a2", "b1"}

func newWorld(t *testing.T, vms int) *world {
	t.Helper()
	w := &world{t: t, store: plat.NewStore(), ports: pickPorts(t, vms)}
	srv := httptest.NewServer(w.store)
	t.Cleanup(srv.CloseClientConnections)
	t.Cleanup(srv.Close)
	w.storeAt = strings.TrimPrefix(srv.URL, "http://")
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for i := range targetN {
		tg, err := plat.NewTarget(fmt.Sprintf("t%d", i), "127.0.0.1", 4, 5*time.Millisecond)
		if err != nil {
			t.Fatal(err)
		}
		served := make(chan error, 1)
		go func() { served <- tg.Serve(ctx) }()
		t.Cleanup(func() {
			cancel()
			if err := <-served; err != nil {
				t.Error(err)
			}
		})
		w.targets = append(w.targets, tg)
		p := newProxy(t, "127.0.0.1", tg.Address())
		tg.Via = p.address()
		w.toTarget = append(w.toTarget, p)
		w.register(i, "ready")
	}
	w.configure("shop")
	for i := range vms {
		v := &vm{w: w, name: fmt.Sprintf("vm%d", i), ip: vmIP(i), zone: zoneOrder[i%len(zoneOrder)]}
		v.path = filepath.Join(t.TempDir(), "settings.json")
		v.toStore = newProxy(t, v.ip, w.storeAt)
		w.vms = append(w.vms, v)
		v.start()
	}
	for _, v := range w.vms {
		w.eventually(10*time.Second, v.name+" ready", v.ready)
	}
	w.eventually(10*time.Second, "all VMs in the lookups", func() bool { return len(w.vms[0].lookup()) == w.inRegion("a") })
	return w
}

// inRegion counts the VMs of a region.
func (w *world) inRegion(r string) int {
	n := 0
	for _, v := range w.vms {
		if zones[v.zone] == r {
			n++
		}
	}
	return n
}

// vmIP is the loopback address of a VM. It differs between test processes that run at the same time.
func vmIP(i int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 10+pid/250%200, 1+pid%250, i+1)
}

const (
	// portFirst and portCount give the ports of VMs. They lie below those that the system gives to connections, which would
	// take them away while a VM restarts.
	portFirst = 12000
	portCount = 18000
)

// nextPort is where the search for free ports goes on, so that VMs of a world do not get the ports of the one before.
var nextPort int

// pickPorts returns ports that are free on the addresses of all VMs.
func pickPorts(t *testing.T, vms int) ports {
	var p ports
	for _, dst := range []*int{&p.caller, &p.ready, &p.directory, &p.control, &p.peer, &p.metrics} {
		for try := 0; *dst == 0; try++ {
			port := portFirst + nextPort%portCount
			nextPort++
			if free(port, vms) {
				*dst = port
			} else if try > portCount {
				t.Fatal("no free port")
			}
		}
	}
	return p
}

func free(port, vms int) bool {
	for i := range vms {
		ln, err := net.Listen("tcp", net.JoinHostPort(vmIP(i), strconv.Itoa(port)))
		if err != nil {
			return false
		}
		_ = ln.Close()
	}
	return true
}

// register writes the registry entry of target i. Targets 0 to 3 belong to the service shop, the others to desk.
func (w *world) register(i int, state string) {
	w.seq++
	service := "shop"
	if i >= 4 {
		service = "desk"
	}
	w.store.Put("servers", w.targets[i].ID, w.targets[i].Entry(service, zoneOrder[i%len(zoneOrder)], state, w.seq))
}

// configure writes the next version; orders of the route /move/ go to the given service.
func (w *world) configure(service string) {
	w.version++
	route := func(name, prefix, kind, service string, timeout float64) map[string]any {
		return map[string]any{"Name": name, "Host": host, "Prefix": prefix, "Type": kind, "TimeoutS": timeout, "AimS": 0.3,
			"Priority": 1, "Service": service, "MaxAttempts": 2, "SessionAffinity": true, "AllowedRegions": []string{}}
	}
	w.store.Put("op", "config", map[string]any{
		"Version": fmt.Sprintf("r%d", w.version),
		"Routes": []any{
			route("look", "/look/", "safe", "shop", 2), route("order", "/order/", "unsafe", "shop", 2),
			route("move", "/move/", "safe", service, 2),
		},
		"Services": []any{
			map[string]any{"Name": "shop", "HealthPath": "/healthz", "MaxConnections": 200, "WarmupS": 1, "WarmupPerS": 50},
			map[string]any{"Name": "desk", "HealthPath": "/healthz", "MaxConnections": 200, "WarmupS": 1, "WarmupPerS": 50},
		},
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 1 << 20, "HeaderTimeoutS": 3, "IdleTimeoutS": 15},
	})
}

func (v *vm) address(port int) string { return fmt.Sprintf("%s:%d", v.ip, port) }

func (v *vm) settings() map[string]any {
	p := v.w.ports
	var seeds []string
	for _, o := range v.w.vms[:1] {
		seeds = append(seeds, o.address(p.control))
	}
	return map[string]any{
		"Self": map[string]any{"NodeName": v.name, "Ip": v.ip, "Zone": v.zone, "Region": zones[v.zone], "Unknown": 1,
			"Limits": map[string]any{"MemoryMb": 284}},
		"Network": map[string]any{
			"Listen": map[string]any{"Frontend": v.address(p.caller), "Ready": v.address(p.ready),
				"Directory": v.address(p.directory), "ControlPlane": v.address(p.control)},
			"InternalPortRange": []int{p.peer, p.metrics}, "SeedNodes": seeds, "Zones": zones,
		},
		"Platform": map[string]any{"HeartbeatS": 0.5, "Platform": map[string]any{"Address": v.toStore.address()}},
		"Terms": map[string]any{"Bounds": map[string]any{"DrainS": leaveS, "GraceS": graceS, "RetryBudgetRatio": 0.2,
			"RetryBudgetSlack": 64, "BudgetWindowS": 10, "ttl_max_s": 1}},
	}
}

func (v *vm) start() {
	v.w.t.Helper()
	b, err := json.Marshal(v.settings())
	if err != nil {
		v.w.t.Fatal(err)
	}
	if err := os.WriteFile(v.path, b, 0o600); err != nil {
		v.w.t.Fatal(err)
	}
	v.cmd = exec.Command(binary)
	v.cmd.Env = append(os.Environ(), "CURRANTPIER_SETTINGS="+v.path)
	out, err := v.cmd.StdoutPipe()
	if err != nil {
		v.w.t.Fatal(err)
	}
	v.cmd.Stderr = os.Stderr
	if err := v.cmd.Start(); err != nil {
		v.w.t.Fatal(err)
	}
	done := make(chan struct{})
	v.done = done
	cmd := v.cmd
	go func() {
		defer close(done)
		sc := bufio.NewScanner(out)
		for sc.Scan() {
			v.mu.Lock()
			v.log.WriteString(sc.Text() + "\n")
			v.mu.Unlock()
		}
		_ = cmd.Wait() // how it ended is judged by the test that ended it
	}()
	v.w.t.Cleanup(func() {
		_ = cmd.Process.Kill() // it may have ended already
		<-done
		if v.w.t.Failed() {
			v.mu.Lock()
			defer v.mu.Unlock()
			v.w.t.Logf("log of %s:\n%s", v.name, v.log.String())
		}
	})
}

func (v *vm) signal(s syscall.Signal) {
	if err := v.cmd.Process.Signal(s); err != nil {
		v.w.t.Errorf("signal %v to %s: %v", s, v.name, err)
	}
}

func (v *vm) logged(text string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return strings.Contains(v.log.String(), text)
}

var plainClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func (v *vm) ready() bool {
	resp, err := plainClient.Get("http://" + v.address(v.w.ports.ready) + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// lookup returns the addresses for a caller in region a; nil if the VM does not answer.
func (v *vm) lookup() []string {
	resp, err := plainClient.Get("http://" + v.address(v.w.ports.directory) + "/resolve?Name=" + host + "&Region=a&Zone=a9")
	if err != nil {
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	var a struct {
		Addresses []string
		TTL       float64 `json:"TtlS"`
	}
	if json.NewDecoder(resp.Body).Decode(&a) != nil || a.TTL <= 0 {
		return nil
	}
	return a.Addresses
}

// eventually polls until f holds.
func (w *world) eventually(limit time.Duration, what string, f func() bool) {
	w.t.Helper()
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if f() {
			return
		}
	}
	w.t.Fatalf("not within %v: %s", limit, what)
}

// request is one attempt of a caller.
type request struct {
	id, method, path, body string
	deadlineMS             int
}

func (r request) bytes() string {
	s := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Currantpier-Attempt-Id: %s\r\nX-Currantpier-Affinity-Key: k\r\n"+
		"X-Currantpier-Deadline-Ms: %d\r\n", r.method, r.path, host, r.id, r.deadlineMS)
	if r.body != "" {
		s += fmt.Sprintf("Content-Length: %d\r\n", len(r.body))
	}
	return s + "\r\n" + r.body
}

// answer is what the caller sees; status 0 is a connection that ended or stayed silent.
type answer struct {
	status    int
	body      string
	signature string
	after     string
	close     bool
}

// whole reports whether a is the whole answer of a target to the attempt.
func (a answer) whole(id string) bool {
	return a.status == 200 && a.signature == "sig-"+id && strings.HasSuffix(a.body, " to "+id+"\n")
}

// send makes one attempt on a new connection.
func (v *vm) send(r request) answer {
	nc, err := net.DialTimeout("tcp", v.address(v.w.ports.caller), time.Second)
	if err != nil {
		return answer{}
	}
	defer func() { _ = nc.Close() }()
	return exchange(nc, bufio.NewReader(nc), r)
}

func exchange(nc net.Conn, br *bufio.Reader, r request) answer {
	_ = nc.SetDeadline(time.Now().Add(4 * time.Second))
	if _, err := io.WriteString(nc, r.bytes()); err != nil {
		return answer{}
	}
	return readAnswer(br, r.method)
}

func readAnswer(br *bufio.Reader, method string) answer {
	resp, err := http.ReadResponse(br, &http.Request{Method: method})
	if err != nil {
		return answer{}
	}
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{}
	}
	return answer{status: resp.StatusCode, body: string(b), signature: resp.Header.Get("X-Currantpier-Server-Signature"),
		after: resp.Header.Get("Retry-After"), close: resp.Close}
}

// runs sums the runs of every attempt over all targets.
func (w *world) runs() map[string]int {
	all := map[string]int{}
	for _, t := range w.targets {
		for id, n := range t.Runs() {
			all[id] += n
		}
	}
	return all
}
