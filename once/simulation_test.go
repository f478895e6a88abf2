package once

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"github.com/currantpier/currantpier/ident"
)

// TestMain fixes the seed and length of rapid's runs, so that each run checks the same cases. Command-line flags
// override these values.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.steps": "120", "rapid.checks": "2000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// simulation is an owner with its upstream, its callers and its successors.
type simulation struct {
	*testOwner
	ids  []ident.RequestID
	dead bool
	// claims counts the tasks that are about to call ClaimSend, inFlight the copies of the request on the way to the
	// upstream, and executions how often the upstream ran the order.
	claims, inFlight, executions map[ident.RequestID]int
	// connected is set while the owner waits for the upstream's answer.
	connected map[ident.RequestID]bool
	// waiting holds, for each order, the start steps of the requests that wait for its outcome.
	waiting map[ident.RequestID][]int64
	due     JournalIO
	step    int64
	history []porcupine.Operation
}

// callerOutcome is the outcome that a caller receives. For ActionReply, execution is the number of the execution that
// is answered, from 1.
type callerOutcome struct {
	action    Action
	execution int
}

func (w *simulation) recordOutcome(call int64, id ident.RequestID, d Decision) {
	out := callerOutcome{action: d.Action}
	if d.Action == ActionReply {
		out.execution = d.Answer.Status - 200
	}
	w.step++
	w.history = append(w.history, porcupine.Operation{Input: id, Call: call, Output: out, Return: w.step})
}

// answerWaiting answers the callers that wait for an order, once its record is final.
func (w *simulation) answerWaiting(id ident.RequestID) {
	d := w.Lookup(w.now, id)
	if d.Action == ActionWait {
		return
	}
	for _, call := range w.waiting[id] {
		w.recordOutcome(call, id, d)
	}
	delete(w.waiting, id)
}

func (w *simulation) handleEvents(events []Event) {
	for _, e := range events {
		if e.State == Ready {
			w.claims[e.ID] += len(w.waiting[e.ID])
		} else {
			w.answerWaiting(e.ID)
		}
	}
}

func (w *simulation) submit(t *rapid.T) {
	if len(w.ids) < 12 && rapid.Bool().Draw(t, "new") {
		if tk, ok := w.Ticket(w.now, MinFlushInterval); ok {
			tk.Class = rapid.SampledFrom([]ident.Class{tk.Class, ident.Direct}).Draw(t, "class")
			w.ids = append(w.ids, tk.ID(string(rune('a'+len(w.ids)))))
		}
	}
	id := w.drawID(t)
	w.step++
	d := w.Begin(w.now, id, w.now.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "deadline"))*time.Second))
	switch d.Action {
	case ActionSend:
		w.claims[id]++
		fallthrough
	case ActionJournal, ActionWait:
		w.waiting[id] = append(w.waiting[id], w.step)
	default:
		w.recordOutcome(w.step, id, d)
	}
}

func (w *simulation) drawID(t *rapid.T) ident.RequestID {
	if len(w.ids) == 0 {
		t.Skip("no order yet")
	}
	return rapid.SampledFrom(w.ids).Draw(t, "id")
}

// skipUnless skips an action that is not possible in the current state.
func skipUnless(t *rapid.T, ok bool) {
	if !ok {
		t.Skip("not possible")
	}
}

func (w *simulation) claim(t *rapid.T) {
	id := w.drawID(t)
	skipUnless(t, w.claims[id] > 0)
	w.claims[id]--
	if w.ClaimSend(w.now, id) {
		w.inFlight[id]++
		w.connected[id] = true
	}
	w.answerWaiting(id)
}

// endConnection ends the open connection of an order.
func (w *simulation) endConnection(t *rapid.T) {
	id := w.drawID(t)
	skipUnless(t, w.connected[id])
	w.connected[id] = false
	switch how := rapid.IntRange(0, 3).Draw(t, "how"); {
	case how == 0:
		w.RecordUnknown(w.now, id)
	case how == 1 && w.inFlight[id] > 0:
		w.inFlight[id]--
		if w.RecordNotRun(w.now, id) {
			w.claims[id]++
		}
	case w.inFlight[id] > 0:
		w.inFlight[id]--
		w.executions[id]++
		fallthrough
	default:
		w.RecordAnswer(w.now, id, Response{Status: 200 + w.executions[id], Body: make([]byte, 300)})
	}
	w.answerWaiting(id)
}

// withStoreFault runs f with a drawn store fault, or none.
func (w *simulation) withStoreFault(t *rapid.T, f func()) {
	switch rapid.IntRange(0, 5).Draw(t, "fault") {
	case 0:
		w.store.loseAnswers = true
	case 1:
		w.store.delayWrites = true
	case 2:
		w.store.unreachable = true
	}
	f()
	w.store.loseAnswers, w.store.delayWrites, w.store.unreachable = false, false, false
}

func (w *simulation) stepJournal(t *rapid.T) {
	if w.due.Kind == IONone {
		w.due = w.NextIO(w.now, MinFlushInterval)
		return
	}
	w.withStoreFault(t, func() {
		NewJournal(w.store).Perform(w.t.Context(), w.due,
			func(r Result) { w.handleEvents(w.WriteDone(w.now, r)) },
			func(h Head, err error) {
				if err != nil {
					w.ReadBackFailed()
					return
				}
				w.handleEvents(w.ReadBackDone(w.now, h))
			})
	})
	w.due = JournalIO{}
}

