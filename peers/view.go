// Package peers detects which VMs are alive. Each VM increments a heartbeat counter and gossips the counters that it
// has to a few others; a VM whose counter has not grown within a timeout has failed. View performs no I/O and reads no
// clock; Service exchanges its messages over UDP.
package peers

import (
	"cmp"
	"maps"
	"math/bits"
	"math/rand"
	"slices"
	"strings"
	"time"

	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/proto"
)

const (
	// HeartbeatInterval is the time between two heartbeats of a VM.
	HeartbeatInterval = 300 * time.Millisecond
	// fanout is the number of VMs of the same failure domain that receive each heartbeat message.
	fanout = 2
	// bridgesPerDomain is the minimum number of VMs of a failure domain, its bridges, that send each heartbeat to the
	// region's other failure domains and to another region. Traffic between failure domains is expensive, and a
	// receiver gossips the heartbeat within its own failure domain. There are two in case one is cut off without
	// noticing. A large failure domain has one bridge for each vmsPerBridge VMs.
	bridgesPerDomain = 2
	vmsPerBridge     = 12
	// nonBridgePeriod is the number of heartbeats after which a VM that is no bridge sends one to the other failure
	// domains and regions, in case all bridges are cut off.
	nonBridgePeriod = 8
	// maxRegionHeartbeats bounds the heartbeats of the own region's VMs in one message.
	maxRegionHeartbeats = 60
	// maxRemoteHeartbeats bounds the heartbeats of other regions' VMs in one message. They are chosen at random: among the
	// newest, the VM whose heartbeats have not arrived for longest would never be included.
	maxRemoteHeartbeats = 30
	// failTimeoutBase and failTimeoutStep give the time without a heartbeat after which a VM has failed. The timeout
	// grows with the logarithm of the number of VMs, as does the number of gossip rounds until all of them have a
	// heartbeat.
	failTimeoutBase = 1500 * time.Millisecond
	failTimeoutStep = 250 * time.Millisecond
	// remoteFailSlack is added to the timeout for VMs of other regions, which exchange fewer messages.
	remoteFailSlack = 2000 * time.Millisecond
	// secondMembersRequestCount is the heartbeat count at which a VM requests all members a second time: the replies to
	// its first request lack VMs that started at the same time.
	secondMembersRequestCount = 7
	// minMembersRequestInterval is the minimum time between two requests for the addresses of VMs of which only heartbeats have
	// arrived.
	minMembersRequestInterval = time.Second
	// removeAfter is the time without a heartbeat after which a VM is removed from the member list.
	removeAfter = 60 * time.Second
	// gossipFor is the time after a VM's last heartbeat during which its address is sent to others. It is shorter than
	// removeAfter, so that the VMs that received a failed VM's address last don't add it again on those that have
	// removed it.
	gossipFor = removeAfter / 2
	// maxHeartbeatAge is the age up to which a heartbeat is sent on. It is below the greatest age that a message can encode.
	maxHeartbeatAge = 3 * time.Second
	// advertiseFor is how long a new member's address is included in messages, maxAdvertised the maximum number of such
	// addresses in one message.
	advertiseFor  = 2 * time.Second
	maxAdvertised = 10
	// maxColdBytes bounds a message with reports about the warm-up of targets, so that its datagram isn't fragmented: with the
	// headers of IP and UDP it stays below 1,280 bytes, which each IPv6 link carries.
	maxColdBytes = 1200
	// behindGrace is how long a VM waits for a peer to send a change, counted from the first message with a newer
	// version.
	behindGrace = 400 * time.Millisecond
)

// Packet is a message with its destination.
type Packet struct {
	// To is the destination's host:port.
	To string
	// Message is shared by packets with the same content.
	Message *proto.Message
}

// member is the state of one other VM.
type member struct {
	proto.VMInfo
	key       proto.Key
	heartbeat proto.Heartbeat
	// lastHeartbeat is the time at which the VM sent its newest heartbeat, estimated from the heartbeat's age; zero if none
	// has arrived. addedAt is when this incarnation of the VM was added.
	lastHeartbeat, addedAt time.Time
}

// gossiped reports whether the VM's address is sent to other VMs.
func (m *member) gossiped(now time.Time) bool { return now.Sub(m.lastHeartbeat) < gossipFor }

