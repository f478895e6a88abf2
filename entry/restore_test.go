package entry

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/currantpier/currantpier/config"
	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/node"
	"github.com/currantpier/currantpier/store"
	"github.com/currantpier/currantpier/stubs"
)

// Guards against slots that a process lends while loans of its predecessor are still in use, because the store has lost
// the row that shows that the predecessor ran: the restored row is of an earlier process that stopped as planned, or
// there is none.
func TestCrashOfLostProcessRow(t *testing.T) {
	for _, stoppedBefore := range []bool{true, false} {
		platform := stubs.NewPlatform(time.Now, 0)
		srv := httptest.NewServer(platform)
		t.Cleanup(srv.Close)
		client := store.New(srv.URL)
		var inc ident.Incarnation
		start := func() (*Daemon, bool) {
			inc++
			d := &Daemon{
				self: node.Self{VM: "a", Incarnation: inc}, store: client, logger: log.NewNopLogger(),
				cfg: &config.Settings{},
			}
			d.cfg.Store.Timeout = time.Second
			return d, (&applier{d: d}).predecessorCrashed(t.Context())
		}
		if stoppedBefore {
			d, crashed := start()
			d.recordStop(t.Context())
			if crashed {
				t.Error("the first process of a VM assumes a crash")
			}
		}
		platform.Save()
		if _, crashed := start(); crashed {
			t.Error("a process assumes a crash after a planned stop")
		}
		platform.Restore()
		d, crashed := start()
		if !crashed {
			t.Errorf("stopped before %v: a process does not notice the crash of a predecessor whose row is lost", stoppedBefore)
		}
		d.recordStop(t.Context())
		if _, crashed = start(); crashed {
			t.Error("a process assumes a crash after a planned stop in the new era")
		}
		if _, crashed = start(); !crashed {
			t.Error("a process does not notice the crash of its predecessor in the new era")
		}
	}
}
