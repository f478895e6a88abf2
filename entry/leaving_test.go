package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/node"
	"github.com/currantpier/currantpier/plan"
	"github.com/currantpier/currantpier/sched"
	"github.com/currantpier/currantpier/send"
)

// Guards against a target that gets no requests for good after it has announced that it leaves and has started anew under
// its name: its slots were taken from all entries, and an entry without slots at it did not poll it.
func TestReturnedTargetIsNoticed(t *testing.T) {
	var leaving atomic.Bool
	leaving.Store(true)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(w, `{"load":0.5,"leaving":%v}`, leaving.Load())
	}))
	defer srv.Close()
	d := &Daemon{
		self: node.Self{VM: "a"}, clock: time.Now, logger: log.NewNopLogger(), metrics: metrics.NewRegistry(),
		client: send.New(1<<20, time.Now),
	}
	d.sched = sched.New("a", ident.Place{}, rand.NewPCG(1, 1), d.metrics, d.clock)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- d.sched.Run(ctx) }()
	w := newWatcher(d)
	target := plan.Target{Name: "t", Service: "s", Slots: 1, Address: srv.Listener.Addr().String()}
	pollAll := func() (reported int) {
		for _, target := range w.targets() {
			w.poll(ctx, target)
		}
		st, _ := d.sched.Status(ctx, false)
		return len(st.Leaving)
	}
	d.plan.Store(&plan.TrafficPlan{Targets: []plan.Target{target}, Grants: []plan.Grant{{Target: "t", Entry: "a", Slots: 1}}})
	if pollAll() != 1 {
		t.Error("a leaving target is not reported")
	}
	target.Leaving = true
	d.plan.Store(&plan.TrafficPlan{Targets: []plan.Target{target}})
	if pollAll() != 1 {
		t.Error("a leaving target is not reported after its slots were taken away")
	}
	leaving.Store(false)
	if pollAll() != 0 {
		t.Error("a target that has returned is still reported as leaving")
	}
	if targets := w.targets(); len(targets) != 0 {
		t.Errorf("targets without slots here are polled: %v", targets)
	}
	cancel()
	<-ended
}
