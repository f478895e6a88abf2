package faults

import (
	"context"
	"fmt"
	"time"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/once"
)

// orderOwner is the part of once.Owner that an entry uses for orders.
type orderOwner interface {
	Begin(now time.Time, id ident.RequestID, deadline time.Time) once.Decision
	Find(now time.Time, id ident.RequestID) once.Decision
	ReadyToSend(now time.Time, id ident.RequestID) bool
	Answered(now time.Time, id ident.RequestID, a once.Answer) bool
	Broken(now time.Time, id ident.RequestID) bool
	Expire(now time.Time) []once.Event
	journalOwner
}

// orderRun is one order at its owner "a", with "b" as the entry that takes over.
type orderRun struct {
	w       *world
	owner   orderOwner
	journal *once.Journal
	next    *once.Successor
	id      ident.RequestID
	// stray is an order whose outcome is unknown and whose answer comes late.
	stray    ident.RequestID
	deadline time.Time
	// dead and paused are about the process of the owner.
	dead, paused bool
	// skipped holds the steps of the owner that a pause delays.
	skipped []func()
	// claims counts the claims that were not sent yet, wires the copies on their way to the upstream.
	claims, wires int
	// attempted says that the owner waits for an answer, silent that the connection has gone silent.
	attempted, silent bool
	// runs counts the executions at the upstream.
	runs    int
	notRun  bool
	unknown bool
	replies []string
}

func orderProtocol(class ident.Class) protocol {
	return protocol{
		name:   fmt.Sprintf("order, class %c", class),
		checks: []check{ownAnswer, refusalTrue, atMostOnce},
		start:  func(w *world) *scenario { return startOrder(w, class) },
	}
}

func startOrder(w *world, class ident.Class) *scenario {
	r := &orderRun{w: w, journal: once.NewJournal(w.store), next: once.NewSuccessor("a", 7, "b")}
	r.owner = breakOwner(w, once.NewOwner("a", 7))
	r.writeJournal()
	ticket := ident.NewTicket(class, "a", 7, w.now)
	r.id, r.stray = ticket.ID("main"), ident.NewTicket(ident.Direct, "a", 7, w.now).ID("stray")
	r.owner.Begin(w.now, r.stray, w.now.Add(time.Second))
	r.owner.ReadyToSend(w.now, r.stray)
	r.owner.Broken(w.now, r.stray)
	// A long deadline lets an owner that resumes still send; with a short one it must not.
	r.deadline = w.now.Add(5 * time.Second)
	if w.coin() {
		r.deadline = w.now.Add(time.Minute)
	}
	return &scenario{
		steps: []step{
			{"request", r.owned(r.request)},
			{"journal the id", r.owned(r.writeJournal)},
			{"claim", r.owned(r.claim)},
			{"send", r.owned(r.send)},
			{"run", r.execute},
			{"answer", r.owned(r.answer)},
			{"journal the outcome", r.owned(r.writeJournal)},
			{"repeat", r.repeat},
			{"take over", r.takeover},
			{"resume", r.resume},
			{"repeat again", r.repeat},
		},
		inject: map[fault]func(){
			processDies: r.die,
			regionFails: r.die,
			pausedHolder: func() {
				r.paused = true
				w.now = w.now.Add(15 * time.Second)
			},
			silentConnection: func() { r.silent = r.wires > 0 || r.runs > 0 },
		},
		noInput: map[fault]string{
			measurementsStop: "the record of an order reads no measurement",
			operators:        "the record of an order reads no configuration",
		},
		finish: r.finish,
	}
}

// owned delays a step of the owner while the process is paused, and drops it when the process is dead.
func (r *orderRun) owned(do func()) func() {
	return func() {
		r.w.now = r.w.now.Add(100 * time.Millisecond)
		switch {
		case r.dead:
		case r.paused:
			r.skipped = append(r.skipped, do)
		default:
			do()
		}
	}
}

func (r *orderRun) die() {
	if !r.dead {
		r.dead = true
		// Bytes that left before the end may still arrive.
		if r.w.coin() {
			r.wires = 0
		}
	}
}

func (r *orderRun) request() { r.decided(r.owner.Begin(r.w.now, r.id, r.deadline)) }

// decided takes note of what a caller is told.
func (r *orderRun) decided(d once.Decision) {
	r.w.note("a caller is told: %v %v", d.Do, d.Kind)
	switch d.Do {
	case once.DoRefuse:
		r.notRun = true
	case once.DoUnknown:
		r.unknown = true
	case once.DoReply:
		r.replies = append(r.replies, string(d.Answer.Body))
	}
}

