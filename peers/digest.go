package peers

import (
	"maps"
	"slices"
	"time"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/proto"
)

// recipients are the VMs that receive one heartbeat, grouped by the message that they get.
type recipients struct {
	// direct are VMs of the own failure domain and of other regions, and failed VMs in case they have recovered.
	direct []*member
	// otherDomains are VMs of the region's other failure domains. They receive heartbeats of other regions themselves.
	otherDomains []*member
}

// chooseRecipients chooses the recipients of one heartbeat.
func (v *View) chooseRecipients(now time.Time) recipients {
	var sameDomain, otherRegions, failed []*member
	domains := map[ident.Domain][]*member{}
	rank := 0
	for _, m := range v.sorted {
		switch d := v.self.Place.To(m.Place); {
		case !v.alive(now, m):
			failed = append(failed, m)
		case d == ident.SameDomain:
			sameDomain = append(sameDomain, m)
			if m.key < v.heartbeat.VM {
				rank++
			}
		case d == ident.SameRegion:
			domains[m.Place.Domain] = append(domains[m.Place.Domain], m)
		default:
			otherRegions = append(otherRegions, m)
		}
	}
	alone := len(sameDomain)+len(domains)+len(otherRegions) == 0
	isBridge := rank < max(bridgesPerDomain, (len(sameDomain)+1)/vmsPerBridge) || v.heartbeat.Count%nonBridgePeriod == uint64(v.heartbeat.VM)%nonBridgePeriod
	r := recipients{direct: v.sample(sameDomain, fanout)}
	if alone {
		r.direct = append(r.direct, v.sample(failed, fanout)...)
	}
	if !isBridge {
		return r
	}
	if !alone {
		r.direct = slices.Concat(r.direct, v.sample(otherRegions, 1), v.sample(failed, 1))
	}
	for _, d := range slices.Sorted(maps.Keys(domains)) {
		r.otherDomains = append(r.otherDomains, v.sample(domains[d], 1)...)
	}
	return r
}

// sample returns up to n members of list in random order. It reorders list.
func (v *View) sample(list []*member, n int) []*member {
	v.rnd.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(n, len(list))]
}

// digestLimits limits the heartbeats in a message. At most maxRegionHeartbeats of them are of the own region.
type digestLimits struct {
	// domainHeartbeats is the number of heartbeats of the own failure domain, newest first, for which there is always room;
	// remoteHeartbeats the maximum of those of other regions.
	domainHeartbeats, remoteHeartbeats int
}

var (
	// defaultDigest is for VMs of the own failure domain and of other regions. It reserves room for heartbeats of the
	// region's other failure domains: they arrive older and would never be among the newest.
	defaultDigest = digestLimits{domainHeartbeats: maxRegionHeartbeats / 2, remoteHeartbeats: maxRemoteHeartbeats}
	// otherDomainDigest is for VMs of the region's other failure domains.
	otherDomainDigest = digestLimits{domainHeartbeats: maxRegionHeartbeats}
)

// digestMessage returns a message with heartbeats, the addresses of new members, and the address of one member chosen
// at random, so that every address reaches all VMs eventually.
func (v *View) digestMessage(now time.Time, limits digestLimits) proto.Message {
	msg := v.newMessage()
	msg.Heartbeats = []proto.Heartbeat{v.heartbeat}
	var sameDomain, sameRegion, otherRegions []*member
	for _, m := range v.sorted {
		if now.Sub(m.addedAt) < advertiseFor && m.gossiped(now) && len(msg.VMs) < maxAdvertised {
			msg.VMs = append(msg.VMs, m.VMInfo)
		}
		switch {
		case !m.heartbeatGossiped(now):
		case m.Place.Domain == v.self.Place.Domain:
			sameDomain = append(sameDomain, m)
		case m.Place.Region == v.self.Place.Region:
			sameRegion = append(sameRegion, m)
		default:
			otherRegions = append(otherRegions, m)
		}
	}
	slices.SortStableFunc(sameDomain, func(a, b *member) int { return b.lastHeartbeat.Compare(a.lastHeartbeat) })
	sameDomain = sameDomain[:min(max(limits.domainHeartbeats, maxRegionHeartbeats-len(sameRegion)), len(sameDomain))]
	for _, m := range slices.Concat(sameDomain, v.sample(sameRegion, maxRegionHeartbeats-len(sameDomain)), v.sample(otherRegions, limits.remoteHeartbeats)) {
		msg.Heartbeats = append(msg.Heartbeats, m.agedHeartbeat(now))
	}
	if len(v.sorted) > 0 {
		if m := v.sorted[v.rnd.Intn(len(v.sorted))]; m.gossiped(now) {
			msg.VMs = append(msg.VMs, m.VMInfo)
		}
	}
	return msg
}
