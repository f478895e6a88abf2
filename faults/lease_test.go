package faults

import (
	"context"
	"fmt"
	"time"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/kinds"
	"github.com/currantpier/currantpier/lease"
	"github.com/currantpier/currantpier/plan"
	"github.com/currantpier/currantpier/shift"
	"github.com/currantpier/currantpier/store"
)

// The shift that the publishers and followers make. The period of the steps is shorter than the cap allows.
var (
	rules  = shift.Rules{Cap: shift.Cap{PerStep: 50_000, PerMinute: 200_000}}
	toWest = []shift.Weight{{Region: "east", Share: 300_000}, {Region: "west", Share: 700_000}}
	toEast = []shift.Weight{{Region: "east", Share: ident.Whole}}
)

const planKey = "plan/current"

// publisher is the part of one steer daemon that keeps the lease and publishes.
type publisher struct {
	w      *world
	name   ident.VM
	keeper *lease.Keeper
	// current is the plan to continue from, valid if known is set.
	current plan.Traffic
	known   bool
	// ops is a transaction that was made and not sent yet, and next the plan in it.
	ops          []store.Op
	next         plan.Traffic
	dead, paused bool
}

// leaseRun has two processes that may hold the lease, and the store's plan history as what the entries see.
type leaseRun struct {
	w    *world
	a, b *publisher
	goal []shift.Weight
	// measured is the time of the newest measurement; frozen says that there are no new ones.
	measured time.Time
	frozen   bool
	both     bool
}

var leaseProtocol = protocol{name: "lease and plan publication", checks: []check{capHolds, slotsHold}, start: startLease}

func startLease(w *world) *scenario {
	r := &leaseRun{w: w, goal: toWest}
	r.a, r.b = newPublisher(w, "a"), newPublisher(w, "b")
	first := plan.Traffic{Version: 1, Routes: []plan.Route{{Service: "orders", Origin: "east", Weights: toEast}}}
	w.store.apply([]store.Op{{Key: planKey, Value: plan.Encode(first)}})
	return &scenario{
		steps: []step{
			{"acquire", func() { r.tick(r.a) }},
			{"read the plan", func() { r.act(r.a, r.a.read) }},
			{"compute", func() { r.act(r.a, func() { r.compute(r.a) }) }},
			{"publish", func() { r.act(r.a, r.a.publish) }},
			{"renew", func() { r.pass(4 * time.Second) }},
			{"second plan", func() { r.round(r.a) }},
			{"prepare the third", func() { r.round(r.a); r.act(r.a, func() { r.compute(r.a) }) }},
			{"term passes", func() { r.pass(14 * time.Second) }},
			{"other process publishes", func() { r.round(r.b) }},
			{"resume", r.resume},
			{"both go on", func() { r.pass(20 * time.Second) }},
		},
		inject: map[fault]func(){
			measurementsStop: func() { r.frozen = true },
			processDies:      func() { r.a.dead = true },
			regionFails:      func() { r.a.dead, r.frozen = true, true },
			pausedHolder:     func() { r.a.paused = true },
			operators:        func() { r.goal = toEast },
		},
		noInput: map[fault]string{silentConnection: "a call of the store that is silent is a slow one"},
		finish:  r.finish,
	}
}

func newPublisher(w *world, vm ident.VM) *publisher {
	return &publisher{w: w, name: vm, keeper: lease.NewKeeper(w.store, vm, 1, w.clock)}
}

func (r *leaseRun) act(p *publisher, do func()) {
	if !p.dead && !p.paused {
		do()
	}
}

// tick steps the lease of one process.
func (r *leaseRun) tick(p *publisher) {
	r.act(p, func() {
		if !r.frozen {
			r.measured = r.w.now
		}
		if _, err := p.keeper.Step(context.Background()); kinds.Of(err) == kinds.Conflict {
			p.known = false
		}
		_, a := r.a.keeper.Held(r.w.now)
		_, b := r.b.keeper.Held(r.w.now)
		r.both = r.both || a && b
	})
}

// pass lets time pass. Both processes watch or renew the lease each second, and publish if they hold it.
func (r *leaseRun) pass(d time.Duration) {
	for end := r.w.now.Add(d); r.w.now.Before(end); {
		r.w.now = r.w.now.Add(time.Second)
		r.tick(r.a)
		r.tick(r.b)
		r.round(r.a)
		r.round(r.b)
	}
}

// round reads, computes and publishes, as far as the process holds the lease.
func (r *leaseRun) round(p *publisher) {
	r.act(p, func() {
		if _, held := p.keeper.Held(r.w.now); !held {
			p.known = false
			return
		}
		p.read()
		r.compute(p)
		p.publish()
	})
}

