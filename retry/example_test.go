package retry_test

import (
	"fmt"
	"time"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/retry"
)

// An order is refused by one target without being run and is sent to another failure domain. There the connection
// breaks after the first byte was written.
func Example() {
	now := time.Unix(1_800_000_000, 0)
	var budget retry.Budget
	for range 10 {
		budget.Request(now)
	}
	call := retry.Call{Request: retry.Order, Deadline: now.Add(time.Second)}
	if call.Next(now, retry.Rejected, true, &budget) == retry.OtherTarget {
		d, _ := retry.NextDomain([]ident.Domain{"riga-a", "riga-b"}, []ident.Domain{"riga-a"})
		fmt.Println("try", d)
	}
	if call.Next(now, retry.Broken, true, &budget) == retry.Unknown {
		fmt.Println("outcome unknown")
	}
	// Output:
	// try riga-b
	// outcome unknown
}
