package faults

import (
	"fmt"
	"slices"
	"time"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/shift"
)

// entryCount is the number of entries, each of which gets the same part of the origin's traffic.
const entryCount = 12

// follower is the part of shift.WeightLimiter that an entry uses.
type follower interface {
	Set(version ident.Version, weights []shift.Weight) bool
	Weights(now time.Time) []shift.Weight
}

// shiftRun is a shift of traffic from region east to region west, with the publisher's state and a follower per entry.
// A list of versions stands for the store of the plan.
type shiftRun struct {
	sim   *simulation
	state shift.State
	goal  []shift.Weight
	// versions holds the published weights; version n is at index n-1.
	versions  [][]shift.Weight
	followers []follower
	// acked holds the version that each entry acknowledged last. An entry that is cut off can't acknowledge a newer one.
	acked [entryCount]ident.Version
	// cutOffUntil holds the time until which an entry gets no plan. A paused entry gets neither plans nor traffic.
	cutOffUntil map[int]time.Time
	paused      map[int]bool
	// usedShare holds the share of region west that each entry used last.
	usedShare [entryCount]ident.PPM
	// restartedAt is the time of an entry's last restart; zero if there was none.
	restartedAt [entryCount]time.Time
	// canPublish is false while no process publishes.
	canPublish       bool
	measuringStopped bool
	westDown         bool
	// measuredAt is the time of the newest measurement; it stays the same while measuringStopped is set.
	measuredAt time.Time
	// moved holds the share that moved at each sample without the part in movedByRestarted, which is that of entries in
	// the first minute after a restart. shares holds the share of region west.
	moved, movedByRestarted, shares series
}

var shiftProtocol = protocol{name: "capped shift and followers", checks: []check{withinCap, withinSlots}, slow: true,
	start: startShift}

func startShift(sim *simulation) *scenario {
	r := &shiftRun{sim: sim, goal: mostlyWest, state: shift.State{Weights: allEast}, canPublish: true,
		cutOffUntil: map[int]time.Time{}, paused: map[int]bool{}}
	r.versions = [][]shift.Weight{allEast}
	for range entryCount {
		r.followers = append(r.followers, wrapFollower(sim, shift.NewWeightLimiter(shiftRules.Cap)))
	}
	r.deliver()
	var steps []step
	for _, name := range []string{"first step", "second step", "third step", "fourth step"} {
		steps = append(steps, step{"publish the " + name, r.publish}, step{"deliver the " + name, r.deliver},
			step{"follow the " + name, func() { r.advance(16 * time.Second) }})
	}
	steps = append(steps, step{"missed versions arrive", r.reconnect},

		step{"another minute", func() { r.advance(time.Minute) }})
	return &scenario{
		steps: steps,
		inject: map[fault]func(){
			measurementsStop: func() { r.measuringStopped = true },
			processDies:      r.restart,
			regionFails:      func() { r.westDown = true },
			storeDown:        func() { r.canPublish = false },
			storeSlow:        func() { r.canPublish = sim.randomBool() },
			pausedHolder:     func() { r.paused[0], r.canPublish = true, sim.randomBool() },
			operatorConflict: func() {
				r.goal = allEast
				r.publish()
				r.goal = mostlyWest
			},
			// An entry is without plans for up to 15 s: a long poll of 10 s has to end on the silent connection, and the
			// next exchange with a random peer comes within 5 s.
			silentConnection: func() {
				for i := range 4 {
					r.cutOffUntil[i] = sim.now.Add(15 * time.Second)
				}
			},
		},
		notApplicable: map[fault]string{answerLost: "a plan that is read back is the same plan; see lease and plan publication"},
		finish:        r.finish,
	}
}

// restart replaces the processes of two entries. The new ones get the newest plan from their peers.
func (r *shiftRun) restart() {
	for i := range 2 {
		r.followers[i] = wrapFollower(r.sim, shift.NewWeightLimiter(shiftRules.Cap))
		r.restartedAt[i] = r.sim.now
		delete(r.cutOffUntil, i)
		r.setVersion(i, len(r.versions))
		r.unpause(i)
	}
	r.sample()
}

// unpause resumes a paused entry. Its traffic returns because callers choose it again, so it does not count as moved.
func (r *shiftRun) unpause(i int) {
	if r.paused[i] {
		delete(r.paused, i)
		r.usedShare[i] = westShare(r.followers[i].Weights(r.sim.now))
	}
}