// heartbeatGossiped reports whether the VM's heartbeat is sent to other VMs. A heartbeat that announces a stop is sent for
// longer.
func (m *member) heartbeatGossiped(now time.Time) bool {
	age := now.Sub(m.lastHeartbeat)
	return age < maxHeartbeatAge || m.heartbeat.Stopping && age < gossipFor
}

// agedHeartbeat returns the VM's newest heartbeat with its age at now.
func (m *member) agedHeartbeat(now time.Time) proto.Heartbeat {
	b := m.heartbeat
	b.Age = now.Sub(m.lastHeartbeat)
	return b
}

// View is one VM's member list. It is not safe for concurrent use.
type View struct {
	self      proto.VMInfo
	started   time.Time
	heartbeat proto.Heartbeat
	members   map[proto.Key]*member
	// sorted is members sorted by name, so that a seeded random source gives reproducible choices.
	sorted []*member
	rnd    *rand.Rand
	// unknownHeartbeat says that a heartbeat of a VM without a known address has arrived, lastMembersRequest when such
	// addresses were last requested.
	unknownHeartbeat   bool
	lastMembersRequest time.Time
	// domains are the deployment's failure domains, sorted; none if they are unknown.
	domains []ident.Domain
	// otherRegions is set if some of the failure domains are in other regions.
	otherRegions bool
	// seeds are the addresses that receive requests for all members while no other VM is known.
	seeds []string
	// operatorVersion is the newest version of the operators' table that this VM has read, peerOperatorVersion the
	// newest that a peer has announced, and behindSince when that first exceeded operatorVersion.
	operatorVersion, peerOperatorVersion ident.Version
	behindSince                          time.Time
	// configVersion is the version of the configuration that this VM has in force, peerConfigVersion the newest that a peer
	// has announced, configHolder the last such peer, heard at configHeardAt, and configBehindSince when that first exceeded
	// configVersion.
	configVersion, peerConfigVersion ident.Version
	configHolder                     proto.VMInfo
	configHeardAt, configBehindSince time.Time
}

// Option changes a setting of a View.
type Option func(*View)

// WithDomains sets the failure domains of the deployment with their regions. HasQuorum counts the failure domains, and Isolated
// expects VMs in each region.
func WithDomains(domains map[ident.Domain]ident.Region) Option {
	return func(v *View) {
		v.domains = slices.Sorted(maps.Keys(domains))
		for _, r := range domains {
			v.otherRegions = v.otherRegions || r != v.self.Place.Region
		}
	}
}

// NewView returns a view that contains only its own VM.
func NewView(now time.Time, self proto.VMInfo, seeds []string, source rand.Source, opts ...Option) *View {
	v := &View{
		self: self, started: now, seeds: seeds, members: map[proto.Key]*member{}, rnd: rand.New(source),
		heartbeat: proto.Heartbeat{VM: proto.KeyOf(self.VM), Incarnation: self.Incarnation},
	}
	for _, opt := range opts {
		opt(v)
	}
	return v
}

// SetState sets whether this VM takes callers and whether it is stopping.
func (v *View) SetState(ready, stopping bool) {
	v.heartbeat.Ready, v.heartbeat.Stopping = ready, stopping
}

// newMessage returns a message with what all messages of this VM state.
func (v *View) newMessage() proto.Message {
	return proto.Message{From: v.self, OperatorVersion: v.operatorVersion, ConfigVersion: v.configVersion}
}

// AddListed adds the VMs that the store lists.
func (v *View) AddListed(now time.Time, vms []proto.VMInfo) {
	for _, i := range vms {
		v.addMember(now, i)
	}
}

// addMember adds a VM, or replaces the entry of an earlier incarnation. VMs of a build without capacities pass entries on without
// them; a missing capacity is taken from a later message.
func (v *View) addMember(now time.Time, i proto.VMInfo) {
	if i.VM == v.self.VM || i.VM == "" || i.PeerAddress == "" {
		return
	}
	key := proto.KeyOf(i.VM)
	m := v.members[key]
	if m == nil {
		m = &member{VMInfo: i, key: key, addedAt: now}
		v.members[key] = m
		at, _ := slices.BinarySearchFunc(v.sorted, m, byName)
		v.sorted = slices.Insert(v.sorted, at, m)
		return
	}
	if i.Incarnation > m.Incarnation {
		m.VMInfo = i
		m.addedAt = now
	}
	if i.Incarnation == m.Incarnation && m.Capacity == 0 {
		m.Capacity = i.Capacity
	}
}

