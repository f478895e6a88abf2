// Package demand holds a model of demand against slots that drives the shipped decision packages in tests.
package demand
