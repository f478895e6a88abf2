package member_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/member"
	"github.com/currantpier/currantpier/store"
)

// largeCluster is the view of one of 3,200 VMs; all are listed at the start.
type largeCluster struct {
	view  *member.View
	names []string
}

func newLargeCluster(now int) *largeCluster {
	l := &largeCluster{view: member.NewView("vm-0000", 1)}
	for i := range 3200 {
		l.names = append(l.names, fmt.Sprintf("vm-%04d", i))
	}
	l.view.ApplyList(at(now), vms(l.names...))
	return l
}

// probeSecond probes the peers of one second and returns how many there were.
func (l *largeCluster) probeSecond(sec int, down map[ident.VM]bool) int {
	peers := l.view.ProbeTargets(at(sec))
	for _, vm := range peers {
		l.view.RecordProbe(at(sec), vm, !down[vm], incAt(-900))
	}
	return len(peers)
}

func (l *largeCluster) count(sec int, of map[ident.VM]bool, want member.State) (n int) {
	for vm := range of {
		if l.view.State(vm, at(sec)) == want {
			n++
		}
	}
	return n
}

func nameSet(names []string) map[ident.VM]bool {
	m := map[ident.VM]bool{}
	for _, n := range names {
		m[ident.VM(n)] = true
	}
	return m
}

// Guards against too few probes to find a whole failure domain dead (its journals stay unsealed for minutes), against
// an unbounded number of probes, and against more than three a second once all are dead. In the second case 480 VMs
// that were replaced as planned go missing at the same time; they must not delay the result.
func TestDeadFailureDomain(t *testing.T) {
	const crash = 20
	for _, replaced := range []int{0, 480} {
		for _, lag := range []int{0, 1, 7, 30} {
			l := newLargeCluster(0)
			down, leaving := nameSet(l.names[1000:1055]), nameSet(l.names[2000:2000+replaced])
			listAfter := append(append(slices.Clone(l.names[:1000]), l.names[1055:2000]...), l.names[2000+replaced:]...)
			last, probesAfter := crash, 0
			var silent map[ident.VM]bool
			for sec := range 400 {
				if sec == crash {
					silent = merge(down, leaving)
				}
				switch sec {
				case crash - 1:
					list := vms(l.names...)
					for i := range replaced {
						list[2000+i].State = store.Leaving
					}
					l.view.ApplyList(at(sec), list)
				case crash + lag:
					l.view.ApplyList(at(sec), vms(listAfter...))
				}
				n := l.probeSecond(sec, silent)
				if n > member.MaxProbesPerSecond || sec < crash && n != member.ProbesPerSecond {
					t.Fatalf("%d replaced, lag %d: %d probes at %d", replaced, lag, n, sec)
				}
				if sec >= crash && l.count(sec, down, member.Dead) < len(down) {
					last = sec
				}
				if l.count(sec, leaving, member.Dead) == len(leaving) {
					probesAfter = n
				}
			}
			if wrong := last + 1 - crash; wrong > lag+11 {
				t.Errorf("%d replaced, lag %d: all dead after %d s", replaced, lag, wrong)
			}
			if probesAfter != member.ProbesPerSecond {
				t.Errorf("%d replaced, lag %d: %d probes a second after all are dead", replaced, lag, probesAfter)
			}
		}
	}
}

func merge(a, b map[ident.VM]bool) map[ident.VM]bool {
	m := maps.Clone(a)
	maps.Copy(m, b)
	return m
}

// Guards against VMs that stay suspected after a region is connected again, which only probes can show: 128 VMs that
// stay in the list must be alive again within 10 s, and take no more than the recovery bound meanwhile.
func TestReconnectedRegion(t *testing.T) {
	l := newLargeCluster(0)
	down := nameSet(l.names[640:768])
	sec := 0
	for ; l.count(sec, down, member.Suspected) < len(down); sec++ {
		l.view.RecordProbe(at(sec), ident.VM(l.names[640+sec%128]), false, 0)
	}
	for end := sec + 60; sec < end; sec++ {
		if n := l.probeSecond(sec, down); n > member.ProbesPerSecond+member.RecoveryProbesPerSecond {
			t.Fatalf("%d probes at %d", n, sec)
		}
	}
	for range 11 {
		l.probeSecond(sec, nil)
		sec++
	}
	if n := l.count(sec, down, member.Alive); n != len(down) {
		t.Errorf("%d of %d VMs are alive 10 s after they answer again", n, len(down))
	}
}

// Guards against indirect probes that all go through the same member, that go through one in doubt, and that are made
// when no state depends on them.
func TestThrough(t *testing.T) {
	used := map[ident.VM]int{}
	for seed := range uint64(100) {
		v := member.NewView("a", seed)
		list := vms("a", "b", "c", "d", "e", "f", "g", "h")
		for i := range list {
			list[i].Control = []string{"127.0.0.1:1"}
		}
		v.ApplyList(at(0), list)
		for sec := range 3 {
			if _, ok := v.ProbeVia(at(sec), "b"); ok != (sec == 2) {
				t.Fatalf("indirect probe after %d failures: %v", sec, ok)
			}
			v.RecordProbe(at(sec), "b", false, 0)
		}
		v.RecordProbe(at(3), "c", false, 0)
		m, ok := v.ProbeVia(at(3), "b")
		if !ok || m.VM == "a" || m.VM == "b" || m.VM == "c" {
			t.Fatalf("through %q, %v", m.VM, ok)
		}
		inTurn := map[ident.VM]bool{}
		for sec := 3; sec < 13; sec++ {
			next, _ := v.ProbeVia(at(sec), "b")
			inTurn[next.VM] = true
		}
		if len(inTurn) != 5 {
			t.Fatalf("10 probes go through %v, want each member that is not in doubt", inTurn)
		}
		used[m.VM]++
	}
	for vm, n := range used {
		if n > 40 {
			t.Errorf("%s gets %d of 100 indirect probes", vm, n)
		}
	}
}
