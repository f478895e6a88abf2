// Package shift moves traffic between regions in rate-limited steps. NextStep computes the next step after a drain, a move
// or the failure of a region; a WeightLimiter limits how fast one entry adopts the published weights; a LinkLimiter limits the
// traffic of one entry between two regions. The package performs no I/O, starts no goroutines and takes the time as an
// argument.
package shift

import (
	"slices"
	"strings"
	"time"

	"github.com/currantpier/currantpier/ident"
)

const (
	// capWindow is the sliding window of Cap.PerMinute.
	capWindow = time.Minute
	// settleTime is how long it takes until entries have applied a step and measurements include it. The cost of a more
	// recent movement is added to the measured use.
	settleTime = 5 * time.Second
)

// Weight is the share of the traffic of one service and origin that a region serves.
type Weight struct {
	Region ident.Region `json:"region"`
	Share  ident.PPM    `json:"share"`
}

// Cap limits how much of a service's traffic from one origin may move to other regions.
type Cap struct {
	// PerStep is the maximum share moved by one step.
	PerStep ident.PPM `json:"per-step"`
	// PerMinute is the maximum share moved in any 60 s.
	PerMinute ident.PPM `json:"per-minute"`
}

// Settings are the settings of a shift. A zero field other than Cap stands for the default stated with it.
type Settings struct {
	Cap Cap `json:"cap"`
	// MaxUtilization is the maximum utilization of a region's slots up to which a shift adds traffic, 0 to 1; 0.85 by default. The
	// rest allows for measurement errors.
	MaxUtilization float64 `json:"fill"`
	// LinkFraction is the fraction of a link's capacity that steered traffic may use, 0 to 1; 0.6 by default.
	LinkFraction float64 `json:"link-part"`
	// ColdCacheFactor is the ratio of the slots that traffic needs with cold caches to those with warm caches; 2 by default.
	ColdCacheFactor float64 `json:"cold-factor"`
	// WarmupTime is how long caches stay cold for a share after it moved to a region; 2 min by default.
	WarmupTime time.Duration `json:"warm-for"`
	// MaxMeasurementAge is the age above which a measurement is stale; 10 s by default.
	MaxMeasurementAge time.Duration `json:"max-age"`
}

// Movement records that a share of the traffic was moved to a region.
type Movement struct {
	At    time.Time    `json:"at"`
	To    ident.Region `json:"to"`
	Share ident.PPM    `json:"share"`
}

// State is the progress of the shift of one service and origin.
type State struct {
	// Weights is sorted by region; the shares add up to ident.Whole.
	Weights []Weight `json:"weights"`
	// Movements is sorted by time and covers the last minute or the warm-up period (Settings.WarmupTime), whichever is longer.
	Movements []Movement `json:"moved"`
}

// Headroom describes the capacity and use of a region for one service and of the link from the origin to that region.
type Headroom struct {
	Region ident.Region
	// Slots is the number of slots of the service in the region, without leaving targets.
	Slots float64
	// Used is the number of slots in use or waited for, summed over all origins.
	Used float64
	// At is the time of the measurement, or zero if there is none.
	At time.Time
	// Local is true if the region is the origin, so that its traffic uses no link.
	Local bool
	// Link and LinkUsed are the capacity and the use of the link from the origin to the region in Mbit/s, and LinkAt is
	// the time of that measurement. They are ignored if Local is set.
	Link, LinkUsed float64
	LinkAt         time.Time
}

// MeasuredTraffic is the total traffic of one service that arrives in one origin.
type MeasuredTraffic struct {
	// Slots is the mean number of slots that this traffic needs with warm caches.
	Slots float64
	// Mbps is the traffic in Mbit/s in the busier direction.
	Mbps float64
	// At is the time of the measurement, or zero if there is none.
	At time.Time
}

// Reason is the outcome of NextStep: a step, or why there was none.
type Reason uint8

// The reasons.
const (
	// Stepped: traffic was moved.
	Stepped Reason = iota
	// AtGoal: there is nothing to move.
	AtGoal
	// HoldMissing: a measurement is missing.
	HoldMissing
	// HoldStale: a measurement is older than MaxMeasurementAge.
	HoldStale
	// HoldCap: the cap allows no further movement yet.
	HoldCap
	// HoldHeadroom: the regions that gain traffic lack free slots.
	HoldHeadroom
	// HoldLink: the links to the regions that gain traffic lack capacity.
	HoldLink
	// HoldUnacked: a live entry has not yet applied the previous step. NextStep never returns it; callers use it if Applied is
	// false.
	HoldUnacked
)

