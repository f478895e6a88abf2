package faults

import (
	"strings"
	"testing"
	"time"

	"github.com/currantpier/currantpier/drain"
)

const header = `# Fault matrix

This page is written by ` + "`go test ./faults -run TestMatrix -update`" + `, and the test fails when it is out of date. Each row is a
fault of section 1.4 of ` + "`design.md`" + ` that starts just before a step of a protocol, over the shipped decision functions
with a fake clock, a seeded source and an in-memory store. Faults of the store, and measurements that stop, last until
the end of the run. Then everything that is under way arrives, and the checks are made again. Steps in a row that are
observed to end alike share a line. The rows of pairs cover every two places of the two faults in that order. "Observed"
lists the different ends of the runs with different seeds and places.
`

const knownIntro = "Checks that report a fault which is not mended yet. Rows with a breach above are those of these checks.\n"

const breaksIntro = "Each decision here is broken on purpose by a wrapper in the test. `TestBreaks` fails if the check does not report it.\n"

// notProved lists what the runs don't cover. It is the last section of the page.
var notProved = []string{
	"The I/O around the decisions: `store.Client`, `send`, `front`, `node.Sync`, `entry` and `steer` run in the process " +
		"tests only. Their order of calls is repeated here by hand for the journal, `steer.apply`, the planner's fence, " +
		"loans and retries.",
	"`admit`, `member`, `lookup`, `lists` and `local` have no protocol of their own here. VMs that are taken for dead by " +
		"mistake appear as a paused holder.",
	"Three faults at once, and pairs that are not listed above.",
	"That a connection with a late answer is closed and not reused: that is the task of `send`. R3 is checked for the " +
		"record of orders and for the number of the attempt alone.",
	"Clocks that run at different rates or are set back. The tests of `lease` and `once` have them.",
	"A target that reports misleading values on its load endpoint, in particular one that takes a notice back.",
	"An entry that gets no plan for more than 15 s while its measurements arrive. The publisher would take the share that " +
		"the entry has not moved yet for headroom.",
	"A restarted entry that gets an older plan from its peers than its predecessor had acknowledged. `share.Holder.RequireVersion` " +
		"is made for it, and no daemon calls it.",
	"Loss of the connection between regions; here it appears as silent connections and as failed regions.",
	"More than three entries per target, twelve VMs per cluster and twelve followers per shift.",
	"Time: 2 s and 3 s are by the fake clock, with at most 200 ms per call between VMs.",
	"Overload by demand. R2 is checked for slots and for the load that a shift brings.",
	"The rate of retries over many requests; only the number of attempts of one request is checked.",
}

// requireNoBreach runs a protocol with one or two faults before every step or pair of steps, and fails the test at the
// first run that breaches the check.
func requireNoBreach(t *testing.T, p protocol, c check, faults ...fault) {
	t.Helper()
	steps := len(p.start(newSimulation(0, "")).steps)
	for i := range steps {
		for j := i; j < steps; j++ {
			injections := []injection{{faults[0], i}}
			if len(faults) > 1 {
				injections = append(injections, injection{faults[1], j})
			}
			if sim, _ := run(p, 0, "", injections...); sim.breached(c) {
				t.Fatalf("%s, seed 0, faults before steps %d and %d: %s\n%s", p.name, i+1, j+1, c, strings.Join(sim.trace, "\n"))
			}
		}
	}
}

// Guards against a restarted lender that uses a slot lent before the restart, so that the target gets more requests
// than it has slots.
func TestRestartedLender(t *testing.T) {
	requireNoBreach(t, shareProtocol, loanSurvivesRestart, processDies)
}

// Guards against an entry that missed plans, restarts and adopts the newest weights at once, so that more traffic than
// the cap allows moves in a minute.
func TestRestartedFollower(t *testing.T) {
	requireNoBreach(t, shiftProtocol, restartWithinCap, silentConnection, processDies)
}

// Guards against a restarted entry that sends new work to a leaving target: the previous process received the notice,
// and the store is down, so that no plan can mark the target as leaving.
func TestRestartedEntry(t *testing.T) {
	requireNoBreach(t, leavingProtocol, leavingGetsNoWork, storeDown, processDies)
}

// Guards against an accepted configuration that only the accepting process holds. If that process dies during a store
// outage, the configuration is in force nowhere until the store is back.
func TestAcceptingProcessEnds(t *testing.T) {
	requireNoBreach(t, configProtocol, acceptSurvivesCrash, processDies, storeDown)
}

// Guards against a stop that exits with a request in progress. An entry counts its requests before it starts to refuse
// new ones, so a request admitted in between is first counted while the final records are written.
func TestStopWithLateRequest(t *testing.T) {
	sim := newSimulation(0, "")
	s := drain.NewStop(lookupTTL, time.Minute)
	s.HandleSignal(sim.now)
	sim.now = sim.now.Add(lookupTTL + time.Second)
	before := s.Advance(sim.now, 0, false)
	if after := s.Advance(sim.now, 1, true); after == drain.Exit {
		t.Errorf("%s: phase %v after %v with one request in progress", stopAwaitsLateRequest, after, before)
	}
}
