package model

import (
	"testing"
	"time"

	"github.com/currantpier/currantpier/ident"
)

// Guards against any interleaving of faults, within the bounds, that runs an order twice, says "not run" of one that
// ran, or replaces an answer.
func TestOrders(t *testing.T) {
	tests := []OrderBounds{
		{Classes: []ident.Class{'j'}, Submits: 2, Faults: 2, Seconds: 3, Successors: 2},
		{Classes: []ident.Class{'d'}, Submits: 2, Faults: 2, Seconds: 3, Successors: 2},
	}
	for _, b := range tests {
		start := time.Now()
		r := Check(NewOrderSpec(b, nil, nil))
		t.Log(r, time.Since(start))
		if r.Violation != nil || !r.Complete || len(r.Missed) > 0 {
			t.Error(r)
		}
	}
}
