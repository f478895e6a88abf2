package carry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/ident"
)

// testMalformed sends a response to the first request that a target gets, with the id and signature of the request in place of ID
// and with a body that the target would send. It must not reach the caller, must not promise that the request has not run and must
// end its connection. An idempotent request is served by another target, an order is sent once.
func testMalformed(t *testing.T, response string) {
	t.Helper()
	for _, idempotent := range []bool{true, false} {
		t.Run(fmt.Sprintf("%.60q, idempotent %v", response, idempotent), func(t *testing.T) {
			t.Parallel()
			ended := make(chan error, 16)
			broken := newFakeTarget(t, func(nc net.Conn, _ int, r *http.Request) bool {
				_, _ = nc.Write([]byte(strings.Replace(response, "ID\r\n", "Id: "+r.Header.Get("Id")+"\r\nSig: s\r\n", 1)))
				_ = nc.SetReadDeadline(time.Now().Add(5 * time.Second))
				_, err := nc.Read(make([]byte, 1)) // blocks until the connection ends
				ended <- err
				return false
			})
			good := newFakeTarget(t, respondOK)
			c := newForwarderFor(t, idempotent, 5*time.Second, broken, good)
			before := c.Snapshot()
			onlyBroken := *before
			onlyBroken.Targets = map[ident.Service][]fleet.Target{"s": before.Targets["s"][:1]}
			c.Update(time.Now(), &onlyBroken)
			a := c.Handle(context.Background(), newRequest(t, "Id: 1\r\n"), time.Now())
			if a.Status != http.StatusBadGateway || a.Field("Sig") != "" {
				t.Fatalf("status %d, fields %q, body %q; want 502 of this VM", a.Status, a.Fields, a.Body)
			}
			if err := <-ended; errors.Is(err, os.ErrDeadlineExceeded) {
				t.Error("the connection is still open")
			}
			if n := broken.requests.Load(); n != 1 {
				t.Errorf("%d sends, want 1", n)
			}
			c.Update(time.Now(), before)
			for i := 2; i < 12; i++ {
				a := c.Handle(context.Background(), newRequest(t, fmt.Sprintf("Id: %d\r\n", i)), time.Now())
				served := a.Status == http.StatusOK && a.Field("Id") == fmt.Sprint(i) && string(a.Body) == "ok"
				if !served && (idempotent || a.Status != http.StatusBadGateway) {
					t.Errorf("request %d: %d %q, fields %q", i, a.Status, a.Body, a.Fields)
				}
			}
			if n := broken.requests.Load() + good.requests.Load(); !idempotent && n != 11 {
				t.Errorf("%d sends for 11 orders", n)
			}
		})
	}
}

// Guards against a response with an invalid status that reaches the caller as 200 or is skipped, and against a refusal with such a
// status that promises "not run".
func TestInvalidStatusIsNoResponse(t *testing.T) {
	const fields = "ID\r\nContent-Length: 2\r\n\r\nok"
	for _, response := range []string{
		"HTTP/1.1 000 OK\r\n" + fields,
		"HTTP/1.1 000\r\nNot-Run: 1\r\n" + fields,
		"HTTP/1.1 042 x\r\nID\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nSig: s\r\nContent-Length: 2\r\n\r\nno",
		"HTTP/1.1 600 x\r\n" + fields,
		"HTTP/1.1 999 x\r\n" + fields,
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK\r\n" + fields,
	} {
		testMalformed(t, response)
	}
}

// Guards against a header with an invalid field name that reaches the caller, in a line of the header or as the begin of the body,
// and against a body that ends elsewhere than the target meant.
func TestInvalidFieldNameIsNoResponse(t *testing.T) {
	const status, length = "HTTP/1.1 200 OK\r\nID\r\n", "Content-Length: 2\r\n\r\nok"
	for _, response := range []string{
		status + "A B: c\r\n" + length,
		status + "A\x01: c\r\n" + length,
		status + "Content-Length : 1\r\n\r\nok",
		status + "Content Length: 2\r\n\r\nok",
		status + "\nContent-Length: 2\r\n\r\nok",
		status + " Content-Length: 2\r\n\r\nok",
		status + "Transfer Encoding: chunked\r\nConnection: close\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		status + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nA B: c\r\n\r\n",
		status + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nA : c\r\n\r\n",
		"HTTP/1.1 103 x\r\nA B: c\r\n\r\n" + status + length,
		"HTTP/1.1 503 x\r\nID\r\nNot-Run : 1\r\n" + length,
		"HTTP/1.1 503 x\r\nID\r\nNot-Run: 1\r\nA B: c\r\n" + length,
	} {
		testMalformed(t, response)
	}
}

// Guards against a target that sends malformed responses unnoticed by an operator.
func TestMalformedResponseIsLogged(t *testing.T) {
	target := newFakeTarget(t, func(nc net.Conn, _ int, r *http.Request) bool {
		_, _ = nc.Write([]byte(strings.Replace(responseHead(200, r), "200", "000", 1) + "Content-Length: 0\r\n\r\n"))
		return true
	})
	c := newForwarderFor(t, false, 5*time.Second, target)
	c.Handle(context.Background(), newRequest(t, "Id: 7\r\n"), time.Now())
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	var out strings.Builder
	if err := c.log.Run(ctx, &out); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"event=failed", "id=7", "kind=outcome-unknown", `cause="broken answer: status \"000\": malformed message"`} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("log %q, want %s in it", out.String(), want)
		}
	}
	if s, _ := c.Connections(); s.Malformed != 1 {
		t.Errorf("%d malformed responses were counted, want 1", s.Malformed)
	}
}
