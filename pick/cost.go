package pick

import (
	"math"
	"time"

	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/ident"
)

// The cost of sending a request to a target is a sum of times:
//
//	term       value                                                      stands for
//	expected   round trip + (service time + wait) * slowdown * pace       the caller's wait
//	failures   failPenalty * (failure rate - toleratedFailRate)           further attempts
//	distance   domainPenalty, regionPenalty, or that and two round trips  traffic on the links
//	miss       unknownObjectWeight * extra time of an unknown object      the wait of others, and the next miss
//	spread     the same once more beyond the preferred targets            another cache that holds the object
//	           without an object, if pool.spreads:                        VMs that all choose the target that looks best
//	           sampleWeight * service time, beyond few random targets
//	balance    estimator.balance, for one of several holders of an object the loads of the others
const (
	// reportDecay is the time constant with which the estimated load of other VMs at a target goes from the last report to
	// unreportedLoad times the mean of the service.
	reportDecay    = 1500 * time.Millisecond
	unreportedLoad = 0.5
	// maxReportAge is the age from which on a report is ignored. Its weight has decayed to less than 0.01.
	maxReportAge = 5 * reportDecay
	// defaultRegionRTT is the round trip to another region until one was measured, defaultDomainRTT the round trip to another
	// failure domain of the same region, which isn't measured.
	defaultRegionRTT = 100 * time.Millisecond
	defaultDomainRTT = 3 * time.Millisecond
	// initialServiceTime is the least initial value of a route's mean service time for unknown objects.
	initialServiceTime = 200 * time.Millisecond
	// coldSlowdown is the ratio of a cold target's service time to the mean for unknown objects.
	coldSlowdown = 2
	// failPenalty is the cost of a failure rate of 1, toleratedFailRate the rate up to which a target has none.
	failPenalty       = 500 * time.Millisecond
	toleratedFailRate = 0.05
	// regionPenalty and domainPenalty express the cost of traffic between regions and between failure domains as time.
	regionPenalty = 40 * time.Millisecond
	domainPenalty = 3 * time.Millisecond
	// unknownObjectWeight multiplies the extra service time of an unknown object: the request delays those queued behind it and
	// evicts another object from the target's cache. With 1, a burst spread every object over all targets and kept all caches
	// cold.
	unknownObjectWeight = 8.0
	// sampleWeight multiplies the service time as the cost of a target that is not among the few random ones that a request without
	// an object prefers; the second of these has half of it, so that equal ones are chosen equally often. In the model of 36 VMs and 120 targets with uneven pace, 0.25 and more gave more late requests under heavy
	// load than no pace at all, and 0 ten times as many under light load.
	sampleWeight = 0.1
)

// serviceTimes holds the mean service times of a route's requests: the times at a target without queueing and round trip.
type serviceTimes struct {
	// known is the mean for objects that the target has processed recently, unknown the mean for all others.
	known, unknown time.Duration
	// knownSamples and unknownSamples are the numbers of samples in the means.
	knownSamples, unknownSamples int
}

// learned reports whether the means have enough samples to refuse requests by them.
func (w *serviceTimes) learned() bool { return w.knownSamples+w.unknownSamples >= minSamples }

// estimator has what the estimates for all candidates of a request depend on.
type estimator struct {
	p       *Picker
	now     time.Time
	request Request
	times   *serviceTimes
	// spread is the value of pool.spreads.
	spread bool
	// nearestRTT is the round trip to the nearest other region.
	nearestRTT time.Duration
	// left is the time until the deadline. learned is set if requests are refused by the service times.
	left    time.Duration
	learned bool
}

func (p *Picker) newEstimator(now time.Time, pl *pool, a Request, mode pass) estimator {
	times := p.serviceTimesIn(mode, a.Route)
	return estimator{p: p, now: now, request: a, spread: pl.spreads(now), times: times, nearestRTT: p.nearestRegionRTT(),
		left: a.Deadline.Sub(now), learned: times.learned()}
}

// late reports whether a candidate is not expected to respond before the deadline.
func (e *estimator) late(c *candidate) bool { return c.expected >= e.left && e.learned }

// estimate sets the candidate's expected time, its cost and whether it knows the object.
func (e *estimator) estimate(c *candidate) {
	c.known = e.knows(c)
	c.expected = e.expected(c)
	c.cost = c.expected + e.failures(c) + e.distance(c)
	if c.holder > 0 {
		c.cost += e.balance(c)
	}
	if !c.known {
		miss, spread := e.miss(c)
		c.cost += miss + spread
	}
}

