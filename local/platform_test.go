package local

import (
	"context"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/currantpier/currantpier/stubs/plat"
)

var (
	methodArg = regexp.MustCompile(`-X (\S+)`)
	headerArg = regexp.MustCompile(`-H '([^:]+): ([^']*)'`)
	urlArg    = regexp.MustCompile(`http://[^' ]+`)
)

// sendCurl sends the request of a curl command and returns the response body.
func sendCurl(t *testing.T, command string) string {
	t.Helper()
	method := http.MethodGet
	if m := methodArg.FindStringSubmatch(command); m != nil {
		method = m[1]
	}
	r, err := http.NewRequestWithContext(t.Context(), method, urlArg.FindString(command), nil)
	if err != nil {
		t.Fatal(err)
	}
	for _, h := range headerArg.FindAllStringSubmatch(command, -1) {
		r.Header.Set(h[1], h[2])
		if h[1] == "Host" {
			r.Host = h[2]
		}
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	b, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// startPlatform returns a running local deployment whose VMs are ready. It stops with the test.
func startPlatform(t *testing.T) *PlatformCluster {
	t.Helper()
	d := Kalnins()
	d.VMsPerDomain = 1
	c, err := NewPlatform(d, 0, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- c.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil && ctx.Err() == nil {
			t.Error(err)
		}
	})
	for limit := time.Now().Add(20 * time.Second); c.Ready() < len(c.VMs); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("%d of %d VMs are ready after 20 s", c.Ready(), len(c.VMs))
		}
	}
	return c
}

// Guards against a local deployment that does not serve requests over the interface of the users' platform, and
// against printed commands that fail.
func TestPlatformDeployment(t *testing.T) {
	c := startPlatform(t)
	a := c.VMs[0]
	commands := map[string]string{
		plat.LookupCommand(a.Lookups, ShopHost, string(a.Place.Region), string(a.Place.Domain)):         a.Callers,
		plat.TryCommand("GET", a.Callers, ShopHost, "/workshop/look/layout/7", "look-1", "7"):           "answer of workshop-",
		plat.TryCommand("POST", c.VMs[3].Callers, ShopHost, "/customer/order/intake/7", "order-1", "7"): "answer of customer-",
	}
	for command, want := range commands {
		if out := sendCurl(t, command); !strings.Contains(out, want) {
			t.Errorf("%s: response %s", command, out)
		}
	}
	resp, err := http.Get("http://" + a.Metrics + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	b, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil || !strings.Contains(string(b), `route="workshop-look-up",outcome="served"`) {
		t.Errorf("metrics: %v, %s", err, b)
	}
}

// All targets of a service announce in their responses that they are leaving, while their entries are written anew as ready. Guards
// against a daemon that doesn't read what responses say about their targets, and against a dump that doesn't show it.
func TestDaemonObservesLeavingTargets(t *testing.T) {
	c := startPlatform(t)
	var leaving []*plat.Target
	for _, tg := range c.Platform.Targets {
		if strings.HasPrefix(tg.ID, "customer-") {
			tg.SetNotices(plat.Notices{Leaving: []string{"1"}})
			leaving = append(leaving, tg)
		}
	}
	a := c.VMs[0]
	out, sent := "", 0
	for ; sent <= len(leaving) && !strings.Contains(out, "no-target"); sent++ {
		n := strconv.Itoa(sent)
		out = sendCurl(t, plat.TryCommand("GET", a.Callers, ShopHost, "/customer/look/"+n, "look-"+n, n))
	}
	if !strings.Contains(out, "no-target") {
		t.Errorf("after %d requests to %d leaving targets: %s", sent, len(leaving), out)
	}
	for _, tg := range leaving {
		if n := tg.Received(); n > 1 {
			t.Errorf("%s got %d requests, want the one before its announcement", tg.ID, n)
		}
	}
	if dump := sendCurl(t, "curl 'http://"+a.Metrics+"/dump?service=routing'"); strings.Count(dump, `"leaving-since"`) != len(leaving) {
		t.Errorf("the dump shows %d leaving targets, want %d", strings.Count(dump, `"leaving-since"`), len(leaving))
	}
}