// Receive applies a message and returns the replies.
func (v *View) Receive(now time.Time, msg proto.Message) []Packet {
	if msg.From.VM == v.self.VM {
		return nil
	}
	v.addMember(now, msg.From)
	for _, i := range msg.VMs {
		v.addMember(now, i)
	}
	for _, b := range msg.Heartbeats {
		v.mergeHeartbeat(now, b)
	}
	if msg.OperatorVersion > v.peerOperatorVersion {
		if v.OperatorTableCurrent() {
			v.behindSince = now
		}
		v.peerOperatorVersion = msg.OperatorVersion
	}
	v.receiveConfigVersion(now, msg.From, msg.ConfigVersion)
	var reply []Packet
	if v.unknownHeartbeat && now.Sub(v.lastMembersRequest) >= minMembersRequestInterval {
		v.lastMembersRequest = now
		ask := v.newMessage()
		ask.RequestMembers, ask.Heartbeats = true, []proto.Heartbeat{v.heartbeat}
		reply = append(reply, Packet{To: msg.From.PeerAddress, Message: &ask})
	}
	v.unknownHeartbeat = false
	if msg.RequestMembers {
		reply = append(reply, v.membersReply(now, msg.From.PeerAddress)...)
	}
	return reply
}

// membersReply returns the messages with the addresses and heartbeats of all members.
func (v *View) membersReply(now time.Time, to string) []Packet {
	var packets []Packet
	for list := range slices.Chunk(v.sorted, maxRegionHeartbeats) {
		msg := v.newMessage()
		msg.Heartbeats = []proto.Heartbeat{v.heartbeat}
		for _, m := range list {
			if m.gossiped(now) {
				msg.VMs = append(msg.VMs, m.VMInfo)
			}
			if m.heartbeatGossiped(now) {
				msg.Heartbeats = append(msg.Heartbeats, m.agedHeartbeat(now))
			}
		}
		packets = append(packets, Packet{To: to, Message: &msg})
	}
	return packets
}

// mergeHeartbeat applies a received heartbeat if it is newer than the stored one.
func (v *View) mergeHeartbeat(now time.Time, b proto.Heartbeat) {
	if b.VM == v.heartbeat.VM {
		v.raiseIncarnation(b.Incarnation)
		return
	}
	m := v.members[b.VM]
	if m == nil {
		v.unknownHeartbeat = true
		return
	}
	if b.Incarnation < m.heartbeat.Incarnation || b.Incarnation == m.heartbeat.Incarnation && b.Count <= m.heartbeat.Count {
		return
	}
	m.heartbeat = b
	m.lastHeartbeat = now.Add(-b.Age)
}

// raiseIncarnation makes this process the newest of its VM. If the wall clock was ahead when an earlier process of the
// VM started, that process has a greater incarnation, and the others would ignore this one until they remove the VM.
func (v *View) raiseIncarnation(observed ident.Incarnation) {
	if observed > v.heartbeat.Incarnation {
		v.heartbeat.Incarnation = observed + 1
		v.self.Incarnation = observed + 1
	}
}

// Tick increments the heartbeat and returns the messages to send. It is called every HeartbeatInterval.
func (v *View) Tick(now time.Time) []Packet {
	v.heartbeat.Count++
	v.removeExpired(now)
	to := v.chooseRecipients(now)
	msg := v.digestMessage(now, defaultDigest)
	msg.RequestMembers = !v.AnyHeartbeat() || v.heartbeat.Count == secondMembersRequestCount
	packets := make([]Packet, 0, len(to.direct)+len(to.otherDomains)+len(v.seeds))
	for _, m := range to.direct {
		packets = append(packets, Packet{To: m.PeerAddress, Message: &msg})
	}
	if len(to.otherDomains) > 0 {
		region := v.digestMessage(now, otherDomainDigest)
		region.RequestMembers = msg.RequestMembers
		for _, m := range to.otherDomains {
			packets = append(packets, Packet{To: m.PeerAddress, Message: &region})
		}
	}
	if !msg.RequestMembers {
		return packets
	}
	for _, to := range v.seeds {
		known := slices.ContainsFunc(packets, func(p Packet) bool { return p.To == to })
		if to != v.self.PeerAddress && !known {
			packets = append(packets, Packet{To: to, Message: &msg})
		}
	}
	return packets
}

