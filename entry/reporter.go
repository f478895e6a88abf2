package entry

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/kernel"
	"github.com/currantpier/currantpier/member"
	"github.com/currantpier/currantpier/node"
	"github.com/currantpier/currantpier/relay"
	"github.com/currantpier/currantpier/sched"
	"github.com/currantpier/currantpier/wire"
)

// reporter reports the demand and the slots in use to the holder of the steering lease.
type reporter struct{ d *Daemon }

// reportInterval is a fifth of the age from which the lease holder considers a measurement stale.
const reportInterval = 2 * time.Second

// Name implements kernel.Service.
func (r *reporter) Name() string { return "reporter" }

// Dump implements kernel.Service.
func (r *reporter) Dump(time.Time) any {
	return map[string]int64{"period-ms": reportInterval.Milliseconds()}
}

// Run updates the gauges and sends reports until ctx is done.
func (r *reporter) Run(ctx context.Context) error {
	t := time.NewTicker(reportInterval)
	defer t.Stop()
	for {
		if st, ok := r.d.sched.Status(ctx, true); ok {
			kernel.Guard(r.d.logger, "report", func() {
				r.updateGauges(r.d.clock(), st)
				r.report(ctx, st)
			})
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
}

// updateGauges sets the metrics that describe a state of the scheduler.
func (r *reporter) updateGauges(now time.Time, st sched.Status) {
	gauge := func(name string, v float64) { metrics.GetOrRegisterGaugeFloat64(name, r.d.metrics).Update(v) }
	var granted, inUse, lent, borrowed float64
	for _, u := range st.Slots {
		granted += float64(u.Granted)
		inUse += float64(u.InUse)
		lent += float64(u.Lent)
		borrowed += float64(u.Borrowed)
	}
	gauge("slots-granted", granted)
	gauge("slots-in-use", inUse)
	gauge("slots-lent", lent)
	gauge("slots-borrowed", borrowed)
	gauge("config-version", float64(st.ConfigVersion))
	gauge("plan-version", float64(st.PlanVersion))
	gauge("scheduler-ring-full", float64(st.MessageQueue.Full))
	if t := r.d.plan.Load(); t != nil {
		gauge("plan-age-ms", float64(now.Sub(t.CreatedAt).Milliseconds()))
	}
	for _, l := range st.Links {
		gauge("link-mbit-per-second-"+string(l.To), l.Mbps)
	}
}

// report sends one report to the lease holder. Without a known holder it does nothing.
func (r *reporter) report(ctx context.Context, st sched.Status) {
	ctx, cancel := context.WithTimeout(ctx, reportInterval)
	defer cancel()
	holder := r.findHolder(ctx)
	m, ok := r.d.members.Snapshot().Member(holder)
	if !ok || len(m.Control) <= int(node.SteerDaemon) {
		return
	}
	req := &wire.ReportRequest{
		Vm: string(r.d.self.VM), Incarnation: uint64(r.d.self.Incarnation), PlanVersion: uint64(st.PlanVersion),
		AckedPlan: uint64(st.AckedPlanVersion), ConfigVersion: uint64(st.ConfigVersion),
	}
	for _, u := range st.Targets {
		req.Targets = append(req.Targets, &wire.TargetUse{
			Target: string(u.Target), InUse: uint32(u.InProgress), MeanMilli: uint64(u.MeanInProgress * 1000),
			BitsPerSecond: uint64(u.BitsPerSecond),
		})
	}
	for _, name := range st.Leaving {
		req.Targets = append(req.Targets, &wire.TargetUse{Target: string(name), Leaving: true})
	}
	for _, s := range st.Sites {
		req.Sites = append(req.Sites, &wire.SiteUse{
			Service: string(s.Service), Region: string(s.Region), Arrived: s.Arrived, Refused: s.Refused,
			WantedMilli: uint64(s.UnmetSlots * 1000),
		})
	}
	// Errors are ignored: the next report replaces a lost one.
	_, _ = r.d.peers.At(m.Control[node.SteerDaemon]).Report(ctx, req)
}

// findHolder asks the lease candidates near this VM for the holder of the lease. It returns an empty name if none of
// them knows it. Other steer daemons aren't asked, since they don't read the lease.
func (r *reporter) findHolder(ctx context.Context) ident.VM {
	s := r.d.members.Snapshot()
	candidates := leaseCandidates(r.d.self, s.Live())
	for _, vm := range candidates {
		m, ok := s.Member(vm)
		if !ok || len(m.Control) <= int(node.SteerDaemon) {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, peerCallTimeout)
		reply, err := r.d.peers.At(m.Control[node.SteerDaemon]).Probe(callCtx, &wire.ProbeRequest{})
		cancel()
		if err == nil && reply.GetHolder() != "" {
			return ident.VM(reply.GetHolder())
		}
	}
	return ""
}

// leaseCandidates returns up to maxPeersAsked VMs whose steer daemons read the lease: the relays of the failure domain
// of self, followed by the relays of one other domain. That is the domain of the first VM after self by name that is
// in another domain, so that different domains choose different ones.
func leaseCandidates(self node.Self, live []member.Member) []ident.VM {
	peers := make([]relay.Peer, len(live))
	next := 0
	for i, m := range live {
		peers[i] = relay.Peer{VM: m.VM, Place: m.Place}
		if m.VM <= self.VM {
			next = i + 1
		}
	}
	vms := relay.Relays(peers, self.Place.Domain)
	for i := range peers {
		if p := peers[(next+i)%len(peers)]; p.Place.Domain != self.Place.Domain {
			vms = append(vms, relay.Relays(peers, p.Place.Domain)...)
			break
		}
	}
	return vms[:min(len(vms), maxPeersAsked)]
}
