package procs

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/currantpier/currantpier/cmds"
	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/share"
)

// Guards R5 and R4: an entry is killed with orders in progress. Whatever a caller is told afterwards through another
// entry agrees with what ran, and no order runs twice.
func TestKilledOwner(t *testing.T) {
	t.Parallel()
	s := newSystem(t, 3, 2, target{"desk-1", "desk", places[0], 8, 300 * time.Millisecond},
		target{"desk-2", "desk", places[1], 8, 300 * time.Millisecond})
	owner, other := s.vms[0], s.vms[1]
	ticket := s.ticket(owner, ident.Journalled)
	var wg sync.WaitGroup
	ids := make([]string, 8)
	for i := range ids {
		ids[i] = fmt.Sprintf("%s.kill-%d", ticket, i)
		wg.Add(1)
		go func() {
			defer wg.Done()
			_, _ = s.request(owner, call{kind: "order", id: ids[i]})
		}()
	}
	s.await("an order runs", func() bool { return s.executions(ids[0]) > 0 })
	owner.entry.signal(syscall.SIGKILL)
	wg.Wait()
	s.send("DELETE", "http://"+s.platform+"/vms/"+string(owner.VM), "")

	unsent := ticket + ".never-sent"
	s.await("the successor answers for certain", func() bool {
		a, err := s.request(other, call{kind: "order", id: unsent})
		return err == nil && a.outcome == "stale-ticket" && a.ticket != ""
	})
	if n := s.executions(unsent); n != 0 {
		t.Errorf("%s ran %d times after it was refused as not run", unsent, n)
	}
	for _, id := range ids {
		a, err := s.request(other, call{kind: "order", id: id})
		if err != nil {
			t.Fatal(err)
		}
		n := s.executions(id)
		if n > 1 {
			t.Errorf("%s ran %d times", id, n)
		}
		if a.outcome == "stale-ticket" && n != 0 {
			t.Errorf("%s was called not run and ran", id)
		}
		if a.outcome == "answered" && n != 1 {
			t.Errorf("%s was answered and ran %d times", id, n)
		}
	}
	out, code := run(t, "unknown", "--steer", s.vms[1].Steer)
	if code != cmds.ExitOK || !strings.Contains(out, "REQUEST ID") {
		t.Errorf("unknown: exit %d, %s", code, out)
	}
}

// Guards R5 and R8: a lease holder is paused past its term and wakes up. Its plans do no harm, and the plan version
// grows at every entry.
func TestPausedLeaseHolder(t *testing.T) {
	t.Parallel()
	s := newSystem(t, 2, 2, deskTargets()...)
	holder, other := s.vms[0], s.vms[1]
	if s.holder(other) != string(holder.VM) {
		holder, other = other, holder
	}
	before := s.holder(other)
	holder.steer.signal(syscall.SIGSTOP)
	s.await("another steer daemon holds the lease", func() bool { return s.holder(other) == string(other.VM) })
	holder.steer.signal(syscall.SIGCONT)
	out, code := run(t, "drain", "--steer", other.Steer, "target", "desk-3")
	if code != cmds.ExitOK {
		t.Fatalf("drain: exit %d, %s", code, out)
	}
	s.await("the paused daemon sees the new holder", func() bool { return s.holder(holder) == string(other.VM) })
	if before == s.holder(other) {
		t.Errorf("the holder did not change from %s", before)
	}
	s.must(s.vms[0], call{kind: "idempotent"}, "answered")
}

func (s *system) holder(v vm) string {
	out, code := run(s.t, "status", "--steer", v.Steer)
	if code != cmds.ExitOK {
		return ""
	}
	_, rest, _ := strings.Cut(out, "lease holder ")
	name, _, _ := strings.Cut(rest, " ")
	return name
}