// takeOver has a successor take over the journal of one order and answer for all orders.
func (w *simulation) takeOver(t *rapid.T) {
	id := w.drawID(t)
	skipUnless(t, w.dead || rapid.IntRange(0, 3).Draw(t, "seal") == 0)
	tk, _ := id.Parse()
	s := NewSuccessor("riga-1", tk.Incarnation, "riga-2")
	w.withStoreFault(t, func() { _ = NewJournal(w.store).runStep(w.t.Context(), s, s.NextStep()) })
	w.withStoreFault(t, func() { _ = NewJournal(w.store).runStep(w.t.Context(), s, s.NextStep()) })
	if err := NewJournal(w.store).SealAndRead(w.t.Context(), s); err != nil {
		t.Fatal(err)
	}
	w.step++
	for _, id := range w.ids {
		if d := s.Lookup(w.now, id); d.Action != ActionForward {
			w.recordOutcome(w.step, id, d)
		}
	}
}

func (w *simulation) checkInvariants(t *rapid.T) {
	s := w.Snapshot(w.now)
	records := 0
	for _, n := range s.Records {
		records += n
	}
	if records > w.limits.records || s.BodyBytes > w.limits.bodyBytes {
		t.Fatalf("limits exceeded: %+v", s)
	}
	for _, id := range w.ids {
		if w.executions[id] > 1 {
			t.Fatalf("%s ran %d times", id, w.executions[id])
		}
	}
}

// outcomeRegister is the specification of one order's outcome, a register: it is empty until the first certain outcome
// and never changes after that. ActionUnknown is compatible with every outcome.
var outcomeRegister = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byID := map[any][]porcupine.Operation{}
		for _, op := range history {
			byID[op.Input] = append(byID[op.Input], op)
		}
		var parts [][]porcupine.Operation
		for _, ops := range byID {
			parts = append(parts, ops)
		}
		return parts
	},
	Init: func() any { return callerOutcome{} },
	Step: func(state, _, output any) (bool, any) {
		if output.(callerOutcome).action == ActionUnknown {
			return true, state
		}
		return state == callerOutcome{} || state == output, output
	},
}

// Guards against sequences of requests, store and connection faults, delays, clock jumps, takeovers and stops in which
// callers receive contradictory outcomes, or an order runs twice or after it was reported as not run.
func TestLinearizableOutcomes(t *testing.T) {
	total := map[Action]int{}
	rapid.Check(t, func(rt *rapid.T) {
		w := &simulation{
			testOwner: newTestOwner(t, WithMaxRecords(6), WithMaxBodyBytes(1000), WithBatchLimits(2, 1000)),
			claims:    map[ident.RequestID]int{}, inFlight: map[ident.RequestID]int{}, executions: map[ident.RequestID]int{},
			connected: map[ident.RequestID]bool{}, waiting: map[ident.RequestID][]int64{},
		}
		alive := func(f func(*rapid.T)) func(*rapid.T) {
			return func(t *rapid.T) {
				skipUnless(t, !w.dead)
				f(t)
			}
		}
		rare := func(t *rapid.T) { skipUnless(t, rapid.IntRange(0, 9).Draw(t, "rare") == 0) }
		rt.Repeat(map[string]func(*rapid.T){
			"submit":   alive(w.submit),
			"resubmit": alive(w.submit),
			"claim":    alive(w.claim),
			"end":      alive(w.endConnection),
			"journal":  alive(w.stepJournal),
			"write":    alive(w.stepJournal),
			"expire":   alive(func(*rapid.T) { w.handleEvents(w.Expire(w.now)) }),
			"abort": alive(func(t *rapid.T) {
				id := w.drawID(t)
				if w.Abort(w.now, id) {
					w.step++
					w.recordOutcome(w.step, id, Decision{Action: ActionRefuse})
				}
				w.answerWaiting(id)
			}),
			"upstream runs": func(t *rapid.T) {
				id := w.drawID(t)
				skipUnless(t, w.inFlight[id] > 0)
				w.inFlight[id]--
				w.executions[id]++
			},
			"late writes": func(*rapid.T) { w.store.applyDelayed() },
			"time": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			},
			"long time": func(t *rapid.T) { rare(t); w.now = w.now.Add(13 * time.Hour) },
			"seal":      w.takeOver,
			"stop":      alive(func(t *rapid.T) { rare(t); w.StopAccepting() }),
			"die":       func(t *rapid.T) { rare(t); w.dead = true },
			"":          w.checkInvariants,
		})
		for id, n := range w.executions {
			if n > 0 {
				w.step++
				w.recordOutcome(w.step, id, Decision{Action: ActionReply, Answer: Response{Status: 200 + n}})
			}
		}
		for _, op := range w.history {
			total[op.Output.(callerOutcome).action]++
		}
		if !porcupine.CheckOperations(outcomeRegister, w.history) {
			rt.Fatalf("contradictory outcomes: %+v", w.history)
		}
	})
	for _, action := range []Action{ActionReply, ActionRefuse, ActionUnknown} {
		if total[action] < 100 {
			t.Errorf("only %d callers received %v; the generated sequences cover too little", total[action], action)
		}
	}
	t.Log(total)
}
