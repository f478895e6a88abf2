package edge

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/currantpier/currantpier/carry"
	"github.com/currantpier/currantpier/codec"
	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/state"
	"github.com/currantpier/currantpier/trace"
)

// Guards against an admin port that takes the parameters or the key of a query wrongly, has the key in a response, or sends a long table
// that was not requested.
func TestWhereHandler(t *testing.T) {
	cfg := &fleet.Config{Version: 7, Services: map[ident.Service]fleet.Service{"s": {Name: "s"}}, Customers: []fleet.Customer{{Name: "c", Keys: []string{"secret"}}},
		Routes: []fleet.Route{{Name: "r", Host: "x", Prefix: "/a/", Services: []fleet.WeightedService{{Service: "s", Weight: 1}}, Affinity: true, MaxAttempts: 1}}}
	cfg.Index()
	s := &fleet.Snapshot{Config: cfg, RegistryRead: true, Targets: map[ident.Service][]fleet.Target{}}
	for i := range 30 {
		s.Targets["s"] = append(s.Targets["s"], fleet.Target{Entry: fleet.Entry{ID: ident.Target(fmt.Sprint("t", i)), Service: "s", Slots: 4}})
	}
	const key = carry.WhereKeyField + ": secret\r\n"
	for _, tt := range []struct {
		name, query, fields string
		noConfig            bool
		status              int
		verdict             string
		targets, omitted    int
	}{
		{"served", "?host=x&path=/a/b&object=o%20p", key, false, 200, "chosen", 20, 10},
		{"all targets", "?host=x&path=/a/b&object=o&all=1", key, false, 200, "chosen", 30, 0},
		{"unknown host", "?host=y&path=/a/b", key, false, 200, "no-route", 0, 0},
		{"missing key", "?host=x&path=/a/b", "", false, 200, "unknown-customer", 0, 0},
		{"key in the query", "?host=x&path=/a/b&key=secret&api-key=secret", "", false, 200, "unknown-customer", 0, 0},
		{"no configuration", "?host=x&path=/a/b", key, true, 200, "no-configuration", 0, 0},
		{"no host", "?path=/a/b", key, false, 400, "", 0, 0},
		{"malformed query", "?host=%zz", key, false, 400, "", 0, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			f := carry.New(carry.Config{VM: "vm", Log: trace.New("vm"), Clock: func() time.Time { return now },
				Headers: carry.Headers{Attempt: "Id", Deadline: "Deadline", Affinity: "Key", Key: "Api-Key", Customer: "Customer"}})
			if !tt.noConfig {
				f.Update(now, s)
			}
			n := &Node{cfg: Config{Config: state.Config{Forwarder: f}}}
			r := &codec.Request{}
			if err := r.ReadHeader(bufio.NewReader(strings.NewReader("GET /where" + tt.query + " HTTP/1.1\r\nHost: vm\r\n" + tt.fields + "\r\n"))); err != nil {
				t.Fatal(err)
			}
			a := AdminHandler{Node: func() *Node { return n }}.Handle(t.Context(), r, now)
			body := string(a.Body)
			if a.Status != tt.status || strings.Contains(body, "secret") {
				t.Fatalf("status %d, want %d; body %s", a.Status, tt.status, body)
			}
			if tt.status != http.StatusOK {
				return
			}
			var w carry.Where
			if err := json.Unmarshal([]byte(body), &w); err != nil {
				t.Fatal(err)
			}
			targets := 0
			if w.Choice != nil {
				targets = len(w.Choice.Targets)
			}
			if w.Verdict != tt.verdict || targets != tt.targets || w.Omitted != tt.omitted || !tt.noConfig && w.Version != 7 {
				t.Errorf("%s", body)
			}
		})
	}
}
