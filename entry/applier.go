package entry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-kit/log/level"

	"github.com/currantpier/currantpier/front"
	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/kernel"
	"github.com/currantpier/currantpier/lists"
	"github.com/currantpier/currantpier/relay"
)

// applier applies new documents and changes of the membership to the other services.
type applier struct {
	d *Daemon
	// configVersion is the version of the configuration that was applied last, with configLive live entries. planLive
	// is the number of live entries with which the plan was applied last. They are kept so that nothing is decoded and
	// applied again without a change.
	configVersion        ident.Version
	configLive, planLive int
}

// Name implements kernel.Service.
func (a *applier) Name() string { return "applier" }

// Dump implements kernel.Service.
func (a *applier) Dump(time.Time) any {
	return struct {
		Waiting int  `json:"documents-waiting"`
		Leaving bool `json:"leaving"`
	}{len(a.d.documents), a.d.isLeaving()}
}

// Run applies changes until ctx is done. It also reads the documents in force once a second, so that a dropped wake-up
// delays a change by at most that.
func (a *applier) Run(ctx context.Context) error {
	if a.predecessorCrashed(ctx) {
		level.Warn(a.d.logger).Log("event", "predecessor-crashed")
		a.d.sched.SuspendForOldLoans(ctx, a.d.clock())
	}
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for {
		kernel.Guard(a.d.logger, "apply-config", func() { a.applyConfig(ctx, a.d.sync.Current(relay.Config)) })
		kernel.Guard(a.d.logger, "apply-plan", func() { a.applyPlan(ctx, a.d.sync.Current(relay.Plan), false) })
		kernel.Guard(a.d.logger, "apply-members", func() {
			a.updateDirectory()
			a.updateReadiness()
		})
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-a.d.documents:
		case <-a.d.members.Changed():
		case <-a.d.sched.Paused():
			kernel.Guard(a.d.logger, "after-pause", func() { a.afterPause(ctx) })
		case <-t.C:
		}
	}
}

// processKey returns the key of the table row that records whether an entry process runs on vm.
func processKey(vm ident.VM) string { return "entry/" + string(vm) }

// processRow is the JSON value of that row. Stopped is set at the end of a planned stop and stays false after a crash.
type processRow struct {
	Incarnation ident.Incarnation `json:"incarnation"`
	Stopped     bool              `json:"stopped"`
	// Era is the era of the store in which the row was written; zero if not known.
	Era ident.Era `json:"era,omitempty"`
}

// predecessorCrashed writes the row of this process and reports whether the previous process on this VM ended without
// completing a planned stop. It assumes a crash if the row can't be read, and if the store may have lost the row of a
// later process: the row, or its absence, is of an earlier era.
func (a *applier) predecessorCrashed(ctx context.Context) bool {
	row, err := a.d.store.Get(ctx, processKey(a.d.self.VM))
	if err != nil {
		return true
	}
	var before processRow
	if row.Version != 0 && json.Unmarshal(row.Value, &before) != nil {
		return true
	}
	a.d.writeProcessRow(ctx, row, false)
	mayBeLost := row.Era > ident.FirstEra && before.Era != row.Era
	return mayBeLost || row.Version != 0 && !before.Stopped
}

// afterPause confirms the plan after this process was paused, and restores its grants. If that fails, the scheduler
// keeps the grants void and signals Paused again.
func (a *applier) afterPause(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	confirmed := a.d.sync.ConfirmPlan(callCtx)
	level.Warn(a.d.logger).Log("event", "paused", "plan-confirmed", confirmed)
	if confirmed {
		a.applyPlan(ctx, a.d.sync.Current(relay.Plan), true)
	}
}

// confirmTimeout bounds the confirmation of the plan after a pause.
const confirmTimeout = 3 * time.Second

// applyConfig applies a configuration if it or the number of live entries has changed.
func (a *applier) applyConfig(ctx context.Context, doc relay.Document) {
	live := a.d.liveEntries()
	if doc.Version == 0 || doc.Version == a.configVersion && live == a.configLive {
		return
	}
	c, err := lists.Decode(doc.Body)
	if err != nil {
		level.Error(a.d.logger).Log("event", "bad-document", "kind", "config", "version", doc.Version, "err", err)
		return
	}
	c.Version = doc.Version
	a.d.front.SetConfig(&c)
	if a.d.sched.SetConfig(ctx, &c, live) {
		a.configVersion, a.configLive = doc.Version, live
	}
}

// applyPlan applies a traffic plan if it or the number of live entries has changed, or if confirmed is set. confirmed
// states that the plan was read again after a pause.
func (a *applier) applyPlan(ctx context.Context, doc relay.Document, confirmed bool) {
	// Before Ready, the plan may be older than the newest one. It may grant slots that the previous process on this VM
	// has given up.
	if doc.Version == 0 || !a.d.sync.Ready() {
		return
	}
	t := a.d.plan.Load()
	if t != nil && t.Version == doc.Version && !confirmed && a.d.liveEntries() == a.planLive {
		return
	}
	if t == nil || t.Version != doc.Version {
		decoded, err := decodePlan(doc)
		if err != nil {
			level.Error(a.d.logger).Log("event", "bad-document", "kind", "plan", "version", doc.Version, "err", err)
			return
		}
		t = decoded
		a.d.plan.Store(t)
	}
	a.planLive = a.d.liveEntries()
	for _, target := range t.Targets {
		// The connections that a target accepts are divided evenly among the live entries. Connections for orders are
		// not counted, since each order opens one of its own.
		a.d.client.SetMaxConnections(target.Address, int(target.MaxConnections)/a.d.liveEntries())
	}
	a.d.sched.SetPlan(ctx, t, confirmed)
}

// updateDirectory gives the front the current members and client blocks.
func (a *applier) updateDirectory() {
	a.d.front.SetDirectory(front.NewDirectory(a.d.members.Snapshot(), a.d.blocks.Load()))
}

// updateReadiness gives the front the first reason that holds for refusing requests, or none.
func (a *applier) updateReadiness() {
	switch {
	case a.d.isLeaving():
		// The planned stop decides when requests are refused.
	case !a.d.sync.Ready():
		a.d.front.SetNotReady("the newest configuration and plan are not known yet")
	case a.d.sync.Current(relay.Config).Version == 0:
		a.d.front.SetNotReady("no configuration was accepted yet")
	case a.d.sync.Current(relay.Plan).Version == 0:
		a.d.front.SetNotReady("no traffic plan was published yet")
	case !a.d.watcher.polled.Load():
		// Before the first poll, this process does not know which targets are leaving and would send them new requests.
		a.d.front.SetNotReady("the targets were not polled yet")
	default:
		a.d.front.SetNotReady("")
	}
}