// Step is the result of NextStep.
type Step struct {
	// State is the state after the step. If nothing moved, it has the old weights.
	State State
	// Share is the share of the traffic that moved to another region; zero if there was no step.
	Share ident.PPM
}

// Estimate is the expected duration and extent of a shift.
type Estimate struct {
	Steps int
	Time  time.Duration
	// Done is true if the shift reaches its goal with the current headroom. If not, Steps, Time and Reached describe the
	// shift up to its last step.
	Done bool
	// Reached is the total share moved.
	Reached ident.PPM
}

// String returns the reason in kebab case.
func (r Reason) String() string {
	return [...]string{"stepped", "at-goal", "hold-missing", "hold-stale", "hold-cap", "hold-headroom", "hold-link", "hold-behind"}[r]
}

// WithDefaults returns the rules with zero fields replaced by their defaults. Cap has no default; if one of its fields
// is zero, no traffic moves.
func (r Settings) WithDefaults() Settings {
	if r.MaxUtilization == 0 {
		r.MaxUtilization = 0.85
	}
	if r.LinkFraction == 0 {
		r.LinkFraction = 0.6
	}
	if r.ColdCacheFactor == 0 {
		r.ColdCacheFactor = 2
	}
	if r.WarmupTime == 0 {
		r.WarmupTime = 2 * time.Minute
	}
	if r.MaxMeasurementAge == 0 {
		r.MaxMeasurementAge = 10 * time.Second
	}
	return r
}

// Cost returns the slots that a share of the measured traffic needs with cold caches, and its traffic in Mbit/s.
func (r Settings) Cost(m MeasuredTraffic, share ident.PPM) (slots, mbps float64) {
	part := float64(share) / float64(ident.Whole)
	return part * m.Slots * r.WithDefaults().ColdCacheFactor, part * m.Mbps
}

// NotYetMeasured reports whether a measurement taken at measured is too early to include a movement made at moved.
func NotYetMeasured(moved, measured time.Time) bool {
	return moved.Add(settleTime).After(measured)
}

// Applied reports whether all acked versions, those of the live entries, include the version of the last step. A
// restarted entry adopts the newest weights in full because the weights that its previous process used are lost. If
// that process was at most one step behind, this moves no more traffic than the step itself.
func Applied(stepped ident.Version, acked []ident.Version) bool {
	return !slices.ContainsFunc(acked, func(v ident.Version) bool { return v < stepped })
}

// NextStep computes the next step from the state towards the goal. The weights of both are sorted by region and add up to
// ident.Whole. There is no step while a measurement of the origin or of a region that gains traffic is missing or
// stale. The arguments are not modified.
func NextStep(r Settings, s State, goal []Weight, head []Headroom, m MeasuredTraffic, now time.Time) (Step, Reason) {
	r = r.WithDefaults()
	s.Movements = prune(s.Movements, now, max(capWindow, r.WarmupTime))
	changes := regionChanges(s.Weights, goal)
	remaining := totalGain(changes)
	if remaining == 0 {
		return Step{State: s}, AtGoal
	}
	budget := r.Cap.budget(s.Movements, now)
	if budget <= 0 {
		return Step{State: s}, HoldCap
	}
	limit, why := r.limitGains(changes, s.Movements, head, m, now)
	if why != Stepped && why != HoldHeadroom && why != HoldLink {
		return Step{State: s}, why
	}
	share := min(limit, budget)
	// Steps below a twentieth of PerStep would lengthen State.Movements with little progress.
	if share < min(remaining, max(1, r.Cap.PerStep/20)) {
		if why == Stepped {
			why = HoldCap
		}
		return Step{State: s}, why
	}
	s.Weights, s.Movements = applyStep(changes, s.Movements, share, now)
	return Step{State: s, Share: share}, Stepped
}

// regionChange is the change of one region's share on the way to the goal.
type regionChange struct {
	region    ident.Region
	cur, goal ident.PPM
	// maxGain is the maximum share that the region may gain in this step; zero if it gains none.
	maxGain ident.PPM
}

// regionChanges merges current and goal weights, both sorted by region. Each maxGain is the full difference.
func regionChanges(cur, goal []Weight) []regionChange {
	changes := make([]regionChange, 0, len(cur)+len(goal))
	for len(cur) > 0 || len(goal) > 0 {
		switch {
		case len(goal) == 0 || len(cur) > 0 && cur[0].Region < goal[0].Region:
			changes = append(changes, regionChange{region: cur[0].Region, cur: cur[0].Share})
			cur = cur[1:]
		case len(cur) == 0 || goal[0].Region < cur[0].Region:
			changes = append(changes, regionChange{region: goal[0].Region, goal: goal[0].Share})
			goal = goal[1:]
		default:
			changes = append(changes, regionChange{region: cur[0].Region, cur: cur[0].Share, goal: goal[0].Share})
			cur, goal = cur[1:], goal[1:]
		}
		last := &changes[len(changes)-1]
		last.maxGain = max(0, last.goal-last.cur)
	}
	return changes
}

