package fleet

import "github.com/currantpier/currantpier/ident"

// Change is a change made by the operators: a new configuration, or the start or end of an evacuation.
type Change struct {
	// Config is the new configuration, nil if the change concerns an evacuation.
	Config *Config
	// Domain is the failure domain whose evacuation starts or, if Ended is set, ends.
	Domain ident.Domain
	Ended  bool
}
