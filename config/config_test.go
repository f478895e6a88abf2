package config_test

import (
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/currantpier/currantpier/config"
	"github.com/currantpier/currantpier/ident"
)

const minimalSettings = `[vm]
name = riga-1
region = riga
failure-domain = riga-a
[entry]
listen = 127.0.0.1:7400
control-listen = 127.0.0.1:7401
[steer]
control-listen = [::1]:7402
[store]
address = 127.0.0.1:7000
[region riga]
failure-domains = riga-b, riga-a
`

// Defaults, units, comments and sorting of a valid file.
func TestParse(t *testing.T) {
	text := minimalSettings + `[region cluj]
failure-domains = cluj-a
[link riga cluj] ; either order
capacity = 1.5Gbit/s
share = 40%
[shift]
per-step = 0.25%
[limits]
max-body = 16KiB # small
lookup-ttl = 2500ms
`
	s, err := config.Parse("vm.ini", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	l, ok := s.Link("riga", "cluj")
	if !ok || l.A != "cluj" || l.Usable() != 600 {
		t.Errorf("Link = %+v, %v", l, ok)
	}
	if p, ok := s.Domain("cluj-a"); !ok || p.Region != "cluj" {
		t.Errorf("Domain = %+v, %v", p, ok)
	}
	want := []ident.Domain{"riga-a", "riga-b"}
	if diff := cmp.Diff(want, s.Regions[1].Domains); diff != "" {
		t.Error(diff)
	}
	values := []any{s.Shift.PerStep, s.Shift.PerMinute, s.Limits.MaxBody, s.Limits.LookupTTL, s.Limits.StopTimeout,
		s.Orders.FlushInterval, s.Steer.LeaseTerm, s.Log.Level, s.VM.Place()}
	wantValues := []any{ident.PPM(2500), ident.PPM(100_000), 16384, 2500 * time.Millisecond, time.Minute,
		25 * time.Millisecond, 10 * time.Second, config.Info, ident.Place{Region: "riga", Domain: "riga-a"}}
	if diff := cmp.Diff(wantValues, values); diff != "" {
		t.Error(diff)
	}
}

// Invalid files must be rejected with the line, section and key of the error.
func TestProblems(t *testing.T) {
	tests := []struct{ add, want string }{
		{"[steer", "line 14: [steer: allowed: [section], key"},
		{"[stoer]\naddress = x", "line 14: [stoer]: allowed: the sections vm, entry"},
		{"[DEFAULT]", "line 14: [DEFAULT]: allowed: the sections"},
		{"[log]\nlevle = info", "line 15: [log] levle = info: allowed: the keys level"},
		{"[log]\nlevel = loud", "line 15: [log] level = loud: allowed: debug, info"},
		{"[log]\nlevel = info\nlevel = info", "line 16: [log] level = info: allowed: each key once; the first is in line 15"},
		{"[log]\nlevel =", "line 15: [log] level = (empty): allowed: debug"},
		{"[log]\nlevel = \"\"\"x", "line 15: level = \"\"\"x: allowed"},
		{"[log]\n[log]", "line 15: [log]: allowed: each section once; the first is in line 14"},
		{"[shift]\nper-step = 5", "line 15: [shift] per-step = 5: allowed: 0.1% to 100%"},
		{"[shift]\nper-step = NaN%", "line 15: [shift] per-step = NaN%"},
		{"[shift]\nper-step = 50%", "line 14: [shift] per-minute = 10%: allowed: at least per-step, which is 50%"},
		{"[limits]\nmax-body = 16KB", "line 15: [limits] max-body = 16KB: allowed: 1KiB to 64MiB"},
		{"[limits]\nmax-body = 99999999999MiB", "line 15: [limits] max-body"},
		{"[limits]\nqueue-length = 0", "line 15: [limits] queue-length = 0: allowed: 1 to 10000"},
		{"[limits]\nlookup-ttl = 5", "line 15: [limits] lookup-ttl = 5: allowed: 1s to 60s"},
		{"[orders]\nretention = 169h", "line 15: [orders] retention = 169h: allowed: 1h to 168h"},
		{"[limits]\nlookup-ttl = 31s", "line 15: [limits] lookup-ttl = 31s: allowed: at most half"},
		{"[link riga oslo]\ncapacity = 1Gbit/s", "line 14: [link riga oslo] oslo: allowed: the name of a [region"},
		{"[link riga riga]\ncapacity = 1Gbit/s", "line 14: [link riga riga]: allowed: two different"},
		{"[link riga]\ncapacity = 1Gbit/s", "line 14: [link riga]: allowed: the sections"},
		{"[region x.y]\nfailure-domains = a", "line 14: [region x.y] x.y: allowed: 1 to 64 letters"},
		{"[region oslo]\nfailure-domains = riga-a", "names that are not listed yet; this one is in region"},
		{"[region oslo]", "line 14: [region oslo] failure-domains = (missing)"},
	}
	for _, tt := range tests {
		_, err := config.Parse("vm.ini", []byte(minimalSettings+tt.add+"\n"))
		if err == nil || !strings.Contains(err.Error(), tt.want) {
			t.Errorf("%q gave %v, want %q", tt.add, err, tt.want)
		}
	}
	replaced := []struct{ old, new, want string }{
		{"127.0.0.1:7000", "store:7000", "line 11: [store] address = store:7000: allowed: IP:port"},
		{"127.0.0.1:7000", "127.0.0.1:0", "line 11: [store] address = 127.0.0.1:0"},
		{"127.0.0.1:7401", "127.0.0.1:7400", "line 7: [entry] control-listen = 127.0.0.1:7400: allowed: an address other"},
		{"= riga-a\n", "= riga-c\n", "line 4: [vm] failure-domain = riga-c: allowed: a failure domain that"},
		{"name = riga-1", "", "line 1: [vm] name = (missing)"},
		{"riga-1", "riga.1", "line 2: [vm] name = riga.1"},
		{"[vm]\n", "", "keys only after a [section]"},
	}
	for _, tt := range replaced {
		_, err := config.Parse("vm.ini", []byte(strings.Replace(minimalSettings, tt.old, tt.new, 1)))
		if err == nil || !strings.Contains(err.Error(), tt.want) {
			t.Errorf("%q gave %v, want %q", tt.new, err, tt.want)
		}
	}
}

// All errors of a file must be reported, in the order of their lines.
func TestProblemsAreReportedTogether(t *testing.T) {
	text := strings.Replace(minimalSettings, "127.0.0.1:7000", "store", 1) + "junk\n[log]\nlevel = loud\n[nope]\n"
	_, err := config.Parse("vm.ini", []byte(text))
	var p *config.Problems
	if !errors.As(err, &p) {
		t.Fatalf("error %T", err)
	}
	var lines []int
	for _, problem := range p.List {
		lines = append(lines, problem.Line)
	}
	if diff := cmp.Diff([]int{11, 14, 16, 17}, lines); diff != "" {
		t.Errorf("%s\n%v", diff, err)
	}
}

// Every default must be an allowed value, and the example files must be valid.
func TestExamplesAndDefaults(t *testing.T) {
	for _, file := range []string{"../examples/kalnins/vm.ini", "../examples/stencilcraft/vm.ini"} {
		if _, err := config.Load(file); err != nil {
			t.Error(err)
		}
	}
	if _, err := config.Load("missing.ini"); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("missing file: %v", err)
	}
	for _, k := range config.Keys() {
		if k.Default == "" || strings.Contains(k.Section, " ") {
			continue
		}
		text := minimalSettings + "[" + k.Section + "]\n" + k.Name + " = " + k.Default + "\n"
		if k.Section == "vm" || k.Section == "steer" || k.Section == "store" {
			text = strings.Replace(minimalSettings, "["+k.Section+"]", "["+k.Section+"]\n"+k.Name+" = "+k.Default, 1)
		}
		if _, err := config.Parse(k.Name, []byte(text)); err != nil {
			t.Error(err)
		}
	}
}

// docs/settings.md must have the row of every key, with the default and description from the code.
func TestSettingsPage(t *testing.T) {
	page, err := os.ReadFile("../docs/settings.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, k := range config.Keys() {
		def := "required"
		if k.Default != "" {
			def = "`" + k.Default + "`"
		}
		row := "| `" + k.Name + "` | " + def + " | " + k.Allowed + " | " + k.Meaning + " |\n"
		_, rest, _ := strings.Cut(string(page), "## ["+k.Section+"]\n")
		section, _, _ := strings.Cut(rest, "\n## ")
		if !strings.Contains(section, row) {
			t.Errorf("docs/settings.md, section [%s], lacks the row\n%s", k.Section, row)
		}
	}
}

// Parse must not panic on corrupt files, and must return either settings or an error.
func FuzzParse(f *testing.F) {
	f.Add([]byte(minimalSettings))
	f.Add([]byte("[a\n[link a b]\ncapacity = 1Gbit/s\n`x`=\"\"\"y\n-=1\n[region x]\nfailure-domains = a,a"))
	f.Fuzz(func(t *testing.T, b []byte) {
		if s, err := config.Parse("vm.ini", b); (s == nil) == (err == nil) {
			t.Fatal(s, err)
		}
	})
}
