// Package shift moves traffic between regions in steps that stay under a cap. Next decides the next step of a drain, a
// move or a region failure; a Follower limits how fast one entry follows the published weights. The package has no I/O,
// no goroutines and no clock of its own.
package shift

import (
	"slices"
	"strings"
	"time"

	"github.com/currantpier/currantpier/ident"
)

const (
	window = time.Minute
	// settle is how long entries need to apply a step and measurements to show it. A movement younger than that is
	// added to the measured use.
	settle = 5 * time.Second
)

// Weight is the share of a service's traffic that one region serves.
type Weight struct {
	Region ident.Region `json:"region"`
	Share  ident.PPM    `json:"share"`
}

// Cap bounds how much of a service's traffic from one origin may change its region.
type Cap struct {
	// PerStep is the most that one step moves.
	PerStep ident.PPM `json:"per-step"`
	// PerMinute is the most that is moved in any 60 s.
	PerMinute ident.PPM `json:"per-minute"`
}

// Rules are the settings of a shift. Zero fields have the defaults given below.
type Rules struct {
	Cap Cap `json:"cap"`
	// Fill is the part of a region's slots that a shift may bring into use, 0 to 1; 0.85 by default. The rest absorbs
	// the error of the measurement.
	Fill float64 `json:"fill"`
	// LinkPart is the part of a link's capacity that steered traffic may use, 0 to 1; 0.6 by default.
	LinkPart float64 `json:"link-part"`
	// ColdFactor is how many slots a request costs on cold caches relative to warm ones; 2 by default.
	ColdFactor float64 `json:"cold-factor"`
	// WarmFor is how long a share stays cold after it arrived in a region; 2 min by default.
	WarmFor time.Duration `json:"warm-for"`
	// MaxAge is the age from which a measurement is stale; 10 s by default.
	MaxAge time.Duration `json:"max-age"`
}

// Moved records that a share of the traffic came to a region.
type Moved struct {
	At    time.Time    `json:"at"`
	To    ident.Region `json:"to"`
	Share ident.PPM    `json:"share"`
}

// State is where the shift of one service and origin stands.
type State struct {
	// Weights is sorted by region; the shares add up to ident.Whole.
	Weights []Weight `json:"weights"`
	// Moved is sorted by time and covers the last minute and the warm-up period, whichever is longer.
	Moved []Moved `json:"moved"`
}

// Headroom is what a region has left for one service and what the link from the origin to it has left.
type Headroom struct {
	Region ident.Region
	// Slots is the number of slots of the service in the region, without leaving targets.
	Slots float64
	// Used is the number of slots in use or waited for, for all origins together.
	Used float64
	// At is the time of the measurement; zero if there is none.
	At time.Time
	// Local says that the region is the origin, so that no link is crossed.
	Local bool
	// Link is the capacity of the link from the origin to the region in Mbit/s, LinkUsed its use, LinkAt the time of
	// that measurement. They have no meaning if Local is set.
	Link, LinkUsed float64
	LinkAt         time.Time
}

// Measured is the whole traffic of the service that arrives in the origin.
type Measured struct {
	// Slots is the mean number of slots that this traffic needs on warm caches.
	Slots float64
	// Mbps is the traffic in Mbit/s in the busier direction.
	Mbps float64
	// At is the time of the measurement; zero if there is none.
	At time.Time
}

// Reason says why a step was taken or not.
type Reason uint8

// The reasons.
const (
	// Stepped: the weights moved.
	Stepped Reason = iota
	// AtGoal: there is nothing to move.
	AtGoal
	// HoldMissing: a measurement is missing.
	HoldMissing
	// HoldStale: a measurement is older than MaxAge.
	HoldStale
	// HoldCap: the cap allows no further movement yet.
	HoldCap
	// HoldHeadroom: the regions that gain traffic have no free slots for it.
	HoldHeadroom
	// HoldLink: the links have no capacity left for it.
	HoldLink
	// HoldBehind: an entry has not yet applied the step before.
	HoldBehind
)

// Step is the outcome of Next.
type Step struct {
	// State is the state after the step. It equals the old state if nothing moved.
	State State
	// Share is how much traffic changed its region; zero if the shift holds.
	Share ident.PPM
}

