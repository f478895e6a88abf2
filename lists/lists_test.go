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
	customers = "customer,plan\nzeta,gold\nalfa,iron\n"
	uses      = "plan,service,rate,weight,orders\ngold,shop,2.5,10,yes\niron,shop,1,1,no\ngold,desk,3,1000,no\n"
)

func config(t *testing.T) lists.Config {
	t.Helper()
	c, u, err := lists.Parse([]byte(customers), []byte(uses))
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := lists.Config{}.WithLists(c, u)
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// Guards against rows that are dropped or misread, and against an order that depends on the file.
func TestParse(t *testing.T) {
	want := lists.Config{
		Customers: []lists.CustomerPlan{{Customer: "alfa", Plan: "iron"}, {Customer: "zeta", Plan: "gold"}},
		Uses: []lists.Use{{Plan: "gold", Service: "desk", Rate: 3, Weight: 1000},
			{Plan: "gold", Service: "shop", Rate: 2.5, Weight: 10, Orders: true},
			{Plan: "iron", Service: "shop", Rate: 1, Weight: 1}},
	}
	if diff := cmp.Diff(want, config(t)); diff != "" {
		t.Error(diff)
	}
	c, u, err := lists.Parse([]byte(customers), []byte(uses))
	if err != nil || cmp.Diff(want.Uses, u) != "" || cmp.Diff(want.Customers, c) != "" {
		t.Errorf("rows out of order: %v, %v, %v", c, u, err)
	}
	c, u, err = lists.Parse([]byte("\xef\xbb\xbf# note\r\n\"customer\", plan\r\nalfa,iron\r\nzeta , gold\r\n"), lists.UsesCSV(want.Uses))
	if err != nil || cmp.Diff(want.Uses, u) != "" || cmp.Diff(want.Customers, c) != "" {
		t.Errorf("spreadsheet form: %v, %v, %v", c, u, err)
	}
}

// Guards against a wrong list that is accepted, and against errors without list, row and field.
func TestParseProblems(t *testing.T) {
	tests := []struct{ customers, uses, want string }{
		{customers + "zeta,iron\n", uses, "customers.csv row 4, customer = zeta: allowed: each customer once; the first is in row 2"},
		{customers + "beta,tin\n", uses, "customers.csv row 4, plan = tin: allowed: a plan of uses.csv"},
		{customers + "b.eta,gold\n", uses, `customers.csv row 4, customer = "b.eta": allowed: 1 to 64 letters`},
		{customers + "beta\n", uses, "customers.csv row 4 = beta: allowed: 2 fields: customer,plan"},
		{customers + "be\"ta,gold\n", uses, "customers.csv row 4: allowed: CSV fields"},
		{"name,plan\n", uses, `customers.csv row 1 = "name,plan": allowed: the header customer,plan`},
		{"", uses, "customers.csv: allowed: the header customer,plan and at least one row"},
		{"customer,plan\n", uses, "customers.csv: allowed: the header customer,plan and at least one row"},
		{strings.Repeat("#", lists.MaxList+1), uses, "customers.csv: allowed: at most 16 MiB"},
		{customers, uses + "gold,shop,1,1,no\n", "uses.csv row 5, plan = gold,shop: allowed: each plan and service once; the first is in row 2"},
		{customers, uses + "tin,shop,0,1,no\n", "uses.csv row 5, rate = 0: allowed: above 0"},
		{customers, uses + "tin,shop,-1,1,no\n", "uses.csv row 5, rate = -1"},
		{customers, uses + "tin,shop,inf,1,no\n", "uses.csv row 5, rate = inf"},
		{customers, uses + "tin,shop,0x1p3,1,no\n", "uses.csv row 5, rate = 0x1p3"},
		{customers, uses + "tin,shop,1000001,1,no\n", "uses.csv row 5, rate = 1000001"},
		{customers, uses + "tin,shop,1,0,no\n", "uses.csv row 5, weight = 0: allowed: 1 to 1000"},
		{customers, uses + "tin,shop,1,1001,no\n", "uses.csv row 5, weight = 1001"},
		{customers, uses + "tin,shop,1,1,maybe\n", "uses.csv row 5, orders = maybe: allowed: yes or no"},
		{customers, uses + "tin,,1,1,no\n", `uses.csv row 5, service = "": allowed`},
		{"name,plan\n", uses + "tin,shop,1,1,maybe\n", "customer,plan\nuses.csv row 5"},
	}
	for _, tt := range tests {
		_, _, err := lists.Parse([]byte(tt.customers), []byte(tt.uses))
		if err == nil || !strings.Contains(err.Error(), tt.want) || kinds.Of(err) != kinds.BadRequest {
			t.Errorf("got %v\nwant %s", err, tt.want)
		}
	}
	_, _, err := lists.Parse([]byte(customers+strings.Repeat("x x,gold\n", 200)), []byte("plan\n"))
	var p *lists.Problems
	if !errors.As(err, &p) || len(p.List) != lists.MaxProblems || p.Omitted < 150 {
		t.Errorf("200 errors gave %v", err)
	}
	_, _, err = lists.Parse([]byte(customers), []byte(uses+strings.Repeat("bad\n", 60)))
	if !errors.As(err, &p) || len(p.List) != lists.MaxProblems || p.Omitted != 10 {
		t.Errorf("60 errors gave %v", err)
	}
}

// Guards against equal configurations with different bytes, and against documents that break an invariant.
func TestDocument(t *testing.T) {
	c := config(t)
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

// Guards against edits that change the original, are applied twice or lose other parts, and against unreadable
// differences.
func TestEdits(t *testing.T) {
	c := config(t)
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
	cur := c
	for _, s := range steps {
		next, err := s.edit(cur)
		if kinds.Of(err) != s.kind {
			t.Errorf("%s: %v", s.name, err)
		}
		if err != nil {
			continue
		}
		if diff := cmp.Diff(s.diff, lists.Diff(cur, next)); diff != "" || next.Version != 0 || next.Check() != nil {
			t.Errorf("%s: version %d, %v\n%s", s.name, next.Version, next.Check(), diff)
		}
		cur = next
	}
	if len(cur.Drains) != 1 || len(cur.Moves) != 1 || string(c.Encode()) != before {
		t.Errorf("end %+v, original %s", cur, c.Encode())
	}
}

// Guards against examples that no longer pass.
func TestExamples(t *testing.T) {
	for _, dir := range []string{"../examples/kalnins/", "../examples/stencilcraft/"} {
		c, _ := os.ReadFile(dir + "customers.csv")
		u, _ := os.ReadFile(dir + "uses.csv")
		if _, _, err := lists.Parse(c, u); err != nil {
			t.Errorf("%s: %v", dir, err)
		}
	}
}

// Guards against accepted lists that a later step refuses, and against lists that change when written and read back.
func FuzzParse(f *testing.F) {
	f.Add([]byte(customers), []byte(uses))
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

// Guards against panics on damaged documents and against accepted ones that are not stable.
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
