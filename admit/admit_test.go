package admit_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/currantpier/currantpier/admit"
	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/kinds"
)

var testStart = time.Unix(1_800_000_000, 0)

func afterMillis(ms int) time.Time { return testStart.Add(time.Duration(ms) * time.Millisecond) }

// newQueue returns a queue on one of 4 entries, with 2 slots, a service time of 20 ms and customers of weights 1, 1, 3
// and 1. The last one, small, has a low rate.
func newQueue(opts ...admit.Option) *admit.Queue {
	q := admit.New(opts...)
	q.SetSlots(2)
	q.SetRates(testStart, []admit.Rate{
		{Customer: "bolt", PerSecond: 4000, Weight: 1},
		{Customer: "frame", PerSecond: 4000, Weight: 1},
		{Customer: "shop", PerSecond: 4000, Weight: 3},
		{Customer: "small", PerSecond: 8, Weight: 1},
	}, 4)
	return q
}

// Guards against accepting requests that exceed the plan or the queue limits or have no chance to finish in time, and
// against refusals with the wrong kind.
func TestOffer(t *testing.T) {
	fill := func(customer ident.Customer, n int) func(q *admit.Queue) {
		return func(q *admit.Queue) {
			for i := range n {
				q.Offer(testStart, admit.Item{ID: uint64(i), Customer: customer, Deadline: afterMillis(10_000)}, false)
			}
		}
	}
	tests := []struct {
		name           string
		setup          func(q *admit.Queue)
		customer       ident.Customer
		deadlineMillis int
		slotFree       bool
		verdict        admit.Verdict
		kind           kinds.Kind
	}{
		{"free slot", fill("bolt", 0), "bolt", 20, true, admit.Run, kinds.Answered},
		{"shorter than the service time", fill("bolt", 0), "bolt", 19, true, admit.Refused, kinds.DeadlineTooShort},
		{"waits", fill("bolt", 0), "bolt", 30, false, admit.Queued, kinds.Answered},
		{"deadline passes after the wait", fill("bolt", 0), "bolt", 29, false, admit.Refused, kinds.Overloaded},
		{"queued behind a waiting item despite a free slot", fill("bolt", 1), "bolt", 100, true, admit.Queued, kinds.Answered},
		{"unknown customer", fill("bolt", 0), "nobody", 100, true, admit.Refused, kinds.UnknownCustomer},
		// 8 per second over 4 entries is 2 per second here, which allows a burst of 4.
		{"within the burst", fill("small", 3), "small", 1000, false, admit.Queued, kinds.Answered},
		{"over plan", fill("small", 4), "small", 1000, false, admit.Refused, kinds.RateLimited},
		{"customer's queue full", fill("bolt", 10), "bolt", 10_000, false, admit.Refused, kinds.Overloaded},
		{"another customer's queue is not full", fill("bolt", 10), "frame", 10_000, false, admit.Queued, kinds.Answered},
		{"total limit reached", func(q *admit.Queue) { fill("bolt", 10)(q); fill("frame", 5)(q) }, "shop", 10_000, false,
			admit.Refused, kinds.Overloaded},
		// A customer of weight 3 does not wait for all 10 items of one of weight 1: 20 ms × (1/2) × 4/3 of expected wait.
		{"heavier customer waits for its own share only", fill("bolt", 10), "shop", 34, false, admit.Queued, kinds.Answered},
		{"no slots", func(q *admit.Queue) { q.SetSlots(0) }, "bolt", 1000, false, admit.Refused, kinds.Overloaded},
		{"borrowed slot", func(q *admit.Queue) { q.SetSlots(0) }, "bolt", 1000, true, admit.Run, kinds.Answered},
		{"slower than assumed", func(q *admit.Queue) {
			for range 200 {
				q.Finished(50 * time.Millisecond)
			}
		}, "bolt", 49, true, admit.Refused, kinds.DeadlineTooShort},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := newQueue(admit.WithMaxLength(10, 15))
			tt.setup(q)
			d := q.Offer(testStart, admit.Item{ID: 99, Customer: tt.customer, Deadline: afterMillis(tt.deadlineMillis)}, tt.slotFree)
			if d.Verdict != tt.verdict || d.Kind != tt.kind {
				t.Errorf("got %v %v (wait %v), want %v %v", d.Verdict, d.Kind, d.Wait, tt.verdict, tt.kind)
			}
		})
	}
}

// Guards against a queue so long that all requests are late although a maximum wait is set, and against starting requests
// whose remaining time does not cover the usual deviation of the service time.
func TestOfferLimitsWait(t *testing.T) {
	offer := func(q *admit.Queue, id uint64, deadlineMillis int) admit.Verdict {
		return q.Offer(testStart, admit.Item{ID: id, Customer: "bolt", Deadline: afterMillis(deadlineMillis)}, false).Verdict
	}
	q := newQueue(admit.WithMaxWait(40 * time.Millisecond))
	n := 0
	for offer(q, uint64(n), 60_000) == admit.Queued {
		n++
	}
	if n != 4 {
		t.Errorf("%d items wait for at most 40 ms, want 4 with 2 slots of 20 ms", n)
	}
	q = newQueue()
	for i := range 400 {
		q.Finished(time.Duration(10+20*(i%2)) * time.Millisecond)
	}
	// A mean of about 20 ms, a deviation of about 10 ms and an expected wait of half a service time.
	if offer(q, 1, 45) != admit.Refused || offer(q, 2, 55) != admit.Queued {
		t.Error("want work with 45 ms left refused and with 55 ms queued")
	}
	if it, ok := q.Next(afterMillis(20)); ok {
		t.Errorf("item %d was started with 35 ms left", it.ID)
	}
}

