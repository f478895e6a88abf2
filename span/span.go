// Package span measures times between two readings of the clock.
package span

import "time"

// Elapsed returns the time between two clock readings, including any suspension of the machine. During a suspension the
// monotonic clock stands still while the wall clock advances, so the larger difference is used.
func Elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}
