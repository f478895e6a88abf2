// Package relay decides how documents (the configuration and the traffic plan) reach every node: who reads the store,
// who long-polls whom, what is pushed, and when a starting node has the newest version. It performs no I/O: a Node
// returns actions, and the daemon performs them and reports the results.
package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/currantpier/currantpier/ident"
)

// Kind says what a document is. The values equal those of wire.DocumentKind.
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
	// Body is not changed after the document was made.
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
	// Fetch asks a peer for a version newer than Have. The peer answers at once if it has one and otherwise after Wait.
	Fetch
	// Push sends Doc to a peer.
	Push
)

// Action is one piece of I/O that the daemon performs. It reports the end of each action to Node.Done with the ID.
type Action struct {
	ID   uint64
	Op   Op
	Kind Kind
	// To is the peer for Fetch and Push. For a leaf it can be its own VM, which means the steer daemon there.
	To ident.VM
	// Have is the version that the node has. For PollStore the body need not be read unless the store's is newer.
	Have ident.Version
	// Wait is how long the peer may hold a Fetch; zero asks for an immediate answer.
	Wait time.Duration
	// Timeout is how long the daemon waits for the end before it reports a failure.
	Timeout time.Duration
	// Doc is the document of a Push.
	Doc Document
}

// Result is the end of an action.
type Result struct {
	// OK is false if the store or the peer was not reached or its answer was not usable.
	OK bool
	// Doc is the document of the answer; version 0 if the answer had none.
	Doc Document
}

// Options configures a Node.
type Options struct {
	Self Peer
	// Leaf is set in the entry daemon. A leaf fetches from the steer daemon on its own VM and uses the tree only while
	// that one does not answer.
	Leaf bool
	// ConfigInterval and PlanInterval are the periods of store reads of a relay; zero means one second.
	ConfigInterval, PlanInterval time.Duration
	// Seed starts the random source for the choice of peers and for jitter.
	Seed uint64
}

// The periods and limits of the dissemination.
const (
	// relaysPerDomain of the VMs of a failure domain read the store.
	relaysPerDomain = 2
	// fanOut is the number of pairs of VMs that fetch from one pair. It bounds what one node sends: a relay that served
	// all 55 VMs of its failure domain would exceed 16 KB a second with documents of 8 KB.
	fanOut = 2

	defaultInterval  = time.Second
	storeTimeout     = 2 * time.Second
	exchangeInterval = 5 * time.Second
	// replyTimeout is how long a peer may take for an answer that it does not hold back.
	replyTimeout = time.Second
	// localWait is how long the steer daemon holds a fetch of the entry daemon on the same VM.
	localWait = 500 * time.Millisecond
	// fetchSpacing is the shortest time between two fetches of one document from one peer.
	fetchSpacing = 100 * time.Millisecond

	// pushPeers is the largest number of VMs to which an accepted document is pushed. 12 VMs all get it.
	pushPeers = 16
	// pushTimeout leaves room for a round trip between regions (110 ms) and for four attempts within 2 s.
	pushTimeout  = 400 * time.Millisecond
	pushAttempts = 10

	// A peer that failed is avoided for avoidMin, and twice as long after each further failure in a row.
	avoidMin = 5 * time.Second
	avoidMax = time.Minute

	// A starting node asks its peers if the store has not answered after startGrace.
	startGrace = 500 * time.Millisecond
	// startRound is the time between two rounds of questions.
	startRound = time.Second
	// maxStartBackoff limits the doubling of the interval between the reads of a starting node that is no relay.
	maxStartBackoff = 3
	// startAnswers is the number of peers that have to answer, or all peers if there are fewer.
	startAnswers = 2
)

// longPoll returns how long a peer may hold a fetch. Few peers can afford short ones, which show a silent peer sooner;
// with many the requests would cost more than the documents.
func longPoll(peers int) time.Duration {
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
		ranked[d] = byScore(vms, string(d))
	}
	return ranked
}

// byScore sorts names by the hash of key and name, highest first. Nodes that agree on the names agree on the order.
func byScore(vms []ident.VM, key string) []ident.VM {
	score := make(map[ident.VM]uint64, len(vms))
	for _, vm := range vms {
		score[vm] = xxhash.Sum64String(key + "/" + string(vm))
	}
	slices.SortFunc(vms, func(a, b ident.VM) int {
		if c := cmp.Compare(score[b], score[a]); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	return slices.Compact(vms)
}
