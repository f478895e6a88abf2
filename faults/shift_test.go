package faults

import (
	"fmt"
	"slices"
	"time"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/shift"
)

// entries is the number of entries that share the traffic of the origin evenly.
const entries = 12

// follower is the part of shift.Follower that an entry uses.
type follower interface {
	Set(version ident.Version, weights []shift.Weight) bool
	Weights(now time.Time) []shift.Weight
}

// shiftRun is a shift of the traffic of region east to region west: the publisher's state and the entries' followers.
// The store of the plan is a list of versions.
type shiftRun struct {
	w     *world
	state shift.State
	goal  []shift.Weight
	// versions holds the published weights; version n is at index n-1.
	versions  [][]shift.Weight
	followers []follower
	// acked holds the version that each entry last acknowledged. An entry that gets no plan can't acknowledge one.
	acked [entries]ident.Version
	// cut holds the time until which an entry gets no plan. A paused entry has no traffic either.
	cut    map[int]time.Time
	paused map[int]bool
	// used holds the share of region west that each entry used last.
	used [entries]ident.PPM
	// started is when the process of an entry was restarted; zero if it was not.
	started [entries]time.Time
	// holder is false while no process publishes.
	holder   bool
	frozen   bool
	westDown bool
	measured time.Time
	// moved holds the traffic that moved at each sample, restarted what restarted entries moved. Shares is the share of region
	// west.
	moved, restarted, shares series
}

var shiftProtocol = protocol{name: "capped shift and followers", checks: []check{capHolds, slotsHold}, slow: true,
	start: startShift}

func startShift(w *world) *scenario {
	r := &shiftRun{w: w, goal: toWest, state: shift.State{Weights: toEast}, holder: true, cut: map[int]time.Time{},
		paused: map[int]bool{}}
	r.versions = [][]shift.Weight{toEast}
	for range entries {
		r.followers = append(r.followers, breakFollower(w, shift.NewWeightLimiter(rules.Cap)))
	}
	r.deliver()
	var steps []step
	for _, name := range []string{"first step", "second step", "third step", "fourth step"} {
		steps = append(steps, step{"publish the " + name, r.publish}, step{"deliver the " + name, r.deliver},
			step{"follow the " + name, func() { r.pass(16 * time.Second) }})
	}
	steps = append(steps, step{"missed versions arrive", r.rejoin}, step{"another minute", func() { r.pass(time.Minute) }})
	return &scenario{
		steps: steps,
		inject: map[fault]func(){
			measurementsStop: func() { r.frozen = true },
			processDies:      r.restart,
			regionFails:      func() { r.westDown = true },
			storeDown:        func() { r.holder = false },
			storeSlow:        func() { r.holder = w.coin() },
			pausedHolder:     func() { r.paused[0], r.holder = true, w.coin() },
			operators: func() {
				r.goal = toEast
				r.publish()
				r.goal = toWest
			},
			// A long poll of 10 s ends a silent connection, and a random exchange comes within 5 s.
			silentConnection: func() {
				for i := range 4 {
					r.cut[i] = w.now.Add(15 * time.Second)
				}
			},
		},
		noInput: map[fault]string{answerLost: "a plan that is read back is the same plan; see lease and plan publication"},
		finish:  r.finish,
	}
}

// restart starts the processes of two entries anew. They take over the newest plan from their peers.
func (r *shiftRun) restart() {
	for i := range 2 {
		r.followers[i] = breakFollower(r.w, shift.NewWeightLimiter(rules.Cap))
		r.started[i] = r.w.now
		delete(r.cut, i)
		r.set(i, len(r.versions))
		r.back(i)
	}
	r.sample()
}

// back lets a paused entry go on. Its traffic came back by the choice of callers and not by a shift.
func (r *shiftRun) back(i int) {
	if r.paused[i] {
		delete(r.paused, i)
		r.used[i] = westShare(r.followers[i].Weights(r.w.now))
	}
}

