package edge

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/currantpier/currantpier/peers"
	"github.com/currantpier/currantpier/proto"
	"github.com/currantpier/currantpier/trace"
)

const (
	// announceAfter is how long a VM that starts waits for other VMs to answer before it turns to the store's list.
	announceAfter = time.Second
	// announceCheck is how often a VM looks whether it should be in the list.
	announceCheck = 2 * time.Second
	// announceRetry is the pause after a failed call to the list of VMs.
	announceRetry = 700 * time.Millisecond
	// announcers is the number of VMs of each region that are in the list. They introduce all others.
	announcers = 3
	// listEvery is how often those VMs read the list again, for VMs that gossip has not reached.
	listEvery = time.Minute
)

// announce keeps some VMs in the store's list, through which VMs meet that know no other address.
type announce struct {
	n *Node
	// written says that this VM is in the list, tried that it may be: the answer to a write can be lost.
	written, tried atomic.Bool
}

// Name implements kernel.Service.
func (*announce) Name() string { return "announce" }

// Dump implements kernel.Service.
func (a *announce) Dump(time.Time) any { return map[string]bool{"listed": a.written.Load()} }

// Run implements kernel.Service.
func (a *announce) Run(ctx context.Context) error {
	listed := a.n.cfg.Clock()
	for pause := announceAfter; ; {
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return nil
		}
		pause = announceCheck
		if a.n.stopping() {
			<-ctx.Done()
			return nil
		}
		now := a.n.cfg.Clock()
		write, list := a.due(now, now.Sub(listed))
		if err := a.exchange(ctx, write, list); err != nil {
			a.n.cfg.Log.Add(now, trace.Lost, "dependency", "store", "call", "list-vms", "err", err)
			pause = announceRetry
		} else if list {
			listed = now
		}
	}
}

// due looks at the other VMs and says which calls are due.
func (a *announce) due(now time.Time, sinceList time.Duration) (write, list bool) {
	alone, rank := false, 0
	a.n.cfg.Peers.With(func(v *peers.View) {
		alone = !v.AnyHeard()
		rank = slices.IndexFunc(v.Group(now), func(i proto.Info) bool { return i.VM == a.n.cfg.Self.VM })
	})
	return announceDue(alone, rank, a.written.Load(), sinceList)
}

// announceDue decides whether a VM writes itself to the list and reads it. A VM that has heard of no other does both, first
// its own entry: of two such VMs that start together, at least one then knows the other.
func announceDue(alone bool, rank int, written bool, sinceList time.Duration) (write, list bool) {
	needed := alone || rank < announcers
	return needed && !written, alone || needed && sinceList >= listEvery
}

func (a *announce) exchange(ctx context.Context, write, list bool) error {
	if write {
		a.tried.Store(true)
		if err := a.n.cfg.Directory.Announce(ctx, a.n.cfg.Self); err != nil {
			return err
		}
		a.written.Store(true)
	}
	if !list {
		return nil
	}
	infos, err := a.n.cfg.Directory.List(ctx)
	if err != nil {
		return err
	}
	now := a.n.cfg.Clock()
	a.n.cfg.Peers.With(func(v *peers.View) { v.Listed(now, infos) })
	return nil
}
