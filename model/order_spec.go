package model

import (
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/once"
)

// OrderOwner is the part of once.Owner that the specification runs. A test can substitute a faulty implementation.
type OrderOwner interface {
	Begin(now time.Time, id ident.RequestID, deadline time.Time) once.Decision
	Lookup(now time.Time, id ident.RequestID) once.Decision
	ClaimSend(now time.Time, id ident.RequestID) bool
	RecordNotRun(now time.Time, id ident.RequestID) bool
	RecordAnswer(now time.Time, id ident.RequestID, resp once.Response) bool
	RecordUnknown(now time.Time, id ident.RequestID) bool
	Expire(now time.Time) []once.Event
	NextIO(now time.Time, interval time.Duration) once.JournalIO
	WriteDone(now time.Time, r once.Result) []once.Event
	ReadBackDone(now time.Time, h once.Head) []once.Event
	StopAccepting()
	Copy() OrderOwner
	AppendState(b []byte) []byte
}

// OrderSuccessor is the part of once.Successor that the specification runs.
type OrderSuccessor interface {
	NextStep() once.Step
	HeadRead(h once.Head)
	SealDone(r once.Result)
	RowsRead(rows []once.Row, last bool)
	Lookup(now time.Time, id ident.RequestID) once.Decision
	Copy() OrderSuccessor
	AppendState(b []byte) []byte
}

// Owner adapts once.Owner to OrderOwner.
type Owner struct{ *once.Owner }

// Copy returns an independent copy.
func (o Owner) Copy() OrderOwner { return Owner{o.Clone()} }

// Successor adapts once.Successor to OrderSuccessor.
type Successor struct{ *once.Successor }

// Copy returns an independent copy.
func (s Successor) Copy() OrderSuccessor { return Successor{s.Clone()} }

// OrderBounds bounds the states of the specification of orders.
type OrderBounds struct {
	// Classes holds the class of each order.
	Classes []ident.Class
	// SubmitsPerOrder is the maximum number of requests for each order, including repeated and duplicate ones.
	SubmitsPerOrder int
	// Faults is the maximum number of faults in a run: a lost, late or failed store call, a violation or refused
	// connection, a crash, or an answer to another request.
	Faults int
	// Seconds is the maximum time that passes, in steps of 1 s. Each order has a deadline of orderDeadline after its
	// request.
	Seconds int
	// Successors is the number of processes that may take over the journal at any time, whether or not the owner still
	// runs.
	Successors int
	// PlannedStop allows a planned stop to begin at any time.
	PlannedStop bool
}

const (
	orderDeadline = 2 * time.Second
	orderOwner    = ident.VM("a")
	// strayStatus is the status of an answer that belongs to another request.
	strayStatus = 299
)

var orderStart = time.Unix(1_800_000_000, 0)

// orderState is a state of the specification of orders: one owner, its journal, the upstream and the successors. A
// pause of the owner needs no transition of its own, since other transitions may come between any two of its
// transitions.
type orderState struct {
	// owner and successors may be shared with other states; ownerForUpdate and successorForUpdate return copies that
	// may be changed. ownerCopied is set once owner is such a copy.
	owner       OrderOwner
	ownerCopied bool
	alive       bool
	// stopping is set once a planned stop has begun.
	stopping bool
	seconds  int
	faults   int
	// writeInFlight is set while the owner's write of batch is in flight.
	writeInFlight bool
	batch         once.Batch
	// lateWrites lists the writes that may still take effect although their caller has timed out or crashed.
	lateWrites []headWrite
	head       once.Head
	rows       []once.Row
	successors []OrderSuccessor
	orders     []order
}

// headWrite is a conditional write of a head row, with a batch row if it has entries.
type headWrite struct {
	head    once.Head // Version is the condition
	entries []once.Entry
}

// order is the state of one order outside the owner.
type order struct {
	id      ident.RequestID
	submits int
	// pendingClaims counts the owner's tasks that are about to call ClaimSend.
	pendingClaims int
	// inFlight counts the copies of the request on the way to the upstream.
	inFlight int
	// connected is set while the owner waits for the answer on the connection.
	connected bool
	// executions counts how often the upstream ran the order.
	executions int
	// reportedNotRun is set if a caller received "not run".
	reportedNotRun bool
	// reportedUnknown is set if a caller received "outcome unknown" from a successor.
	reportedUnknown bool
	// statuses lists the distinct answers that callers received, by their status.
	statuses []int
}

