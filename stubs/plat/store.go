// Package plat contains stand-ins for the users' platform: its store and its targets. They follow the platform's
// published protocol and can be given faults. Tests and the local deployment use them; they are not for production.
package plat

import (
	"encoding/base64"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is one row of the store in the JSON encoding of the protocol.
type row struct {
	Table     string
	Part      string `json:"part"`
	Key       string
	Value     string `json:",omitempty"`
	Ver       uint64 `json:",omitempty"`
	Tombstone bool   `json:",omitempty"`
}

// StoreFaults are the active faults of a Store.
type StoreFaults struct {
	// Status, unless zero, is the response status of every affected call, which then has no effect.
	Status int
	// Silent leaves affected calls without a response. AffectedHosts limits Silent and Status to calls from these IP
	// addresses; if it is empty, all calls are affected.
	Silent        bool
	AffectedHosts map[string]bool
	// LoseWrites applies writes but closes the connection without a response.
	LoseWrites bool
	// Delay is the time that passes before each call is handled.
	Delay time.Duration
}

// Store is an in-memory stand-in for the platform's store.
type Store struct {
	mu      sync.Mutex
	rows    map[string]map[string]row // by table and key
	history []row
	version uint64
	// era counts the restores; the first one is 1.
	era uint64
	// compactedVersion is the version up to which the history was removed.
	compactedVersion uint64
	changed          chan struct{}
	faults           StoreFaults
	calls            map[string]int
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{rows: map[string]map[string]row{}, changed: make(chan struct{}), calls: map[string]int{}, era: 1}
}

// SetFaults replaces the active faults.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Calls returns the number of calls by path.
func (s *Store) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make(map[string]int, len(s.calls))
	for k, n := range s.calls {
		all[k] = n
	}
	return all
}

// Put writes a row with the JSON encoding of value. It acts as an operator or a target, and faults do not affect it.
func (s *Store) Put(table, key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err) // callers pass values that encode
	}
	s.PutBytes(table, key, b)
}

// PutBytes is Put with an already encoded value.
func (s *Store) PutBytes(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(value)}})
}

// Remove removes a row.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Tombstone: true}})
}

// Keys returns the sorted keys of a table.
func (s *Store) Keys(table string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sortedKeys(table)
}

// Compact removes the history, so that a feed that is behind gets status 410 Gone.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compactedVersion = nil, s.version
	s.notifyChange()
}

// Copy is a copy of a store's contents.
type Copy struct {
	rows                      map[string]map[string]row
	history                   []row
	version, compactedVersion uint64
}

// Copy returns a copy of the present contents.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{cloneTables(s.rows), slices.Clone(s.history), s.version, s.compactedVersion}
}

// Restore replaces the contents by those of an earlier copy and starts a new era: what was written since is lost, and its
// versions are given out again.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows, s.history = cloneTables(c.rows), slices.Clone(c.history)
	s.version, s.compactedVersion = c.version, c.compactedVersion
	s.era++
	s.notifyChange()
}

func cloneTables(tables map[string]map[string]row) map[string]map[string]row {
	all := make(map[string]map[string]row, len(tables))
	for name, rows := range tables {
		all[name] = maps.Clone(rows)
	}
	return all
}

func (s *Store) notifyChange() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// apply writes rows in one transaction and wakes waiting feeds. s.mu must be held.
func (s *Store) apply(rows []row) {
	s.version++
	for _, r := range rows {
		r.Ver = s.version
		if s.rows[r.Table] == nil {
			s.rows[r.Table] = map[string]row{}
		}
		if r.Tombstone {
			delete(s.rows[r.Table], r.Key)
		} else {
			s.rows[r.Table][r.Key] = r
		}
		s.history = append(s.history, r)
	}
	s.notifyChange()
}

func (s *Store) sortedKeys(table string) []string {
	keys := make([]string, 0, len(s.rows[table]))
	for k := range s.rows[table] {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls[r.URL.Path]++
	f := s.faults
	s.mu.Unlock()
	// net/http detects that the caller has disconnected only once the body was read.
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the caller disconnected
	}
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	affected := len(f.AffectedHosts) == 0 || f.AffectedHosts[host]
	if f.Delay > 0 {
		time.Sleep(f.Delay)
	}
	switch {
	case affected && f.Silent:
		<-r.Context().Done()
		return
	case affected && f.Status != 0:
		s.setEra(w)
		w.WriteHeader(f.Status)
		return
	}
	switch r.URL.Path {
	case "/rows-get":
		s.get(w, r)
	case "/rows-feed":
		s.feed(w, r)
	case "/rows-tx":
		s.transact(w, body, f)
	default:
		s.setEra(w)
		w.WriteHeader(http.StatusNotFound)
	}
}

// setEra sets the header with the era, which all answers have.
func (s *Store) setEra(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setEraLocked(w)
}

// setEraLocked is setEra for callers that hold s.mu.
func (s *Store) setEraLocked(w http.ResponseWriter) {
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("Limit"))
	if err != nil || limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setEraLocked(w)
	a := map[string]any{"Ver": s.version, "Truncated": false}
	rows := []row{}
	for _, k := range s.sortedKeys(q.Get("Table")) {
		if k < q.Get("From") || q.Get("Target") != "" && k >= q.Get("Target") {
			continue
		}
		if len(rows) == limit {
			a["Truncated"] = true
			break
		}
		rows = append(rows, s.rows[q.Get("Table")][k])
	}
	a["Rows"] = rows
	writeJSON(w, a)
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		s.setEra(w)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	waitMS, _ := strconv.Atoi(q.Get("WaitMs")) // a missing or malformed value means no wait
	deadline := time.After(time.Duration(waitMS) * time.Millisecond)
	for {
		s.mu.Lock()
		s.setEraLocked(w)
		rows, ver, changed := []row{}, s.version, s.changed
		// A version that the store does not have is one that it has lost in a restore.
		compacted := after < s.compactedVersion || after > s.version
		for _, h := range s.history {
			if h.Table == q.Get("Table") && h.Ver > after {
				rows = append(rows, h)
			}
		}
		s.mu.Unlock()
		if compacted {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(rows) > 0 || waitMS == 0 {
			writeJSON(w, map[string]any{"Rows": rows, "Ver": ver})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			waitMS = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) transact(w http.ResponseWriter, body []byte, f StoreFaults) {
	var t struct{ Expect, Writes, Remove []row }
	if err := json.Unmarshal(body, &t); err != nil {
		s.setEra(w)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.setEraLocked(w)
	for _, e := range t.Expect {
		if s.rows[e.Table][e.Key].Ver != e.Ver {
			s.mu.Unlock()
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	rows := t.Writes
	for _, d := range t.Remove {
		d.Tombstone = true
		rows = append(rows, d)
	}
	for _, x := range rows {
		if x.Table == "op" || x.Table == "servers" {
			s.mu.Unlock()
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.apply(rows)
	ver := s.version
	s.mu.Unlock()
	if f.LoseWrites {
		panic(http.ErrAbortHandler) // closes the connection without a response
	}
	writeJSON(w, map[string]any{"Ver": ver})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// An error means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}
