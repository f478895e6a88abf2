package steer

import (
	"testing"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/node"
	"github.com/currantpier/currantpier/plan"
	"github.com/currantpier/currantpier/relay"
	"github.com/currantpier/currantpier/store"
	"github.com/currantpier/currantpier/wire"
)

// Guards against a pushed plan whose document has a later version than the plan itself: it kept every newer plan out, at
// this VM and at all that fetch from it, and entries refused it.
func TestPlanOfAnotherVersionIsRefused(t *testing.T) {
	c := newCluster(t)
	d := c.daemon("a")
	p := &peer{PeerBase: node.PeerBase{Self: d.self, Members: d.members, Sync: d.sync, Clock: c.clock}, d: d}
	push := func(document, stated ident.Version) ident.Version {
		reply, err := p.Push(t.Context(), &wire.Document{
			Kind: wire.DocumentKind_DOCUMENT_KIND_PLAN, Version: uint64(document), Body: plan.Encode(plan.TrafficPlan{Version: stated}),
		})
		if err != nil {
			t.Fatal(err)
		}
		return ident.Version(reply.GetVersion())
	}
	if got := push(1<<60, 5); got != 0 {
		t.Errorf("version %d in force after plan 5 was pushed as version 1<<60", got)
	}
	if got := push(6, 6); got != 6 {
		t.Errorf("version %d in force after plan 6", got)
	}
}

// Guards against a panic at a document of an unknown kind, and against one that counts as of another kind because its
// number is cut to a byte.
func TestUnknownDocumentKindIsRefused(t *testing.T) {
	c := newCluster(t)
	d := c.daemon("a")
	p := &peer{PeerBase: node.PeerBase{Self: d.self, Members: d.members, Sync: d.sync, Clock: c.clock}, d: d}
	for _, k := range []wire.DocumentKind{-1, 0, 3, 255, 256 + 1, 256 + 2} {
		for name, call := range map[string]func() error{
			"push": func() error {
				_, err := p.Push(t.Context(), &wire.Document{Kind: k, Version: 1, Body: configuration("one")})
				return err
			},
			"fetch": func() error {
				_, err := p.Fetch(t.Context(), &wire.FetchRequest{Kind: k})
				return err
			},
		} {
			func() {
				defer func() {
					if v := recover(); v != nil {
						t.Errorf("%s of kind %d: panic: %v", name, k, v)
					}
				}()
				if call() == nil {
					t.Errorf("%s of kind %d succeeded", name, k)
				}
			}()
		}
	}
	if v := d.sync.Current(relay.Config).Version; v != 0 {
		t.Errorf("configuration %d in force", v)
	}
}

// Guards against a malformed row of the configuration that no operator can replace, and against one that comes into force.
func TestMalformedConfigRowCanBeReplaced(t *testing.T) {
	c := newCluster(t)
	d := c.daemon("a")
	first := c.accept(d, configuration("one"), 0)
	if _, err := c.client.Txn(t.Context(), []store.Op{{Key: node.ConfigKey, Value: []byte("{"), IfVersion: first}}); err != nil {
		t.Fatal(err)
	}
	if got := c.poll(d); got != first {
		t.Errorf("version %d in force after a malformed row", got)
	}
	if reply := c.apply(d, configuration("two"), first); reply.GetAccepted() || ident.Version(reply.GetVersion()) != first+1 {
		t.Errorf("proposal after version %d: %+v", first, reply)
	}
	if got := c.accept(d, configuration("two"), first+1); got != first+2 || c.poll(d) != got {
		t.Errorf("version %d accepted, %d in force", got, c.poll(d))
	}
}
