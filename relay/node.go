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

// purpose is the reason for which an action was issued.
type purpose uint8

const (
	forPoll purpose = iota
	forLink
	forExchange
	forStart
	forPush
)

// pendingAction is an action whose result has not been reported.
type pendingAction struct {
	purpose purpose
	kind    Kind
	to      ident.VM
}

// link is a peer from which a kind of document is fetched continuously.
type link struct {
	from ident.VM
	kind Kind
	// actionID is the ID of the fetch in progress, or 0; then the next one is due at nextAt.
	actionID uint64
	nextAt   time.Time
}

// push is a document to be sent to a peer.
type push struct {
	to       ident.VM
	kind     Kind
	attempts int
	// actionID is the ID of the attempt in progress, or 0; then the next one is due at nextAt.
	actionID uint64
	nextAt   time.Time
}

// failure is the state of a peer that did not answer.
type failure struct {
	count int
	// avoidUntil is the end of the time for which the peer is avoided.
	avoidUntil time.Time
}

// document is a node's state for one kind of document.
type document struct {
	doc            Document
	interval       time.Duration
	pollInProgress bool
	nextPoll       time.Time
	// pollAttempts counts the store reads while the node is no relay and may not serve the document.
	pollAttempts int
	// servable is set once the node may serve the document, see Node.Ready.
	servable bool
	// startFetches counts the start-up fetches in progress; answered has the peers that sent a document in this round.
	startFetches int
	nextRound    time.Time
	// startRounds counts the rounds of start-up fetches that have begun.
	startRounds int
	answered    map[ident.VM]bool
	// hintedVersion is the newest version in a peer's hint; hintFrom is that peer until the fetch is issued, then empty.
	hintedVersion ident.Version
	hintFrom      ident.VM
}

// Node is the dissemination state of one process. It is not safe for concurrent use.
type Node struct {
	opts   Options
	rng    *rand.Rand
	lastID uint64

	// docs is indexed by Kind; the first element is not used.
	docs [Plan + 1]document
	// peers is sorted by VM and does not contain the node itself.
	peers []Peer
	// ranked has the VMs of each failure domain, including the node itself, in the order of rank.
	ranked map[ident.Domain][]ident.VM
	// foreign has the other failure domains in ring order, starting after the node's own. The ring contains all failure
	// domains and is the same on all nodes.
	foreign []ident.Domain

	// links has one entry for each source and kind, see sources. It is recomputed if relink is set, and at relinkAt,
	// when a peer is no longer avoided; zero means never.
	links    []link
	relink   bool
	relinkAt time.Time
	// isRelay is set while the node is a relay.
	isRelay bool
	pushes  []push
	// failed has the peers that have not answered since a failure.
	failed       map[ident.VM]failure
	pending      map[uint64]pendingAction
	nextExchange time.Time
}

// NewNode returns a node without documents.
func NewNode(now time.Time, opts Options) *Node {
	n := &Node{
		opts:    opts,
		rng:     rand.New(rand.NewPCG(opts.Seed, xxhash.Sum64String(string(opts.Self.VM)))),
		failed:  map[ident.VM]failure{},
		pending: map[uint64]pendingAction{},
	}
	for k, interval := range map[Kind]time.Duration{Config: opts.ConfigInterval, Plan: opts.PlanInterval} {
		if interval == 0 {
			interval = defaultInterval
		}
		n.docs[k] = document{doc: Document{Kind: k}, interval: interval, nextPoll: now, nextRound: now.Add(startGrace)}
	}
	n.nextExchange = now.Add(n.jitter(exchangeInterval))
	n.SetMembers(now, nil)
	return n
}

// jitter returns a random time below d.
func (n *Node) jitter(d time.Duration) time.Duration {
	return time.Duration(n.rng.Int64N(int64(d)))
}

// SetMembers sets the VMs that are alive; the node itself may be included. The caller must leave out VMs that are leaving.
func (n *Node) SetMembers(now time.Time, peers []Peer) {
	others := make([]Peer, 0, len(peers))
	for _, p := range peers {
		if p.VM != n.opts.Self.VM {
			others = append(others, p)
		}
	}
	slices.SortFunc(others, func(a, b Peer) int { return cmp.Compare(a.VM, b.VM) })
	if n.ranked != nil && slices.Equal(others, n.peers) {
		return
	}
	n.peers = others
	n.ranked = rank(append(slices.Clone(others), n.opts.Self))
	ring := n.domains("ring")
	i := slices.Index(ring, n.opts.Self.Place.Domain)
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
	for _, name := range sortByHash(names, key) {
		domains = append(domains, ident.Domain(name))
	}
	return domains
}

