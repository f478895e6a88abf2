// Package soak tests the program as separate processes against stand-ins of the users' platform: normal operation,
// single faults, and random sequences of overlapping faults. Tests observe the program from outside, by what callers
// and targets see and by its log. The package contains only tests.
package soak
