// Package demand tests the decision packages route, share, admit, shift and plan with a seeded simulation of load on targets.
package demand
