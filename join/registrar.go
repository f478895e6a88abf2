// Package join finds the other VMs when a VM starts, and fetches their state so that it can serve before the store
// answers.
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
	// registerDelay is how long a starting VM waits for messages of other VMs before it calls the store's list.
	registerDelay = time.Second
	// registerInterval is the time between two checks whether this VM should be in the list.
	registerInterval = 2 * time.Second
	// registerRetryPause is the pause after a failed call to the list.
	registerRetryPause = 700 * time.Millisecond
	// registeredPerRegion is the number of VMs of each region that are in the list. All others are found through them
	// by gossip.
	registeredPerRegion = 3
	// listInterval is the time between two readings of the list by those VMs, in case gossip does not reach some VMs.
	listInterval = time.Minute
)

// Directory is the list of VMs in the platform's store.
type Directory interface {
	// Register adds this VM or replaces its entry. It returns the store's era, zero if the store doesn't state it.
	Register(ctx context.Context, i proto.VMInfo) (ident.Era, error)
	// Withdraw removes a VM's entry.
	Withdraw(ctx context.Context, vm ident.VM) error
	// List returns all VMs with an entry.
	List(ctx context.Context) ([]proto.VMInfo, error)
}

// Registrar keeps some VMs in the store's list, so that a VM without any other address can find them.
type Registrar struct {
	Self      proto.VMInfo
	Peers     *peers.Service
	Directory Directory
	Log       *trace.Log
	Clock     func() time.Time
	// Stopping reports whether a planned stop has begun.
	Stopping func() bool
	// Era returns the newest known era of the store.
	Era func() ident.Era

	// listed says that this VM's entry was written, maybeListed that a write was tried: it may have taken effect even
	// if its response was lost.
	listed, maybeListed atomic.Bool
	// listedEra is the era in which the entry was written. A restored store may have lost it.
	listedEra ident.Era
}

// Name implements kernel.Service.
func (*Registrar) Name() string { return "announce" }

// Dump implements kernel.Service.
func (a *Registrar) Dump(time.Time) any { return map[string]bool{"listed": a.listed.Load()} }

// Run implements kernel.Service.
func (a *Registrar) Run(ctx context.Context) error {
	lastRead := a.Clock()
	for pause := registerDelay; ; {
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return nil
		}
		pause = registerInterval
		if a.Stopping() {
			<-ctx.Done()
			return nil
		}
		now := a.Clock()
		write, list := a.nextCalls(now, now.Sub(lastRead))
		if err := a.callDirectory(ctx, write, list); err != nil {
			a.Log.Add(now, trace.DependencyLost, "dependency", "store", "call", "list-vms", "err", err)
			pause = registerRetryPause
		} else if list {
			lastRead = now
		}
	}
}

// MaybeListed reports whether this VM may be in the list.
func (a *Registrar) MaybeListed() bool { return a.maybeListed.Load() }

// nextCalls returns which calls are due given the current members.
func (a *Registrar) nextCalls(now time.Time, sinceList time.Duration) (write, list bool) {
	alone, rank := false, 0
	a.Peers.With(func(v *peers.View) {
		alone = !v.AnyHeartbeat()
		rank = slices.IndexFunc(v.RegionGroup(now), func(i proto.VMInfo) bool { return i.VM == a.Self.VM })
	})
	return dueCalls(alone, rank, !a.writeDue(), sinceList)
}

// writeDue reports whether this VM's entry is not in the list.
func (a *Registrar) writeDue() bool { return !a.listed.Load() || a.Era() > a.listedEra }

// dueCalls decides whether a VM writes its entry and whether it reads the list. A VM that has received no heartbeat
// does both and writes first: of two such VMs that start at the same time, at least one then reads the other's entry.
func dueCalls(alone bool, rank int, written bool, sinceList time.Duration) (write, list bool) {
	needed := alone || rank < registeredPerRegion
	return needed && !written, alone || needed && sinceList >= listInterval
}

// callDirectory makes the calls that are due.
func (a *Registrar) callDirectory(ctx context.Context, write, list bool) error {
	if write {
		a.maybeListed.Store(true)
		known := a.Era()
		era, err := a.Directory.Register(ctx, a.Self)
		if err != nil {
			return err
		}
		// The store may not state its era, but it can't be earlier than the one known when the write was sent.
		a.listedEra = max(era, known)
		a.listed.Store(true)
	}
	if !list {
		return nil
	}
	vms, err := a.Directory.List(ctx)
	if err != nil {
		return err
	}
	now := a.Clock()
	a.Peers.With(func(v *peers.View) { v.AddListed(now, vms) })
	return nil
}
