package steer

import (
	"fmt"
	"testing"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/member"
)

// Guards against more than two processes per failure domain that read the lease row, against a domain that is left with
// one candidate after another has left, and against a process that competes for the lease before it has a member list.
func TestCandidates(t *testing.T) {
	var live []member.Member
	for i := range 580 {
		place := ident.Place{Domain: ident.Domain(fmt.Sprint("d", i%58))}
		live = append(live, member.Member{VM: ident.VM(fmt.Sprint("vm-", i)), Place: place, State: member.Alive})
	}
	count := func() (n, last int) {
		for i, m := range live {
			if candidate(m.VM, live) {
				n, last = n+1, i
			}
		}
		return n, last
	}
	n, last := count()
	if n != 2*58 {
		t.Errorf("%d candidates, want two in each of 58 failure domains", n)
	}
	left := live[last].VM
	live = append(live[:last], live[last+1:]...)
	if n, _ := count(); n != 2*58 || candidate(left, live) {
		t.Errorf("%d candidates after one has left, want two in each of 58 failure domains without it", n)
	}
	if candidate("vm-0", nil) {
		t.Error("a process without a member list is a candidate")
	}
}
