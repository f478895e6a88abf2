package lists_test

import (
	"errors"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/currantpier/currantpier/kinds"
	"github.com/currantpier/currantpier/lists"
)

const (
	sampleCustomers = "customer,plan\nzeta,gold\nalfa,iron\n"
	sampleUses      = "plan,service,rate,weight,orders\ngold,shop,2.5,10,yes\niron,shop,1,1,no\ngold,desk,3,1000,no\n"
)

// sampleConfig returns a configuration with the rows of sampleCustomers and sampleUses.
func sampleConfig(t *testing.T) lists.Config {
	t.Helper()
	c, u, err := lists.Parse([]byte(sampleCustomers), []byte(sampleUses))
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := lists.Config{}.WithLists(c, u)
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// Every row must be parsed, in an order that does not depend on the file, also in the format of spreadsheet programs.
func TestParse(t *testing.T) {
	want := lists.Config{
		Customers: []lists.CustomerPlan{{Customer: "alfa", Plan: "iron"}, {Customer: "zeta", Plan: "gold"}},
		Uses: []lists.Use{{Plan: "gold", Service: "desk", Rate: 3, Weight: 1000},
			{Plan: "gold", Service: "shop", Rate: 2.5, Weight: 10, Orders: true},
			{Plan: "iron", Service: "shop", Rate: 1, Weight: 1}},
	}
	if diff := cmp.Diff(want, sampleConfig(t)); diff != "" {
		t.Error(diff)
	}
	c, u, err := lists.Parse([]byte(sampleCustomers), []byte(sampleUses))
	if err != nil || cmp.Diff(want.Uses, u) != "" || cmp.Diff(want.Customers, c) != "" {
		t.Errorf("rows out of order: %v, %v, %v", c, u, err)
	}
	c, u, err = lists.Parse([]byte("\xef\xbb\xbf# note\r\n\"customer\", plan\r\nalfa,iron\r\nzeta , gold\r\n"), lists.UsesCSV(want.Uses))
	if err != nil || cmp.Diff(want.Uses, u) != "" || cmp.Diff(want.Customers, c) != "" {
		t.Errorf("spreadsheet form: %v, %v, %v", c, u, err)
	}
}

// Invalid lists must be rejected, with the list, row and field in the error, and at most MaxProblems errors listed.
func TestParseProblems(t *testing.T) {
	tests := []struct{ customers, uses, want string }{
		{sampleCustomers + "zeta,iron\n", sampleUses, "customers.csv row 4, customer = zeta: allowed: each customer once; the first is in row 2"},
		{sampleCustomers + "beta,tin\n", sampleUses, "customers.csv row 4, plan = tin: allowed: a plan of uses.csv"},
		{sampleCustomers + "b.eta,gold\n", sampleUses, `customers.csv row 4, customer = "b.eta": allowed: 1 to 64 letters`},
		{sampleCustomers + "beta\n", sampleUses, "customers.csv row 4 = beta: allowed: 2 fields: customer,plan"},
		{sampleCustomers + "be\"ta,gold\n", sampleUses, "customers.csv row 4: allowed: CSV fields"},
		{"name,plan\n", sampleUses, `customers.csv row 1 = "name,plan": allowed: the header customer,plan`},
		{"", sampleUses, "customers.csv: allowed: the header customer,plan and at least one row"},
		{"customer,plan\n", sampleUses, "customers.csv: allowed: the header customer,plan and at least one row"},
		{strings.Repeat("#", lists.MaxFileBytes+1), sampleUses, "customers.csv: allowed: at most 16 MiB"},
		{sampleCustomers, sampleUses + "gold,shop,1,1,no\n", "uses.csv row 5, plan = gold,shop: allowed: each plan and service once; the first is in row 2"},
		{sampleCustomers, sampleUses + "tin,shop,0,1,no\n", "uses.csv row 5, rate = 0: allowed: above 0"},
		{sampleCustomers, sampleUses + "tin,shop,-1,1,no\n", "uses.csv row 5, rate = -1"},
		{sampleCustomers, sampleUses + "tin,shop,inf,1,no\n", "uses.csv row 5, rate = inf"},
		{sampleCustomers, sampleUses + "tin,shop,0x1p3,1,no\n", "uses.csv row 5, rate = 0x1p3"},
		{sampleCustomers, sampleUses + "tin,shop,1000001,1,no\n", "uses.csv row 5, rate = 1000001"},
		{sampleCustomers, sampleUses + "tin,shop,1,0,no\n", "uses.csv row 5, weight = 0: allowed: 1 to 1000"},
		{sampleCustomers, sampleUses + "tin,shop,1,1001,no\n", "uses.csv row 5, weight = 1001"},
		{sampleCustomers, sampleUses + "tin,shop,1,1,maybe\n", "uses.csv row 5, orders = maybe: allowed: yes or no"},
		{sampleCustomers, sampleUses + "tin,,1,1,no\n", `uses.csv row 5, service = "": allowed`},
		{"name,plan\n", sampleUses + "tin,shop,1,1,maybe\n", "customer,plan\nuses.csv row 5"},
	}
	for _, tt := range tests {
		_, _, err := lists.Parse([]byte(tt.customers), []byte(tt.uses))
		if err == nil || !strings.Contains(err.Error(), tt.want) || kinds.Of(err) != kinds.BadRequest {
			t.Errorf("got %v\nwant %s", err, tt.want)
		}
	}
	_, _, err := lists.Parse([]byte(sampleCustomers+strings.Repeat("x x,gold\n", 200)), []byte("plan\n"))
	var p *lists.Problems
	if !errors.As(err, &p) || len(p.List) != lists.MaxProblems || p.Omitted < 150 {
		t.Errorf("200 errors gave %v", err)
	}
	_, _, err = lists.Parse([]byte(sampleCustomers), []byte(sampleUses+strings.Repeat("bad\n", 60)))
	if !errors.As(err, &p) || len(p.List) != lists.MaxProblems || p.Omitted != 10 {
		t.Errorf("60 errors gave %v", err)
	}
}

// Equal configurations must have equal bytes, documents that violate an invariant must be rejected, and unknown fields
// must be ignored.
func TestDocument(t *testing.T) {
	c := sampleConfig(t)
	c.Version = 7
	got, err := lists.Decode(c.Encode())
	if err != nil || got.Version != 7 || string(got.Encode()) != string(c.Encode()) {
		t.Fatalf("%+v, %v", got, err)
	}
	if got := string(lists.Config{}.Encode()); got != `{"version":0,"customers":[],"uses":[],"drains":[],"moves":[]}` {
		t.Error(got)
	}
	const use = `"uses":[{"plan":"a","service":"s","rate":1,"weight":1},{"plan":"b","service":"s","rate":1,"weight":1}]`
	tests := []struct{ doc, want string }{
		{`{` + use, "unexpected end"},
		{`{` + use + `}{}`, "after top-level value"},
		{`{` + use + `,"customers":[{"customer":"x","plan":"c"}]}`, "customers row 1, plan = c"},
		{`{` + use + `,"customers":[{"customer":"x","plan":"a"},{"customer":"x","plan":"b"}]}`, "customers row 2, customer = x: allowed: rows in asc"},
		{`{"uses":[{"plan":"b","service":"s","rate":1,"weight":1},{"plan":"a","service":"s","rate":1,"weight":1}]}`, "uses row 2, plan = a,s"},
		{`{"uses":[{"plan":"b","service":"s"}]}`, "uses row 1, weight"},
		{`{"drains":[{"scope":"planet","name":"x"}]}`, "drains row 1, scope = planet: allowed: target, vm,"},
		{`{"drains":[{"scope":"vm","name":"x"},{"scope":"vm","name":"x"}]}`, "drains row 2, name = x"},
		{`{"moves":[{"service":"s","from":"a","to":"a","share":1}]}`, "moves row 1, to = a: allowed: a region other"},
		{`{"moves":[{"service":"s","from":"a","to":"b","share":1000001}]}`, "moves row 1, share"},
		{`{"moves":[{"service":"s","from":"a","to":"b","share":1},{"service":"s","from":"a","to":"c","share":1}]}`, "moves row 2, from = a"},
	}
	for _, tt := range tests {
		if _, err := lists.Decode([]byte(tt.doc)); err == nil || !strings.Contains(err.Error(), tt.want) {
			t.Errorf("%s: %v, want %q", tt.doc, err, tt.want)
		}
	}
	if _, err := lists.Decode([]byte(`{` + use + `,"later":1}`)); err != nil {
		t.Errorf("a field of a later release: %v", err)
	}
}

// Edits must not modify the original, apply twice or drop other parts, and Diff must describe each edit.
func TestEdits(t *testing.T) {
	c := sampleConfig(t)
	c.Version = 7
	before := string(c.Encode())
	steps := []struct {
		name string
		edit func(lists.Config) (lists.Config, error)
		kind kinds.Kind
		diff []string
	}{
		{"drain", func(c lists.Config) (lists.Config, error) {
			return c.WithDrain(lists.Drain{Scope: "vm", Name: "riga-1"})
		},
			kinds.Answered, []string{"drain of vm riga-1 added"}},
		{"drain again", func(c lists.Config) (lists.Config, error) {
			return c.WithDrain(lists.Drain{Scope: "vm", Name: "riga-1"})
		},
			kinds.Conflict, nil},
		{"second drain", func(c lists.Config) (lists.Config, error) {
			return c.WithDrain(lists.Drain{Scope: "region", Name: "x"})
		},
			kinds.Answered, []string{"drain of region x added"}},
		{"bad drain", func(c lists.Config) (lists.Config, error) { return c.WithDrain(lists.Drain{Scope: "vm", Name: ""}) },
			kinds.BadRequest, nil},
		{"undrain", func(c lists.Config) (lists.Config, error) {
			return c.WithoutDrain(lists.Drain{Scope: "vm", Name: "riga-1"})
		},
			kinds.Answered, []string{"drain of vm riga-1 removed"}},
		{"undrain again", func(c lists.Config) (lists.Config, error) {
			return c.WithoutDrain(lists.Drain{Scope: "vm", Name: "riga-1"})
		},
			kinds.NotFound, nil},
		{"move", func(c lists.Config) (lists.Config, error) {
			return c.WithMove(lists.Move{"shop", "riga", "cluj", 200_000})
		},
			kinds.Answered, []string{"move of shop from riga added: 20% to cluj"}},
		{"replaced move", func(c lists.Config) (lists.Config, error) {
			return c.WithMove(lists.Move{"shop", "riga", "oslo", 5000})
		},
			kinds.Answered, []string{"move of shop from riga changed: 20% to cluj -> 0.5% to oslo"}},
		{"other move", func(c lists.Config) (lists.Config, error) {
			return c.WithMove(lists.Move{"desk", "riga", "oslo", 1000000})
		},
			kinds.Answered, []string{"move of desk from riga added: 100% to oslo"}},
		{"unmove", func(c lists.Config) (lists.Config, error) { return c.WithoutMove("shop", "riga") },
			kinds.Answered, []string{"move of shop from riga removed: was 0.5% to oslo"}},
		{"unmove again", func(c lists.Config) (lists.Config, error) { return c.WithoutMove("shop", "riga") },
			kinds.NotFound, nil},
		{"lists", func(c lists.Config) (lists.Config, error) {
			u := append([]lists.Use(nil), c.Uses...)
			u[2].Rate = 9
			return c.WithLists([]lists.CustomerPlan{{Customer: "zeta", Plan: "iron"}, {Customer: "beta", Plan: "gold"}}, u)
		}, kinds.Answered, []string{"customer alfa removed: was plan iron", "customer beta added: plan gold",
			"customer zeta changed: plan gold -> plan iron",
			"plan iron, service shop changed: rate 1/s, weight 1, orders no -> rate 9/s, weight 1, orders no"}},
	}
	current := c
	for _, s := range steps {
		next, err := s.edit(current)
		if kinds.Of(err) != s.kind {
			t.Errorf("%s: %v", s.name, err)
		}
		if err != nil {
			continue
		}
		if diff := cmp.Diff(s.diff, lists.Diff(current, next)); diff != "" || next.Version != 0 || next.Check() != nil {
			t.Errorf("%s: version %d, %v\n%s", s.name, next.Version, next.Check(), diff)
		}
		current = next
	}
	if len(current.Drains) != 1 || len(current.Moves) != 1 || string(c.Encode()) != before {
		t.Errorf("end %+v, original %s", current, c.Encode())
	}
}

// The lists of the examples must be valid.
func TestExamples(t *testing.T) {
	for _, dir := range []string{"../examples/kalnins/", "../examples/stencilcraft/"} {
		c, _ := os.ReadFile(dir + "customers.csv")
		u, _ := os.ReadFile(dir + "uses.csv")
		if _, _, err := lists.Parse(c, u); err != nil {
			t.Errorf("%s: %v", dir, err)
		}
	}
}

// Lists that Parse accepts must pass WithLists and Decode, and must not change when written and parsed again.
func FuzzParse(f *testing.F) {
	f.Add([]byte(sampleCustomers), []byte(sampleUses))
	f.Add([]byte("customer,plan\n\"a\nb\",c"), []byte("plan,service,rate,weight,orders\na,b,1.e,1,yes"))
	f.Fuzz(func(t *testing.T, a, b []byte) {
		c, u, err := lists.Parse(a, b)
		if err != nil {
			return
		}
		cfg, err := lists.Config{}.WithLists(c, u)
		if err != nil {
			t.Fatal(err)
		}
		c2, u2, err := lists.Parse(lists.CustomersCSV(c), lists.UsesCSV(u))
		if err != nil || cmp.Diff(c, c2) != "" || cmp.Diff(u, u2) != "" {
			t.Fatal(err, c2, u2)
		}
		if got, err := lists.Decode(cfg.Encode()); err != nil || len(lists.Diff(cfg, got)) != 0 {
			t.Fatal(err)
		}
	})
}

// Decode must not panic on corrupt documents, and an accepted document must not change when encoded and decoded again.
func FuzzDecode(f *testing.F) {
	f.Add(lists.Config{Version: 3}.Encode())
	f.Add([]byte(`{"moves":[{"service":"s","from":"a","to":"b","share":1}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		c, err := lists.Decode(b)
		if err != nil {
			return
		}
		if got, err := lists.Decode(c.Encode()); err != nil || string(got.Encode()) != string(c.Encode()) {
			t.Fatal(err)
		}
	})
}
