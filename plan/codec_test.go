package plan_test

import (
	"fmt"
	"testing"

	"github.com/currantpier/currantpier/plan"
)

// BenchmarkCodec measures the size of an encoded traffic plan and the time to encode and decode it.
func BenchmarkCodec(b *testing.B) {
	for _, n := range []struct{ sites, regions, entries int }{{6, 3, 12}, {60, 25, 356}, {180, 25, 1067}, {540, 25, 3200}} {
		t, _ := plan.Compute(newInput(n.sites, 4, n.regions, n.entries), plan.TrafficPlan{}, start)
		body := plan.Encode(t)
		name := fmt.Sprintf("sites=%d,entries=%d", n.sites, n.entries)
		b.Run(name+"/encode", func(b *testing.B) {
			for b.Loop() {
				plan.Encode(t)
			}
			b.ReportMetric(float64(len(body)), "B-plan")
			b.ReportMetric(float64(len(t.Grants)), "grants")
		})
		b.Run(name+"/decode", func(b *testing.B) {
			for b.Loop() {
				if _, err := plan.Decode(body); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