// Estimate is the expected course of a shift.
type Estimate struct {
	Steps int
	Time  time.Duration
	// Done says whether the shift reaches its goal with the present headroom. If not, Steps and Time lead to the point
	// where it holds.
	Done bool
	// Reached is the share that has moved by then.
	Reached ident.PPM
}

// String returns the reason in kebab case.
func (r Reason) String() string {
	return [...]string{"stepped", "at-goal", "hold-missing", "hold-stale", "hold-cap", "hold-headroom", "hold-link", "hold-behind"}[r]
}

// WithDefaults returns the rules with the defaults in place of zero fields. The cap has no default: without one nothing
// moves.
func (r Rules) WithDefaults() Rules {
	if r.Fill == 0 {
		r.Fill = 0.85
	}
	if r.LinkPart == 0 {
		r.LinkPart = 0.6
	}
	if r.ColdFactor == 0 {
		r.ColdFactor = 2
	}
	if r.WarmFor == 0 {
		r.WarmFor = 2 * time.Minute
	}
	if r.MaxAge == 0 {
		r.MaxAge = 10 * time.Second
	}
	return r
}

// Cost returns the slots and Mbit/s that a share of the measured traffic needs on cold caches.
func (r Rules) Cost(m Measured, share ident.PPM) (slots, mbps float64) {
	part := float64(share) / float64(ident.Whole)
	return part * m.Slots * r.WithDefaults().ColdFactor, part * m.Mbps
}

// Unsettled reports whether a movement at the time moved is too young to show in a measurement at the time measured.
func Unsettled(moved, measured time.Time) bool {
	return moved.Add(settle).After(measured)
}

// Applied reports whether every live entry has acknowledged the version that made the last step. An entry that restarts
// takes the newest weights whole, since it does not know what its predecessor used; if the predecessor is at most one
// step behind, that moves no more than the step did.
func Applied(stepped ident.Version, acked []ident.Version) bool {
	return !slices.ContainsFunc(acked, func(v ident.Version) bool { return v < stepped })
}

// Next decides the next step from the state towards the goal. Both are sorted by region and add up to ident.Whole. A
// region that gains traffic and has a missing or stale measurement holds the shift. The result shares no memory with
// the arguments that it changes.
func Next(r Rules, s State, goal []Weight, head []Headroom, m Measured, now time.Time) (Step, Reason) {
	r = r.WithDefaults()
	s.Moved = prune(s.Moved, now, max(window, r.WarmFor))
	moves := diff(s.Weights, goal)
	left := gains(moves)
	if left == 0 {
		return Step{State: s}, AtGoal
	}
	budget := r.Cap.budget(s.Moved, now)
	if budget <= 0 {
		return Step{State: s}, HoldCap
	}
	limit, why := r.fit(moves, s.Moved, head, m, now)
	if why != Stepped && why != HoldHeadroom && why != HoldLink {
		return Step{State: s}, why
	}
	share := min(limit, budget)
	// Very small steps would fill the log of movements without getting anywhere.
	if share < min(left, max(1, r.Cap.PerStep/20)) {
		if why == Stepped {
			why = HoldCap
		}
		return Step{State: s}, why
	}
	s.Weights, s.Moved = apply(moves, s.Moved, share, now)
	return Step{State: s, Share: share}, Stepped
}

// move is the change that one region needs to reach the goal.
type move struct {
	region    ident.Region
	cur, goal ident.PPM
	// limit is the most that the region may gain in this step; zero for a region that does not gain.
	limit ident.PPM
}

// diff merges two lists sorted by region. The limits are the whole gains.
func diff(cur, goal []Weight) []move {
	moves := make([]move, 0, len(cur)+len(goal))
	for len(cur) > 0 || len(goal) > 0 {
		switch {
		case len(goal) == 0 || len(cur) > 0 && cur[0].Region < goal[0].Region:
			moves = append(moves, move{region: cur[0].Region, cur: cur[0].Share})
			cur = cur[1:]
		case len(cur) == 0 || goal[0].Region < cur[0].Region:
			moves = append(moves, move{region: goal[0].Region, goal: goal[0].Share})
			goal = goal[1:]
		default:
			moves = append(moves, move{region: cur[0].Region, cur: cur[0].Share, goal: goal[0].Share})
			cur, goal = cur[1:], goal[1:]
		}
		last := &moves[len(moves)-1]
		last.limit = max(0, last.goal-last.cur)
	}
	return moves
}

