package lease_test

import (
	"testing"
	"time"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/lease"
)

// Guards against a lease that no process acquires any more because its row is malformed or states a duration without end,
// against one that is acquired while the process that wrote the row may still hold it, and against a term that goes back.
func TestMalformedRowExpires(t *testing.T) {
	for _, value := range []string{
		"", "{", "null", `"a"`, `{"holder":7}`, `{"holder":"b","term":-1}`, `{"holder":"b","length-ms":1e300}`,
		`{"holder":"b","term":2,"length-ms":900000000000}`, `{"holder":"b","term":2,"length-ms":9223372036854775807}`,
		`{"holder":"b","term":2,"length-ms":-5}`, `{"holder":"b","term":18446744073709551615}`,
	} {
		st, now := newFakeStore(), epoch
		k := lease.NewKeeper(st, "a", 1, func() time.Time { return now })
		if _, err := k.Step(t.Context()); err != nil {
			t.Fatal(err)
		}
		first, _ := k.Held(now)
		row := st.rows[lease.Key]
		row.Value, row.Version = []byte(value), row.Version+1
		st.rows[lease.Key] = row
		now = now.Add(9 * second) // the lease has ended, and its row is read again
		start := now
		var held bool
		var term ident.Term
		for ; !held && now.Sub(start) < 5*time.Minute; now = now.Add(second) {
			_, _ = k.Step(t.Context())
			term, held = k.Held(now)
		}
		if wait := now.Sub(start); !held || term <= first || term > first+1 || wait < lease.DefaultDuration {
			t.Errorf("row %q: held %v after %v, term %d after %d", value, held, wait, term, first)
		}
	}
}
