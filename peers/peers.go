// Package peers keeps track of which VMs are alive. Each VM counts heartbeats and sends the counts that it knows to a few
// others (gossip); a VM whose count has not grown for a while has failed. View has no I/O and no clock of its own; Run
// moves its messages over UDP.
package peers

import (
	"cmp"
	"maps"
	"math/bits"
	"math/rand"
	"slices"
	"strings"
	"time"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/proto"
)

const (
	// Interval is the time between two heartbeats of a VM.
	Interval = 300 * time.Millisecond
	// fanout is the number of VMs of its failure domain that each heartbeat is sent to.
	fanout = 2
	// bridges is the number of VMs of a failure domain that send each heartbeat to the other failure domains of the region
	// and to another region: bytes between places are dear, and one VM that hears something tells its own place. Two of them
	// make up for one that is cut off and does not know; a large failure domain has one for each bridgeVMs VMs.
	bridges   = 2
	bridgeVMs = 12
	// bridgeEvery is the number of heartbeats of which any other VM sends one there, should all bridges be cut off.
	bridgeEvery = 8
	// digestMost bounds the heartbeats of the region in one message.
	digestMost = 60
	// digestFar is the number of heartbeats of other regions in it, chosen at random: those that are missed the longest
	// would never be among the newest.
	digestFar = 30
	// failBase and failStep give the time without a heartbeat after which a VM has failed: news needs a number of rounds
	// that grows with the logarithm of the number of VMs.
	failBase = 1500 * time.Millisecond
	failStep = 250 * time.Millisecond
	// farSlack is added for VMs of other regions, of which fewer messages come.
	farSlack = 2000 * time.Millisecond
	// helloAgain is the heartbeat with which a VM asks once more for all others: at its first question, those that started
	// at the same time were not known yet.
	helloAgain = 7
	// askAgain is the least time between two questions for VMs of which only a heartbeat is known.
	askAgain = time.Second
	// forgetAfter is how long a failed VM is remembered.
	forgetAfter = 60 * time.Second
	// passOnFor is how long after its last heartbeat here a VM is made known to others. It is shorter than forgetAfter, so
	// that a dead VM is not brought back by those that learnt of it last.
	passOnFor = forgetAfter / 2
	// beatFor is the age up to which a heartbeat is passed on. It is below the greatest age that a message can tell.
	beatFor = 3 * time.Second
	// introduceFor is how long the address of a VM that was met recently is passed on, introduceMost bounds the addresses
	// in one message.
	introduceFor  = 2 * time.Second
	introduceMost = 10
	// shareFor is how long a VM that is not heard any more still counts among those that share the bounds of targets. It may
	// be cut off from here and send requests all the same: parts of the VMs that forget each other would each use the whole
	// bound.
	shareFor = forgetAfter
	// startTrust is how long after the start of this process VMs that it only heard tell of count as well.
	startTrust = shareFor
	// behindAfter is how long after the first sign of a change a VM waits for a peer to tell what it is.
	behindAfter = 400 * time.Millisecond
)

// Packet is a message and where it goes.
type Packet struct {
	To string
	// Message is shared by packets with the same content.
	Message *proto.Message
}

// member is what is known of one VM.
type member struct {
	proto.Info
	key  proto.Key
	beat proto.Beat
	// heard is when the newest heartbeat was counted, as far as its age tells; zero if there was none. met is when the VM
	// became known.
	heard, met time.Time
}

// passOn reports whether other VMs are told of the VM.
func (m *member) passOn(now time.Time) bool { return now.Sub(m.heard) < passOnFor }

// isNews reports whether the VM's heartbeat is passed on. That it leaves is news for longer.
func (m *member) isNews(now time.Time) bool {
	age := now.Sub(m.heard)
	return age < beatFor || m.beat.Leaving && age < passOnFor
}

// aged returns the VM's heartbeat with its present age.
func (m *member) aged(now time.Time) proto.Beat {
	b := m.beat
	b.Age = now.Sub(m.heard)
	return b
}

// View is one VM's knowledge of the others. It is not safe for concurrent use.
type View struct {
	self    proto.Info
	started time.Time
	beat    proto.Beat
	members map[proto.Key]*member
	// list are the members sorted by name, so that a seeded source gives the same choices.
	list []*member
	rnd  *rand.Rand
	// unmet says that a heartbeat of a VM has arrived whose address is not known, asked is when that was last asked for.
	unmet bool
	asked time.Time
	// seeds are addresses to greet while no other VM is known.
	seeds []string
	// operator is the newest version that this VM has seen, heardOperator the newest that a peer has seen, and heardAt when
	// that became newer than this VM's own.
	operator, heardOperator ident.Version
	heardAt                 time.Time
}

