package edge

import (
	"context"
	"net"
	"time"

	"github.com/currantpier/currantpier/feed"
	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/inlet"
	"github.com/currantpier/currantpier/peers"
	"github.com/currantpier/currantpier/trace"
)

const (
	// announceRetry is the pause after a failed call to the list of VMs.
	announceRetry = 700 * time.Millisecond
	// listEvery is how often the list of VMs is read again, for VMs that gossip has not reached.
	listEvery = time.Minute
	// withdrawFor bounds the removal from the list at a planned stop.
	withdrawFor = 1500 * time.Millisecond
)

// follow is the service that follows one table.
type follow struct {
	name     string
	table    feed.Table
	follower *feed.Shared
	topic    topic
	n        *Node
	refresh  chan struct{}
}

// Name implements kernel.Service.
func (f *follow) Name() string { return f.name }

// Dump implements kernel.Service.
func (f *follow) Dump(time.Time) any { return nil }

// Run implements kernel.Service.
func (f *follow) Run(ctx context.Context) error {
	sink := func(now time.Time, after ident.Version, rows feed.Rows, err error) {
		select {
		case f.n.state.readings <- reading{at: now, topic: f.topic, after: after, rows: rows, err: err}:
		case <-ctx.Done():
		}
	}
	return feed.Run(ctx, f.table, f.follower, sink, f.refresh, f.n.cfg.Clock)
}

// announce keeps this VM in the store's list and reads the others from there.
type announce struct{ n *Node }

// Name implements kernel.Service.
func (a *announce) Name() string { return "announce" }

// Dump implements kernel.Service.
func (a *announce) Dump(time.Time) any { return nil }

// Run implements kernel.Service. A VM announces itself before it reads the list: of two VMs that start together, at
// least one then knows the other.
func (a *announce) Run(ctx context.Context) error {
	announced := false
	for ctx.Err() == nil {
		pause := listEvery
		if err := a.exchange(ctx, &announced); err != nil {
			a.n.cfg.Log.Add(a.n.cfg.Clock(), trace.Lost, "dependency", "store", "call", "list-vms", "err", err)
			pause = announceRetry
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
	return nil
}

func (a *announce) exchange(ctx context.Context, announced *bool) error {
	if !*announced {
		if err := a.n.cfg.Directory.Announce(ctx, a.n.cfg.Self); err != nil {
			return err
		}
		*announced = true
	}
	infos, err := a.n.cfg.Directory.List(ctx)
	if err != nil {
		return err
	}
	now := a.n.cfg.Clock()
	a.n.cfg.Peers.With(func(v *peers.View) { v.Listed(now, infos) })
	return nil
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
