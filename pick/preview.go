package pick

import (
	"cmp"
	"slices"
	"time"

	"github.com/currantpier/currantpier/ident"
)

// Preview is what Choose would decide on a request, and on what grounds.
type Preview struct {
	// Reason is the reason that Choose would return, Target the target that it would choose; empty if there is none.
	Reason string       `json:"reason"`
	Target ident.Target `json:"target,omitempty"`
	// Random is set if requests like this one prefer random targets. Target is then the choice for the next request of this VM, and a
	// later one may get another.
	Random bool `json:"random"`
	// Home is the home region of the request's object, the VM's own region for a request without an object.
	Home ident.Region `json:"home-region,omitempty"`
	// Holders are the targets that count as holders of the object, the first one first.
	Holders []ident.Target `json:"holders,omitempty"`
	// Targets are the candidates in the order of preference, then the excluded targets by id.
	Targets []TargetPreview `json:"targets"`
	// Eligible is the number of candidates, Late the number of those that aren't expected to respond before the deadline. Excluded has
	// the number of the other targets by the cause of their exclusion.
	Eligible int            `json:"eligible"`
	Late     int            `json:"late"`
	Excluded map[string]int `json:"excluded,omitempty"`
}

// TargetPreview is one target of a service in a Preview.
type TargetPreview struct {
	ID       ident.Target `json:"id"`
	Region   ident.Region `json:"region"`
	Domain   ident.Domain `json:"failure-domain"`
	InFlight int          `json:"in-flight"`
	// Load is the estimated number of requests of all VMs at the target.
	Load         float64     `json:"load"`
	Slots        ident.Slots `json:"slots"`
	Pace         float64     `json:"pace"`
	Cold         bool        `json:"cold,omitempty"`
	ColdUntil    time.Time   `json:"cold-until,omitzero"`
	Suspect      bool        `json:"suspect,omitempty"`
	SuspectUntil time.Time   `json:"suspect-until,omitzero"`
	Leaving      bool        `json:"leaving,omitempty"`
	// ResumeAt is when this VM sends to the target again after a back-off, zero if it hasn't asked for one or the time is over.
	ResumeAt time.Time `json:"resume-at,omitzero"`
	// Excluded is why the target is no candidate; empty for a candidate. The following fields are set only for candidates.
	Excluded string `json:"excluded,omitempty"`
	Known    bool   `json:"known-object,omitempty"`
	Holder   int    `json:"holder,omitempty"`
	// Late is set if no response is expected before the deadline, RegionLimited if the request may not move to the region now.
	Late          bool    `json:"late,omitempty"`
	RegionLimited bool    `json:"region-limited,omitempty"`
	ExpectedMS    float64 `json:"expected-ms,omitempty"`
	CostMS        float64 `json:"cost-ms,omitempty"`
	// Terms are the terms of the cost. Their sum is CostMS.
	Terms *CostTerms `json:"cost-terms,omitempty"`
}

// CostTerms are the terms of a target's cost in milliseconds, as listed in cost.go.
type CostTerms struct {
	ExpectedMS float64 `json:"expected-ms"`
	FailuresMS float64 `json:"failures-ms"`
	DistanceMS float64 `json:"distance-ms"`
	MissMS     float64 `json:"miss-ms"`
	SpreadMS   float64 `json:"spread-ms"`
	BalanceMS  float64 `json:"balance-ms"`
}

// Preview returns what Choose would decide on a request now. It changes nothing that a later decision depends on.
func (p *Picker) Preview(now time.Time, a Request) Preview {
	pl := p.pools[a.Service]
	if pl == nil || len(pl.targets) == 0 {
		return Preview{Reason: NoTarget.String(), Targets: []TargetPreview{}}
	}
	d := p.decide(now, pl, a, previewing)
	v := Preview{Reason: d.reason.String(), Random: a.Object == 0 && pl.spreads(now), Home: d.home, Eligible: len(d.list),
		Excluded: map[string]int{}, Targets: make([]TargetPreview, 0, len(pl.targets))}
	if d.chosen != nil {
		v.Target = d.chosen.t.ID
	}
	e := p.newEstimator(now, pl, a, previewing)
	inList := make(map[*target]bool, len(d.list))
	for i := range d.list {
		c := &d.list[i]
		inList[c.t] = true
		x := e.preview(c)
		x.Late = e.late(c)
		x.RegionLimited = d.homeEligible && !pl.homes.Allows(now, d.home, c.t.Place.Region)
		if x.Late {
			v.Late++
		}
		v.Targets = append(v.Targets, x)
	}
	slices.SortStableFunc(v.Targets, func(x, y TargetPreview) int {
		return cmp.Or(later(x.ID != v.Target, y.ID != v.Target), later(x.Late, y.Late), later(x.RegionLimited, y.RegionLimited),
			cmp.Compare(x.CostMS, y.CostMS))
	})
	for _, t := range pl.targets {
		if inList[t] {
			continue
		}
		x := t.preview(now)
		x.Excluded = p.exclusion(now, &a, t, previewing).String()
		v.Excluded[x.Excluded]++
		v.Targets = append(v.Targets, x)
	}
	v.Holders = d.holderIDs(a)
	return v
}

// later orders true after false.
func later(x, y bool) int {
	switch {
	case x == y:
		return 0
	case x:
		return 1
	}
	return -1
}

// holderIDs returns the holders of the request's object. An object with one holder has its first target by rendezvous hashing in the
// home region.
func (d *decision) holderIDs(a Request) []ident.Target {
	var ids []ident.Target
	for _, c := range d.holders {
		ids = append(ids, c.t.ID)
	}
	if len(ids) > 0 || a.Object == 0 {
		return ids
	}
	for i := range d.list {
		if c := &d.list[i]; c.group == homeGroup && c.rank == 0 {
			return []ident.Target{c.t.ID}
		}
	}
	return nil
}

// preview returns the state of the target.
func (t *target) preview(now time.Time) TargetPreview {
	x := TargetPreview{ID: t.ID, Region: t.Place.Region, Domain: t.Place.Domain, InFlight: t.inFlight, Load: t.load(now), Slots: t.Slots,
		Pace: t.pace(now)}
	if now.Before(t.ColdUntil) {
		x.Cold, x.ColdUntil = true, t.ColdUntil
	}
	if now.Before(t.suspectUntil) {
		x.Suspect, x.SuspectUntil = true, t.suspectUntil
	}
	if t.notice != nil {
		x.Leaving = !t.notice.leavingSince.IsZero()
		if resume := t.notice.backOff.resumeAt; now.Before(resume) {
			x.ResumeAt = resume
		}
	}
	return x
}

// preview returns the state of a candidate that was estimated, and the terms of its cost.
func (e *estimator) preview(c *candidate) TargetPreview {
	x := c.t.preview(e.now)
	x.Known, x.Holder = c.known, int(c.holder)
	x.ExpectedMS, x.CostMS = milliseconds(c.expected), milliseconds(c.cost)
	x.Terms = &CostTerms{ExpectedMS: x.ExpectedMS, FailuresMS: milliseconds(e.failures(c)), DistanceMS: milliseconds(e.distance(c))}
	if c.holder > 0 {
		x.Terms.BalanceMS = milliseconds(e.balance(c))
	}
	if !c.known {
		miss, spread := e.miss(c)
		x.Terms.MissMS, x.Terms.SpreadMS = milliseconds(miss), milliseconds(spread)
	}
	return x
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
