package model

import (
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/once"
)

// Orders is the part of once.Owner that the specification runs. A test can put a faulty version in its place.
type Orders interface {
	Begin(now time.Time, id ident.RequestID, deadline time.Time) once.Decision
	Find(now time.Time, id ident.RequestID) once.Decision
	ReadyToSend(now time.Time, id ident.RequestID) bool
	NotRun(now time.Time, id ident.RequestID) bool
	Answered(now time.Time, id ident.RequestID, a once.Answer) bool
	Broken(now time.Time, id ident.RequestID) bool
	Expire(now time.Time) []once.Event
	NextBatch(now time.Time, interval time.Duration) once.Work
	BatchDone(now time.Time, r once.Result) []once.Event
	ReadBack(now time.Time, h once.Head) []once.Event
	StopAccepting()
	Copy() Orders
	AppendState(b []byte) []byte
}

// Takeover is the part of once.Successor that the specification runs.
type Takeover interface {
	Next() once.Step
	HeadRead(h once.Head)
	SealDone(r once.Result)
	RowsRead(rows []once.Row, last bool)
	Verdict(now time.Time, id ident.RequestID) once.Decision
	Copy() Takeover
	AppendState(b []byte) []byte
}

// Owner makes once.Owner an Orders.
type Owner struct{ *once.Owner }

// Copy returns an independent copy.
func (o Owner) Copy() Orders { return Owner{o.Clone()} }

// Successor makes once.Successor a Takeover.
type Successor struct{ *once.Successor }

// Copy returns an independent copy.
func (s Successor) Copy() Takeover { return Successor{s.Clone()} }

// OrderBounds limits the specification of orders.
type OrderBounds struct {
	// Classes gives the class of each order.
	Classes []ident.Class
	// Submits is how often each order is submitted: the first request, and its repetitions and duplicates.
	Submits int
	// Faults is the number of faults in a run: a lost, late or failed store call, a broken or refused connection, a
	// crash, a stray answer.
	Faults int
	// Seconds is how much time passes, in steps of 1 s. The orders' deadlines lie orderDeadline ahead.
	Seconds int
	// Successors is the number of processes that take the owner for dead, at any time, rightly or not.
	Successors int
	// Stop says that a planned stop may begin at any time.
	Stop bool
}

const (
	orderDeadline = 2 * time.Second
	orderOwner    = ident.VM("a")
	// strayStatus is the status of an answer that belongs to another request.
	strayStatus = 299
)

var orderStart = time.Unix(1_800_000_000, 0)

// orderState is a state of the specification of orders: one owner, its journal, the upstream and the successors. A
// pause of the owner needs no step of its own: any number of other steps may come between two steps of the owner.
type orderState struct {
	// owner and successors may be shared with other states; own and successor return copies that may be changed.
	owner Orders
	owned bool
	alive bool
	// stopping says that a planned stop has begun.
	stopping bool
	seconds  int
	faults   int
	// writing says that the owner's write of batch is in flight.
	writing bool
	batch   once.Batch
	// late lists the writes whose caller gave up or died, and which may still take effect.
	late       []headWrite
	head       once.Head
	rows       []once.Row
	successors []Takeover
	orders     []order
}

// headWrite is a conditional write of a head, with the row of a batch if it has entries.
type headWrite struct {
	head    once.Head // Version is the condition
	entries []once.Entry
}

// order is one order as the outside world sees it.
type order struct {
	id      ident.RequestID
	submits int
	// toSend counts the tasks of the owner that are about to claim the order.
	toSend int
	// wires counts the copies of the request under way to the upstream.
	wires int
	// waiting says that the owner waits for the answer on the connection.
	waiting bool
	// runs counts how often the upstream executed the order.
	runs int
	// notRun says that a caller was told "not run".
	notRun bool
	// unknown says that a caller was told "outcome unknown" by a successor.
	unknown bool
	// replies lists the different answers that callers were given.
	replies []int
}

