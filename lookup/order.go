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

// MaxAnswer is the largest number of VMs that Order appends.
const MaxAnswer = 16

// A class with at most wholeClass VMs is listed whole, so that all 12 VMs of 3 regions with 2 failure domains are in
// every answer. Of a larger class perClass VMs are listed: with thousands of VMs the answer stays short and still spans
// several failure domains and regions.
const (
	wholeClass = 12
	perClass   = 4
)

// The classes of VMs as seen from a place, in the order of an answer: the three distances, then the same for suspected
// VMs.
const (
	suspected = int(ident.OtherRegion) + 1
	classes   = 2 * suspected
)

// maxCandidates bounds the candidates of one class, and with it the time of Order. A failure domain has about 55 VMs at
// the scale goal; of the thousands in other regions each place uses another random part.
const maxCandidates = 64

// Member is one entry VM.
type Member struct {
	VM    ident.VM
	Place ident.Place
	// Leaving VMs are never listed.
	Leaving bool
	// Suspected VMs are listed after all others.
	Suspected bool
}

// candidates are VMs that are equally near.
type candidates struct {
	vms []ident.VM
	// hashes has the hash of each VM's name. It is kept apart so that the search reads little memory.
	hashes []uint64
}

// view holds the candidates of each class as seen from one place.
type view [classes]candidates

// Directory holds the entry VMs, grouped for Order. It is immutable and safe for concurrent use; a new one is made when
// the membership changes.
type Directory struct {
	// views has every place of a member, every region with an empty failure domain, and the empty place.
	views map[ident.Place]*view
}

// NewDirectory groups the members.
func NewDirectory(members []Member) *Directory {
	d := &Directory{views: map[ident.Place]*view{{}: nil}}
	for _, m := range members {
		d.views[m.Place] = nil
		d.views[ident.Place{Region: m.Place.Region}] = nil
	}
	// A fixed order makes the candidate lists independent of the order of the members.
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b Member) int { return strings.Compare(string(a.VM), string(b.VM)) })
	for place := range d.views {
		d.views[place] = newView(place, sorted)
	}
	return d
}

func newView(place ident.Place, members []Member) *view {
	v := &view{}
	for _, m := range members {
		if m.Leaving {
			continue
		}
		class := int(place.To(m.Place))
		if m.Suspected {
			class += suspected
		}
		v[class].vms = append(v[class].vms, m.VM)
	}
	seed := xxhash.Sum64String(string(place.Region) + "/" + string(place.Domain))
	for i := range v {
		v[i].reduce(seed)
	}
	return v
}

// reduce keeps at most maxCandidates, chosen by seed, and computes the hashes.
func (c *candidates) reduce(seed uint64) {
	if len(c.vms) > maxCandidates {
		var best [maxCandidates]scored
		vms := make([]ident.VM, 0, maxCandidates)
		c.hash()
		for _, one := range best[:c.best(best[:], seed)] {
			vms = append(vms, c.vms[one.index])
		}
		c.vms = vms
	}
	c.hash()
}

func (c *candidates) hash() {
	c.hashes = make([]uint64, len(c.vms))
	for i, vm := range c.vms {
		c.hashes[i] = xxhash.Sum64String(string(vm))
	}
}

// Order appends the entry VMs for a client to dst, at most MaxAnswer: first those in the failure domain of place, then
// those in its region, then those of other regions, then suspected ones in the same order. VMs that are equally near are
// ordered by rendezvous hashing with the client's address, so that each is first for the same part of the clients, and a
// VM that goes away hands its clients to all others alike. It does not allocate if dst has room for MaxAnswer.
func (d *Directory) Order(dst []ident.VM, client netip.Addr, place ident.Place) []ident.VM {
	v := d.views[place]
	if v == nil {
		v = d.views[ident.Place{Region: place.Region}]
	}
	if v == nil {
		v = d.views[ident.Place{}]
	}
	b := client.As16()
	key := mix(mix(binary.LittleEndian.Uint64(b[:8]), 1), binary.LittleEndian.Uint64(b[8:]))
	var best [MaxAnswer]scored
	room := MaxAnswer
	for class := range v {
		n := len(v[class].vms)
		if n > wholeClass {
			n = perClass
		}
		n = v[class].best(best[:min(room, n)], key)
		for _, one := range best[:n] {
			dst = append(dst, v[class].vms[one.index])
		}
		room -= n
	}
	return dst
}

// scored is a candidate with its score for one client.
type scored struct {
	score uint64
	index int
}

// best fills dst with the candidates that have the highest scores for key, highest first, and returns their number.
func (c *candidates) best(dst []scored, key uint64) int {
	n := 0
	var least uint64
	for i, h := range c.hashes {
		score := mix(h, key)
		if n == len(dst) && (n == 0 || score <= least) {
			continue
		}
		n = min(n+1, len(dst))
		at := n - 1
		for ; at > 0 && dst[at-1].score < score; at-- {
			dst[at] = dst[at-1]
		}
		dst[at] = scored{score, i}
		least = dst[n-1].score
	}
	return n
}

// mix returns a hash of two hashes: both halves of their product, as in wyhash.
func mix(a, b uint64) uint64 {
	hi, lo := bits.Mul64(a^0x9e3779b97f4a7c15, b^0xbf58476d1ce4e5b9)
	return hi ^ lo
}
