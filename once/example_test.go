package once_test

import (
	"context"
	"fmt"
	"time"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/kinds"
	"github.com/currantpier/currantpier/once"
	"github.com/currantpier/currantpier/store"
)

// memory is a Store in memory. It keeps no batch rows, since the example does not list them.
type memory map[string]ident.Version

func (m memory) Get(_ context.Context, key string) (store.Row, error) {
	return store.Row{Key: key, Version: m[key]}, nil
}

func (m memory) List(context.Context, string, string, int) ([]store.Row, error) { return nil, nil }

func (m memory) Txn(_ context.Context, ops []store.Op) ([]ident.Version, error) {
	var versions []ident.Version
	for _, op := range ops {
		if m[op.Key] != op.IfVersion {
			return nil, kinds.Errorf(kinds.Conflict, "%s has another version", op.Key)
		}
		versions = append(versions, op.IfVersion+1)
	}
	for _, op := range ops {
		m[op.Key]++
	}
	return versions, nil
}

// An order is journalled, sent and answered; a repeated request gets the recorded answer.
func Example() {
	ctx := context.Background()
	now := time.Unix(1_800_000_000, 0)
	flush := once.FlushInterval(12)
	journal := once.NewJournal(memory{})
	owner := once.NewOwner("riga-1", ident.Incarnation(now.UnixNano()))

	// The journal task of a daemon carries out the work whenever some is due.
	work := func() {
		now = now.Add(time.Second)
		w := owner.NextBatch(now, flush)
		journal.Do(ctx, w, func(r once.Result) {
			for _, ev := range owner.BatchDone(now, r) {
				fmt.Println("event:", ev.State)
			}
		}, func(h once.Head, err error) { owner.ReadBack(now, h) })
	}

	work() // An empty batch shows that the store is up.
	ticket, _ := owner.Ticket(now, flush)
	id := ticket.ID("frame-7")
	fmt.Println("first request:", owner.Begin(now, id, now.Add(5*time.Second)).Do)
	work()
	if owner.ReadyToSend(now, id) {
		owner.Answered(now, id, once.Answer{Status: 201, Body: []byte("accepted")})
	}
	again := owner.Begin(now, id, now.Add(5*time.Second))
	fmt.Println("second request:", again.Do, again.Answer.Status, string(again.Answer.Body))
	// Output:
	// first request: journal
	// event: ready
	// second request: reply 201 accepted
}
