package lookup

import (
	"bufio"
	"encoding/binary"
	"io"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/kinds"
)

// The binary form is the magic, the header, the header's checksum, the places, the arrays of Table in the order of its
// fields, and a checksum of everything before it. Numbers are little-endian. A place is a region and a failure domain,
// each with one byte for its length.
const magic = "CPLT0001"

// headerSize is the size of the magic and of six lengths: places, blocks, v4First, v4Start, v6First and v6Start.
// The info arrays are as long as the start arrays. The header has a checksum of its own, so that a damaged length does
// not cause a large allocation.
const headerSize = len(magic) + 6*4

// maxArray is the length of the longest array: it allows 16 times the goal of 2.6 million blocks.
const maxArray = 2 * 16 * 2_600_000

// chunk is the size of the pieces in which arrays are read and written, in bytes. Loading needs no second copy of the
// table.
const chunk = 64 << 10

// output counts and sums what is written and keeps the first error.
type output struct {
	w   *bufio.Writer
	sum *xxhash.Digest
	n   int64
	err error
}

func (o *output) bytes(b []byte) {
	if o.err != nil {
		return
	}
	_, _ = o.sum.Write(b) // a hash does not fail
	var n int
	n, o.err = o.w.Write(b)
	o.n += int64(n)
}

func (o *output) u16s(v []uint16) {
	for len(v) > 0 {
		n := min(len(v), chunk/2)
		buf := make([]byte, 0, chunk)
		for _, x := range v[:n] {
			buf = binary.LittleEndian.AppendUint16(buf, x)
		}
		o.bytes(buf)
		v = v[n:]
	}
}

func (o *output) u32s(v []uint32) {
	for len(v) > 0 {
		n := min(len(v), chunk/4)
		buf := make([]byte, 0, chunk)
		for _, x := range v[:n] {
			buf = binary.LittleEndian.AppendUint32(buf, x)
		}
		o.bytes(buf)
		v = v[n:]
	}
}

func (o *output) u64s(v []uint64) {
	for len(v) > 0 {
		n := min(len(v), chunk/8)
		buf := make([]byte, 0, chunk)
		for _, x := range v[:n] {
			buf = binary.LittleEndian.AppendUint64(buf, x)
		}
		o.bytes(buf)
		v = v[n:]
	}
}

// WriteTo writes the binary form that Read reads. It returns the number of bytes written.
func (t *Table) WriteTo(w io.Writer) (int64, error) {
	o := &output{w: bufio.NewWriterSize(w, chunk), sum: xxhash.New()}
	head := []byte(magic)
	for _, n := range []int{len(t.places), t.blocks, len(t.v4First), len(t.v4Start), len(t.v6First), len(t.v6Start)} {
		head = binary.LittleEndian.AppendUint32(head, uint32(n))
	}
	o.bytes(head)
	o.bytes(binary.LittleEndian.AppendUint64(nil, xxhash.Sum64(head)))
	for _, p := range t.places {
		for _, s := range []string{string(p.Region), string(p.Domain)} {
			o.bytes(append([]byte{byte(len(s))}, s...))
		}
	}
	o.u32s(t.v4First)
	o.u16s(t.v4Start)
	o.u16s(t.v4Info)
	o.u32s(t.v6First)
	o.u64s(t.v6Start)
	o.u16s(t.v6Info)
	o.bytes(binary.LittleEndian.AppendUint64(nil, o.sum.Sum64()))
	if o.err == nil {
		o.err = o.w.Flush()
	}
	return o.n, errors.Wrap(o.err, "write client blocks")
}

// input sums what is read and keeps the first error.
type input struct {
	r   io.Reader
	sum *xxhash.Digest
	buf []byte
	err error
}

// next returns the next n bytes, n at most chunk. They are valid until the next call.
func (in *input) next(n int) []byte {
	b := in.buf[:n]
	if in.err == nil {
		_, in.err = io.ReadFull(in.r, b)
		_, _ = in.sum.Write(b)
	}
	if in.err != nil {
		clear(b)
	}
	return b
}

