package carry

import (
	"time"

	"github.com/currantpier/currantpier/fleet"
)

// RecordReports records load reports of other VMs (pick.Picker.RecordReports).
func (c *Forwarder) RecordReports(now time.Time, list []fleet.LoadReport) {
	c.mu.Lock()
	applied := c.picker.RecordReports(now, list)
	c.mu.Unlock()
	c.Counters.ReportsReceived.Add(uint64(len(list)))
	c.Counters.ReportsApplied.Add(uint64(applied))
}

// FreshReports appends up to most load reports for other VMs to dst (pick.Picker.FreshReports).
func (c *Forwarder) FreshReports(now time.Time, dst []fleet.LoadReport, most int) []fleet.LoadReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.picker.FreshReports(now, dst, most)
}