// Guards against a customer that gets more or less than its rate over time.
func TestOfferLimitsRate(t *testing.T) {
	q := newQueue()
	accepted := 0
	for ms := range 60_000 {
		if q.Offer(afterMillis(ms), admit.Item{Customer: "small", Deadline: afterMillis(ms + 100)}, true).Verdict == admit.Run {
			accepted++
		}
	}
	// 2 per second on this entry, and the burst of 4.
	if accepted < 122 || accepted > 124 {
		t.Errorf("%d requests in a minute, want 123 or 124", accepted)
	}
}

// Guards against a customer that crowds out others, in particular one that sends far more than they do or was idle before.
func TestNextIsFair(t *testing.T) {
	q := newQueue()
	got := map[ident.Customer]int{}
	offer := func(c ident.Customer, n int) {
		for range n {
			q.Offer(testStart, admit.Item{Customer: c, Deadline: afterMillis(60_000)}, false)
		}
	}
	offer("bolt", 64)
	for range 40 {
		q.Next(testStart)
	}
	offer("bolt", 40)
	offer("shop", 60)
	offer("frame", 60)
	for range 50 {
		it, _ := q.Next(testStart)
		got[it.Customer]++
	}
	if got["bolt"] != 10 || got["frame"] != 10 || got["shop"] != 30 {
		t.Errorf("of 50 slots got %v, want 10, 10 and 30 for weights of 1, 1 and 3", got)
	}
}

// Guards against items that are started too late, lost or returned twice.
func TestQueueKeepsItems(t *testing.T) {
	for seed := range uint64(20) {
		rnd := rand.New(rand.NewPCG(seed, 5))
		q := newQueue()
		waiting := map[uint64]admit.Item{}
		remove := func(it admit.Item) {
			if _, ok := waiting[it.ID]; !ok {
				t.Fatalf("seed %d: item %d is not waiting", seed, it.ID)
			}
			delete(waiting, it.ID)
		}
		for id := range uint64(3000) {
			now := afterMillis(int(id))
			c := []ident.Customer{"bolt", "frame", "shop"}[rnd.IntN(3)]
			it := admit.Item{ID: id, Customer: c, Class: admit.Class(rnd.IntN(2)), Deadline: now.Add(time.Duration(rnd.IntN(300)) * time.Millisecond)}
			if q.Offer(now, it, false).Verdict == admit.Queued {
				waiting[id] = it
			}
			switch rnd.IntN(20) {
			case 0:
				for _, x := range q.Expire(now, nil) {
					if !x.Deadline.Before(now.Add(20 * time.Millisecond)) {
						t.Fatalf("seed %d: item %d expired with %v left", seed, x.ID, x.Deadline.Sub(now))
					}
					remove(x)
				}
			case 1:
				if x, ok := waiting[id-uint64(rnd.IntN(10))]; ok && q.Cancel(x.Customer, x.ID) {
					remove(x)
				}
			case 2, 3, 4:
				if x, ok := q.Next(now); ok {
					if x.Deadline.Before(now.Add(20 * time.Millisecond)) {
						t.Fatalf("seed %d: item %d started with %v left", seed, x.ID, x.Deadline.Sub(now))
					}
					remove(x)
				}
			}
			if q.Len() != len(waiting) {
				t.Fatalf("seed %d: %d items in the queue, want %d", seed, q.Len(), len(waiting))
			}
		}
	}
}

// Guards against items that stay queued for good after their customer was removed from the list, and against a removed
// customer that still has a rate.
func TestSetRatesRemovesCustomer(t *testing.T) {
	q := newQueue()
	q.Offer(testStart, admit.Item{ID: 1, Customer: "bolt", Deadline: afterMillis(1000)}, false)
	q.SetRates(testStart, []admit.Rate{{Customer: "shop", PerSecond: 1, Weight: 1}}, 1)
	if d := q.Offer(testStart, admit.Item{ID: 2, Customer: "bolt", Deadline: afterMillis(1000)}, true); d.Kind != kinds.UnknownCustomer {
		t.Errorf("removed customer got %v", d.Kind)
	}
	if it, ok := q.Next(testStart); !ok || it.ID != 1 {
		t.Errorf("the queued item was not returned: %v", it)
	}
	if q.Offer(testStart, admit.Item{Customer: "shop", Deadline: afterMillis(1000)}, true).Verdict != admit.Run {
		t.Error("the first request of a low rate was refused")
	}
}

func BenchmarkOfferNext(b *testing.B) {
	q := newQueue()
	for id := range uint64(40) {
		q.Offer(testStart, admit.Item{ID: id, Customer: "shop", Deadline: afterMillis(60_000)}, false)
	}
	b.ReportAllocs()
	now := testStart
	for b.Loop() {
		now = now.Add(time.Millisecond)
		q.Offer(now, admit.Item{Customer: "shop", Deadline: now.Add(10 * time.Second)}, false)
		q.Next(now.Add(-time.Hour))
	}
}