// totalGain returns the sum of maxGain.
func totalGain(changes []regionChange) ident.PPM {
	var sum ident.PPM
	for _, m := range changes {
		sum += m.maxGain
	}
	return sum
}

// budget returns the share that the cap allows to move now, after the given movements.
func (c Cap) budget(moved []Movement, now time.Time) ident.PPM {
	if c.PerStep <= 0 || c.PerMinute <= 0 {
		return 0
	}
	var inWindow ident.PPM
	for _, m := range moved {
		if m.At.Add(c.stepInterval()).After(now) {
			return 0
		}
		if m.At.Add(capWindow).After(now) {
			inWindow += m.Share
		}
	}
	return min(c.PerStep, c.PerMinute-inWindow)
}

// stepInterval is the minimum time between two steps. It spreads the steps evenly over the minute, so that the effect
// of one can be measured before the next.
func (c Cap) stepInterval() time.Duration {
	return min(capWindow, time.Duration(float64(capWindow)*float64(c.PerStep)/float64(c.PerMinute)))
}

// limitGains reduces each maxGain to what the region and its link can take, and returns their sum. The reason is
// Stepped if nothing was reduced.
func (r Settings) limitGains(changes []regionChange, moved []Movement, head []Headroom, m MeasuredTraffic, now time.Time) (ident.PPM, Reason) {
	if why := r.checkAge(m.At, now); why != Stepped {
		return 0, why
	}
	why := Stepped
	for i := range changes {
		change := &changes[i]
		if change.maxGain == 0 {
			continue
		}
		h := slices.IndexFunc(head, func(h Headroom) bool { return h.Region == change.region })
		if h < 0 {
			return 0, HoldMissing
		}
		share, limited := r.acceptableShare(head[h], moved, m, now)
		if limited == HoldMissing || limited == HoldStale {
			return 0, limited
		}
		if share < change.maxGain {
			change.maxGain, why = share, limited
		}
	}
	return totalGain(changes), why
}

// checkAge returns Stepped for a current measurement, HoldMissing for a zero time, and HoldStale for a time more than
// MaxMeasurementAge before or after now.
func (r Settings) checkAge(at, now time.Time) Reason {
	if at.IsZero() {
		return HoldMissing
	}
	if age := now.Sub(at); age > r.MaxMeasurementAge || age < -r.MaxMeasurementAge {
		return HoldStale
	}
	return Stepped
}

// acceptableShare returns the additional share of the traffic that a region can take, and whether its slots or its link
// limit it.
func (r Settings) acceptableShare(h Headroom, moved []Movement, m MeasuredTraffic, now time.Time) (ident.PPM, Reason) {
	if why := r.checkAge(h.At, now); why != Stepped {
		return 0, why
	}
	slots, mbps := r.Cost(m, ident.Whole)
	share := fittingShare(float64(h.Slots*r.MaxUtilization)-h.Used, slots) - unsettledShare(moved, h.Region, h.At)
	why := HoldHeadroom
	if !h.Local {
		if why := r.checkAge(h.LinkAt, now); why != Stepped {
			return 0, why
		}
		linkShare := fittingShare(float64(h.Link*r.LinkFraction)-h.LinkUsed, mbps) - unsettledShare(moved, h.Region, h.LinkAt)
		if linkShare < share {
			share, why = linkShare, HoldLink
		}
	}
	return max(0, share), why
}

// fittingShare returns the share of the traffic that fits into the free capacity if all of it needs total.
func fittingShare(free, total float64) ident.PPM {
	if free <= 0 {
		return 0
	}
	if total <= free {
		return ident.Whole
	}
	return ident.PPM(free / total * float64(ident.Whole))
}

// unsettledShare returns the share that moved to the region too recently to be included in a measurement.
func unsettledShare(moved []Movement, region ident.Region, measured time.Time) ident.PPM {
	var sum ident.PPM
	for _, m := range moved {
		if m.To == region && NotYetMeasured(m.At, measured) {
			sum += m.Share
		}
	}
	return sum
}

// prune returns a copy of the movements that are younger than keep.
func prune(moved []Movement, now time.Time, keep time.Duration) []Movement {
	kept := make([]Movement, 0, len(moved)+1)
	for _, m := range moved {
		if m.At.Add(keep).After(now) {
			kept = append(kept, m)
		}
	}
	return kept
}

