package once

import (
	"bytes"
	"context"
	"fmt"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/kinds"
	"github.com/currantpier/currantpier/store"
)

// table is a Store in memory with switches for faults.
type table struct {
	rows map[string]store.Row
	// down fails every call before it has an effect. lose applies the next transactions but loses their answers.
	// hold loses the answer of the next transactions and applies them when release is called.
	down, lose, hold bool
	held             [][]store.Op
	page             int
}

func newTable() *table { return &table{rows: map[string]store.Row{}, page: 2} }

func (s *table) Get(_ context.Context, key string) (store.Row, error) {
	if s.down {
		return store.Row{}, kinds.Errorf(kinds.StoreDown, "down")
	}
	return s.rows[key], nil
}

func (s *table) Txn(_ context.Context, ops []store.Op) ([]ident.Version, error) {
	switch {
	case s.down:
		return nil, kinds.Errorf(kinds.StoreDown, "down")
	case s.hold:
		s.held = append(s.held, ops)
		return nil, kinds.Errorf(kinds.StoreUnknown, "held")
	}
	versions, err := s.apply(ops)
	if s.lose {
		return nil, kinds.Errorf(kinds.StoreUnknown, "answer lost")
	}
	return versions, err
}

func (s *table) apply(ops []store.Op) ([]ident.Version, error) {
	for _, op := range ops {
		if s.rows[op.Key].Version != op.IfVersion {
			return nil, kinds.Errorf(kinds.Conflict, "%s", op.Key)
		}
	}
	var versions []ident.Version
	for _, op := range ops {
		s.rows[op.Key] = store.Row{Key: op.Key, Value: op.Value, Version: op.IfVersion + 1}
		versions = append(versions, op.IfVersion+1)
	}
	return versions, nil
}

func (s *table) release() {
	for _, ops := range s.held {
		_, _ = s.apply(ops)
	}
	s.held, s.hold = nil, false
}

