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
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/currantpier/currantpier/cmds"
	"github.com/currantpier/currantpier/front"
	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/local"
	"github.com/currantpier/currantpier/store"
	"github.com/currantpier/currantpier/stubs"
)

// asProgram makes the test binary act as the program, so that the processes run the code under test, race detector
// included.
const asProgram = "CURRANTPIER_TEST_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		os.Exit(cmds.Main(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// admin calls the stand-ins and control ports. It keeps no connections, since a fault may silence those that are open.
var admin = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: limit}

// limit bounds every wait in these tests. It is far above what any wait needs, so that a busy machine does not fail one.
const limit = 60 * time.Second

// process is a running program.
type process struct {
	t    *testing.T
	name string
	cmd  *exec.Cmd
	log  *syncBuffer
	done chan error
}

func command(args ...string) *exec.Cmd {
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), asProgram+"=1")
	return cmd
}

// start runs a daemon in the background and ends it with the test.
func start(t *testing.T, name string, args ...string) *process {
	t.Helper()
	p := &process{t: t, name: name, cmd: command(args...), log: &syncBuffer{}, done: make(chan error, 1)}
	p.cmd.Stderr = p.log
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	p.watch()
	return p
}

func (p *process) watch() {
	go func() { p.done <- p.cmd.Wait() }()
	p.t.Cleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		select {
		case <-p.done:
		case <-time.After(limit):
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

// exit waits for the end of the process.
func (p *process) exit() error {
	p.t.Helper()
	select {
	case err := <-p.done:
		p.done <- err
		return err
	case <-time.After(limit):
		p.t.Fatalf("%s did not end; log:\n%s", p.name, p.log)
		return nil
	}
}

// standIn starts a stand-in and returns its address.
func standIn(t *testing.T, name string, args ...string) (string, *process) {
	t.Helper()
	p := &process{t: t, name: name, cmd: command(append([]string{"stand-in"}, args...)...), log: &syncBuffer{},
		done: make(chan error, 1)}
	p.cmd.Stderr = p.log
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	line, err := bufio.NewReader(out).ReadString('\n')
	p.watch()
	addr, ok := strings.CutPrefix(strings.TrimSpace(line), "listening ")
	if !ok {
		t.Fatalf("%s said %q, %v", name, line, err)
	}
	return addr, p
}

// run runs a command of an operator to its end.
func run(t *testing.T, args ...string) (string, int) {
	t.Helper()
	cmd := command(args...)
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	err := cmd.Run()
	if err != nil && cmd.ProcessState == nil {
		t.Fatal(err)
	}
	return out.String(), cmd.ProcessState.ExitCode()
}

// system is a small deployment: entry VMs with both daemons, targets and the platform's stand-in.
type system struct {
	t        *testing.T
	platform string
	vms      []vm
	targets  map[string]string
	dir      string
}

type vm struct {
	local.Address
	settings     string
	entry, steer *process
}

type target struct {
	name    string
	service ident.Service
	place   ident.Place
	slots   int
	time    time.Duration
}

var places = []ident.Place{
	{Region: "cluj", Domain: "cluj-a"}, {Region: "cluj", Domain: "cluj-b"}, {Region: "brasov", Domain: "brasov-a"},
}

// newSystem starts the platform, the targets, n entry VMs of which the first m run a steer daemon, and applies lists.
func newSystem(t *testing.T, n, m int, targets ...target) *system {
	t.Helper()
	s := &system{t: t, targets: map[string]string{}, dir: t.TempDir()}
	s.platform, _ = standIn(t, "platform", "platform", "--lag", "200ms")
	for _, tg := range targets {
		s.addTarget(tg)
	}
	for i := range n {
		s.addVM(i, i < m)
	}
	s.write("customers.csv", "customer,plan\nshop-1,trade\nlook-1,looks\n")
	s.write("uses.csv", "plan,service,rate,weight,orders\ntrade,desk,10000,10,yes\nlooks,desk,10000,5,no\n")
	s.await("the lists are accepted", func() bool {
		_, code := run(t, "apply", "--steer", s.vms[0].Steer, "--customers", s.path("customers.csv"),
			"--uses", s.path("uses.csv"))
		return code == cmds.ExitOK
	})
	for _, v := range s.vms {
		s.await(string(v.VM)+" is ready", func() bool { return s.ready(v) })
	}
	return s
}

func (s *system) path(name string) string { return filepath.Join(s.dir, name) }

func (s *system) write(name, text string) string {
	s.t.Helper()
	if err := os.WriteFile(s.path(name), []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	return s.path(name)
}

func (s *system) addTarget(tg target) {
	s.t.Helper()
	addr, _ := standIn(s.t, tg.name, "upstream", "--name", tg.name, "--slots", fmt.Sprint(tg.slots),
		"--time", tg.time.String(), "--lag", "100ms")
	s.targets[tg.name] = addr
	s.setVM(store.VMInfo{
		Name: tg.name, Role: store.RoleUpstream, State: store.Live, Place: tg.place, Address: addr,
		Service: tg.service, Slots: ident.Slots(tg.slots), Connections: 400,
	})
}

func (s *system) setVM(info store.VMInfo) {
	s.t.Helper()
	body, err := json.Marshal(info)
	if err != nil {
		s.t.Fatal(err)
	}
	s.send(http.MethodPut, "http://"+s.platform+"/vms/"+info.Name, string(body))
}

// fault sets fault switches of a stand-in.
func (s *system) fault(addr, body string) {
	s.t.Helper()
	s.send(http.MethodPost, "http://"+addr+"/faults", body)
}

// silence makes the open connections of a target silent, the one of this call included, so that its answer is lost.
func (s *system) silence(addr string) {
	resp, err := admin.Post("http://"+addr+"/faults", "application/json", strings.NewReader(`{"silence": true}`))
	if err == nil {
		resp.Body.Close()
	}
}

func (s *system) send(method, url, body string) {
	s.t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	resp, err := admin.Do(req)
	if err != nil {
		s.t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode >= 300 {
		s.t.Fatalf("%s %s: status %d", method, url, resp.StatusCode)
	}
}

func (s *system) addVM(i int, withSteer bool) {
	s.t.Helper()
	place := places[i%len(places)]
	v := vm{Address: local.Address{
		VM: ident.VM(fmt.Sprintf("%s-%d", place.Domain, i+1)), Callers: freePort(s.t), Control: freePort(s.t),
		Steer: freePort(s.t),
	}}
	d := local.Deployment{Places: places, LinkCapacity: 280}
	text := d.Settings(v.Address, place, s.platform) + "[limits]\nlookup-ttl = 1s\n"
	if len(s.vms) > 0 {
		text = strings.Replace(text, "[entry]", "seeds = "+s.vms[0].Steer+"\n[entry]", 1)
	}
	v.settings = s.write(string(v.VM)+".ini", text)
	s.setVM(store.VMInfo{
		Name: string(v.VM), Role: store.RoleEntry, State: store.Live, Place: place, Address: v.Callers,
		Control: []string{v.Control, v.Steer},
	})
	if withSteer {
		v.steer = start(s.t, string(v.VM)+"/steer", "steer", "--settings", v.settings)
	}
	v.entry = start(s.t, string(v.VM)+"/entry", "entry", "--settings", v.settings)
	s.vms = append(s.vms, v)
}

// nextPort is below the range from which systems take the ports of outgoing connections, since one of those could take a
// port between its choice and the start of the daemon.
var nextPort atomic.Int32

const (
	firstPort = 12000
	portRange = 15000
)

// freePort returns a loopback address that nothing listens on. Each address is returned once.
func freePort(t *testing.T) string {
	t.Helper()
	for range portRange {
		port := firstPort + (os.Getpid()*37+int(nextPort.Add(1)))%portRange
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		ln.Close()
		return addr
	}
	t.Fatal("no free port")
	return ""
}

func (s *system) ready(v vm) bool {
	resp, err := admin.Get("http://" + v.Control + "/ready")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// await polls until cond holds. Processes give no other signal of what goes on in them.
func (s *system) await(what string, cond func() bool) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	for !cond() {
		t := time.NewTimer(50 * time.Millisecond)
		select {
		case <-t.C:
		case <-ctx.Done():
			s.t.Fatalf("waited in vain until %s", what)
		}
	}
}

// answer is what a caller sees.
type answer struct {
	status  int
	outcome string
	ticket  string
	target  string
	body    string
}

type call struct {
	customer, kind, id, path string
	deadline                 time.Duration
}

// request sends a request of a caller to a VM.
func (s *system) request(v vm, c call) (answer, error) {
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
		return answer{}, err
	}
	req.Header.Set(front.HeaderCustomer, c.customer)
	req.Header.Set(front.HeaderKind, c.kind)
	req.Header.Set(front.HeaderDeadline, fmt.Sprint(c.deadline.Milliseconds()))
	if c.id != "" {
		req.Header.Set(front.HeaderID, c.id)
	}
	return s.do(req, c.deadline)
}

func (s *system) do(req *http.Request, deadline time.Duration) (answer, error) {
	client := http.Client{Timeout: deadline + 5*time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return answer{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return answer{
		resp.StatusCode, resp.Header.Get(front.HeaderOutcome), resp.Header.Get(front.HeaderTicket),
		resp.Header.Get(front.HeaderTarget), string(body),
	}, err
}

// must is request with a check of the outcome.
func (s *system) must(v vm, c call, outcome string) answer {
	s.t.Helper()
	a, err := s.request(v, c)
	if err != nil || a.outcome != outcome {
		s.t.Fatalf("%s to %s: outcome %q, want %q (%v, %+v)", c.kind, v.VM, a.outcome, outcome, err, a)
	}
	return a
}

func (s *system) lookup(v vm) (front.LookupResponse, error) {
	var a front.LookupResponse
	resp, err := http.Get("http://" + v.Callers + "/v1/lookup?service=desk")
	if err != nil {
		return a, err
	}
	defer resp.Body.Close()
	return a, json.NewDecoder(resp.Body).Decode(&a)
}

// ticket waits for a ticket of the class from a VM.
func (s *system) ticket(v vm, class ident.Class) string {
	s.t.Helper()
	var ticket string
	s.await(fmt.Sprintf("%s gives a ticket of class %c", v.VM, class), func() bool {
		a, err := s.lookup(v)
		ticket = a.Ticket
		return err == nil && strings.HasPrefix(ticket, string(class)+".")
	})
	return ticket
}

// executions adds up the executions of a request id over all targets.
func (s *system) executions(id string) int {
	s.t.Helper()
	sum := 0
	for _, addr := range s.targets {
		resp, err := admin.Get("http://" + addr + "/executions?id=" + id)
		if err != nil {
			s.t.Fatal(err)
		}
		var v struct {
			Executions int `json:"executions"`
		}
		if err := json.NewDecoder(resp.Body).Decode(&v); err != nil {
			s.t.Fatal(err)
		}
		resp.Body.Close()
		sum += v.Executions
	}
	return sum
}

func (s *system) targetOf(a answer) string {
	s.t.Helper()
	var body stubs.Answer
	if err := json.Unmarshal([]byte(a.body), &body); err != nil {
		s.t.Fatalf("body %q: %v", a.body, err)
	}
	return string(body.Target)
}
