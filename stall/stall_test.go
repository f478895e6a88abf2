package stall

import (
	"testing"
	"time"
)

// Guards against an answer that is given up although it arrives at MinRate, and against a wait without a bound for one that
// arrives in drops or not at all.
func TestPatience(t *testing.T) {
	const quiet = time.Second
	for _, tt := range []struct {
		name     string
		elapsed  time.Duration
		received int
		want     time.Duration
	}{
		{"begun", 0, 1, quiet},
		{"at the least rate", time.Minute, 60 * MinRate, quiet},
		{"above the least rate", time.Minute, 120 * MinRate, quiet},
		{"below the least rate for a while", 2500 * time.Millisecond, 2 * MinRate, 500 * time.Millisecond},
		{"below the least rate", 10 * time.Second, MinRate, 0},
		{"in drops", 900 * time.Millisecond, MinRate / 100, 110 * time.Millisecond},
	} {
		if got := patience(tt.elapsed, tt.received, quiet).Round(time.Millisecond); got != tt.want {
			t.Errorf("%s: %v, want %v", tt.name, got, tt.want)
		}
	}
}
