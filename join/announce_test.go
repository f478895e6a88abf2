package join

import (
	"testing"
	"time"
)

// Each case guards against a VM that nobody can find, or against all VMs that call the store for the list: it cost two calls
// for each start of a process.
func TestAnnounceDue(t *testing.T) {
	tests := []struct {
		name        string
		alone       bool
		rank        int
		written     bool
		sinceList   time.Duration
		write, list bool
	}{
		{"knows nobody", true, 0, false, 0, true, true},
		{"knows nobody, is listed", true, 0, true, 0, false, true},
		{"one of the first of its region", false, 2, false, 0, true, false},
		{"one of the first, later", false, 2, true, listEvery, false, true},
		{"introduced by others", false, 3, false, listEvery, false, false},
	}
	for _, tt := range tests {
		write, list := announceDue(tt.alone, tt.rank, tt.written, tt.sinceList)
		if write != tt.write || list != tt.list {
			t.Errorf("%s: write %v, list %v, want %v, %v", tt.name, write, list, tt.write, tt.list)
		}
	}
}
