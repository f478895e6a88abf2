package shift

import (
	"testing"
	"time"
)

// A link of 10 Mbit/s has repaid 3 Mbit after 300 ms. Guards against a product and a sum that are fused into one rounding, as the
// compiler does on arm64: the credit then is just below zero there, and an entry refuses a request that others allow.
func TestCreditIsRoundedAlikeOnAllMachines(t *testing.T) {
	var l LinkLimiter
	now := time.Unix(1000, 0)
	l.SetLimit(now, 10, 1, 1)
	l.Charge(now, 3_000_000/8)
	if l.Allow(now.Add(299 * time.Millisecond)) {
		t.Error("a request is allowed before the debt is repaid")
	}
	l = LinkLimiter{}
	l.SetLimit(now, 10, 1, 1)
	l.Charge(now, 3_000_000/8)
	if now = now.Add(300 * time.Millisecond); !l.Allow(now) {
		t.Errorf("no request is allowed with a credit of %g bits", l.creditBits)
	}
}
