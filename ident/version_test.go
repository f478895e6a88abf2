package ident_test

import (
	"testing"

	"github.com/currantpier/currantpier/ident"
)

// Guards against an order of versions or terms that a number given out again can break, and against versions of the
// first era that differ from those of a build that does not know eras.
func TestVersionsOfEras(t *testing.T) {
	ascending := []ident.Version{
		0, ident.NewVersion(0, 1), ident.NewVersion(1, 2), ident.NewVersion(1, 1<<40-1), ident.NewVersion(2, 1),
		ident.NewVersion(2, 7), ident.NewVersion(3, 2), ident.NewVersion(1<<24, 1),
	}
	for i := 1; i < len(ascending); i++ {
		if ascending[i] <= ascending[i-1] {
			t.Errorf("version %d of era %d is not greater than version %d of era %d", ascending[i].Number(), ascending[i].Era(),
				ascending[i-1].Number(), ascending[i-1].Era())
		}
	}
	if v := ident.NewVersion(3, 7); v.Era() != 3 || v.Number() != 7 || v+1 != ident.NewVersion(3, 8) {
		t.Errorf("version 7 of era 3: era %d, number %d", v.Era(), v.Number())
	}
	if ident.NewVersion(1, 7) != 7 || ident.NewVersion(0, 7) != 7 || ident.NewVersion(5, 0) != 0 {
		t.Error("a version of the first or an unknown era differs from its number, or the absent version is not zero")
	}
	first := ident.NextTerm(4, ident.FirstEra)
	second := ident.NextTerm(3, 2)
	if first != 5 || second <= first || ident.NextTerm(second, 2) != second+1 || second.Era() != 2 || ident.NextTerm(second, 1) <= second {
		t.Errorf("terms %d and %d (era %d) do not increase", first, second, second.Era())
	}
}
