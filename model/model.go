// Package model is a small explicit-state model checker. Its specifications run the shipped decision functions of other
// packages against every interleaving of faults within given bounds.
package model

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// State is one state of a specification. It must not change once a Step has returned it.
type State interface {
	// AppendKey appends a canonical encoding: states with equal keys have the same steps and invariants.
	AppendKey(b []byte) []byte
}

// Step is one possible step from a state.
type Step struct {
	// Name describes the step in a trace.
	Name string
	To   State
}

// Invariant must hold in every state that can be reached.
type Invariant struct {
	Name string
	// Broken returns an empty text if the invariant holds in s, and otherwise what is wrong.
	Broken func(s State) string
}

// Goal is a situation that the search must be able to reach. It shows that the bounds of a specification don't exclude
// what the invariants are about.
type Goal struct {
	Name    string
	Reached func(s State) bool
}

// Spec is a system to check.
type Spec struct {
	Name       string
	Start      State
	Steps      func(s State) []Step
	Invariants []Invariant
	Goals      []Goal
	// MaxStates bounds the search; zero means 1 million.
	MaxStates int
}

// Violation is a broken invariant with the shortest sequence of steps that leads to it.
type Violation struct {
	Invariant string
	Detail    string
	Trace     []string
}

// Result is the result of a search.
type Result struct {
	Spec string
	// States counts the different states, and Transitions the steps between them.
	States, Transitions int
	// Depth is the number of steps from the start to the farthest state.
	Depth int
	// Complete says that every reachable state was visited.
	Complete bool
	// Missed names the goals that were not reached before the search ended.
	Missed []string
	// Violation is nil if every invariant held in every state.
	Violation *Violation
}

// node is a state that was visited, without the state itself.
type node struct {
	parent int32
	depth  int32
	step   string
}

// Check searches the states of spec breadth-first and stops at the first violation. States are told apart by a 64-bit
// hash of their keys; with a million states, the chance that two share a hash is below one in ten million.
func Check(spec Spec) Result {
	if spec.MaxStates == 0 {
		spec.MaxStates = 1_000_000
	}
	c := &search{
		spec: spec, seen: map[uint64]struct{}{}, goals: slices.Clone(spec.Goals),
		result: Result{Spec: spec.Name, Complete: true},
	}
	c.visit(spec.Start, -1, "start")
	for c.result.Violation == nil && c.next < len(c.nodes) {
		s := c.queue[0]
		c.queue[0], c.queue = nil, c.queue[1:]
		for _, step := range spec.Steps(s) {
			c.result.Transitions++
			c.visit(step.To, int32(c.next), step.Name)
			if c.result.Violation != nil {
				break
			}
		}
		c.next++
	}
	c.result.States = len(c.nodes)
	for _, g := range c.goals {
		c.result.Missed = append(c.result.Missed, g.Name)
	}
	return c.result
}

// search is the state of one run of Check.
type search struct {
	spec Spec
	seen map[uint64]struct{}
	// nodes lists all states visited; those from next on wait in queue.
	nodes []node
	queue []State
	next  int
	key   []byte
	// goals lists the goals that were not reached yet.
	goals  []Goal
	result Result
}

func (c *search) visit(s State, parent int32, step string) {
	c.key = s.AppendKey(c.key[:0])
	h := xxhash.Sum64(c.key)
	if _, ok := c.seen[h]; ok {
		return
	}
	if len(c.nodes) >= c.spec.MaxStates {
		c.result.Complete = false
		return
	}
	c.seen[h] = struct{}{}
	n := node{parent: parent, step: step}
	if parent >= 0 {
		n.depth = c.nodes[parent].depth + 1
	}
	c.nodes = append(c.nodes, n)
	c.queue = append(c.queue, s)
	c.result.Depth = max(c.result.Depth, int(n.depth))
	c.goals = slices.DeleteFunc(c.goals, func(g Goal) bool { return g.Reached(s) })
	for _, inv := range c.spec.Invariants {
		if detail := inv.Broken(s); detail != "" {
			c.result.Violation = &Violation{inv.Name, detail, c.trace(int32(len(c.nodes) - 1))}
			return
		}
	}
}

// trace returns the steps from the start to node i.
func (c *search) trace(i int32) []string {
	steps := make([]string, c.nodes[i].depth)
	for ; c.nodes[i].parent >= 0; i = c.nodes[i].parent {
		steps[c.nodes[i].depth-1] = c.nodes[i].step
	}
	return steps
}

// String returns a summary and, if there is a violation, its trace with one numbered step a line.
func (r Result) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %d states, %d transitions, depth %d", r.Spec, r.States, r.Transitions, r.Depth)
	if !r.Complete {
		b.WriteString(", stopped at the limit")
	}
	if r.Violation == nil {
		for _, name := range r.Missed {
			fmt.Fprintf(&b, "\nnever reached: %s", name)
		}
		return b.String()
	}
	fmt.Fprintf(&b, "\nviolates %q: %s\n", r.Violation.Invariant, r.Violation.Detail)
	for i, s := range r.Violation.Trace {
		fmt.Fprintf(&b, "%3d. %s\n", i+1, s)
	}
	return b.String()
}
