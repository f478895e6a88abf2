package model_test

import (
	"fmt"
	"strconv"

	"github.com/currantpier/currantpier/model"
)

// counter is a shared counter that two processes increment by a read and a write.
type counter struct {
	value int
	// seen is the value that each process has read, or -1; done counts the writes.
	seen [2]int
	done int
}

func (c counter) AppendKey(b []byte) []byte { return fmt.Append(b, c) }

func steps(s model.State) []model.Step {
	c := s.(counter)
	var list []model.Step
	for i := range c.seen {
		next, who := c, "process "+strconv.Itoa(i)
		if c.seen[i] < 0 {
			next.seen[i] = c.value
			list = append(list, model.Step{Name: who + " reads", To: next})
		} else if c.seen[i] < 9 {
			next.value, next.seen[i], next.done = c.seen[i]+1, 9, c.done+1
			list = append(list, model.Step{Name: who + " writes", To: next})
		}
	}
	return list
}

// The search finds the shortest sequence of steps that loses an increment.
func Example() {
	fmt.Print(model.Check(model.Spec{
		Name:  "counter",
		Start: counter{seen: [2]int{-1, -1}},
		Steps: steps,
		Invariants: []model.Invariant{{Name: "no increment is lost", Broken: func(s model.State) string {
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
