package relay

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/currantpier/currantpier/ident"
)

// task says why an action was issued.
type task uint8

const (
	taskPoll task = iota
	taskLink
	taskExchange
	taskStart
	taskPush
)

// issued is an action whose end was not reported yet.
type issued struct {
	task task
	kind Kind
	to   ident.VM
}

// link is a peer from which a document is fetched all the time.
type link struct {
	from ident.VM
	kind Kind
	// busy is the id of the fetch in progress, or 0; then the next one is due at next.
	busy uint64
	next time.Time
}

// push is a document on its way to a peer.
type push struct {
	to       ident.VM
	kind     Kind
	attempts int
	// busy is the id of the attempt in progress, or 0; then the next one is due at next.
	busy uint64
	next time.Time
}

// failure records that a peer did not answer.
type failure struct {
	count int
	// until is the end of the time for which the peer is avoided.
	until time.Time
}

// document is the state of one kind of document.
type document struct {
	doc      Document
	interval time.Duration
	polling  bool
	nextPoll time.Time
	// tries counts the reads before the first answer of the store.
	tries int
	// settled is set once the node may serve the document, see Node.Ready.
	settled bool
	// asking counts the start-up questions in progress; answers has the peers that sent a document in this round.
	asking    int
	nextRound time.Time
	answers   map[ident.VM]bool
	// hinted is the newest version that a peer mentioned; hintFrom is that peer until it is asked, then empty.
	hinted   ident.Version
	hintFrom ident.VM
}

// Node is the state of the dissemination in one process. It is not safe for concurrent use.
type Node struct {
	o   Options
	rng *rand.Rand
	id  uint64

	// docs is indexed by Kind; the first element is not used.
	docs [Plan + 1]document
	// peers is sorted by VM and does not contain the node itself.
	peers []Peer
	// ranked has the VMs of each failure domain, with the node itself, in the order of rank.
	ranked map[ident.Domain][]ident.VM
	// foreign has the other failure domains in the order of a ring of all failure domains, starting after the node's own.
	// All nodes agree on the ring.
	foreign []ident.Domain

	links        []link
	relinkAt     time.Time
	relink       bool
	reads        bool
	pushes       []push
	failed       map[ident.VM]failure
	issued       map[uint64]issued
	nextExchange time.Time
}

// NewNode returns a node that holds no documents.
func NewNode(now time.Time, o Options) *Node {
	n := &Node{
		o:      o,
		rng:    rand.New(rand.NewPCG(o.Seed, xxhash.Sum64String(string(o.Self.VM)))),
		failed: map[ident.VM]failure{},
		issued: map[uint64]issued{},
	}
	for k, interval := range map[Kind]time.Duration{Config: o.ConfigInterval, Plan: o.PlanInterval} {
		if interval == 0 {
			interval = defaultInterval
		}
		n.docs[k] = document{doc: Document{Kind: k}, interval: interval, nextPoll: now, nextRound: now.Add(startGrace)}
	}
	n.nextExchange = now.Add(n.jitter(exchangeInterval))
	n.Members(now, nil)
	return n
}

// jitter returns a random time below d.
func (n *Node) jitter(d time.Duration) time.Duration {
	return time.Duration(n.rng.Int64N(int64(d)))
}

// Members sets the VMs that are alive, with or without the node itself. Leaving VMs are left out by the caller.
func (n *Node) Members(now time.Time, peers []Peer) {
	others := make([]Peer, 0, len(peers))
	for _, p := range peers {
		if p.VM != n.o.Self.VM {
			others = append(others, p)
		}
	}
	slices.SortFunc(others, func(a, b Peer) int { return cmp.Compare(a.VM, b.VM) })
	if n.ranked != nil && slices.Equal(others, n.peers) {
		return
	}
	n.peers = others
	n.ranked = rank(append(slices.Clone(others), n.o.Self))
	ring := n.domains("ring")
	i := slices.Index(ring, n.o.Self.Place.Domain)
	n.foreign = append(slices.Clone(ring[i+1:]), ring[:i]...)
	n.relink = true
}

// domains returns all failure domains in an order that depends only on key and their names.
func (n *Node) domains(key string) []ident.Domain {
	names := make([]ident.VM, 0, len(n.ranked))
	for d := range n.ranked {
		names = append(names, ident.VM(d))
	}
	domains := make([]ident.Domain, 0, len(names))
	for _, name := range byScore(names, key) {
		domains = append(domains, ident.Domain(name))
	}
	return domains
}

