package main

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// link is a proxy in front of a target that stands for the path between two regions. While it is cut, it holds what the VM has
// sent. As TCP does, it tries again after times that double, and so delivers the bytes some time after the cut has healed. Bytes
// whose sender has reset the connection meanwhile are lost, as DEPLOY.md says; those whose sender has only closed it are not. Behind a
// real cut no connection could be opened; a proxy can't prevent that, so one that is opened during the cut carries nothing at all.
type link struct {
	ln net.Listener
	to string

	mu            sync.Mutex
	cutAt, healAt time.Time
}

// firstRetry is the time to the first retransmission: a round trip of 110 ms, and 200 ms.
const firstRetry = 310 * time.Millisecond

func newLink(ip, to string) (*link, error) {
	ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	l := &link{ln: ln, to: to}
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go l.carry(nc)
		}
	}()
	return l, nil
}

func (l *link) cut(at, heal time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cutAt, l.healAt = at, heal
}

// arrival returns when bytes that are sent at t arrive.
func (l *link) arrival(t time.Time) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t.Before(l.cutAt) || !t.Before(l.healAt) {
		return t
	}
	for wait := firstRetry; t.Before(l.healAt); wait *= 2 {
		t = t.Add(wait)
	}
	return t
}

func (l *link) isCut(t time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !t.Before(l.cutAt) && t.Before(l.healAt)
}

func (l *link) carry(from net.Conn) {
	defer func() { _ = from.Close() }()
	if l.isCut(time.Now()) {
		_, _ = io.Copy(io.Discard, from) // until the VM gives it up
		return
	}
	to, err := net.Dial("tcp", l.to)
	if err != nil {
		return
	}
	defer func() { _ = to.Close() }()
	go func() {
		defer func() { _ = from.Close() }()
		b := make([]byte, 64<<10)
		for {
			n, err := to.Read(b)
			if err != nil {
				return
			}
			time.Sleep(time.Until(l.arrival(time.Now())))
			if _, err := from.Write(b[:n]); err != nil {
				return
			}
		}
	}()
	type piece struct {
		data []byte
		at   time.Time
		err  error
	}
	pieces := make(chan piece, 1000)
	reset := make(chan struct{})
	go func() {
		for {
			b := make([]byte, 64<<10)
			n, err := from.Read(b)
			pieces <- piece{b[:n], l.arrival(time.Now()), err}
			if err != nil {
				if !errors.Is(err, io.EOF) && errors.Is(err, syscall.ECONNRESET) {
					close(reset)
				}
				return
			}
		}
	}()
	for p := range pieces {
		select {
		case <-time.After(time.Until(p.at)):
		case <-reset:
			return
		}
		if _, err := to.Write(p.data); err != nil || p.err != nil {
			return
		}
	}
}