func (s *table) List(_ context.Context, prefix, after string, limit int) ([]store.Row, error) {
	if s.down {
		return nil, kinds.Errorf(kinds.StoreDown, "down")
	}
	var list []store.Row
	for k, r := range s.rows {
		if strings.HasPrefix(k, prefix) && k > after {
			list = append(list, r)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	return list[:min(len(list), limit, s.page)], nil
}

// proc is an owner process with its store and clock.
type proc struct {
	*Owner
	t   testing.TB
	tab *table
	now time.Time
}

// newProc returns a process that has written its first check batch.
func newProc(t testing.TB, opts ...Option) *proc {
	start := time.Unix(1_800_000_000, 0)
	p := &proc{NewOwner("riga-1", ident.Incarnation(start.UnixNano()), opts...), t, newTable(), start}
	p.flush()
	return p
}

// flush lets time pass and carries out journal I/O until none is due. It returns the events.
func (p *proc) flush() []Event {
	var events []Event
	for range 20 {
		p.now = p.now.Add(retryWait)
		w := p.NextBatch(p.now, MinFlush)
		if w.Kind == WorkNone {
			break
		}
		if again := p.NextBatch(p.now, 0); again.Kind != WorkNone {
			p.t.Fatalf("second piece of journal I/O in flight: %+v", again)
		}
		NewJournal(p.tab).Do(p.t.Context(), w,
			func(r Result) { events = append(events, p.BatchDone(p.now, r)...) },
			func(h Head, err error) {
				if err != nil {
					p.ReadBackFailed()
					return
				}
				events = append(events, p.ReadBack(p.now, h)...)
			})
	}
	return append(events, p.Expire(p.now)...)
}

func (p *proc) id(class ident.Class, suffix string) ident.RequestID {
	return ident.NewTicket(class, "riga-1", p.Incarnation(), p.now).ID(suffix)
}

// begin begins an order with 5 s to its deadline and returns how it goes on.
func (p *proc) begin(id ident.RequestID) Do {
	return p.Begin(p.now, id, p.now.Add(5*time.Second)).Do
}

// send takes an order of either class to state Sent.
func (p *proc) send(id ident.RequestID) {
	p.t.Helper()
	p.begin(id)
	p.flush()
	if !p.ReadyToSend(p.now, id) {
		p.t.Fatalf("%s is not ready to send", id)
	}
}

// takeover returns a successor that sealed and read the journal of p's incarnation.
func (p *proc) takeover() *Successor {
	p.t.Helper()
	s := NewSuccessor("riga-1", p.Incarnation(), "riga-2")
	if err := NewJournal(p.tab).Takeover(p.t.Context(), s); err != nil {
		p.t.Fatal(err)
	}
	return s
}

var ok200 = Answer{Status: 200, Type: "text/plain", Body: []byte("order 7 accepted")}

// Guards against an answer that doesn't follow from the record: a second send, a wrong "not run", a lost answer.
func TestBeginAgain(t *testing.T) {
	abort := func(p *proc, id ident.RequestID) { p.begin(id); p.flush(); p.Abort(p.now, id) }
	late := func(p *proc, id ident.RequestID) { p.begin(id); p.flush(); p.now = p.now.Add(5 * time.Second) }
	storeDown := func(p *proc, id ident.RequestID) { p.now = p.now.Add(StoreFresh + 1); p.begin(id); p.flush() }
	tests := []struct {
		name  string
		class ident.Class
		do    func(p *proc, id ident.RequestID)
		want  Do
	}{
		{"new journalled", 'j', func(*proc, ident.RequestID) {}, DoJournal},
		{"new direct", 'd', func(*proc, ident.RequestID) {}, DoSend},
		{"waiting for the journal", 'j', func(p *proc, id ident.RequestID) { p.begin(id) }, DoWait},
		{"sent", 'j', (*proc).send, DoWait},
		{"answered", 'j', func(p *proc, id ident.RequestID) { p.send(id); p.Answered(p.now, id, ok200) }, DoReply},
		{"broken", 'd', func(p *proc, id ident.RequestID) { p.send(id); p.Broken(p.now, id) }, DoUnknown},
		{"aborted", 'j', abort, DoRefuse},
		{"aborted direct", 'd', abort, DoRefuse},
		{"past its deadline", 'j', late, DoRefuse},
		{"refused at admission", 'd', func(p *proc, id ident.RequestID) { p.Abort(p.now, id) }, DoRefuse},
		{"deadline had passed", 'd', func(p *proc, id ident.RequestID) { p.Begin(p.now, id, p.now) }, DoRefuse},
		{"store down", 'j', storeDown, DoRefuse},
		{"stopping", 'd', func(p *proc, _ ident.RequestID) { p.StopAccepting() }, DoRefuse},
		{"day old", 'd', func(p *proc, _ ident.RequestID) { p.now = p.now.Add(Keep + time.Minute) }, DoUnknown},
		{"clock set back", 'd', func(p *proc, _ ident.RequestID) { p.Expire(p.now.Add(2 * Keep)) }, DoUnknown},
	}
	for _, tt := range tests {
		p := newProc(t)
		id := p.id(tt.class, "x")
		tt.do(p, id)
		if got := p.begin(id); got != tt.want {
			t.Errorf("%s: Begin gives %v, want %v", tt.name, got, tt.want)
		}
	}
	p := newProc(t)
	foreign := ident.NewTicket('j', "riga-1", p.Incarnation()+1, p.now).ID("x")
	future := ident.NewTicket('d', "riga-1", p.Incarnation(), p.now.Add(time.Hour)).ID("x")
	for id, want := range map[ident.RequestID]Do{foreign: DoForward, future: DoUnknown, "x": DoRefuse} {
		if got := p.begin(id); got != want {
			t.Errorf("Begin(%s) gives %v, want %v", id, got, want)
		}
	}
}

// Guards against a second claim of the same order and against a send before the journal write or after the deadline.
func TestReadyToSend(t *testing.T) {
	p := newProc(t)
	j, late := p.id('j', "x"), p.id('d', "late")
	p.begin(j)
	if p.ReadyToSend(p.now, j) {
		t.Error("claimed before the id was in the journal")
	}
	if got := p.flush(); !cmp.Equal(got, []Event{{j, Ready}}) {
		t.Errorf("events of the batch: %v", got)
	}
	if !p.ReadyToSend(p.now, j) || p.ReadyToSend(p.now, j) {
		t.Error("want exactly one claim")
	}
	if p.Abort(p.now, j) {
		t.Error("a sent order was aborted")
	}
	if !p.NotRun(p.now, j) || !p.ReadyToSend(p.now, j) {
		t.Error("want a new claim after an attempt that did not run")
	}
	p.begin(late)
	p.now = p.now.Add(5 * time.Second)
	if p.ReadyToSend(p.now, late) {
		t.Error("claimed past the deadline")
	}
	if got := p.Expire(p.now); !cmp.Equal(got, []Event{{late, Aborted}}) {
		t.Errorf("events of Expire: %v; requests that wait for the order must be woken", got)
	}
}

// Guards against guessing the result of a batch whose answer was lost, and against a changed batch on the second try.
func TestLostBatch(t *testing.T) {
	tests := []struct {
		name  string
		fault func(*table)
		heal  func(*table)
	}{
		{"answer lost after effect", func(s *table) { s.lose = true }, func(s *table) { s.lose = false }},
		{"never arrived", func(s *table) { s.hold = true }, func(s *table) { s.hold, s.held = false, nil }},
		{"arrived late", func(s *table) { s.hold = true }, (*table).release},
		{"down", func(s *table) { s.down = true }, func(s *table) { s.down = false }},
	}
	for _, tt := range tests {
		p := newProc(t)
		id, second := p.id('j', "x"), p.id('j', "y")
		p.begin(id)
		tt.fault(p.tab)
		p.now = p.now.Add(MinFlush)
		w := p.NextBatch(p.now, MinFlush)
		if got := p.BatchDone(p.now, NewJournal(p.tab).Write(t.Context(), w.Batch)); len(got) > 0 {
			t.Errorf("%s: events %v before the batch is resolved", tt.name, got)
		}
		p.begin(second)
		tt.heal(p.tab)
		if got := p.flush(); !cmp.Equal(got, []Event{{id, Ready}, {second, Ready}}) {
			t.Errorf("%s: events %v", tt.name, got)
		}
		if got := p.takeover().Unknown(); !cmp.Equal(got, []ident.RequestID{id, second}) {
			t.Errorf("%s: the journal has %v", tt.name, got)
		}
	}
}

// Guards against a send after a seal, and against tickets of the sealed incarnation.
func TestSealStopsOwner(t *testing.T) {
	p := newProc(t)
	old := p.Incarnation()
	ready, sent, direct := p.id('j', "ready"), p.id('j', "sent"), p.id('d', "direct")
	p.send(sent)
	p.begin(ready)
	p.begin(direct)
	p.flush()
	late, unseen := p.id('j', "late"), p.id('d', "unseen")
	s := p.takeover()
	if got := s.Verdict(p.now, late); got.Do != DoRefuse {
		t.Errorf("verdict on an id that is not in the journal: %v", got.Do)
	}
	p.begin(late)
	if got := p.flush(); !cmp.Equal(got, []Event{{late, Aborted}, {ready, Aborted}}) {
		t.Errorf("events of the sealed batch: %v", got)
	}
	for id, want := range map[ident.RequestID]bool{late: false, ready: false, direct: true} {
		if got := p.ReadyToSend(p.now, id); got != want {
			t.Errorf("%s may be sent: %v", id, got)
		}
	}
	p.NotRun(p.now, sent)
	if p.ReadyToSend(p.now, sent) {
		t.Error("a journalled order was sent again after the seal")
	}
	if got := p.begin(unseen); got != DoRefuse {
		t.Errorf("new id of the sealed incarnation: %v", got)
	}
	next := p.id('j', "next")
	if p.Incarnation() <= old {
		t.Error("no new incarnation")
	}
	if p.send(next); !p.Answered(p.now, next, ok200) {
		t.Error("an order of the new incarnation did not run")
	}
}

// Guards against wrong verdicts of a successor, above all "not run" for an order that may have run.
func TestVerdict(t *testing.T) {
	answered := func(p *proc, id ident.RequestID) { p.send(id); p.Answered(p.now, id, ok200); p.flush() }
	stopped := func(p *proc, _ ident.RequestID) { p.StopAccepting(); p.flush() }
	tests := []struct {
		name  string
		class ident.Class
		do    func(p *proc, id ident.RequestID)
		want  Do
	}{
		{"unseen", 'j', func(*proc, ident.RequestID) {}, DoRefuse},
		{"unseen direct", 'd', func(*proc, ident.RequestID) {}, DoUnknown},
		{"unseen direct, complete", 'd', stopped, DoRefuse},
		{"not in the journal yet", 'j', func(p *proc, id ident.RequestID) { p.begin(id) }, DoRefuse},
		{"sent", 'j', (*proc).send, DoUnknown},
		{"sent direct", 'd', (*proc).send, DoUnknown},
		{"answered", 'j', answered, DoReply},
		{"answered direct", 'd', answered, DoReply},
		{"answered, complete", 'd', func(p *proc, id ident.RequestID) { answered(p, id); stopped(p, id) }, DoReply},
		{"broken", 'd', func(p *proc, id ident.RequestID) { p.send(id); p.Broken(p.now, id); stopped(p, id) }, DoUnknown},
		{"aborted", 'j', func(p *proc, id ident.RequestID) { p.begin(id); p.flush(); p.Abort(p.now, id); p.flush() }, DoRefuse},
		{"aborted, outcome not written", 'j', func(p *proc, id ident.RequestID) { p.begin(id); p.flush(); p.Abort(p.now, id) }, DoUnknown},
		{"row lost", 'j', func(p *proc, id ident.RequestID) {
			answered(p, id)
			delete(p.tab.rows, rowKey("riga-1", p.Incarnation(), 2))
			delete(p.tab.rows, rowKey("riga-1", p.Incarnation(), 3))
		}, DoUnknown},
		{"day old", 'j', func(p *proc, _ ident.RequestID) { p.now = p.now.Add(Keep + time.Minute) }, DoUnknown},
	}
	for _, tt := range tests {
		p := newProc(t)
		id := p.id(tt.class, "x")
		tt.do(p, id)
		for _, by := range []ident.VM{"riga-2", "riga-3"} {
			s := NewSuccessor("riga-1", p.Incarnation(), by)
			if got := s.Verdict(p.now, id); got.Do != DoUnknown {
				t.Errorf("%s: verdict %v before the seal", tt.name, got.Do)
			}
			p.tab.lose = by == "riga-2"
			if err := NewJournal(p.tab).Takeover(t.Context(), s); err != nil {
				t.Fatal(err)
			}
			p.tab.lose = false
			d := s.Verdict(p.now, id)
			if d.Do != tt.want {
				t.Errorf("%s: verdict of %s is %v, want %v", tt.name, by, d.Do, tt.want)
			}
			if d.Do != DoReply {
				continue
			}
			body, err := NewJournal(p.tab).Body(t.Context(), id, d.Row)
			if err != nil || d.Answer.Status != 200 || !bytes.Equal(body, ok200.Body) {
				t.Errorf("%s: answer %+v with body %q, %v", tt.name, d.Answer, body, err)
			}
		}
	}
}

// Guards against a successor that decides from a journal that can still grow.
func TestSealRace(t *testing.T) {
	p := newProc(t)
	id := p.id('j', "x")
	s := NewSuccessor("riga-1", p.Incarnation(), "riga-2")
	h, err := NewJournal(p.tab).ReadHead(t.Context(), "riga-1", p.Incarnation())
	if err != nil {
		t.Fatal(err)
	}
	s.HeadRead(h)
	p.send(id)
	p.tab.down = true
	if err := NewJournal(p.tab).Takeover(t.Context(), s); kinds.Of(err) != kinds.StoreDown {
		t.Errorf("takeover with the store down: %v", err)
	}
	p.tab.down = false
	if err := NewJournal(p.tab).Takeover(t.Context(), s); err != nil {
		t.Fatal(err)
	}
	if got := s.Verdict(p.now, id); got.Do != DoUnknown {
		t.Errorf("verdict on an order that was sent between the read and the seal: %v", got.Do)
	}
}

// Guards against an answer that is replaced by a later row.
func TestFirstOutcomeCounts(t *testing.T) {
	id := ident.NewTicket('j', "riga-1", 1, time.Unix(0, 0)).ID("x")
	s := NewSuccessor("riga-1", 1, "riga-2")
	s.HeadRead(Head{Version: 3, State: Sealed, Seq: 2, Rows: 2})
	s.RowsRead([]Row{{1, []Entry{{id, Answered, Answer{Status: 201}}}}, {2, []Entry{{id, Unknown, Answer{}}}}}, true)
	if d := s.Verdict(time.Unix(0, 0), id); d.Do != DoReply || d.Answer.Status != 201 {
		t.Errorf("verdict %+v", d)
	}
}

// busyTable writes the head before each transaction, as an owner does that is alive and near.
type busyTable struct{ *table }

func (s busyTable) Txn(ctx context.Context, ops []store.Op) ([]ident.Version, error) {
	row := s.rows[ops[0].Key]
	row.Version++
	s.rows[row.Key] = row
	return s.table.Txn(ctx, ops)
}

// Guards against a takeover that never ends.
func TestSealOfBusyOwner(t *testing.T) {
	p := newProc(t)
	s := NewSuccessor("riga-1", p.Incarnation(), "riga-2")
	if err := NewJournal(busyTable{p.tab}).Takeover(t.Context(), s); kinds.Of(err) != kinds.Conflict {
		t.Errorf("takeover of a busy owner: %v", err)
	}
	if got := s.Verdict(p.now, p.id('j', "x")); got.Do != DoUnknown {
		t.Errorf("verdict without a seal: %v", got.Do)
	}
}

// Guards against class j tickets that would have to wait too long, or whose orders can't be journalled at all.
func TestTicketClass(t *testing.T) {
	tests := []struct {
		entries int
		age     time.Duration
		want    ident.Class
	}{
		{1, 0, 'j'}, {12, StoreFresh, 'j'}, {50, 0, 'j'}, {51, 0, 'd'}, {3200, 0, 'd'}, {12, StoreFresh + 1, 'd'},
	}
	for _, tt := range tests {
		p := newProc(t)
		now := p.Snapshot(p.now).Written.Add(tt.age)
		if tk, ok := p.Ticket(now, FlushInterval(tt.entries)); !ok || tk.Class != tt.want {
			t.Errorf("%d entries, last write %v ago: class %c, want %c", tt.entries, tt.age, tk.Class, tt.want)
		}
	}
	if got := FlushInterval(1); got != MinFlush {
		t.Errorf("flush interval of one entry is %v", got)
	}
	fresh := NewOwner("riga-1", 1)
	if tk, _ := fresh.Ticket(time.Unix(0, 0), MinFlush); tk.Class != 'd' {
		t.Error("class j before the first write")
	}
	p := newProc(t)
	for range 100 {
		p.flush()
	}
	if tk, _ := p.Ticket(p.now, MinFlush); tk.Class != 'j' {
		t.Error("an idle process with the store up lost class j")
	}
}

// Guards against unbounded memory, and against a refused id that is accepted when memory is free again.
func TestFullRecords(t *testing.T) {
	p := newProc(t, WithRecords(2), WithBodyBytes(len(ok200.Body)))
	a, b, c := p.id('d', "a"), p.id('d', "b"), p.id('d', "c")
	for _, id := range []ident.RequestID{a, b} {
		p.send(id)
		p.Answered(p.now, id, ok200)
	}
	if got := p.Find(p.now, b).Answer; got.Status != 200 || !got.NotKept || got.Body != nil {
		t.Errorf("answer beyond the limit on bodies: %+v", got)
	}
	if _, ok := p.Ticket(p.now, MinFlush); ok || p.begin(c) != DoRefuse {
		t.Error("a new order was accepted although the records are full")
	}
	// The records of a and b go, but no call says that c is accepted, whatever the clock says.
	p.Expire(p.now.Add(2 * Keep))
	if got := p.begin(c); got != DoUnknown {
		t.Errorf("refused id a day later: %v", got)
	}
	p = newProc(t, WithRecords(1))
	p.Abort(p.now, p.id('d', "a"))
	p.now = p.now.Add(dropAfter - time.Minute)
	c = p.id('d', "c")
	first := p.begin(c)
	p.now = p.now.Add(time.Minute)
	p.Expire(p.now)
	tk, ok := p.Ticket(p.now, MinFlush)
	if first != DoRefuse || p.begin(c) != DoRefuse || !ok || p.begin(tk.ID("new")) != DoSend {
		t.Error("want the refused id refused for good and a new ticket accepted")
	}
}

// Guards against records that are lost too early or kept for ever.
func TestExpire(t *testing.T) {
	p := newProc(t)
	id := p.id('d', "x")
	p.send(id)
	p.Answered(p.now, id, ok200)
	for _, tt := range []struct {
		age  time.Duration
		want Do
	}{{Keep, DoReply}, {dropAfter, DoUnknown}} {
		p.Expire(p.now.Add(tt.age))
		if got := p.Find(p.now, id).Do; got != tt.want {
			t.Errorf("after %v: %v, want %v", tt.age, got, tt.want)
		}
	}
	if s := p.Snapshot(p.now); len(s.Records) != 0 || s.BodyBytes != 0 {
		t.Errorf("records left: %+v", s)
	}
}

// Guards against an answer that changes: by a second answer, or when the connection's buffer is used again.
func TestAnswerStays(t *testing.T) {
	p := newProc(t)
	id := p.id('d', "x")
	p.send(id)
	buf := []byte("accepted")
	p.Answered(p.now, id, Answer{Status: 200, Body: buf})
	copy(buf, "REJECTED")
	if p.Answered(p.now, id, Answer{Status: 500}) {
		t.Error("a second answer was recorded")
	}
	if got := p.Find(p.now, id).Answer.Body; string(got) != "accepted" {
		t.Errorf("recorded body: %q", got)
	}
}

// Guards against more store writes than the process's part: too soon after the last one, or without pause in an outage.
func TestBatchPace(t *testing.T) {
	p := newProc(t)
	p.begin(p.id('j', "x"))
	p.NextBatch(p.now, MinFlush)
	p.BatchDone(p.now, Result{Written, 2})
	p.begin(p.id('j', "y"))
	write := func(wait time.Duration, r Result) {
		t.Helper()
		if early := p.NextBatch(p.now.Add(wait-1), MinFlush); early.Kind != WorkNone {
			t.Errorf("work %d earlier than %v after the last", early.Kind, wait)
		}
		p.now = p.now.Add(wait)
		if w := p.NextBatch(p.now, MinFlush); w.Kind != WorkWrite {
			t.Errorf("work %d after %v, want a write", w.Kind, wait)
		}
		p.BatchDone(p.now, r)
	}
	write(MinFlush, Result{Outcome: Down})
	write(retryWait, Result{Outcome: Down})
	write(retryWait, Result{Written, 3})
}

// Guards against transactions too large for the store, and against answers too large for the record.
func TestBatchBounds(t *testing.T) {
	p := newProc(t, WithBatch(3, 10_000))
	var ids []ident.RequestID
	for i := range 7 {
		ids = append(ids, p.id('d', fmt.Sprint("x", i)))
		p.begin(ids[i])
		p.ReadyToSend(p.now, ids[i])
	}
	for i, id := range ids {
		body := make([]byte, 3000)
		if i == 0 {
			body = make([]byte, MaxBody)
		}
		p.Answered(p.now, id, Answer{Status: 200, Body: body})
	}
	var sizes []int
	for range 8 {
		p.now = p.now.Add(MinFlush)
		w := p.NextBatch(p.now, MinFlush)
		if w.Kind != WorkWrite {
			break
		}
		sizes = append(sizes, len(w.Batch.Entries))
		p.BatchDone(p.now, NewJournal(p.tab).Write(t.Context(), w.Batch))
	}
	if !cmp.Equal(sizes, []int{1, 2, 2, 2}) {
		t.Errorf("entries of the batches: %v", sizes)
	}
	long := p.id('d', "long")
	p.send(long)
	p.Answered(p.now, long, Answer{Status: 201, Body: make([]byte, MaxBody+1)})
	p.flush()
	if got := p.takeover().Verdict(p.now, long); got.Do != DoReply || got.Answer.Status != 201 || !got.Answer.NotKept {
		t.Errorf("verdict on an order with a long answer: %+v", got)
	}
}

// Guards against a final seal while an order is in progress, and against a stop that never ends after a foreign seal.
func TestPlannedStop(t *testing.T) {
	p := newProc(t, WithBatch(1, 1000))
	ids := []ident.RequestID{p.id('d', "x"), p.id('d', "y")}
	p.send(ids[0])
	p.send(ids[1])
	p.StopAccepting()
	p.flush()
	if p.Drained() || p.Finished() {
		t.Error("finished with an order in progress")
	}
	p.Answered(p.now, ids[0], ok200)
	p.Answered(p.now, ids[1], ok200)
	p.flush()
	for _, id := range ids {
		if got := p.takeover().Verdict(p.now, id).Do; got != DoReply {
			t.Errorf("verdict on %s after the stop: %v", id, got)
		}
	}
	if h, _ := NewJournal(p.tab).ReadHead(t.Context(), "riga-1", p.Incarnation()); h.State != Complete || !p.Finished() {
		t.Errorf("head after the stop: %+v", h)
	}
	p = newProc(t)
	p.takeover()
	p.StopAccepting()
	p.flush()
	if !p.Finished() {
		t.Error("a stop after a foreign seal does not end")
	}
}
