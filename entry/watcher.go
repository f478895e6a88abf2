package entry

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"
	"golang.org/x/sync/errgroup"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/kernel"
	"github.com/currantpier/currantpier/plan"
	"github.com/currantpier/currantpier/sched"
)

// watcher polls the load endpoint of the targets at which this entry has slots. It reports their load, and whether they
// are leaving, to the scheduler.
type watcher struct {
	d  *Daemon
	mu sync.Mutex
	// failing holds the targets whose load endpoint could not be read at the last poll.
	failing map[ident.Target]bool
	// leaving holds the targets that announced at their last poll that they leave.
	leaving map[ident.Target]bool
	// polled is set after the first round that polled the targets of a plan.
	polled atomic.Bool
}

func newWatcher(d *Daemon) *watcher {
	return &watcher{d: d, failing: map[ident.Target]bool{}, leaving: map[ident.Target]bool{}}
}

// watchInterval is the interval between two polls of a target, and the timeout of a poll. Both together keep the time
// from a target's drain notice to the last new request below 3 s.
const watchInterval = time.Second

// Name implements kernel.Service.
func (w *watcher) Name() string { return "watcher" }

// Dump implements kernel.Service.
func (w *watcher) Dump(time.Time) any {
	w.mu.Lock()
	defer w.mu.Unlock()
	failing := make([]ident.Target, 0, len(w.failing))
	for name := range w.failing {
		failing = append(failing, name)
	}
	return map[string][]ident.Target{"failing-targets": failing}
}

// Run polls the targets until ctx is done.
func (w *watcher) Run(ctx context.Context) error {
	t := time.NewTicker(watchInterval)
	defer t.Stop()
	for {
		known := w.d.plan.Load() != nil
		g, groupCtx := errgroup.WithContext(ctx)
		g.SetLimit(16)
		for _, target := range w.targets() {
			g.Go(func() error {
				kernel.Guard(w.d.logger, "poll-target", func() { w.poll(groupCtx, target) })
				return nil
			})
		}
		_ = g.Wait()
		if known {
			w.polled.Store(true)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
}

// targets returns the targets of the plan at which this entry has slots, and those that leave as far as this entry knows.
// The latter have no slots here any more, but only a poll shows that such a target has started anew.
func (w *watcher) targets() []plan.Target {
	t := w.d.plan.Load()
	if t == nil {
		return nil
	}
	granted := map[ident.Target]bool{}
	for _, g := range t.Grants {
		if g.Entry == w.d.self.VM && g.MaxInUse() > 0 {
			granted[g.Target] = true
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	var targets []plan.Target
	for _, target := range t.Targets {
		if granted[target.Name] || w.leaving[target.Name] {
			targets = append(targets, target)
		}
	}
	return targets
}

// loadReport is the JSON body of a target's load endpoint.
type loadReport struct {
	Load    float64 `json:"load"`
	Leaving bool    `json:"leaving"`
}

func (w *watcher) poll(ctx context.Context, target plan.Target) {
	asOf := w.d.clock()
	body, err := w.d.client.Get(target.Address, "/load", watchInterval)
	var r loadReport
	if err == nil {
		err = json.Unmarshal(body, &r)
	}
	w.recordPoll(target.Name, r.Leaving, err)
	if err == nil {
		w.d.sched.RecordReport(ctx, sched.TargetReport{Target: target.Name, Load: r.Load, AsOf: asOf, Leaving: r.Leaving})
	}
}

// recordPoll records the result of a poll. It logs only the first failure and the recovery of an endpoint.
func (w *watcher) recordPoll(name ident.Target, leaving bool, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case err == nil && leaving:
		w.leaving[name] = true
	case err == nil:
		delete(w.leaving, name)
	}
	if (err != nil) == w.failing[name] {
		return
	}
	if err != nil {
		w.failing[name] = true
	} else {
		delete(w.failing, name)
	}
	level.Warn(w.d.logger).Log("event", "target-report", "target", name, "err", err)
}
