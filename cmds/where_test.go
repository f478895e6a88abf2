package cmds

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/currantpier/currantpier/carry"
)

const whereAnswer = `{"config-version": 7, "verdict": "chosen", "route": {"name": "r", "host": "x", "prefix": "/a/", "timeout-ms": 2000, "regions": ["north", "south"]},
"customer": {"name": "shop", "priority": 0}, "service": "s", "targets-omitted": 9, "notes": ["the customer's quota isn't checked"],
"choice": {"reason": "chosen", "target": "t1", "random": false, "home-region": "north", "holders": ["t1", "t2"], "eligible": 1, "late": 0,
"excluded": {"backed-off": 1, "leaving": 3}, "targets": [
{"id": "t1", "region": "north", "failure-domain": "n1", "in-flight": 2, "load": 3.25, "slots": 4, "pace": 1.5, "cold": true, "cold-until": "2026-01-02T03:04:05Z",
"known-object": true, "holder": 1, "expected-ms": 20.5, "cost-ms": 63.5, "cost-terms": {"expected-ms": 20.5, "failures-ms": 1, "distance-ms": 40, "miss-ms": 0,
"spread-ms": 0, "balance-ms": 2}},
{"id": "t2", "region": "south", "failure-domain": "s1", "in-flight": 0, "load": 0, "slots": 4, "pace": 1, "excluded": "backed-off", "resume-at": "2026-01-02T03:04:06Z"}]}}`

// Guards against a query that lacks a flag, a key in a URL or in the output, and text that leaves out why the target was chosen.
func TestWhereCommand(t *testing.T) {
	var uri, key string
	status, body := http.StatusOK, whereAnswer
	vm := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		uri, key = r.URL.RequestURI(), r.Header.Get(carry.WhereKeyField)
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}))
	defer vm.Close()
	args := []string{"where", "--control", vm.Listener.Addr().String(), "--host", "x", "--path", "/a/b?c=d&e"}
	const uriPart = "/where?host=x&"
	for _, tt := range []struct {
		name         string
		flags        []string
		env          string
		status       int
		body         string
		code         int
		uri, sentKey string
		want         []string
	}{
		{"text", []string{"--object", "o", "--api-key", "secret"}, "", 200, whereAnswer, ExitOK, uriPart + "object=o&path=%2Fa%2Fb%3Fc%3Dd%26e", "secret", []string{
			"version 7", "r (x/a/), timeout 2000 ms, only in north south", "shop, priority 0", "service:   s", "region north", "holders:   t1 t2",
			"1 eligible, 0 of them too late, 1 backed-off, 3 leaving", "sent to t1", "quota isn't checked", "TARGET", "63.5", "40.0",
			"knows object, holder 1, cold until 03:04:05.000", "excluded: backed-off, backed off until 03:04:06.000", "9 more targets; --all"}},
		{"JSON, all", []string{"--all", "--json"}, "", 200, whereAnswer, ExitOK, "/where?all=1&host=x&path=%2Fa%2Fb%3Fc%3Dd%26e", "", []string{whereAnswer}},
		{"key of the environment", nil, "secret", 200, whereAnswer, ExitOK, uriPart + "path=%2Fa%2Fb%3Fc%3Dd%26e", "secret", []string{"sent to t1"}},
		{"no route", nil, "", 200, `{"config-version": 7, "verdict": "no-route", "status": 404}`, ExitOK, uriPart, "", []string{"version 7", "404 no-route"}},
		{"no target", nil, "", 200, `{"config-version": 7, "verdict": "too-late", "status": 503, "choice": {"reason": "too-late", "targets": []}}`, ExitOK, uriPart, "",
			[]string{"503 too-late"}},
		{"rejected", nil, "", 400, "not a request", ExitUsage, uriPart, "", []string{"not a request"}},
		{"earlier build", nil, "", 404, "", ExitUsage, uriPart, "", []string{"earlier build"}},
		{"no answer of a VM", nil, "", 200, "x", ExitFailed, uriPart, "", []string{"decode"}},
		{"help", []string{"--help"}, "secret", 200, "", ExitOK, "", "", []string{"--api-key", "CURRANTPIER_API_KEY"}},
		{"invalid key", []string{"--api-key", "secret\n"}, "", 200, "", ExitUnreachable, "", "", []string{"invalid"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Setenv("CURRANTPIER_API_KEY", tt.env)
			uri, key, status, body = "", "", tt.status, tt.body
			var out bytes.Buffer
			if code := Main(append(args[:len(args):len(args)], tt.flags...), &out, &out); code != tt.code {
				t.Errorf("exit %d, want %d", code, tt.code)
			}
			if !strings.HasPrefix(uri, tt.uri) || key != tt.sentKey || strings.Contains(uri, "secret") || strings.Contains(out.String(), "secret") {
				t.Errorf("request %s with key %q, want %s with %q; output %s", uri, key, tt.uri, tt.sentKey, out.String())
			}
			for _, w := range tt.want {
				if !strings.Contains(out.String(), w) {
					t.Errorf("output lacks %q: %s", w, out.String())
				}
			}
		})
	}
}
