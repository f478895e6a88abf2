package pick

import (
	"math/rand"
	"slices"
	"time"
)

// exclusion says why a target is no candidate for a request.
type exclusion uint8

const (
	eligible exclusion = iota
	// excludedReplaced: another target responds at its address.
	excludedReplaced
	// excludedNotAllowed: the route, the customer or an earlier attempt allows only other targets.
	excludedNotAllowed
	excludedLeaving
	excludedBackedOff
	// excludedTried: an earlier attempt was sent there.
	excludedTried
	// excludedCold: it is cold, and this VM may not send to it now.
	excludedCold
	// excludedSuspect: it is suspect, and gets requests only if no other target is eligible.
	excludedSuspect
)

// String returns the exclusion in kebab case.
func (x exclusion) String() string {
	return [...]string{"", "replaced", "not-allowed", "leaving", "backed-off", "tried", "cold", "suspect"}[x]
}

// reason returns the reason of Choose if all targets are excluded for this.
func (x exclusion) reason() Reason {
	switch x {
	case excludedLeaving:
		return AllLeaving
	case excludedBackedOff:
		return BackedOff
	case excludedCold:
		return ColdOnly
	}
	return NoTarget
}

// exclusion returns why a target is no candidate for a request now, or eligible.
func (p *Picker) exclusion(now time.Time, a *Request, t *target, mode pass) exclusion {
	switch {
	case t.replaced:
		return excludedReplaced
	case !a.allows(t):
		return excludedNotAllowed
	}
	if t.notice != nil {
		switch t.notice.excludes(now, t) {
		case AllLeaving:
			return excludedLeaving
		case BackedOff:
			return excludedBackedOff
		}
	}
	switch {
	case slices.Contains(a.Excluded, t.ID):
		return excludedTried
	case now.Before(t.ColdUntil) && !p.maySendCold(now, t, mode):
		return excludedCold
	case now.Before(t.suspectUntil):
		return excludedSuspect
	}
	return eligible
}

// peekSource is a random source whose next value can be read in advance. Its sequence is that of rand.NewSource.
type peekSource struct {
	rand.Source64
	next   uint64
	peeked bool
}

func newPeekSource(seed int64) *peekSource {
	return &peekSource{Source64: rand.NewSource(seed).(rand.Source64)}
}

// Uint64 implements rand.Source64.
func (s *peekSource) Uint64() uint64 {
	if s.peeked {
		s.peeked = false
		return s.next
	}
	return s.Source64.Uint64()
}

// Int63 implements rand.Source.
func (s *peekSource) Int63() int64 { return int64(s.Uint64() &^ (1 << 63)) }

// peek returns what the next call of Uint64 will return.
func (s *peekSource) peek() uint64 {
	if !s.peeked {
		s.next, s.peeked = s.Source64.Uint64(), true
	}
	return s.next
}

// randomKey returns the key that ranks the targets of a request without an object.
func (p *Picker) randomKey(mode pass) uint64 {
	if mode == previewing {
		return p.spreadSource.peek()
	}
	return p.spread.Uint64()
}
