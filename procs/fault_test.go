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

// Guards R4 and R5: an entry is killed while orders that it owns are in progress. The outcomes that another entry
// then reports must agree with the executions, and no order may run twice.
func TestKilledOrderOwner(t *testing.T) {
	t.Parallel()
	tc := startCluster(t, 3, 2, target{"desk-1", "desk", places[0], 8, 300 * time.Millisecond},
		target{"desk-2", "desk", places[1], 8, 300 * time.Millisecond})
	owner, other := tc.vms[0], tc.vms[1]
	ticket := tc.ticket(owner, ident.Journalled)
	var wg sync.WaitGroup
	ids := make([]string, 8)
	for i := range ids {
		ids[i] = fmt.Sprintf("%s.kill-%d", ticket, i)
		wg.Add(1)
		go func() {
			defer wg.Done()
			_, _ = tc.request(owner, callerRequest{kind: "order", id: ids[i]})
		}()
	}
	tc.waitUntil("an order is executed", func() bool { return tc.executions(ids[0]) > 0 })
	owner.entry.signal(syscall.SIGKILL)
	wg.Wait()
	tc.sendAdmin("DELETE", "http://"+tc.platformAddress+"/vms/"+string(owner.VM), "")

	unsentID := ticket + ".never-sent"
	tc.waitUntil("the successor reports a definite outcome", func() bool {
		a, err := tc.request(other, callerRequest{kind: "order", id: unsentID})
		return err == nil && a.outcome == "stale-ticket" && a.ticket != ""
	})
	if n := tc.executions(unsentID); n != 0 {
		t.Errorf("%s was executed %d times although it was refused as not run", unsentID, n)
	}
	for _, id := range ids {
		a, err := tc.request(other, callerRequest{kind: "order", id: id})
		if err != nil {
			t.Fatal(err)
		}
		n := tc.executions(id)
		if n > 1 {
			t.Errorf("%s was executed %d times", id, n)
		}
		if a.outcome == "stale-ticket" && n != 0 {
			t.Errorf("%s was reported as not run but was executed", id)
		}
		if a.outcome == "answered" && n != 1 {
			t.Errorf("%s was reported as answered but was executed %d times", id, n)
		}
	}
	out, code := runCommand(t, "unknown", "--steer", tc.vms[1].Steer)
	if code != cmds.ExitOK || !strings.Contains(out, "REQUEST ID") {
		t.Errorf("unknown: exit %d, %s", code, out)
	}
}

// Guards R5 and R8: the lease holder is paused past the term of its lease and then resumed. Its plans must have no
// effect, and all daemons must see the new holder.
func TestPausedLeaseHolder(t *testing.T) {
	t.Parallel()
	tc := startCluster(t, 2, 2, deskTargets()...)
	holder, other := tc.vms[0], tc.vms[1]
	if tc.leaseHolder(other) != string(holder.VM) {
		holder, other = other, holder
	}
	before := tc.leaseHolder(other)
	holder.steer.signal(syscall.SIGSTOP)
	tc.waitUntil("another steer daemon holds the lease", func() bool { return tc.leaseHolder(other) == string(other.VM) })
	holder.steer.signal(syscall.SIGCONT)
	out, code := runCommand(t, "drain", "--steer", other.Steer, "target", "desk-3")
	if code != cmds.ExitOK {
		t.Fatalf("drain: exit %d, %s", code, out)
	}
	tc.waitUntil("the resumed daemon sees the new lease holder", func() bool { return tc.leaseHolder(holder) == string(other.VM) })
	if before == tc.leaseHolder(other) {
		t.Errorf("the lease holder is still %s", before)
	}
	tc.mustRequest(tc.vms[0], callerRequest{kind: "idempotent"}, "answered")
}

func (tc *testCluster) leaseHolder(v vm) string {
	out, code := runCommand(tc.t, "status", "--steer", v.Steer)
	if code != cmds.ExitOK {
		return ""
	}
	_, rest, _ := strings.Cut(out, "lease holder ")
	name, _, _ := strings.Cut(rest, " ")
	return name
}