// NewView returns a view that knows only its own VM.
func NewView(now time.Time, self proto.Info, seeds []string, src rand.Source) *View {
	return &View{
		self: self, started: now, seeds: seeds, members: map[proto.Key]*member{}, rnd: rand.New(src),
		beat: proto.Beat{VM: proto.KeyOf(self.VM), Incarnation: self.Incarnation},
	}
}

// SetState records whether this VM takes callers, is about to stop, and which operators' change it has seen.
func (v *View) SetState(ready, leaving bool, operator ident.Version) {
	v.beat.Ready, v.beat.Leaving = ready, leaving
	v.operator = max(v.operator, operator)
}

// Behind reports whether a peer has seen a newer change of the operators than this VM, and the change itself should have
// arrived by now.
func (v *View) Behind(now time.Time) bool {
	return v.heardOperator > v.operator && now.Sub(v.heardAt) >= behindAfter
}

// UpToDate reports whether no peer has seen a newer change of the operators.
func (v *View) UpToDate() bool { return v.heardOperator <= v.operator }

// Newest returns the version of the newest change of the operators that this VM or a peer has seen.
func (v *View) Newest() ident.Version { return max(v.operator, v.heardOperator) }

// Listed takes the VMs that the store lists.
func (v *View) Listed(now time.Time, infos []proto.Info) {
	for _, i := range infos {
		v.meet(now, i)
	}
}

// CaughtUp records that this VM has read everything up to a version of the store. A full reading does not show what was
// removed, so that the version of a removal is known only from peers.
func (v *View) CaughtUp(version ident.Version) {
	if v.heardOperator <= version {
		v.operator = max(v.operator, v.heardOperator)
	}
}

func (v *View) meet(now time.Time, i proto.Info) {
	if i.VM == v.self.VM || i.VM == "" || i.Peer == "" {
		return
	}
	key := proto.KeyOf(i.VM)
	m := v.members[key]
	if m == nil {
		m = &member{Info: i, key: key, met: now}
		v.members[key] = m
		at, _ := slices.BinarySearchFunc(v.list, m, byName)
		v.list = slices.Insert(v.list, at, m)
		return
	}
	if i.Incarnation > m.Incarnation {
		m.Info = i
		m.met = now
	}
}

// Receive takes a message and returns the reply, if there is one.
func (v *View) Receive(now time.Time, msg proto.Message) []Packet {
	if msg.From.VM == v.self.VM {
		return nil
	}
	v.meet(now, msg.From)
	for _, i := range msg.Infos {
		v.meet(now, i)
	}
	for _, b := range msg.Beats {
		v.hear(now, b)
	}
	if msg.Operator > v.heardOperator {
		if v.UpToDate() {
			v.heardAt = now
		}
		v.heardOperator = msg.Operator
	}
	var reply []Packet
	if v.unmet && now.Sub(v.asked) >= askAgain {
		v.asked = now
		ask := proto.Message{From: v.self, Hello: true, Beats: []proto.Beat{v.beat}, Operator: v.operator}
		reply = append(reply, Packet{To: msg.From.Peer, Message: &ask})
	}
	v.unmet = false
	if msg.Hello {
		reply = append(reply, v.introduce(now, msg.From.Peer)...)
	}
	return reply
}

// introduce returns the messages that tell a VM of all others.
func (v *View) introduce(now time.Time, to string) []Packet {
	var packets []Packet
	for list := range slices.Chunk(v.list, digestMost) {
		msg := proto.Message{From: v.self, Beats: []proto.Beat{v.beat}, Operator: v.operator}
		for _, m := range list {
			if m.passOn(now) {
				msg.Infos = append(msg.Infos, m.Info)
			}
			if m.isNews(now) {
				msg.Beats = append(msg.Beats, m.aged(now))
			}
		}
		packets = append(packets, Packet{To: to, Message: &msg})
	}
	return packets
}

