package lookup_test

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/google/go-cmp/cmp"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/kinds"
	"github.com/currantpier/currantpier/lookup"
)

func place(i int) ident.Place {
	return ident.Place{Region: ident.Region(fmt.Sprint("r", i/2)), Domain: ident.Domain(fmt.Sprint("d", i))}
}

type block struct {
	prefix netip.Prefix
	place  int
}

func build(t testing.TB, blocks []block) *lookup.Table {
	t.Helper()
	b := &lookup.Builder{}
	for _, one := range blocks {
		if err := b.Add(one.prefix, place(one.place)); err != nil {
			t.Fatal(err)
		}
	}
	table, err := b.Build()
	if err != nil {
		t.Fatal(err)
	}
	return table
}

// longestMatch is the reference implementation of Find: it returns the place of the longest block that contains a.
func longestMatch(blocks []block, a netip.Addr) (ident.Place, bool) {
	best := -1
	for i, b := range blocks {
		if b.prefix.Contains(a) && (best < 0 || b.prefix.Bits() > blocks[best].prefix.Bits()) {
			best = i
		}
	}
	if best < 0 {
		return ident.Place{}, false
	}
	return place(blocks[best].place), true
}

// nestedBlocks returns blocks in a few parts of the address space, many of them nested or adjacent.
func nestedBlocks(r *rand.Rand, n int) []block {
	seen := map[netip.Prefix]bool{}
	var list []block
	for len(list) < n {
		var a netip.Addr
		bits := 0
		if r.IntN(2) == 0 {
			a = netip.AddrFrom4([4]byte{byte(r.IntN(2)) * 255, byte(r.IntN(2)) * 255, byte(r.IntN(4)) * 85, byte(r.IntN(4)) * 85})
			bits = r.IntN(33)
		} else {
			a = netip.AddrFrom16([16]byte{0: byte(r.IntN(2)) * 255, 3: byte(r.IntN(3)), 4: byte(r.IntN(2)) * 255, 7: byte(r.IntN(4)) * 85})
			bits = 1 + r.IntN(64)
		}
		p, _ := a.Prefix(bits)
		if !seen[p] {
			seen[p] = true
			list = append(list, block{p, r.IntN(4)})
		}
	}
	return list
}

// Guards against a flattened table whose result differs from the longest match, at and next to the ends of each block.
func TestFind(t *testing.T) {
	for seed := range uint64(120) {
		r := rand.New(rand.NewPCG(seed, 1))
		blocks := nestedBlocks(r, int(seed%40))
		table := build(t, blocks)
		if table.Len() != len(blocks) {
			t.Fatalf("seed %d: Len = %d, want %d", seed, table.Len(), len(blocks))
		}
		addrs := []netip.Addr{{}, netip.MustParseAddr("0.0.0.0"), netip.MustParseAddr("255.255.255.255"),
			netip.MustParseAddr("::"), netip.MustParseAddr("ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff")}
		for _, b := range blocks {
			last := b.prefix.Addr().AsSlice()
			for i := b.prefix.Bits(); i < len(last)*8; i++ {
				last[i/8] |= 1 << (7 - i%8)
			}
			end, _ := netip.AddrFromSlice(last)
			addrs = append(addrs, b.prefix.Addr(), b.prefix.Addr().Prev(), end, end.Next())
		}
		for _, a := range addrs {
			if a.Is4In6() {
				continue
			}
			want, wantOK := longestMatch(blocks, a)
			i, ok := table.Find(a)
			if ok != wantOK || ok && table.Place(i) != want {
				t.Fatalf("seed %d: Find(%v) = %v, want %v, %v\n%v", seed, a, ok, want, wantOK, blocks)
			}
		}
	}
}

