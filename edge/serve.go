package edge

import (
	"context"
	"net"
	"time"

	"github.com/currantpier/currantpier/feed"
	"github.com/currantpier/currantpier/inlet"
	"github.com/currantpier/currantpier/state"
)

const (
	// withdrawFor bounds the removal from the list at a planned stop.
	withdrawFor = 1500 * time.Millisecond
)

// follow is the service that follows one table.
type follow struct {
	name     string
	table    feed.Table
	follower *feed.Shared
	topic    state.Topic
	n        *Node
	refresh  <-chan struct{}
}

// Name implements kernel.Service.
func (f *follow) Name() string { return f.name }

// Dump implements kernel.Service.
func (f *follow) Dump(time.Time) any { return nil }

// Run implements kernel.Service.
func (f *follow) Run(ctx context.Context) error {
	return feed.Run(ctx, f.table, f.follower, f.n.state.Sink(ctx, f.topic), f.refresh, f.n.cfg.Clock)
}

// listen is the service of one listener.
type listen struct {
	name   string
	ln     net.Listener
	server *inlet.Server
}

// Name implements kernel.Service.
func (l *listen) Name() string { return l.name }

// Dump implements kernel.Service.
func (l *listen) Dump(time.Time) any {
	requests, connections := l.server.InFlight()
	return map[string]int{"requests": requests, "connections": connections}
}

// Run implements kernel.Service.
func (l *listen) Run(ctx context.Context) error { return l.server.Serve(ctx, l.ln) }
