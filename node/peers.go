// Package node holds the services that the entry and the steer daemon have in common: RPC clients for other daemons,
// membership of VMs, distribution of the configuration and the traffic plan, and the control port.
package node

import (
	"net/http"
	"sync"
	"time"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/wire"
)

// Daemon identifies one of the two daemons of a VM.
type Daemon uint8

// The daemons. The values are their indexes in store.VMInfo.Control.
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
	// callTimeout bounds every call. It is longer than the longest wait of a Fetch, which is maxFetchWait.
	callTimeout = 15 * time.Second
	// maxIdleConns is the number of idle connections kept per peer. It suffices for a pending Fetch, a probe and a
	// Borrow at the same time.
	maxIdleConns = 4
	// maxClientIdle is the time after which a caller closes an idle connection.
	maxClientIdle = time.Minute
)

// Peers creates and caches twirp clients for other daemons. It is safe for concurrent use.
type Peers struct {
	client *http.Client

	mu     sync.Mutex
	byAddr map[string]wire.Peer
}

// NewPeers returns an empty set of clients, which share one connection pool.
func NewPeers() *Peers {
	return &Peers{client: NewHTTPClient(callTimeout), byAddr: map[string]wire.Peer{}}
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
