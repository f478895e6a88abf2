package share

import (
	"testing"
	"time"
	"unsafe"
)

// afterSuspension returns now after the machine was suspended for d: only the wall clock has advanced. It adds to the
// seconds of a time.Time that has a monotonic reading, since no function of package time does.
func afterSuspension(now time.Time, d time.Duration) time.Time {
	const secondsShift = 30 // the low bits of the first word hold the nanoseconds
	*(*uint64)(unsafe.Pointer(&now)) += uint64(d/time.Second) << secondsShift
	return now
}

// A VM is suspended, as when it is moved to another host. Guards against using slots that were granted to others meanwhile:
// the monotonic clock, by which an interval is measured, does not advance.
func TestSuspensionVoidsGrants(t *testing.T) {
	now := time.Now()
	h := NewHolder("a")
	h.Apply(now, []Grant{{Target: "t", Entry: "a", Slots: 1}}, 1)
	resumed := afterSuspension(now, 2*DeadAfter)
	if resumed.Sub(now) != 0 || resumed.Round(0).Sub(now.Round(0)) != 2*DeadAfter {
		t.Fatalf("elapsed: %v monotonic, %v by the wall clock", resumed.Sub(now), resumed.Round(0).Sub(now.Round(0)))
	}
	if h.TryTake(resumed, "t") {
		t.Error("a slot is taken after a suspension")
	}
	h.Apply(resumed, []Grant{{Target: "t", Entry: "a", Slots: 1}}, 1)
	if !h.TryTake(resumed, "t") {
		t.Error("no slot after the plan was confirmed")
	}
}
