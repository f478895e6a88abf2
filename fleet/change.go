package fleet

import "github.com/currantpier/currantpier/ident"

// Change is one change that the operators made: a new configuration, or the start or end of an evacuation.
type Change struct {
	// Config is the new configuration; nil for a change of an evacuation.
	Config *Config
	// Domain is the failure domain that is evacuated, or no longer if Ended is set.
	Domain ident.Domain
	Ended  bool
}
