package state

import (
	"context"
	"time"

	"github.com/currantpier/currantpier/peers"
	"github.com/currantpier/currantpier/proto"
	"github.com/currantpier/currantpier/trace"
)

// ReportCold records that a target has said that it is cold, and tells the other VMs.
func (s *State) ReportCold(ctx context.Context, c proto.ColdTarget) {
	select {
	case s.coldReports <- c:
	case <-ctx.Done():
	}
}

// RegistryConfirmed returns when the registry was last read from the store or received from another VM, the start of this VM before
// that.
func (s *State) RegistryConfirmed() time.Time { return *s.registryConfirmed.Load() }

// Group returns the VMs of this VM's region that are alive, this one included.
func (s *State) Group(now time.Time) (group []proto.VMInfo) {
	s.cfg.Peers.With(func(v *peers.View) { group = v.RegionGroup(now) })
	return group
}

// applyOwnColdReport applies what this VM was told by a target and sends it to all other VMs.
func (s *State) applyOwnColdReport(now time.Time, c proto.ColdTarget) bool {
	if !s.applyCold(now, c, "health") {
		return false
	}
	s.cfg.Peers.BroadcastCold(c)
	return true
}

// applyCold applies a report and reports whether it is news.
func (s *State) applyCold(now time.Time, c proto.ColdTarget, from string) bool {
	if !s.view.RecordCold(now, c.ID, c.StartedUnixMS, c.Left) {
		return false
	}
	s.cfg.Log.Add(now, trace.Cold, "target", c.ID, "left", c.Left, "from", from, "registry-age", now.Sub(s.RegistryConfirmed()))
	return true
}
