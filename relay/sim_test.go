package relay_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/relay"
)

// Sizes of messages without a document, in bytes, as TestMessageSize measures them for Twirp over HTTP/1.1.
const (
	requestBytes = 260
	replyBytes   = 130
)

var start = time.Unix(1_000_000, 0)

// event is a function call scheduled for a time. seq makes the order of simultaneous events deterministic.
type event struct {
	at  time.Time
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// proc is one simulated process. It performs the actions of its node over the simulated network.
type proc struct {
	sim    *sim
	peer   relay.Peer
	node   *relay.Node
	dead   bool
	wakeAt time.Time
	// pending has the actions whose result has not been reported.
	pending map[uint64]bool
	held    []heldFetch
	// messages and bytes count what the process sent and received.
	messages, bytes int
	inForce         map[ident.Version]time.Time
}

// heldFetch is a long poll that waits for a document.
type heldFetch struct {
	kind  relay.Kind
	have  ident.Version
	reply func(relay.Document)
}

// sim is a simulated network of processes with a fake clock, a store, message loss and one-way latencies.
type sim struct {
	now   time.Time
	seq   int
	queue events
	rng   *rand.Rand
	procs map[ident.VM]*proc
	order []*proc
	// members is the VM list; a process that died silently stays in it.
	members    []relay.Peer
	store      [relay.Plan + 1]relay.Document
	storeDown  bool
	storeReads int
	// loss is the probability that a request or a reply is lost.
	loss float64
	// cutRegion is a region without connection to the other regions and to the store; empty if there is none.
	cutRegion ident.Region
}

func newSim(seed uint64, loss float64) *sim {
	return &sim{now: start, rng: rand.New(rand.NewPCG(seed, 3)), procs: map[ident.VM]*proc{}, loss: loss}
}

// newCluster starts VMs in failure domains, two or three domains per region.
func newCluster(seed uint64, loss float64, vms, domains int) *sim {
	s := newSim(seed, loss)
	for i := range vms {
		d := i % domains
		region := ident.Region(fmt.Sprint("r", d/2))
		if domains == 58 {
			region = ident.Region(fmt.Sprint("r", d%25))
		}
		s.members = append(s.members, relay.Peer{VM: ident.VM(fmt.Sprint("vm-", i)),
			Place: ident.Place{Region: region, Domain: ident.Domain(fmt.Sprint("d", d))}})
	}
	for _, p := range s.members {
		s.start(p, false)
	}
	return s
}

func (s *sim) start(p relay.Peer, leaf bool) *proc {
	pr := &proc{sim: s, peer: p, pending: map[uint64]bool{}, inForce: map[ident.Version]time.Time{}}
	pr.node = relay.NewNode(s.now, relay.Options{Self: p, Leaf: leaf, Seed: s.rng.Uint64()})
	pr.node.SetMembers(s.now, s.members)
	if !leaf {
		s.procs[p.VM] = pr
	}
	s.order = append(s.order, pr)
	s.after(time.Duration(s.rng.IntN(1000))*time.Millisecond, pr.step)
	return pr
}

func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, event{s.now.Add(d), s.seq, do})
}

// run advances the clock by d.
func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
	s.now = end
}

func (s *sim) latency(a, b ident.Place) time.Duration {
	return [...]time.Duration{300 * time.Microsecond, 1500 * time.Microsecond, 55 * time.Millisecond}[a.To(b)]
}

func (p *proc) step() {
	if p.dead {
		return
	}
	for _, a := range p.node.Next(p.sim.now, nil) {
		p.perform(a)
	}
	wake := p.node.NextWake()
	if !wake.After(p.sim.now) {
		wake = p.sim.now.Add(time.Millisecond)
	}
	if p.wakeAt.After(p.sim.now) && !wake.Before(p.wakeAt) {
		return
	}
	p.wakeAt = wake
	p.sim.after(wake.Sub(p.sim.now), func() {
		if p.wakeAt.Equal(wake) {
			p.step()
		}
	})
}