func (v *View) hear(now time.Time, b proto.Beat) {
	if b.VM == v.beat.VM {
		v.outdo(b.Incarnation)
		return
	}
	m := v.members[b.VM]
	if m == nil {
		v.unmet = true
		return
	}
	if b.Incarnation < m.beat.Incarnation || b.Incarnation == m.beat.Incarnation && b.Count <= m.beat.Count {
		return
	}
	m.beat = b
	m.heard = now.Add(-b.Age)
}

// outdo makes this process the newest of its VM. An earlier process has a greater incarnation if the time of day was ahead
// when it started; the others would ignore this one until they forget it.
func (v *View) outdo(i ident.Incarnation) {
	if i > v.beat.Incarnation {
		v.beat.Incarnation = i + 1
		v.self.Incarnation = i + 1
	}
}

// Tick counts a heartbeat and returns the messages to send. It is called every Interval.
func (v *View) Tick(now time.Time) []Packet {
	v.beat.Count++
	v.forget(now)
	to := v.addressees(now)
	msg := v.message(now, nearDigest)
	msg.Hello = !v.AnyHeard() || v.beat.Count == helloAgain
	packets := make([]Packet, 0, len(to.near)+len(to.siblings)+len(v.seeds))
	for _, m := range to.near {
		packets = append(packets, Packet{To: m.Peer, Message: &msg})
	}
	if len(to.siblings) > 0 {
		region := v.message(now, siblingDigest)
		region.Hello = msg.Hello
		for _, m := range to.siblings {
			packets = append(packets, Packet{To: m.Peer, Message: &region})
		}
	}
	if !msg.Hello {
		return packets
	}
	for _, to := range v.seeds {
		known := slices.ContainsFunc(packets, func(p Packet) bool { return p.To == to })
		if to != v.self.Peer && !known {
			packets = append(packets, Packet{To: to, Message: &msg})
		}
	}
	return packets
}

// Farewell returns messages that tell every known VM the present state at once.
func (v *View) Farewell(now time.Time) []Packet {
	v.beat.Count++
	msg := v.message(now, nearDigest)
	var packets []Packet
	for _, m := range v.list {
		packets = append(packets, Packet{To: m.Peer, Message: &msg})
	}
	return packets
}

// AnyHeard reports whether any other VM was heard from.
func (v *View) AnyHeard() bool {
	for _, m := range v.members {
		if !m.heard.IsZero() {
			return true
		}
	}
	return false
}

func (v *View) forget(now time.Time) {
	v.list = slices.DeleteFunc(v.list, func(m *member) bool {
		last := m.heard
		if last.IsZero() {
			last = m.met
		}
		gone := now.Sub(last) > forgetAfter
		if gone {
			delete(v.members, m.key)
		}
		return gone
	})
}

func byName(a, b *member) int { return strings.Compare(string(a.VM), string(b.VM)) }

// addressees are the VMs that one heartbeat is sent to, by what they are told.
type addressees struct {
	// near are those of the failure domain and of other regions, and a silent one in case it came back.
	near []*member
	// siblings are those of other failure domains of the region, which hear of other regions themselves.
	siblings []*member
}

// addressees chooses the VMs for one heartbeat.
func (v *View) addressees(now time.Time) addressees {
	var near, far, silent []*member
	domains := map[ident.Domain][]*member{}
	before := 0
	for _, m := range v.list {
		switch d := v.self.Place.To(m.Place); {
		case !v.alive(now, m):
			silent = append(silent, m)
		case d == ident.SameDomain:
			near = append(near, m)
			if m.key < v.beat.VM {
				before++
			}
		case d == ident.SameRegion:
			domains[m.Place.Domain] = append(domains[m.Place.Domain], m)
		default:
			far = append(far, m)
		}
	}
	alone := len(near)+len(domains)+len(far) == 0
	bridge := before < max(bridges, (len(near)+1)/bridgeVMs) || v.beat.Count%bridgeEvery == uint64(v.beat.VM)%bridgeEvery
	a := addressees{near: v.some(near, fanout)}
	if alone {
		a.near = append(a.near, v.some(silent, fanout)...)
	}
	if !bridge {
		return a
	}
	if !alone {
		a.near = slices.Concat(a.near, v.some(far, 1), v.some(silent, 1))
	}
	for _, d := range slices.Sorted(maps.Keys(domains)) {
		a.siblings = append(a.siblings, v.some(domains[d], 1)...)
	}
	return a
}

// some returns up to n members of a list in random order.
func (v *View) some(list []*member, n int) []*member {
	v.rnd.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(n, len(list))]
}

