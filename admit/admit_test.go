package admit_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/currantpier/currantpier/admit"
	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/kinds"
)

var start = time.Unix(1_800_000_000, 0)

func after(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// queue returns a queue with 2 slots, a service time of 20 ms and customers of weights 1, 1 and 3, on one of 4 entries.
func queue(opts ...admit.Option) *admit.Queue {
	q := admit.New(opts...)
	q.SetSlots(2)
	q.SetRates(start, []admit.Rate{
		{Customer: "bolt", PerSecond: 4000, Weight: 1},
		{Customer: "frame", PerSecond: 4000, Weight: 1},
		{Customer: "shop", PerSecond: 4000, Weight: 3},
		{Customer: "small", PerSecond: 8, Weight: 1},
	}, 4)
	return q
}

// Guards against work that is accepted without a chance to finish, beyond the plan or beyond the bounds, and against
// refusals with the wrong kind.
func TestOffer(t *testing.T) {
	fill := func(customer ident.Customer, n int) func(q *admit.Queue) {
		return func(q *admit.Queue) {
			for i := range n {
				q.Offer(start, admit.Item{ID: uint64(i), Customer: customer, Deadline: after(10_000)}, false)
			}
		}
	}
	tests := []struct {
		name     string
		setup    func(q *admit.Queue)
		customer ident.Customer
		deadline int
		free     bool
		verdict  admit.Verdict
		kind     kinds.Kind
	}{
		{"free slot", fill("bolt", 0), "bolt", 20, true, admit.Run, kinds.Answered},
		{"shorter than the service time", fill("bolt", 0), "bolt", 19, true, admit.Refused, kinds.DeadlineTooShort},
		{"waits", fill("bolt", 0), "bolt", 30, false, admit.Queued, kinds.Answered},
		{"too late after the wait", fill("bolt", 0), "bolt", 29, false, admit.Refused, kinds.Overloaded},
		{"not past others that wait", fill("bolt", 1), "bolt", 100, true, admit.Queued, kinds.Answered},
		{"unknown customer", fill("bolt", 0), "nobody", 100, true, admit.Refused, kinds.UnknownCustomer},
		// 8 a second over 4 entries allow a burst of 4 here.
		{"within the burst", fill("small", 3), "small", 1000, false, admit.Queued, kinds.Answered},
		{"over plan", fill("small", 4), "small", 1000, false, admit.Refused, kinds.OverPlan},
		{"customer's queue full", fill("bolt", 10), "bolt", 10_000, false, admit.Refused, kinds.Overloaded},
		{"another customer's is not", fill("bolt", 10), "frame", 10_000, false, admit.Queued, kinds.Answered},
		{"all full", func(q *admit.Queue) { fill("bolt", 10)(q); fill("frame", 5)(q) }, "shop", 10_000, false,
			admit.Refused, kinds.Overloaded},
		// 10 items of a weight of 1 do not make a weight of 3 wait for all of them: 20 ms × (1/2) × 4/3.
		{"own part of the slots", fill("bolt", 10), "shop", 34, false, admit.Queued, kinds.Answered},
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
			q := queue(admit.MaxLength(10, 15))
			tt.setup(q)
			d := q.Offer(start, admit.Item{ID: 99, Customer: tt.customer, Deadline: after(tt.deadline)}, tt.free)
			if d.Verdict != tt.verdict || d.Kind != tt.kind {
				t.Errorf("got %v %v (wait %v), want %v %v", d.Verdict, d.Kind, d.Wait, tt.verdict, tt.kind)
			}
		})
	}
}

// Guards against a queue that makes everybody late where latency matters most, and against work that is started too late
// for its usual variation.
func TestBounds(t *testing.T) {
	offer := func(q *admit.Queue, id uint64, deadline int) admit.Verdict {
		return q.Offer(start, admit.Item{ID: id, Customer: "bolt", Deadline: after(deadline)}, false).Verdict
	}
	q := queue(admit.MaxWait(40 * time.Millisecond))
	n := 0
	for offer(q, uint64(n), 60_000) == admit.Queued {
		n++
	}
	if n != 4 {
		t.Errorf("%d items wait for at most 40 ms, want 4 with 2 slots of 20 ms", n)
	}
	q = queue()
	for i := range 400 {
		q.Finished(time.Duration(10+20*(i%2)) * time.Millisecond)
	}
	// A mean of about 20 ms, a deviation of about 10 ms and a wait of half a service time.
	if offer(q, 1, 45) != admit.Refused || offer(q, 2, 55) != admit.Queued {
		t.Error("want work with 45 ms left refused and with 55 ms queued")
	}
	if it, ok := q.Next(after(20)); ok {
		t.Errorf("item %d was started with 35 ms left", it.ID)
	}
}

// Guards against a customer that gets more than its rate over time, or less.
func TestRate(t *testing.T) {
	q := queue()
	run := 0
	for ms := range 60_000 {
		if q.Offer(after(ms), admit.Item{Customer: "small", Deadline: after(ms + 100)}, true).Verdict == admit.Run {
			run++
		}
	}
	// 2 a second on this entry and the burst of 4.
	if run < 122 || run > 124 {
		t.Errorf("%d requests in a minute, want 123 or 124", run)
	}
}

// Guards against a customer that crowds out others, in particular one that sends far more or has been idle.
func TestNextIsFair(t *testing.T) {
	q := queue()
	got := map[ident.Customer]int{}
	offer := func(c ident.Customer, n int) {
		for range n {
			q.Offer(start, admit.Item{Customer: c, Deadline: after(60_000)}, false)
		}
	}
	offer("bolt", 64)
	for range 40 {
		q.Next(start)
	}
	offer("bolt", 40)
	offer("shop", 60)
	offer("frame", 60)
	for range 50 {
		it, _ := q.Next(start)
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
		q := queue()
		waiting := map[uint64]admit.Item{}
		remove := func(it admit.Item) {
			if _, ok := waiting[it.ID]; !ok {
				t.Fatalf("seed %d: item %d is not waiting", seed, it.ID)
			}
			delete(waiting, it.ID)
		}
		for id := range uint64(3000) {
			now := after(int(id))
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

// Guards against items that get stuck when their customer leaves the list, and against rates that outlive it.
func TestSetRates(t *testing.T) {
	q := queue()
	q.Offer(start, admit.Item{ID: 1, Customer: "bolt", Deadline: after(1000)}, false)
	q.SetRates(start, []admit.Rate{{Customer: "shop", PerSecond: 1, Weight: 1}}, 1)
	if d := q.Offer(start, admit.Item{ID: 2, Customer: "bolt", Deadline: after(1000)}, true); d.Kind != kinds.UnknownCustomer {
		t.Errorf("a customer that left got %v", d.Kind)
	}
	if it, ok := q.Next(start); !ok || it.ID != 1 {
		t.Errorf("the queued item was not returned: %v", it)
	}
	if q.Offer(start, admit.Item{Customer: "shop", Deadline: after(1000)}, true).Verdict != admit.Run {
		t.Error("the first request of a low rate was refused")
	}
}

func BenchmarkOfferNext(b *testing.B) {
	q := queue()
	for id := range uint64(40) {
		q.Offer(start, admit.Item{ID: id, Customer: "shop", Deadline: after(60_000)}, false)
	}
	b.ReportAllocs()
	now := start
	for b.Loop() {
		now = now.Add(time.Millisecond)
		q.Offer(now, admit.Item{Customer: "shop", Deadline: now.Add(10 * time.Second)}, false)
		q.Next(now.Add(-time.Hour))
	}
}
