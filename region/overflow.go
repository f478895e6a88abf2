package region

import (
	"time"

	"github.com/currantpier/currantpier/ident"
)

const (
	// changePerSecond bounds the share of the requests that change their region: the sum of the growth of the home shares and
	// of the planned shares that leave their home regions. The platform allows 0.15 within 2 s; the rest of that covers
	// overflowTolerance and the random variation of the requests.
	changePerSecond = 0.04
	// overflowTolerance is how far a measured share may differ from the planned one.
	overflowTolerance = 0.015
	// faultPeriod is how long after a target failed shares may change without a limit: requests that wait for failed targets
	// cost more than a sudden move.
	faultPeriod = 4 * time.Second
	// overflowWindow is the time constant of the mean shares, maxSampleWeight the maximum weight of one request in them.
	overflowWindow  = time.Second
	maxSampleWeight = 0.1
)

// overflow limits how fast requests leave the home regions of their objects, and return. The costs of targets can change for
// all requests at the same time, for example while caches warm up or during a burst; a sudden move would overload links and
// cold caches of other regions. Requests that stay in their home regions are never limited: which these are is random, and a
// limit on each region's share of all requests would send some of them to targets that don't know their objects.
type overflow struct {
	// away has the requests that are served outside their home regions, by the region that serves them.
	away []awayShare
	// sent is the number of all requests, decaying with overflowWindow.
	sent float64
	// unlimitedUntil is the end of the time in which shares may change without a limit.
	unlimitedUntil time.Time
}

// awayShare is the share of all requests that are served in a region that is not the home region of their objects.
type awayShare struct {
	region ident.Region
	// desired is the share by the costs of the targets alone. planned follows it by changePerSecond.
	desired, planned float64
	// sent is the number of these requests, decaying with overflowWindow. expected is what sent would be if each request had
	// followed the planned share of its time.
	sent, expected float64
}

// setRegions replaces the regions. Those that remain keep their shares.
func (o *overflow) setRegions(list shares) {
	away := make([]awayShare, len(list))
	for i, x := range list {
		away[i] = awayShare{region: x.region}
		if old := o.find(x.region); old != nil {
			away[i] = *old
		}
	}
	o.away = away
}

func (o *overflow) find(r ident.Region) *awayShare {
	for i := range o.away {
		if o.away[i].region == r {
			return &o.away[i]
		}
	}
	return nil
}

// mayLeave reports whether the next request may be served in region r, which is not its home region.
func (o *overflow) mayLeave(r ident.Region) bool {
	x := o.find(r)
	return x == nil || x.sent < x.expected+float64(overflowTolerance*max(o.sent, 1))
}

// mayStay reports whether the next request may be served in its home region: so many requests are away that not all of them
// return at once.
func (o *overflow) mayStay() bool {
	expected, sent := 0.0, 0.0
	for _, x := range o.away {
		expected += x.expected
		sent += x.sent
	}
	return sent >= expected-float64(overflowTolerance*o.sent)
}

// record records a request that goes to region to and that the costs alone would send to region desired. The weight is that of
// one request in the mean shares, step the allowed change of the planned shares.
func (o *overflow) record(home, desired, to ident.Region, weight, step float64) {
	o.sent = float64((1-weight)*o.sent) + 1
	grow, shrink := 0.0, 0.0
	for i := range o.away {
		x := &o.away[i]
		x.desired += float64(weight * (indicator(x.region == desired && desired != home) - x.desired))
		x.sent = float64((1-weight)*x.sent) + indicator(x.region == to && to != home)
		x.expected = float64((1-weight)*x.expected) + x.planned
		grow += max(0, x.desired-x.planned)
		shrink += max(0, x.planned-x.desired)
	}
	if change := max(grow, shrink); change > 0 {
		part := min(1, step/change)
		for i := range o.away {
			x := &o.away[i]
			x.planned += float64(part * (x.desired - x.planned))
		}
	}
}

func indicator(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
