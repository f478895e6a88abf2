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

// fakeStore is an in-memory Store with injected faults.
type fakeStore struct {
	rows map[string]store.Row
	// unreachable fails every call before it takes effect. loseAnswers applies transactions but loses their responses.
	// delayWrites loses the responses of transactions and keeps them back until applyDelayed.
	unreachable, loseAnswers, delayWrites bool
	delayed                               [][]store.Op
	pageRows                              int
}

func newFakeStore() *fakeStore { return &fakeStore{rows: map[string]store.Row{}, pageRows: 2} }

func (s *fakeStore) Get(_ context.Context, key string) (store.Row, error) {
	if s.unreachable {
		return store.Row{}, kinds.Errorf(kinds.StoreDown, "store unreachable")
	}
	return s.rows[key], nil
}

func (s *fakeStore) Txn(_ context.Context, ops []store.Op) ([]ident.Version, error) {
	switch {
	case s.unreachable:
		return nil, kinds.Errorf(kinds.StoreDown, "store unreachable")
	case s.delayWrites:
		s.delayed = append(s.delayed, ops)
		return nil, kinds.Errorf(kinds.StoreUnknown, "write delayed")
	}
	versions, err := s.apply(ops)
	if s.loseAnswers {
		return nil, kinds.Errorf(kinds.StoreUnknown, "response lost")
	}
	return versions, err
}

