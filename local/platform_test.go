package local

import (
	"context"
	"io"
	"net/http"
	"regexp"
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

// Guards against a local deployment that does not serve requests over the interface of the users' platform, and
// against printed commands that fail.
func TestPlatformDeployment(t *testing.T) {
	d := Kalnins()
	d.VMsPerDomain = 1
	c, err := NewPlatform(d, 0, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- c.Run(ctx) }()
	defer func() {
		cancel()
		if err := <-done; err != nil && ctx.Err() == nil {
			t.Error(err)
		}
	}()
	for limit := time.Now().Add(20 * time.Second); c.Ready() < len(c.VMs); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("%d of %d VMs are ready after 20 s", c.Ready(), len(c.VMs))
		}
	}
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