// Guards R4, R5 and R8: the store is down. Lookups, idempotent requests and direct orders still succeed. Journalled
// orders are refused as not run, with a ticket that can be used.
func TestStoreOutage(t *testing.T) {
	t.Parallel()
	tc := startCluster(t, 2, 2, deskTargets()...)
	v := tc.vms[0]
	oldTicket := tc.ticket(v, ident.Journalled)
	tc.setFaults(tc.platformAddress, `{"down": true}`)
	tc.mustRequest(v, callerRequest{kind: "idempotent"}, "answered")
	direct := tc.ticket(v, ident.Direct)
	a := tc.mustRequest(v, callerRequest{kind: "order", id: oldTicket + ".late"}, "stale-ticket")
	if n := tc.executions(oldTicket + ".late"); n != 0 {
		t.Errorf("the refused order was executed %d times", n)
	}
	if !strings.HasPrefix(a.ticket, "d.") {
		t.Errorf("the refusal offers the ticket %q, want one of class d", a.ticket)
	}
	id := direct + ".now"
	first := tc.mustRequest(v, callerRequest{kind: "order", id: id}, "answered")
	second := tc.mustRequest(tc.vms[1], callerRequest{kind: "order", id: id}, "answered")
	if first.body != second.body || tc.executions(id) != 1 {
		t.Errorf("direct order: responses %+v and %+v, executed %d times", first, second, tc.executions(id))
	}
	if _, code := runCommand(t, "drain", "--steer", v.Steer, "target", "desk-1"); code != cmds.ExitUnreachable {
		t.Errorf("drain during the outage: exit %d, want %d", code, cmds.ExitUnreachable)
	}
	tc.setFaults(tc.platformAddress, `{"down": false}`)
	tc.ticket(v, ident.Journalled)
}

// Guards R4 and R5: the store applies writes but their responses are lost.
func TestLostStoreResponses(t *testing.T) {
	t.Parallel()
	tc := startCluster(t, 2, 2, deskTargets()...)
	for i := range 5 {
		ticket := tc.ticket(tc.vms[0], ident.Journalled)
		tc.setFaults(tc.platformAddress, `{"lose-answers": 3}`)
		id := fmt.Sprintf("%s.lost-%d", ticket, i)
		a := tc.mustRequest(tc.vms[0], callerRequest{kind: "order", id: id}, "answered")
		b := tc.mustRequest(tc.vms[1], callerRequest{kind: "order", id: id}, "answered")
		if a.body != b.body || tc.executions(id) != 1 {
			t.Errorf("order %s: responses %+v and %+v, executed %d times", id, a, b, tc.executions(id))
		}
	}
	tc.setFaults(tc.platformAddress, `{"lose-answers": 2}`)
	out, code := runCommand(t, "drain", "--steer", tc.vms[0].Steer, "target", "desk-1")
	if code != cmds.ExitOK {
		t.Errorf("drain with lost answers: exit %d, %s", code, out)
	}
}

// Guards R5: open connections to targets become silent while new ones work. Idempotent requests must succeed on a new
// connection. An order whose connection is reset after it was sent must be reported as unknown and never sent again.
func TestSilentAndResetConnections(t *testing.T) {
	t.Parallel()
	tc := startCluster(t, 1, 1, deskTargets()...)
	for range 50 {
		tc.mustRequest(tc.vms[0], callerRequest{kind: "idempotent"}, "answered")
	}
	for _, addr := range tc.targetAddresses {
		tc.silenceConnections(addr)
	}
	for range 20 {
		tc.mustRequest(tc.vms[0], callerRequest{kind: "idempotent"}, "answered")
	}
	for _, addr := range tc.targetAddresses {
		tc.setFaults(addr, `{"reset": 1}`)
	}
	id := tc.ticket(tc.vms[0], ident.Journalled) + ".reset"
	tc.mustRequest(tc.vms[0], callerRequest{kind: "order", id: id}, "outcome-unknown")
	tc.mustRequest(tc.vms[0], callerRequest{kind: "order", id: id}, "outcome-unknown")
	if n := tc.executions(id); n != 1 {
		t.Errorf("the order was executed %d times, want 1 (its response was lost)", n)
	}
	out, _ := runCommand(t, "unknown", "--steer", tc.vms[0].Steer)
	if !strings.Contains(out, id) {
		t.Errorf("unknown does not list %s:\n%s", id, out)
	}
}

// Guards R8: operators apply different lists at the same time. One succeeds; the others get the version in force and
// the differences.
func TestConcurrentApply(t *testing.T) {
	t.Parallel()
	tc := startCluster(t, 2, 2, deskTargets()...)
	const operators = 6
	codes := make([]int, operators)
	outs := make([]string, operators)
	var wg sync.WaitGroup
	for i := range operators {
		customers := tc.writeFile(fmt.Sprintf("customers-%d.csv", i), fmt.Sprintf("customer,plan\nshop-1,trade\nshop-x%d,trade\n", i))
		uses := tc.writeFile(fmt.Sprintf("uses-%d.csv", i), "plan,service,rate,weight,orders\ntrade,desk,10000,10,yes\n")
		wg.Add(1)
		go func() {
			defer wg.Done()
			outs[i], codes[i] = runCommand(t, "apply", "--steer", tc.vms[i%2].Steer, "--customers", customers, "--uses", uses,
				"--expect", "1")
		}()
	}
	wg.Wait()
	accepted := 0
	for i, code := range codes {
		switch {
		case code == cmds.ExitOK:
			accepted++
		case code != cmds.ExitConflict:
			t.Errorf("operator %d: exit %d, %s", i, code, outs[i])
		case !strings.Contains(outs[i], "version 2 is in force") || !strings.Contains(outs[i], "shop-x"):
			t.Errorf("operator %d did not get the version in force and the differences: %s", i, outs[i])
		}
	}
	if accepted != 1 {
		t.Errorf("%d operators succeeded, want 1", accepted)
	}
	bad := tc.writeFile("bad.csv", "customer,plan\nshop-1,no-such-plan\n")
	out, code := runCommand(t, "apply", "--steer", tc.vms[0].Steer, "--customers", bad, "--uses", tc.path("uses.csv"))
	if code != cmds.ExitUsage || !strings.Contains(out, "no-such-plan") {
		t.Errorf("invalid list: exit %d, %s", code, out)
	}
	if _, err := os.Stat(bad); err != nil {
		t.Error(err)
	}
}

