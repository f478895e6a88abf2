package main

import (
	"encoding/base64"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is one row of the store, as PROTOCOL.md writes it.
type row struct {
	Table     string
	Part      string `json:"part"`
	Key       string
	Value     string `json:",omitempty"`
	Ver       uint64 `json:",omitempty"`
	Tombstone bool   `json:",omitempty"`
}

// store is a stand-in for the platform's store: rows, transactions and the feed of changes. It keeps all history.
type store struct {
	mu      sync.Mutex
	rows    map[string]row // by table, part and key
	history []row
	ver     uint64
	era     uint64
	changed chan struct{}
	down    bool
	started time.Time
	ln      net.Listener
}

func newStore(ip string) (*store, error) {
	ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	s := &store{rows: map[string]row{}, changed: make(chan struct{}), era: 1, started: time.Now(), ln: ln}
	go func() { _ = http.Serve(ln, s) }()
	return s, nil
}

func (s *store) address() string { return s.ln.Addr().String() }

func rowKey(table, part, key string) string { return table + "\x00" + part + "\x00" + key }

// put writes a row as the operator or a target does, and returns its version: the confirmation.
func (s *store) put(table, key string, value any) uint64 {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(b)}})
	return s.ver
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.rows[rowKey(table, "", key)]; ok {
		s.apply([]row{{Table: table, Key: key, Tombstone: true}})
	}
}

func (s *store) apply(rows []row) {
	s.ver++
	for _, r := range rows {
		r.Ver = s.ver
		if r.Tombstone {
			delete(s.rows, rowKey(r.Table, r.Part, r.Key))
		} else {
			s.rows[rowKey(r.Table, r.Part, r.Key)] = r
		}
		s.history = append(s.history, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	down := s.down
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	s.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(4 * time.Millisecond)
	switch r.URL.Path {
	case "/rows-get":
		s.get(w, r)
	case "/rows-feed":
		s.feed(w, r)
	case "/rows-tx":
		s.transact(w, body)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) reply(w http.ResponseWriter, status int, m map[string]any) {
	m["NowS"] = time.Since(s.started).Seconds()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(m)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("Limit"))
	if err != nil || limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	list := []row{}
	for _, x := range s.rows {
		if x.Table == q.Get("Table") && x.Part == q.Get("part") && x.Key >= q.Get("From") && (q.Get("Target") == "" || x.Key < q.Get("Target")) {
			list = append(list, x)
		}
	}
	ver := s.ver
	s.mu.Unlock()
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	cut := len(list) > limit
	s.reply(w, http.StatusOK, map[string]any{"Rows": list[:min(limit, len(list))], "Truncated": cut, "Ver": ver})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	deadline := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for last := wait <= 0; ; {
		s.mu.Lock()
		list := []row{}
		for i := len(s.history) - 1; i >= 0 && s.history[i].Ver > after; i-- {
			if s.history[i].Table == q.Get("Table") {
				list = append(list, s.history[i])
			}
		}
		ver, changed, gone := s.ver, s.changed, after > s.ver
		s.mu.Unlock()
		for i, j := 0, len(list)-1; i < j; i, j = i+1, j-1 {
			list[i], list[j] = list[j], list[i]
		}
		switch {
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(list) > 0 || last:
			s.reply(w, http.StatusOK, map[string]any{"Rows": list, "Ver": ver})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			last = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, body []byte) {
	var t struct{ Expect, Writes, Remove []row }
	if json.Unmarshal(body, &t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	status := http.StatusOK
	for _, e := range t.Expect {
		if s.rows[rowKey(e.Table, e.Part, e.Key)].Ver != e.Ver {
			status = http.StatusPreconditionFailed
		}
	}
	all := t.Writes
	for _, x := range t.Remove {
		x.Tombstone = true
		all = append(all, x)
	}
	for _, x := range all {
		if x.Table == "op" || x.Table == "servers" {
			status = http.StatusForbidden
		}
	}
	if status == http.StatusOK {
		s.apply(all)
	}
	ver := s.ver
	s.mu.Unlock()
	s.reply(w, status, map[string]any{"Ver": ver})
}
