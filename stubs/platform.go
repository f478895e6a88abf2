// Package stubs contains stand-ins for the platform and for upstreams, whose faults can be switched on and off. Tests
// and the local deployment use them.
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

// MaxBody bounds the request body of a stand-in, in bytes.
const MaxBody = 64 << 20

// PlatformFaults are the fault switches of a Platform. They are also the JSON body of POST /faults, where omitted
// fields keep their values.
type PlatformFaults struct {
	// Down answers every call with status 503 and the header Not-Written: true.
	Down bool `json:"down"`
	// DelayMs delays each call by that many milliseconds before it takes effect. A write takes effect even if its
	// caller has disconnected meanwhile. Setting the faults restarts the delay of waiting calls with the new value.
	DelayMs int64 `json:"slow-ms"`
	// LoseResponses is the number of coming writes that are applied and whose connection is then closed without a
	// response.
	LoseResponses int `json:"lose-answers"`
	// LoseRequests is the number of coming writes that are not applied and whose connection is closed without a
	// response.
	LoseRequests int `json:"lose-requests"`
	// FreezeVMs stops GET /vms from showing later changes of the VM list.
	FreezeVMs bool `json:"freeze-vms"`
}

// PlatformCounts counts calls since the start. It is the JSON response of GET /counts.
type PlatformCounts struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
	// Conflicts counts writes refused because a condition failed.
	Conflicts int64 `json:"conflicts"`
	// Lost counts writes that got no response because of LoseResponses or LoseRequests.
	Lost int64 `json:"lost"`
}

// Platform is an in-memory stand-in for the platform's table, object store and VM list. It serves the HTTP interface
// that package store uses. For tests that run processes it also serves GET and POST /faults, GET /counts, POST
// /save and /restore, PUT /vms/<name> (the body is a store.VMInfo) and DELETE /vms/<name>.
type Platform struct {
	clock func() time.Time

	mu      sync.Mutex
	table   table
	objects table
	vms     vmList
	faults  PlatformFaults
	latency *adjustableDelay
	counts  PlatformCounts
	// era counts the restores, from ident.FirstEra. It is in every response.
	era ident.Era
	// savedTable and savedObjects are the copy that Restore returns to.
	savedTable, savedObjects table
}

// NewPlatform returns an empty platform whose VM list shows each change after vmListLag. The clock is time.Now
// outside tests.
func NewPlatform(clock func() time.Time, vmListLag time.Duration) *Platform {
	return &Platform{
		clock:   clock,
		table:   newTable(),
		objects: newTable(),
		vms:     newVMList(vmListLag),
		latency: newAdjustableDelay(),
		era:     ident.FirstEra,

		savedTable:   newTable(),
		savedObjects: newTable(),
	}
}

// ServeHTTP implements http.Handler.
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
	faults := p.countAndDelay(write)
	p.mu.Lock()
	p.setEra(w) // the responses of calls that take effect later state the era of that moment
	p.mu.Unlock()
	switch {
	case faults.Down:
		w.Header().Set(store.HeaderNotWritten, "true")
		http.Error(w, "down", http.StatusServiceUnavailable)
	case write && p.consumeFault(&p.faults.LoseRequests):
		panic(http.ErrAbortHandler) // closes the connection without a response
	default:
		p.serveStore(w, r, body)
	}
}

// countAndDelay counts the call, waits for the delay of DelayMs, and returns the faults set after the wait.
func (p *Platform) countAndDelay(write bool) PlatformFaults {
	p.mu.Lock()
	if write {
		p.counts.Writes++
	} else {
		p.counts.Reads++
	}
	p.mu.Unlock()
	p.latency.wait()
	return p.Faults()
}

// consumeFault decrements the remaining count of a fault and reports whether it was above zero.
func (p *Platform) consumeFault(remaining *int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if *remaining <= 0 {
		return false
	}
	*remaining--
	p.counts.Lost++
	return true
}

func (p *Platform) serveStore(w http.ResponseWriter, r *http.Request, body []byte) {
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
		p.txn(w, r, body)
	case r.URL.Path == "/vms" && r.Method == http.MethodGet:
		writeJSON(w, store.VMsResponse{VMs: p.VMs()})
	default:
		http.NotFound(w, r)
	}
}

