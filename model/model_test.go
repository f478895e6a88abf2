package model

import (
	"strings"
	"testing"
)

// number is a state of a specification that counts up to 9.
type number byte

func (n number) AppendKey(b []byte) []byte { return append(b, byte(n)) }

// Guards against a search that reports success without having seen every state or situation.
func TestCheckReportsWhatItMissed(t *testing.T) {
	spec := Spec{
		Name:  "numbers",
		Start: number(0),
		Steps: func(s State) []Step {
			if n := s.(number); n < 9 {
				return []Step{{"up", n + 1}, {"stay", n}}
			}
			return nil
		},
		Goals: []Goal{
			{"nine", func(s State) bool { return s == number(9) }},
			{"ten", func(s State) bool { return s == number(10) }},
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
		if r.States != tt.states || r.Complete != tt.complete || strings.Join(r.Missed, " ") != tt.missed {
			t.Errorf("limit %d: %+v", tt.limit, r)
		}
	}
}