// applyStep moves share in total: to the regions that gain traffic in proportion to their maxGain, from the others in
// proportion to the difference to their goal.
func applyStep(changes []regionChange, moved []Movement, share ident.PPM, now time.Time) ([]Weight, []Movement) {
	var losses ident.PPM
	for _, m := range changes {
		losses += max(0, m.cur-m.goal)
	}
	gains := totalGain(changes)
	toGain, toLose := share, share
	weights := make([]Weight, 0, len(changes))
	for _, m := range changes {
		// Each quotient is rounded down. The remainder goes to later regions because both the rest and the divisor shrink,
		// so that the total is exact.
		switch {
		case m.maxGain > 0:
			delta := proportion(toGain, m.maxGain, gains)
			toGain, gains = toGain-delta, gains-m.maxGain
			m.cur += delta
			if delta > 0 {
				moved = append(moved, Movement{At: now, To: m.region, Share: delta})
			}
		case m.cur > m.goal:
			delta := proportion(toLose, m.cur-m.goal, losses)
			toLose, losses = toLose-delta, losses-(m.cur-m.goal)
			m.cur -= delta
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

// Forecast estimates the number of steps and the duration of a shift, assuming constant demand and current
// measurements.
func Forecast(r Settings, s State, goal []Weight, head []Headroom, m MeasuredTraffic, now time.Time) Estimate {
	r = r.WithDefaults()
	var est Estimate
	var moved []Movement
	base := slices.Clone(head)
	interval := max(time.Second, r.Cap.stepInterval()/4)
	for t, lastStep := now, now; t.Sub(lastStep) <= r.WarmupTime+capWindow; t = t.Add(interval) {
		m.At = t
		step, why := NextStep(r, s, goal, projectHeadroom(r, base, moved, m, t), m, t)
		if why == AtGoal {
			est.Done = true
			return est
		}
		if why == Stepped {
			moved = append(moved, step.State.Movements[len(step.State.Movements)-countAt(step.State.Movements, t):]...)
			est.Steps++
			est.Reached += step.Share
			est.Time, lastStep = t.Sub(now), t
		}
		if why == HoldMissing {
			return est
		}
		s = step.State
	}
	return est
}

// countAt returns how many movements at the end of the list were made at t.
func countAt(moved []Movement, t time.Time) int {
	n := 0
	for i := len(moved) - 1; i >= 0 && moved[i].At.Equal(t); i-- {
		n++
	}
	return n
}

// projectHeadroom returns the headroom expected at t: base plus the cost of the settled movements. They cost more until
// the caches are warm.
func projectHeadroom(r Settings, base []Headroom, moved []Movement, m MeasuredTraffic, t time.Time) []Headroom {
	head := slices.Clone(base)
	for i := range head {
		h := &head[i]
		h.At, h.LinkAt = t, t
		for _, a := range moved {
			if a.To != h.Region || NotYetMeasured(a.At, t) {
				continue
			}
			slots, mbps := r.Cost(m, a.Share)
			if !a.At.Add(r.WarmupTime).After(t) {
				slots /= r.ColdCacheFactor
			}
			h.Used += slots
			h.LinkUsed += mbps
		}
	}
	return head
}

// WeightLimiter adopts published weights on one entry. Its own weights never change faster than the cap, whichever versions
// it receives. It is not safe for concurrent use.
type WeightLimiter struct {
	cap     Cap
	version ident.Version
	// cur holds the weights in use, goal those of the newest version. Both are sorted by region.
	cur, goal []Weight
	// moved covers the last minute.
	moved []Movement
}

// NewWeightLimiter returns a WeightLimiter without weights.
func NewWeightLimiter(c Cap) *WeightLimiter { return &WeightLimiter{cap: c} }

// Set sets the goal to the weights of a plan version. It returns false and changes nothing if the version is not newer
// than the last or the shares don't add up to ident.Whole. The first weights take effect in full, since no traffic
// moves by that.
func (f *WeightLimiter) Set(version ident.Version, weights []Weight) bool {
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

// Version returns the newest version that Set accepted.
func (f *WeightLimiter) Version() ident.Version { return f.version }

// Weights moves the weights towards the goal as far as the cap allows now, and returns them, sorted by region. Later
// calls don't modify the returned slice.
func (f *WeightLimiter) Weights(now time.Time) []Weight {
	if slices.Equal(f.cur, f.goal) {
		return f.cur
	}
	changes := regionChanges(f.cur, f.goal)
	share := min(f.cap.budget(f.moved, now), totalGain(changes))
	if share > 0 {
		f.cur, f.moved = applyStep(changes, prune(f.moved, now, capWindow), share, now)
	}
	return f.cur
}
