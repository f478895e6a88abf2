// Package node holds the services that the entry and the steer daemon share: the clients of other daemons, the view of
// the VMs, the dissemination of documents, and the control port.
package node

import (
	"net/http"
	"sync"
	"time"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/wire"
)

// Daemon says which of the two daemons of a VM a process is.
type Daemon uint8

// The daemons, in the order of store.VMInfo.Control.
const (
	EntryDaemon Daemon = iota
	SteerDaemon
)

// String returns "entry" or "steer".
func (d Daemon) String() string {
	return [...]string{"entry", "steer"}[d]
}

// Self describes this process.
type Self struct {
	VM          ident.VM
	Daemon      Daemon
	Place       ident.Place
	Incarnation ident.Incarnation
}

const (
	// longestCall is above the longest wait of a Fetch (10 s).
	longestCall = 15 * time.Second
	// idlePerPeer is enough for one long poll, one probe and one borrow at a time.
	idlePerPeer = 4
)

// Peers makes twirp clients of other daemons. It is safe for concurrent use.
type Peers struct {
	client *http.Client

	mu     sync.Mutex
	byAddr map[string]wire.Peer
}

// NewPeers returns an empty set of clients that share their connections.
func NewPeers() *Peers {
	t := &http.Transport{MaxIdleConnsPerHost: idlePerPeer, IdleConnTimeout: time.Minute}
	return &Peers{
		client: &http.Client{Transport: t, Timeout: longestCall},
		byAddr: map[string]wire.Peer{},
	}
}

// At returns the client for a control address, host:port.
func (p *Peers) At(addr string) wire.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.byAddr[addr]
	if !ok {
		c = wire.NewPeerProtobufClient("http://"+addr, p.client)
		p.byAddr[addr] = c
	}
	return c
}

// Close closes idle connections.
func (p *Peers) Close() {
	p.client.CloseIdleConnections()
}
