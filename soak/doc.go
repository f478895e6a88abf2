// Package soak tests the real program as separate processes against stand-ins of the users' platform: the whole path, its
// behaviour under single faults, and random series of faults that overlap. Everything is checked from outside, by what
// callers and targets see. It has no code besides its tests.
package soak