// miss returns the terms of the cost of a candidate that doesn't know the object: miss and spread.
func (e *estimator) miss(c *candidate) (miss, spread time.Duration) {
	miss = scale(e.times.unknown-e.times.known, unknownObjectWeight)
	switch {
	case e.request.Object == 0 && e.spread:
		spread = scale(e.times.unknown, float64(c.rank)*sampleWeight/preferredTargets)
	case e.request.Object != 0 && c.rank >= preferredTargets:
		spread = miss
	}
	return miss, spread
}

// knows reports whether the target has probably processed the object recently. The first target of an object does, since all
// VMs send its requests there, and so do its further holders.
func (e *estimator) knows(c *candidate) bool {
	switch {
	case e.request.Object == 0:
		return false
	case c.rank == 0 && c.group != lastGroup, c.holder > 0:
		return true
	}
	last, seen := c.t.lastRequest[e.request.Object]
	return seen && e.now.Sub(last) < knownPeriod
}

// expected returns the time to the response.
func (e *estimator) expected(c *candidate) time.Duration {
	serviceTime := e.times.unknown
	if c.known {
		serviceTime = e.times.known
	}
	if e.now.Before(c.t.ColdUntil) {
		serviceTime = coldSlowdown * e.times.unknown
	}
	wait := scale(e.times.known, c.t.queueLength(e.now)/float64(max(c.t.Slots, 1)))
	return e.p.rtt(c.t) + scale(serviceTime+wait, c.t.slowdown*c.t.pace(e.now))
}

func (e *estimator) failures(c *candidate) time.Duration {
	return scale(failPenalty, max(c.t.failRate-toleratedFailRate, 0))
}

func (e *estimator) distance(c *candidate) time.Duration {
	switch d := c.t.distance; {
	case d == ident.OtherRegion && c.group != homeGroup:
		return regionPenalty
	case d != ident.OtherRegion && c.group == secondGroup:
		// A target in the VM's own region is as far from the object's home region as the VM is.
		return 2*e.nearestRTT + regionPenalty
	case d == ident.SameRegion:
		return domainPenalty
	}
	return 0
}

func scale(d time.Duration, x float64) time.Duration { return time.Duration(float64(d) * x) }

// RecordRTT records the time that it took to open a connection to a region. A shorter time replaces the estimate, a longer one
// moves it by an eighth of the difference.
func (p *Picker) RecordRTT(r ident.Region, d time.Duration) {
	if old, ok := p.regionRTT[r]; ok {
		d = min(old+(d-old)/8, d)
	}
	p.regionRTT[r] = d
}

// nearestRegionRTT returns the shortest measured round trip to another region, at most defaultRegionRTT.
func (p *Picker) nearestRegionRTT() time.Duration {
	nearest := defaultRegionRTT
	for r, d := range p.regionRTT {
		if r != p.place.Region {
			nearest = min(nearest, d)
		}
	}
	return nearest
}

// rtt returns the estimated round trip to a target. It is zero within a failure domain.
func (p *Picker) rtt(t *target) time.Duration {
	switch t.distance {
	case ident.OtherRegion:
		if d, ok := p.regionRTT[t.Place.Region]; ok {
			return d
		}
		return defaultRegionRTT
	case ident.SameRegion:
		return defaultDomainRTT
	}
	return 0
}

// load returns the estimated number of requests of all VMs at the target. A target without a recent report does not count as
// idle: otherwise an overload sends requests on to targets that are as full.
func (t *target) load(now time.Time) float64 {
	unreported := float64(unreportedLoad * t.pool.othersPerSlot * float64(t.Slots))
	age := now.Sub(t.reportedAt)
	if age >= maxReportAge {
		return float64(t.inFlight) + unreported
	}
	constant := reportDecay
	if t.heard {
		constant = heardDecay
	}
	decay := math.Exp(-float64(age) / float64(constant))
	return float64(t.inFlight) + unreported + float64((t.othersLoad-unreported)*decay)
}

// queueLength returns the estimated number of requests that must end before a further one gets a slot.
func (t *target) queueLength(now time.Time) float64 {
	return max(0, t.load(now)+1-float64(t.Slots))
}

func (p *Picker) serviceTimesOf(r *fleet.Route) *serviceTimes { return p.serviceTimesIn(choosing, r) }

// serviceTimesIn returns the service times of a route. A preview doesn't store the initial ones of a route without requests.
func (p *Picker) serviceTimesIn(mode pass, r *fleet.Route) *serviceTimes {
	w := p.serviceTimes[r.Name]
	if w == nil {
		first := max(r.LatencyTarget, initialServiceTime)
		w = &serviceTimes{known: first / 3, unknown: first}
		if mode == choosing {
			p.serviceTimes[r.Name] = w
		}
	}
	return w
}
