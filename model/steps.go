package model

import (
	"fmt"

	"github.com/currantpier/currantpier/once"
)

// orderSteps collects the steps from one state of the specification of orders.
type orderSteps struct {
	bounds OrderBounds
	from   *orderState
	steps  []Step
}

// storeFaults are the ways in which a store call can go, each with the part of its description.
var storeFaults = []struct{ fault, text string }{
	{"", "and is answered"},
	{"lost", "and takes effect, but the answer is lost"},
	{"late", "and is not answered in time; it may take effect later"},
	{"down", "and the store is down"},
}

func (b *orderSteps) all() []Step {
	s := b.from
	if s.seconds < b.bounds.Seconds {
		b.add("1 s passes", func(s *orderState) { s.seconds++ })
	}
	for i := range s.late {
		b.add("a late write reaches the store", func(s *orderState) {
			w := s.late[i]
			s.late = append(append([]headWrite{}, s.late[:i]...), s.late[i+1:]...)
			s.apply(w)
		})
	}
	for i := range s.orders {
		b.order(i)
	}
	if s.alive {
		b.journal()
		b.process()
	}
	for k := range s.successors {
		b.successor(k)
	}
	return b.steps
}

// add adds a step that changes a copy of the state.
func (b *orderSteps) add(name string, change func(s *orderState)) {
	s := b.from.copy()
	change(s)
	b.steps = append(b.steps, Step{name, s})
}

// fault adds a step that counts as a fault, if there may be one more.
func (b *orderSteps) fault(name string, change func(s *orderState)) {
	if b.from.faults < b.bounds.Faults {
		b.add(name, func(s *orderState) {
			s.faults++
			change(s)
		})
	}
}

// order adds the steps of the callers, the sending task and the upstream for order i.
func (b *orderSteps) order(i int) {
	o := b.from.orders[i]
	if o.wires > 0 {
		b.add(fmt.Sprintf("the upstream runs %s", o.id), func(s *orderState) {
			s.orders[i].wires--
			s.orders[i].runs++
		})
	}
	if !b.from.alive {
		return
	}
	if o.submits < b.bounds.Submits {
		b.add(fmt.Sprintf("a caller submits %s", o.id), func(s *orderState) {
			s.orders[i].submits++
			s.decided(i, s.own().Begin(s.now(), o.id, s.now().Add(orderDeadline)))
		})
	}
	if o.toSend > 0 {
		b.add(fmt.Sprintf("the owner claims %s and sends it if it may", o.id), func(s *orderState) { s.claim(i) })
	}
	if o.waiting {
		b.connection(i)
	}
	if o.runs > 0 && !o.waiting {
		b.fault(fmt.Sprintf("an answer to another request arrives for %s", o.id), func(s *orderState) {
			s.answer(i, strayStatus)
		})
	}
}

func (s *orderState) claim(i int) {
	o := &s.orders[i]
	o.toSend--
	if s.own().ReadyToSend(s.now(), o.id) {
		o.wires++
		o.waiting = true
		return
	}
	s.decided(i, s.own().Find(s.now(), o.id))
}

func (s *orderState) answer(i, status int) {
	if s.own().Answered(s.now(), s.orders[i].id, once.Answer{Status: status}) {
		s.decided(i, once.Decision{Do: once.DoReply, Answer: once.Answer{Status: status}})
	}
}

// connection adds the ways in which the open connection of order i can end.
func (b *orderSteps) connection(i int) {
	o := b.from.orders[i]
	if o.runs > 0 {
		b.add(fmt.Sprintf("the upstream answers %s", o.id), func(s *orderState) {
			s.orders[i].waiting = false
			s.answer(i, 200+o.runs)
		})
	}
	if o.wires > 0 {
		b.fault(fmt.Sprintf("the upstream refuses the connection for %s", o.id), func(s *orderState) {
			s.orders[i].wires--
			s.orders[i].waiting = false
			if s.own().NotRun(s.now(), o.id) {
				s.orders[i].toSend++
			}
		})
	}
	b.fault(fmt.Sprintf("the connection of %s breaks", o.id), func(s *orderState) {
		s.orders[i].waiting = false
		s.own().Broken(s.now(), o.id)
	})
}

// journal adds the steps of the owner's journal task.
func (b *orderSteps) journal() {
	if b.from.writing {
		for _, f := range storeFaults {
			step := func(s *orderState) { s.storeWrite(f.fault, true) }
			if f.fault == "" {
				b.add("the owner's write reaches the store "+f.text, step)
			} else {
				b.fault("the owner's write is sent "+f.text, step)
			}
		}
		return
	}
	s := b.from.copy()
	if name := s.nextBatch(); name != "" {
		b.steps = append(b.steps, Step{name, s})
	}
}

// process adds the steps of the owner's process as a whole.
func (b *orderSteps) process() {
	s := b.from.copy()
	if events := s.own().Expire(s.now()); len(events) > 0 {
		s.events(events)
		b.steps = append(b.steps, Step{"the owner aborts orders past their deadline", s})
	}
	if b.bounds.Stop && !b.from.stopping {
		b.add("a planned stop begins", func(s *orderState) {
			s.stopping = true
			s.own().StopAccepting()
		})
	}
	b.fault("the owner dies", func(s *orderState) {
		s.alive = false
		if s.writing {
			s.storeWrite("late", false)
		}
	})
}

// successor adds the steps of successor k.
func (b *orderSteps) successor(k int) {
	who := fmt.Sprintf("successor %d ", k+1)
	switch st := b.from.successors[k].Next(); st.Kind {
	case once.StepReadHead:
		b.add(who+"reads the head", func(s *orderState) {
			s.successor(k).HeadRead(s.head)
			s.ask(k)
		})
	case once.StepSeal:
		for _, f := range storeFaults {
			step := func(s *orderState) {
				s.successor(k).SealDone(s.carryOut(headWrite{head: st.Head}, f.fault))
				s.ask(k)
			}
			if f.fault == "" {
				b.add(who+"seals "+f.text, step)
			} else if f.fault != "down" {
				b.fault(who+"seals "+f.text, step)
			}
		}
	case once.StepReadRows:
		b.add(who+"reads the batches", func(s *orderState) {
			s.successor(k).RowsRead(s.rows, true)
			s.ask(k)
		})
	}
}
