package lists

import (
	"slices"
	"sort"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/kinds"
)

// WithLists returns a copy of c with both lists replaced and the same drains and moves. Like the other With methods it
// does not modify c, and the copy has version zero. The error has kind BadRequest and wraps a *Problems.
func (c Config) WithLists(customers []CustomerPlan, uses []Use) (Config, error) {
	c.Customers, c.Uses = slices.Clone(customers), slices.Clone(uses)
	sortCustomers(c.Customers)
	sortUses(c.Uses)
	return c.checkEdit()
}

// WithDrain returns a copy of c with the drain d added. It returns a Conflict error if c already has d.
func (c Config) WithDrain(d Drain) (Config, error) {
	if slices.Contains(c.Drains, d) {
		return Config{}, kinds.Errorf(kinds.Conflict, "%s %s is already drained", d.Scope, d.Name)
	}
	c.Drains = append(slices.Clone(c.Drains), d)
	sort.Slice(c.Drains, func(i, j int) bool { return lessDrain(c.Drains[i], c.Drains[j]) })
	return c.checkEdit()
}

// WithoutDrain returns a copy of c with the drain d removed. It returns a NotFound error if c does not have d.
func (c Config) WithoutDrain(d Drain) (Config, error) {
	i := slices.Index(c.Drains, d)
	if i < 0 {
		return Config{}, kinds.Errorf(kinds.NotFound, "%s %s is not drained", d.Scope, d.Name)
	}
	c.Drains = slices.Delete(slices.Clone(c.Drains), i, i+1)
	return c.checkEdit()
}

// WithMove returns a copy of c with the move m, which replaces a move of the same service and origin.
func (c Config) WithMove(m Move) (Config, error) {
	c.Moves = slices.Clone(c.Moves)
	if i := c.indexMove(m.Service, m.From); i >= 0 {
		c.Moves[i] = m
		return c.checkEdit()
	}
	c.Moves = append(c.Moves, m)
	sort.Slice(c.Moves, func(i, j int) bool { return lessMove(c.Moves[i], c.Moves[j]) })
	return c.checkEdit()
}

// WithoutMove returns a copy of c without the move of a service from a region. It returns a NotFound error if there is
// none.
func (c Config) WithoutMove(s ident.Service, from ident.Region) (Config, error) {
	i := c.indexMove(s, from)
	if i < 0 {
		return Config{}, kinds.Errorf(kinds.NotFound, "no move of %s from %s", s, from)
	}
	c.Moves = slices.Delete(slices.Clone(c.Moves), i, i+1)
	return c.checkEdit()
}

// indexMove returns the index of a move in c.Moves, or -1.
func (c Config) indexMove(s ident.Service, from ident.Region) int {
	return slices.IndexFunc(c.Moves, func(m Move) bool { return m.Service == s && m.From == from })
}

// checkEdit returns c with version zero, or an error if it does not pass Check.
func (c Config) checkEdit() (Config, error) {
	c.Version = 0
	if err := c.Check(); err != nil {
		return Config{}, err
	}
	return c, nil
}
