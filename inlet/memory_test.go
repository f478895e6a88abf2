package inlet

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/currantpier/currantpier/memory"
)

// bodyFixture is a server with a memory limit of 100 KiB, whose requests wait until they are released.
type bodyFixture struct {
	t     *testing.T
	h     *blockingHandler
	limit *memory.Limit
	first net.Conn
}

func newBodyFixture(t *testing.T) *bodyFixture {
	t.Helper()
	f := &bodyFixture{t: t, h: newBlockingHandler(), limit: memory.NewLimit(100 << 10)}
	_, f.first = startServer(t, f.h, LimitBodies(f.limit, RefuseBody))
	return f
}

// dial opens a further connection.
func (f *bodyFixture) dial() net.Conn {
	f.t.Helper()
	nc, err := net.Dial("tcp", f.first.RemoteAddr().String())
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = nc.Close() })
	_ = nc.SetDeadline(time.Now().Add(10 * time.Second))
	return nc
}

func (f *bodyFixture) write(nc net.Conn, text string) {
	f.t.Helper()
	if _, err := io.WriteString(nc, text); err != nil {
		f.t.Fatal(err)
	}
}

// post sends a request with a body of n bytes.
func (f *bodyFixture) post(nc net.Conn, path string, n int) {
	f.t.Helper()
	f.write(nc, fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, n, strings.Repeat("x", n)))
}

// expect reads a response and checks its status.
func (f *bodyFixture) expect(nc net.Conn, name string, status int) {
	f.t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		f.t.Fatalf("%s: %v", name, err)
	}
	if resp.StatusCode != status || (status == http.StatusServiceUnavailable) != (resp.Header.Get("Retry-After") != "") {
		f.t.Errorf("%s: status %d, Retry-After %q; want status %d", name, resp.StatusCode, resp.Header.Get("Retry-After"), status)
	}
}

// Several callers at once send long bodies, each within the limit for one. Guards against a process that needs more memory for
// them than it may have, and ends with the requests of all other callers.
func TestBodiesShareMemoryLimit(t *testing.T) {
	f := newBodyFixture(t)
	f.post(f.first, "/first", 90<<10)
	<-f.h.entered

	tooMuch := f.dial()
	f.write(tooMuch, "POST /second HTTP/1.1\r\nHost: h\r\nContent-Length: 60000\r\nExpect: 100-continue\r\n\r\n")
	f.expect(tooMuch, "a long body before it is sent", http.StatusServiceUnavailable)

	chunked := f.dial()
	f.write(chunked, "POST /third HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nC000\r\n"+strings.Repeat("x", 0xC000))
	f.expect(chunked, "a long chunk", http.StatusServiceUnavailable)

	short := f.dial()
	f.post(short, "/short", 8<<10)
	if path := <-f.h.entered; path != "/short" {
		t.Fatalf("request %s, want the one with a short body", path)
	}
	f.h.release <- struct{}{}
	f.h.release <- struct{}{}
	f.expect(f.first, "the first body", http.StatusOK)
	f.expect(short, "a short body", http.StatusOK)

	again := f.dial()
	f.post(again, "/again", 90<<10)
	<-f.h.entered
	f.h.release <- struct{}{}
	f.expect(again, "a long body once the first has ended", http.StatusOK)
	if used := f.limit.Used(); used != 0 {
		t.Errorf("%d bytes are still reserved", used)
	}
}

// Guards against memory that stays reserved for a body that doesn't arrive, or whose caller leaves.
func TestUnfinishedBodyReleasesMemory(t *testing.T) {
	for name, text := range map[string]string{
		"length": "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 90000\r\n\r\nx",
		"chunk":  "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nC000\r\n" + strings.Repeat("x", 0x8000),
	} {
		t.Run(name, func(t *testing.T) {
			f := newBodyFixture(t)
			f.write(f.first, text)
			f.awaitUsed(func(used int64) bool { return used > 0 })
			_ = f.first.Close()
			f.awaitUsed(func(used int64) bool { return used == 0 })
		})
	}
}

// awaitUsed waits until the reserved memory meets a condition. The server reports no event for it.
func (f *bodyFixture) awaitUsed(ok func(used int64) bool) {
	f.t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(f.limit.Used()); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("%d bytes are reserved", f.limit.Used())
		}
	}
}
