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

	_ "github.com/currantpier/currantpier/platform" // makes go test rerun these tests when the program changes
	"github.com/currantpier/currantpier/stubs/plat"
)

var binary string

// TestMain builds the program under test once.
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
	host        = "shop.example"
	targetCount = 6
	// drainS is the setting DrainS: the time in seconds within which VMs must stop sending requests to a leaving target.
	drainS = 2.0
	// graceS is the setting GraceS: the time in seconds within which a planned stop must end.
	graceS = 5
	// configBoundS is the time in seconds within which a new configuration must be in force on all VMs.
	configBoundS = 3
)

// ports are the ports that every VM uses on its own loopback address.
type ports struct{ caller, ready, directory, control, peer, metrics int }

// testCluster is a small deployment: VMs as processes, and the targets and the store in the test process.
type testCluster struct {
	t            *testing.T
	store        *plat.Store
	storeAddress string
	targets      []*plat.Target
	vms          []*vm
	// targetProxies are the links to the targets, by target index.
	targetProxies []*proxy
	ports         ports
	configVersion int
	sequence      int
}

type vm struct {
	tc           *testCluster
	name         string
	ip           string
	zone         string
	settingsPath string
	// storeProxy is the link from this VM to the store.
	storeProxy *proxy
	cmd        *exec.Cmd
	exited     chan struct{}

	mu     sync.Mutex
	output bytes.Buffer
}

var zoneRegions = map[string]string{"a1": "a", "a2": "a", "b1": "b"}

var zoneNames = []string{"a1", "a2", "b1"}

func startCluster(t *testing.T, vms int) *testCluster {
	t.Helper()
	tc := &testCluster{t: t, store: plat.NewStore(), ports: pickPorts(t, vms)}
	srv := httptest.NewServer(tc.store)
	t.Cleanup(srv.CloseClientConnections)
	t.Cleanup(srv.Close)
	tc.storeAddress = strings.TrimPrefix(srv.URL, "http://")
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for i := range targetCount {
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
		tc.targets = append(tc.targets, tg)
		p := newProxy(t, "127.0.0.1", tg.Address())
		tg.AdvertisedAddress = p.address()
		tc.targetProxies = append(tc.targetProxies, p)
		tc.register(i, "ready")
	}
	tc.configure("shop")
	for i := range vms {
		v := &vm{tc: tc, name: fmt.Sprintf("vm%d", i), ip: vmIP(i), zone: zoneNames[i%len(zoneNames)]}
		v.settingsPath = filepath.Join(t.TempDir(), "settings.json")
		v.storeProxy = newProxy(t, v.ip, tc.storeAddress)
		tc.vms = append(tc.vms, v)
		v.start()
	}
	for _, v := range tc.vms {
		tc.eventually(10*time.Second, v.name+" is ready", v.ready)
	}
	tc.eventually(10*time.Second, "lookups contain all VMs of the region", func() bool { return len(tc.vms[0].lookup()) == tc.vmsInRegion("a") })
	return tc
}

// vmsInRegion returns the number of VMs in a region.
func (tc *testCluster) vmsInRegion(r string) int {
	n := 0
	for _, v := range tc.vms {
		if zoneRegions[v.zone] == r {
			n++
		}
	}
	return n
}

// vmIP returns the loopback address of a VM. It differs between test processes that run at the same time.
func vmIP(i int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 10+pid/250%200, 1+pid%250, i+1)
}

const (
	// firstPort and portCount delimit the ports of the VMs. They are below the ephemeral range, from which the system
	// could assign a port to another connection while a VM restarts.
	firstPort = 12000
	portCount = 18000
)

// nextPort is the offset at which the search for free ports continues, so that consecutive clusters use different
// ports.
var nextPort int

// pickPorts returns ports that are free on the addresses of all VMs.
func pickPorts(t *testing.T, vms int) ports {
	var p ports
	for _, dst := range []*int{&p.caller, &p.ready, &p.directory, &p.control, &p.peer, &p.metrics} {
		for try := 0; *dst == 0; try++ {
			port := firstPort + nextPort%portCount
			nextPort++
			if portIsFree(port, vms) {
				*dst = port
			} else if try > portCount {
				t.Fatal("no free port on the loopback addresses")
			}
		}
	}
	return p
}