// NewOrderSpec returns the specification of orders. WrapOwner and wrapSuccessor, if not nil, wrap or replace the
// functions under test.
func NewOrderSpec(b OrderBounds, wrapOwner func(OrderOwner) OrderOwner,
	wrapSuccessor func(OrderSuccessor) OrderSuccessor) Spec {
	if wrapOwner == nil {
		wrapOwner = func(o OrderOwner) OrderOwner { return o }
	}
	if wrapSuccessor == nil {
		wrapSuccessor = func(s OrderSuccessor) OrderSuccessor { return s }
	}
	start := &orderState{owner: wrapOwner(Owner{once.NewOwner(orderOwner, 1)}), alive: true}
	// The owner has written one empty batch, so that the store counts as up and class j orders are accepted.
	start.startJournalIO()
	start.finishWrite("", true)
	for i, class := range b.Classes {
		id := ident.NewTicket(class, orderOwner, 1, orderStart).ID(string(rune('x' + i)))
		start.orders = append(start.orders, order{id: id})
	}
	for range b.Successors {
		// All successors have the same name, so that states that differ only in the order of the successors have the
		// same key.
		start.successors = append(start.successors, wrapSuccessor(Successor{once.NewSuccessor(orderOwner, 1, "b")}))
	}
	return Spec{
		Name:        fmt.Sprintf("at most once, classes %s", classNames(b.Classes)),
		Initial:     start,
		Transitions: func(s State) []Transition { return (&orderTransitions{bounds: b, state: s.(*orderState)}).all() },
		Invariants:  orderInvariants(),
		Goals:       orderGoals(b),
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
	eachOrder := func(name string, violation func(o order) string) Invariant {
		return Invariant{name, func(s State) string {
			for _, o := range s.(*orderState).orders {
				if d := violation(o); d != "" {
					return string(o.id) + " " + d
				}
			}
			return ""
		}}
	}
	return []Invariant{
		eachOrder("an order runs at most once", func(o order) string {
			if o.executions > 1 {
				return fmt.Sprintf("ran %d times", o.executions)
			}
			return ""
		}),
		eachOrder("an order reported as not run never runs", func(o order) string {
			if o.reportedNotRun && o.executions > 0 {
				return "ran, and a caller received \"not run\""
			}
			return ""
		}),
		eachOrder("a recorded answer is never replaced", func(o order) string {
			if len(o.statuses) > 1 || len(o.statuses) == 1 && o.statuses[0] == strayStatus {
				return fmt.Sprintf("was answered with %v", o.statuses)
			}
			return ""
		}),
	}
}

func orderGoals(b OrderBounds) []Goal {
	anyOrder := func(name string, reached func(s *orderState, o order) bool) Goal {
		return Goal{name, func(s State) bool {
			st := s.(*orderState)
			return slices.ContainsFunc(st.orders, func(o order) bool { return reached(st, o) })
		}}
	}
	goals := []Goal{
		anyOrder("an order is answered", func(_ *orderState, o order) bool { return len(o.statuses) > 0 }),
		anyOrder("a successor reports an unknown outcome", func(_ *orderState, o order) bool { return o.reportedUnknown }),
		anyOrder("an order is refused as not run", func(_ *orderState, o order) bool { return o.reportedNotRun }),
		anyOrder("an order runs after a successor has sealed", func(s *orderState, o order) bool {
			return s.head.State == once.Sealed && o.executions == 1 && o.reportedUnknown
		}),
	}
	if b.PlannedStop {
		goals = append(goals, anyOrder("the journal is complete after a run", func(s *orderState, o order) bool {
			return s.head.State == once.Complete && o.executions > 0
		}))
	}
	return goals
}

// AppendKey implements State.
func (s *orderState) AppendKey(b []byte) []byte {
	b = s.owner.AppendState(b)
	b = append(b, boolByte(s.alive), boolByte(s.stopping), boolByte(s.writeInFlight), byte(s.seconds), byte(s.faults),
		byte(len(s.lateWrites)))
	for _, w := range s.lateWrites {
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
		b = append(b, byte(o.submits), byte(o.inFlight), byte(o.executions), byte(o.pendingClaims), boolByte(o.connected),
			boolByte(o.reportedNotRun), boolByte(o.reportedUnknown), byte(len(o.statuses)))
		for _, r := range o.statuses {
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

func boolByte(v bool) byte {
	if v {
		return 1
	}
	return 0
}

func (s *orderState) copy() *orderState {
	c := *s
	c.ownerCopied = false
	c.lateWrites, c.orders = slices.Clone(s.lateWrites), slices.Clone(s.orders)
	c.successors = slices.Clone(s.successors)
	return &c
}

// ownerForUpdate returns the owner for a call that may change it.
func (s *orderState) ownerForUpdate() OrderOwner {
	if !s.ownerCopied {
		s.owner, s.ownerCopied = s.owner.Copy(), true
	}
	return s.owner
}

// successorForUpdate returns successor k for a call that changes it.
func (s *orderState) successorForUpdate(k int) OrderSuccessor {
	s.successors[k] = s.successors[k].Copy()
	return s.successors[k]
}

func (s *orderState) now() time.Time { return orderStart.Add(time.Duration(s.seconds) * time.Second) }

// recordDecision records the decision on a request for order i.
func (s *orderState) recordDecision(i int, d once.Decision) {
	o := &s.orders[i]
	switch d.Action {
	case once.ActionSend:
		o.pendingClaims++
	case once.ActionRefuse:
		o.reportedNotRun = true
	case once.ActionReply:
		if !slices.Contains(o.statuses, d.Answer.Status) {
			o.statuses = append(slices.Clone(o.statuses), d.Answer.Status)
		}
	}
}

// handleEvents handles the owner's events. On Ready, all waiting requests try to send the order; on Aborted, they
// receive "not run".
func (s *orderState) handleEvents(events []once.Event) {
	for _, e := range events {
		i := slices.IndexFunc(s.orders, func(o order) bool { return o.id == e.ID })
		switch e.State {
		case once.Ready:
			s.orders[i].pendingClaims += s.orders[i].submits
		case once.Aborted:
			s.orders[i].reportedNotRun = true
		}
	}
}

// recordLookups records the decision of successor k on each order, if its takeover is done. Later decisions are the
// same.
func (s *orderState) recordLookups(k int) {
	if s.successors[k].NextStep().Kind != once.StepDone {
		return
	}
	for i := range s.orders {
		d := s.successors[k].Lookup(s.now(), s.orders[i].id)
		s.recordDecision(i, d)
		s.orders[i].reportedUnknown = s.orders[i].reportedUnknown || d.Action == once.ActionUnknown
	}
}

// startJournalIO starts the journal I/O that is due. It returns a description, or an empty string if none is due.
func (s *orderState) startJournalIO() string {
	switch due := s.ownerForUpdate().NextIO(s.now(), 0); due.Kind {
	case once.IOWrite:
		s.writeInFlight, s.batch = true, due.Batch
		return fmt.Sprintf("owner starts to write batch %d with %d entries", due.Batch.Seq, len(due.Batch.Entries))
	case once.IOReadBack:
		s.handleEvents(s.ownerForUpdate().ReadBackDone(s.now(), s.head))
		return fmt.Sprintf("owner reads back the head: %v at batch %d", s.head.State, s.head.Seq)
	}
	return ""
}

// applyWrite performs a write in the store.
func (s *orderState) applyWrite(w headWrite) once.Result {
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
	h := once.Head{Version: s.batch.ExpectedVersion, State: once.Open, Seq: s.batch.Seq, Rows: s.batch.Rows}
	if s.batch.Final {
		h.State = once.Complete
	}
	return headWrite{h, s.batch.Entries}
}

// finishWrite ends the owner's write in flight. Fault is "", "lost", "late" or "down". The owner receives the result
// only if ownerAlive is set.
func (s *orderState) finishWrite(fault string, ownerAlive bool) {
	w := s.batchWrite()
	s.writeInFlight, s.batch = false, once.Batch{}
	r := s.callStore(w, fault)
	if ownerAlive {
		s.handleEvents(s.ownerForUpdate().WriteDone(s.now(), r))
	}
}

// callStore performs one store call with a fault and returns the result that its caller receives.
func (s *orderState) callStore(w headWrite, fault string) once.Result {
	switch fault {
	case "lost":
		s.applyWrite(w)
		return once.Result{Outcome: once.InDoubt}
	case "late":
		s.lateWrites = append(s.lateWrites, w)
		return once.Result{Outcome: once.InDoubt}
	case "down":
		return once.Result{Outcome: once.Unreachable}
	}
	return s.applyWrite(w)
}
