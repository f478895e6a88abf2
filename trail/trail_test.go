package trail

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// recorded are lines of two VMs as a collector hands them over: with prefixes, out of order, and with noise.
const recorded = `   1.5 vm-b ts=10:00:01.500 vm=vm-b event=registry usable=40 before=38 store-outage=false
   0.5 vm-a ts=10:00:00.500 vm=vm-a event=config version=7 routes=22
   2.0 vm-a ts=10:00:02.000 vm=vm-a event=retried id=r1 route=look target=t3 cause="status 503" after=12ms
panic: not a line of ours
   0.9 vm-a ts=10:00:00.900 vm=vm-a event=targets target=t3 service=s state=ready sequence=1
   2.1 vm-a ts=10:00:02.100 vm=vm-a event=refused id=r1 route=look kind=overloaded cause=too-late
   2.1 vm-a ts=10:00:02.100 vm=vm-a event=refused id=r2 route=look kind=overloaded cause=too-late
   2.6 vm-a ts=10:00:02.600 vm=vm-a event=targets target=t3 service=s state=leaving sequence=9
`

// Guards against a story that leaves out a line, mixes up VMs or gives a belief a wrong age.
func TestExplain(t *testing.T) {
	lines, err := Read(strings.NewReader(recorded))
	if err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	told, err := Explain(&b, lines, "r1")
	if err != nil || !told {
		t.Fatalf("told %v, error %v", told, err)
	}
	want := `10:00:02.000 vm-a retried route="look" target="t3" cause="status 503" after="12ms"
    believed for 1.5s: config version="7" routes="22"
    target, 1.1s before: service="s" state="ready" sequence="1"
    target, 600ms after: service="s" state="leaving" sequence="9"
10:00:02.100 vm-a refused route="look" kind="overloaded" cause="too-late"
    believed for 1.6s: config version="7" routes="22"
`
	if d := cmp.Diff(want, b.String()); d != "" {
		t.Error(d)
	}
	if told, _ := Explain(&b, lines, "unknown"); told {
		t.Error("a request that no line names was told")
	}
}