func portIsFree(port, vms int) bool {
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
func (tc *testCluster) register(i int, state string) {
	tc.sequence++
	service := "shop"
	if i >= 4 {
		service = "desk"
	}
	tc.store.Put("servers", tc.targets[i].ID, tc.targets[i].Entry(service, zoneNames[i%len(zoneNames)], state, tc.sequence))
}

// customer sends all requests, with apiKey.
const customer, apiKey = "soak customer", "soak-key"

// configure stores the next configuration version, in which the route /move/ leads to the given service.
func (tc *testCluster) configure(service string) {
	tc.configVersion++
	route := func(name, prefix, kind, service string, timeout float64) map[string]any {
		return map[string]any{"Name": name, "Host": host, "Prefix": prefix, "Type": kind, "TimeoutS": timeout, "AimS": 0.3,
			"Priority": 1, "Service": service, "MaxAttempts": 2, "SessionAffinity": true, "AllowedRegions": []string{}}
	}
	tc.store.Put("op", "config", map[string]any{
		"Version": fmt.Sprintf("r%d", tc.configVersion),
		"Routes": []any{
			route("look", "/look/", "safe", "shop", 2), route("order", "/order/", "unsafe", "shop", 2),
			route("move", "/move/", "safe", service, 2),
		},
		"Services": []any{
			map[string]any{"Name": "shop", "HealthPath": "/healthz", "MaxConnections": 200, "WarmupS": 1, "WarmupPerS": 50},
			map[string]any{"Name": "desk", "HealthPath": "/healthz", "MaxConnections": 200, "WarmupS": 1, "WarmupPerS": 50},
		},
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 1 << 20, "HeaderTimeoutS": 3, "IdleTimeoutS": 15},
		"Tenants": []any{
			map[string]any{"Name": customer, "ApiKeys": []string{apiKey, fmt.Sprintf("key-%d", tc.configVersion)}},
			map[string]any{"Name": "", "ApiKeys": []string{"left out"}},
		},
	})
}

func (v *vm) address(port int) string { return fmt.Sprintf("%s:%d", v.ip, port) }

func (v *vm) settings() map[string]any {
	p := v.tc.ports
	var seeds []string
	for _, o := range v.tc.vms[:1] {
		seeds = append(seeds, o.address(p.control))
	}
	return map[string]any{
		"Self": map[string]any{"NodeName": v.name, "Ip": v.ip, "Zone": v.zone, "Region": zoneRegions[v.zone], "Unknown": 1,
			"Limits": map[string]any{"MemoryMb": 284}},
		"Network": map[string]any{
			"Listen": map[string]any{"Frontend": v.address(p.caller), "Ready": v.address(p.ready),
				"Directory": v.address(p.directory), "ControlPlane": v.address(p.control)},
			"InternalPortRange": []int{p.peer, p.metrics}, "SeedNodes": seeds, "Zones": zoneRegions,
		},
		"Platform": map[string]any{"HeartbeatS": 0.5, "Platform": map[string]any{"Address": v.storeProxy.address()}},
		"Terms": map[string]any{"Bounds": map[string]any{"DrainS": drainS, "GraceS": graceS, "RetryBudgetRatio": 0.2,
			"RetryBudgetSlack": 64, "BudgetWindowS": 10, "ttl_max_s": 1}},
	}
}