func gains(moves []move) ident.PPM {
	var sum ident.PPM
	for _, m := range moves {
		sum += m.limit
	}
	return sum
}

// budget returns how much may move now after the given movements.
func (c Cap) budget(moved []Moved, now time.Time) ident.PPM {
	if c.PerStep <= 0 || c.PerMinute <= 0 {
		return 0
	}
	var inWindow ident.PPM
	for _, m := range moved {
		if m.At.Add(c.gap()).After(now) {
			return 0
		}
		if m.At.Add(window).After(now) {
			inWindow += m.Share
		}
	}
	return min(c.PerStep, c.PerMinute-inWindow)
}

// gap is the time between two steps. It spreads the steps over the minute, so that the effect of one can be measured
// before the next.
func (c Cap) gap() time.Duration {
	return min(window, time.Duration(float64(window)*float64(c.PerStep)/float64(c.PerMinute)))
}

// fit lowers the limits of the moves to what the regions and links can take and returns their sum. The reason is
// Stepped if nothing but the goal limits the step.
func (r Rules) fit(moves []move, moved []Moved, head []Headroom, m Measured, now time.Time) (ident.PPM, Reason) {
	if why := r.fresh(m.At, now); why != Stepped {
		return 0, why
	}
	why := Stepped
	for i := range moves {
		mv := &moves[i]
		if mv.limit == 0 {
			continue
		}
		h := slices.IndexFunc(head, func(h Headroom) bool { return h.Region == mv.region })
		if h < 0 {
			return 0, HoldMissing
		}
		share, limited := r.room(head[h], moved, m, now)
		if limited == HoldMissing || limited == HoldStale {
			return 0, limited
		}
		if share < mv.limit {
			mv.limit, why = share, limited
		}
	}
	return gains(moves), why
}

func (r Rules) fresh(at, now time.Time) Reason {
	if at.IsZero() {
		return HoldMissing
	}
	if age := now.Sub(at); age > r.MaxAge || age < -r.MaxAge {
		return HoldStale
	}
	return Stepped
}

// room returns the share that a region can take in addition, and what limits it.
func (r Rules) room(h Headroom, moved []Moved, m Measured, now time.Time) (ident.PPM, Reason) {
	if why := r.fresh(h.At, now); why != Stepped {
		return 0, why
	}
	slots, mbps := r.Cost(m, ident.Whole)
	share := part(h.Slots*r.Fill-h.Used, slots) - pending(moved, h.Region, h.At)
	why := HoldHeadroom
	if !h.Local {
		if why := r.fresh(h.LinkAt, now); why != Stepped {
			return 0, why
		}
		link := part(h.Link*r.LinkPart-h.LinkUsed, mbps) - pending(moved, h.Region, h.LinkAt)
		if link < share {
			share, why = link, HoldLink
		}
	}
	return max(0, share), why
}

// part returns the share of traffic that fits into free if all of it needs whole.
func part(free, whole float64) ident.PPM {
	if free <= 0 {
		return 0
	}
	if whole <= free {
		return ident.Whole
	}
	return ident.PPM(free / whole * float64(ident.Whole))
}

// pending returns the share that came to the region too recently to be part of a measurement.
func pending(moved []Moved, region ident.Region, measured time.Time) ident.PPM {
	var sum ident.PPM
	for _, m := range moved {
		if m.To == region && Unsettled(m.At, measured) {
			sum += m.Share
		}
	}
	return sum
}

func prune(moved []Moved, now time.Time, keep time.Duration) []Moved {
	kept := make([]Moved, 0, len(moved)+1)
	for _, m := range moved {
		if m.At.Add(keep).After(now) {
			kept = append(kept, m)
		}
	}
	return kept
}

// apply moves share in all: to the regions that gain in proportion to their limits, from the others in proportion to
// what they lose.
func apply(moves []move, moved []Moved, share ident.PPM, now time.Time) ([]Weight, []Moved) {
	var lose ident.PPM
	for _, m := range moves {
		lose += max(0, m.cur-m.goal)
	}
	gain := gains(moves)
	in, out := share, share
	weights := make([]Weight, 0, len(moves))
	for _, m := range moves {
		// What is left over by rounding down goes to the later regions: the divisors shrink with what was given out.
		switch {
		case m.limit > 0:
			d := proportion(in, m.limit, gain)
			in, gain = in-d, gain-m.limit
			m.cur += d
			if d > 0 {
				moved = append(moved, Moved{At: now, To: m.region, Share: d})
			}
		case m.cur > m.goal:
			d := proportion(out, m.cur-m.goal, lose)
			out, lose = out-d, lose-(m.cur-m.goal)
			m.cur -= d
		}
		if m.cur > 0 {
			weights = append(weights, Weight{Region: m.region, Share: m.cur})
		}
	}
	return weights, moved
}

