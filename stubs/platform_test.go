package stubs_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/kinds"
	"github.com/currantpier/currantpier/lease"
	"github.com/currantpier/currantpier/store"
	"github.com/currantpier/currantpier/stubs"
)

type clock struct{ now time.Time }

func (c *clock) Now() time.Time { return c.now }

func newPlatform(t *testing.T, opts ...store.Option) (*stubs.Platform, *store.Client, string) {
	c := &clock{time.Unix(1000, 0)}
	p := stubs.NewPlatform(c.Now, 0)
	srv := httptest.NewServer(p)
	t.Cleanup(srv.Close)
	return p, store.New(srv.URL, opts...), srv.URL
}

func post(t *testing.T, url, body string) {
	t.Helper()
	resp, err := http.Post(url, "application/json", strings.NewReader(body))
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("POST %s: %v, %v", url, resp, err)
	}
	resp.Body.Close()
}

// Guards against a transaction that is applied in part, a condition that does not hold, and a deleted row whose old
// version becomes valid again.
func TestTransactions(t *testing.T) {
	_, c, _ := newPlatform(t)
	put := func(key, value string, v ident.Version) store.Op {
		return store.Op{Key: key, Value: []byte(value), IfVersion: v}
	}
	steps := []struct {
		ops  []store.Op
		want kinds.Kind
		// rows are the versions of a, a/b and b afterwards.
		rows [3]ident.Version
	}{
		{[]store.Op{put("a", "1", 0)}, kinds.Answered, [3]ident.Version{1, 0, 0}},
		{[]store.Op{put("a", "2", 0)}, kinds.Conflict, [3]ident.Version{1, 0, 0}},
		{[]store.Op{put("a", "2", 2)}, kinds.Conflict, [3]ident.Version{1, 0, 0}},
		{[]store.Op{put("a/b", "2", 0), put("b", "2", 5)}, kinds.Conflict, [3]ident.Version{1, 0, 0}},
		{[]store.Op{put("a/b", "2", 0), {Key: "a", IfVersion: 2, CheckOnly: true}}, kinds.Conflict, [3]ident.Version{1, 0, 0}},
		{[]store.Op{put("a/b", "2", 0), {Key: "a", IfVersion: 1, CheckOnly: true}}, kinds.Answered, [3]ident.Version{1, 1, 0}},
		{[]store.Op{put("a/b", "3", 1), put("a/b", "4", 1)}, kinds.BadRequest, [3]ident.Version{1, 1, 0}},
		{[]store.Op{{Key: "a", IfVersion: 1, Delete: true}, put("b", "1", 0)}, kinds.Answered, [3]ident.Version{0, 1, 1}},
		{[]store.Op{put("a", "1", 0)}, kinds.Answered, [3]ident.Version{2, 1, 1}},
	}
	for i, s := range steps {
		versions, err := c.Txn(t.Context(), s.ops)
		if kinds.Of(err) != s.want || err == nil && len(versions) != len(s.ops) {
			t.Errorf("step %d: %v, %v, want %v", i, versions, err, s.want)
		}
		for j, key := range []string{"a", "a/b", "b"} {
			if row, err := c.Get(t.Context(), key); err != nil || row.Version != s.rows[j] {
				t.Errorf("step %d: row %s = %+v, %v, want version %d", i, key, row, err, s.rows[j])
			}
		}
	}
}

// Guards against a page that loses, repeats or misorders rows.
func TestListPages(t *testing.T) {
	_, c, _ := newPlatform(t)
	for _, key := range []string{"j/2", "j/10", "k", "j/1", "i"} {
		if _, err := c.Txn(t.Context(), []store.Op{{Key: key, Value: []byte(key)}}); err != nil {
			t.Fatal(err)
		}
	}
	var got []string
	for after := ""; ; {
		rows, err := c.List(t.Context(), "j/", after, 2)
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range rows {
			got = append(got, fmt.Sprintf("%s=%s@%d", r.Key, r.Value, r.Version))
			after = r.Key
		}
		if len(rows) < 2 {
			break
		}
	}
	if diff := cmp.Diff([]string{"j/1=j/1@1", "j/10=j/10@1", "j/2=j/2@1"}, got); diff != "" {
		t.Error(diff)
	}
}

func TestObjects(t *testing.T) {
	_, c, _ := newPlatform(t)
	for _, body := range []string{"one", "two"} {
		if err := c.PutObject(t.Context(), "config/1", []byte(body)); err != nil {
			t.Fatal(err)
		}
		if got, err := c.GetObject(t.Context(), "config/1"); err != nil || string(got) != body {
			t.Errorf("GetObject = %q, %v, want %q", got, err, body)
		}
	}
	if _, err := c.GetObject(t.Context(), "config/2"); kinds.Of(err) != kinds.NotFound {
		t.Errorf("GetObject of an absent one: %v", err)
	}
}