// Guards against different places for the two forms of an IPv4 address, against blocks that cannot be represented exactly,
// and against a block with two places.
func TestAddRejectsInvalidBlocks(t *testing.T) {
	table := build(t, []block{{netip.MustParsePrefix("10.0.0.0/8"), 1}})
	if _, ok := table.Find(netip.MustParseAddr("::ffff:10.1.1.1")); !ok {
		t.Error("an IPv4 address in IPv6 form is not found")
	}
	for _, p := range []netip.Prefix{{}, netip.MustParsePrefix("fd00::/65"), netip.MustParsePrefix("::/0"), netip.MustParsePrefix("10.0.0.1/8"),
		netip.MustParsePrefix("::ffff:0:0/96")} {
		if err := (&lookup.Builder{}).Add(p, place(0)); kinds.Of(err) != kinds.BadRequest {
			t.Errorf("Add(%v) = %v", p, err)
		}
	}
	for _, text := range []string{"10.0.0.0/8", "fd00::/64"} {
		b := &lookup.Builder{}
		for i := range 2 {
			if err := b.Add(netip.MustParsePrefix(text), place(i)); err != nil {
				t.Fatal(err)
			}
		}
		if _, err := b.Build(); kinds.Of(err) != kinds.Conflict || !strings.Contains(err.Error(), text) {
			t.Errorf("two places: %v", err)
		}
	}
}

// Guards against a table that differs after writing and reading, and against accepting damaged or unsorted objects, with
// which Find could panic.
func TestWriteAndRead(t *testing.T) {
	blocks := nestedBlocks(rand.New(rand.NewPCG(5, 5)), 60)
	table := build(t, blocks)
	var buf bytes.Buffer
	n, err := table.WriteTo(&buf)
	if err != nil || n != int64(buf.Len()) {
		t.Fatal(n, buf.Len(), err)
	}
	read, err := lookup.Read(bytes.NewReader(buf.Bytes()))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(table, read, cmp.AllowUnexported(lookup.Table{})); diff != "" {
		t.Error(diff)
	}
	good := buf.Bytes()
	for i := 0; i < len(good); i += 1 + i/10 {
		bad := bytes.Clone(good)
		bad[i] ^= 0x10
		if _, err := lookup.Read(bytes.NewReader(bad)); kinds.Of(err) != kinds.BadRequest {
			t.Fatalf("byte %d changed: %v", i, err)
		}
		if _, err := lookup.Read(bytes.NewReader(good[:i])); kinds.Of(err) != kinds.BadRequest {
			t.Fatalf("cut after %d bytes: %v", i, err)
		}
	}
	// This adds 50 million to the length of v4Start. The header's checksum must fail before the array is allocated.
	var before, after runtime.MemStats
	bad := bytes.Clone(good)
	bad[8+4*3+3] ^= 3
	runtime.ReadMemStats(&before)
	_, err = lookup.Read(bytes.NewReader(bad))
	runtime.ReadMemStats(&after)
	if kinds.Of(err) != kinds.BadRequest || after.TotalAlloc-before.TotalAlloc > 1<<20 {
		t.Errorf("a damaged length: %v, %d bytes allocated", err, after.TotalAlloc-before.TotalAlloc)
	}
	// The last two bytes before the checksum are the info of the only range.
	buf.Reset()
	if _, err := build(t, []block{{netip.MustParsePrefix("10.0.0.0/8"), 0}}).WriteTo(&buf); err != nil {
		t.Fatal(err)
	}
	bad = buf.Bytes()
	end := len(bad) - 8
	bad[end-1] = 0xff
	binary.LittleEndian.PutUint64(bad[end:], xxhash.Sum64(bad[:end]))
	if _, err := lookup.Read(bytes.NewReader(bad)); kinds.Of(err) != kinds.BadRequest {
		t.Errorf("nonexistent place: %v", err)
	}
	if empty, err := (&lookup.Builder{}).Build(); err != nil {
		t.Fatal(err)
	} else if _, ok := empty.Find(netip.MustParseAddr("10.0.0.1")); ok {
		t.Error("an empty table found something")
	}
}

