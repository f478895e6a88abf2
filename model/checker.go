// Package model is a small explicit-state model checker with specifications of the system. A specification runs the
// shipped decision functions of other packages in every interleaving of events and faults within given bounds.
package model

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// State is one state of a specification. It must not change after a Transition has returned it.
type State interface {
	// AppendKey appends a canonical encoding. States with equal keys have the same transitions and satisfy the same
	// invariants.
	AppendKey(b []byte) []byte
}

// Transition is one possible transition from a state.
type Transition struct {
	// Name describes the transition in a trace.
	Name string
	To   State
}

// Invariant is a condition that must hold in every reachable state.
type Invariant struct {
	Name string
	// Violation returns an empty string if the invariant holds in s, and otherwise a description of the violation.
	Violation func(s State) string
}

// Goal is a situation that some reachable state must show. Unreached goals reveal a specification whose bounds exclude
// the cases that the invariants are meant to cover.
type Goal struct {
	Name    string
	Reached func(s State) bool
}

// Spec is a specification to check.
type Spec struct {
	Name        string
	Initial     State
	Transitions func(s State) []Transition
	Invariants  []Invariant
	Goals       []Goal
	// MaxStates bounds the number of states visited; zero means 1 million.
	MaxStates int
}

// Violation is a violated invariant with a shortest trace that leads to it.
type Violation struct {
	Invariant string
	Detail    string
	Trace     []string
}

// Result is the result of a search.
type Result struct {
	Spec string
	// States counts the distinct states, and Transitions the transitions between them that were followed.
	States, Transitions int
	// Depth is the greatest distance of a visited state from the initial state, in transitions.
	Depth int
	// Complete is set if no state was skipped because of Spec.MaxStates. It has no meaning if Violation is set.
	Complete bool
	// Unreached names the goals that were not reached before the search ended.
	Unreached []string
	// Violation is nil if every invariant held in every visited state.
	Violation *Violation
}

// node is a visited state without its content.
type node struct {
	parent     int32
	depth      int32
	transition string
}

// Check searches the states of spec breadth-first and stops at the first violation. States are identified by a 64-bit
// hash of their keys; with a million states, the probability of a collision is below one in ten million.
func Check(spec Spec) Result {
	if spec.MaxStates == 0 {
		spec.MaxStates = 1_000_000
	}
	c := &search{
		spec: spec, visited: map[uint64]struct{}{}, unreached: slices.Clone(spec.Goals),
		result: Result{Spec: spec.Name, Complete: true},
	}
	c.visit(spec.Initial, -1, "start")
	for c.result.Violation == nil && c.nextNode < len(c.nodes) {
		s := c.queue[0]
		c.queue[0], c.queue = nil, c.queue[1:]
		for _, tr := range spec.Transitions(s) {
			c.result.Transitions++
			c.visit(tr.To, int32(c.nextNode), tr.Name)
			if c.result.Violation != nil {
				break
			}
		}
		c.nextNode++
	}
	c.result.States = len(c.nodes)
	for _, g := range c.unreached {
		c.result.Unreached = append(c.result.Unreached, g.Name)
	}
	return c.result
}

// search is the state of one run of Check.
type search struct {
	spec    Spec
	visited map[uint64]struct{}
	// nodes lists all visited states; those from nextNode on are in queue.
	nodes    []node
	queue    []State
	nextNode int
	key      []byte
	// unreached lists the goals that have not been reached.
	unreached []Goal
	result    Result
}

func (c *search) visit(s State, parent int32, transition string) {
	c.key = s.AppendKey(c.key[:0])
	h := xxhash.Sum64(c.key)
	if _, ok := c.visited[h]; ok {
		return
	}
	if len(c.nodes) >= c.spec.MaxStates {
		c.result.Complete = false
		return
	}
	c.visited[h] = struct{}{}
	n := node{parent: parent, transition: transition}
	if parent >= 0 {
		n.depth = c.nodes[parent].depth + 1
	}
	c.nodes = append(c.nodes, n)
	c.queue = append(c.queue, s)
	c.result.Depth = max(c.result.Depth, int(n.depth))
	c.unreached = slices.DeleteFunc(c.unreached, func(g Goal) bool { return g.Reached(s) })
	for _, inv := range c.spec.Invariants {
		if detail := inv.Violation(s); detail != "" {
			c.result.Violation = &Violation{inv.Name, detail, c.trace(int32(len(c.nodes) - 1))}
			return
		}
	}
}

// trace returns the names of the transitions from the initial state to node i.
func (c *search) trace(i int32) []string {
	names := make([]string, c.nodes[i].depth)
	for ; c.nodes[i].parent >= 0; i = c.nodes[i].parent {
		names[c.nodes[i].depth-1] = c.nodes[i].transition
	}
	return names
}

// String returns a summary and, if there is a violation, its trace with one numbered transition a line.
func (r Result) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %d states, %d transitions, depth %d", r.Spec, r.States, r.Transitions, r.Depth)
	if !r.Complete {
		b.WriteString(", stopped at the limit")
	}
	if r.Violation == nil {
		for _, name := range r.Unreached {
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
