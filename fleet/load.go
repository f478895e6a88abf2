package fleet

import "time"

// LoadReport is what a response of a target has said about its load, passed on between VMs.
type LoadReport struct {
	// Target is a hash that identifies the process of the target (pick.Picker computes it).
	Target uint32
	// Load is the number of requests at the target, running and waiting.
	Load uint16
	// Pace is how long work takes at the target, in tenths of the usual time; zero if the target doesn't report it.
	Pace uint8
	// Age is the time since the response arrived. Clocks of different VMs are never compared.
	Age time.Duration
}