func (p *proc) perform(a relay.Action) {
	p.pending[a.ID] = true
	p.sim.after(a.Timeout, func() { p.end(a.ID, relay.Result{}) })
	if a.Op == relay.PollStore {
		p.poll(a)
		return
	}
	to, body := p.sim.procs[a.To], len(a.Doc.Body)
	p.send(p, to, requestBytes+body, func() {
		if a.Op == relay.Push {
			if to.node.HandlePush(p.sim.now, a.Doc) {
				to.documentChanged()
			}
			p.send(to, p, replyBytes, func() { p.end(a.ID, relay.Result{OK: true}) })
			return
		}
		to.serve(a, func(doc relay.Document) {
			p.send(to, p, replyBytes+len(doc.Body), func() { p.end(a.ID, relay.Result{OK: true, Doc: doc}) })
		})
	})
}

// poll reads the store. A store that is down does not answer at all, which is the worst case.
func (p *proc) poll(a relay.Action) {
	p.sim.storeReads++
	if p.sim.storeDown || p.peer.Place.Region == p.sim.cutRegion || p.sim.rng.Float64() < p.sim.loss {
		return
	}
	doc := p.sim.store[a.Kind]
	if doc.Version <= a.HaveVersion {
		doc = relay.Document{Kind: a.Kind}
	}
	p.sim.after(110*time.Millisecond, func() { p.end(a.ID, relay.Result{OK: true, Doc: doc}) })
}

// send delivers a message unless it is lost or the receiver is dead.
func (p *proc) send(from, to *proc, size int, deliver func()) {
	from.messages++
	from.bytes += size
	// Messages between the two processes of a VM are never lost.
	if from.peer.VM != to.peer.VM && p.sim.rng.Float64() < p.sim.loss {
		return
	}
	if (from.peer.Place.Region == p.sim.cutRegion) != (to.peer.Place.Region == p.sim.cutRegion) {
		return
	}
	p.sim.after(p.sim.latency(from.peer.Place, to.peer.Place), func() {
		if to.dead {
			return
		}
		to.messages++
		to.bytes += size
		deliver()
	})
}

func (p *proc) serve(a relay.Action, reply func(relay.Document)) {
	doc, ok := p.node.NewerThan(a.Kind, a.HaveVersion)
	if ok || a.HoldFor == 0 {
		reply(doc)
		return
	}
	done := false
	once := func(doc relay.Document) {
		if !done && !p.dead {
			done = true
			reply(doc)
		}
	}
	p.held = append(p.held, heldFetch{a.Kind, a.HaveVersion, once})
	p.sim.after(a.HoldFor, func() { once(relay.Document{Kind: a.Kind}) })
}

func (p *proc) end(id uint64, res relay.Result) {
	if p.dead || !p.pending[id] {
		return
	}
	delete(p.pending, id)
	if p.node.Complete(p.sim.now, id, res) {
		p.documentChanged()
	}
	p.step()
}

// documentChanged records the version in force and answers the long polls.
func (p *proc) documentChanged() {
	v := p.node.Current(relay.Config).Version
	if _, ok := p.inForce[v]; !ok {
		p.inForce[v] = p.sim.now
	}
	rest := p.held[:0]
	for _, h := range p.held {
		if doc, ok := p.node.NewerThan(h.kind, h.have); ok {
			h.reply(doc)
			continue
		}
		rest = append(rest, h)
	}
	p.held = rest
}

// accept makes a process accept a new version, as the steer daemon that wrote it to the store.
func (s *sim) accept(p *proc, v ident.Version, size int) {
	doc := relay.Document{Kind: relay.Config, Version: v, Body: make([]byte, size)}
	s.store[relay.Config] = doc
	if p.node.Publish(s.now, doc) {
		p.documentChanged()
	}
	p.step()
}

// slowest returns the longest time after since until a live process had version v in force, and how many live processes
// have no version as new as v.
func (s *sim) slowest(v ident.Version, since time.Time) (time.Duration, int) {
	var worst time.Duration
	missing := 0
	for _, p := range s.order {
		if p.dead {
			continue
		}
		if p.node.Current(relay.Config).Version < v {
			missing++
			continue
		}
		worst = max(worst, p.inForce[v].Sub(since))
	}
	return worst, missing
}
