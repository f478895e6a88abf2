package model_test

import (
	"fmt"
	"strconv"

	"github.com/currantpier/currantpier/model"
)

// counter is a shared counter that two processes increment by a read and a write.
type counter struct {
	value int
	// read is the value that each process has read, -1 before the read and 9 after the write; done counts the writes.
	read [2]int
	done int
}

func (c counter) AppendKey(b []byte) []byte { return fmt.Append(b, c) }

func transitions(s model.State) []model.Transition {
	c := s.(counter)
	var list []model.Transition
	for i := range c.read {
		next, who := c, "process "+strconv.Itoa(i)
		if c.read[i] < 0 {
			next.read[i] = c.value
			list = append(list, model.Transition{Name: who + " reads", To: next})
		} else if c.read[i] < 9 {
			next.value, next.read[i], next.done = c.read[i]+1, 9, c.done+1
			list = append(list, model.Transition{Name: who + " writes", To: next})
		}
	}
	return list
}

// The search finds the shortest sequence of transitions that loses an increment.
func Example() {
	fmt.Print(model.Check(model.Spec{
		Name:        "counter",
		Initial:     counter{read: [2]int{-1, -1}},
		Transitions: transitions,
		Invariants: []model.Invariant{{Name: "no increment is lost", Violation: func(s model.State) string {
			if c := s.(counter); c.done != c.value {
				return fmt.Sprintf("%d increments gave %d", c.done, c.value)
			}
			return ""
		}}},
	}))
	// Output:
	// counter: 12 states, 12 transitions, depth 4
	// violates "no increment is lost": 2 increments gave 1
	//   1. process 0 reads
	//   2. process 1 reads
	//   3. process 0 writes
	//   4. process 1 writes
}