// testMembers returns members in the given number of failure domains, each with the given number of VMs.
func testMembers(domains, each int) []lookup.EntryVM {
	var list []lookup.EntryVM
	for d := range domains {
		for i := range each {
			list = append(list, lookup.EntryVM{VM: ident.VM(fmt.Sprintf("vm-%d-%d", d, i)), Place: place(d)})
		}
	}
	return list
}

// clientAddr returns the i-th test address. The multiplication spreads the addresses over the IPv4 address space.
func clientAddr(i int) netip.Addr {
	var a [4]byte
	binary.BigEndian.PutUint32(a[:], uint32(i)*2654435761)
	return netip.AddrFrom4(a)
}

// Guards against listing leaving VMs, listing distant or suspected VMs before near ones, and VMs that are missing or listed
// twice.
func TestOrder(t *testing.T) {
	members := testMembers(6, 2)
	members[0].Leaving, members[3].Suspected = true, true
	d := lookup.NewDirectory(members)
	at := map[ident.VM]lookup.EntryVM{}
	for _, m := range members {
		at[m.VM] = m
	}
	rank := func(from ident.Place, vm ident.VM) int {
		if at[vm].Suspected {
			return 9
		}
		return int(from.To(at[vm].Place))
	}
	for i := range 500 {
		from := place(i % 6)
		got := d.AppendNearest(nil, clientAddr(i), from)
		seen := map[ident.VM]bool{}
		for j, vm := range got {
			if seen[vm] || at[vm].Leaving || j > 0 && rank(from, got[j-1]) > rank(from, vm) {
				t.Fatalf("from %v: %v", from, got)
			}
			seen[vm] = true
		}
		if len(got) != 11 {
			t.Fatalf("from %v: %d VMs: %v", from, len(got), got)
		}
	}
	unknown := d.AppendNearest(nil, clientAddr(1), ident.Place{Region: "r1", Domain: "new"})
	if p := at[unknown[0]].Place; p.Region != "r1" {
		t.Errorf("a new failure domain gave %v", unknown)
	}
	if got := d.AppendNearest(nil, clientAddr(1), ident.Place{Region: "x", Domain: "y"}); len(got) != 11 {
		t.Errorf("an unknown region gave %v", got)
	}
	if got := lookup.NewDirectory(testMembers(58, 55)).AppendNearest(nil, clientAddr(1), place(3)); len(got) != 12 || !strings.HasPrefix(string(got[8]), "vm-") ||
		strings.HasPrefix(string(got[8]), "vm-2-") || strings.HasPrefix(string(got[8]), "vm-3-") {
		t.Errorf("3,190 VMs gave %v, want 4 of each distance", got)
	}
	if got := lookup.NewDirectory(testMembers(6, 8)).AppendNearest(make([]ident.VM, 0, lookup.MaxListed), clientAddr(1), place(3)); len(got) > lookup.MaxListed {
		t.Errorf("48 VMs gave %d", len(got))
	}
}

// Guards against uneven load on the first VM of the answers, on the second one when the first is down, and on the VMs of
// other regions when a region has none.
func TestOrderSpreads(t *testing.T) {
	tests := []struct {
		name    string
		members []lookup.EntryVM
		from    ident.Place
		skip    int
		share   int
	}{
		{"failure domain", testMembers(6, 2), place(0), 0, 2},
		{"first choice down", testMembers(2, 4), place(0), 1, 4},
		{"region without VMs", testMembers(6, 2)[4:], place(0), 0, 8},
		{"scale goal", testMembers(58, 55), place(7), 0, 55},
	}
	for _, tt := range tests {
		d := lookup.NewDirectory(tt.members)
		count := map[ident.VM]int{}
		const n = 40_000
		for i := range n {
			count[d.AppendNearest(nil, clientAddr(i), tt.from)[tt.skip]]++
		}
		if len(count) != tt.share {
			t.Errorf("%s: %d VMs share the load, want %d", tt.name, len(count), tt.share)
		}
		for vm, c := range count {
			// Four standard deviations at 55 VMs are 15%.
			if even := n / tt.share; c < even*80/100 || c > even*120/100 {
				t.Errorf("%s: %s is chosen %d times, even is %d", tt.name, vm, c, even)
			}
		}
	}
}

