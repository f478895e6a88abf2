package pick

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/currantpier/currantpier/fleet"
)

const (
	// heardDecay is the time constant with which a report of another VM loses its weight, in place of reportDecay. Reports of loaded
	// targets are renewed several times a second, while a short queue that many VMs hear of is gone before reportDecay. A longer time takes
	// requests from the targets that know their objects for nothing.
	heardDecay = 500 * time.Millisecond
	// maxShareAge is the age up to which a report is passed on.
	maxShareAge = 500 * time.Millisecond
	// reportSends is how often a VM passes on a report. A report that is sent to 5 VMs each time reaches a region of 30 VMs in two or
	// three rounds; further repetitions would displace newer reports.
	reportSends = 2
	// reportMargin is how much newer than the known report a heard one must be. Ages are rounded and leave out the network delay, so
	// that the same report has slightly different ages on different paths and would otherwise be passed on again and again.
	reportMargin = 30 * time.Millisecond
)

// sharedReport is the last report of a target in the form in which it is passed on. The time of the report is target.reportedAt.
type sharedReport struct {
	load uint16
	pace uint8
	// sendsLeft is how often the report may still be passed on.
	sendsLeft uint8
}

// reportIndex has what a Picker needs to exchange reports.
type reportIndex struct {
	// byProcess has the targets by processHash, nil for a hash that several share.
	byProcess map[uint32]*target
	// fresh is a reused buffer of FreshReports.
	fresh []*target
}

// processHash identifies the process of a target in load reports. It includes what tells processes under the same id apart, so that
// a restarted target inherits no report: neither do VMs have to learn of the restart at the same time nor have they to compare clocks.
func processHash(t *fleet.Target) uint32 {
	var b [256]byte
	key := append(b[:0], t.ID...)
	key = append(append(key, 0), t.Address...)
	key = binary.LittleEndian.AppendUint64(append(key, 0), uint64(t.StartedUnixMS))
	return uint32(xxhash.Sum64(key))
}

// indexProcesses builds the index of targets by processHash. A hash that two targets share is left out: its reports would be
// attributed to the wrong one.
func (p *Picker) indexProcesses() {
	p.reports.byProcess = make(map[uint32]*target, len(p.byID))
	for _, t := range p.byID {
		if _, taken := p.reports.byProcess[t.process]; taken {
			p.reports.byProcess[t.process] = nil
			continue
		}
		p.reports.byProcess[t.process] = t
	}
}

// recordReport records a load report of the target that arrived at the given time.
func (t *target) recordReport(at time.Time, l *Load) {
	t.othersLoad = max(0, float64(l.Running+l.Waiting-t.inFlight))
	t.reportedAt, t.heard = at, false
	t.pool.othersPerSlot += float64(reportWeight * (t.othersLoad/float64(max(t.Slots, 1)) - t.pool.othersPerSlot))
	t.recordPace(at, l)
}

// shareOwn prepares the report of a response for other VMs.
func (t *target) shareOwn(l *Load) {
	t.shared = sharedReport{load: uint16(min(max(l.Running+l.Waiting, 0), math.MaxUint16)), sendsLeft: reportSends}
	if l.Pace > 0 {
		t.shared.pace = uint8(min(max((l.Pace+5)/10, 1), math.MaxUint8))
	}
}

// spreads reports whether requests without an object prefer few random targets. Where targets report their pace or VMs exchange
// reports, VMs would otherwise all choose the one target that looks best.
func (pl *pool) spreads(now time.Time) bool {
	return pl.paced || now.Sub(pl.heardAt) < maxReportAge
}

// RecordReports records load reports of other VMs and returns how many of them it has applied: those of registered targets that are
// newer than the last known report of the target.
func (p *Picker) RecordReports(now time.Time, list []fleet.LoadReport) (applied int) {
	for i := range list {
		r := &list[i]
		at := now.Add(-max(r.Age, 0))
		t := p.reports.byProcess[r.Target]
		if t == nil || at.Sub(t.reportedAt) <= reportMargin {
			continue
		}
		t.recordReport(at, &Load{Running: int(r.Load), Pace: 10 * int(r.Pace)})
		t.shared = sharedReport{load: r.Load, pace: r.Pace, sendsLeft: reportSends}
		t.heard, t.pool.heardAt = true, now
		applied++
	}
	return applied
}

// FreshReports appends up to most reports to dst that are worth sending to other VMs, and counts them as sent: those of responses to
// this VM first, the newest first.
func (p *Picker) FreshReports(now time.Time, dst []fleet.LoadReport, most int) []fleet.LoadReport {
	fresh := p.reports.fresh[:0]
	for _, t := range p.byID {
		if t.shared.sendsLeft > 0 && now.Sub(t.reportedAt) < maxShareAge && p.reports.byProcess[t.process] == t {
			fresh = append(fresh, t)
		}
	}
	p.reports.fresh = fresh
	slices.SortFunc(fresh, func(a, b *target) int {
		if a.heard != b.heard {
			if b.heard {
				return -1
			}
			return 1
		}
		return cmp.Or(b.reportedAt.Compare(a.reportedAt), cmp.Compare(a.process, b.process))
	})
	for _, t := range fresh[:min(max(most, 0), len(fresh))] {
		t.shared.sendsLeft--
		dst = append(dst, fleet.LoadReport{Target: t.process, Load: t.shared.load, Pace: t.shared.pace, Age: max(now.Sub(t.reportedAt), 0)})
	}
	clear(fresh)
	return dst
}
