package heat

import (
	"math/rand"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// send records Poisson requests for an object at a rate per second during [from, to) and returns the numbers of holders.
func send(t *Table, rng *rand.Rand, object uint64, rate, share float64, from, to time.Duration) []int {
	var seen []int
	for at := from; ; {
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at >= to {
			return seen
		}
		seen = append(seen, t.Record(start.Add(at), Key{Object: object}, share))
	}
}

// Guards against a number of holders that doesn't follow the demand: a hot object that stays with one target, one of average
// demand that evicts others from further caches, and holders that remain when the demand has ebbed.
func TestHoldersFollowDemand(t *testing.T) {
	tests := []struct {
		name        string
		rate, share float64
		least, most int
	}{
		{"a third of the share of a holder", 1, 3, 1, 1},
		{"four holders' share", 12, 3, 3, 5},
		{"more than all holders can have", 100, 3, MaxHolders, MaxHolders},
		{"a large region, of which each VM gets few requests", 2, 0.01, MaxHolders, MaxHolders},
		{"no known share", 100, 0, 1, 1},
	}
	for _, tt := range tests {
		table := NewTable()
		seen := send(table, rand.New(rand.NewSource(1)), 7, tt.rate, tt.share, 0, 30*time.Second)
		if n := seen[len(seen)-1]; n < tt.least || n > tt.most {
			t.Errorf("%s: %d holders, want %d to %d", tt.name, n, tt.least, tt.most)
		}
		if n := table.Holders(start.Add(90*time.Second), 7); n != 1 {
			t.Errorf("%s: %d holders 60 s after the last request, want 1", tt.name, n)
		}
		if hot := table.Hot(start.Add(90 * time.Second)); len(hot) > 0 {
			t.Errorf("%s: still hot after 60 s: %+v", tt.name, hot)
		}
	}
}

// Guards against holders that flap with the noise of the requests: each change costs a cache miss. Some of the rates
// are just those at which a further holder is needed. If the number followed the lower bound of the rate both ways, it would change up
// to 126 times in 300 s.
func TestHoldersDoNotFlap(t *testing.T) {
	for rate := 2.0; rate <= 8; rate += 0.5 {
		seen := send(NewTable(), rand.New(rand.NewSource(2)), 7, rate, 3, 0, 300*time.Second)
		changes := 0
		for i := 1; i < len(seen); i++ {
			if seen[i] != seen[i-1] {
				changes++
			}
		}
		t.Logf("%v requests/s: %d changes in 300 s", rate, changes)
		if changes > 6 {
			t.Errorf("%v requests/s: the holders changed %d times in 300 s, want 6 at most", rate, changes)
		}
	}
}

// Guards against many objects that are each requested once: they must neither get further holders, also if one request stands for
// those of 1,000 VMs, nor evict hot objects, nor take memory.
func TestManyObjectsRequestedOnce(t *testing.T) {
	table, rng, now := NewTable(), rand.New(rand.NewSource(3)), start
	const hot = 7
	next := uint64(100)
	attack := func() {
		now = now.Add(time.Millisecond)
		next++
		if n := table.Record(now, Key{Object: next}, 0.01); n != 1 {
			t.Fatalf("an object that was requested once has %d holders", n)
		}
	}
	most := 0
	for i := range 30000 {
		attack()
		if rng.Intn(250) == 0 {
			n := table.Record(now, Key{Object: hot}, 1)
			most = max(most, n)
			if i > 20000 && n < 2 {
				t.Fatalf("the hot object has %d holder at %v", n, now.Sub(start))
			}
		}
	}
	if list := table.Hot(now); len(list) != 1 || list[0].Object != hot {
		t.Errorf("hot objects: %+v", list)
	}
	if n := testing.AllocsPerRun(1000, attack); n > 0 {
		t.Errorf("%v allocations per request", n)
	}
}

// Guards against a clock that goes back, which must not raise the rate without bound or make it negative.
func TestClockGoesBack(t *testing.T) {
	table := NewTable()
	for i := range 100 {
		table.Record(start.Add(-time.Duration(i)*time.Second), Key{Object: 7}, 1000)
	}
	table.Record(start.Add(time.Minute), Key{Object: 7}, 1000)
	if e := table.find(7); e.count < 1 || e.count > 1.1 {
		t.Errorf("count %v a minute later, want 1", e.count)
	}
}
