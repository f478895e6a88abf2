package edge

import (
	"context"
	"time"

	"github.com/currantpier/currantpier/carry"
	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/peers"
)

// reportService exchanges load reports of targets with other VMs.
type reportService struct {
	forwarder *carry.Forwarder
	peers     *peers.Service
	clock     func() time.Time
	// buf is reused for the reports of each message.
	buf []fleet.LoadReport
}

// newReportService returns the service and makes p pass received reports to the forwarder.
func newReportService(f *carry.Forwarder, p *peers.Service, clock func() time.Time) *reportService {
	p.OnLoadReports(func(list []fleet.LoadReport) { f.RecordReports(clock(), list) })
	return &reportService{forwarder: f, peers: p, clock: clock, buf: make([]fleet.LoadReport, 0, peers.MaxReports)}
}

// Name implements kernel.Service.
func (r *reportService) Name() string { return "load-reports" }

// Dump implements kernel.Service.
func (r *reportService) Dump(time.Time) any {
	c := &r.forwarder.Counters
	return map[string]uint64{"sent": c.ReportsSent.Load(), "received": c.ReportsReceived.Load(), "applied": c.ReportsApplied.Load()}
}

// Run implements kernel.Service.
func (r *reportService) Run(ctx context.Context) error {
	t := time.NewTicker(peers.ReportInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			r.send(r.clock())
		case <-ctx.Done():
			return nil
		}
	}
}

// send sends the reports of the last interval. Without routes with large responses, a deployment is served as before reports existed:
// they cost more bytes between failure domains there than they save.
func (r *reportService) send(now time.Time) {
	if cfg := r.forwarder.Snapshot().Config; cfg == nil || !cfg.HasDownloads() {
		return
	}
	r.buf = r.forwarder.FreshReports(now, r.buf[:0], peers.MaxReports)
	r.forwarder.Counters.ReportsSent.Add(uint64(r.peers.SendLoadReports(r.buf)))
}
