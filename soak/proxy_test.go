package soak

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// path says what a proxy does to the bytes of one path. The zero value passes them on.
type path struct {
	// delay passes before each piece of bytes.
	delay time.Duration
	// dropTo and dropFrom lose the bytes of one direction, as a path that has gone silent one way. Both together cut it.
	dropTo, dropFrom bool
}

// proxy is a path between two processes that can be slowed, cut and reset from outside.
type proxy struct {
	ln net.Listener
	to string
	// dialer opens the far half of each connection.
	dialer net.Dialer

	mu    sync.Mutex
	path  path
	conns map[net.Conn]bool
	done  sync.WaitGroup
}

// newProxy listens on a free port for connections to an address, which sees them come from ip.
func newProxy(t *testing.T, ip, to string) *proxy {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{ln: ln, to: to, conns: map[net.Conn]bool{}}
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

func (p *proxy) set(x path) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.path = x
}

func (p *proxy) now() path {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.path
}

// reset ends all open connections as a lost state of a router between the ends does; new ones work.
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
			p.carry(from)
		}()
	}
}

func (p *proxy) carry(from net.Conn) {
	defer func() { _ = from.Close() }()
	to, err := p.dialer.Dial("tcp", p.to)
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
		p.copy(to, from, func(x path) bool { return x.dropTo })
	}()
	go func() {
		defer both.Done()
		p.copy(from, to, func(x path) bool { return x.dropFrom })
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

// copy moves the bytes of one direction until it ends. Once bytes of a direction were dropped, the rest of that connection
// is dropped too, since what follows would not be what was sent.
func (p *proxy) copy(dst, src net.Conn, drops func(path) bool) {
	buf := make([]byte, 16<<10)
	lost := false
	for {
		n, err := src.Read(buf)
		x := p.now()
		lost = lost || drops(x)
		if n > 0 && !lost {
			if x.delay > 0 {
				time.Sleep(x.delay)
			}
			if _, err := dst.Write(buf[:n]); err != nil {
				_ = src.Close() // the other direction ends with it
				return
			}
		}
		if err != nil {
			if err == io.EOF && !lost {
				_ = dst.(*net.TCPConn).CloseWrite() // the other direction may go on
				return
			}
			// A reset goes on as a reset: a clean end would make an answer without length look whole.
			_ = dst.(*net.TCPConn).SetLinger(0)
			_ = dst.Close()
			return
		}
	}
}