func (v *vm) start() {
	v.tc.t.Helper()
	b, err := json.Marshal(v.settings())
	if err != nil {
		v.tc.t.Fatal(err)
	}
	if err := os.WriteFile(v.settingsPath, b, 0o600); err != nil {
		v.tc.t.Fatal(err)
	}
	v.cmd = exec.Command(binary)
	v.cmd.Env = append(os.Environ(), "CURRANTPIER_SETTINGS="+v.settingsPath)
	out, err := v.cmd.StdoutPipe()
	if err != nil {
		v.tc.t.Fatal(err)
	}
	v.cmd.Stderr = os.Stderr
	if err := v.cmd.Start(); err != nil {
		v.tc.t.Fatal(err)
	}
	done := make(chan struct{})
	v.exited = done
	cmd := v.cmd
	go func() {
		defer close(done)
		sc := bufio.NewScanner(out)
		for sc.Scan() {
			v.mu.Lock()
			v.output.WriteString(sc.Text() + "\n")
			v.mu.Unlock()
		}
		_ = cmd.Wait() // the test that ended the process checks the outcome
	}()
	v.tc.t.Cleanup(func() {
		_ = cmd.Process.Kill() // fails if the process has exited
		<-done
		if v.tc.t.Failed() {
			v.mu.Lock()
			defer v.mu.Unlock()
			v.tc.t.Logf("log of %s:\n%s", v.name, v.output.String())
		}
	})
}

func (v *vm) signal(s syscall.Signal) {
	if err := v.cmd.Process.Signal(s); err != nil {
		v.tc.t.Errorf("signal %v to %s: %v", s, v.name, err)
	}
}

func (v *vm) logged(text string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return strings.Contains(v.output.String(), text)
}

var noKeepAliveClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func (v *vm) ready() bool {
	resp, err := noKeepAliveClient.Get("http://" + v.address(v.tc.ports.ready) + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// lookup returns the VM addresses for a caller in region a, or nil if the VM does not respond.
func (v *vm) lookup() []string {
	resp, err := noKeepAliveClient.Get("http://" + v.address(v.tc.ports.directory) + "/resolve?Name=" + host + "&Region=a&Zone=a9")
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

// eventually polls until f holds and fails the test after the limit.
func (tc *testCluster) eventually(limit time.Duration, what string, f func() bool) {
	tc.t.Helper()
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if f() {
			return
		}
	}
	tc.t.Fatalf("condition not reached within %v: %s", limit, what)
}

// request is one attempt of a caller.
type request struct {
	id, method, path, body string
	deadlineMS             int
}

func (r request) bytes() string {
	s := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Currantpier-Attempt-Id: %s\r\nX-Currantpier-Affinity-Key: k\r\n"+
		"X-Currantpier-Key: %s\r\nX-Currantpier-Tenant: forged\r\nX-Currantpier-Deadline-Ms: %d\r\n", r.method, r.path, host, r.id, apiKey, r.deadlineMS)
	if r.body != "" {
		s += fmt.Sprintf("Content-Length: %d\r\n", len(r.body))
	}
	return s + "\r\n" + r.body
}

// response is what the caller receives. Status 0 means that the connection ended or timed out without a complete
// response.
type response struct {
	status           int
	body             string
	signature        string
	retryAfter       string
	closesConnection bool
}

// isCompleteFor reports whether a is the complete response of a target to the given attempt.
func (a response) isCompleteFor(id string) bool {
	return a.status == 200 && a.signature == "sig-"+id && strings.HasSuffix(a.body, " to "+id+"\n")
}

// send makes one attempt on a new connection.
func (v *vm) send(r request) response {
	nc, err := net.DialTimeout("tcp", v.address(v.tc.ports.caller), time.Second)
	if err != nil {
		return response{}
	}
	defer func() { _ = nc.Close() }()
	return exchange(nc, bufio.NewReader(nc), r)
}

func exchange(nc net.Conn, br *bufio.Reader, r request) response {
	_ = nc.SetDeadline(time.Now().Add(4 * time.Second))
	if _, err := io.WriteString(nc, r.bytes()); err != nil {
		return response{}
	}
	return readResponse(br, r.method)
}

func readResponse(br *bufio.Reader, method string) response {
	resp, err := http.ReadResponse(br, &http.Request{Method: method})
	if err != nil {
		return response{}
	}
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return response{}
	}
	return response{status: resp.StatusCode, body: string(b), signature: resp.Header.Get("X-Currantpier-Server-Signature"),
		retryAfter: resp.Header.Get("Retry-After"), closesConnection: resp.Close}
}

// executions returns the number of executions of every attempt, summed over all targets.
func (tc *testCluster) executions() map[string]int {
	all := map[string]int{}
	for _, t := range tc.targets {
		for id, n := range t.Executions() {
			all[id] += n
		}
	}
	return all
}
