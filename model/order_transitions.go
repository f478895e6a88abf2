package model

import (
	"fmt"

	"github.com/currantpier/currantpier/once"
)

// orderTransitions collects the transitions from one state of the specification of orders.
type orderTransitions struct {
	bounds      OrderBounds
	state       *orderState
	transitions []Transition
}

// storeFaults lists the outcomes of a store call, each with its part of the transition's description.
var storeFaults = []struct{ fault, text string }{
	{"", "and is confirmed"},
	{"lost", "and takes effect, but the response is lost"},
	{"late", "and times out; it may take effect later"},
	{"down", "and the store is down"},
}

func (b *orderTransitions) all() []Transition {
	s := b.state
	if s.seconds < b.bounds.Seconds {
		b.add("1 s passes", func(s *orderState) { s.seconds++ })
	}
	for i := range s.lateWrites {
		b.add("a delayed write takes effect", func(s *orderState) {
			w := s.lateWrites[i]
			s.lateWrites = append(append([]headWrite{}, s.lateWrites[:i]...), s.lateWrites[i+1:]...)
			s.applyWrite(w)
		})
	}
	for i := range s.orders {
		b.addOrderTransitions(i)
	}
	if s.alive {
		b.addJournalTransitions()
		b.addProcessTransitions()
	}
	for k := range s.successors {
		b.addSuccessorTransitions(k)
	}
	return b.transitions
}

// add adds a transition whose target is a changed copy of the state.
func (b *orderTransitions) add(name string, change func(s *orderState)) {
	s := b.state.copy()
	change(s)
	b.transitions = append(b.transitions, Transition{name, s})
}

// fault adds a transition that counts as a fault, unless the limit on faults is reached.
func (b *orderTransitions) fault(name string, change func(s *orderState)) {
	if b.state.faults < b.bounds.Faults {
		b.add(name, func(s *orderState) {
			s.faults++
			change(s)
		})
	}
}

// addOrderTransitions adds the transitions of the callers, the sending task and the upstream for order i.
func (b *orderTransitions) addOrderTransitions(i int) {
	o := b.state.orders[i]
	if o.inFlight > 0 {
		b.add(fmt.Sprintf("the upstream runs %s", o.id), func(s *orderState) {
			s.orders[i].inFlight--
			s.orders[i].executions++
		})
	}
	if !b.state.alive {
		return
	}
	if o.submits < b.bounds.SubmitsPerOrder {
		b.add(fmt.Sprintf("a caller submits %s", o.id), func(s *orderState) {
			s.orders[i].submits++
			s.recordDecision(i, s.ownerForUpdate().Begin(s.now(), o.id, s.now().Add(orderDeadline)))
		})
	}
	if o.pendingClaims > 0 {
		b.add(fmt.Sprintf("the owner claims %s and sends it if the claim succeeds", o.id), func(s *orderState) { s.claim(i) })
	}
	if o.connected {
		b.addConnectionTransitions(i)
	}
	if o.executions > 0 && !o.connected {
		b.fault(fmt.Sprintf("an answer to another request arrives for %s", o.id), func(s *orderState) {
			s.answer(i, strayStatus)
		})
	}
}

func (s *orderState) claim(i int) {
	o := &s.orders[i]
	o.pendingClaims--
	if s.ownerForUpdate().ClaimSend(s.now(), o.id) {
		o.inFlight++
		o.connected = true
		return
	}
	s.recordDecision(i, s.ownerForUpdate().Lookup(s.now(), o.id))
}

func (s *orderState) answer(i, status int) {
	if s.ownerForUpdate().RecordAnswer(s.now(), s.orders[i].id, once.Response{Status: status}) {
		s.recordDecision(i, once.Decision{Action: once.ActionReply, Answer: once.Response{Status: status}})
	}
}

// addConnectionTransitions adds the ways in which the open connection of order i can end.
func (b *orderTransitions) addConnectionTransitions(i int) {
	o := b.state.orders[i]
	if o.executions > 0 {
		b.add(fmt.Sprintf("the upstream answers %s", o.id), func(s *orderState) {
			s.orders[i].connected = false
			s.answer(i, 200+o.executions)
		})
	}
	if o.inFlight > 0 {
		b.fault(fmt.Sprintf("the upstream refuses the connection for %s", o.id), func(s *orderState) {
			s.orders[i].inFlight--
			s.orders[i].connected = false
			if s.ownerForUpdate().RecordNotRun(s.now(), o.id) {
				s.orders[i].pendingClaims++
			}
		})
	}
	b.fault(fmt.Sprintf("the connection of %s breaks", o.id), func(s *orderState) {
		s.orders[i].connected = false
		s.ownerForUpdate().RecordUnknown(s.now(), o.id)
	})
}

// addJournalTransitions adds the transitions of the owner's journal task.
func (b *orderTransitions) addJournalTransitions() {
	if b.state.writeInFlight {
		for _, f := range storeFaults {
			change := func(s *orderState) { s.finishWrite(f.fault, true) }
			if f.fault == "" {
				b.add("the owner's write reaches the store "+f.text, change)
			} else {
				b.fault("the owner's write is sent "+f.text, change)
			}
		}
		return
	}
	s := b.state.copy()
	if name := s.startJournalIO(); name != "" {
		b.transitions = append(b.transitions, Transition{name, s})
	}
}

// addProcessTransitions adds the transitions of the owner process as a whole.
func (b *orderTransitions) addProcessTransitions() {
	s := b.state.copy()
	if events := s.ownerForUpdate().Expire(s.now()); len(events) > 0 {
		s.handleEvents(events)
		b.transitions = append(b.transitions, Transition{"the owner aborts orders past their deadline", s})
	}
	if b.bounds.PlannedStop && !b.state.stopping {
		b.add("a planned stop begins", func(s *orderState) {
			s.stopping = true
			s.ownerForUpdate().StopAccepting()
		})
	}
	b.fault("the owner crashes", func(s *orderState) {
		s.alive = false
		if s.writeInFlight {
			s.finishWrite("late", false)
		}
	})
}

// addSuccessorTransitions adds the transitions of successor k.
func (b *orderTransitions) addSuccessorTransitions(k int) {
	who := fmt.Sprintf("successor %d ", k+1)
	switch st := b.state.successors[k].NextStep(); st.Kind {
	case once.StepReadHead:
		b.add(who+"reads the head", func(s *orderState) {
			s.successorForUpdate(k).HeadRead(s.head)
			s.recordLookups(k)
		})
	case once.StepSeal:
		for _, f := range storeFaults {
			change := func(s *orderState) {
				s.successorForUpdate(k).SealDone(s.callStore(headWrite{head: st.Head}, f.fault))
				s.recordLookups(k)
			}
			if f.fault == "" {
				b.add(who+"seals "+f.text, change)
			} else if f.fault != "down" {
				b.fault(who+"seals "+f.text, change)
			}
		}
	case once.StepReadRows:
		b.add(who+"reads the batches", func(s *orderState) {
			s.successorForUpdate(k).RowsRead(s.rows, true)
			s.recordLookups(k)
		})
	}
}