// usable reports whether a VM is not avoided. The node's own never is.
func (n *Node) usable(now time.Time, vm ident.VM) bool {
	return vm == n.o.Self.VM || !now.Before(n.failed[vm].until)
}

// local reports whether the node is a leaf and the steer daemon on its VM answers.
func (n *Node) local() bool {
	return n.o.Leaf && n.failed[n.o.Self.VM].count == 0
}

func (n *Node) usableOf(now time.Time, vms []ident.VM, limit int) []ident.VM {
	var list []ident.VM
	for _, vm := range vms {
		if len(list) == limit {
			break
		}
		if n.usable(now, vm) {
			list = append(list, vm)
		}
	}
	return list
}

// sources returns the VMs from which the node fetches, and whether it reads the store.
func (n *Node) sources(now time.Time) ([]ident.VM, bool) {
	if n.local() {
		return []ident.VM{n.o.Self.VM}, false
	}
	from, reads := n.treeSources(now)
	if n.o.Leaf {
		// The steer daemon may come back at any time.
		return append([]ident.VM{n.o.Self.VM}, from...), false
	}
	return from, reads
}

func (n *Node) treeSources(now time.Time) ([]ident.VM, bool) {
	// The position is computed without the VMs that failed, so the next VMs replace relays that died. Sources always
	// come before the node in the order on which all agree, so there is no cycle within a failure domain.
	own := slices.DeleteFunc(slices.Clone(n.ranked[n.o.Self.Place.Domain]), func(vm ident.VM) bool {
		return !n.usable(now, vm)
	})
	pair := slices.Index(own, n.o.Self.VM) / relaysPerDomain
	if pair > 0 {
		parent := (pair - 1) / fanOut * relaysPerDomain
		return slices.Clone(own[parent : parent+relaysPerDomain]), false
	}
	var from []ident.VM
	for _, vm := range own[:min(len(own), relaysPerDomain)] {
		if vm != n.o.Self.VM {
			from = append(from, vm)
		}
	}
	return append(from, n.foreignSources(now, slices.Index(own, n.o.Self.VM))...), true
}

// foreignSources returns relays of two other failure domains: of the next one in the ring, and of the one that is the
// square root of the ring's length away. With the links of the other relays this reaches every domain in about two
// square roots of steps, and each relay is the source of two others.
func (n *Node) foreignSources(now time.Time, position int) []ident.VM {
	var from []ident.VM
	count := len(n.foreign)
	for _, first := range []int{0, int(math.Sqrt(float64(count + 1)))} {
		for i := range count {
			relays := n.usableOf(now, n.ranked[n.foreign[(first+i)%count]], relaysPerDomain)
			if len(relays) == 0 || slices.Contains(from, relays[position%len(relays)]) {
				continue
			}
			from = append(from, relays[position%len(relays)])
			break
		}
	}
	return from
}

// updateLinks follows changes of the members and of the failures. Fetches in progress from peers that are no longer
// sources end on their own.
func (n *Node) updateLinks(now time.Time) {
	n.relink, n.relinkAt = false, time.Time{}
	for vm, f := range n.failed {
		switch {
		case now.Before(f.until):
			n.relinkAt = earlier(n.relinkAt, f.until)
		case now.Sub(f.until) > 2*avoidMax:
			delete(n.failed, vm)
		}
	}
	var from []ident.VM
	from, n.reads = n.sources(now)
	var links []link
	for _, vm := range from {
		for _, k := range []Kind{Config, Plan} {
			i := slices.IndexFunc(n.links, func(l link) bool { return l.from == vm && l.kind == k })
			if i >= 0 {
				links = append(links, n.links[i])
				continue
			}
			links = append(links, link{from: vm, kind: k, next: now})
		}
	}
	n.links = links
}

// Next appends the actions that are due to dst.
func (n *Node) Next(now time.Time, dst []Action) []Action {
	if n.relink || !n.relinkAt.IsZero() && !now.Before(n.relinkAt) {
		n.updateLinks(now)
	}
	for k := Config; k <= Plan; k++ {
		dst = n.nextPoll(now, k, dst)
		dst = n.nextStart(now, k, dst)
		dst = n.nextHint(k, dst)
	}
	dst = n.nextLinks(now, dst)
	dst = n.nextPushes(now, dst)
	return n.nextExchanges(now, dst)
}