// Guards R4, R5 and R8: the store is down. Lookups, idempotent requests and direct orders go on; journalled orders are
// refused as not run with a ticket that works; a VM that starts during the outage gets the accepted configuration.
func TestStoreOutage(t *testing.T) {
	t.Parallel()
	s := newSystem(t, 2, 2, deskTargets()...)
	v := s.vms[0]
	old := s.ticket(v, ident.Journalled)
	s.fault(s.platform, `{"down": true}`)
	s.must(v, call{kind: "idempotent"}, "answered")
	direct := s.ticket(v, ident.Direct)
	a := s.must(v, call{kind: "order", id: old + ".late"}, "stale-ticket")
	if n := s.executions(old + ".late"); n != 0 {
		t.Errorf("the refused order ran %d times", n)
	}
	if !strings.HasPrefix(a.ticket, "d.") {
		t.Errorf("the refusal offers the ticket %q, want one of class d", a.ticket)
	}
	id := direct + ".now"
	first := s.must(v, call{kind: "order", id: id}, "answered")
	second := s.must(s.vms[1], call{kind: "order", id: id}, "answered")
	if first.body != second.body || s.executions(id) != 1 {
		t.Errorf("direct order: %+v, then %+v, ran %d times", first, second, s.executions(id))
	}
	if _, code := run(t, "drain", "--steer", v.Steer, "target", "desk-1"); code != cmds.ExitUnreachable {
		t.Errorf("drain during the outage: exit %d, want %d", code, cmds.ExitUnreachable)
	}
	s.fault(s.platform, `{"down": false}`)
	s.ticket(v, ident.Journalled)
}

// Guards R4 and R5: answers of the store are lost after its writes took effect.
func TestLostStoreAnswers(t *testing.T) {
	t.Parallel()
	s := newSystem(t, 2, 2, deskTargets()...)
	for i := range 5 {
		ticket := s.ticket(s.vms[0], ident.Journalled)
		s.fault(s.platform, `{"lose-answers": 3}`)
		id := fmt.Sprintf("%s.lost-%d", ticket, i)
		a := s.must(s.vms[0], call{kind: "order", id: id}, "answered")
		b := s.must(s.vms[1], call{kind: "order", id: id}, "answered")
		if a.body != b.body || s.executions(id) != 1 {
			t.Errorf("order %s: %+v, then %+v, ran %d times", id, a, b, s.executions(id))
		}
	}
	s.fault(s.platform, `{"lose-answers": 2}`)
	out, code := run(t, "drain", "--steer", s.vms[0].Steer, "target", "desk-1")
	if code != cmds.ExitOK {
		t.Errorf("drain with lost answers: exit %d, %s", code, out)
	}
}

// Guards R5: connections to targets go silent while new ones work. Idempotent requests are answered on a new
// connection, and an order on a connection that breaks after it was sent is unknown and never sent again.
func TestSilentConnections(t *testing.T) {
	t.Parallel()
	s := newSystem(t, 1, 1, deskTargets()...)
	for range 50 {
		s.must(s.vms[0], call{kind: "idempotent"}, "answered")
	}
	for _, addr := range s.targets {
		s.silence(addr)
	}
	for range 20 {
		s.must(s.vms[0], call{kind: "idempotent"}, "answered")
	}
	for _, addr := range s.targets {
		s.fault(addr, `{"reset": 1}`)
	}
	id := s.ticket(s.vms[0], ident.Journalled) + ".reset"
	s.must(s.vms[0], call{kind: "order", id: id}, "outcome-unknown")
	s.must(s.vms[0], call{kind: "order", id: id}, "outcome-unknown")
	if n := s.executions(id); n != 1 {
		t.Errorf("the order ran %d times, want the one whose answer was lost", n)
	}
	out, _ := run(t, "unknown", "--steer", s.vms[0].Steer)
	if !strings.Contains(out, id) {
		t.Errorf("unknown does not list %s:\n%s", id, out)
	}
}

// Guards R8: operators race. One wins, the others are told the version in force and what differs.
func TestRacingOperators(t *testing.T) {
	t.Parallel()
	s := newSystem(t, 2, 2, deskTargets()...)
	const operators = 6
	codes := make([]int, operators)
	outs := make([]string, operators)
	var wg sync.WaitGroup
	for i := range operators {
		customers := s.write(fmt.Sprintf("customers-%d.csv", i), fmt.Sprintf("customer,plan\nshop-1,trade\nshop-x%d,trade\n", i))
		uses := s.write(fmt.Sprintf("uses-%d.csv", i), "plan,service,rate,weight,orders\ntrade,desk,10000,10,yes\n")
		wg.Add(1)
		go func() {
			defer wg.Done()
			outs[i], codes[i] = run(t, "apply", "--steer", s.vms[i%2].Steer, "--customers", customers, "--uses", uses,
				"--expect", "1")
		}()
	}
	wg.Wait()
	won := 0
	for i, code := range codes {
		switch {
		case code == cmds.ExitOK:
			won++
		case code != cmds.ExitConflict:
			t.Errorf("operator %d: exit %d, %s", i, code, outs[i])
		case !strings.Contains(outs[i], "version 2 is in force") || !strings.Contains(outs[i], "shop-x"):
			t.Errorf("operator %d is not told the version and the difference: %s", i, outs[i])
		}
	}
	if won != 1 {
		t.Errorf("%d operators won", won)
	}
	bad := s.write("bad.csv", "customer,plan\nshop-1,no-such-plan\n")
	out, code := run(t, "apply", "--steer", s.vms[0].Steer, "--customers", bad, "--uses", s.path("uses.csv"))
	if code != cmds.ExitUsage || !strings.Contains(out, "no-such-plan") {
		t.Errorf("bad list: exit %d, %s", code, out)
	}
	if _, err := os.Stat(bad); err != nil {
		t.Error(err)
	}
}