// publish makes the next step of the shift once all live entries have applied the last one.
func (r *shiftRun) publish() {
	if !r.measuringStopped {
		r.measuredAt = r.sim.now
	}
	if !r.canPublish || !shift.Applied(ident.Version(len(r.versions)), r.liveAcks()) {
		return
	}
	headroom := []shift.Headroom{{Region: "east", Slots: 60, Used: 50, At: r.measuredAt, Local: true}}
	if !r.westDown {
		headroom = append(headroom, shift.Headroom{
			Region: "west", Slots: 40, Used: r.westLoad(), At: r.measuredAt, Link: 1000, LinkAt: r.measuredAt,
		})
	}
	next, reason := shift.NextStep(shiftRules, r.state, r.goal, headroom,
		shift.MeasuredTraffic{Slots: 50, Mbps: 10, At: r.measuredAt}, r.sim.now)
	r.sim.logf("publisher: %v, %d ppm in west", reason, westShare(next.State.Weights))
	if reason == shift.Stepped {
		r.state = next.State
		r.versions = append(r.versions, next.State.Weights)
	}
}

// liveAcks returns the versions that the live entries have acknowledged. A paused entry is not on the list of live ones.
func (r *shiftRun) liveAcks() []ident.Version {
	var acked []ident.Version
	for i, v := range r.acked {
		if !r.paused[i] {
			acked = append(acked, v)
		}
	}
	return acked
}

// westLoad returns the load of region west in slots: its own traffic of 10 and the traffic shifted there. Traffic that
// arrived in the last two minutes counts twice because of cold caches.
func (r *shiftRun) westLoad() float64 {
	share := r.share()
	warm := share
	for i := len(r.shares.at) - 1; i >= 0 && r.sim.now.Sub(r.shares.at[i]) <= 2*time.Minute; i-- {
		warm = min(warm, r.shares.value[i])
	}
	return 10 + float64(share+share-warm)/1e6*50
}

// share returns the share of the origin's traffic that the entries send to region west.
func (r *shiftRun) share() ident.PPM {
	var sum ident.PPM
	for i, share := range r.usedShare {
		if !r.paused[i] {
			sum += share
		}
	}
	return sum / ident.PPM(entryCount-len(r.paused))
}

// deliver gives the newest version to every entry that is neither paused nor cut off.
func (r *shiftRun) deliver() {
	for i := range r.followers {
		if !r.paused[i] && !r.sim.now.Before(r.cutOffUntil[i]) {
			r.setVersion(i, len(r.versions))
		}
	}
	r.sample()
}

// setVersion delivers a version to an entry and after it the previous one, as from a peer that lags behind.
func (r *shiftRun) setVersion(i, version int) {
	r.followers[i].Set(ident.Version(version), r.versions[version-1])
	r.acked[i] = ident.Version(version)
	if version > 1 {
		r.followers[i].Set(ident.Version(version-1), r.versions[version-2])
	}
}

// reconnect ends all pauses and interruptions and delivers the newest version.
func (r *shiftRun) reconnect() {
	clear(r.cutOffUntil)
	for i := range r.followers {
		r.unpause(i)
	}
	r.deliver()
}

// advance moves the clock in steps of 2 s and publishes a plan every 6 s.
func (r *shiftRun) advance(d time.Duration) {
	for i := range int(d / (2 * time.Second)) {
		r.sim.now = r.sim.now.Add(2 * time.Second)
		if i%3 == 2 {
			r.publish()
			r.deliver()
		}
		r.sample()
	}
}

// sample records the share that each entry uses and checks the load of region west. Traffic moved in the first minute
// after a restart is recorded separately, since the new process does not know how much the old one moved.
func (r *shiftRun) sample() {
	var moved, movedByRestarted ident.PPM
	for i, f := range r.followers {
		if r.paused[i] {
			continue
		}
		share := westShare(f.Weights(r.sim.now))
		d := max(share-r.usedShare[i], r.usedShare[i]-share)
		r.usedShare[i] = share
		if !r.restartedAt[i].IsZero() && r.sim.now.Sub(r.restartedAt[i]) < time.Minute {
			movedByRestarted += d
		} else {
			moved += d
		}
	}
	r.moved.add(r.sim.now, moved/entryCount)
	r.movedByRestarted.add(r.sim.now, movedByRestarted/entryCount)
	r.shares.add(r.sim.now, r.share())
	r.sim.ensure(withinSlots, r.westLoad() <= 40, "region west has 40 slots and a load of %.1f", r.westLoad())
}

func (r *shiftRun) finish() string {
	r.measuringStopped, r.canPublish = false, true
	r.reconnect()
	r.advance(time.Minute)
	r.moved.checkCap(r.sim, withinCap)
	all := series{append(r.moved.at, r.movedByRestarted.at...), append(r.moved.value, r.movedByRestarted.value...)}
	all.checkCap(r.sim, restartWithinCap)
	moving := !slices.Equal(r.state.Weights, r.goal)
	switch {
	case westShare(r.state.Weights) == 0:
		return "nothing moved"
	case moving:
		return fmt.Sprintf("holds at %d%%", r.share()/10_000)
	}
	return "reached its goal"
}
