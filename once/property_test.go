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

// TestMain fixes the seed and the length of rapid's runs, so that each run checks the same cases. Flags override both.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.steps": "120", "rapid.checks": "2000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// world is a process, its upstream, its callers and its successors.
type world struct {
	*proc
	ids  []ident.RequestID
	dead bool
	// claims counts the tasks about to claim an order, wires the copies under way, and runs the executions.
	claims, wires, runs map[ident.RequestID]int
	// open says that the process waits for the answer.
	open map[ident.RequestID]bool
	// asked holds, for each order, the step at which each caller that still waits has asked.
	asked   map[ident.RequestID][]int64
	work    Work
	step    int64
	history []porcupine.Operation
}

// told is the outcome that a caller is given: how to go on, and the number of the run for an answer.
type told struct {
	do  Do
	run int
}

func (w *world) tell(call int64, id ident.RequestID, d Decision) {
	out := told{do: d.Do}
	if d.Do == DoReply {
		out.run = d.Answer.Status - 200
	}
	w.step++
	w.history = append(w.history, porcupine.Operation{Input: id, Call: call, Output: out, Return: w.step})
}

// wake answers the callers that wait for an order with a final record.
func (w *world) wake(id ident.RequestID) {
	d := w.Find(w.now, id)
	if d.Do == DoWait {
		return
	}
	for _, call := range w.asked[id] {
		w.tell(call, id, d)
	}
	delete(w.asked, id)
}

func (w *world) events(events []Event) {
	for _, e := range events {
		if e.State == Ready {
			w.claims[e.ID] += len(w.asked[e.ID])
		} else {
			w.wake(e.ID)
		}
	}
}

func (w *world) submit(t *rapid.T) {
	if len(w.ids) < 12 && rapid.Bool().Draw(t, "new") {
		if tk, ok := w.Ticket(w.now, MinFlush); ok {
			tk.Class = rapid.SampledFrom([]ident.Class{tk.Class, ident.Direct}).Draw(t, "class")
			w.ids = append(w.ids, tk.ID(string(rune('a'+len(w.ids)))))
		}
	}
	id := w.pick(t)
	w.step++
	d := w.Begin(w.now, id, w.now.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "deadline"))*time.Second))
	switch d.Do {
	case DoSend:
		w.claims[id]++
		fallthrough
	case DoJournal, DoWait:
		w.asked[id] = append(w.asked[id], w.step)
	default:
		w.tell(w.step, id, d)
	}
}

func (w *world) pick(t *rapid.T) ident.RequestID {
	if len(w.ids) == 0 {
		t.Skip("no order yet")
	}
	return rapid.SampledFrom(w.ids).Draw(t, "id")
}

// require skips an action that is not possible for an order.
func require(t *rapid.T, ok bool) {
	if !ok {
		t.Skip("not possible")
	}
}

func (w *world) claim(t *rapid.T) {
	id := w.pick(t)
	require(t, w.claims[id] > 0)
	w.claims[id]--
	if w.ReadyToSend(w.now, id) {
		w.wires[id]++
		w.open[id] = true
	}
	w.wake(id)
}

// end ends the open connection of an order.
func (w *world) end(t *rapid.T) {
	id := w.pick(t)
	require(t, w.open[id])
	w.open[id] = false
	switch how := rapid.IntRange(0, 3).Draw(t, "how"); {
	case how == 0:
		w.Broken(w.now, id)
	case how == 1 && w.wires[id] > 0:
		w.wires[id]--
		if w.NotRun(w.now, id) {
			w.claims[id]++
		}
	case w.wires[id] > 0:
		w.wires[id]--
		w.runs[id]++
		fallthrough
	default:
		w.Answered(w.now, id, Answer{Status: 200 + w.runs[id], Body: make([]byte, 300)})
	}
	w.wake(id)
}

// faulty runs f with the store in a drawn state.
func (w *world) faulty(t *rapid.T, f func()) {
	switch rapid.IntRange(0, 5).Draw(t, "fault") {
	case 0:
		w.tab.lose = true
	case 1:
		w.tab.hold = true
	case 2:
		w.tab.down = true
	}
	f()
	w.tab.lose, w.tab.hold, w.tab.down = false, false, false
}

func (w *world) journal(t *rapid.T) {
	if w.work.Kind == WorkNone {
		w.work = w.NextBatch(w.now, MinFlush)
		return
	}
	w.faulty(t, func() {
		NewJournal(w.tab).Do(w.t.Context(), w.work,
			func(r Result) { w.events(w.BatchDone(w.now, r)) },
			func(h Head, err error) {
				if err != nil {
					w.ReadBackFailed()
					return
				}
				w.events(w.ReadBack(w.now, h))
			})
	})
	w.work = Work{}
}

