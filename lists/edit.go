package lists

import "github.com/currantpier/currantpier/ident"

// Check returns every violation of the invariants of c, as Problems.
func (c Config) Check() error { return nil }

// Encode returns c as canonical JSON: equal configurations have equal bytes.
func (c Config) Encode() []byte { return nil }

// Decode reads what Encode wrote and checks it.
func Decode(b []byte) (Config, error) { return Config{}, nil }

// Diff describes the changes from old to cur, one line each, in a fixed order. Versions are not compared.
func Diff(old, cur Config) []string { return nil }

// WithLists returns a copy of c with both lists replaced; drains and moves stay. The version of the copy is zero.
func (c Config) WithLists(customers []CustomerPlan, uses []Use) (Config, error) { return c, nil }

// WithDrain returns a copy of c in which d is announced. It returns a Conflict error if it already is.
func (c Config) WithDrain(d Drain) (Config, error) { return c, nil }

// WithoutDrain returns a copy of c in which d is not announced. It returns a NotFound error if it was not.
func (c Config) WithoutDrain(d Drain) (Config, error) { return c, nil }

// WithMove returns a copy of c with the move m. It replaces a move of the same service and origin.
func (c Config) WithMove(m Move) (Config, error) { return c, nil }

// WithoutMove returns a copy of c without the move of a service from a region. It returns a NotFound error if there is
// none.
func (c Config) WithoutMove(s ident.Service, from ident.Region) (Config, error) { return c, nil }
