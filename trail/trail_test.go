package trail

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// sampleLog has log lines of two VMs as a log collector returns them: with prefixes, out of order, and mixed with other
// lines.
const sampleLog = `   1.5 vm-b ts=10:00:01.500 vm=vm-b event=registry usable=40 before=38 store-outage=false
   0.5 vm-a ts=10:00:00.500 vm=vm-a event=config version=7 routes=22
   2.0 vm-a ts=10:00:02.000 vm=vm-a event=retried id=r1 route=look target=t3 cause="status 503" after=12ms
panic: output in another format
   0.9 vm-a ts=10:00:00.900 vm=vm-a event=targets target=t3 service=s state=ready sequence=1
   2.1 vm-a ts=10:00:02.100 vm=vm-a event=refused id=r1 route=look kind=overloaded cause=too-late
   2.1 vm-a ts=10:00:02.100 vm=vm-a event=refused id=r2 route=look kind=overloaded cause=too-late
   2.6 vm-a ts=10:00:02.600 vm=vm-a event=targets target=t3 service=s state=leaving sequence=9
`

// The output must contain every line of the request, only state of the same VM, and the correct age of that state.
func TestExplain(t *testing.T) {
	lines, err := Read(strings.NewReader(sampleLog))
	if err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	found, err := Explain(&b, lines, "r1")
	if err != nil || !found {
		t.Fatalf("found %v, error %v", found, err)
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
	if found, _ := Explain(&b, lines, "unknown"); found {
		t.Error("Explain reported lines of a request that is not in the log")
	}
}
