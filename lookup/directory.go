package lookup

import (
	"encoding/binary"
	"math/bits"
	"net/netip"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/currantpier/currantpier/ident"
)

// MaxListed is the maximum number of VMs that AppendNearest appends.
const MaxListed = 16

// A class with at most maxWholeClass VMs is listed completely, so that all 12 VMs of 3 regions with 2 failure domains are
// in each answer. Of a larger class, listedPerClass VMs are listed: with thousands of VMs the answer stays short and still
// covers several failure domains and regions.
const (
	maxWholeClass  = 12
	listedPerClass = 4
)

// A class groups the VMs at one distance from a place, in the order of an answer: the three distances, then the same
// distances for suspected VMs.
const (
	suspectedOffset = int(ident.OtherRegion) + 1
	classCount      = 2 * suspectedOffset
)

// maxCandidates limits the candidates of one class, and thereby the time of AppendNearest. A failure domain has about 55 VMs at the
// scale goal. Of the thousands of VMs in other regions, each place uses a different pseudo-random subset.
const maxCandidates = 64

// EntryVM is one entry VM.
type EntryVM struct {
	VM    ident.VM
	Place ident.Place
	// Leaving VMs are never listed.
	Leaving bool
	// Suspected VMs are listed after all others.
	Suspected bool
}

// candidates are VMs at the same distance.
type candidates struct {
	vms []ident.VM
	// hashes has the hash of each VM's name. It is separate from vms so that a search reads little memory.
	hashes []uint64
}

// view holds the candidates of each class as seen from one place.
type view [classCount]candidates

// Directory holds the entry VMs, grouped for AppendNearest. It is immutable and safe for concurrent use; a change of membership
// requires a new one.
type Directory struct {
	// views has a view for each place of a member, for each region with an empty failure domain, and for the empty place.
	views map[ident.Place]*view
}

// NewDirectory returns a Directory of the members.
func NewDirectory(members []EntryVM) *Directory {
	d := &Directory{views: map[ident.Place]*view{{}: nil}}
	for _, m := range members {
		d.views[m.Place] = nil
		d.views[ident.Place{Region: m.Place.Region}] = nil
	}
	// Sort the members so that the candidate lists do not depend on their order.
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b EntryVM) int { return strings.Compare(string(a.VM), string(b.VM)) })
	for place := range d.views {
		d.views[place] = newView(place, sorted)
	}
	return d
}

// newView groups the members by class as seen from place.
func newView(place ident.Place, members []EntryVM) *view {
	v := &view{}
	for _, m := range members {
		if m.Leaving {
			continue
		}
		class := int(place.To(m.Place))
		if m.Suspected {
			class += suspectedOffset
		}
		v[class].vms = append(v[class].vms, m.VM)
	}
	seed := xxhash.Sum64String(string(place.Region) + "/" + string(place.Domain))
	for i := range v {
		v[i].limitSize(seed)
	}
	return v
}

// limitSize keeps at most maxCandidates VMs, selected by seed, and computes their hashes.
func (c *candidates) limitSize(seed uint64) {
	if len(c.vms) > maxCandidates {
		var best [maxCandidates]scored
		vms := make([]ident.VM, 0, maxCandidates)
		c.hashNames()
		for _, candidate := range best[:c.topScores(best[:], seed)] {
			vms = append(vms, c.vms[candidate.index])
		}
		c.vms = vms
	}
	c.hashNames()
}

func (c *candidates) hashNames() {
	c.hashes = make([]uint64, len(c.vms))
	for i, vm := range c.vms {
		c.hashes[i] = xxhash.Sum64String(string(vm))
	}
}

// AppendNearest appends the entry VMs for a client to dst, at most MaxListed: first those in the failure domain of place, then
// those in the rest of its region, then those of other regions, then suspected VMs in the same order. VMs at the same
// distance are ordered by rendezvous hashing with the client's address: each comes first for an equal share of the clients,
// and when a VM is removed, its clients spread evenly over the others. It does not allocate if dst has room for MaxListed.
func (d *Directory) AppendNearest(dst []ident.VM, client netip.Addr, place ident.Place) []ident.VM {
	v := d.views[place]
	if v == nil {
		v = d.views[ident.Place{Region: place.Region}]
	}
	if v == nil {
		v = d.views[ident.Place{}]
	}
	b := client.As16()
	key := mix(mix(binary.LittleEndian.Uint64(b[:8]), 1), binary.LittleEndian.Uint64(b[8:]))
	var best [MaxListed]scored
	remaining := MaxListed
	for class := range v {
		n := len(v[class].vms)
		if n > maxWholeClass {
			n = listedPerClass
		}
		n = v[class].topScores(best[:min(remaining, n)], key)
		for _, candidate := range best[:n] {
			dst = append(dst, v[class].vms[candidate.index])
		}
		remaining -= n
	}
	return dst
}

// scored is a candidate's index with its score for one key.
type scored struct {
	score uint64
	index int
}

// topScores fills dst with the candidates that score highest for key, in descending order, and returns their number.
func (c *candidates) topScores(dst []scored, key uint64) int {
	n := 0
	var lowest uint64
	for i, h := range c.hashes {
		score := mix(h, key)
		if n == len(dst) && (n == 0 || score <= lowest) {
			continue
		}
		n = min(n+1, len(dst))
		insertAt := n - 1
		for ; insertAt > 0 && dst[insertAt-1].score < score; insertAt-- {
			dst[insertAt] = dst[insertAt-1]
		}
		dst[insertAt] = scored{score, i}
		lowest = dst[n-1].score
	}
	return n
}

// mix combines two hashes into one: the XOR of both halves of their product, as in wyhash.
func mix(a, b uint64) uint64 {
	hi, lo := bits.Mul64(a^0x9e3779b97f4a7c15, b^0xbf58476d1ce4e5b9)
	return hi ^ lo
}
