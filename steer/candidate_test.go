package steer

import (
	"fmt"
	"testing"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/member"
)

// Guards against more readers of the lease row than two in each failure domain, against a domain without a second
// candidate when one has left, and against a process that challenges the lease before it knows its peers.
func TestCandidates(t *testing.T) {
	var live []member.Member
	for i := range 580 {
		place := ident.Place{Domain: ident.Domain(fmt.Sprint("d", i%58))}
		live = append(live, member.Member{VM: ident.VM(fmt.Sprint("vm-", i)), Place: place, State: member.Alive})
	}
	count := func() (n, one int) {
		for i, m := range live {
			if candidate(m.VM, live) {
				n, one = n+1, i
			}
		}
		return n, one
	}
	n, one := count()
	if n != 2*58 {
		t.Errorf("%d candidates, want two in each of 58 failure domains", n)
	}
	left := live[one].VM
	live = append(live[:one], live[one+1:]...)
	if n, _ := count(); n != 2*58 || candidate(left, live) {
		t.Errorf("%d candidates after one has left", n)
	}
	if candidate("vm-0", nil) {
		t.Error("a process without a list is a candidate")
	}
}
