// Package stubs holds stand-ins for the platform and for upstreams, with switches for their faults. Tests and the
// local mode use them.
package stubs

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/store"
)

// MaxBody is the largest body of a request to a stand-in, in bytes.
const MaxBody = 64 << 20

// PlatformFaults are the fault switches of a Platform, as in the JSON body of POST /faults. Fields left out of the
// body keep their value.
type PlatformFaults struct {
	// Down answers every call with 503 and Not-Written: true.
	Down bool `json:"down"`
	// SlowMs delays each call by that many milliseconds before it takes effect. A write takes effect even if the caller
	// has gone by then. Setting faults again restarts the delay of waiting calls with the new value.
	SlowMs int64 `json:"slow-ms"`
	// LoseAnswers is for how many writes the connection is closed after the write took effect.
	LoseAnswers int `json:"lose-answers"`
	// LoseRequests is for how many writes the connection is closed and nothing is written.
	LoseRequests int `json:"lose-requests"`
	// FreezeVMs stops changes of the VM list from showing.
	FreezeVMs bool `json:"freeze-vms"`
}

// PlatformCounts counts calls since the start, as in the JSON answer of GET /counts.
type PlatformCounts struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
	// Conflicts counts writes that were refused because a condition failed.
	Conflicts int64 `json:"conflicts"`
	// Lost counts writes without an answer, by LoseAnswers or LoseRequests.
	Lost int64 `json:"lost"`
}

// Platform stands in for the table, object store and VM list. It serves the routes of section 3.2 of the design and,
// for tests of processes: GET and POST /faults, GET /counts, PUT /vms/<name> (a store.VMInfo) and DELETE /vms/<name>.
type Platform struct {
	clock func() time.Time

	mu      sync.Mutex
	table   table
	objects table
	vms     vmList
	faults  PlatformFaults
	slow    *delay
	counts  PlatformCounts
}

// NewPlatform returns an empty platform whose VM list shows changes after lag. The clock is normally time.Now.
func NewPlatform(clock func() time.Time, lag time.Duration) *Platform {
	return &Platform{
		clock:   clock,
		table:   newTable(),
		objects: newTable(),
		vms:     newVMList(lag),
		slow:    newDelay(),
	}
}

// ServeHTTP answers one call.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if p.serveAdmin(w, r, body) {
		return
	}
	write := r.Method != http.MethodGet
	f := p.enter(write)
	switch {
	case f.Down:
		w.Header().Set(store.NotWritten, "true")
		http.Error(w, "down", http.StatusServiceUnavailable)
	case write && p.use(&p.faults.LoseRequests):
		panic(http.ErrAbortHandler) // closes the connection
	default:
		p.route(w, r, body)
	}
}

// enter counts the call, waits while the platform is slow, and returns the faults that are then set.
func (p *Platform) enter(write bool) PlatformFaults {
	p.mu.Lock()
	if write {
		p.counts.Writes++
	} else {
		p.counts.Reads++
	}
	p.mu.Unlock()
	p.slow.wait()
	return p.Faults()
}

// use takes one from the count of a fault and reports whether there was one.
func (p *Platform) use(n *int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if *n <= 0 {
		return false
	}
	*n--
	p.counts.Lost++
	return true
}

func (p *Platform) route(w http.ResponseWriter, r *http.Request, body []byte) {
	key, isRow := strings.CutPrefix(r.URL.Path, "/table/")
	name, isObject := strings.CutPrefix(r.URL.Path, "/objects/")
	switch {
	case isRow && r.Method == http.MethodGet:
		p.get(w, &p.table, key)
	case isRow && r.Method == http.MethodPut:
		p.putRow(w, r, key, body)
	case isObject && r.Method == http.MethodGet:
		p.get(w, &p.objects, name)
	case isObject && r.Method == http.MethodPut:
		p.putObject(w, name, body)
	case r.URL.Path == "/table" && r.Method == http.MethodGet:
		p.list(w, r)
	case r.URL.Path == "/txn" && r.Method == http.MethodPost:
		p.txn(w, body)
	case r.URL.Path == "/vms" && r.Method == http.MethodGet:
		writeJSON(w, store.VMsAnswer{VMs: p.VMs()})
	default:
		http.NotFound(w, r)
	}
}

func (p *Platform) get(w http.ResponseWriter, t *table, key string) {
	p.mu.Lock()
	row := t.get(key)
	p.mu.Unlock()
	if row.Version == 0 {
		http.Error(w, "not found", http.StatusNotFound)
		return
	}
	w.Header().Set("ETag", etag(row.Version))
	w.Write(row.Value)
}

