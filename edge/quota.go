package edge

import (
	"bytes"

	"github.com/currantpier/currantpier/meter"
	"github.com/currantpier/currantpier/quota"
)

// quotaLimits returns the limits of the customers in the configuration in force. It returns none until fleet.Config has
// customers: this is the only place that takes the limits from the configuration.
func (n *Node) quotaLimits() []quota.Limit {
	return nil
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
