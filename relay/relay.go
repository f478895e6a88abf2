// Package relay decides how documents (the configuration and the traffic plan) reach every node: who reads the store,
// who long-polls whom, what is pushed, and when a starting node has the newest version. It performs no I/O: a Node
// returns actions, and the daemon performs them and reports the results.
package relay

import (
	"time"

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
	// To is the peer for Fetch and Push. It can be the node's own VM, see Options.Leaf.
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

// Node is the state of the dissemination in one process. It is not safe for concurrent use.
type Node struct{}

// NewNode returns a node that holds no documents.
func NewNode(now time.Time, o Options) *Node { return &Node{} }

// Members sets the VMs that are alive, with or without the node itself. Leaving VMs are left out by the caller.
func (n *Node) Members(now time.Time, peers []Peer) {}

// Next appends the actions that are due to dst.
func (n *Node) Next(now time.Time, dst []Action) []Action { return dst }

// Wake returns the time at which Next has to be called again if nothing else happens before.
func (n *Node) Wake() time.Time { return time.Time{} }

// Done reports the end of an action. It returns true if a newer document came into force.
func (n *Node) Done(now time.Time, id uint64, res Result) bool { return false }

// Offer handles a document that a peer pushed. It returns true if the document is newer and came into force.
func (n *Node) Offer(now time.Time, doc Document) bool { return false }

// Accept handles a document that this process has written to the store. It is in force at once and Next pushes it. It
// returns false if the node holds a newer one.
func (n *Node) Accept(now time.Time, doc Document) bool { return false }

// Newer returns the document if it is newer than have. It answers Fetch; the daemon holds a Fetch without one until
// Done, Offer or Accept returns true.
func (n *Node) Newer(k Kind, have ident.Version) (Document, bool) { return Document{}, false }

// Current returns the document in force; version 0 if there is none.
func (n *Node) Current(k Kind) Document { return Document{} }

// Ready reports whether the node may serve: for each kind, the store answered, or enough peers did.
func (n *Node) Ready() bool { return false }

// Relays returns the VMs of a failure domain that read the store: the two with the highest rendezvous hash, or all if
// there are fewer.
func Relays(peers []Peer, d ident.Domain) []ident.VM { return nil }