func (p *Platform) putRow(w http.ResponseWriter, r *http.Request, key string, body []byte) {
	op := store.Op{Key: key, Value: body}
	if match := r.Header.Get("If-Match"); match != "" {
		v, err := strconv.ParseUint(strings.Trim(match, `"`), 10, 64)
		if err != nil || v == 0 {
			http.Error(w, "malformed If-Match", http.StatusBadRequest)
			return
		}
		op.IfVersion = ident.Version(v)
	} else if r.Header.Get("If-None-Match") != "*" {
		http.Error(w, "a write needs a condition", http.StatusPreconditionRequired)
		return
	}
	if versions, ok := p.apply(w, []store.Op{op}); ok {
		w.Header().Set("ETag", etag(versions[0]))
	}
}

func (p *Platform) txn(w http.ResponseWriter, body []byte) {
	var req store.TxnRequest
	if err := json.Unmarshal(body, &req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if versions, ok := p.apply(w, req.Ops); ok {
		writeJSON(w, store.TxnAnswer{Versions: versions})
	}
}

// apply runs a transaction. It answers a refusal itself and reports whether the caller is to answer.
func (p *Platform) apply(w http.ResponseWriter, ops []store.Op) ([]ident.Version, bool) {
	p.mu.Lock()
	versions, err := p.table.txn(ops)
	if errors.Is(err, errCondition) {
		p.counts.Conflicts++
	}
	p.mu.Unlock()
	if p.use(&p.faults.LoseAnswers) {
		panic(http.ErrAbortHandler) // closes the connection
	}
	switch {
	case errors.Is(err, errCondition):
		http.Error(w, err.Error(), http.StatusPreconditionFailed)
	case err != nil:
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return versions, err == nil
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit < 1 {
		http.Error(w, "limit must be positive", http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	rows := p.table.list(q.Get("prefix"), q.Get("after"), limit)
	p.mu.Unlock()
	writeJSON(w, store.ListAnswer{Rows: rows})
}

func (p *Platform) putObject(w http.ResponseWriter, name string, body []byte) {
	p.mu.Lock()
	p.objects.write(store.Op{Key: name, Value: body})
	version := p.objects.get(name).Version
	p.mu.Unlock()
	if p.use(&p.faults.LoseAnswers) {
		panic(http.ErrAbortHandler) // closes the connection
	}
	w.Header().Set("ETag", etag(version))
}

// serveAdmin answers the routes that are not the platform's own and reports whether r was one of them.
func (p *Platform) serveAdmin(w http.ResponseWriter, r *http.Request, body []byte) bool {
	name, isVM := strings.CutPrefix(r.URL.Path, "/vms/")
	switch {
	case r.URL.Path == "/faults":
		f := p.Faults()
		if r.Method == http.MethodPost {
			if err := json.Unmarshal(body, &f); err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return true
			}
			p.SetFaults(f)
		}
		writeJSON(w, f)
	case r.URL.Path == "/counts":
		writeJSON(w, p.Counts())
	case isVM && r.Method == http.MethodPut:
		var vm store.VMInfo
		if err := json.Unmarshal(body, &vm); err != nil || vm.Name != name {
			http.Error(w, "malformed VM", http.StatusBadRequest)
			return true
		}
		p.SetVM(vm)
	case isVM && r.Method == http.MethodDelete:
		p.RemoveVM(name)
	default:
		return false
	}
	return true
}

// SetFaults replaces the fault switches.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms.freeze(f.FreezeVMs, p.clock())
	p.faults = f
	p.slow.set(f.SlowMs)
}

// Faults returns the fault switches; the counts in it fall as faults are used up.
func (p *Platform) Faults() PlatformFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// SetVM adds a VM or replaces its row.
func (p *Platform) SetVM(vm store.VMInfo) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms.set(vm, p.clock())
}

// LeaveVM marks a VM as leaving. It does nothing if there is no such VM.
func (p *Platform) LeaveVM(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if vm, ok := p.vms.truth[name]; ok {
		vm.State = store.Leaving
		p.vms.set(vm, p.clock())
	}
}

// RemoveVM removes a VM.
func (p *Platform) RemoveVM(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms.remove(name, p.clock())
}

// ShowVMs makes all changes of the VM list so far show at once, whatever the lag; for the start of a test.
func (p *Platform) ShowVMs() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms.advance(p.clock())
}

// VMs returns the list as GET /vms shows it now, sorted by name.
func (p *Platform) VMs() []store.VMInfo {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.vms.list(p.clock())
}

// Row returns a row of the table without counting a read.
func (p *Platform) Row(key string) store.Row {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.get(key)
}

// Counts returns the counters.
func (p *Platform) Counts() PlatformCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}

func etag(v ident.Version) string {
	return `"` + strconv.FormatUint(uint64(v), 10) + `"`
}