// BroadcastState returns messages that carry this VM's current state to every member.
func (v *View) BroadcastState(now time.Time) []Packet {
	v.heartbeat.Count++
	msg := v.digestMessage(now, defaultDigest)
	var packets []Packet
	for _, m := range v.sorted {
		packets = append(packets, Packet{To: m.PeerAddress, Message: &msg})
	}
	return packets
}

// AnyHeartbeat reports whether a heartbeat of any other VM has arrived.
func (v *View) AnyHeartbeat() bool {
	for _, m := range v.members {
		if !m.lastHeartbeat.IsZero() {
			return true
		}
	}
	return false
}

// removeExpired removes the members without a heartbeat for removeAfter.
func (v *View) removeExpired(now time.Time) {
	v.sorted = slices.DeleteFunc(v.sorted, func(m *member) bool {
		last := m.lastHeartbeat
		if last.IsZero() {
			last = m.addedAt
		}
		gone := now.Sub(last) > removeAfter
		if gone {
			delete(v.members, m.key)
		}
		return gone
	})
}

func byName(a, b *member) int { return strings.Compare(string(a.VM), string(b.VM)) }

// failTimeout returns the time without a heartbeat after which a VM of the own region has failed.
func (v *View) failTimeout() time.Duration {
	return failTimeoutBase + failTimeoutStep*time.Duration(bits.Len(uint(len(v.members))))
}

// alive reports whether a member has neither failed nor announced that it stops.
func (v *View) alive(now time.Time, m *member) bool {
	limit := v.failTimeout()
	if m.Place.Region != v.self.Place.Region {
		limit += remoteFailSlack
	}
	return !m.lastHeartbeat.IsZero() && now.Sub(m.lastHeartbeat) < limit && !m.heartbeat.Stopping
}

// Ready returns the VMs that take callers, including this one, sorted by name with this one first.
func (v *View) Ready(now time.Time) []proto.VMInfo {
	var list []proto.VMInfo
	if v.heartbeat.Ready && !v.heartbeat.Stopping {
		list = append(list, v.self)
	}
	for _, m := range v.sorted {
		if v.alive(now, m) && m.heartbeat.Ready {
			list = append(list, m.VMInfo)
		}
	}
	return list
}

// Alive returns the VMs that have neither failed nor announced that they stop, without this one, sorted by name.
func (v *View) Alive(now time.Time) []proto.VMInfo {
	var list []proto.VMInfo
	for _, m := range v.sorted {
		if v.alive(now, m) {
			list = append(list, m.VMInfo)
		}
	}
	return list
}

// RegionGroup returns the live VMs of the own region, including this one, which share the reading of the registry. They are
// sorted by key, which is the order in which they take over the reading; VMs that agree on who is alive get the same
// order.
func (v *View) RegionGroup(now time.Time) []proto.VMInfo {
	list := []proto.VMInfo{v.self}
	for _, m := range v.sorted {
		if m.Place.Region == v.self.Place.Region && v.alive(now, m) {
			list = append(list, m.VMInfo)
		}
	}
	slices.SortFunc(list, func(a, b proto.VMInfo) int { return cmp.Compare(proto.KeyOf(a.VM), proto.KeyOf(b.VM)) })
	return list
}

// GroupMessages returns messages that carry changes of the registry or of the operators' table to the other VMs of the
// group. Either may be nil.
func (v *View) GroupMessages(now time.Time, registry *proto.RegistryDelta, operator *proto.OperatorDelta) []Packet {
	var packets []Packet
	msg := v.newMessage()
	msg.Registry, msg.OperatorChange = registry, operator
	for _, i := range v.RegionGroup(now) {
		if i.VM != v.self.VM {
			packets = append(packets, Packet{To: i.PeerAddress, Message: &msg})
		}
	}
	return packets
}

// ColdMessages returns messages that tell every member what this VM has found out about the warm-up of targets. Each message takes as
// many reports as fit into maxColdBytes.
func (v *View) ColdMessages(reports []fleet.ColdReport) []Packet {
	var packets []Packet
	for len(reports) > 0 {
		msg := v.newMessage()
		n, size := 0, len(msg.Append(nil))
		for n < len(reports) && (n == 0 || size+proto.ColdReportBytes(&reports[n]) <= maxColdBytes) {
			size += proto.ColdReportBytes(&reports[n])
			n++
		}
		msg.Cold, reports = reports[:n], reports[n:]
		for _, m := range v.sorted {
			packets = append(packets, Packet{To: m.PeerAddress, Message: &msg})
		}
	}
	return packets
}