func (r *orderRun) events(events []once.Event) {
	for _, e := range events {
		r.w.note("event: %v of %s", e.State, e.ID)
		r.notRun = r.notRun || e.ID == r.id && e.State == once.Aborted
	}
}

// writeJournal does what the journal task does in a second.
func (r *orderRun) writeJournal() {
	for range 4 {
		r.w.now = r.w.now.Add(300 * time.Millisecond)
		r.events(r.w.writeJournal(r.owner))
		r.events(r.owner.Expire(r.w.now))
	}
}

func (r *orderRun) claim() {
	if r.owner.ReadyToSend(r.w.now, r.id) {
		r.claims++
	}
}

func (r *orderRun) send() {
	if r.claims > 0 {
		r.w.note("the order is sent")
		r.wires, r.claims, r.attempted = r.wires+r.claims, 0, true
	}
}

// execute lets the upstream run what has arrived. What was sent on a connection that is silent may not have arrived.
func (r *orderRun) execute() {
	if r.wires > 0 && (!r.silent || r.w.coin()) {
		r.runs += r.wires
		r.w.note("the upstream runs the order")
	}
	r.wires = 0
}

// answer brings the late answer of the stray order and then that of the order itself.
func (r *orderRun) answer() {
	r.owner.Answered(r.w.now, r.stray, once.Answer{Status: 200, Body: []byte("stray")})
	switch {
	case !r.attempted:
	case r.runs > 0 && !r.silent:
		r.owner.Answered(r.w.now, r.id, once.Answer{Status: 200, Body: []byte("main")})
	default:
		r.owner.Broken(r.w.now, r.id)
	}
	r.decided(r.owner.Find(r.w.now, r.id))
}

// repeat is a second request with the same id. It may lead to a second claim.
func (r *orderRun) repeat() {
	if r.dead || r.paused {
		r.takeover()
		return
	}
	d := r.owner.Begin(r.w.now, r.id, r.w.now.Add(time.Minute))
	r.decided(d)
	if d.Do != once.DoSend && d.Do != once.DoJournal && d.Do != once.DoWait {
		return
	}
	r.writeJournal()
	if r.owner.ReadyToSend(r.w.now, r.id) {
		r.w.note("the order is sent by a repeated request")
		r.runs++
		r.owner.Answered(r.w.now, r.id, once.Answer{Status: 200, Body: []byte("main")})
	}
	r.decided(r.owner.Find(r.w.now, r.id))
}

// takeover lets entry b seal and read the journal of an owner that it takes for dead.
func (r *orderRun) takeover() {
	if !r.dead && !r.paused {
		return
	}
	if err := r.journal.Takeover(context.Background(), r.next); err != nil {
		r.w.note("the journal is not read: %v", err)
		return
	}
	d := r.next.Verdict(r.w.now, r.id)
	if d.Row != 0 {
		body, err := r.journal.Body(context.Background(), r.id, d.Row)
		if err != nil {
			r.w.note("the recorded answer is not read: %v", err)
			return
		}
		d.Answer.Body = body
	}
	r.decided(d)
}

// resume lets a paused owner go on where it stopped, as if it were still alone.
func (r *orderRun) resume() {
	if r.dead || !r.paused {
		return
	}
	r.paused = false
	for _, do := range r.skipped {
		do()
		r.execute()
	}
	r.skipped = nil
}

func (r *orderRun) finish() string {
	r.w.store.heal()
	r.resume()
	r.execute()
	if !r.dead {
		r.writeJournal()
	}
	r.repeat()
	for _, body := range r.replies {
		r.w.ensure(ownAnswer, body == "main" && r.runs > 0, "the caller got %q after %d runs", body, r.runs)
	}
	r.w.ensure(refusalTrue, !r.notRun || r.runs == 0, "refused as not run, and ran %d times", r.runs)
	r.w.ensure(atMostOnce, r.runs <= 1, "ran %d times", r.runs)
	return r.outcome()
}

func (r *orderRun) outcome() string {
	said := "told nothing final"
	switch {
	case len(r.replies) > 0 && r.unknown:
		said = "told unknown and the answer"
	case len(r.replies) > 0:
		said = "told the answer"
	case r.notRun:
		said = "told not run"
	case r.unknown:
		said = "told unknown"
	}
	return fmt.Sprintf("%s, ran %d times", said, r.runs)
}
