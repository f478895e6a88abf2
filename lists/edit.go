package lists

import (
	"slices"
	"sort"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/kinds"
)

// WithLists returns a copy of c with both lists replaced; drains and moves stay. Like every edit it leaves c unchanged,
// and the version of the copy is zero. The error has kind BadRequest and wraps a *Problems.
func (c Config) WithLists(customers []CustomerPlan, uses []Use) (Config, error) {
	c.Customers, c.Uses = slices.Clone(customers), slices.Clone(uses)
	sortCustomers(c.Customers)
	sortUses(c.Uses)
	return c.edited()
}

// WithDrain returns a copy of c in which d is announced. It returns a Conflict error if it already is.
func (c Config) WithDrain(d Drain) (Config, error) {
	if slices.Contains(c.Drains, d) {
		return Config{}, kinds.Errorf(kinds.Conflict, "%s %s is already drained", d.Scope, d.Name)
	}
	c.Drains = append(slices.Clone(c.Drains), d)
	sort.Slice(c.Drains, func(i, j int) bool { return lessDrain(c.Drains[i], c.Drains[j]) })
	return c.edited()
}

// WithoutDrain returns a copy of c in which d is not announced. It returns a NotFound error if it was not.
func (c Config) WithoutDrain(d Drain) (Config, error) {
	i := slices.Index(c.Drains, d)
	if i < 0 {
		return Config{}, kinds.Errorf(kinds.NotFound, "%s %s is not drained", d.Scope, d.Name)
	}
	c.Drains = slices.Delete(slices.Clone(c.Drains), i, i+1)
	return c.edited()
}

// WithMove returns a copy of c with the move m. It replaces a move of the same service and origin.
func (c Config) WithMove(m Move) (Config, error) {
	c.Moves = slices.Clone(c.Moves)
	if i := c.move(m.Service, m.From); i >= 0 {
		c.Moves[i] = m
		return c.edited()
	}
	c.Moves = append(c.Moves, m)
	sort.Slice(c.Moves, func(i, j int) bool { return lessMove(c.Moves[i], c.Moves[j]) })
	return c.edited()
}

// WithoutMove returns a copy of c without the move of a service from a region. It returns a NotFound error if there is
// none.
func (c Config) WithoutMove(s ident.Service, from ident.Region) (Config, error) {
	i := c.move(s, from)
	if i < 0 {
		return Config{}, kinds.Errorf(kinds.NotFound, "no move of %s from %s", s, from)
	}
	c.Moves = slices.Delete(slices.Clone(c.Moves), i, i+1)
	return c.edited()
}

func (c Config) move(s ident.Service, from ident.Region) int {
	return slices.IndexFunc(c.Moves, func(m Move) bool { return m.Service == s && m.From == from })
}

func (c Config) edited() (Config, error) {
	c.Version = 0
	if err := c.Check(); err != nil {
		return Config{}, err
	}
	return c, nil
}
