package codec

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// serveText accepts connections and responds to each request with the next of the texts, each of which must be complete; an empty
// one ends the connection. The channel receives the number of requests of each connection that has ended.
func serveText(t *testing.T, texts ...string) (url string, ended <-chan int) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	counts := make(chan int, len(texts)+1)
	go func() {
		for len(texts) > 0 {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			_ = nc.SetDeadline(time.Now().Add(5 * time.Second))
			n := 0
			for br := bufio.NewReader(nc); len(texts) > 0; n++ {
				if _, err := http.ReadRequest(br); err != nil {
					break
				}
				_, _ = io.WriteString(nc, texts[0])
				texts = texts[1:]
			}
			_ = nc.Close()
			counts <- n
		}
	}()
	return "http://" + ln.Addr().String(), counts
}

// newTestClient returns a client with a Transport. Its connections end with the test.
func newTestClient(t *testing.T) *http.Client {
	c := &http.Client{Transport: Transport{RoundTripper: &http.Transport{}}, Timeout: 5 * time.Second}
	t.Cleanup(c.CloseIdleConnections)
	return c
}

// get returns the status and body of a response.
func get(c *http.Client, url string) (int, string, error) {
	resp, err := c.Get(url)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), err
}

// Guards against a malformed response of the store or of another VM that is taken for one, and against another request on its
// connection.
func TestTransportRefusesMalformed(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 101 x\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n",
		"HTTP/1.1 042 x\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 600 x\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 O\x01K\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 O\rK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nA B: c\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nA : c\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer Encoding: chunked\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 103 x\r\nA B: c\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nA B: c\r\n\r\n",
		strings.Repeat("HTTP/1.1 103 x\r\n\r\n", maxInterimResponses+1) + "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	} {
		url, ended := serveText(t, text, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		c := newTestClient(t)
		if status, body, err := get(c, url); !errors.Is(err, ErrMalformed) {
			t.Errorf("%q: %d %q, error %v; want %v", text, status, body, err, ErrMalformed)
		}
		if status, body, err := get(c, url); status != http.StatusOK || body != "ok" || err != nil {
			t.Errorf("after %q: %d %q, error %v", text, status, body, err)
		}
		if n := <-ended; n != 1 {
			t.Errorf("%q: its connection carried %d requests, want 1", text, n)
		}
	}
}

// Guards against refusing responses that are unusual but sound, and against a connection for each of them.
func TestTransportReturnsUnusual(t *testing.T) {
	var texts []string
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\na!#$%&'*+-.^_`|~09:\r\n", "HTTP/1.1 200 OK\r\nA: b\r\n c\r\n",
		"HTTP/1.1 200\r\n", "HTTP/1.1 200 O\tK\r\n", "HTTP/1.2 200 OK\r\n", "HTTP/1.1 299 Whatever\r\n", "HTTP/1.1 599 x\r\n", "HTTP/1.1 103 x\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\n",
	} {
		texts = append(texts, head+"Content-Length: 2\r\n\r\nok")
	}
	texts = append(texts, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nA: b\r\n\r\n")
	url, ended := serveText(t, texts...)
	c := newTestClient(t)
	for _, text := range texts {
		if _, body, err := get(c, url); body != "ok" || err != nil {
			t.Errorf("%q: body %q, error %v", text, body, err)
		}
	}
	if n := <-ended; n != len(texts) {
		t.Errorf("the first connection carried %d requests, want %d", n, len(texts))
	}
}