func (p *Platform) get(w http.ResponseWriter, t *table, key string) {
	p.mu.Lock()
	row := t.get(key)
	p.setEra(w)
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
	if versions, ok := p.apply(w, r, []store.Op{op}); ok {
		w.Header().Set("ETag", etag(versions[0]))
	}
}

func (p *Platform) txn(w http.ResponseWriter, r *http.Request, body []byte) {
	var req store.TxnRequest
	if err := json.Unmarshal(body, &req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if versions, ok := p.apply(w, r, req.Ops); ok {
		writeJSON(w, store.TxnResponse{Versions: versions})
	}
}

// apply runs a transaction, unless r requires another era. If the transaction fails, it writes the error response and
// returns false.
func (p *Platform) apply(w http.ResponseWriter, r *http.Request, ops []store.Op) ([]ident.Version, bool) {
	p.mu.Lock()
	versions, err := []ident.Version(nil), errConditionFailed
	if era := r.Header.Get(store.HeaderIfEra); era == "" || era == formatEra(p.era) {
		versions, err = p.table.txn(ops)
	}
	p.setEra(w)
	if errors.Is(err, errConditionFailed) {
		p.counts.Conflicts++
	}
	p.mu.Unlock()
	if p.consumeFault(&p.faults.LoseResponses) {
		panic(http.ErrAbortHandler) // closes the connection without a response
	}
	switch {
	case errors.Is(err, errConditionFailed):
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
	p.setEra(w)
	p.mu.Unlock()
	writeJSON(w, store.ListResponse{Rows: rows})
}

func (p *Platform) putObject(w http.ResponseWriter, name string, body []byte) {
	p.mu.Lock()
	p.objects.write(store.Op{Key: name, Value: body})
	version := p.objects.get(name).Version
	p.setEra(w)
	p.mu.Unlock()
	if p.consumeFault(&p.faults.LoseResponses) {
		panic(http.ErrAbortHandler) // closes the connection without a response
	}
	w.Header().Set("ETag", etag(version))
}

// serveAdmin serves the routes that the real platform lacks. It reports whether r is for one of them.
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
	case r.URL.Path == "/save":
		p.Save()
	case r.URL.Path == "/restore":
		p.Restore()
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
	p.vms.setFrozen(f.FreezeVMs, p.clock())
	p.faults = f
	p.latency.set(f.DelayMs)
}

// Faults returns the fault switches. Their counts decrease as faults occur.
func (p *Platform) Faults() PlatformFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// Save makes a copy of the table and the objects, which Restore returns to.
func (p *Platform) Save() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.savedTable, p.savedObjects = p.table.clone(), p.objects.clone()
}

// Restore returns to the copy that Save made last, or to an empty table, and begins a new era. Later writes are lost,
// and their versions are given out again. The VM list is not restored, since the platform writes it again.
func (p *Platform) Restore() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table, p.objects = p.savedTable.clone(), p.savedObjects.clone()
	p.era++
}

// setEra states the era in the response, as of the moment at which the call takes effect. The caller holds mu.
func (p *Platform) setEra(w http.ResponseWriter) { w.Header().Set(store.HeaderEra, formatEra(p.era)) }

// SetVM adds or replaces a VM.
func (p *Platform) SetVM(vm store.VMInfo) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms.set(vm, p.clock())
}

// MarkVMLeaving sets the state of a VM to leaving. It does nothing if the VM does not exist.
func (p *Platform) MarkVMLeaving(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if vm, ok := p.vms.current[name]; ok {
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

// PublishVMs makes all changes of the VM list so far visible at once, regardless of the lag. It is meant for the
// setup of a test.
func (p *Platform) PublishVMs() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms.publishUpTo(p.clock())
}

// VMs returns the VM list as GET /vms shows it now, sorted by name.
func (p *Platform) VMs() []store.VMInfo {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.vms.list(p.clock())
}

// Row returns a row of the table. The access is not counted as a read.
func (p *Platform) Row(key string) store.Row {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.get(key)
}

// Counts returns the call counts.
func (p *Platform) Counts() PlatformCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}

func formatEra(e ident.Era) string { return strconv.FormatUint(uint64(e), 10) }

func etag(v ident.Version) string {
	return `"` + strconv.FormatUint(uint64(v), 10) + `"`
}
