// Package procs holds the end-to-end tests: they start the daemons and the stand-ins as separate processes.
package procs