// usable reports whether a VM is not avoided. The node's own VM never is.
func (n *Node) usable(now time.Time, vm ident.VM) bool {
	return vm == n.opts.Self.VM || !now.Before(n.failed[vm].avoidUntil)
}

// usesLocal reports whether the node is a leaf and the steer daemon on its VM answers.
func (n *Node) usesLocal() bool {
	return n.opts.Leaf && n.failed[n.opts.Self.VM].count == 0
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

// sources returns the VMs from which the node fetches, and whether it is a relay.
func (n *Node) sources(now time.Time) ([]ident.VM, bool) {
	if n.usesLocal() {
		return []ident.VM{n.opts.Self.VM}, false
	}
	from, isRelay := n.treeSources(now)
	if n.opts.Leaf {
		// The steer daemon may answer again at any time.
		return append([]ident.VM{n.opts.Self.VM}, from...), false
	}
	return from, isRelay
}

func (n *Node) treeSources(now time.Time) ([]ident.VM, bool) {
	// The position is computed without the VMs that are avoided, so the next VMs replace relays that died. Sources
	// always come before the node in the order that all nodes share, so there is no cycle within a failure domain.
	own := slices.DeleteFunc(slices.Clone(n.ranked[n.opts.Self.Place.Domain]), func(vm ident.VM) bool {
		return !n.usable(now, vm)
	})
	pair := slices.Index(own, n.opts.Self.VM) / relaysPerDomain
	if pair > 0 {
		parent := (pair - 1) / fanOut * relaysPerDomain
		return slices.Clone(own[parent : parent+relaysPerDomain]), false
	}
	var from []ident.VM
	for _, vm := range own[:min(len(own), relaysPerDomain)] {
		if vm != n.opts.Self.VM {
			from = append(from, vm)
		}
	}
	return append(from, n.foreignSources(now, slices.Index(own, n.opts.Self.VM))...), true
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

// updateLinks recomputes the links after changes of the members and of the failures. Fetches in progress from peers
// that are no longer sources end on their own.
func (n *Node) updateLinks(now time.Time) {
	n.relink, n.relinkAt = false, time.Time{}
	for vm, f := range n.failed {
		switch {
		case now.Before(f.avoidUntil):
			n.relinkAt = earlier(n.relinkAt, f.avoidUntil)
		case now.Sub(f.avoidUntil) > 2*avoidMax:
			delete(n.failed, vm)
		}
	}
	var from []ident.VM
	from, n.isRelay = n.sources(now)
	var links []link
	for _, vm := range from {
		for _, k := range []Kind{Config, Plan} {
			i := slices.IndexFunc(n.links, func(l link) bool { return l.from == vm && l.kind == k })
			if i >= 0 {
				links = append(links, n.links[i])
				continue
			}
			links = append(links, link{from: vm, kind: k, nextAt: now})
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

// issue assigns an ID to an action and records the action as pending.
func (n *Node) issue(p purpose, a Action) Action {
	n.lastID++
	a.ID = n.lastID
	n.pending[a.ID] = pendingAction{purpose: p, kind: a.Kind, to: a.To}
	return a
}

// polls reports whether the node reads a document from the store. Every node does so until it may serve the document.
func (n *Node) polls(k Kind) bool {
	return n.isRelay || !n.docs[k].servable
}

func (n *Node) nextPoll(now time.Time, k Kind, dst []Action) []Action {
	d := &n.docs[k]
	if d.pollInProgress || now.Before(d.nextPoll) || !n.polls(k) {
		return dst
	}
	d.pollInProgress = true
	// The jitter keeps the relays of a domain from reading at the same time. It shortens the interval and never extends
	// it.
	wait := d.interval - n.jitter(d.interval/10)
	if !n.isRelay {
		// Thousands of nodes that start while the store is down must not overload it when it returns.
		wait <<= min(d.pollAttempts, maxStartBackoff)
		d.pollAttempts++
	}
	d.nextPoll = now.Add(wait)
	return append(dst, n.issue(forPoll, Action{Op: PollStore, Kind: k, HaveVersion: d.doc.Version, Timeout: storeTimeout}))
}

// nextStart fetches from the relays of every failure domain while the node may not serve the document yet.
func (n *Node) nextStart(now time.Time, k Kind, dst []Action) []Action {
	d := &n.docs[k]
	if d.servable || d.startFetches > 0 || now.Before(d.nextRound) {
		return dst
	}
	d.nextRound = now.Add(startRound)
	d.startRounds++
	d.answered = map[ident.VM]bool{}
	for _, vm := range n.startPeers(now) {
		d.startFetches++
		// HaveVersion is zero, so that a peer with the same version also sends it and counts as an answer.
		dst = append(dst, n.issue(forStart, Action{Op: Fetch, Kind: k, To: vm, Timeout: replyTimeout}))
	}
	return dst
}

func (n *Node) startPeers(now time.Time) []ident.VM {
	var list []ident.VM
	if n.opts.Leaf {
		list = append(list, n.opts.Self.VM)
	}
	domains := append([]ident.Domain{n.opts.Self.Place.Domain}, n.foreign...)
	for _, d := range domains {
		others := slices.DeleteFunc(slices.Clone(n.ranked[d]), func(vm ident.VM) bool { return vm == n.opts.Self.VM })
		queried := n.usableOf(now, others, relaysPerDomain)
		if len(queried) == 0 {
			queried = others[:min(len(others), relaysPerDomain)]
		}
		list = append(list, queried...)
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
	if d.doc.Version >= d.hintedVersion {
		return dst
	}
	a := Action{Op: Fetch, Kind: k, To: from, HaveVersion: d.doc.Version, Timeout: replyTimeout}
	return append(dst, n.issue(forExchange, a))
}

func (n *Node) nextLinks(now time.Time, dst []Action) []Action {
	for i := range n.links {
		l := &n.links[i]
		if l.actionID != 0 || now.Before(l.nextAt) {
			continue
		}
		l.nextAt = now.Add(fetchSpacing)
		a := Action{Op: Fetch, Kind: l.kind, To: l.from, HaveVersion: n.docs[l.kind].doc.Version, Timeout: replyTimeout}
		// A peer that failed before must answer at once, since a silent one would block the link for the whole wait.
		switch {
		case n.failed[l.from].count > 0:
		case l.from == n.opts.Self.VM:
			// The only source of a leaf is on the same VM, where requests are cheap and a silent daemon must be
			// detected soon.
			a.HoldFor, a.Timeout = localWait, 2*localWait
		default:
			a.HoldFor = longPollWait(len(n.peers))
			a.Timeout += a.HoldFor
		}
		a = n.issue(forLink, a)
		l.actionID = a.ID
		dst = append(dst, a)
	}
	return dst
}

func (n *Node) nextPushes(now time.Time, dst []Action) []Action {
	for i := range n.pushes {
		p := &n.pushes[i]
		if p.actionID != 0 || now.Before(p.nextAt) {
			continue
		}
		p.attempts++
		a := Action{Op: Push, Kind: p.kind, To: p.to, Timeout: pushTimeout, Doc: n.docs[p.kind].doc}
		a = n.issue(forPush, a)
		p.actionID = a.ID
		dst = append(dst, a)
	}
	return dst
}

// nextExchanges fetches from one random peer of another failure domain. This repairs what the tree misses, for example
// when all sources of a node have failed silently.
func (n *Node) nextExchanges(now time.Time, dst []Action) []Action {
	if now.Before(n.nextExchange) {
		return dst
	}
	n.nextExchange = now.Add(exchangeInterval)
	if n.usesLocal() {
		return dst
	}
	vm, ok := n.randomPeer()
	if !ok {
		return dst
	}
	for k := Config; k <= Plan; k++ {
		a := Action{Op: Fetch, Kind: k, To: vm, HaveVersion: n.docs[k].doc.Version, Timeout: replyTimeout}
		dst = append(dst, n.issue(forExchange, a))
	}
	return dst
}

// randomPeer returns a VM of another failure domain, or of the own one if there is no other. Avoided peers are
// included: after a partition between regions, this is how a node finds that the other side is reachable again.
func (n *Node) randomPeer() (ident.VM, bool) {
	var list []ident.VM
	for _, p := range n.peers {
		if p.Place.Domain != n.opts.Self.Place.Domain || len(n.foreign) == 0 {
			list = append(list, p.VM)
		}
	}
	if len(list) == 0 {
		return "", false
	}
	return list[n.rng.IntN(len(list))], true
}

// NextWake returns the time at which Next must be called again unless something else happens before. It can be in the past.
func (n *Node) NextWake() time.Time {
	if n.relink {
		return time.Time{}
	}
	t := earlier(n.nextExchange, n.relinkAt)
	for k := Config; k <= Plan; k++ {
		d := &n.docs[k]
		if !d.pollInProgress && n.polls(k) {
			t = earlier(t, d.nextPoll)
		}
		if d.hintFrom != "" {
			return time.Time{}
		}
		if !d.servable && d.startFetches == 0 {
			t = earlier(t, d.nextRound)
		}
	}
	for _, l := range n.links {
		if l.actionID == 0 {
			t = earlier(t, l.nextAt)
		}
	}
	for _, p := range n.pushes {
		if p.actionID == 0 {
			t = earlier(t, p.nextAt)
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

// Complete reports the result of an action. It returns true if a newer document came into force, or if the node may now
// serve a document: then fetches that are held may have an answer.
func (n *Node) Complete(now time.Time, id uint64, res Result) bool {
	action, ok := n.pending[id]
	if !ok {
		return false
	}
	delete(n.pending, id)
	// The timeout of a push is too short to treat the peer as failed.
	if action.purpose != forPoll && (res.OK || action.purpose != forPush) {
		n.recordAnswer(now, action.to, res.OK)
	}
	newer := res.OK && res.Doc.Kind == action.kind && n.apply(res.Doc)
	d := &n.docs[action.kind]
	wasServable := d.servable
	switch action.purpose {
	case forPoll:
		d.pollInProgress = false
		// The store's answer counts even if the store has no document yet: then no version was ever accepted.
		d.servable = d.servable || res.OK && (!res.Outdated || d.startRounds > maxOutdatedRounds)
	case forExchange:
		if newer {
			n.forward(now, action.kind)
		}
	case forLink:
		n.endLink(now, id, res.OK)
	case forPush:
		n.endPush(now, id, res.OK)
	case forStart:
		d.startFetches--
		if res.OK && res.Doc.Version > 0 {
			d.answered[action.to] = true
		}
		if d.startFetches == 0 && d.doc.Version > 0 && len(d.answered) >= n.requiredAnswers() {
			d.servable = true
		}
	}
	return newer || d.servable != wasServable
}

// requiredAnswers returns the number of peers that must answer at start-up.
func (n *Node) requiredAnswers() int {
	peers := len(n.peers)
	if n.opts.Leaf {
		peers++
	}
	// Without any peer only the store has the newest version.
	return min(max(peers, 1), startAnswers)
}

// recordAnswer records whether a peer answered.
func (n *Node) recordAnswer(now time.Time, vm ident.VM, ok bool) {
	f := n.failed[vm]
	if ok {
		if f.count > 0 {
			delete(n.failed, vm)
			n.relink = true
		}
		return
	}
	// Several fetches fail together when a peer dies; they count as one failure.
	if now.Before(f.avoidUntil) {
		return
	}
	f.avoidUntil = now.Add(min(avoidMin<<min(f.count, 8), avoidMax))
	f.count++
	n.failed[vm] = f
	n.relink = true
}

func (n *Node) endLink(now time.Time, id uint64, ok bool) {
	i := slices.IndexFunc(n.links, func(l link) bool { return l.actionID == id })
	if i < 0 {
		return
	}
	n.links[i].actionID = 0
	if !ok {
		n.links[i].nextAt = now.Add(replyTimeout)
	}
}

func (n *Node) endPush(now time.Time, id uint64, ok bool) {
	i := slices.IndexFunc(n.pushes, func(p push) bool { return p.actionID == id })
	if i < 0 {
		return
	}
	n.pushes[i].actionID, n.pushes[i].nextAt = 0, now
	if ok || n.pushes[i].attempts == pushAttempts {
		n.pushes = slices.Delete(n.pushes, i, i+1)
	}
}

// HandlePush handles a document that a peer pushed. It returns true if the document is newer and came into force.
func (n *Node) HandlePush(now time.Time, doc Document) bool {
	if !n.apply(doc) {
		return false
	}
	n.forward(now, doc.Kind)
	return true
}

// HandleStoreAnswer handles an answer of the store that was read without an action, and whose document was checked. It returns
// true if a newer document came into force, or if the node may now serve the document.
func (n *Node) HandleStoreAnswer(now time.Time, res Result) bool {
	newer := n.HandlePush(now, res.Doc)
	d := &n.docs[res.Doc.Kind]
	wasServable := d.servable
	d.servable = d.servable || !res.Outdated
	return newer || d.servable != wasServable
}

// Hint handles a version from a peer's probe message. The node fetches a newer version from that peer, once for each
// version; if the fetch fails, the other paths deliver it.
func (n *Node) Hint(from ident.VM, k Kind, v ident.Version) {
	if k < Config || k > Plan || from == n.opts.Self.VM {
		return
	}
	if d := &n.docs[k]; v > d.hintedVersion && v > d.doc.Version {
		d.hintedVersion, d.hintFrom = v, from
	}
}

// forward pushes a document that did not come from a source of the node to the relays of its failure domain. They are
// not below the node in the tree, and could miss the document if the sender has died.
func (n *Node) forward(now time.Time, k Kind) {
	if n.opts.Leaf || n.isRelay {
		return
	}
	n.replacePushes(now, k, n.usableOf(now, n.ranked[n.opts.Self.Place.Domain], relaysPerDomain))
}

// replacePushes replaces the pushes of older versions of the kind.
func (n *Node) replacePushes(now time.Time, k Kind, to []ident.VM) {
	n.pushes = slices.DeleteFunc(n.pushes, func(p push) bool { return p.kind == k })
	for _, vm := range to {
		if vm != n.opts.Self.VM {
			n.pushes = append(n.pushes, push{to: vm, kind: k, nextAt: now})
		}
	}
}

// apply brings a document into force if it is newer than the current one. No other function changes a document, so
// versions only increase.
func (n *Node) apply(doc Document) bool {
	if doc.Kind < Config || doc.Kind > Plan || doc.Version <= n.docs[doc.Kind].doc.Version {
		return false
	}
	n.docs[doc.Kind].doc = doc
	return true
}

// Publish handles a document that this process has written to the store. It is in force at once, and Next pushes it.
// Publish returns false if the node has a document that is as new or newer.
func (n *Node) Publish(now time.Time, doc Document) bool {
	if !n.apply(doc) {
		return false
	}
	n.docs[doc.Kind].servable = true
	n.replacePushes(now, doc.Kind, n.pushTargets(now, doc))
	return true
}

// pushTargets returns all peers if there are at most maxPushPeers, and otherwise one relay in each of some failure
// domains, which differ from version to version to spread the load.
func (n *Node) pushTargets(now time.Time, doc Document) []ident.VM {
	var list []ident.VM
	if len(n.peers) <= maxPushPeers {
		for _, p := range n.peers {
			list = append(list, p.VM)
		}
		return list
	}
	for _, d := range n.domains(strconv.FormatUint(uint64(doc.Version), 10)) {
		for _, vm := range n.usableOf(now, n.ranked[d], 1) {
			if vm != n.opts.Self.VM && len(list) < maxPushPeers {
				list = append(list, vm)
			}
		}
	}
	return list
}

// NewerThan returns the document if it is newer than have. It answers Fetch; if there is no newer one, the daemon holds the
// Fetch until Complete, HandlePush or Publish returns true. A node that may not serve yet returns no document, since its version
// can be old and would count as an answer to another starting node.
func (n *Node) NewerThan(k Kind, have ident.Version) (Document, bool) {
	if k < Config || k > Plan || !n.docs[k].servable || n.docs[k].doc.Version <= have {
		return Document{Kind: k}, false
	}
	return n.docs[k].doc, true
}

// Current returns the document in force; version 0 if there is none.
func (n *Node) Current(k Kind) Document {
	return n.docs[k].doc
}

// Ready reports whether the node may serve: for each kind, either the store has answered, or two peers have (all of
// them if there are fewer) after every relay was queried.
func (n *Node) Ready() bool {
	return n.Servable(Config) && n.Servable(Plan)
}

// Servable reports whether the node may serve the document of kind k, see Ready.
func (n *Node) Servable(k Kind) bool { return n.docs[k].servable }
