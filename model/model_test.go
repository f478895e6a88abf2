package model

import (
	"strings"
	"testing"
)

// counterState is a state of a specification that counts up to 9.
type counterState byte

func (n counterState) AppendKey(b []byte) []byte { return append(b, byte(n)) }

// Guards against a search that reports success although it skipped states or goals.
func TestIncompleteSearch(t *testing.T) {
	spec := Spec{
		Name:    "numbers",
		Initial: counterState(0),
		Transitions: func(s State) []Transition {
			if n := s.(counterState); n < 9 {
				return []Transition{{"up", n + 1}, {"stay", n}}
			}
			return nil
		},
		Goals: []Goal{
			{"nine", func(s State) bool { return s == counterState(9) }},
			{"ten", func(s State) bool { return s == counterState(10) }},
		},
	}
	tests := []struct {
		limit, states int
		complete      bool
		missed        string
	}{{0, 10, true, "ten"}, {10, 10, true, "ten"}, {9, 9, false, "nine ten"}}
	for _, tt := range tests {
		spec.MaxStates = tt.limit
		r := Check(spec)
		if r.States != tt.states || r.Complete != tt.complete || strings.Join(r.Unreached, " ") != tt.missed {
			t.Errorf("limit %d: %+v", tt.limit, r)
		}
	}
}
