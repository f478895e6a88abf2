package carry

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// Guards against requests to further holders of a hot object that an operator can't see, and against holders that are used although
// the deployment doesn't call for them. The targets respond when all requests have arrived, so that the first one fills up.
func TestFurtherHoldersAreCounted(t *testing.T) {
	const requests = 20
	for _, on := range []bool{false, true} {
		var arrived, done sync.WaitGroup
		arrived.Add(requests)
		respondLast := func(nc net.Conn, n int, r *http.Request) bool {
			arrived.Done()
			arrived.Wait()
			return respondOK(nc, n, r)
		}
		c := newForwarderFor(t, true, 5*time.Second, newFakeTarget(t, respondLast), newFakeTarget(t, respondLast))
		if on {
			s := c.Snapshot()
			c = New(Config{Headers: testHeaders, VM: "vm", Log: c.log, Clock: time.Now, MaxResponseMemory: 4 << 20, Quota: c.quota, Holders: true})
			c.Update(time.Now(), s)
		}
		c.Snapshot().Config.Routes[0].Affinity = true
		c.SetCallerShare(1.0 / 1_000_000)
		for i := range requests {
			r := newRequest(t, fmt.Sprintf("Id: %d\r\nKey: hot\r\n", i))
			done.Go(func() {
				if a := c.Handle(t.Context(), r, time.Now()); a.Status != http.StatusOK {
					t.Errorf("status %d", a.Status)
				}
			})
		}
		done.Wait()
		sends, hot := c.Counters.FurtherHolderSends.Load(), c.Dump(time.Now()).HotObjects
		if on && (sends == 0 || len(hot) != 1 || len(hot[0].Holders) != 2 || hot[0].Route != "r") || !on && (sends > 0 || hot != nil) {
			t.Errorf("holders %v: %d sends to further holders, hot objects %+v", on, sends, hot)
		}
	}
}
