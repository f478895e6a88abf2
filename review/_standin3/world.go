// Command standin3 plays the scripted cases of the third review: it starts the project's program as separate processes, with
// stand-ins for the platform's store, the targets and the clients, on loopback addresses and the real clock.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/currantpier/currantpier/stubs/plat"
)

// world is a small deployment: VMs as processes of target/pier, and the store and the targets in this process.
type world struct {
	dir    string
	store  *plat.Store
	server *http.Server
	addr   string
	ports  map[string]int
	zones  map[string]string
	bounds map[string]any
	terms  []string
	limits map[string]any
	vms    []*vm
	rec    *record
}

type vm struct {
	w              *world
	name, ip, zone string
	path           string
	mu             sync.Mutex
	cmd            *exec.Cmd
	exited         chan struct{}
}

// loopback returns an address of the loopback network that no other process of this run uses.
func loopback(i int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 30+pid/250%180, 1+pid%250, i+1)
}

func newWorld(rec *record, zones map[string]string, bounds map[string]any, terms []string, limits map[string]any) (*world, error) {
	dir, err := os.MkdirTemp("", "review3")
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, store: plat.NewStore(), zones: zones, bounds: bounds, terms: terms, limits: limits, rec: rec, ports: map[string]int{}}
	ln, err := net.Listen("tcp", net.JoinHostPort(loopback(200), "0"))
	if err != nil {
		return nil, err
	}
	w.addr = ln.Addr().String()
	w.server = &http.Server{Handler: w.store, ErrorLog: log.New(io.Discard, "", 0)}
	go func() { _ = w.server.Serve(ln) }()
	return w, nil
}

// addVM adds a VM; call pickPorts after the last one.
func (w *world) addVM(name, zone string) *vm {
	v := &vm{w: w, name: name, ip: loopback(len(w.vms)), zone: zone, path: filepath.Join(w.dir, name+".json")}
	w.vms = append(w.vms, v)
	return v
}

// pickPorts chooses ports that are free on all VMs, below the ephemeral range.
func (w *world) pickPorts() error {
	next := 13000 + os.Getpid()%9000
	for _, name := range []string{"caller", "ready", "directory", "control", "peer", "metrics"} {
		for ; next < 31000 && !w.free(next); next++ {
		}
		if next >= 31000 {
			return fmt.Errorf("no free port")
		}
		w.ports[name] = next
		next++
	}
	return nil
}

func (w *world) free(port int) bool {
	for _, v := range w.vms {
		ln, err := net.Listen("tcp", net.JoinHostPort(v.ip, strconv.Itoa(port)))
		if err != nil {
			return false
		}
		_ = ln.Close()
	}
	return true
}

func (v *vm) address(port string) string {
	return net.JoinHostPort(v.ip, strconv.Itoa(v.w.ports[port]))
}

func (v *vm) settings() map[string]any {
	w := v.w
	return map[string]any{
		"Self": map[string]any{"NodeName": v.name, "Role": "pier", "MachineClass": "edge", "Serves": []string{"edge", "control", "directory"},
			"Ip": v.ip, "Zone": v.zone, "Region": w.zones[v.zone], "CountsAsLoss": false, "Bootstrap": true, "DataDir": nil, "Limits": w.limits},
		"Network": map[string]any{
			"Listen": map[string]any{"Frontend": v.address("caller"), "Ready": v.address("ready"), "ControlPlane": v.address("control"),
				"Directory": v.address("directory")},
			"InternalPortRange": []int{w.ports["peer"], w.ports["metrics"]}, "SeedNodes": []string{w.vms[0].address("control")}, "Zones": w.zones,
		},
		"Platform": map[string]any{"Discovery": "platform", "Entry": "directory", "HeartbeatS": 1.5,
			"Platform": map[string]any{"Address": w.addr, "form": "table", "WritesPerS": 400, "ReadsPerS": 2000, "TxS": 0.005,
				"PartWritesPerS": 200, "RowBytes": 65536, "Across": false, "HistoryS": 20, "BlobBytes": 8388608, "BlobS": 0.025, "BlobMbS": 80.0}},
		"Terms": map[string]any{"Contracts": w.terms, "FaultTolerance": map[string]any{"Machines": 2, "Zones": 1, "Regions": 1}, "Bounds": w.bounds},
	}
}

// start starts the VM's process with the command of the deploy file, in the repository.
func (v *vm) start() error {
	b, err := json.Marshal(v.settings())
	if err != nil {
		return err
	}
	if err := os.WriteFile(v.path, b, 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(v.w.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/pier")
	cmd.Env = append(os.Environ(), "CURRANTPIER_SETTINGS="+v.path)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	v.mu.Lock()
	v.cmd, v.exited = cmd, exited
	v.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(exited)
	}()
	return nil
}

func (v *vm) signal(s os.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd != nil {
		_ = v.cmd.Process.Signal(s)
	}
}

// stop sends SIGTERM, and SIGKILL after grace, and waits for the end of the process.
func (v *vm) stop(grace time.Duration) {
	v.signal(syscall.SIGTERM)
	select {
	case <-v.exited:
	case <-time.After(grace):
		v.signal(syscall.SIGKILL)
		<-v.exited
	}
}

func (w *world) close() {
	for _, v := range w.vms {
		if v.cmd != nil {
			v.signal(syscall.SIGKILL)
			<-v.exited
		}
	}
	_ = w.server.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("kept", w.dir)
	}
}

var plain = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func (v *vm) ready() bool {
	resp, err := plain.Get("http://" + v.address("ready") + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// resolve asks the VM where to connect.
func (v *vm) resolve(host, region, zone string) ([]string, time.Duration) {
	resp, err := plain.Get("http://" + v.address("directory") + "/resolve?Name=" + host + "&Region=" + region + "&Zone=" + zone)
	if err != nil {
		return nil, 0
	}
	defer func() { _ = resp.Body.Close() }()
	var a struct {
		Addresses []string
		TtlS      float64
	}
	if json.NewDecoder(resp.Body).Decode(&a) != nil {
		return nil, 0
	}
	return a.Addresses, time.Duration(a.TtlS * float64(time.Second))
}

// awaitReady waits until all VMs are ready and each names all VMs of its region.
func (w *world) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ok := true
		for _, v := range w.vms {
			inZone := 0
			for _, o := range w.vms {
				if o.zone == v.zone {
					inZone++
				}
			}
			list, _ := v.resolve("any.example", w.zones[v.zone], v.zone)
			ok = ok && v.ready() && len(list) >= inZone
		}
		if ok {
			return nil
		}
	}
	return fmt.Errorf("the VMs aren't ready after %v", limit)
}

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{f: f, start: time.Now()}, err
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.f, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// say writes to the record and to standard output.
func (r *record) say(format string, args ...any) {
	r.add(format, args...)
	fmt.Printf(format+"\n", args...)
}
