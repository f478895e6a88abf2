package procs

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/currantpier/currantpier/cmds"
	"github.com/currantpier/currantpier/front"
	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/local"
	"github.com/currantpier/currantpier/sched"
	"github.com/currantpier/currantpier/share"
	"github.com/currantpier/currantpier/store"
	"github.com/currantpier/currantpier/stubs"
)

// programEnv is the environment variable that makes the test binary act as the program. The processes thus run the
// code under test, including the race detector if it is enabled.
const programEnv = "CURRANTPIER_TEST_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(programEnv) != "" {
		os.Exit(cmds.Main(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// controlClient calls stand-ins and control ports. It does not reuse connections, since a fault can make open ones
// silent.
var controlClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: waitLimit}

// waitLimit bounds every wait. It is far longer than any wait needs, so that the tests pass on a busy machine.
const waitLimit = 60 * time.Second

// process is a running program.
type process struct {
	t      *testing.T
	name   string
	cmd    *exec.Cmd
	log    *syncBuffer
	exited chan error
}

func programCommand(args ...string) *exec.Cmd {
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), programEnv+"=1")
	return cmd
}

// startDaemon starts a daemon and kills it at the end of the test.
func startDaemon(t *testing.T, name string, args ...string) *process {
	t.Helper()
	p := &process{t: t, name: name, cmd: programCommand(args...), log: &syncBuffer{}, exited: make(chan error, 1)}
	p.cmd.Stderr = p.log
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	p.reapAtCleanup()
	return p
}

// reapAtCleanup waits for the process in the background. At the end of the test it kills the process and, if the test
// failed, logs its output.
func (p *process) reapAtCleanup() {
	go func() { p.exited <- p.cmd.Wait() }()
	p.t.Cleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		select {
		case <-p.exited:
		case <-time.After(waitLimit):
		}
		if p.t.Failed() {
			p.t.Logf("log of %s:\n%s", p.name, p.log)
		}
	})
}

func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Fatalf("signal %s: %v", p.name, err)
	}
}

// waitExit waits until the process has exited and returns its error.
func (p *process) waitExit() error {
	p.t.Helper()
	select {
	case err := <-p.exited:
		p.exited <- err
		return err
	case <-time.After(waitLimit):
		p.t.Fatalf("%s has not exited; log:\n%s", p.name, p.log)
		return nil
	}
}

// startStandIn starts a stand-in and returns its address.
func startStandIn(t *testing.T, name string, args ...string) (string, *process) {
	t.Helper()
	p := &process{t: t, name: name, cmd: programCommand(append([]string{"stand-in"}, args...)...), log: &syncBuffer{},
		exited: make(chan error, 1)}
	p.cmd.Stderr = p.log
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	line, err := bufio.NewReader(out).ReadString('\n')
	p.reapAtCleanup()
	addr, ok := strings.CutPrefix(strings.TrimSpace(line), "listening ")
	if !ok {
		t.Fatalf("%s printed %q instead of its address: %v", name, line, err)
	}
	return addr, p
}

// runCommand runs an operator command and returns its output and exit code.
func runCommand(t *testing.T, args ...string) (string, int) {
	t.Helper()
	cmd := programCommand(args...)
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	err := cmd.Run()
	if err != nil && cmd.ProcessState == nil {
		t.Fatal(err)
	}
	return out.String(), cmd.ProcessState.ExitCode()
}

// testCluster is a small deployment: entry VMs with their daemons, targets and the platform's stand-in.
type testCluster struct {
	t               *testing.T
	platformAddress string
	vms             []vm
	targetAddresses map[string]string
	dir             string
}

type vm struct {
	local.Address
	settings     string
	entry, steer *process
}

type target struct {
	name        string
	service     ident.Service
	place       ident.Place
	slots       int
	serviceTime time.Duration
}

var places = []ident.Place{
	{Region: "cluj", Domain: "cluj-a"}, {Region: "cluj", Domain: "cluj-b"}, {Region: "brasov", Domain: "brasov-a"},
}

// startCluster starts the platform, the targets and the given number of entry VMs, of which the first withSteer run a
// steer daemon. It applies the lists of customers and uses and waits until all VMs are ready.
func startCluster(t *testing.T, vms, withSteer int, targets ...target) *testCluster {
	t.Helper()
	tc := &testCluster{t: t, targetAddresses: map[string]string{}, dir: t.TempDir()}
	tc.platformAddress, _ = startStandIn(t, "platform", "platform", "--lag", "200ms")
	for _, tg := range targets {
		tc.addTarget(tg)
	}
	for i := range vms {
		tc.addVM(i, i < withSteer)
	}
	tc.writeFile("customers.csv", "customer,plan\nshop-1,trade\nlook-1,looks\n")
	tc.writeFile("uses.csv", "plan,service,rate,weight,orders\ntrade,desk,10000,10,yes\nlooks,desk,10000,5,no\n")
	tc.waitUntil("the lists are accepted", func() bool {
		_, code := runCommand(t, "apply", "--steer", tc.vms[0].Steer, "--customers", tc.path("customers.csv"),
			"--uses", tc.path("uses.csv"))
		return code == cmds.ExitOK
	})
	for _, v := range tc.vms {
		tc.waitUntil(string(v.VM)+" is ready", func() bool { return tc.ready(v) })
	}
	return tc
}