// Guards against a fault switch that does not do what the protocols are tested against: whether the write happened, and
// what the client can know of it.
func TestPlatformFaults(t *testing.T) {
	tests := []struct {
		faults  string
		want    kinds.Kind
		written bool
	}{
		{`{"down":true}`, kinds.StoreDown, false},
		{`{"lose-answers":1}`, kinds.StoreUnknown, true},
		{`{"lose-requests":1}`, kinds.StoreUnknown, false},
		{`{}`, kinds.Answered, true},
	}
	for _, ops := range [][]store.Op{{{Key: "k"}}, {{Key: "k"}, {Key: "l"}}} {
		for _, tt := range tests {
			p, c, url := newPlatform(t)
			post(t, url+"/faults", tt.faults)
			_, err := c.Txn(t.Context(), ops)
			if kinds.Of(err) != tt.want || (p.Row("k").Version != 0) != tt.written {
				t.Errorf("%s: %v, row %+v", tt.faults, err, p.Row("k"))
			}
			post(t, url+"/faults", `{"down":false}`)
			if f := p.Faults(); f != (stubs.PlatformFaults{}) {
				t.Errorf("%s: left over: %+v", tt.faults, f)
			}
			if n := p.Counts(); n.Writes != 1 || n.Reads != 0 {
				t.Errorf("%s: counts %+v", tt.faults, n)
			}
		}
	}
}

// Guards against a slow platform that forgets a write whose caller has given up: the write must land later.
func TestSlowWriteLands(t *testing.T) {
	p, c, _ := newPlatform(t, store.WithTimeout(20*time.Millisecond))
	p.SetFaults(stubs.PlatformFaults{SlowMs: 3_600_000})
	if _, err := c.Txn(t.Context(), []store.Op{{Key: "k"}}); kinds.Of(err) != kinds.StoreUnknown {
		t.Errorf("slow: %v", err)
	}
	if p.Row("k").Version != 0 {
		t.Error("written before the delay")
	}
	p.SetFaults(stubs.PlatformFaults{})
	eventually(func() bool { return p.Row("k").Version == 1 })
}

// Guards against a VM list that shows changes at once, in part, or while it is frozen.
func TestVMListLags(t *testing.T) {
	c := &clock{time.Unix(1000, 0)}
	p := stubs.NewPlatform(c.Now, 5*time.Second)
	p.SetVM(store.VMInfo{Name: "b", State: store.Live})
	p.SetVM(store.VMInfo{Name: "a", State: store.Live})
	p.ShowVMs()
	steps := []struct {
		do   func()
		want string
	}{
		{func() { p.LeaveVM("a") }, "a:live b:live "},
		{func() { p.RemoveVM("b"); c.now = c.now.Add(4 * time.Second) }, "a:live b:live "},
		{func() { c.now = c.now.Add(time.Second) }, "a:leaving "},
		{func() { p.RemoveVM("a"); c.now = c.now.Add(3 * time.Second) }, "a:leaving "},
		{func() { p.SetFaults(stubs.PlatformFaults{FreezeVMs: true}); c.now = c.now.Add(time.Hour) }, "a:leaving "},
		{func() { p.SetFaults(stubs.PlatformFaults{}) }, ""},
	}
	for i, s := range steps {
		s.do()
		got := ""
		for _, vm := range p.VMs() {
			got += vm.Name + ":" + string(vm.State) + " "
		}
		if got != s.want {
			t.Errorf("step %d: %q, want %q", i, got, s.want)
		}
	}
}

// Guards against a client and a stand-in that together hide the result of a lost write from the lease: each loss must
// be resolved by one read-back, and the lease must keep its term.
func TestLeaseOverHTTP(t *testing.T) {
	p, client, _ := newPlatform(t)
	c := &clock{time.Unix(1000, 0)}
	k := lease.NewKeeper(client, "a", 1, c.Now)
	for _, f := range []stubs.PlatformFaults{{LoseAnswers: 1}, {LoseRequests: 1}, {Down: true}, {LoseAnswers: 1}} {
		p.SetFaults(f)
		if _, err := k.Step(t.Context()); err == nil {
			t.Errorf("%+v: no error", f)
		}
		p.SetFaults(stubs.PlatformFaults{})
		if _, err := k.Step(t.Context()); err != nil {
			t.Errorf("after %+v: %v", f, err)
		}
		if term, held := k.Held(c.now); !held || term != 1 {
			t.Errorf("after %+v: term %d, held %v", f, term, held)
		}
		c.now = c.now.Add(4 * time.Second)
	}
	fence, term, err := k.Fence(c.now)
	if err != nil {
		t.Fatal(err)
	}
	plan := store.Op{Key: "plan/current", Value: fmt.Append(nil, term)}
	if _, err := client.Txn(t.Context(), []store.Op{fence, plan}); err != nil {
		t.Errorf("plan of the holder: %v", err)
	}
	plan.IfVersion = 1
	if err := k.Release(t.Context()); err != nil {
		t.Error(err)
	}
	if _, err := client.Txn(t.Context(), []store.Op{fence, plan}); kinds.Of(err) != kinds.Conflict {
		t.Errorf("plan after the release: %v", err)
	}
}
