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

// The binary format consists of the magic string, the header, the header's checksum, the places, the arrays of Table in
// the order of its fields, and a checksum of all preceding bytes. Numbers are little-endian. A place is a region and a
// failure domain, each preceded by its length in one byte.
const magic = "CPLT0001"

// headerSize is the size in bytes of the magic string and of six lengths: places, blocks, v4First, v4Start, v6First and
// v6Start. The info arrays have the lengths of the start arrays. The header has its own checksum, so that a damaged length
// does not cause a large allocation.
const headerSize = len(magic) + 6*4

// maxArrayLength is the maximum number of elements of an array. It allows 16 times the scale goal of 2.6 million blocks.
const maxArrayLength = 2 * 16 * 2_600_000

// chunkBytes is the size of the pieces in which arrays are read and written, so that loading needs no second copy of the
// table.
const chunkBytes = 64 << 10

// tableWriter counts and checksums what it writes, and keeps the first error.
type tableWriter struct {
	w   *bufio.Writer
	sum *xxhash.Digest
	n   int64
	err error
}

func (o *tableWriter) bytes(b []byte) {
	if o.err != nil {
		return
	}
	_, _ = o.sum.Write(b) // a hash does not fail
	var n int
	n, o.err = o.w.Write(b)
	o.n += int64(n)
}

func (o *tableWriter) u16s(v []uint16) {
	for len(v) > 0 {
		n := min(len(v), chunkBytes/2)
		buf := make([]byte, 0, chunkBytes)
		for _, x := range v[:n] {
			buf = binary.LittleEndian.AppendUint16(buf, x)
		}
		o.bytes(buf)
		v = v[n:]
	}
}

func (o *tableWriter) u32s(v []uint32) {
	for len(v) > 0 {
		n := min(len(v), chunkBytes/4)
		buf := make([]byte, 0, chunkBytes)
		for _, x := range v[:n] {
			buf = binary.LittleEndian.AppendUint32(buf, x)
		}
		o.bytes(buf)
		v = v[n:]
	}
}

func (o *tableWriter) u64s(v []uint64) {
	for len(v) > 0 {
		n := min(len(v), chunkBytes/8)
		buf := make([]byte, 0, chunkBytes)
		for _, x := range v[:n] {
			buf = binary.LittleEndian.AppendUint64(buf, x)
		}
		o.bytes(buf)
		v = v[n:]
	}
}

// WriteTo writes the table in the binary format that Read reads, and returns the number of bytes written.
func (t *Table) WriteTo(w io.Writer) (int64, error) {
	o := &tableWriter{w: bufio.NewWriterSize(w, chunkBytes), sum: xxhash.New()}
	header := []byte(magic)
	for _, n := range []int{len(t.places), t.blocks, len(t.v4First), len(t.v4Start), len(t.v6First), len(t.v6Start)} {
		header = binary.LittleEndian.AppendUint32(header, uint32(n))
	}
	o.bytes(header)
	o.bytes(binary.LittleEndian.AppendUint64(nil, xxhash.Sum64(header)))
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

// tableReader checksums what it reads, and keeps the first error.
type tableReader struct {
	r   io.Reader
	sum *xxhash.Digest
	buf []byte
	err error
}

// next returns the next n bytes; n is at most chunkBytes. They are valid until the next call, and zero after an error.
func (in *tableReader) next(n int) []byte {
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

func (in *tableReader) u16s(n uint32) []uint16 {
	v := make([]uint16, n)
	for rest := v; len(rest) > 0 && in.err == nil; {
		part := min(len(rest), chunkBytes/2)
		b := in.next(2 * part)
		for i := range rest[:part] {
			rest[i] = binary.LittleEndian.Uint16(b[2*i:])
		}
		rest = rest[part:]
	}
	return v
}

func (in *tableReader) u32s(n uint32) []uint32 {
	v := make([]uint32, n)
	for rest := v; len(rest) > 0 && in.err == nil; {
		part := min(len(rest), chunkBytes/4)
		b := in.next(4 * part)
		for i := range rest[:part] {
			rest[i] = binary.LittleEndian.Uint32(b[4*i:])
		}
		rest = rest[part:]
	}
	return v
}

func (in *tableReader) u64s(n uint32) []uint64 {
	v := make([]uint64, n)
	for rest := v; len(rest) > 0 && in.err == nil; {
		part := min(len(rest), chunkBytes/8)
		b := in.next(8 * part)
		for i := range rest[:part] {
			rest[i] = binary.LittleEndian.Uint64(b[8*i:])
		}
		rest = rest[part:]
	}
	return v
}

// Read reads a table and verifies its checksums and invariants. It returns a BadRequest error for a damaged table.
func Read(r io.Reader) (*Table, error) {
	in := &tableReader{r: r, sum: xxhash.New(), buf: make([]byte, chunkBytes)}
	header := append([]byte(nil), in.next(headerSize)...)
	if sum := binary.LittleEndian.Uint64(in.next(8)); in.err != nil || sum != xxhash.Sum64(header) || string(header[:len(magic)]) != magic {
		return nil, kinds.Errorf(kinds.BadRequest, "client blocks: damaged header (%v)", in.err)
	}
	var lengths [6]uint32
	for i := range lengths {
		lengths[i] = binary.LittleEndian.Uint32(header[len(magic)+4*i:])
		if lengths[i] > maxArrayLength {
			return nil, kinds.Errorf(kinds.BadRequest, "client blocks: length %d, allowed: at most %d", lengths[i], maxArrayLength)
		}
	}
	t := &Table{blocks: int(lengths[1])}
	for range min(lengths[0], maxPlaces) {
		region := string(in.next(int(in.next(1)[0])))
		domain := string(in.next(int(in.next(1)[0])))
		t.places = append(t.places, ident.Place{Region: ident.Region(region), Domain: ident.Domain(domain)})
	}
	t.v4First, t.v4Start, t.v4Info = in.u32s(lengths[2]), in.u16s(lengths[3]), in.u16s(lengths[3])
	t.v6First, t.v6Start, t.v6Info = in.u32s(lengths[4]), in.u64s(lengths[5]), in.u16s(lengths[5])
	want := in.sum.Sum64()
	if got := binary.LittleEndian.Uint64(in.next(8)); in.err != nil || got != want {
		return nil, kinds.Errorf(kinds.BadRequest, "client blocks: damaged (%v)", in.err)
	}
	if !t.valid() {
		return nil, kinds.Errorf(kinds.BadRequest, "client blocks: not sorted")
	}
	return t, nil
}

// valid reports whether the invariants hold that Find depends on: sorted ranges, and indices within their arrays.
func (t *Table) valid() bool {
	if !validBuckets(t.v4First, len(t.v4Start)) || !validBuckets(t.v6First, len(t.v6Start)) || !slices.IsSorted(t.v6Start) {
		return false
	}
	for i := 1; i < len(t.v4First); i++ {
		if !slices.IsSorted(t.v4Start[t.v4First[i-1]:t.v4First[i]]) {
			return false
		}
	}
	return t.validPlaces(t.v4Info) && t.validPlaces(t.v6Info)
}

// validPlaces reports whether the places of all ranges exist.
func (t *Table) validPlaces(infos []uint16) bool {
	for _, x := range infos {
		if int(x>>shiftBits) >= len(t.places) {
			return false
		}
	}
	return true
}

// validBuckets reports whether first divides n ranges into buckets.
func validBuckets(first []uint32, n int) bool {
	if len(first) == 0 {
		return n == 0
	}
	return len(first) == bucketCount+1 && first[0] == 0 && int(first[bucketCount]) == n && slices.IsSorted(first)
}
