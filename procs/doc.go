// Package procs contains end-to-end tests that run the daemons and the stand-ins as separate processes. R2 to R8 in
// the comments of the tests are the requirements that package faults checks under the same numbers.
package procs
