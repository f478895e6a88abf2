package join

import (
	"context"
	"testing"
	"time"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/proto"
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

// eraDirectory is a list in a store of the given era that counts the entries written.
type eraDirectory struct {
	Directory
	era     ident.Era
	written int
}

func (d *eraDirectory) Register(context.Context, proto.VMInfo) (ident.Era, error) {
	d.written++
	return d.era, nil
}

// Guards against a VM that no other VM can find, because a restored store has lost its entry in the list.
func TestRegistrarWritesAgainAfterRestore(t *testing.T) {
	d := &eraDirectory{era: 1}
	known := ident.Era(1)
	a := &Registrar{Directory: d, Era: func() ident.Era { return known }}
	for _, step := range []struct {
		known, era ident.Era
		written    int
	}{{0, 1, 1}, {1, 1, 1}, {1, 1, 1}, {2, 2, 2}, {2, 2, 2}, {4, 4, 3}, {4, 4, 3}} {
		known, d.era = step.known, step.era
		if err := a.callDirectory(t.Context(), a.writeDue(), false); err != nil || d.written != step.written {
			t.Errorf("era %d: written %d times, want %d, error %v", step.era, d.written, step.written, err)
		}
	}
}

// Guards against a VM that writes its entry in the list every two seconds, because the store doesn't state an era and that of the
// state is then the first.
func TestRegistrarInStoreWithoutEras(t *testing.T) {
	d := &eraDirectory{}
	a := &Registrar{Directory: d, Era: func() ident.Era { return ident.FirstEra }}
	for range 3 {
		if err := a.callDirectory(t.Context(), a.writeDue(), false); err != nil || d.written != 1 {
			t.Errorf("written %d times, want 1, error %v", d.written, err)
		}
	}
}