func (tc *testCluster) path(name string) string { return filepath.Join(tc.dir, name) }

func (tc *testCluster) writeFile(name, text string) string {
	tc.t.Helper()
	if err := os.WriteFile(tc.path(name), []byte(text), 0o600); err != nil {
		tc.t.Fatal(err)
	}
	return tc.path(name)
}

func (tc *testCluster) addTarget(tg target) {
	tc.t.Helper()
	addr, _ := startStandIn(tc.t, tg.name, "upstream", "--name", tg.name, "--slots", fmt.Sprint(tg.slots),
		"--time", tg.serviceTime.String(), "--lag", "100ms")
	tc.targetAddresses[tg.name] = addr
	tc.setVM(store.VMInfo{
		Name: tg.name, Role: store.RoleUpstream, State: store.Live, Place: tg.place, Address: addr,
		Service: tg.service, Slots: ident.Slots(tg.slots), Connections: 400,
	})
}

func (tc *testCluster) setVM(info store.VMInfo) {
	tc.t.Helper()
	body, err := json.Marshal(info)
	if err != nil {
		tc.t.Fatal(err)
	}
	tc.sendAdmin(http.MethodPut, "http://"+tc.platformAddress+"/vms/"+info.Name, string(body))
}

// setFaults sets fault switches of a stand-in from their JSON form.
func (tc *testCluster) setFaults(addr, body string) {
	tc.t.Helper()
	tc.sendAdmin(http.MethodPost, "http://"+addr+"/faults", body)
}

// silenceConnections makes all open connections of a target silent. This includes the connection of the call itself,
// whose response is therefore lost.
func (tc *testCluster) silenceConnections(addr string) {
	resp, err := controlClient.Post("http://"+addr+"/faults", "application/json", strings.NewReader(`{"silence": true}`))
	if err == nil {
		resp.Body.Close()
	}
}

func (tc *testCluster) sendAdmin(method, url, body string) {
	tc.t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		tc.t.Fatal(err)
	}
	resp, err := controlClient.Do(req)
	if err != nil {
		tc.t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode >= 300 {
		tc.t.Fatalf("%s %s: status %d", method, url, resp.StatusCode)
	}
}

func (tc *testCluster) addVM(i int, withSteer bool) {
	tc.t.Helper()
	place := places[i%len(places)]
	v := vm{Address: local.Address{
		VM: ident.VM(fmt.Sprintf("%s-%d", place.Domain, i+1)), Callers: freeAddress(tc.t), Control: freeAddress(tc.t),
		Steer: freeAddress(tc.t),
	}}
	d := local.Deployment{Places: places, LinkCapacity: 280}
	text := d.Settings(v.Address, place, tc.platformAddress) + "[limits]\nlookup-ttl = 1s\n"
	if len(tc.vms) > 0 {
		text = strings.Replace(text, "[entry]", "seeds = "+tc.vms[0].Steer+"\n[entry]", 1)
	}
	v.settings = tc.writeFile(string(v.VM)+".ini", text)
	tc.setVM(store.VMInfo{
		Name: string(v.VM), Role: store.RoleEntry, State: store.Live, Place: place, Address: v.Callers,
		Control: []string{v.Control, v.Steer},
	})
	if withSteer {
		v.steer = startDaemon(tc.t, string(v.VM)+"/steer", "steer", "--settings", v.settings)
	}
	v.entry = startDaemon(tc.t, string(v.VM)+"/entry", "entry", "--settings", v.settings)
	tc.vms = append(tc.vms, v)
}

// portCounter selects the next port. The ports are below the ephemeral range, from which the system could assign a
// port to another connection before the daemon listens on it.
var portCounter atomic.Int32

const (
	firstPort = 12000
	portCount = 15000
)

// freeAddress returns a loopback address with a free port. No address is returned twice.
func freeAddress(t *testing.T) string {
	t.Helper()
	for range portCount {
		port := firstPort + (os.Getpid()*37+int(portCounter.Add(1)))%portCount
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		ln.Close()
		return addr
	}
	t.Fatal("no free port on 127.0.0.1")
	return ""
}