// digest bounds the heartbeats in a message. In all, there are at most digestMost of the region.
type digest struct {
	// domain bounds those of the own failure domain, the newest; far those of other regions.
	domain, far int
}

var (
	// nearDigest goes to VMs of the failure domain. Heartbeats of other failure domains arrive older: among the newest they
	// would have no place.
	nearDigest = digest{domain: digestMost / 2, far: digestFar}
	// siblingDigest goes to other failure domains of the region.
	siblingDigest = digest{domain: digestMost}
)

// message returns what this VM knows: heartbeats, the addresses of VMs that it met lately, and that of any other, so that
// every VM is met in the end.
func (v *View) message(now time.Time, d digest) proto.Message {
	msg := proto.Message{From: v.self, Beats: []proto.Beat{v.beat}, Operator: v.operator}
	var domain, region, others []*member
	for _, m := range v.list {
		if now.Sub(m.met) < introduceFor && m.passOn(now) && len(msg.Infos) < introduceMost {
			msg.Infos = append(msg.Infos, m.Info)
		}
		switch {
		case !m.isNews(now):
		case m.Place.Domain == v.self.Place.Domain:
			domain = append(domain, m)
		case m.Place.Region == v.self.Place.Region:
			region = append(region, m)
		default:
			others = append(others, m)
		}
	}
	slices.SortStableFunc(domain, func(a, b *member) int { return b.heard.Compare(a.heard) })
	domain = domain[:min(max(d.domain, digestMost-len(region)), len(domain))]
	for _, m := range slices.Concat(domain, v.some(region, digestMost-len(domain)), v.some(others, d.far)) {
		msg.Beats = append(msg.Beats, m.aged(now))
	}
	if len(v.list) > 0 {
		if m := v.list[v.rnd.Intn(len(v.list))]; m.passOn(now) {
			msg.Infos = append(msg.Infos, m.Info)
		}
	}
	return msg
}

// failAfter is the time without a heartbeat after which a VM has failed.
func (v *View) failAfter() time.Duration {
	return failBase + failStep*time.Duration(bits.Len(uint(len(v.members))))
}

func (v *View) alive(now time.Time, m *member) bool {
	limit := v.failAfter()
	if m.Place.Region != v.self.Place.Region {
		limit += farSlack
	}
	return !m.heard.IsZero() && now.Sub(m.heard) < limit && !m.beat.Leaving
}

// Ready returns the VMs that take callers, this one included, sorted by name.
func (v *View) Ready(now time.Time) []proto.Info {
	var list []proto.Info
	if v.beat.Ready && !v.beat.Leaving {
		list = append(list, v.self)
	}
	for _, m := range v.list {
		if v.alive(now, m) && m.beat.Ready {
			list = append(list, m.Info)
		}
	}
	return list
}

// Group returns the VMs that share the reading of the registry with this one, in the order in which they take it on: those
// of its region that are alive. The order is the same on all of them while they agree on who is alive.
func (v *View) Group(now time.Time) []proto.Info {
	list := []proto.Info{v.self}
	for _, m := range v.list {
		if m.Place.Region == v.self.Place.Region && v.alive(now, m) {
			list = append(list, m.Info)
		}
	}
	slices.SortFunc(list, func(a, b proto.Info) int { return cmp.Compare(proto.KeyOf(a.VM), proto.KeyOf(b.VM)) })
	return list
}

// Tell returns the messages that carry news or a change to the other VMs of the group. Either may be nil.
func (v *View) Tell(now time.Time, news *proto.News, change *proto.Change) []Packet {
	var packets []Packet
	msg := proto.Message{From: v.self, News: news, Change: change, Operator: v.operator}
	for _, i := range v.Group(now) {
		if i.VM != v.self.VM {
			packets = append(packets, Packet{To: i.Peer, Message: &msg})
		}
	}
	return packets
}

// Sharing returns the VMs that may send requests to the same targets, this one included. It errs on the side of too
// many, so that the parts of a partition have one view of the VMs: all count that did not say that they leave, whether
// they are heard or not.
func (v *View) Sharing(now time.Time) []ident.VM {
	list := []ident.VM{v.self.VM}
	for _, m := range v.list {
		if m.beat.Leaving {
			continue
		}
		if now.Sub(m.heard) < shareFor || m.heard.IsZero() && now.Sub(v.started) < startTrust {
			list = append(list, m.VM)
		}
	}
	return list
}
