package retry

import "time"

// QuotaLimits bounds the retries of all VMs together.
type QuotaLimits struct {
	// Ratio is the number of retries per request.
	Ratio float64
	// Slack is the number of retries per Window that are allowed beyond Ratio.
	Slack  float64
	Window time.Duration
}

// quotaUtilization is the fraction of the bounds that is used. The rest is a reserve for short periods in which the VMs
// count requests differently.
const quotaUtilization = 0.7

// Quota is one VM's part of the retries at one service. It is a token bucket: each request adds tokens, and so, slowly,
// does the passage of time. The sum over all VMs stays within the rules in every window. It is not safe for concurrent
// use. The zero value allows no retry. The methods take the number of VMs. With zero, it is unknown: the quota starts with one
// token, and only requests add others.
type Quota struct {
	rules  QuotaLimits
	tokens float64
	// refilledAt is the time of the last refill.
	refilledAt time.Time
}

// NewQuota returns a full quota for one of vms VMs.
func NewQuota(rules QuotaLimits, now time.Time, vms int) *Quota {
	q := &Quota{rules: rules, refilledAt: now}
	q.tokens = q.burst(vms)
	if vms <= 0 {
		q.tokens = 1
	}
	return q
}

// burst returns the capacity in tokens: half of a VM's slack. The other half is refilled within one window.
func (q *Quota) burst(vms int) float64 {
	if vms <= 0 {
		return 0
	}
	return quotaUtilization * q.rules.Slack / float64(vms) / 2
}

// Request adds the tokens of one request and of the time since the last refill.
func (q *Quota) Request(now time.Time, vms int) {
	q.refill(now, vms)
	q.tokens = min(q.tokens+float64(quotaUtilization*q.rules.Ratio), q.burst(vms)+1)
}

// Take takes one token for a retry. It reports false if there is none.
func (q *Quota) Take(now time.Time, vms int) bool {
	q.refill(now, vms)
	if q.tokens < 1 {
		return false
	}
	q.tokens--
	return true
}

func (q *Quota) refill(now time.Time, vms int) {
	if d := now.Sub(q.refilledAt); d > 0 && q.rules.Window > 0 {
		q.tokens = min(q.tokens+q.burst(vms)*float64(d)/float64(q.rules.Window), q.burst(vms)+1)
	}
	q.refilledAt = now
}
