package state

import (
	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/proto"
)

// callerShare returns the part of the region's callers that use this VM, by the VMs of the region that are alive, this one included.
// Lookups distribute callers by capacity where the configuration has large responses, and by the number of VMs otherwise. It is an
// estimate: it takes the callers of the region's failure domains to be distributed by their capacities, and ignores that no VM gets
// more than half of its failure domain's callers (edge.weightedLookup).
func (s *State) callerShare(group []proto.VMInfo, cfg *fleet.Config) float64 {
	own, ok := s.cfg.Self.KnownCapacity()
	if !ok || cfg == nil || !cfg.HasDownloads() {
		return 1 / float64(max(len(group), 1))
	}
	sum, known := int64(0), int64(0)
	for i := range group {
		if c, ok := group[i].KnownCapacity(); ok {
			sum += c
			known++
		}
	}
	if known == 0 {
		return 1 / float64(max(len(group), 1))
	}
	// VMs of unknown capacity count as the mean, as in lookups.
	return float64(own*known) / float64(sum*int64(len(group)))
}
