package edge

import (
	"bytes"

	"github.com/currantpier/currantpier/meter"
	"github.com/currantpier/currantpier/quota"
)

// quotaLimits returns the limits of the customers in the configuration in force. Requests of blocked customers are refused without a
// quota.
func (n *Node) quotaLimits() []quota.Limit {
	cfg := n.cfg.Forwarder.Snapshot().Config
	if cfg == nil {
		return nil
	}
	var list []quota.Limit
	for i := range cfg.Customers {
		if c := &cfg.Customers[i]; c.Rate > 0 && !c.Blocked {
			list = append(list, quota.Limit{Customer: c.Name, Rate: c.Rate, Burst: c.Burst})
		}
	}
	return list
}

// writeQuotaMetrics writes the counters of the quotas.
func writeQuotaMetrics(b *bytes.Buffer, c quota.Counters) error {
	for _, v := range []struct {
		name  string
		value uint64
	}{
		{"quota_taken_total", c.Taken}, {"quota_refused_total", c.Refused}, {"quota_unanswered_total", c.Unanswered},
		{"quota_token_requests_total", c.Requests}, {"quota_loan_requests_total", c.LoanRequests}, {"quota_loans_total", c.Borrowed},
		{"quota_resets_total", c.Resets},
	} {
		if err := meter.WriteValue(b, v.name, v.value); err != nil {
			return err
		}
	}
	return nil
}
