package pick

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/heat"
	"github.com/currantpier/currantpier/ident"
)

const (
	// holderShare is the part of a target's slots that one object may take up. The rest is for the target's other objects.
	holderShare = 0.25
	// loadFactor is the bound of a holder's load, as a ratio to the mean load of the service.
	loadFactor = 1.25
	// balanceWeight is the part of a known object's service time that a holder with all slots in use costs more than an idle one.
	// Reports are old by the time of a request, so that a slot that looks free may be taken.
	balanceWeight = 0.5
)

// Option changes the behavior of a Picker.
type Option func(*Picker)

// WithHolders gives an object as many holders as its demand needs: targets of its home region that count as knowing it.
func WithHolders() Option {
	return func(p *Picker) { p.heat = heat.NewTable() }
}

// SetCallerShare sets the part of the region's callers that use this VM. The callers of an object are in one region, so that the
// object's demand is this VM's rate divided by this share.
func (p *Picker) SetCallerShare(share float64) {
	if share > 0 {
		p.callerShare = min(share, 1)
	}
}

// countHolders returns the number of holders of a request's object, 0 if this is not in use. It records the first attempt of the
// request: further attempts are no further demand.
func (p *Picker) countHolders(now time.Time, pl *pool, a Request, mode pass) int {
	if p.heat == nil || a.Object == 0 {
		return 0
	}
	if len(a.Excluded) > 0 {
		return p.heat.Holders(now, uint64(a.Object))
	}
	perHolder := holderShare * max(pl.meanSlots, 1) / max(p.serviceTimesIn(mode, a.Route).known, time.Millisecond).Seconds()
	k := heat.Key{Object: uint64(a.Object), Route: a.Route, Service: a.Service}
	if mode == previewing {
		return p.heat.HoldersAfterRecord(now, k, perHolder*p.callerShare)
	}
	return p.heat.Record(now, k, perHolder*p.callerShare)
}

// markHolders marks the first n candidates of the home region by rendezvous hashing as holders, so that VMs which know the same
// targets select the same ones and a VM with a lower estimate selects a part of them. A cold target is slower than one that doesn't
// know the object and is no holder.
func (p *Picker) markHolders(now time.Time, list []candidate, n int, mode pass) []*candidate {
	if n < 2 {
		return nil
	}
	first := p.holderBuf[:0]
	for i := range list {
		c := &list[i]
		if c.group != homeGroup || now.Before(c.t.ColdUntil) {
			continue
		}
		switch {
		case len(first) < n:
			first = append(first, c)
		case c.precedes(first[n-1]):
			first[n-1] = c
		default:
			continue
		}
		for k := len(first) - 1; k > 0 && first[k].precedes(first[k-1]); k-- {
			first[k], first[k-1] = first[k-1], first[k]
		}
	}
	roomy := 0
	for k, c := range first {
		c.holder = uint8(k + 1)
		c.overBound = c.t.load(now)+1 > c.t.loadBound()
		if !c.overBound {
			roomy++
		}
	}
	// The offset alternates which holder comes first among equals; each VM starts elsewhere.
	offset := p.holderOffset + 1
	if mode == choosing {
		p.holderOffset = offset
	}
	for k, c := range first {
		c.overBound = c.overBound && roomy > 0
		c.turn = float32((uint64(k)+p.selfHash+offset)%uint64(len(first))) / float32(len(first))
	}
	return first
}

// loadBound returns the number of requests up to which a holder gets further ones while another holder has room. A free slot is
// always within the bound.
func (t *target) loadBound() float64 {
	return float64(t.Slots) * max(1, loadFactor*t.pool.othersPerSlot)
}

// balance returns the cost of a holder that depends on the other holders: its load, its turn among equals, and the price of an
// unknown object if it is over its bound and another holder isn't.
func (e *estimator) balance(c *candidate) time.Duration {
	slots := float64(max(c.t.Slots, 1))
	cost := scale(e.times.known, balanceWeight*(c.t.load(e.now)+float64(c.turn))/slots)
	if c.overBound {
		cost += scale(e.times.unknown-e.times.known, unknownObjectWeight)
	}
	return cost
}

// HotObject is an object with more than one holder in a dump.
type HotObject struct {
	// Object is the object's hash in hexadecimal digits.
	Object  string          `json:"object"`
	Route   fleet.RouteName `json:"route"`
	Service ident.Service   `json:"service"`
	// Rate is this VM's rate in requests per second, Demand the estimate for the region.
	Rate   float64 `json:"rate"`
	Demand float64 `json:"demand"`
	// Needed is the number of holders by the demand; Holders are the targets that have been found, the first one first.
	Needed  int            `json:"needed"`
	Holders []ident.Target `json:"holders"`
}

// HotObjects returns the objects with more than one holder, those with the highest rates first.
func (p *Picker) HotObjects(now time.Time) []HotObject {
	if p.heat == nil {
		return nil
	}
	var all []HotObject
	for _, h := range p.heat.Hot(now) {
		x := HotObject{Object: strconv.FormatUint(h.Object, 16), Route: h.Route.Name, Service: h.Service, Rate: h.Rate,
			Demand: h.Rate / p.callerShare, Needed: h.Holders}
		if pl := p.pools[h.Service]; pl != nil {
			a := Request{Route: h.Route, Service: h.Service, Object: Object(h.Object)}
			list, _ := p.candidates(now, pl, a, p.homeRegion(pl, a), previewing)
			for _, c := range p.markHolders(now, list, h.Holders, previewing) {
				x.Holders = append(x.Holders, c.t.ID)
			}
		}
		all = append(all, x)
	}
	slices.SortFunc(all, func(a, b HotObject) int { return cmp.Or(cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Object, b.Object)) })
	return all
}
