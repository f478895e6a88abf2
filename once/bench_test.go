package once

import (
	"fmt"
	"testing"
	"time"

	"github.com/currantpier/currantpier/ident"
)

// BenchmarkOrder measures one class d order from its first request to its recorded answer, with its share of a batch.
func BenchmarkOrder(b *testing.B) {
	p := newTestOwner(b, WithRecords(1<<30))
	ids := make([]ident.RequestID, b.N)
	for i := range ids {
		ids[i] = p.newID('d', fmt.Sprint(i))
	}
	a := Answer{Status: 200, Type: "application/json", Body: make([]byte, 100)}
	b.ReportAllocs()
	b.ResetTimer()
	for i, id := range ids {
		p.Begin(p.now, id, p.now.Add(time.Second))
		p.ReadyToSend(p.now, id)
		p.Answered(p.now, id, a)
		if i%100 == 99 {
			p.now = p.now.Add(MinFlush)
			p.NextBatch(p.now, MinFlush)
			p.BatchDone(p.now, Result{Written, 2})
		}
	}
}
