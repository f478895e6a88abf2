package retry

import "time"

// QuotaRules are the bounds of further attempts for all VMs together.
type QuotaRules struct {
	// Ratio is the number of further attempts per request.
	Ratio float64
	// Slack is the number of further attempts in Window that is allowed beyond Ratio.
	Slack  float64
	Window time.Duration
}

// quotaFill is the part of the bounds that is used. The rest covers VMs that count requests differently for a moment.
const quotaFill = 0.7

// Quota is one VM's part of the further attempts at one service. It is a token bucket: tokens come with requests and,
// slowly, with time, so that their sum over all VMs stays within the rules in every window. It is not safe for
// concurrent use. The zero value allows nothing.
type Quota struct {
	rules  QuotaRules
	tokens float64
	// at is the time of the last use.
	at time.Time
}

// NewQuota returns a quota that is full for one of vms VMs.
func NewQuota(rules QuotaRules, now time.Time, vms int) *Quota {
	q := &Quota{rules: rules, at: now}
	q.tokens = q.burst(vms)
	return q
}

// burst is the largest number of tokens. Half of a VM's slack may be used at once, and the other half comes back within
// one window.
func (q *Quota) burst(vms int) float64 {
	return quotaFill * q.rules.Slack / float64(max(vms, 1)) / 2
}

// Request adds the tokens of one request and of the time since the last call.
func (q *Quota) Request(now time.Time, vms int) {
	q.refill(now, vms)
	q.tokens = min(q.tokens+quotaFill*q.rules.Ratio, q.burst(vms)+1)
}

// Take takes one token. It reports false if there is none.
func (q *Quota) Take(now time.Time, vms int) bool {
	q.refill(now, vms)
	if q.tokens < 1 {
		return false
	}
	q.tokens--
	return true
}

func (q *Quota) refill(now time.Time, vms int) {
	if d := now.Sub(q.at); d > 0 && q.rules.Window > 0 {
		q.tokens = min(q.tokens+q.burst(vms)*float64(d)/float64(q.rules.Window), q.burst(vms)+1)
	}
	q.at = now
}