// issue completes an action and remembers it.
func (n *Node) issue(t task, a Action) Action {
	n.id++
	a.ID = n.id
	n.issued[a.ID] = issued{task: t, kind: a.Kind, to: a.To}
	return a
}

// polls reports whether the node reads a document from the store. Every node does until it may serve the document.
func (n *Node) polls(k Kind) bool {
	return n.reads || !n.docs[k].settled
}

func (n *Node) nextPoll(now time.Time, k Kind, dst []Action) []Action {
	d := &n.docs[k]
	if d.polling || now.Before(d.nextPoll) || !n.polls(k) {
		return dst
	}
	d.polling = true
	// The random part keeps the relays of a domain from reading at the same time. It makes the period shorter, never
	// longer.
	wait := d.interval - n.jitter(d.interval/10)
	if !n.reads {
		// Thousands of nodes that start while the store is down must not keep it down when it returns.
		wait <<= min(d.tries, maxStartBackoff)
		d.tries++
	}
	d.nextPoll = now.Add(wait)
	return append(dst, n.issue(taskPoll, Action{Op: PollStore, Kind: k, Have: d.doc.Version, Timeout: storeTimeout}))
}

// nextStart asks the relays of every failure domain while the node may not serve yet.
func (n *Node) nextStart(now time.Time, k Kind, dst []Action) []Action {
	d := &n.docs[k]
	if d.settled || d.asking > 0 || now.Before(d.nextRound) {
		return dst
	}
	d.nextRound = now.Add(startRound)
	d.answers = map[ident.VM]bool{}
	for _, vm := range n.startPeers(now) {
		d.asking++
		// Have is zero, so that a peer with the same version answers with it as well and counts.
		dst = append(dst, n.issue(taskStart, Action{Op: Fetch, Kind: k, To: vm, Timeout: replyTimeout}))
	}
	return dst
}

func (n *Node) startPeers(now time.Time) []ident.VM {
	var list []ident.VM
	if n.o.Leaf {
		list = append(list, n.o.Self.VM)
	}
	domains := append([]ident.Domain{n.o.Self.Place.Domain}, n.foreign...)
	for _, d := range domains {
		others := slices.DeleteFunc(slices.Clone(n.ranked[d]), func(vm ident.VM) bool { return vm == n.o.Self.VM })
		asked := n.usableOf(now, others, relaysPerDomain)
		if len(asked) == 0 {
			asked = others[:min(len(others), relaysPerDomain)]
		}
		list = append(list, asked...)
	}
	return list
}

func (n *Node) nextHint(k Kind, dst []Action) []Action {
	d := &n.docs[k]
	if d.hintFrom == "" {
		return dst
	}
	from := d.hintFrom
	d.hintFrom = ""
	if d.doc.Version >= d.hinted {
		return dst
	}
	a := Action{Op: Fetch, Kind: k, To: from, Have: d.doc.Version, Timeout: replyTimeout}
	return append(dst, n.issue(taskExchange, a))
}

func (n *Node) nextLinks(now time.Time, dst []Action) []Action {
	for i := range n.links {
		l := &n.links[i]
		if l.busy != 0 || now.Before(l.next) {
			continue
		}
		l.next = now.Add(fetchSpacing)
		a := Action{Op: Fetch, Kind: l.kind, To: l.from, Have: n.docs[l.kind].doc.Version, Timeout: replyTimeout}
		// A peer that failed before has to answer at once, since a silent one would hold the link for the whole wait.
		switch {
		case n.failed[l.from].count > 0:
		case l.from == n.o.Self.VM:
			// The only source of a leaf is on the same VM, where requests cost little and silence has to show soon.
			a.Wait, a.Timeout = localWait, 2*localWait
		default:
			a.Wait = longPoll(len(n.peers))
			a.Timeout += a.Wait
		}
		a = n.issue(taskLink, a)
		l.busy = a.ID
		dst = append(dst, a)
	}
	return dst
}

func (n *Node) nextPushes(now time.Time, dst []Action) []Action {
	for i := range n.pushes {
		p := &n.pushes[i]
		if p.busy != 0 || now.Before(p.next) {
			continue
		}
		p.attempts++
		a := Action{Op: Push, Kind: p.kind, To: p.to, Timeout: pushTimeout, Doc: n.docs[p.kind].doc}
		a = n.issue(taskPush, a)
		p.busy = a.ID
		dst = append(dst, a)
	}
	return dst
}