// Guards against allocations in a lookup, which would cost more than the search itself at 1.4 million lookups per second.
func TestLookupDoesNotAllocate(t *testing.T) {
	blocks := scatteredBlocks(1000, 30)
	table := build(t, blocks)
	d := lookup.NewDirectory(testMembers(6, 2))
	dst := make([]ident.VM, 0, lookup.MaxListed)
	allocs := testing.AllocsPerRun(100, func() {
		i, _ := table.Find(blocks[77].prefix.Addr())
		dst = d.AppendNearest(dst[:0], clientAddr(77), table.Place(i))
	})
	if allocs != 0 {
		t.Errorf("%v allocations", allocs)
	}
}

// scatteredBlocks returns blocks with lengths as on the internet: 20 to 24 bits for IPv4, and 32 to 48 bits for the IPv6
// ones, which are percent6 % of them. They rarely overlap.
func scatteredBlocks(n, percent6 int) []block {
	r := rand.New(rand.NewPCG(uint64(n), 9))
	seen := make(map[netip.Prefix]bool, n)
	list := make([]block, 0, n)
	for len(list) < n {
		var a [16]byte
		binary.BigEndian.PutUint64(a[:], r.Uint64()>>3|1<<61)
		p, _ := netip.AddrFrom16(a).Prefix(32 + r.IntN(17))
		if r.IntN(100) >= percent6 {
			p, _ = netip.AddrFrom4([4]byte(a[4:8])).Prefix(20 + r.IntN(5))
		}
		if !seen[p] {
			seen[p] = true
			list = append(list, block{p, r.IntN(58)})
		}
	}
	return list
}

// BenchmarkFind uses tables of 3 sizes and 3 proportions of IPv6 blocks.
func BenchmarkFind(b *testing.B) {
	for _, n := range []int{26_000, 260_000, 2_600_000} {
		for _, percent6 := range []int{0, 30, 100} {
			blocks := scatteredBlocks(n, percent6)
			table := build(b, blocks)
			b.Run(fmt.Sprintf("blocks=%d/ipv6=%d%%", n, percent6), func(b *testing.B) {
				b.ReportAllocs()
				b.ReportMetric(float64(table.MemoryBytes())/1e6, "MB")
				for i := range b.N {
					if _, ok := table.Find(blocks[i*7919%n].prefix.Addr()); !ok {
						b.Fatal("not found")
					}
				}
			})
		}
	}
}

func BenchmarkOrder(b *testing.B) {
	for _, each := range []int{2, 15, 55} {
		domains := 58
		if each == 2 {
			domains = 6
		}
		d := lookup.NewDirectory(testMembers(domains, each))
		places := make([]ident.Place, domains)
		for i := range places {
			places[i] = place(i)
		}
		b.Run(fmt.Sprintf("vms=%d", domains*each), func(b *testing.B) {
			dst := make([]ident.VM, 0, lookup.MaxListed)
			b.ReportAllocs()
			for i := range b.N {
				dst = d.AppendNearest(dst[:0], clientAddr(i), places[i%domains])
			}
		})
	}
}

func BenchmarkRead(b *testing.B) {
	for _, n := range []int{26_000, 260_000, 2_600_000} {
		var buf bytes.Buffer
		if _, err := build(b, scatteredBlocks(n, 30)).WriteTo(&buf); err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("blocks=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			b.ReportMetric(float64(buf.Len())/1e6, "MB-object")
			for range b.N {
				if _, err := lookup.Read(bytes.NewReader(buf.Bytes())); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkNewDirectory(b *testing.B) {
	members := testMembers(58, 55)
	for range b.N {
		lookup.NewDirectory(members)
	}
}
