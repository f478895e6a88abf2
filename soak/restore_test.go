package soak

import (
	"syscall"
	"testing"
	"time"
)

// configTimeout is the time within which a confirmed configuration must be in force on all VMs.
const configTimeout = 2500 * time.Millisecond

// Guards against VMs that take an older configuration back from a store that was restored from an earlier copy, or that don't
// follow the changes after the restore, whose versions are lower than those that they know.
func TestRestoredStore(t *testing.T) {
	tc := startCluster(t, 3)
	earlier := tc.store.Copy()
	for _, service := range []string{"desk", "shop", "desk"} {
		tc.configure(service)
		tc.awaitConfig(t, service, configTimeout)
	}
	tc.store.Restore(earlier)
	for _, v := range tc.vms {
		tc.eventually(configTimeout, v.name+" notices the restore", func() bool { return v.logged("event=store-restored") })
	}
	for _, v := range tc.vms {
		if !tc.moveIsServedBy(v, "desk") {
			t.Errorf("%s has taken an earlier configuration back", v.name)
		}
	}
	tc.configure("shop")
	tc.awaitConfig(t, "shop", configTimeout)
}

// Guards against a VM that starts after the store was restored from an earlier copy, and serves the older configuration of
// that copy until the operators have written the newest one again.
func TestStartAfterRestore(t *testing.T) {
	tc := startCluster(t, 3)
	earlier := tc.store.Copy()
	tc.configure("desk")
	tc.awaitConfig(t, "desk", configTimeout)
	tc.store.Restore(earlier)
	v := tc.vms[1]
	v.signal(syscall.SIGKILL)
	<-v.exited
	v.start()
	tc.eventually(5*time.Second, "the VM is ready", v.ready)
	tc.awaitConfig(t, "desk", configTimeout)
}