// seal lets a successor take over the journal of one order and answer for it.
func (w *world) seal(t *rapid.T) {
	id := w.pick(t)
	require(t, w.dead || rapid.IntRange(0, 3).Draw(t, "seal") == 0)
	tk, _ := id.Parse()
	s := NewSuccessor("riga-1", tk.Incarnation, "riga-2")
	w.faulty(t, func() { _ = NewJournal(w.tab).step(w.t.Context(), s, s.Next()) })
	w.faulty(t, func() { _ = NewJournal(w.tab).step(w.t.Context(), s, s.Next()) })
	if err := NewJournal(w.tab).Takeover(w.t.Context(), s); err != nil {
		t.Fatal(err)
	}
	w.step++
	for _, id := range w.ids {
		if d := s.Verdict(w.now, id); d.Do != DoForward {
			w.tell(w.step, id, d)
		}
	}
}

func (w *world) check(t *rapid.T) {
	s := w.Snapshot(w.now)
	records := 0
	for _, n := range s.Records {
		records += n
	}
	if records > w.limits.records || s.BodyBytes > w.limits.bodyBytes {
		t.Fatalf("limits exceeded: %+v", s)
	}
	for _, id := range w.ids {
		if w.runs[id] > 1 {
			t.Fatalf("%s ran %d times", id, w.runs[id])
		}
	}
}

// outcomes is the register of one order: it is empty until the first certain outcome, and never changes after that.
// "Unknown" commits to nothing.
var outcomes = porcupine.Model{
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
	Init: func() any { return told{} },
	Step: func(state, _, output any) (bool, any) {
		if output.(told).do == DoUnknown {
			return true, state
		}
		return state == told{} || state == output, output
	},
}

// Guards against any sequence of requests, faults, pauses, clock jumps, takeovers and stops after which callers were
// told contradictory outcomes, an order ran twice, or an order ran of which "not run" was said.
func TestHistories(t *testing.T) {
	total := map[Do]int{}
	rapid.Check(t, func(rt *rapid.T) {
		w := &world{
			proc:   newProc(t, WithRecords(6), WithBodyBytes(1000), WithBatch(2, 1000)),
			claims: map[ident.RequestID]int{}, wires: map[ident.RequestID]int{}, runs: map[ident.RequestID]int{},
			open: map[ident.RequestID]bool{}, asked: map[ident.RequestID][]int64{},
		}
		alive := func(f func(*rapid.T)) func(*rapid.T) {
			return func(t *rapid.T) {
				require(t, !w.dead)
				f(t)
			}
		}
		rare := func(t *rapid.T) { require(t, rapid.IntRange(0, 9).Draw(t, "rare") == 0) }
		rt.Repeat(map[string]func(*rapid.T){
			"submit":   alive(w.submit),
			"resubmit": alive(w.submit),
			"claim":    alive(w.claim),
			"end":      alive(w.end),
			"journal":  alive(w.journal),
			"write":    alive(w.journal),
			"expire":   alive(func(*rapid.T) { w.events(w.Expire(w.now)) }),
			"abort": alive(func(t *rapid.T) {
				id := w.pick(t)
				if w.Abort(w.now, id) {
					w.step++
					w.tell(w.step, id, Decision{Do: DoRefuse})
				}
				w.wake(id)
			}),
			"upstream runs": func(t *rapid.T) {
				id := w.pick(t)
				require(t, w.wires[id] > 0)
				w.wires[id]--
				w.runs[id]++
			},
			"late writes": func(*rapid.T) { w.tab.release() },
			"time": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			},
			"long time": func(t *rapid.T) { rare(t); w.now = w.now.Add(13 * time.Hour) },
			"seal":      w.seal,
			"stop":      alive(func(t *rapid.T) { rare(t); w.StopAccepting() }),
			"die":       func(t *rapid.T) { rare(t); w.dead = true },
			"":          w.check,
		})
		for id, n := range w.runs {
			if n > 0 {
				w.step++
				w.tell(w.step, id, Decision{Do: DoReply, Answer: Answer{Status: 200 + n}})
			}
		}
		for _, op := range w.history {
			total[op.Output.(told).do]++
		}
		if !porcupine.CheckOperations(outcomes, w.history) {
			rt.Fatalf("contradictory outcomes: %+v", w.history)
		}
	})
	for _, do := range []Do{DoReply, DoRefuse, DoUnknown} {
		if total[do] < 100 {
			t.Errorf("only %d callers were told %v; the runs are too tame", total[do], do)
		}
	}
	t.Log(total)
}