func (tc *testCluster) ready(v vm) bool {
	resp, err := controlClient.Get("http://" + v.Control + "/ready")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// holdsSlots reports whether the plan that the VM's entry applies grants it slots of its own.
func (tc *testCluster) holdsSlots(v vm) bool {
	resp, err := controlClient.Get("http://" + v.Control + "/dump?service=scheduler")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	var dump struct {
		Scheduler sched.Status `json:"scheduler"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&dump); err != nil {
		tc.t.Fatalf("decode the scheduler's dump of %s: %v", v.VM, err)
	}
	return slices.ContainsFunc(dump.Scheduler.Slots, func(u share.Usage) bool { return u.Granted > 0 })
}

// waitUntil polls until cond holds. Polling is the only way to observe the state of another process.
func (tc *testCluster) waitUntil(what string, cond func() bool) {
	tc.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	for !cond() {
		t := time.NewTimer(50 * time.Millisecond)
		select {
		case <-t.C:
		case <-ctx.Done():
			tc.t.Fatalf("condition not reached: %s", what)
		}
	}
}

// response is what a caller receives.
type response struct {
	status  int
	outcome string
	ticket  string
	target  string
	body    string
}

// callerRequest is a request of a caller. Empty fields have the defaults that the method request sets.
type callerRequest struct {
	customer, kind, id, path string
	deadline                 time.Duration
}

// request sends a request of a caller to a VM. The defaults are the customer shop-1, the path /look and a deadline of
// 10 s.
func (tc *testCluster) request(v vm, c callerRequest) (response, error) {
	if c.customer == "" {
		c.customer = "shop-1"
	}
	if c.path == "" {
		c.path = "/look"
	}
	if c.deadline == 0 {
		c.deadline = 10 * time.Second
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+v.Callers+"/v1/request/desk"+c.path, strings.NewReader("{}"))
	if err != nil {
		return response{}, err
	}
	req.Header.Set(front.HeaderCustomer, c.customer)
	req.Header.Set(front.HeaderKind, c.kind)
	req.Header.Set(front.HeaderDeadline, fmt.Sprint(c.deadline.Milliseconds()))
	if c.id != "" {
		req.Header.Set(front.HeaderID, c.id)
	}
	return tc.do(req, c.deadline)
}

func (tc *testCluster) do(req *http.Request, deadline time.Duration) (response, error) {
	client := http.Client{Timeout: deadline + 5*time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return response{
		resp.StatusCode, resp.Header.Get(front.HeaderOutcome), resp.Header.Get(front.HeaderTicket),
		resp.Header.Get(front.HeaderTarget), string(body),
	}, err
}

// mustRequest sends a request and fails the test if its outcome is not the given one.
func (tc *testCluster) mustRequest(v vm, c callerRequest, outcome string) response {
	tc.t.Helper()
	a, err := tc.request(v, c)
	if err != nil || a.outcome != outcome {
		tc.t.Fatalf("%s to %s: outcome %q, want %q (%v, %+v)", c.kind, v.VM, a.outcome, outcome, err, a)
	}
	return a
}

func (tc *testCluster) lookup(v vm) (front.LookupResponse, error) {
	var a front.LookupResponse
	resp, err := http.Get("http://" + v.Callers + "/v1/lookup?service=desk")
	if err != nil {
		return a, err
	}
	defer resp.Body.Close()
	return a, json.NewDecoder(resp.Body).Decode(&a)
}

// ticket waits until a VM issues a ticket of the class and returns it.
func (tc *testCluster) ticket(v vm, class ident.Class) string {
	tc.t.Helper()
	var ticket string
	tc.waitUntil(fmt.Sprintf("%s issues a ticket of class %c", v.VM, class), func() bool {
		a, err := tc.lookup(v)
		ticket = a.Ticket
		return err == nil && strings.HasPrefix(ticket, string(class)+".")
	})
	return ticket
}

// executions returns the number of executions of a request id, summed over all targets.
func (tc *testCluster) executions(id string) int {
	tc.t.Helper()
	sum := 0
	for _, addr := range tc.targetAddresses {
		resp, err := controlClient.Get("http://" + addr + "/executions?id=" + id)
		if err != nil {
			tc.t.Fatal(err)
		}
		var v struct {
			Executions int `json:"executions"`
		}
		if err := json.NewDecoder(resp.Body).Decode(&v); err != nil {
			tc.t.Fatal(err)
		}
		resp.Body.Close()
		sum += v.Executions
	}
	return sum
}

func (tc *testCluster) targetName(a response) string {
	tc.t.Helper()
	var body stubs.Response
	if err := json.Unmarshal([]byte(a.body), &body); err != nil {
		tc.t.Fatalf("body %q: %v", a.body, err)
	}
	return string(body.Target)
}
