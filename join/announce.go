// Package join is what a VM does to find the others, and to serve before the store has answered it.
package join

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/currantpier/currantpier/ident"
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

// Directory lists the VMs in the platform's store.
type Directory interface {
	// Announce adds this VM or replaces its entry.
	Announce(ctx context.Context, i proto.Info) error
	// Withdraw removes a VM's entry.
	Withdraw(ctx context.Context, vm ident.VM) error
	// List returns all VMs.
	List(ctx context.Context) ([]proto.Info, error)
}

// Announcer keeps some VMs in the store's list, through which VMs meet that know no other address.
type Announcer struct {
	Self      proto.Info
	Peers     *peers.Service
	Directory Directory
	Log       *trace.Log
	Clock     func() time.Time
	// Stopping reports whether a planned stop has begun.
	Stopping func() bool

	// written says that this VM is in the list, tried that it may be: the answer to a write can be lost.
	written, tried atomic.Bool
}

// Name implements kernel.Service.
func (*Announcer) Name() string { return "announce" }

// Dump implements kernel.Service.
func (a *Announcer) Dump(time.Time) any { return map[string]bool{"listed": a.written.Load()} }

// Run implements kernel.Service.
func (a *Announcer) Run(ctx context.Context) error {
	listed := a.Clock()
	for pause := announceAfter; ; {
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return nil
		}
		pause = announceCheck
		if a.Stopping() {
			<-ctx.Done()
			return nil
		}
		now := a.Clock()
		write, list := a.due(now, now.Sub(listed))
		if err := a.exchange(ctx, write, list); err != nil {
			a.Log.Add(now, trace.Lost, "dependency", "store", "call", "list-vms", "err", err)
			pause = announceRetry
		} else if list {
			listed = now
		}
	}
}

// Listed reports whether this VM may be in the list.
func (a *Announcer) Listed() bool { return a.tried.Load() }

// due looks at the other VMs and says which calls are due.
func (a *Announcer) due(now time.Time, sinceList time.Duration) (write, list bool) {
	alone, rank := false, 0
	a.Peers.With(func(v *peers.View) {
		alone = !v.AnyHeard()
		rank = slices.IndexFunc(v.Group(now), func(i proto.Info) bool { return i.VM == a.Self.VM })
	})
	return announceDue(alone, rank, a.written.Load(), sinceList)
}

// announceDue decides whether a VM writes itself to the list and reads it. A VM that has heard of no other does both, first
// its own entry: of two such VMs that start together, at least one then knows the other.
func announceDue(alone bool, rank int, written bool, sinceList time.Duration) (write, list bool) {
	needed := alone || rank < announcers
	return needed && !written, alone || needed && sinceList >= listEvery
}

func (a *Announcer) exchange(ctx context.Context, write, list bool) error {
	if write {
		a.tried.Store(true)
		if err := a.Directory.Announce(ctx, a.Self); err != nil {
			return err
		}
		a.written.Store(true)
	}
	if !list {
		return nil
	}
	infos, err := a.Directory.List(ctx)
	if err != nil {
		return err
	}
	now := a.Clock()
	a.Peers.With(func(v *peers.View) { v.Listed(now, infos) })
	return nil
}
