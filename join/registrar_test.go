package join

import (
	"testing"
	"time"
)

// Guards against a VM that no other VM can find, and against all VMs calling the store's list, which cost two calls for
// each start of a process.
func TestDueCalls(t *testing.T) {
	tests := []struct {
		name        string
		alone       bool
		rank        int
		written     bool
		sinceList   time.Duration
		write, list bool
	}{
		{"no heartbeat received", true, 0, false, 0, true, true},
		{"no heartbeat received, listed", true, 0, true, 0, false, true},
		{"registered for its region", false, 2, false, 0, true, false},
		{"registered, list interval over", false, 2, true, listInterval, false, true},
		{"not to be registered", false, 3, false, listInterval, false, false},
	}
	for _, tt := range tests {
		write, list := dueCalls(tt.alone, tt.rank, tt.written, tt.sinceList)
		if write != tt.write || list != tt.list {
			t.Errorf("%s: write %v, list %v, want %v, %v", tt.name, write, list, tt.write, tt.list)
		}
	}
}