func proportion(total, part, whole ident.PPM) ident.PPM {
	return ident.PPM(int64(total) * int64(part) / int64(whole))
}

// Forecast estimates the steps and the time of a shift under the assumption that demand stays as measured and that
// measurements stay fresh.
func Forecast(r Rules, s State, goal []Weight, head []Headroom, m Measured, now time.Time) Estimate {
	r = r.WithDefaults()
	var est Estimate
	var arrived []Moved
	base := slices.Clone(head)
	tick := max(time.Second, r.Cap.gap()/4)
	for t, idle := now, now; t.Sub(idle) <= r.WarmFor+window; t = t.Add(tick) {
		m.At = t
		step, why := Next(r, s, goal, project(r, base, arrived, m, t), m, t)
		if why == AtGoal {
			est.Done = true
			return est
		}
		if why == Stepped {
			arrived = append(arrived, step.State.Moved[len(step.State.Moved)-added(step.State.Moved, t):]...)
			est.Steps++
			est.Reached += step.Share
			est.Time, idle = t.Sub(now), t
		}
		if why == HoldMissing {
			return est
		}
		s = step.State
	}
	return est
}

// added returns how many movements at the end of the log happened at t.
func added(moved []Moved, t time.Time) int {
	n := 0
	for i := len(moved) - 1; i >= 0 && moved[i].At.Equal(t); i-- {
		n++
	}
	return n
}

// project returns the headroom at t after the movements, which cost more until they are warm.
func project(r Rules, base []Headroom, arrived []Moved, m Measured, t time.Time) []Headroom {
	head := slices.Clone(base)
	for i := range head {
		h := &head[i]
		h.At, h.LinkAt = t, t
		for _, a := range arrived {
			if a.To != h.Region || Unsettled(a.At, t) {
				continue
			}
			slots, mbps := r.Cost(m, a.Share)
			if !a.At.Add(r.WarmFor).After(t) {
				slots /= r.ColdFactor
			}
			h.Used += slots
			h.LinkUsed += mbps
		}
	}
	return head
}

// Follower applies published weights on one entry. Whatever versions it receives, its own weights move no more than
// the cap. It is not safe for concurrent use.
type Follower struct {
	cap     Cap
	version ident.Version
	// cur is what the entry uses; goal is what the newest version says. Both are sorted by region.
	cur, goal []Weight
	// moved covers the last minute.
	moved []Moved
}

// NewFollower returns a Follower without weights.
func NewFollower(c Cap) *Follower { return &Follower{cap: c} }

// Set gives the follower the weights of a plan version. It reports false and changes nothing if the version is not
// newer than the one it has or the shares do not add up to ident.Whole. The first weights are taken over whole, since
// there is no earlier traffic that moves.
func (f *Follower) Set(version ident.Version, weights []Weight) bool {
	var sum ident.PPM
	for _, w := range weights {
		sum += w.Share
	}
	if version <= f.version || sum != ident.Whole {
		return false
	}
	f.version = version
	f.goal = slices.Clone(weights)
	slices.SortFunc(f.goal, func(a, b Weight) int { return strings.Compare(string(a.Region), string(b.Region)) })
	if f.cur == nil {
		f.cur = slices.Clone(f.goal)
	}
	return true
}

// Version returns the newest version given to Set.
func (f *Follower) Version() ident.Version { return f.version }

// Weights returns the weights to use now, sorted by region. The slice is not changed by later calls.
func (f *Follower) Weights(now time.Time) []Weight {
	if slices.Equal(f.cur, f.goal) {
		return f.cur
	}
	moves := diff(f.cur, f.goal)
	share := min(f.cap.budget(f.moved, now), gains(moves))
	if share > 0 {
		f.cur, f.moved = apply(moves, prune(f.moved, now, window), share, now)
	}
	return f.cur
}