// Guards R5 and R7: after a planned stop, another entry reports definite outcomes for the orders of the stopped
// entry, although the platform still lists its VM.
func TestStoppedOwnerHandsOverOrders(t *testing.T) {
	t.Parallel()
	tc := startCluster(t, 2, 2, deskTargets()...)
	owner, other := tc.vms[0], tc.vms[1]
	ticket := tc.ticket(owner, ident.Journalled)
	done := tc.mustRequest(owner, callerRequest{kind: "order", id: ticket + ".done"}, "answered")
	owner.entry.signal(syscall.SIGTERM)
	if err := owner.entry.waitExit(); err != nil {
		t.Fatalf("the stopped entry exited with %v", err)
	}
	again := tc.mustRequest(other, callerRequest{kind: "order", id: ticket + ".done"}, "answered")
	if again.body != done.body {
		t.Errorf("the response after the handover is %s, want %s", again.body, done.body)
	}
	a := tc.mustRequest(other, callerRequest{kind: "order", id: ticket + ".never-sent"}, "stale-ticket")
	if a.ticket == "" {
		t.Error("the refusal has no new ticket")
	}
	for id, want := range map[string]int{ticket + ".done": 1, ticket + ".never-sent": 0} {
		if n := tc.executions(id); n != want {
			t.Errorf("%s was executed %d times, want %d", id, n, want)
		}
	}
}

// Guards R2 and the slot counts: an entry whose process was paused for longer than share.PauseLimit must confirm the
// plan before it uses its slots again, and must then serve requests. Meanwhile another entry serves from its own slots. It
// has none yet if it started after the first plan, and a paused entry keeps its slots, so the test waits for them.
func TestPausedEntry(t *testing.T) {
	t.Parallel()
	tc := startCluster(t, 2, 2, deskTargets()...)
	paused := tc.vms[0]
	tc.waitUntil("the other entry has slots of its own", func() bool { return tc.holdsSlots(tc.vms[1]) })
	paused.entry.signal(syscall.SIGSTOP)
	pause := time.NewTimer(share.MaxLoopInterval + time.Second) // the pause is the fault under test, not a wait for a condition
	<-pause.C
	tc.mustRequest(tc.vms[1], callerRequest{kind: "idempotent"}, "answered")
	paused.entry.signal(syscall.SIGCONT)
	tc.waitUntil("the entry confirms the plan", func() bool {
		return strings.Contains(paused.entry.log.String(), "event=paused plan-confirmed=true")
	})
	tc.mustRequest(paused, callerRequest{kind: "idempotent"}, "answered")
}

// Guards R8: a VM that starts while the platform is down must get the newest accepted configuration from its peers.
// It serves requests with borrowed slots, since no plan can assign slots to it.
func TestStartDuringOutage(t *testing.T) {
	t.Parallel()
	tc := startCluster(t, 2, 2, deskTargets()...)
	tc.writeFile("customers.csv", "customer,plan\nshop-1,trade\nshop-2,trade\nlook-1,looks\n")
	out, code := runCommand(t, "apply", "--steer", tc.vms[0].Steer, "--customers", tc.path("customers.csv"), "--uses",
		tc.path("uses.csv"))
	if code != cmds.ExitOK {
		t.Fatalf("apply: exit %d, %s", code, out)
	}
	for _, v := range tc.vms {
		tc.waitUntil("the second configuration is in force", func() bool {
			a, err := tc.request(v, callerRequest{customer: "shop-2", kind: "idempotent"})
			return err == nil && a.outcome == "answered"
		})
	}
	tc.setFaults(tc.platformAddress, `{"down": true}`)
	tc.addVM(3, true) // in the failure domain of the first VM, from which it can borrow slots
	late := tc.vms[2]
	tc.waitUntil("the new VM is ready", func() bool { return tc.ready(late) })
	tc.waitUntil("the new VM serves the newest configuration", func() bool {
		a, err := tc.request(late, callerRequest{customer: "shop-2", kind: "idempotent"})
		return err == nil && a.outcome == "answered"
	})
}