func (p *publisher) read() {
	if p.known {
		return
	}
	row, err := p.w.store.Get(context.Background(), planKey)
	if err != nil {
		return
	}
	t, err := plan.Decode(row.Value)
	p.current, p.known = t, err == nil
	p.current.Version = row.Version
}

// compute makes the next plan and the transaction that publishes it.
func (r *leaseRun) compute(p *publisher) {
	p.ops = nil
	if !p.known {
		return
	}
	now := r.w.now
	route := p.current.Routes[0]
	head := []shift.Headroom{{Region: "east", Slots: 100, At: r.measured, Local: true}, {
		Region: "west", Slots: 60, Used: float64(west(route.Weights)) / 1e6 * 50, At: r.measured, Link: 1000,
		LinkAt: r.measured,
	}}
	st, why := shift.Next(rules, shift.State{Weights: route.Weights, Moved: route.Moved}, r.goal, head,
		shift.Measured{Slots: 50, Mbps: 10, At: r.measured}, now)
	if why != shift.Stepped {
		return
	}
	check, term, err := breakFence(r.w, p.keeper, now)
	if err != nil {
		return
	}
	p.next = p.current
	p.next.Version++
	p.next.Term, p.next.MadeAt = term, now
	p.next.Routes = []plan.Route{{Service: "orders", Origin: "east", Weights: st.State.Weights, Moved: st.State.Moved}}
	p.ops = append(check, store.Op{Key: planKey, Value: plan.Encode(p.next), If: p.current.Version})
}

// publish sends the transaction. After a lost answer or a conflict the plan is read again.
func (p *publisher) publish() {
	if p.ops == nil {
		return
	}
	_, err := p.w.store.Txn(context.Background(), p.ops)
	p.ops = nil
	p.w.note("%s publishes version %d under term %d: %v", p.name, p.next.Version, p.next.Term, kinds.Of(err))
	switch kinds.Of(err) {
	case kinds.Answered:
		p.current = p.next
	case kinds.StoreDown:
	default:
		p.known = false
	}
}

// resume lets a paused process send what it had prepared, before it looks at the clock or the lease.
func (r *leaseRun) resume() {
	if r.a.paused && !r.a.dead {
		r.a.paused = false
		r.a.publish()
	}
}

func west(weights []shift.Weight) ident.PPM {
	for _, w := range weights {
		if w.Region == "west" {
			return w.Share
		}
	}
	return 0
}

func (r *leaseRun) finish() string {
	r.w.store.heal()
	r.resume()
	r.pass(15 * time.Second)
	m := &movement{}
	n := 0
	var term ident.Term
	for _, row := range r.w.store.history {
		if row.Key != planKey {
			continue
		}
		t, err := plan.Decode(row.Value)
		r.w.ensure(capHolds, err == nil && t.Term >= term, "a plan of term %d after one of term %d", t.Term, term)
		m.add(t.MadeAt, west(t.Routes[0].Weights))
		term = t.Term
		n++
	}
	m.check(r.w)
	r.w.ensure(capHolds, !r.both, "two processes took themselves for the holder")
	load := float64(m.last()) / 1e6 * 50 * 2
	r.w.ensure(slotsHold, load <= 60, "region west has 60 slots and a load of %.1f", load)
	holder := "no process holds the lease"
	if term > 0 {
		holder = fmt.Sprintf("term %d", term)
	}
	return fmt.Sprintf("%d plans, %s", n, holder)
}

// movement checks a sequence of shares of one region against the cap.
type movement struct {
	at    []time.Time
	share []ident.PPM
}

func (m *movement) add(at time.Time, share ident.PPM) {
	m.at, m.share = append(m.at, at), append(m.share, share)
}

func (m *movement) last() ident.PPM { return m.share[len(m.share)-1] }

// check sums up the movement in each window of a minute. Five parts per million allow for rounding among entries.
func (m *movement) check(w *world) {
	const slack = 5
	for i := 1; i < len(m.at); i++ {
		var minute ident.PPM
		for j := i; j > 0 && m.at[i].Sub(m.at[j]) < time.Minute; j-- {
			minute += max(m.share[j]-m.share[j-1], m.share[j-1]-m.share[j])
		}
		step := max(m.share[i]-m.share[i-1], m.share[i-1]-m.share[i])
		w.ensure(capHolds, step <= rules.Cap.PerStep+slack && minute <= rules.Cap.PerMinute+slack,
			"%d ppm moved at once and %d in a minute", step, minute)
	}
}
