// Package lookup maps a client address to a place, and a place to an ordered list of entry VMs.
package lookup

import (
	"encoding/binary"
	"net/netip"
	"sort"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/kinds"
)

// PlaceIndex is the index of a place in a Table.
type PlaceIndex uint16

// The info of a range has 16 bits: 10 for the place and 6 for the shift. The scale goal has 58 places.
const (
	shiftBits = 6
	maxPlaces = 1 << (16 - shiftBits)
)

// bucketCount is the number of values of the upper 16 bits of an address. The ranges of each value form a bucket.
const bucketCount = 1 << 16

// Table maps client blocks to places. It is immutable and safe for concurrent use.
//
// Building the table flattens nested blocks into ranges, so that a lookup is one binary search for the last range that
// starts at or before the address. A range ends where the next one starts, or where its block ends: an address belongs to a
// range if both agree in all bits from the range's shift upwards. n blocks result in n ranges and up to one more for each
// block inside another, besides the copies of ranges that span several buckets. A range takes 4 bytes for IPv4 and 10 for
// IPv6.
type Table struct {
	places []ident.Place
	blocks int
	// v4First and v6First have the index of the first range of each bucket, followed by the number of ranges. They are empty if
	// there are no ranges. A range that spans several buckets is in each of them.
	v4First, v6First []uint32
	// v4Start has the lower 16 bits of the start address of each range, v6Start the upper 64 bits.
	v4Start []uint16
	v6Start []uint64
	// v4Info and v6Info have the place and shift of each range.
	v4Info, v6Info []uint16
}

// Find returns the place of the longest block that contains addr, and reports false if there is none. It does not allocate.
func (t *Table) Find(addr netip.Addr) (PlaceIndex, bool) {
	switch addr = addr.Unmap(); {
	case addr.Is4() && len(t.v4First) > 0:
		b := addr.As4()
		return t.findIPv4(binary.BigEndian.Uint32(b[:]))
	case addr.Is6() && len(t.v6First) > 0:
		b := addr.As16()
		return t.findIPv6(binary.BigEndian.Uint64(b[:8]))
	}
	return 0, false
}

