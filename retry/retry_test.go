package retry

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/currantpier/currantpier/ident"
)

var start = time.Unix(1_800_000_000, 0)

// TestMain fixes the seed of rapid, so that each run checks the same cases. -rapid.seed overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// Guards against running an order twice (R5) and against reporting "not run" for an order that may have run (R4).
func TestClassify(t *testing.T) {
	tests := []struct {
		f Failure
		// The verdicts on an idempotent request, an order before its first byte was written, and an order after that.
		idempotent, unsent, written Verdict
	}{
		{Other, OtherTarget, OtherTarget, Unknown},
		{Refused, OtherTarget, OtherTarget, Unknown},
		{Rejected, OtherTarget, OtherTarget, OtherTarget},
		{Silent, SameTarget, SameTarget, Unknown},
		{Stale, SameTarget, SameTarget, Unknown},
		{Broken, OtherTarget, OtherTarget, Unknown},
		{Truncated, OtherTarget, OtherTarget, Unknown},
		{Deadline, Timeout, NotRun, Unknown},
		{Stopped, Failed, NotRun, Unknown},
		{Stopped + 1, OtherTarget, OtherTarget, Unknown},
	}
	for _, tt := range tests {
		for _, written := range []bool{false, true} {
			if got := Classify(tt.f, Idempotent, written); got != tt.idempotent {
				t.Errorf("failure %d of an idempotent request: %d, want %d", tt.f, got, tt.idempotent)
			}
		}
		if got := Classify(tt.f, Order, false); got != tt.unsent {
			t.Errorf("failure %d of an order before its first byte: %d, want %d", tt.f, got, tt.unsent)
		}
		if got := Classify(tt.f, Order, true); got != tt.written {
			t.Errorf("failure %d of an order after its first byte: %d, want %d", tt.f, got, tt.written)
		}
	}
}

// Guards against more retries than the limits allow, and against a wrong verdict when a limit is reached.
func TestNext(t *testing.T) {
	tests := []struct {
		name     string
		req      Request
		at       time.Duration
		budget   int
		failures []Failure
		want     []Verdict
	}{
		{"two further attempts", Idempotent, 0, 100, []Failure{Broken, Refused, Truncated}, []Verdict{OtherTarget, OtherTarget, Failed}},
		{"order", Order, 0, 100, []Failure{Rejected, Refused, Rejected}, []Verdict{OtherTarget, OtherTarget, NotRun}},
		{"silent twice", Idempotent, 0, 100, []Failure{Silent, Silent, Silent}, []Verdict{SameTarget, OtherTarget, Failed}},
		{"no budget", Idempotent, 0, 19, []Failure{Broken, Broken}, []Verdict{OtherTarget, Failed}},
		{"no budget, order", Order, 0, 0, []Failure{Rejected}, []Verdict{NotRun}},
		{"no time", Idempotent, time.Second - MinRetryTime + 1, 100, []Failure{Broken}, []Verdict{Failed}},
		{"no time, order", Order, time.Second - MinRetryTime + 1, 100, []Failure{Refused}, []Verdict{NotRun}},
		{"past the deadline", Idempotent, time.Second, 100, []Failure{Broken}, []Verdict{Timeout}},
		{"past the deadline, order", Order, time.Second, 100, []Failure{Rejected}, []Verdict{NotRun}},
	}
	for _, tt := range tests {
		var b Budget
		for range tt.budget {
			b.Request(start)
		}
		c := Call{Request: tt.req, Deadline: start.Add(time.Second)}
		for i, f := range tt.failures {
			if got := c.Next(start.Add(tt.at), f, tt.req == Order && f == Rejected, &b); got != tt.want[i] {
				t.Errorf("%s: verdict %d on attempt %d, want %d", tt.name, got, i+1, tt.want[i])
			}
		}
	}
}

// Guards against retries that multiply the load of an outage.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Budget
		now, requests, retries := start, 0, 0
		for range rapid.IntRange(1, 500).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				b.Request(now)
				requests++
			} else if b.TryTake(now) {
				retries++
			}
		}
		if limit := float64(requests)/10 + now.Sub(start).Seconds()/10; float64(retries) > limit {
			t.Fatalf("%d retries, limit %.1f", retries, limit)
		}
	})
	var b Budget
	for range 100_000 {
		b.Request(start)
	}
	n := 0
	for b.TryTake(start) {
		n++
	}
	if n != maxCredit/creditPerRetry {
		t.Errorf("a burst of %d retries from saved credit, want 20", n)
	}
	if !b.TryTake(start.Add(idleRetryInterval)) || b.TryTake(start.Add(idleRetryInterval)) {
		t.Error("want exactly one retry after idleRetryInterval")
	}
}

// Guards against an attempt that uses up the time of a retry, and against orders that are cut short without need.
func TestAttemptDeadline(t *testing.T) {
	tests := []struct {
		c    Call
		now  time.Duration
		want time.Duration
	}{
		{Call{}, 0, 300 * time.Millisecond},
		{Call{Retries: 1}, 300 * time.Millisecond, 600 * time.Millisecond},
		{Call{Retries: MaxRetries}, 600 * time.Millisecond, 900 * time.Millisecond},
		{Call{Request: Order}, 0, 900 * time.Millisecond},
		{Call{}, time.Second, 900 * time.Millisecond},
	}
	for _, tt := range tests {
		tt.c.Deadline = start.Add(900 * time.Millisecond)
		if got := tt.c.AttemptDeadline(start.Add(tt.now)).Sub(start); got != tt.want {
			t.Errorf("%+v at %v: %v, want %v", tt.c, tt.now, got, tt.want)
		}
	}
}

// Guards against a retry in the failure domain that has just failed.
func TestNextDomain(t *testing.T) {
	tests := []struct {
		candidates, tried []ident.Domain
		want              ident.Domain
	}{
		{[]ident.Domain{"a", "b"}, nil, "a"},
		{[]ident.Domain{"a", "b", "c"}, []ident.Domain{"b", "a"}, "c"},
		{[]ident.Domain{"a"}, []ident.Domain{"a"}, ""},
	}
	for _, tt := range tests {
		if got, ok := NextDomain(tt.candidates, tt.tried); got != tt.want || ok != (tt.want != "") {
			t.Errorf("NextDomain(%v, %v) = %q, %v", tt.candidates, tt.tried, got, ok)
		}
	}
}
