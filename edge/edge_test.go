package edge

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/proto"
)

func place(domain string) ident.Place {
	return ident.Place{Region: ident.Region(domain[:1]), Domain: ident.Domain(domain)}
}

// Each case guards against a caller that is sent further than needed, to a region that may not see its requests, or
// nowhere although a VM is ready.
func TestLookup(t *testing.T) {
	ready := func(domains ...string) []proto.Info {
		var list []proto.Info
		for _, d := range domains {
			list = append(list, proto.Info{Caller: d, Place: place(d)})
		}
		return list
	}
	tests := []struct {
		name  string
		ready []proto.Info
		from  string
		homes []ident.Region
		want  []string
	}{
		{"own failure domain", ready("a1", "a1", "a2", "b1"), "a1", nil, []string{"a1", "a1"}},
		{"one VM there: the region as well", ready("a1", "a2", "a2", "b1"), "a1", nil, []string{"a1", "a2", "a2"}},
		{"none in the region: all others", ready("b1", "c1"), "a1", nil, []string{"b1", "c1"}},
		{"none in the region: only homes", ready("b1", "c1"), "a1", []ident.Region{"c"}, []string{"c1"}},
		{"own region although it is no home", ready("a1", "a1", "c1"), "a1", []ident.Region{"c"}, []string{"a1", "a1"}},
		{"nobody is ready", nil, "a1", nil, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if d := cmp.Diff(tt.want, lookup(tt.ready, place(tt.from), tt.homes)); d != "" {
				t.Error(d)
			}
		})
	}
}

// Guards against news that leaves out a change of a target, or repeats what has not changed with each reading.
func TestDiff(t *testing.T) {
	e := func(id string, warmup time.Duration, seq uint64) fleet.Entry {
		return fleet.Entry{ID: ident.Target(id), Address: "x", WarmupLeft: warmup, Sequence: seq}
	}
	m := func(list ...fleet.Entry) map[ident.Target]fleet.Entry {
		all := map[ident.Target]fleet.Entry{}
		for _, x := range list {
			all[x.ID] = x
		}
		return all
	}
	moved := e("a", 0, 1)
	moved.Address = "y"
	tests := []struct {
		name          string
		before, after map[ident.Target]fleet.Entry
		want          []fleet.Row
	}{
		{"new", m(), m(e("a", 0, 1)), []fleet.Row{{Entry: e("a", 0, 1)}}},
		{"gone", m(e("a", 0, 1)), m(), []fleet.Row{{Entry: fleet.Entry{ID: "a"}, Removed: true}}},
		{"heartbeat", m(e("a", 0, 1)), m(e("a", 0, 5)), nil},
		{"warm-up goes on", m(e("a", 3*time.Second, 1)), m(e("a", 2*time.Second, 1)), nil},
		{"cold again", m(e("a", 0, 1)), m(e("a", 2*time.Second, 2)), []fleet.Row{{Entry: e("a", 2*time.Second, 2)}}},
		{"moved", m(e("a", 0, 1)), m(moved), []fleet.Row{{Entry: moved}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := diff(tt.before, tt.after, time.Second)
			if d := cmp.Diff(tt.want, got, cmpopts.EquateEmpty()); d != "" {
				t.Error(d)
			}
		})
	}
}