func (s *fakeStore) apply(ops []store.Op) ([]ident.Version, error) {
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

func (s *fakeStore) applyDelayed() {
	for _, ops := range s.delayed {
		_, _ = s.apply(ops)
	}
	s.delayed, s.delayWrites = nil, false
}

func (s *fakeStore) List(_ context.Context, prefix, after string, limit int) ([]store.Row, error) {
	if s.unreachable {
		return nil, kinds.Errorf(kinds.StoreDown, "store unreachable")
	}
	var list []store.Row
	for k, r := range s.rows {
		if strings.HasPrefix(k, prefix) && k > after {
			list = append(list, r)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	return list[:min(len(list), limit, s.pageRows)], nil
}

// testOwner is an Owner with its store and clock.
type testOwner struct {
	*Owner
	t     testing.TB
	store *fakeStore
	now   time.Time
}

// newTestOwner returns an owner that has written its first empty batch.
func newTestOwner(t testing.TB, opts ...Option) *testOwner {
	start := time.Unix(1_800_000_000, 0)
	p := &testOwner{NewOwner("riga-1", ident.Incarnation(start.UnixNano()), opts...), t, newFakeStore(), start}
	p.runJournal()
	return p
}

// runJournal advances the clock and performs journal I/O until none is due. It returns the events.
func (p *testOwner) runJournal() []Event {
	var events []Event
	for range 20 {
		p.now = p.now.Add(retryDelay)
		w := p.NextIO(p.now, MinFlushInterval)
		if w.Kind == IONone {
			break
		}
		if again := p.NextIO(p.now, 0); again.Kind != IONone {
			p.t.Fatalf("second journal I/O in flight: %+v", again)
		}
		NewJournal(p.store).Perform(p.t.Context(), w,
			func(r Result) { events = append(events, p.WriteDone(p.now, r)...) },
			func(h Head, err error) {
				if err != nil {
					p.ReadBackFailed()
					return
				}
				events = append(events, p.ReadBackDone(p.now, h)...)
			})
	}
	return append(events, p.Expire(p.now)...)
}

func (p *testOwner) newID(class ident.Class, suffix string) ident.RequestID {
	return ident.NewTicket(class, "riga-1", p.Incarnation(), p.now).ID(suffix)
}

// begin begins an order whose deadline is 5 s ahead.
func (p *testOwner) begin(id ident.RequestID) Action {
	return p.Begin(p.now, id, p.now.Add(5*time.Second)).Action
}

// send takes an order of either class to state Sent.
func (p *testOwner) send(id ident.RequestID) {
	p.t.Helper()
	p.begin(id)
	p.runJournal()
	if !p.ClaimSend(p.now, id) {
		p.t.Fatalf("%s is not ready to send", id)
	}
}

// takeover returns a Successor that has sealed and read the journal of p's current incarnation.
func (p *testOwner) takeover() *Successor {
	p.t.Helper()
	s := NewSuccessor("riga-1", p.Incarnation(), "riga-2")
	if err := NewJournal(p.store).SealAndRead(p.t.Context(), s); err != nil {
		p.t.Fatal(err)
	}
	return s
}

var ok200 = Response{Status: 200, ContentType: "text/plain", Body: []byte("order 7 accepted")}

// Guards against a decision that contradicts the record: a second send, a wrong "not run", or a lost answer.
func TestBeginDecision(t *testing.T) {
	abort := func(p *testOwner, id ident.RequestID) { p.begin(id); p.runJournal(); p.Abort(p.now, id) }
	late := func(p *testOwner, id ident.RequestID) {
		p.begin(id)
		p.runJournal()
		p.now = p.now.Add(5 * time.Second)
	}
	storeDown := func(p *testOwner, id ident.RequestID) {
		p.now = p.now.Add(StoreUpTimeout + 1)
		p.begin(id)
		p.runJournal()
	}
	tests := []struct {
		name  string
		class ident.Class
		do    func(p *testOwner, id ident.RequestID)
		want  Action
	}{
		{"new journalled", 'j', func(*testOwner, ident.RequestID) {}, ActionJournal},
		{"new direct", 'd', func(*testOwner, ident.RequestID) {}, ActionSend},
		{"waiting for the journal", 'j', func(p *testOwner, id ident.RequestID) { p.begin(id) }, ActionWait},
		{"sent", 'j', (*testOwner).send, ActionWait},
		{"answered", 'j', func(p *testOwner, id ident.RequestID) { p.send(id); p.RecordAnswer(p.now, id, ok200) }, ActionReply},
		{"connection broken", 'd', func(p *testOwner, id ident.RequestID) { p.send(id); p.RecordUnknown(p.now, id) }, ActionUnknown},
		{"aborted", 'j', abort, ActionRefuse},
		{"aborted direct", 'd', abort, ActionRefuse},
		{"past its deadline", 'j', late, ActionRefuse},
		{"refused at admission", 'd', func(p *testOwner, id ident.RequestID) { p.Abort(p.now, id) }, ActionRefuse},
		{"deadline had passed", 'd', func(p *testOwner, id ident.RequestID) { p.Begin(p.now, id, p.now) }, ActionRefuse},
		{"store down", 'j', storeDown, ActionRefuse},
		{"stopping", 'd', func(p *testOwner, _ ident.RequestID) { p.StopAccepting() }, ActionRefuse},
		{"older than Retention", 'd', func(p *testOwner, _ ident.RequestID) {
			p.now = p.now.Add(Retention + time.Minute)
		}, ActionUnknown},
		{"clock set back", 'd', func(p *testOwner, _ ident.RequestID) { p.Expire(p.now.Add(2 * Retention)) }, ActionUnknown},
	}
	for _, tt := range tests {
		p := newTestOwner(t)
		id := p.newID(tt.class, "x")
		tt.do(p, id)
		if got := p.begin(id); got != tt.want {
			t.Errorf("%s: Begin gives %v, want %v", tt.name, got, tt.want)
		}
	}
	p := newTestOwner(t)
	otherOwner := ident.NewTicket('j', "riga-1", p.Incarnation()+1, p.now).ID("x")
	future := ident.NewTicket('d', "riga-1", p.Incarnation(), p.now.Add(time.Hour)).ID("x")
	for id, want := range map[ident.RequestID]Action{otherOwner: ActionForward, future: ActionUnknown, "x": ActionRefuse} {
		if got := p.begin(id); got != want {
			t.Errorf("Begin(%s) gives %v, want %v", id, got, want)
		}
	}
}

// Guards against two claims of one order, and against a send before the journal write or after the deadline.
func TestClaimSend(t *testing.T) {
	p := newTestOwner(t)
	j, late := p.newID('j', "x"), p.newID('d', "late")
	p.begin(j)
	if p.ClaimSend(p.now, j) {
		t.Error("claimed before the id was in the journal")
	}
	if got := p.runJournal(); !cmp.Equal(got, []Event{{j, Ready}}) {
		t.Errorf("events of the batch: %v", got)
	}
	if !p.ClaimSend(p.now, j) || p.ClaimSend(p.now, j) {
		t.Error("want exactly one claim")
	}
	if p.Abort(p.now, j) {
		t.Error("a sent order was aborted")
	}
	if !p.RecordNotRun(p.now, j) || !p.ClaimSend(p.now, j) {
		t.Error("want a new claim after an attempt that did not run")
	}
	p.begin(late)
	p.now = p.now.Add(5 * time.Second)
	if p.ClaimSend(p.now, late) {
		t.Error("claimed past the deadline")
	}
	if got := p.Expire(p.now); !cmp.Equal(got, []Event{{late, Aborted}}) {
		t.Errorf("events of Expire: %v, want the order aborted", got)
	}
}

// Guards against an assumed result of a batch whose response was lost, and against a retry with other content.
func TestUnresolvedBatch(t *testing.T) {
	tests := []struct {
		name   string
		fault  func(*fakeStore)
		repair func(*fakeStore)
	}{
		{"response lost after the write", func(s *fakeStore) { s.loseAnswers = true }, func(s *fakeStore) { s.loseAnswers = false }},
		{"never arrived", func(s *fakeStore) { s.delayWrites = true }, func(s *fakeStore) { s.delayWrites, s.delayed = false, nil }},
		{"applied late", func(s *fakeStore) { s.delayWrites = true }, (*fakeStore).applyDelayed},
		{"store unreachable", func(s *fakeStore) { s.unreachable = true }, func(s *fakeStore) { s.unreachable = false }},
	}
	for _, tt := range tests {
		p := newTestOwner(t)
		id, second := p.newID('j', "x"), p.newID('j', "y")
		p.begin(id)
		tt.fault(p.store)
		p.now = p.now.Add(MinFlushInterval)
		w := p.NextIO(p.now, MinFlushInterval)
		if got := p.WriteDone(p.now, NewJournal(p.store).Write(t.Context(), w.Batch)); len(got) > 0 {
			t.Errorf("%s: events %v before the batch is resolved", tt.name, got)
		}
		p.begin(second)
		tt.repair(p.store)
		if got := p.runJournal(); !cmp.Equal(got, []Event{{id, Ready}, {second, Ready}}) {
			t.Errorf("%s: events %v", tt.name, got)
		}
		if got := p.takeover().Unknown(); !cmp.Equal(got, []ident.RequestID{id, second}) {
			t.Errorf("%s: the journal has %v", tt.name, got)
		}
	}
}

// Guards against a send of a class j order after the seal, and against new orders of the sealed incarnation.
func TestSealStopsOwner(t *testing.T) {
	p := newTestOwner(t)
	old := p.Incarnation()
	ready, sent, direct := p.newID('j', "ready"), p.newID('j', "sent"), p.newID('d', "direct")
	p.send(sent)
	p.begin(ready)
	p.begin(direct)
	p.runJournal()
	late, unused := p.newID('j', "late"), p.newID('d', "unseen")
	s := p.takeover()
	if got := s.Lookup(p.now, late); got.Action != ActionRefuse {
		t.Errorf("decision on an id that is not in the journal: %v", got.Action)
	}
	p.begin(late)
	if got := p.runJournal(); !cmp.Equal(got, []Event{{late, Aborted}, {ready, Aborted}}) {
		t.Errorf("events of the sealed batch: %v", got)
	}
	for id, want := range map[ident.RequestID]bool{late: false, ready: false, direct: true} {
		if got := p.ClaimSend(p.now, id); got != want {
			t.Errorf("%s may be sent: %v", id, got)
		}
	}
	p.RecordNotRun(p.now, sent)
	if p.ClaimSend(p.now, sent) {
		t.Error("a journalled order was sent again after the seal")
	}
	if got := p.begin(unused); got != ActionRefuse {
		t.Errorf("new id of the sealed incarnation: %v", got)
	}
	next := p.newID('j', "next")
	if p.Incarnation() <= old {
		t.Error("the incarnation did not change after the seal")
	}
	if p.send(next); !p.RecordAnswer(p.now, next, ok200) {
		t.Error("an order of the new incarnation did not run")
	}
}

// Guards against wrong decisions of a successor, in particular "not run" for an order that may have run.
func TestSuccessorLookup(t *testing.T) {
	answered := func(p *testOwner, id ident.RequestID) { p.send(id); p.RecordAnswer(p.now, id, ok200); p.runJournal() }
	stopped := func(p *testOwner, _ ident.RequestID) { p.StopAccepting(); p.runJournal() }
	tests := []struct {
		name  string
		class ident.Class
		do    func(p *testOwner, id ident.RequestID)
		want  Action
	}{
		{"never requested", 'j', func(*testOwner, ident.RequestID) {}, ActionRefuse},
		{"direct, never requested", 'd', func(*testOwner, ident.RequestID) {}, ActionUnknown},
		{"direct, never requested, journal complete", 'd', stopped, ActionRefuse},
		{"requested, not in the journal", 'j', func(p *testOwner, id ident.RequestID) { p.begin(id) }, ActionRefuse},
		{"sent", 'j', (*testOwner).send, ActionUnknown},
		{"sent direct", 'd', (*testOwner).send, ActionUnknown},
		{"answered", 'j', answered, ActionReply},
		{"answered direct", 'd', answered, ActionReply},
		{"answered, journal complete", 'd', func(p *testOwner, id ident.RequestID) { answered(p, id); stopped(p, id) }, ActionReply},
		{"connection broken", 'd', func(p *testOwner, id ident.RequestID) {
			p.send(id)
			p.RecordUnknown(p.now, id)
			stopped(p, id)
		}, ActionUnknown},
		{"aborted", 'j', func(p *testOwner, id ident.RequestID) {
			p.begin(id)
			p.runJournal()
			p.Abort(p.now, id)
			p.runJournal()
		}, ActionRefuse},
		{"aborted, outcome not written", 'j', func(p *testOwner, id ident.RequestID) {
			p.begin(id)
			p.runJournal()
			p.Abort(p.now, id)
		}, ActionUnknown},
		{"row lost", 'j', func(p *testOwner, id ident.RequestID) {
			answered(p, id)
			delete(p.store.rows, rowKey("riga-1", p.Incarnation(), 2))
			delete(p.store.rows, rowKey("riga-1", p.Incarnation(), 3))
		}, ActionUnknown},
		{"older than Retention", 'j', func(p *testOwner, _ ident.RequestID) {
			p.now = p.now.Add(Retention + time.Minute)
		}, ActionUnknown},
	}
	for _, tt := range tests {
		p := newTestOwner(t)
		id := p.newID(tt.class, "x")
		tt.do(p, id)
		for _, by := range []ident.VM{"riga-2", "riga-3"} {
			s := NewSuccessor("riga-1", p.Incarnation(), by)
			if got := s.Lookup(p.now, id); got.Action != ActionUnknown {
				t.Errorf("%s: decision %v before the seal", tt.name, got.Action)
			}
			p.store.loseAnswers = by == "riga-2"
			if err := NewJournal(p.store).SealAndRead(t.Context(), s); err != nil {
				t.Fatal(err)
			}
			p.store.loseAnswers = false
			d := s.Lookup(p.now, id)
			if d.Action != tt.want {
				t.Errorf("%s: decision of %s is %v, want %v", tt.name, by, d.Action, tt.want)
			}
			if d.Action != ActionReply {
				continue
			}
			body, err := NewJournal(p.store).Body(t.Context(), id, d.BodyRow)
			if err != nil || d.Answer.Status != 200 || !bytes.Equal(body, ok200.Body) {
				t.Errorf("%s: answer %+v with body %q, %v", tt.name, d.Answer, body, err)
			}
		}
	}
}

// Guards against a successor that answers from a journal to which the owner can still append.
func TestWriteBetweenReadAndSeal(t *testing.T) {
	p := newTestOwner(t)
	id := p.newID('j', "x")
	s := NewSuccessor("riga-1", p.Incarnation(), "riga-2")
	h, err := NewJournal(p.store).ReadHead(t.Context(), "riga-1", p.Incarnation())
	if err != nil {
		t.Fatal(err)
	}
	s.HeadRead(h)
	p.send(id)
	p.store.unreachable = true
	if err := NewJournal(p.store).SealAndRead(t.Context(), s); kinds.Of(err) != kinds.StoreDown {
		t.Errorf("takeover with the store down: %v", err)
	}
	p.store.unreachable = false
	if err := NewJournal(p.store).SealAndRead(t.Context(), s); err != nil {
		t.Fatal(err)
	}
	if got := s.Lookup(p.now, id); got.Action != ActionUnknown {
		t.Errorf("decision on an order that was sent between the read and the seal: %v", got.Action)
	}
}

// Guards against an outcome that is replaced by a later row.
func TestFirstOutcomeWins(t *testing.T) {
	id := ident.NewTicket('j', "riga-1", 1, time.Unix(0, 0)).ID("x")
	s := NewSuccessor("riga-1", 1, "riga-2")
	s.HeadRead(Head{Version: 3, State: Sealed, Seq: 2, Rows: 2})
	s.RowsRead([]Row{{1, []Entry{{id, Answered, Response{Status: 201}}}}, {2, []Entry{{id, Unknown, Response{}}}}}, true)
	if d := s.Lookup(time.Unix(0, 0), id); d.Action != ActionReply || d.Answer.Status != 201 {
		t.Errorf("decision %+v", d)
	}
}

// changingHeadStore changes the head row before each transaction, as an owner does that is still running.
type changingHeadStore struct{ *fakeStore }

func (s changingHeadStore) Txn(ctx context.Context, ops []store.Op) ([]ident.Version, error) {
	row := s.rows[ops[0].Key]
	row.Version++
	s.rows[row.Key] = row
	return s.fakeStore.Txn(ctx, ops)
}

// Guards against a takeover that retries without end.
func TestTakeoverOfLiveOwner(t *testing.T) {
	p := newTestOwner(t)
	s := NewSuccessor("riga-1", p.Incarnation(), "riga-2")
	if err := NewJournal(changingHeadStore{p.store}).SealAndRead(t.Context(), s); kinds.Of(err) != kinds.Conflict {
		t.Errorf("takeover of a busy owner: %v", err)
	}
	if got := s.Lookup(p.now, p.newID('j', "x")); got.Action != ActionUnknown {
		t.Errorf("decision without a seal: %v", got.Action)
	}
}

// Guards against class j tickets when the journal write would take too long or the store is down.
func TestTicketClass(t *testing.T) {
	tests := []struct {
		entries int
		age     time.Duration
		want    ident.Class
	}{
		{1, 0, 'j'}, {12, StoreUpTimeout, 'j'}, {50, 0, 'j'}, {51, 0, 'd'}, {3200, 0, 'd'}, {12, StoreUpTimeout + 1, 'd'},
	}
	for _, tt := range tests {
		p := newTestOwner(t)
		now := p.Snapshot(p.now).LastWrite.Add(tt.age)
		if tk, ok := p.Ticket(now, FlushInterval(tt.entries)); !ok || tk.Class != tt.want {
			t.Errorf("%d entries, last write %v ago: class %c, want %c", tt.entries, tt.age, tk.Class, tt.want)
		}
	}
	if got := FlushInterval(1); got != MinFlushInterval {
		t.Errorf("flush interval of one entry is %v", got)
	}
	fresh := NewOwner("riga-1", 1)
	if tk, _ := fresh.Ticket(time.Unix(0, 0), MinFlushInterval); tk.Class != 'd' {
		t.Error("class j before the first write")
	}
	p := newTestOwner(t)
	for range 100 {
		p.runJournal()
	}
	if tk, _ := p.Ticket(p.now, MinFlushInterval); tk.Class != 'j' {
		t.Error("an idle process with the store up issues no class j tickets")
	}
}

// Guards against unbounded memory, and against a refused id that is accepted after records were dropped.
func TestRecordLimits(t *testing.T) {
	p := newTestOwner(t, WithMaxRecords(2), WithMaxBodyBytes(len(ok200.Body)))
	a, b, c := p.newID('d', "a"), p.newID('d', "b"), p.newID('d', "c")
	for _, id := range []ident.RequestID{a, b} {
		p.send(id)
		p.RecordAnswer(p.now, id, ok200)
	}
	if got := p.Lookup(p.now, b).Answer; got.Status != 200 || !got.BodyOmitted || got.Body != nil {
		t.Errorf("answer beyond the limit on body bytes: %+v", got)
	}
	if _, ok := p.Ticket(p.now, MinFlushInterval); ok || p.begin(c) != ActionRefuse {
		t.Error("a new order was accepted although the records are full")
	}
	// Dropping the records of a and b must not make the refused id c acceptable.
	p.Expire(p.now.Add(2 * Retention))
	if got := p.begin(c); got != ActionUnknown {
		t.Errorf("refused id after the records were dropped: %v", got)
	}
	p = newTestOwner(t, WithMaxRecords(1))
	p.Abort(p.now, p.newID('d', "a"))
	p.now = p.now.Add(dropAge - time.Minute)
	c = p.newID('d', "c")
	first := p.begin(c)
	p.now = p.now.Add(time.Minute)
	p.Expire(p.now)
	tk, ok := p.Ticket(p.now, MinFlushInterval)
	if first != ActionRefuse || p.begin(c) != ActionRefuse || !ok || p.begin(tk.ID("new")) != ActionSend {
		t.Error("want the refused id refused again and a new ticket accepted")
	}
}

// Guards against records that are dropped too early or never.
func TestExpire(t *testing.T) {
	p := newTestOwner(t)
	id := p.newID('d', "x")
	p.send(id)
	p.RecordAnswer(p.now, id, ok200)
	for _, tt := range []struct {
		age  time.Duration
		want Action
	}{{Retention, ActionReply}, {dropAge, ActionUnknown}} {
		p.Expire(p.now.Add(tt.age))
		if got := p.Lookup(p.now, id).Action; got != tt.want {
			t.Errorf("after %v: %v, want %v", tt.age, got, tt.want)
		}
	}
	if s := p.Snapshot(p.now); len(s.Records) != 0 || s.BodyBytes != 0 {
		t.Errorf("records left: %+v", s)
	}
}

// Guards against a recorded answer that changes: by a second answer, or when the caller reuses the buffer.
func TestResponseIsImmutable(t *testing.T) {
	p := newTestOwner(t)
	id := p.newID('d', "x")
	p.send(id)
	buf := []byte("accepted")
	p.RecordAnswer(p.now, id, Response{Status: 200, Body: buf})
	copy(buf, "REJECTED")
	if p.RecordAnswer(p.now, id, Response{Status: 500}) {
		t.Error("a second answer was recorded")
	}
	if got := p.Lookup(p.now, id).Answer.Body; string(got) != "accepted" {
		t.Errorf("recorded body: %q", got)
	}
}

// Guards against store writes above the process's share: too soon after the last one, or without delay in an outage.
func TestWriteInterval(t *testing.T) {
	p := newTestOwner(t)
	p.begin(p.newID('j', "x"))
	p.NextIO(p.now, MinFlushInterval)
	p.WriteDone(p.now, Result{Written, 2})
	p.begin(p.newID('j', "y"))
	write := func(wait time.Duration, r Result) {
		t.Helper()
		if early := p.NextIO(p.now.Add(wait-1), MinFlushInterval); early.Kind != IONone {
			t.Errorf("journal I/O %d earlier than %v after the last", early.Kind, wait)
		}
		p.now = p.now.Add(wait)
		if w := p.NextIO(p.now, MinFlushInterval); w.Kind != IOWrite {
			t.Errorf("journal I/O %d after %v, want a write", w.Kind, wait)
		}
		p.WriteDone(p.now, r)
	}
	write(MinFlushInterval, Result{Outcome: Unreachable})
	write(retryDelay, Result{Outcome: Unreachable})
	write(retryDelay, Result{Written, 3})
}

// Guards against transactions that are too large for the store, and against bodies that are too large to record.
func TestBatchLimits(t *testing.T) {
	p := newTestOwner(t, WithBatchLimits(3, 10_000))
	var ids []ident.RequestID
	for i := range 7 {
		ids = append(ids, p.newID('d', fmt.Sprint("x", i)))
		p.begin(ids[i])
		p.ClaimSend(p.now, ids[i])
	}
	for i, id := range ids {
		body := make([]byte, 3000)
		if i == 0 {
			body = make([]byte, MaxBodyBytes)
		}
		p.RecordAnswer(p.now, id, Response{Status: 200, Body: body})
	}
	var sizes []int
	for range 8 {
		p.now = p.now.Add(MinFlushInterval)
		w := p.NextIO(p.now, MinFlushInterval)
		if w.Kind != IOWrite {
			break
		}
		sizes = append(sizes, len(w.Batch.Entries))
		p.WriteDone(p.now, NewJournal(p.store).Write(t.Context(), w.Batch))
	}
	if !cmp.Equal(sizes, []int{1, 2, 2, 2}) {
		t.Errorf("entries of the batches: %v", sizes)
	}
	long := p.newID('d', "long")
	p.send(long)
	p.RecordAnswer(p.now, long, Response{Status: 201, Body: make([]byte, MaxBodyBytes+1)})
	p.runJournal()
	if got := p.takeover().Lookup(p.now, long); got.Action != ActionReply || got.Answer.Status != 201 || !got.Answer.BodyOmitted {
		t.Errorf("decision on an order with a long answer: %+v", got)
	}
}

// Guards against a journal that is marked complete while an order is in progress, and against a stop that never ends
// after another process sealed the journal.
func TestPlannedStop(t *testing.T) {
	p := newTestOwner(t, WithBatchLimits(1, 1000))
	ids := []ident.RequestID{p.newID('d', "x"), p.newID('d', "y")}
	p.send(ids[0])
	p.send(ids[1])
	p.StopAccepting()
	p.runJournal()
	if p.Drained() || p.Finished() {
		t.Error("finished with an order in progress")
	}
	p.RecordAnswer(p.now, ids[0], ok200)
	p.RecordAnswer(p.now, ids[1], ok200)
	p.runJournal()
	for _, id := range ids {
		if got := p.takeover().Lookup(p.now, id).Action; got != ActionReply {
			t.Errorf("decision on %s after the stop: %v", id, got)
		}
	}
	if h, _ := NewJournal(p.store).ReadHead(t.Context(), "riga-1", p.Incarnation()); h.State != Complete || !p.Finished() {
		t.Errorf("head after the stop: %+v", h)
	}
	p = newTestOwner(t)
	p.takeover()
	p.StopAccepting()
	p.runJournal()
	if !p.Finished() {
		t.Error("a stop does not end after another process sealed the journal")
	}
}
