package retry

import (
	"testing"
	"time"
)

// Guards against more retries in any window of 10 s, summed over all VMs, than the platform allows: 0.2 per request
// plus 64.
func TestQuotaBoundsSumOverVMs(t *testing.T) {
	rules := QuotaLimits{Ratio: 0.2, Slack: 64, Window: 10 * time.Second}
	begin := time.Unix(1000, 0)
	for _, tt := range []struct {
		name      string
		vms       int
		perSecond int // requests at each VM
		known     int // VMs that each VM counts, zero without a quorum
	}{
		{"12 idle VMs", 12, 0, 12}, {"12 VMs", 12, 50, 12}, {"85 VMs", 85, 25, 85}, {"one VM", 1, 600, 1},
		{"12 idle VMs that never met", 12, 0, 0}, {"12 VMs that never met", 12, 50, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			quotas := make([]*Quota, tt.vms)
			for i := range quotas {
				quotas[i] = NewQuota(rules, begin, tt.known)
			}
			const seconds = 40
			var taken, requests [seconds]int
			for s := range seconds {
				for step := range 100 {
					now := begin.Add(time.Duration(s)*time.Second + time.Duration(step)*10*time.Millisecond)
					for _, q := range quotas {
						if tt.perSecond > 0 && step%(max(100/tt.perSecond, 1)) == 0 {
							q.Request(now, tt.known)
							requests[s]++
						}
						for q.Take(now, tt.known) {
							taken[s]++
						}
					}
				}
			}
			total := 0
			for s := 0; s+10 <= seconds; s++ {
				n, r := 0, 0
				for i := s; i < s+10; i++ {
					n += taken[i]
					r += requests[i]
				}
				total += n
				if most := 0.2*float64(r) + 64; float64(n) > most {
					t.Fatalf("%d retries in 10 s from second %d, limit %.0f", n, s, most)
				}
			}
			if tt.perSecond > 0 && total == 0 {
				t.Error("no retry was allowed")
			}
		})
	}
	if new(Quota).Take(begin, 1) {
		t.Error("the zero value allows a retry")
	}
}
