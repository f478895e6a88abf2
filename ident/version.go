package ident

import "strconv"

// Era counts how often the platform's store has come back from an earlier copy of itself. The first era is 1. Zero means
// that the era is not known, because the store or the sender does not state it.
//
// In a new era the store has lost its newest rows and gives out their version numbers again, so a number orders writes
// of one era only.
type Era uint32

// FirstEra is the era of a store that has lost nothing.
const FirstEra Era = 1

// numberBits is the number of low bits of a Version that hold its number. 40 bits suffice for 1,000 writes a second for
// 34 years, and the rest for 16 million eras.
const numberBits = 40

// EraBits is the number of bits of an era, which the rest of a Version holds.
const EraBits = 64 - numberBits

// Version is the version of a table row, a configuration or a traffic plan: the era of the store and, in the low bits,
// a number within that era. A version of a later era is therefore greater, whatever the numbers are. Zero means that
// there is none. A version of the first era equals its number, and so does a version from a process that does not know
// eras.
type Version uint64

// NewVersion returns version n of era e. It is zero if n is zero. An unknown era counts as the first.
func NewVersion(e Era, n uint64) Version {
	if n == 0 {
		return 0
	}
	return Version(eraBits(e) | n)
}

// Era returns the era of v, which is FirstEra if v is zero.
func (v Version) Era() Era { return eraOf(uint64(v)) }

// Number returns the number of v within its era.
func (v Version) Number() uint64 { return uint64(v) & (1<<numberBits - 1) }

// String returns the number, preceded by the era and a dot unless it is the first one.
func (v Version) String() string {
	n := strconv.FormatUint(v.Number(), 10)
	if v.Era() == FirstEra {
		return n
	}
	return strconv.FormatUint(uint64(v.Era()), 10) + "." + n
}

// NextTerm returns the term that follows t in a store whose era is e. A term that was given out in an earlier era, and
// whose row the store has lost, is less.
func NextTerm(t Term, e Era) Term { return max(t, Term(eraBits(e))) + 1 }

// Era returns the era in which t was given out.
func (t Term) Era() Era { return eraOf(uint64(t)) }

func eraBits(e Era) uint64 { return uint64(max(e, FirstEra)-FirstEra) << numberBits }

func eraOf(bits uint64) Era { return Era(bits>>numberBits) + FirstEra }
