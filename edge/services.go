package edge

import (
	"context"
	"net"
	"time"

	"github.com/currantpier/currantpier/carry"
	"github.com/currantpier/currantpier/feed"
	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/inlet"
	"github.com/currantpier/currantpier/state"
)

const (
	// withdrawTimeout bounds the removal of this VM from the store's list during a planned stop.
	withdrawTimeout = 1500 * time.Millisecond
)

// feedService is the service that follows one table of the store.
type feedService struct {
	name     string
	table    feed.Table
	follower *feed.SyncFollower
	topic    state.Topic
	n        *Node
	refresh  <-chan struct{}
}

// Name implements kernel.Service.
func (f *feedService) Name() string { return f.name }

// Dump implements kernel.Service.
func (f *feedService) Dump(time.Time) any { return nil }

// Run implements kernel.Service.
func (f *feedService) Run(ctx context.Context) error {
	return feed.Run(ctx, f.table, f.follower, f.n.state.Sink(ctx, f.topic), f.refresh, f.n.cfg.Clock)
}

// probeSource is what probe.Service decides by.
type probeSource struct {
	*state.State
	forwarder *carry.Forwarder
}

// Snapshot implements probe.Source.
func (p probeSource) Snapshot() *fleet.Snapshot { return p.forwarder.Snapshot() }

// listenService is the service that serves one listener.
type listenService struct {
	name   string
	ln     net.Listener
	server *inlet.Server
}

// Name implements kernel.Service.
func (l *listenService) Name() string { return l.name }

// Dump implements kernel.Service.
func (l *listenService) Dump(time.Time) any {
	requests, connections := l.server.Active()
	return map[string]int{"requests": requests, "connections": connections}
}

// Run implements kernel.Service.
func (l *listenService) Run(ctx context.Context) error { return l.server.Serve(ctx, l.ln) }
