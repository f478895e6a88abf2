package state

import (
	"context"
	"time"

	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/peers"
	"github.com/currantpier/currantpier/proto"
	"github.com/currantpier/currantpier/trace"
)

// coldReportBuffer is the capacity of the channel of reports. Many targets can fail at the same moment.
const coldReportBuffer = 256

// coldCollectPeriod is how long reports of this VM are collected before they are applied and sent. When a failure domain ends, the reports of
// all its targets come within moments; each application copies the whole registry into a snapshot.
const coldCollectPeriod = 10 * time.Millisecond

// coldRepeatDelay is the time after which a report that ends an assumption is sent a second time. A VM that missed the first keeps the
// target cold for up to a whole warm-up, and nobody asks the target any more.
const coldRepeatDelay = 500 * time.Millisecond

// endedAssumption is a report of this VM that ended an assumption.
type endedAssumption struct {
	at     time.Time
	report fleet.ColdReport
}

// ReportCold records what this VM has found out about the warm-up of a target, and tells the other VMs.
func (s *State) ReportCold(ctx context.Context, c fleet.ColdReport) {
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

// Isolated reports whether this VM hears of no VM of any other region, but has a quorum. Without one it sends nothing to cold targets,
// so that late answers would close busy targets altogether.
func (s *State) Isolated(now time.Time) (isolated bool) {
	s.cfg.Peers.With(func(v *peers.View) { isolated = v.Isolated(now) && v.HasQuorum(now) })
	return isolated
}

// collectCold keeps a report of this VM until the timer, which the first one starts, ends.
func (s *State) collectCold(c fleet.ColdReport, timer *time.Timer) {
	if len(s.collectedCold) == 0 {
		timer.Reset(coldCollectPeriod)
	}
	s.collectedCold = append(s.collectedCold, c)
}

// applyOwnColdReports applies the reports of this VM that were collected, and sends what is news to all other VMs.
func (s *State) applyOwnColdReports(now time.Time) (changed bool) {
	var news []fleet.ColdReport
	reports := s.collectedCold
	s.collectedCold = nil
	for _, c := range reports {
		ends := !c.Assumed && s.view.AssumedCold(now, c.ID)
		forAll, here := s.view.RecordOwnCold(now, c)
		if forAll {
			news = append(news, c)
		}
		if forAll && ends {
			s.endedCold = append(s.endedCold, endedAssumption{now, c})
		}
		if here {
			s.logCold(now, c, "target", forAll)
			changed = true
		}
	}
	s.cfg.Peers.BroadcastCold(news)
	return changed
}

// repeatEnded sends the reports that ended assumptions coldRepeatDelay ago once more.
func (s *State) repeatEnded(now time.Time) {
	var due []fleet.ColdReport
	for len(s.endedCold) > 0 && now.Sub(s.endedCold[0].at) >= coldRepeatDelay {
		if c, ok := s.view.Repeat(now, s.endedCold[0].report); ok {
			due = append(due, c)
		}
		s.endedCold = s.endedCold[1:]
	}
	s.cfg.Peers.BroadcastCold(due)
}

// applyCold applies the report of another VM and reports whether it is news.
func (s *State) applyCold(now time.Time, c fleet.ColdReport, from ident.VM) bool {
	if !s.view.RecordCold(now, c) {
		return false
	}
	s.logCold(now, c, string(from), true)
	return true
}

// logCold logs a report. ForAll is false if it holds for this VM alone.
func (s *State) logCold(now time.Time, c fleet.ColdReport, from string, forAll bool) {
	s.cfg.Log.Add(now, trace.Cold, "target", c.ID, "left", c.Left, "assumed", c.Assumed, "for-all", forAll, "from", from,
		"registry-age", now.Sub(s.RegistryConfirmed()))
}
