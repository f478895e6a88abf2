// Package quota limits the requests of customers over all VMs. Each failure domain has an equal part of a customer's rate and
// burst. One VM of a region holds the parts of its failure domains as a token bucket, the pool; the other VMs of the region request
// tokens from it, and pools of the same customer lend each other parts across regions. Limiter performs no I/O and reads no clock; Service
// exchanges its messages through peers.Service.
package quota

import (
	"math"
	"time"

	"github.com/currantpier/currantpier/ident"
)

const (
	// tokenLife is how long after its request a VM may use a granted token.
	tokenLife = 300 * time.Millisecond
	// returnLife is how long after a grant the pool accepts unused tokens back. It exceeds tokenLife by the time that the
	// notice of expired tokens takes, one tick and two datagrams. Until then they count towards the pool's burst.
	returnLife = 350 * time.Millisecond
	// answerTimeout bounds the wait of a request for tokens.
	answerTimeout = 250 * time.Millisecond
	// resendInterval is the time after which a request for tokens without an answer is repeated.
	resendInterval = 20 * time.Millisecond
	// maxPause is the time without a call after which another VM may have taken over the pools of this one.
	maxPause = 500 * time.Millisecond
	// maxGap is the time without a call after which a pool lends nothing until the list of VMs is renewed: another VM may have become
	// the holder meanwhile, and uses its own share from lenderLife after that.
	maxGap = 100 * time.Millisecond
	// togetherSpread is the greatest difference between the starts of VMs that have started together, and formTime the time in which
	// they hear of each other.
	togetherSpread = 5 * time.Second
	formTime       = time.Second
	// detectTime is the time within which all VMs of one side of a partition take those of the other for dead, with 88 VMs. With a
	// longer failure detection (package peers) it must be longer.
	detectTime = 3 * time.Second
	// borrowerLife is how long a loan lasts at the borrower, from its request. lenderLife is how long it lasts at the lender,
	// from its answer: longer by returnLife, for which the borrower's VMs may still use tokens granted before, and by 50 ms for late
	// ticks.
	borrowerLife = time.Second
	lenderLife   = borrowerLife + returnLife + 50*time.Millisecond
	// renewInterval is the time between two requests for a loan; growInterval replaces it while the loans don't suffice.
	renewInterval = 400 * time.Millisecond
	growInterval  = 200 * time.Millisecond
	// reviewInterval is the time between two sums of the demand of all VMs, of which a pool may have hundreds.
	reviewInterval = 20 * time.Millisecond
	// maxLoanBackoff bounds the time between two requests to a lender that has nothing to lend.
	maxLoanBackoff = time.Second
	// minDemandPeriod and maxDemandPeriod bound the time constant of the demand. A longer one delays loans when demand moves: the
	// lender's demand must have decayed before it lends.
	minDemandPeriod = 400 * time.Millisecond
	maxDemandPeriod = 30 * time.Second
	// demandTokens is the number of a pool's tokens whose time is the time constant of the demand, within these bounds.
	demandTokens = 4
	// prefetchPeriod is the demand for which tokens are requested at once, and prefetchBelow the remaining demand below which
	// the next tokens are requested. Both are well below tokenLife, so that few tokens expire unused.
	prefetchPeriod = 120 * time.Millisecond
	prefetchBelow  = 50 * time.Millisecond
	// minPrefetchRate is the demand per second below which tokens are requested only when there is a request for them.
	minPrefetchRate = 10.0
	// minNext and maxNext bound the time until tokens are next expected. A pool's expectation doesn't include loans to come.
	minNext = 10 * time.Millisecond
	maxNext = time.Second
	// unmetAnswers, per second, bounds a pool's incomplete answers once more than fewWaiting VMs wait. Otherwise the holder of the
	// pool of a customer far over its limit would send more than the 16 KB/s that control traffic may take.
	unmetAnswers = 70.0
	fewWaiting   = 8.0
	// reserveFraction is the fraction of the burst below which a pool borrows at once. What it holds above that is expected to
	// last for reservePeriod: random peaks of a demand below the rate must not take the parts that other pools need.
	reserveFraction = 0.4
	reservePeriod   = 300 * time.Millisecond
	// borrowSpread is the ratio of what all lenders together are first asked for to what is needed.
	borrowSpread = 1.5
	// borrowHeadroom is the ratio of the share that a pool wants to have to its demand; renewHeadroom replaces it where a loan has
	// already refilled the pool. lendHeadroom is the ratio of the share that a lender keeps to its demand.
	borrowHeadroom = 1.2
	renewHeadroom  = 1.05
	lendHeadroom   = 1.4
	// A lender keeps less the fuller its bucket is, since tokens that don't fit into it are lost. From fullFraction of its burst on it
	// keeps its demand and, for random peaks, fullPeaks divided by the square root of the burst.
	fullFraction = 0.5
	fullPeaks    = 0.5
	// burstFraction is the fraction of overshoot and slack that the bursts of the pools may use. The rest is for pools with two
	// holders and for requests that take time on their way to a target.
	burstFraction = 0.6
	// rateFraction is the fraction of the overshoot of the rate that the pools have as additional rate instead of burst. It makes up
	// for what lenders keep, of a demand above the limit.
	rateFraction = 0.5
)

// Bounds are the settings of the quotas: in any window, at most (rate*Window + burst) * (1 + Overshoot) + Slack requests of a
// customer reach targets.
type Bounds struct {
	Window           time.Duration
	Overshoot, Slack float64
}

// Limit is the limit of one customer over all VMs.
type Limit struct {
	Customer ident.Customer
	// Rate is in requests per second; 0 means no limit. Burst is in requests. An invalid rate or burst blocks the customer.
	Rate, Burst float64
}

// valid reports whether the limit is finite and not negative.
func (l Limit) valid() bool {
	return l.Rate >= 0 && l.Burst >= 0 && !math.IsInf(l.Rate, 0) && !math.IsInf(l.Burst, 0)
}

// part returns the rate and burst of the part of one of n failure domains.
func (b Bounds) part(l Limit, n int) (rate, burst float64) {
	allowance := b.Overshoot*(l.Rate*b.Window.Seconds()+l.Burst) + b.Slack
	more := rateFraction * b.Overshoot * l.Rate
	return (l.Rate + more) / float64(n), (l.Burst + burstFraction*allowance - more*b.Window.Seconds()) / float64(n)
}

// demand is a decaying rate of requests.
type demand struct {
	rate   float64
	at     time.Time
	period time.Duration
}

// periodFor returns the time constant of the demand for a pool with the given rate: at small rates the time of
// demandTokens of its tokens. With fewer, random gaps look like unused rate, which is lent and then missing.
func periodFor(rate float64) time.Duration {
	return max(minDemandPeriod, time.Duration(float64(time.Second)*min(demandTokens/rate, maxDemandPeriod.Seconds())))
}

func (d *demand) add(now time.Time) {
	d.rate, d.at = d.perSecond(now)+1/d.period.Seconds(), now
}

// perSecond returns the rate at now.
func (d *demand) perSecond(now time.Time) float64 {
	if d.rate == 0 {
		return 0
	}
	return d.rate * math.Exp(-max(now.Sub(d.at), 0).Seconds()/d.period.Seconds())
}