func (in *input) u16s(n uint32) []uint16 {
	v := make([]uint16, n)
	for rest := v; len(rest) > 0 && in.err == nil; {
		part := min(len(rest), chunk/2)
		b := in.next(2 * part)
		for i := range rest[:part] {
			rest[i] = binary.LittleEndian.Uint16(b[2*i:])
		}
		rest = rest[part:]
	}
	return v
}

func (in *input) u32s(n uint32) []uint32 {
	v := make([]uint32, n)
	for rest := v; len(rest) > 0 && in.err == nil; {
		part := min(len(rest), chunk/4)
		b := in.next(4 * part)
		for i := range rest[:part] {
			rest[i] = binary.LittleEndian.Uint32(b[4*i:])
		}
		rest = rest[part:]
	}
	return v
}

func (in *input) u64s(n uint32) []uint64 {
	v := make([]uint64, n)
	for rest := v; len(rest) > 0 && in.err == nil; {
		part := min(len(rest), chunk/8)
		b := in.next(8 * part)
		for i := range rest[:part] {
			rest[i] = binary.LittleEndian.Uint64(b[8*i:])
		}
		rest = rest[part:]
	}
	return v
}

// Read reads a table and checks its checksum and invariants. It returns a BadRequest error for a damaged one.
func Read(r io.Reader) (*Table, error) {
	in := &input{r: r, sum: xxhash.New(), buf: make([]byte, chunk)}
	head := append([]byte(nil), in.next(headerSize)...)
	if sum := binary.LittleEndian.Uint64(in.next(8)); in.err != nil || sum != xxhash.Sum64(head) || string(head[:len(magic)]) != magic {
		return nil, kinds.Errorf(kinds.BadRequest, "client blocks: damaged header (%v)", in.err)
	}
	var n [6]uint32
	for i := range n {
		n[i] = binary.LittleEndian.Uint32(head[len(magic)+4*i:])
		if n[i] > maxArray {
			return nil, kinds.Errorf(kinds.BadRequest, "client blocks: length %d, allowed: at most %d", n[i], maxArray)
		}
	}
	t := &Table{blocks: int(n[1])}
	for range min(n[0], maxPlaces) {
		region := string(in.next(int(in.next(1)[0])))
		domain := string(in.next(int(in.next(1)[0])))
		t.places = append(t.places, ident.Place{Region: ident.Region(region), Domain: ident.Domain(domain)})
	}
	t.v4First, t.v4Start, t.v4Info = in.u32s(n[2]), in.u16s(n[3]), in.u16s(n[3])
	t.v6First, t.v6Start, t.v6Info = in.u32s(n[4]), in.u64s(n[5]), in.u16s(n[5])
	want := in.sum.Sum64()
	if got := binary.LittleEndian.Uint64(in.next(8)); in.err != nil || got != want {
		return nil, kinds.Errorf(kinds.BadRequest, "client blocks: damaged (%v)", in.err)
	}
	if !t.sound() {
		return nil, kinds.Errorf(kinds.BadRequest, "client blocks: not sorted")
	}
	return t, nil
}

// sound verifies what Find relies on: sorted ranges, and indices that lie in their arrays.
func (t *Table) sound() bool {
	if !covers(t.v4First, len(t.v4Start)) || !covers(t.v6First, len(t.v6Start)) || !slices.IsSorted(t.v6Start) {
		return false
	}
	for i := 1; i < len(t.v4First); i++ {
		if !slices.IsSorted(t.v4Start[t.v4First[i-1]:t.v4First[i]]) {
			return false
		}
	}
	return t.placed(t.v4Info) && t.placed(t.v6Info)
}

func (t *Table) placed(info []uint16) bool {
	for _, x := range info {
		if int(x>>shiftBits) >= len(t.places) {
			return false
		}
	}
	return true
}

// covers reports whether first splits n ranges into buckets.
func covers(first []uint32, n int) bool {
	if len(first) == 0 {
		return n == 0
	}
	return len(first) == buckets+1 && first[0] == 0 && int(first[buckets]) == n && slices.IsSorted(first)
}
