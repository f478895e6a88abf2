package pick

import "github.com/currantpier/currantpier/ident"

// rank sets the ranks of the first preferredTargets candidates of each group by rendezvous hashing.
func rank(list []candidate) {
	var first [groupCount][preferredTargets]*candidate
	for i := range list {
		c := &list[i]
		// Insert into the sorted first candidates of the group.
		for k, next := 0, c; k < preferredTargets && next != nil; k++ {
			if x := first[c.group][k]; x == nil || next.precedes(x) {
				first[c.group][k], next = next, x
			}
		}
	}
	for _, g := range first {
		for k, c := range g {
			if c != nil {
				c.rank = k
			}
		}
	}
}

// precedes reports whether c precedes d by rendezvous hashing.
func (c *candidate) precedes(d *candidate) bool {
	if c.score != d.score {
		return c.score > d.score
	}
	return c.t.ID < d.t.ID
}

// group classifies the region of a target by its relation to an object. Each group has its own ranks.
type group uint8

const (
	// homeGroup is the object's home region.
	homeGroup group = iota
	// secondGroup is the VM's own region or, if that is the home region, all others.
	secondGroup
	// lastGroup holds the regions that are neither the home region nor the VM's own.
	lastGroup
	groupCount = int(lastGroup) + 1
)

func (p *Picker) groupOf(home ident.Region, t *target) group {
	switch {
	case t.Place.Region == home:
		return homeGroup
	case home == p.place.Region, t.Place.Region == p.place.Region:
		return secondGroup
	}
	return lastGroup
}
