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

type manualClock struct{ now time.Time }

func (c *manualClock) Now() time.Time { return c.now }

func startPlatform(t *testing.T, opts ...store.Option) (*stubs.Platform, *store.Client, string) {
	c := &manualClock{time.Unix(1000, 0)}
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

// Guards against a transaction that is applied in part or against a failed condition, and against a condition on a
// version from before a deletion that holds again.
func TestTransactions(t *testing.T) {
	_, c, _ := startPlatform(t)
	put := func(key, value string, v ident.Version) store.Op {
		return store.Op{Key: key, Value: []byte(value), IfVersion: v}
	}
	steps := []struct {
		ops  []store.Op
		want kinds.Kind
		// rows are the versions of the rows a, a/b and b after the step.
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

// Guards against listing pages that lose, repeat or misorder rows.
func TestListPages(t *testing.T) {
	_, c, _ := startPlatform(t)
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
	_, c, _ := startPlatform(t)
	for _, body := range []string{"one", "two"} {
		if err := c.PutObject(t.Context(), "config/1", []byte(body)); err != nil {
			t.Fatal(err)
		}
		if got, err := c.GetObject(t.Context(), "config/1"); err != nil || string(got) != body {
			t.Errorf("GetObject = %q, %v, want %q", got, err, body)
		}
	}
	if _, err := c.GetObject(t.Context(), "config/2"); kinds.Of(err) != kinds.NotFound {
		t.Errorf("GetObject of a missing object: %v", err)
	}
}

// Guards against fault switches that differ from what the protocol tests rely on: whether the write was applied, and
// which error kind the client reports.
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
			p, c, url := startPlatform(t)
			post(t, url+"/faults", tt.faults)
			_, err := c.Txn(t.Context(), ops)
			if kinds.Of(err) != tt.want || (p.Row("k").Version != 0) != tt.written {
				t.Errorf("%s: %v, row %+v", tt.faults, err, p.Row("k"))
			}
			post(t, url+"/faults", `{"down":false}`)
			if f := p.Faults(); f != (stubs.PlatformFaults{}) {
				t.Errorf("%s: faults not reset: %+v", tt.faults, f)
			}
			if n := p.Counts(); n.Writes != 1 || n.Reads != 0 {
				t.Errorf("%s: counts %+v", tt.faults, n)
			}
		}
	}
}

// Guards against a delayed write that is discarded because its caller timed out. It must be applied after the delay.
func TestSlowWriteTakesEffect(t *testing.T) {
	p, c, _ := startPlatform(t, store.WithTimeout(20*time.Millisecond))
	p.SetFaults(stubs.PlatformFaults{DelayMs: 3_600_000})
	if _, err := c.Txn(t.Context(), []store.Op{{Key: "k"}}); kinds.Of(err) != kinds.StoreUnknown {
		t.Errorf("timed-out write: %v", err)
	}
	if p.Row("k").Version != 0 {
		t.Error("write applied before the delay has passed")
	}
	p.SetFaults(stubs.PlatformFaults{})
	waitUntil(func() bool { return p.Row("k").Version == 1 })
}