// NewOrderSpec returns the specification of orders. Wrap and wrapTakeover, if not nil, replace the functions under
// test.
func NewOrderSpec(b OrderBounds, wrap func(Orders) Orders, wrapTakeover func(Takeover) Takeover) Spec {
	if wrap == nil {
		wrap = func(o Orders) Orders { return o }
	}
	if wrapTakeover == nil {
		wrapTakeover = func(s Takeover) Takeover { return s }
	}
	start := &orderState{owner: wrap(Owner{once.NewOwner(orderOwner, 1)}), alive: true}
	// The owner has written one empty batch, so that it accepts class j.
	start.nextBatch()
	start.storeWrite("", true)
	for i, class := range b.Classes {
		id := ident.NewTicket(class, orderOwner, 1, orderStart).ID(string(rune('x' + i)))
		start.orders = append(start.orders, order{id: id})
	}
	for range b.Successors {
		// One name for all keeps states that differ only in the order of the successors together.
		start.successors = append(start.successors, wrapTakeover(Successor{once.NewSuccessor(orderOwner, 1, "b")}))
	}
	return Spec{
		Name:       fmt.Sprintf("at most once, classes %s", classNames(b.Classes)),
		Start:      start,
		Steps:      func(s State) []Step { return (&orderSteps{bounds: b, from: s.(*orderState)}).all() },
		Invariants: orderInvariants(),
		Goals:      orderGoals(b),
	}
}

func classNames(classes []ident.Class) string {
	s := ""
	for _, c := range classes {
		s += string(c)
	}
	return s
}

func orderInvariants() []Invariant {
	each := func(name string, broken func(o order) string) Invariant {
		return Invariant{name, func(s State) string {
			for _, o := range s.(*orderState).orders {
				if d := broken(o); d != "" {
					return string(o.id) + " " + d
				}
			}
			return ""
		}}
	}
	return []Invariant{
		each("an order runs at most once", func(o order) string {
			if o.runs > 1 {
				return fmt.Sprintf("ran %d times", o.runs)
			}
			return ""
		}),
		each("\"not run\" is never said of an order that ran or will run", func(o order) string {
			if o.notRun && o.runs > 0 {
				return "ran, and a caller was told that it did not run"
			}
			return ""
		}),
		each("a recorded answer is never replaced", func(o order) string {
			if len(o.replies) > 1 || len(o.replies) == 1 && o.replies[0] == strayStatus {
				return fmt.Sprintf("was answered with %v", o.replies)
			}
			return ""
		}),
	}
}

func orderGoals(b OrderBounds) []Goal {
	any := func(name string, reached func(s *orderState, o order) bool) Goal {
		return Goal{name, func(s State) bool {
			st := s.(*orderState)
			return slices.ContainsFunc(st.orders, func(o order) bool { return reached(st, o) })
		}}
	}
	goals := []Goal{
		any("an order is answered", func(_ *orderState, o order) bool { return len(o.replies) > 0 }),
		any("a successor says unknown", func(_ *orderState, o order) bool { return o.unknown }),
		any("an order is refused as not run", func(_ *orderState, o order) bool { return o.notRun }),
		any("an order runs after a successor has sealed", func(s *orderState, o order) bool {
			return s.head.State == once.Sealed && o.runs == 1 && o.unknown
		}),
	}
	if b.Stop {
		goals = append(goals, any("the journal is complete after a run", func(s *orderState, o order) bool {
			return s.head.State == once.Complete && o.runs > 0
		}))
	}
	return goals
}

// AppendKey implements State.
func (s *orderState) AppendKey(b []byte) []byte {
	b = s.owner.AppendState(b)
	b = append(b, flag(s.alive), flag(s.stopping), flag(s.writing), byte(s.seconds), byte(s.faults), byte(len(s.late)))
	for _, w := range s.late {
		b = appendEntries(appendHead(b, w.head), w.entries)
	}
	b = append(appendHead(b, s.head), byte(len(s.rows)))
	for _, r := range s.rows {
		b = appendEntries(append(b, byte(r.Seq)), r.Entries)
	}
	var keys []string
	for _, t := range s.successors {
		keys = append(keys, string(t.AppendState(nil)))
	}
	slices.Sort(keys)
	for _, k := range keys {
		b = binary.AppendUvarint(b, uint64(len(k)))
		b = append(b, k...)
	}
	for _, o := range s.orders {
		b = append(b, byte(o.submits), byte(o.wires), byte(o.runs), byte(o.toSend), flag(o.waiting), flag(o.notRun),
			flag(o.unknown), byte(len(o.replies)))
		for _, r := range o.replies {
			b = binary.AppendUvarint(b, uint64(r))
		}
	}
	return b
}

func appendHead(b []byte, h once.Head) []byte {
	return append(b, byte(h.Version), byte(h.State), byte(h.Seq), byte(h.Rows))
}

