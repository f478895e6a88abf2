package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const host = "kalnins.example"

// request is one attempt of a client.
type request struct {
	id, method, path string
	body             int // its length
	deadline         time.Duration
}

// answer is what the client gets. Status 0 means that no complete answer came.
type answer struct {
	status    int
	body      string
	signature string
	err       error
}

var lastID atomic.Uint64

func newID() string { return fmt.Sprintf("%016x", 0x9c41d07b00000000+lastID.Add(1)) }

var zeros = make([]byte, 1<<20)

// send makes one attempt on a new connection.
func (v *vm) send(r request) answer {
	nc, err := net.DialTimeout("tcp", v.address(0), time.Second)
	if err != nil {
		v.w.rec.add("no-connection", "vm", v.name, "id", r.id)
		return answer{err: err}
	}
	defer func() { _ = nc.Close() }()
	_ = nc.SetDeadline(time.Now().Add(r.deadline + time.Second))
	v.w.rec.add("send", "vm", v.name, "id", r.id, "request", r.method+" "+r.path, "body-bytes", r.body)
	a := v.exchange(nc, r)
	v.w.rec.add("answer", "vm", v.name, "id", r.id, "status", a.status, "signature", a.signature, "error", a.err)
	return a
}

func (v *vm) exchange(nc net.Conn, r request) answer {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Currantpier-Attempt-Id: %s\r\nX-Currantpier-Affinity-Key: %s\r\n"+
		"X-Currantpier-Deadline-Ms: %d\r\n", r.method, r.path, host, r.id, r.id[14:], r.deadline.Milliseconds())
	if r.method != "GET" {
		head += fmt.Sprintf("Content-Length: %d\r\n", r.body)
	}
	if _, err := io.WriteString(nc, head+"\r\n"); err != nil {
		return answer{err: err}
	}
	for left := r.body; left > 0; {
		n, err := nc.Write(zeros[:min(left, len(zeros))])
		if err != nil {
			return answer{err: err}
		}
		left -= n
	}
	resp, err := http.ReadResponse(bufio.NewReader(nc), &http.Request{Method: r.method})
	if err != nil {
		return answer{err: err}
	}
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{err: err}
	}
	return answer{status: resp.StatusCode, body: string(b), signature: resp.Header.Get("X-Currantpier-Server-Signature")}
}