func (r *shiftRun) publish() {
	if !r.frozen {
		r.measured = r.w.now
	}
	if !r.holder || !shift.Applied(ident.Version(len(r.versions)), r.liveAcks()) {
		return
	}
	head := []shift.Headroom{{Region: "east", Slots: 60, Used: 50, At: r.measured, Local: true}}
	if !r.westDown {
		head = append(head, shift.Headroom{
			Region: "west", Slots: 40, Used: r.load(), At: r.measured, Link: 1000, LinkAt: r.measured,
		})
	}
	st, why := shift.NextStep(rules, r.state, r.goal, head, shift.MeasuredTraffic{Slots: 50, Mbps: 10, At: r.measured}, r.w.now)
	r.w.note("publisher: %v, %d ppm in west", why, westShare(st.State.Weights))
	if why == shift.Stepped {
		r.state = st.State
		r.versions = append(r.versions, st.State.Weights)
	}
}

// liveAcks returns what the entries have acknowledged. A paused entry has left the list of live ones.
func (r *shiftRun) liveAcks() []ident.Version {
	var acked []ident.Version
	for i, v := range r.acked {
		if !r.paused[i] {
			acked = append(acked, v)
		}
	}
	return acked
}

// load is the load of region west: its own traffic and what was shifted there. What came in the last two minutes costs
// twice as much on cold caches.
func (r *shiftRun) load() float64 {
	share := r.share()
	warm := share
	for i := len(r.shares.at) - 1; i >= 0 && r.w.now.Sub(r.shares.at[i]) <= 2*time.Minute; i-- {
		warm = min(warm, r.shares.value[i])
	}
	return 10 + float64(share+share-warm)/1e6*50
}

// share is the share of all traffic that the entries send to region west.
func (r *shiftRun) share() ident.PPM {
	var sum ident.PPM
	for i, share := range r.used {
		if !r.paused[i] {
			sum += share
		}
	}
	return sum / ident.PPM(entries-len(r.paused))
}

func (r *shiftRun) deliver() {
	for i := range r.followers {
		if !r.paused[i] && !r.w.now.Before(r.cut[i]) {
			r.set(i, len(r.versions))
		}
	}
	r.sample()
}

// set gives an entry a version, and an older one after it, as a peer that lags would.
func (r *shiftRun) set(i, version int) {
	r.followers[i].Set(ident.Version(version), r.versions[version-1])
	r.acked[i] = ident.Version(version)
	if version > 1 {
		r.followers[i].Set(ident.Version(version-1), r.versions[version-2])
	}
}

func (r *shiftRun) rejoin() {
	clear(r.cut)
	for i := range r.followers {
		r.back(i)
	}
	r.deliver()
}

// pass lets time pass in steps of 2 s, with a plan each 6 s.
func (r *shiftRun) pass(d time.Duration) {
	for i := range int(d / (2 * time.Second)) {
		r.w.now = r.w.now.Add(2 * time.Second)
		if i%3 == 2 {
			r.publish()
			r.deliver()
		}
		r.sample()
	}
}

// sample looks at what every entry uses now. What a process moves in its first minute counts as moved by the restart,
// since it does not know what its predecessor has moved.
func (r *shiftRun) sample() {
	var moved, restarted ident.PPM
	for i, f := range r.followers {
		if r.paused[i] {
			continue
		}
		share := westShare(f.Weights(r.w.now))
		d := max(share-r.used[i], r.used[i]-share)
		r.used[i] = share
		if !r.started[i].IsZero() && r.w.now.Sub(r.started[i]) < time.Minute {
			restarted += d
		} else {
			moved += d
		}
	}
	r.moved.add(r.w.now, moved/entries)
	r.restarted.add(r.w.now, restarted/entries)
	r.shares.add(r.w.now, r.share())
	r.w.ensure(slotsHold, r.load() <= 40, "region west has 40 slots and a load of %.1f", r.load())
}

func (r *shiftRun) finish() string {
	r.frozen, r.holder = false, true
	r.rejoin()
	r.pass(time.Minute)
	r.moved.checkCap(r.w, capHolds)
	all := series{append(r.moved.at, r.restarted.at...), append(r.moved.value, r.restarted.value...)}
	all.checkCap(r.w, restartMoves)
	moving := !slices.Equal(r.state.Weights, r.goal)
	switch {
	case westShare(r.state.Weights) == 0:
		return "nothing moved"
	case moving:
		return fmt.Sprintf("holds at %d%%", r.share()/10_000)
	}
	return "reached its goal"
}
