// Package relay schedules the dissemination of documents (the configuration and the traffic plan) to every node: which
// nodes read the store, which peers a node long-polls, what is pushed, and when a starting node has the newest version.
// It performs no I/O: a Node returns actions, and the daemon performs them and reports the results.
package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/currantpier/currantpier/ident"
)

// Kind is the kind of a document. The values equal those of wire.DocumentKind.
type Kind uint8

// The kinds of documents.
const (
	Config Kind = 1
	Plan   Kind = 2
)

// Document is one version of a document.
type Document struct {
	Kind Kind
	// Version is zero if there is no document.
	Version ident.Version
	// Body must not be modified.
	Body []byte
}

// Peer is an entry VM that takes part in the dissemination.
type Peer struct {
	VM    ident.VM
	Place ident.Place
}

// Op is what an action does.
type Op uint8

// The operations.
const (
	// PollStore reads a document from the store.
	PollStore Op = iota
	// Fetch requests from a peer a version newer than HaveVersion. The peer answers at once if it has one, and otherwise after
	// Wait at the latest.
	Fetch
	// Push sends Doc to a peer.
	Push
)

// Action is one I/O operation for the daemon. The daemon reports the end of each action to Node.Complete with the ID.
type Action struct {
	ID   uint64
	Op   Op
	Kind Kind
	// To is the peer of a Fetch or Push. For a leaf it can be the leaf's own VM, which means the steer daemon there.
	To ident.VM
	// HaveVersion is the version that the node has. PollStore need not read the body unless the store has a newer version.
	HaveVersion ident.Version
	// HoldFor is how long the peer may hold a Fetch; zero requests an immediate answer.
	HoldFor time.Duration
	// Timeout is the time after which the daemon reports a failure.
	Timeout time.Duration
	// Doc is the document of a Push.
	Doc Document
}

// Result is the result of an action.
type Result struct {
	// OK is false if the store or the peer was not reached or its answer was invalid.
	OK bool
	// Doc is the document in the answer; version 0 if there was none.
	Doc Document
	// Outdated is set if the answer is the store's and the store may have lost a newer version, since it has returned to
	// an earlier copy of itself.
	Outdated bool
}

// Options configures a Node.
type Options struct {
	Self Peer
	// Leaf is set in the entry daemon. A leaf fetches from the steer daemon on its own VM, and from the tree only while
	// that daemon does not answer.
	Leaf bool
	// ConfigInterval and PlanInterval are the intervals between store reads of a relay; zero means one second.
	ConfigInterval, PlanInterval time.Duration
	// Seed seeds the random choice of peers and the jitter.
	Seed uint64
}

const (
	// relaysPerDomain is how many VMs of a failure domain read the store.
	relaysPerDomain = 2
	// fanOut is the number of pairs of VMs that fetch from one pair. It bounds what one node sends: a relay that served
	// all 55 VMs of its failure domain would exceed 16 KB a second with documents of 8 KB.
	fanOut = 2

	defaultInterval  = time.Second
	storeTimeout     = 2 * time.Second
	exchangeInterval = 5 * time.Second
	// replyTimeout is how long a peer may take to answer a fetch that it does not hold.
	replyTimeout = time.Second
	// localWait is how long the steer daemon may hold a fetch of the entry daemon on the same VM.
	localWait = 500 * time.Millisecond
	// fetchSpacing is the minimum time between two fetches of one document from one peer.
	fetchSpacing = 100 * time.Millisecond

	// maxPushPeers is the maximum number of VMs to which an accepted document is pushed. In a deployment of 12 VMs, all
	// get it.
	maxPushPeers = 16
	// pushTimeout leaves room for a round trip between regions (110 ms) and for four attempts within 2 s.
	pushTimeout  = 400 * time.Millisecond
	pushAttempts = 10

	// A peer that failed is avoided for avoidMin, and for twice as long after each further failure in a row, up to
	// avoidMax.
	avoidMin = 5 * time.Second
	avoidMax = time.Minute

	// A starting node queries its peers if the store has not answered after startGrace.
	startGrace = 500 * time.Millisecond
	// startRound is the time between two rounds of start-up fetches.
	startRound = time.Second
	// maxStartBackoff is the maximum number of times that the interval between store reads is doubled for a starting
	// node that is not a relay.
	maxStartBackoff = 3
	// maxOutdatedRounds is the number of rounds of start-up fetches after which an outdated answer of the store counts.
	// If all nodes start after the store has lost documents, none of them can answer the others.
	maxOutdatedRounds = 3
	// startAnswers is the number of peers that must answer at start-up, or all peers if there are fewer.
	startAnswers = 2
)

// longPollWait returns how long a peer may hold a fetch. Short waits detect a silent peer sooner, but with many peers
// their requests would cost more than the documents.
func longPollWait(peers int) time.Duration {
	return min(max(time.Duration(peers)*10*time.Millisecond, 2*time.Second), 10*time.Second)
}

// Relays returns the VMs of a failure domain that read the store: the two with the highest rendezvous hash, or all if
// there are fewer.
func Relays(peers []Peer, d ident.Domain) []ident.VM {
	vms := rank(peers)[d]
	return vms[:min(len(vms), relaysPerDomain)]
}

// rank returns the VMs of each failure domain in descending order of their rendezvous hash.
func rank(peers []Peer) map[ident.Domain][]ident.VM {
	ranked := map[ident.Domain][]ident.VM{}
	for _, p := range peers {
		ranked[p.Place.Domain] = append(ranked[p.Place.Domain], p.VM)
	}
	for d, vms := range ranked {
		ranked[d] = sortByHash(vms, string(d))
	}
	return ranked
}

// sortByHash sorts names by the hash of key and name, highest first, and removes duplicates. Nodes with the same names
// get the same order.
func sortByHash(vms []ident.VM, key string) []ident.VM {
	hash := make(map[ident.VM]uint64, len(vms))
	for _, vm := range vms {
		hash[vm] = xxhash.Sum64String(key + "/" + string(vm))
	}
	slices.SortFunc(vms, func(a, b ident.VM) int {
		if c := cmp.Compare(hash[b], hash[a]); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	return slices.Compact(vms)
}