func (t *Table) findIPv4(a uint32) (PlaceIndex, bool) {
	first, low := t.v4First[a>>16], uint16(a)
	lo, hi := first, t.v4First[a>>16+1]
	for lo < hi {
		if mid := (lo + hi) / 2; t.v4Start[mid] <= low {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	if lo == first {
		return 0, false
	}
	info := t.v4Info[lo-1]
	differ := a ^ (a&^0xffff | uint32(t.v4Start[lo-1]))
	return PlaceIndex(info >> shiftBits), differ>>(info&(1<<shiftBits-1)) == 0
}

func (t *Table) findIPv6(a uint64) (PlaceIndex, bool) {
	first := t.v6First[a>>48]
	lo, hi := first, t.v6First[a>>48+1]
	for lo < hi {
		if mid := (lo + hi) / 2; t.v6Start[mid] <= a {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	if lo == first {
		return 0, false
	}
	info := t.v6Info[lo-1]
	return PlaceIndex(info >> shiftBits), (a^t.v6Start[lo-1])>>(info&(1<<shiftBits-1)) == 0
}

// Place returns the place at an index that Find returned.
func (t *Table) Place(i PlaceIndex) ident.Place {
	return t.places[i]
}

// Len returns the number of distinct blocks from which the table was built.
func (t *Table) Len() int {
	return t.blocks
}

// MemoryBytes returns the memory that the ranges use, in bytes. It does not include the places.
func (t *Table) MemoryBytes() int {
	return 4*(len(t.v4First)+len(t.v6First)) + 2*(len(t.v4Start)+len(t.v4Info)+len(t.v6Info)) + 8*len(t.v6Start)
}

// block is a client block, or a range of one. start holds the upper 64 bits of an IPv6 address; an IPv4 address is in its
// upper 32 bits.
type block struct {
	start uint64
	bits  uint8
	place PlaceIndex
}

// end returns the last address of the block; for a range, that of the block it is part of.
func (b block) end() uint64 {
	return b.start | (1<<(64-b.bits) - 1)
}

// info returns the stored form of place and shift. width is the number of address bits in the table: 32 or 64.
func (b block) info(width uint8) uint16 {
	return uint16(b.place)<<shiftBits | uint16(width-b.bits)
}

// Builder collects client blocks. The zero value is empty and ready to use.
type Builder struct {
	places []ident.Place
	index  map[ident.Place]PlaceIndex
	v4, v6 []block
}

// Add assigns a place to a block. Blocks may be nested; the longest one applies. It returns a BadRequest error for an
// invalid prefix, one with host bits set, an IPv4-mapped one, an IPv6 prefix outside 1 to 64 bits, and more than maxPlaces
// places.
func (b *Builder) Add(p netip.Prefix, place ident.Place) error {
	if !p.IsValid() || p != p.Masked() || p.Addr().Is4In6() {
		return kinds.Errorf(kinds.BadRequest, "client block %v, allowed: an IPv4 or IPv6 prefix without host bits set", p)
	}
	index, err := b.intern(place)
	if err != nil {
		return err
	}
	if p.Addr().Is4() {
		a := p.Addr().As4()
		b.v4 = append(b.v4, block{uint64(binary.BigEndian.Uint32(a[:])) << 32, uint8(p.Bits()), index})
		return nil
	}
	// Client networks have at least 64 host bits, and a shift of 64 would not fit into its 6 bits.
	if p.Bits() < 1 || p.Bits() > 64 {
		return kinds.Errorf(kinds.BadRequest, "client block %v, allowed: 1 to 64 bits", p)
	}
	a := p.Addr().As16()
	b.v6 = append(b.v6, block{binary.BigEndian.Uint64(a[:8]), uint8(p.Bits()), index})
	return nil
}

// intern returns the index of a place and adds the place if it is new.
func (b *Builder) intern(place ident.Place) (PlaceIndex, error) {
	if index, ok := b.index[place]; ok {
		return index, nil
	}
	if len(b.places) == maxPlaces {
		return 0, kinds.Errorf(kinds.BadRequest, "more than %d places", maxPlaces)
	}
	if b.index == nil {
		b.index = map[ident.Place]PlaceIndex{}
	}
	b.index[place] = PlaceIndex(len(b.places))
	b.places = append(b.places, place)
	return b.index[place], nil
}

// Build returns the table, or a Conflict error if a block was added with two different places.
func (b *Builder) Build() (*Table, error) {
	t := &Table{places: append([]ident.Place(nil), b.places...)}
	v4, n4, err := b.flatten(b.v4, formatIPv4)
	if err != nil {
		return nil, err
	}
	v6, n6, err := b.flatten(b.v6, formatIPv6)
	if err != nil {
		return nil, err
	}
	t.blocks = n4 + n6
	t.pack4(v4)
	t.pack6(v6)
	return t, nil
}

// flatten sorts the blocks and returns the ranges and the number of distinct blocks.
func (b *Builder) flatten(blocks []block, format func(block) string) ([]block, int, error) {
	sort.Slice(blocks, func(i, j int) bool {
		x, y := blocks[i], blocks[j]
		return x.start < y.start || x.start == y.start && x.bits < y.bits
	})
	var ranges, enclosing []block
	n := 0
	for i, cur := range blocks {
		if i > 0 && blocks[i-1].start == cur.start && blocks[i-1].bits == cur.bits {
			if blocks[i-1].place != cur.place {
				return nil, 0, kinds.Errorf(kinds.Conflict, "client block %s has places %v and %v", format(cur),
					b.places[blocks[i-1].place], b.places[cur.place])
			}
			continue
		}
		n++
		for len(enclosing) > 0 && enclosing[len(enclosing)-1].end() < cur.start {
			ranges, enclosing = closeInnermost(ranges, enclosing)
		}
		if len(enclosing) > 0 && enclosing[len(enclosing)-1].place == cur.place {
			continue
		}
		enclosing = append(enclosing, cur)
		ranges = appendRange(ranges, cur)
	}
	for len(enclosing) > 0 {
		ranges, enclosing = closeInnermost(ranges, enclosing)
	}
	return splitAtBuckets(ranges), n, nil
}

// closeInnermost ends the innermost enclosing block. If the next outer one has addresses left, it starts a range for them.
func closeInnermost(ranges, open []block) ([]block, []block) {
	next := open[len(open)-1].end() + 1
	open = open[:len(open)-1]
	if len(open) == 0 {
		return ranges, open
	}
	outer := open[len(open)-1]
	if next == 0 || next > outer.end() {
		return ranges, open
	}
	outer.start = next
	return appendRange(ranges, outer), open
}

// appendRange appends r. If the last range starts at the same address, it is empty, and r replaces it.
func appendRange(ranges []block, r block) []block {
	if n := len(ranges); n > 0 && ranges[n-1].start == r.start {
		ranges = ranges[:n-1]
	}
	return append(ranges, r)
}

// splitAtBuckets repeats a range that spans several buckets at the start of each further bucket.
func splitAtBuckets(ranges []block) []block {
	out := make([]block, 0, len(ranges))
	for i, r := range ranges {
		end := r.end()
		if i+1 < len(ranges) {
			end = min(end, ranges[i+1].start-1)
		}
		for out = append(out, r); r.start>>48 < end>>48; out = append(out, r) {
			r.start = (r.start>>48 + 1) << 48
		}
	}
	return out
}

func (t *Table) pack4(ranges []block) {
	t.v4First = bucketIndex(ranges)
	t.v4Start, t.v4Info = make([]uint16, len(ranges)), make([]uint16, len(ranges))
	for i, r := range ranges {
		t.v4Start[i], t.v4Info[i] = uint16(r.start>>32), r.info(32)
	}
}

func (t *Table) pack6(ranges []block) {
	t.v6First = bucketIndex(ranges)
	t.v6Start, t.v6Info = make([]uint64, len(ranges)), make([]uint16, len(ranges))
	for i, r := range ranges {
		t.v6Start[i], t.v6Info[i] = r.start, r.info(64)
	}
}

// bucketIndex returns the index of the first range of each bucket, followed by the number of ranges.
func bucketIndex(ranges []block) []uint32 {
	if len(ranges) == 0 {
		return nil
	}
	first := make([]uint32, 0, bucketCount+1)
	for i, r := range ranges {
		for uint64(len(first)) <= r.start>>48 {
			first = append(first, uint32(i))
		}
	}
	for len(first) <= bucketCount {
		first = append(first, uint32(len(ranges)))
	}
	return first
}

func formatIPv4(b block) string {
	var a [4]byte
	binary.BigEndian.PutUint32(a[:], uint32(b.start>>32))
	return netip.PrefixFrom(netip.AddrFrom4(a), int(b.bits)).String()
}

func formatIPv6(b block) string {
	var a [16]byte
	binary.BigEndian.PutUint64(a[:8], b.start)
	return netip.PrefixFrom(netip.AddrFrom16(a), int(b.bits)).String()
}
