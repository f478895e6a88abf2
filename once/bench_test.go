package once

import (
	"fmt"
	"testing"
	"time"

	"github.com/currantpier/currantpier/ident"
)

// BenchmarkOrder measures one class d order from its first request to its recorded answer, with its share of a batch.
func BenchmarkOrder(b *testing.B) {
	p := newTestOwner(b, WithMaxRecords(1<<30))
	ids := make([]ident.RequestID, b.N)
	for i := range ids {
		ids[i] = p.newID('d', fmt.Sprint(i))
	}
	a := Response{Status: 200, ContentType: "application/json", Body: make([]byte, 100)}
	b.ReportAllocs()
	b.ResetTimer()
	for i, id := range ids {
		p.Begin(p.now, id, p.now.Add(time.Second))
		p.ClaimSend(p.now, id)
		p.RecordAnswer(p.now, id, a)
		if i%100 == 99 {
			p.now = p.now.Add(MinFlushInterval)
			p.NextIO(p.now, MinFlushInterval)
			p.WriteDone(p.now, Result{Written, 2})
		}
	}
}
