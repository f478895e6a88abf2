package cmds

import (
	"bytes"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
)

// Each kind of failure needs its own exit code for scripts, and a message that names the wrong argument, file or row.
func TestExitCodes(t *testing.T) {
	dir := t.TempDir()
	file := func(name, text string) string {
		p := filepath.Join(dir, name)
		if err := os.WriteFile(p, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return p
	}
	settings := file("bad.ini", "[vm]\nname = riga 1\ncolour = red\n")
	withBOM := file("marked.ini", "\ufeff[vm]\ncolour = red\n")
	customers := file("customers.csv", "customer,plan\nshop-1,trade\nshop-1,trade\n")
	uses := file("uses.csv", "plan,service,rate,weight,orders\ntrade,desk,0,10,yes\n")
	logs := file("vm.log", "ts=10:00:00.500 vm=vm-a event=config version=7\n"+
		"ts=10:00:02.000 vm=vm-a event=refused id=r1 cause=too-late\n")
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closedAddr := ln.Addr().String()
	ln.Close()

	tests := []struct {
		args []string
		code int
		want []string
	}{
		{[]string{"--help"}, ExitOK, []string{"Available commands", "unknown"}},
		{[]string{"apply", "--help"}, ExitOK, []string{"--dry-run", "--expect"}},
		{[]string{"fly"}, ExitUsage, []string{"fly"}},
		{[]string{"drain"}, ExitUsage, []string{"--steer"}},
		{[]string{"drain", "--steer", closedAddr, "target"}, ExitUsage, []string{"NAME"}},
		{[]string{"check"}, ExitUsage, []string{"nothing to check"}},
		{[]string{"check", settings}, ExitUsage, []string{"unexpected argument", "--settings " + settings}},
		{[]string{"check", "--settings", withBOM}, ExitUsage, []string{"line 1", "byte order mark", "line 2", "colour"}},
		{[]string{"check", "--settings", settings}, ExitUsage, []string{"line 2", "[vm]", "name", "colour"}},
		{[]string{"check", "--customers", customers}, ExitUsage, []string{"go together"}},
		{[]string{"check", "--customers", customers, "--uses", uses}, ExitUsage,
			[]string{"row 3", "shop-1", "uses.csv row 2", "rate"}},
		{[]string{"entry", "--settings", settings}, ExitUsage, []string{"colour"}},
		{[]string{"entry", "--settings", filepath.Join(dir, "none.ini")}, ExitFailed, []string{"none.ini"}},
		{[]string{"status", "--steer", closedAddr}, ExitUnreachable, []string{"refused"}},
		{[]string{"drain", "--steer", closedAddr, "target", "t1"}, ExitUnreachable, []string{"refused"}},
		{[]string{"dump", "--control", closedAddr}, ExitUnreachable, []string{"refused"}},
		{[]string{"explain"}, ExitUsage, []string{"ID"}},
		{[]string{"explain", "r1", logs}, ExitOK, []string{"10:00:02.000 vm-a refused", "too-late", "believed for 1.5s: config"}},
		{[]string{"explain", "r9", logs}, ExitUsage, []string{"no log line names"}},
		{[]string{"explain", "r1", filepath.Join(dir, "none.log")}, ExitFailed, []string{"none.log"}},
		{[]string{"stand-in", "cloud"}, ExitUsage, []string{"neither platform nor upstream"}},
	}
	for _, tt := range tests {
		var out bytes.Buffer
		code := Main(tt.args, &out, &out)
		if code != tt.code {
			t.Errorf("%v: exit %d, want %d: %s", tt.args, code, tt.code, out.String())
		}
		for _, w := range tt.want {
			if !strings.Contains(out.String(), w) {
				t.Errorf("%v: output lacks %q: %s", tt.args, w, out.String())
			}
		}
	}
}

// A failure that affects every request must not fill the log; the number of dropped lines must be logged, and other
// events must not be affected.
func TestLogRateLimit(t *testing.T) {
	var out bytes.Buffer
	now := time.Unix(0, 0)
	l := &rateLimitedLogger{next: log.NewLogfmtLogger(&out), now: func() time.Time { return now }, events: map[any]*eventCount{}}
	for range maxLinesPerEvent + 7 {
		_ = l.Log("level", "warn", "event", "order-unknown")
	}
	_ = l.Log("event", "stop")
	if n := strings.Count(out.String(), "order-unknown"); n != maxLinesPerEvent {
		t.Errorf("%d lines of one event, want %d", n, maxLinesPerEvent)
	}
	if !strings.Contains(out.String(), "event=stop") {
		t.Error("the limit of one event dropped a line of another")
	}
	out.Reset()
	now = now.Add(rateLimitPeriod)
	_ = l.Log("event", "order-unknown")
	if !strings.Contains(out.String(), "dropped-before=7") {
		t.Errorf("first line of the next period is %q, want dropped-before=7", out.String())
	}
}

func TestParsePercent(t *testing.T) {
	for s, want := range map[string]int32{"20%": 200_000, "100%": 1_000_000, "0.5%": 5_000} {
		if got, err := parsePercent(s); err != nil || int32(got) != want {
			t.Errorf("parsePercent(%q) = %d, %v; want %d", s, got, err, want)
		}
	}
	for _, s := range []string{"", "20", "0%", "-1%", "101%", "NaN%", "x%"} {
		if _, err := parsePercent(s); err == nil {
			t.Errorf("parsePercent(%q) is accepted", s)
		}
	}
}
