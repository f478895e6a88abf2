package plan

import (
	"cmp"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/kinds"
)

// Validate checks the consistency of a received plan: the order of its lists, the sums of shares and the sums of
// granted slots. The error has the kind BadRequest.
func Validate(t TrafficPlan) error {
	if t.Version == 0 {
		return kinds.Errorf(kinds.BadRequest, "plan without a version")
	}
	if err := validateRoutes(t.Routes); err != nil {
		return err
	}
	for i, tg := range t.Targets {
		if i > 0 && tg.Name <= t.Targets[i-1].Name {
			return kinds.Errorf(kinds.BadRequest, "target %s is out of order", tg.Name)
		}
		if tg.Slots < 0 || tg.Slots > MaxSlots {
			return kinds.Errorf(kinds.BadRequest, "target %s has %d slots, allowed: at most %d", tg.Name, tg.Slots, MaxSlots)
		}
	}
	return validateGrants(t)
}

func validateRoutes(routes []Route) error {
	for i, r := range routes {
		if i > 0 {
			p := routes[i-1]
			if cmp.Or(cmp.Compare(r.Service, p.Service), cmp.Compare(r.Origin, p.Origin)) <= 0 {
				return kinds.Errorf(kinds.BadRequest, "route of %s from %s is out of order", r.Service, r.Origin)
			}
		}
		var sum int64
		for k, w := range r.Weights {
			if w.Share <= 0 || k > 0 && w.Region <= r.Weights[k-1].Region {
				return kinds.Errorf(kinds.BadRequest, "route of %s from %s: weight of %s is not positive or is out of order", r.Service, r.Origin, w.Region)
			}
			sum += int64(w.Share)
		}
		if sum != int64(ident.Whole) {
			return kinds.Errorf(kinds.BadRequest, "route of %s from %s: shares add up to %d", r.Service, r.Origin, sum)
		}
	}
	return nil
}

// validateGrants checks that the granted slots of each target don't exceed its slots. Reserved slots aren't counted: after
// the slots of a target were reduced, they exceed them until the entries have acknowledged the decrease.
func validateGrants(t TrafficPlan) error {
	target := 0
	var sum int64
	for i, g := range t.Grants {
		if i > 0 {
			p := t.Grants[i-1]
			if cmp.Or(cmp.Compare(g.Target, p.Target), cmp.Compare(g.Entry, p.Entry)) <= 0 {
				return kinds.Errorf(kinds.BadRequest, "grant of %s to %s is out of order", g.Target, g.Entry)
			}
		}
		for target < len(t.Targets) && t.Targets[target].Name < g.Target {
			target, sum = target+1, 0
		}
		if target == len(t.Targets) || t.Targets[target].Name != g.Target {
			return kinds.Errorf(kinds.BadRequest, "grant of %s, which is not in the list of targets", g.Target)
		}
		if g.Slots < 0 || g.ReservedSlots < 0 || g.ReservedSlots > MaxSlots || g.ReservedSince > t.Version {
			return kinds.Errorf(kinds.BadRequest, "grant of %s to %s has slots out of bounds or a later version than the plan", g.Target, g.Entry)
		}
		sum += int64(g.Slots)
		if sum > int64(t.Targets[target].Slots) {
			return kinds.Errorf(kinds.BadRequest, "%s has %d slots; %d are granted", g.Target, t.Targets[target].Slots, sum)
		}
	}
	return nil
}

// CheckSuccessor checks that a process may replace previous by next: next has a newer version, and its term isn't older. The
// error has the kind Conflict for an older or equal version and Fenced for an older term.
func CheckSuccessor(previous, next TrafficPlan) error {
	switch {
	case next.Version <= previous.Version:
		return kinds.Errorf(kinds.Conflict, "plan version %d is not newer than %d", next.Version, previous.Version)
	case next.Term < previous.Term:
		return kinds.Errorf(kinds.Fenced, "plan %d has term %d, older than %d", next.Version, next.Term, previous.Term)
	}
	return nil
}