// Guards against a VM list that shows changes before the lag has passed, only some of them, or while it is frozen.
func TestVMListLags(t *testing.T) {
	c := &manualClock{time.Unix(1000, 0)}
	p := stubs.NewPlatform(c.Now, 5*time.Second)
	p.SetVM(store.VMInfo{Name: "b", State: store.Live})
	p.SetVM(store.VMInfo{Name: "a", State: store.Live})
	p.PublishVMs()
	steps := []struct {
		do   func()
		want string
	}{
		{func() { p.MarkVMLeaving("a") }, "a:live b:live "},
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

// Guards against lost writes whose outcome the lease cannot determine over HTTP: one read-back must resolve each
// loss, and the lease must keep its term.
func TestLeaseOverHTTP(t *testing.T) {
	p, client, _ := startPlatform(t)
	c := &manualClock{time.Unix(1000, 0)}
	keeper := lease.NewKeeper(client, "a", 1, c.Now)
	for _, f := range []stubs.PlatformFaults{{LoseResponses: 1}, {LoseRequests: 1}, {Down: true}, {LoseResponses: 1}} {
		p.SetFaults(f)
		if _, err := keeper.Step(t.Context()); err == nil {
			t.Errorf("%+v: no error", f)
		}
		p.SetFaults(stubs.PlatformFaults{})
		if _, err := keeper.Step(t.Context()); err != nil {
			t.Errorf("after %+v: %v", f, err)
		}
		if term, held := keeper.Held(c.now); !held || term != 1 {
			t.Errorf("after %+v: term %d, held %v", f, term, held)
		}
		c.now = c.now.Add(4 * time.Second)
	}
	fence, term, err := keeper.Fence(c.now)
	if err != nil {
		t.Fatal(err)
	}
	plan := store.Op{Key: "plan/current", Value: fmt.Append(nil, term)}
	if _, err := client.Txn(t.Context(), []store.Op{fence, plan}); err != nil {
		t.Errorf("plan write of the lease holder: %v", err)
	}
	plan.IfVersion = 1
	if err := keeper.Release(t.Context()); err != nil {
		t.Error(err)
	}
	if _, err := client.Txn(t.Context(), []store.Op{fence, plan}); kinds.Of(err) != kinds.Conflict {
		t.Errorf("plan write after the release: %v", err)
	}
}

// Guards against a conditional write that passes because a restored store has given out the version again, also if it
// was sent before the restore and arrives after it, and against versions of two eras that are compared by their numbers.
func TestConditionsEndWithTheEra(t *testing.T) {
	p, c, url := startPlatform(t)
	txn := func(ops ...store.Op) (ident.Version, error) {
		versions, err := c.Txn(t.Context(), ops)
		if err != nil {
			return 0, err
		}
		return versions[0], nil
	}
	must := func(ops ...store.Op) ident.Version {
		t.Helper()
		v, err := txn(ops...)
		if err != nil {
			t.Fatal(err)
		}
		return v
	}
	refused := func(what string, ops ...store.Op) {
		t.Helper()
		if _, err := txn(ops...); kinds.Of(err) != kinds.Conflict {
			t.Errorf("%s: %v, want a conflict", what, err)
		}
	}
	for range 3 {
		first := must(store.Op{Key: "a", Value: []byte("kept")})
		absent, err := c.Get(t.Context(), "b")
		if err != nil || absent.Version != 0 || absent.Era != first.Era() {
			t.Errorf("absent row: %+v, %v", absent, err)
		}
		p.Save()
		lost := must(store.Op{Key: "a", Value: []byte("lost"), IfVersion: first})
		post(t, url+"/restore", "")
		row, err := c.Get(t.Context(), "a")
		if err != nil || string(row.Value) != "kept" || row.Version.Number() != first.Number() || row.Version <= lost || row.Era != lost.Era()+1 {
			t.Errorf("restored row: %+v (era %d), %v", row, row.Version.Era(), err)
		}
		refused("a write on a version that the copy has", store.Op{Key: "a", IfVersion: first})
		refused("a row created by a caller that found it absent before the restore", store.Op{Key: "b", IfEra: absent.Era})
		refused("conditions of two eras", store.Op{Key: "a", IfVersion: row.Version, CheckOnly: true}, store.Op{Key: "c", IfEra: absent.Era})
		again := must(store.Op{Key: "a", Value: []byte("again"), IfVersion: row.Version})
		if again.Number() != lost.Number() || again <= lost {
			t.Errorf("version %d of era %d after %d of era %d: not given out again, or not greater", again.Number(), again.Era(), lost.Number(), lost.Era())
		}
		refused("a write on a version given out again", store.Op{Key: "a", IfVersion: lost})
		refused("a check of a version given out again", store.Op{Key: "a", IfVersion: lost, CheckOnly: true}, store.Op{Key: "b"})
		list, err := c.List(t.Context(), "a", "", 10)
		if err != nil || len(list) != 1 || list[0].Version != again || list[0].Era != row.Era {
			t.Errorf("list: %+v, %v", list, err)
		}
		b := must(store.Op{Key: "b", IfEra: row.Era}, store.Op{Key: "a", IfVersion: again, Delete: true})
		must(store.Op{Key: "b", IfVersion: b, Delete: true})
		p.Save() // the next round begins without rows, in this era
		if r, err := c.Get(t.Context(), "a"); err != nil || r.Version != 0 {
			t.Fatalf("row a is left: %+v, %v", r, err)
		}
	}
}

// Guards against a response that does not state the era.
func TestEveryResponseStatesTheEra(t *testing.T) {
	p, _, url := startPlatform(t)
	p.Restore()
	for _, down := range []bool{false, true} {
		p.SetFaults(stubs.PlatformFaults{Down: down})
		for _, path := range []string{"/table/a", "/table?prefix=a&limit=1", "/table?limit=0", "/objects/a", "/vms", "/none"} {
			resp, err := http.Get(url + path)
			if err != nil {
				t.Fatal(err)
			}
			resp.Body.Close()
			if era := resp.Header.Get(store.HeaderEra); era != "2" {
				t.Errorf("GET %s, down %v: status %d, era %q", path, down, resp.StatusCode, era)
			}
		}
	}
}