// Guards R7 and R5: after a planned stop, another entry answers for the stopped owner for certain, although the platform
// still lists its VM.
func TestStoppedOwnerHandsOver(t *testing.T) {
	t.Parallel()
	s := newSystem(t, 2, 2, deskTargets()...)
	owner, other := s.vms[0], s.vms[1]
	ticket := s.ticket(owner, ident.Journalled)
	done := s.must(owner, call{kind: "order", id: ticket + ".done"}, "answered")
	owner.entry.signal(syscall.SIGTERM)
	if err := owner.entry.exit(); err != nil {
		t.Fatalf("the stopped entry ended with %v", err)
	}
	again := s.must(other, call{kind: "order", id: ticket + ".done"}, "answered")
	if again.body != done.body {
		t.Errorf("the handed-over answer is %s, want %s", again.body, done.body)
	}
	a := s.must(other, call{kind: "order", id: ticket + ".never-sent"}, "stale-ticket")
	if a.ticket == "" {
		t.Error("the refusal has no new ticket")
	}
	for id, want := range map[string]int{ticket + ".done": 1, ticket + ".never-sent": 0} {
		if n := s.executions(id); n != want {
			t.Errorf("%s ran %d times, want %d", id, n, want)
		}
	}
}

// Guards R2 and the slot counts: an entry that was paused for longer than its control loop may stand still reads the
// plan again before it uses its slots, and then serves.
func TestPausedEntry(t *testing.T) {
	t.Parallel()
	s := newSystem(t, 2, 2, deskTargets()...)
	paused := s.vms[0]
	paused.entry.signal(syscall.SIGSTOP)
	pause := time.NewTimer(share.MaxLoopInterval + time.Second) // the length of the fault itself
	<-pause.C
	s.must(s.vms[1], call{kind: "idempotent"}, "answered")
	paused.entry.signal(syscall.SIGCONT)
	s.await("the entry reads the plan again", func() bool {
		return strings.Contains(paused.entry.log.String(), "event=paused plan-confirmed=true")
	})
	s.must(paused, call{kind: "idempotent"}, "answered")
}

// Guards R8: a VM that starts while the platform is down gets the newest accepted configuration from its peers and
// serves with loans, since no plan can grant it slots.
func TestStartDuringOutage(t *testing.T) {
	t.Parallel()
	s := newSystem(t, 2, 2, deskTargets()...)
	s.write("customers.csv", "customer,plan\nshop-1,trade\nshop-2,trade\nlook-1,looks\n")
	out, code := run(t, "apply", "--steer", s.vms[0].Steer, "--customers", s.path("customers.csv"), "--uses",
		s.path("uses.csv"))
	if code != cmds.ExitOK {
		t.Fatalf("apply: exit %d, %s", code, out)
	}
	for _, v := range s.vms {
		s.await("the second configuration is in force", func() bool {
			a, err := s.request(v, call{customer: "shop-2", kind: "idempotent"})
			return err == nil && a.outcome == "answered"
		})
	}
	s.fault(s.platform, `{"down": true}`)
	s.addVM(3, true) // in the failure domain of the first VM, whose slots it can borrow
	late := s.vms[2]
	s.await("the late VM is ready", func() bool { return s.ready(late) })
	s.await("the late VM serves the newest configuration", func() bool {
		a, err := s.request(late, call{customer: "shop-2", kind: "idempotent"})
		return err == nil && a.outcome == "answered"
	})
}
