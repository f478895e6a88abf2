package lease_test

import (
	"context"
	"fmt"
	"time"

	"github.com/currantpier/currantpier/lease"
	"github.com/currantpier/currantpier/store"
)

// A process acquires the lease and writes a plan with a fence, which makes the store refuse the write after another
// process has acquired the lease.
func Example() {
	ctx := context.Background()
	now := time.Unix(1_000_000, 0)
	clock := func() time.Time { return now }
	table := newFakeStore() // a store.Client in a program
	k := lease.NewKeeper(table, "riga-1", 1, clock, lease.WithDuration(10*time.Second, time.Second))

	next, err := k.Step(ctx)
	fmt.Println("renew in", next.Sub(now).Round(time.Second), err)

	fence, term, err := k.Fence(clock())
	if err != nil {
		return // this process is not the holder
	}
	_, err = table.Txn(ctx, []store.Op{fence, {Key: "plan/current", Value: []byte("plan"), IfVersion: 0}})
	fmt.Println("plan of term", term, err)

	now = now.Add(9 * time.Second)
	_, _, err = k.Fence(clock())
	fmt.Println(err)
	// Output:
	// renew in 3s <nil>
	// plan of term 1 <nil>
	// fenced: the lease is not held
}