func appendEntries(b []byte, entries []once.Entry) []byte {
	b = append(b, byte(len(entries)))
	for _, e := range entries {
		b = append(b, e.ID...)
		b = append(b, byte(e.State))
		b = binary.AppendUvarint(b, uint64(e.Answer.Status))
	}
	return b
}

func flag(v bool) byte {
	if v {
		return 1
	}
	return 0
}

func (s *orderState) copy() *orderState {
	c := *s
	c.owned = false
	c.late, c.orders = slices.Clone(s.late), slices.Clone(s.orders)
	c.successors = slices.Clone(s.successors)
	return &c
}

// own returns the owner for a call that may change it.
func (s *orderState) own() Orders {
	if !s.owned {
		s.owner, s.owned = s.owner.Copy(), true
	}
	return s.owner
}

// successor returns successor k for a call that changes it.
func (s *orderState) successor(k int) Takeover {
	s.successors[k] = s.successors[k].Copy()
	return s.successors[k]
}

func (s *orderState) now() time.Time { return orderStart.Add(time.Duration(s.seconds) * time.Second) }

// decided takes note of what a caller is told about order i.
func (s *orderState) decided(i int, d once.Decision) {
	o := &s.orders[i]
	switch d.Do {
	case once.DoSend:
		o.toSend++
	case once.DoRefuse:
		o.notRun = true
	case once.DoReply:
		if !slices.Contains(o.replies, d.Answer.Status) {
			o.replies = append(slices.Clone(o.replies), d.Answer.Status)
		}
	}
}

// events takes note of the owner's events: the requests that wait all try to send, or are told "not run".
func (s *orderState) events(events []once.Event) {
	for _, e := range events {
		i := slices.IndexFunc(s.orders, func(o order) bool { return o.id == e.ID })
		switch e.State {
		case once.Ready:
			s.orders[i].toSend += s.orders[i].submits
		case once.Aborted:
			s.orders[i].notRun = true
		}
	}
}

// ask tells a caller of each order what successor k says. The verdict doesn't change once the successor is done.
func (s *orderState) ask(k int) {
	if s.successors[k].Next().Kind != once.StepDone {
		return
	}
	for i := range s.orders {
		d := s.successors[k].Verdict(s.now(), s.orders[i].id)
		s.decided(i, d)
		s.orders[i].unknown = s.orders[i].unknown || d.Do == once.DoUnknown
	}
}

// nextBatch starts the journal I/O that is due. It reports what that was.
func (s *orderState) nextBatch() string {
	switch w := s.own().NextBatch(s.now(), 0); w.Kind {
	case once.WorkWrite:
		s.writing, s.batch = true, w.Batch
		return fmt.Sprintf("owner starts to write batch %d with %d entries", w.Batch.Seq, len(w.Batch.Entries))
	case once.WorkReadBack:
		s.events(s.own().ReadBack(s.now(), s.head))
		return fmt.Sprintf("owner reads back the head: %v at batch %d", s.head.State, s.head.Seq)
	}
	return ""
}

// apply carries out a write in the store.
func (s *orderState) apply(w headWrite) once.Result {
	if s.head.Version != w.head.Version {
		return once.Result{Outcome: once.Conflict}
	}
	s.head = w.head
	s.head.Version++
	if len(w.entries) > 0 {
		s.rows = append(slices.Clone(s.rows), once.Row{Seq: w.head.Seq, Entries: w.entries})
	}
	return once.Result{Outcome: once.Written, Version: s.head.Version}
}

func (s *orderState) batchWrite() headWrite {
	h := once.Head{Version: s.batch.If, State: once.Open, Seq: s.batch.Seq, Rows: s.batch.Rows}
	if s.batch.Final {
		h.State = once.Complete
	}
	return headWrite{h, s.batch.Entries}
}

// storeWrite ends the owner's write that is in flight. Fault is "", "lost", "late" or "down".
func (s *orderState) storeWrite(fault string, heard bool) {
	w := s.batchWrite()
	s.writing, s.batch = false, once.Batch{}
	r := s.carryOut(w, fault)
	if heard {
		s.events(s.own().BatchDone(s.now(), r))
	}
}

// carryOut is one store call with a fault, as its caller sees it.
func (s *orderState) carryOut(w headWrite, fault string) once.Result {
	switch fault {
	case "lost":
		s.apply(w)
		return once.Result{Outcome: once.InDoubt}
	case "late":
		s.late = append(s.late, w)
		return once.Result{Outcome: once.InDoubt}
	case "down":
		return once.Result{Outcome: once.Down}
	}
	return s.apply(w)
}