// nextExchanges fetches from one random peer of another failure domain. It repairs what the tree misses, for example
// when every source of a node has failed silently.
func (n *Node) nextExchanges(now time.Time, dst []Action) []Action {
	if now.Before(n.nextExchange) {
		return dst
	}
	n.nextExchange = now.Add(exchangeInterval)
	if n.local() {
		return dst
	}
	vm, ok := n.randomPeer(now)
	if !ok {
		return dst
	}
	for k := Config; k <= Plan; k++ {
		a := Action{Op: Fetch, Kind: k, To: vm, Have: n.docs[k].doc.Version, Timeout: replyTimeout}
		dst = append(dst, n.issue(taskExchange, a))
	}
	return dst
}

func (n *Node) randomPeer(now time.Time) (ident.VM, bool) {
	var fallback ident.VM
	// A few attempts find a usable peer unless nearly all have failed; then any peer will do.
	for range 8 {
		if len(n.peers) == 0 {
			break
		}
		p := n.peers[n.rng.IntN(len(n.peers))]
		fallback = p.VM
		if n.usable(now, p.VM) && (p.Place.Domain != n.o.Self.Place.Domain || len(n.foreign) == 0) {
			return p.VM, true
		}
	}
	return fallback, fallback != ""
}

// Wake returns the time at which Next has to be called again if nothing else happens before. It can lie in the past.
func (n *Node) Wake() time.Time {
	if n.relink {
		return time.Time{}
	}
	t := earlier(n.nextExchange, n.relinkAt)
	for k := Config; k <= Plan; k++ {
		d := &n.docs[k]
		if !d.polling && n.polls(k) {
			t = earlier(t, d.nextPoll)
		}
		if d.hintFrom != "" {
			return time.Time{}
		}
		if !d.settled && d.asking == 0 {
			t = earlier(t, d.nextRound)
		}
	}
	for _, l := range n.links {
		if l.busy == 0 {
			t = earlier(t, l.next)
		}
	}
	for _, p := range n.pushes {
		if p.busy == 0 {
			t = earlier(t, p.next)
		}
	}
	return t
}

// earlier returns the earlier of two times; the zero time means never.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// Done reports the end of an action. It returns true if a newer document came into force, or if the node may now serve
// a document: then fetches that are held may have an answer.
func (n *Node) Done(now time.Time, id uint64, res Result) bool {
	is, ok := n.issued[id]
	if !ok {
		return false
	}
	delete(n.issued, id)
	// The timeout of a push is too short to judge a peer by it.
	if is.task != taskPoll && (res.OK || is.task != taskPush) {
		n.heard(now, is.to, res.OK)
	}
	newer := res.OK && res.Doc.Kind == is.kind && n.apply(res.Doc)
	d := &n.docs[is.kind]
	settled := d.settled
	switch is.task {
	case taskPoll:
		d.polling = false
		// The store's answer counts also if it has no document yet: nothing was accepted so far.
		d.settled = d.settled || res.OK
	case taskExchange:
		if newer {
			n.forward(now, is.kind)
		}
	case taskLink:
		n.endLink(now, id, res.OK)
	case taskPush:
		n.endPush(now, id, res.OK)
	case taskStart:
		d.asking--
		if res.OK && res.Doc.Version > 0 {
			d.answers[is.to] = true
		}
		if d.asking == 0 && d.doc.Version > 0 && len(d.answers) >= n.startNeeds() {
			d.settled = true
		}
	}
	return newer || d.settled != settled
}

// startNeeds returns the number of peers that have to answer.
func (n *Node) startNeeds() int {
	exist := len(n.peers)
	if n.o.Leaf {
		exist++
	}
	// Without any peer only the store can tell the newest version.
	return min(max(exist, 1), startAnswers)
}

// heard records whether a peer answered.
func (n *Node) heard(now time.Time, vm ident.VM, ok bool) {
	f := n.failed[vm]
	if ok {
		if f.count > 0 {
			delete(n.failed, vm)
			n.relink = true
		}
		return
	}
	// Several fetches fail together when a peer dies; they count once.
	if now.Before(f.until) {
		return
	}
	f.until = now.Add(min(avoidMin<<min(f.count, 8), avoidMax))
	f.count++
	n.failed[vm] = f
	n.relink = true
}

