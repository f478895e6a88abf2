// Package shift moves traffic between regions in steps that stay under a cap. Next decides the next step of a drain, a
// move or a region failure; a Follower limits how fast one entry follows the published weights. The package has no I/O,
// no goroutines and no clock of its own.
package shift

import (
	"time"

	"github.com/currantpier/currantpier/ident"
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
)

// Step is the outcome of Next.
type Step struct {
	// State is the state after the step. It equals the old state if nothing moved.
	State State
	// Share is how much traffic changed its region; zero if the shift holds.
	Share ident.PPM
}

// Next decides the next step from the state towards the goal. The goal is sorted by region and adds up to ident.Whole.
// A region that gains traffic and has a missing or stale measurement holds the shift. The result shares no memory with
// the arguments that it changes.
func Next(r Rules, s State, goal []Weight, head []Headroom, m Measured, now time.Time) (Step, Reason) {
	return Step{State: s}, AtGoal
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

// Forecast estimates the steps and the time of a shift under the assumption that demand stays as measured.
func Forecast(r Rules, s State, goal []Weight, head []Headroom, m Measured, now time.Time) Estimate {
	return Estimate{}
}

// Follower applies published weights on one entry. Whatever versions it receives, its own weights move no more than
// the cap. It is not safe for concurrent use.
type Follower struct {
	cap Cap
}

// NewFollower returns a Follower without weights.
func NewFollower(c Cap) *Follower { return &Follower{cap: c} }

// Set gives the follower the weights of a plan version. It reports false and changes nothing if the version is not
// newer than the one it has. The first weights are taken over whole, since there is no earlier traffic that moves.
func (f *Follower) Set(now time.Time, version ident.Version, weights []Weight) bool { return false }

// Weights returns the weights to use now, sorted by region. The slice is valid until the next call.
func (f *Follower) Weights(now time.Time) []Weight { return nil }
