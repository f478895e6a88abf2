package soak

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// linkState is the condition of a network link simulated by a proxy. The zero value is a working link.
type linkState struct {
	// delay is the time by which each chunk is delayed.
	delay time.Duration
	// dropToServer and dropFromServer discard the bytes of one direction, as if the link lost all packets that way.
	// Both together cut the link.
	dropToServer, dropFromServer bool
}

// proxy is a TCP proxy that simulates a network link between two processes. The link can be slowed, cut and reset.
type proxy struct {
	ln            net.Listener
	serverAddress string
	// dialer opens the connections to the server.
	dialer net.Dialer

	mu    sync.Mutex
	state linkState
	conns map[net.Conn]bool
	done  sync.WaitGroup
}

// newProxy returns a proxy that listens on a free port of 127.0.0.1 and connects to the server address from the
// source address ip.
func newProxy(t *testing.T, ip, to string) *proxy {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{ln: ln, serverAddress: to, conns: map[net.Conn]bool{}}
	p.dialer = net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}
	p.done.Add(1)
	go p.accept()
	t.Cleanup(func() {
		_ = ln.Close()
		p.reset()
		p.done.Wait()
	})
	return p
}

func (p *proxy) address() string { return p.ln.Addr().String() }

func (p *proxy) setState(x linkState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = x
}

func (p *proxy) currentState() linkState {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state
}

// reset resets all open connections, as when a router between the ends loses its connection state. New connections
// work.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (p *proxy) accept() {
	defer p.done.Done()
	for {
		from, err := p.ln.Accept()
		if err != nil {
			return
		}
		p.done.Add(1)
		go func() {
			defer p.done.Done()
			p.forward(from)
		}()
	}
}

func (p *proxy) forward(from net.Conn) {
	defer func() { _ = from.Close() }()
	to, err := p.dialer.Dial("tcp", p.serverAddress)
	if err != nil {
		return
	}
	defer func() { _ = to.Close() }()
	p.track(from, to, true)
	defer p.track(from, to, false)
	var both sync.WaitGroup
	both.Add(2)
	go func() {
		defer both.Done()
		p.copyDirection(to, from, func(x linkState) bool { return x.dropToServer })
	}()
	go func() {
		defer both.Done()
		p.copyDirection(from, to, func(x linkState) bool { return x.dropFromServer })
	}()
	both.Wait()
}

func (p *proxy) track(from, to net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range []net.Conn{from, to} {
		if open {
			p.conns[c] = true
		} else {
			delete(p.conns, c)
		}
	}
}

// copyDirection copies one direction of a connection until it ends. Once it has dropped bytes, it drops the rest of
// that direction too, because later bytes would arrive as a corrupted stream.
func (p *proxy) copyDirection(dst, src net.Conn, drops func(linkState) bool) {
	buf := make([]byte, 16<<10)
	dropped := false
	for {
		n, err := src.Read(buf)
		x := p.currentState()
		dropped = dropped || drops(x)
		if n > 0 && !dropped {
			if x.delay > 0 {
				time.Sleep(x.delay)
			}
			if _, err := dst.Write(buf[:n]); err != nil {
				_ = src.Close() // also ends the other direction
				return
			}
		}
		if err != nil {
			if err == io.EOF && !dropped {
				_ = dst.(*net.TCPConn).CloseWrite() // the other direction may continue
				return
			}
			// A reset is passed on as a reset: a clean close would make a response without Content-Length look complete.
			_ = dst.(*net.TCPConn).SetLinger(0)
			_ = dst.Close()
			return
		}
	}
}