func (n *Node) endLink(now time.Time, id uint64, ok bool) {
	i := slices.IndexFunc(n.links, func(l link) bool { return l.busy == id })
	if i < 0 {
		return
	}
	n.links[i].busy = 0
	if !ok {
		n.links[i].next = now.Add(replyTimeout)
	}
}

func (n *Node) endPush(now time.Time, id uint64, ok bool) {
	i := slices.IndexFunc(n.pushes, func(p push) bool { return p.busy == id })
	if i < 0 {
		return
	}
	n.pushes[i].busy, n.pushes[i].next = 0, now
	if ok || n.pushes[i].attempts == pushAttempts {
		n.pushes = slices.Delete(n.pushes, i, i+1)
	}
}

// Offer handles a document that a peer pushed. It returns true if the document is newer and came into force.
func (n *Node) Offer(now time.Time, doc Document) bool {
	if !n.apply(doc) {
		return false
	}
	n.forward(now, doc.Kind)
	return true
}

// Hint handles a version that a peer mentioned in a probe. The node fetches a newer one from that peer, once for each
// version, since the other paths repeat what fails.
func (n *Node) Hint(from ident.VM, k Kind, v ident.Version) {
	if k < Config || k > Plan || from == n.o.Self.VM {
		return
	}
	if d := &n.docs[k]; v > d.hinted && v > d.doc.Version {
		d.hinted, d.hintFrom = v, from
	}
}

// forward pushes a document that did not come from a source of the node to the relays of its failure domain. They are
// not below the node in the tree and could miss it if the sender has died.
func (n *Node) forward(now time.Time, k Kind) {
	if n.o.Leaf || n.reads {
		return
	}
	n.push(now, k, n.usableOf(now, n.ranked[n.o.Self.Place.Domain], relaysPerDomain))
}

// push replaces the pushes of older versions.
func (n *Node) push(now time.Time, k Kind, to []ident.VM) {
	n.pushes = slices.DeleteFunc(n.pushes, func(p push) bool { return p.kind == k })
	for _, vm := range to {
		if vm != n.o.Self.VM {
			n.pushes = append(n.pushes, push{to: vm, kind: k, next: now})
		}
	}
}

// apply puts a document into force if it is newer than the one in force. No other function changes a document, so
// versions only grow.
func (n *Node) apply(doc Document) bool {
	if doc.Kind < Config || doc.Kind > Plan || doc.Version <= n.docs[doc.Kind].doc.Version {
		return false
	}
	n.docs[doc.Kind].doc = doc
	return true
}

// Accept handles a document that this process has written to the store. It is in force at once and Next pushes it. It
// returns false if the node holds a newer one.
func (n *Node) Accept(now time.Time, doc Document) bool {
	if !n.apply(doc) {
		return false
	}
	n.docs[doc.Kind].settled = true
	n.push(now, doc.Kind, n.pushTargets(now, doc))
	return true
}

// pushTargets returns all peers if they are few, and otherwise a relay of each of some failure domains, which differ
// from version to version so that the cost is spread.
func (n *Node) pushTargets(now time.Time, doc Document) []ident.VM {
	var list []ident.VM
	if len(n.peers) <= pushPeers {
		for _, p := range n.peers {
			list = append(list, p.VM)
		}
		return list
	}
	for _, d := range n.domains(strconv.FormatUint(uint64(doc.Version), 10)) {
		for _, vm := range n.usableOf(now, n.ranked[d], 1) {
			if vm != n.o.Self.VM && len(list) < pushPeers {
				list = append(list, vm)
			}
		}
	}
	return list
}

// Newer returns the document if it is newer than have. It answers Fetch; the daemon holds a Fetch without one until
// Done, Offer or Accept returns true. A node that may not serve yet has nothing to tell, since its document can be old
// and would count as an answer to another starting node.
func (n *Node) Newer(k Kind, have ident.Version) (Document, bool) {
	if k < Config || k > Plan || !n.docs[k].settled || n.docs[k].doc.Version <= have {
		return Document{Kind: k}, false
	}
	return n.docs[k].doc, true
}

// Current returns the document in force; version 0 if there is none.
func (n *Node) Current(k Kind) Document {
	return n.docs[k].doc
}

// Ready reports whether the node may serve: for each kind, the store has answered once, or two peers have (all of them
// if there are fewer) after every relay was asked.
func (n *Node) Ready() bool {
	return n.docs[Config].settled && n.docs[Plan].settled
}
