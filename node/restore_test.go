package node

import (
	"context"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/lists"
	"github.com/currantpier/currantpier/relay"
	"github.com/currantpier/currantpier/store"
)

// rowGetter returns one row for every key.
type rowGetter struct{ row store.Row }

func (g *rowGetter) Get(context.Context, string) (store.Row, error) { return g.row, nil }

func newTestSync(g Getter) *Sync {
	now := func() time.Time { return time.Unix(1_000_000, 0) }
	self := Self{VM: "a", Daemon: SteerDaemon, Incarnation: 1}
	members := NewMembers(self, nil, NewPeers(), now, log.NewNopLogger(), nil)
	return NewSync(self, relay.Options{}, g, members, NewPeers(), now, log.NewNopLogger(),
		func(relay.Document) error { return nil })
}

func configBody(v ident.Version) []byte { return lists.Config{Version: v}.Encode() }

// Guards against a document whose version is that of the row it was restored into, or that of its body where the row's
// is newer, and against a body without a version.
func TestDocumentIn(t *testing.T) {
	at := ident.NewVersion
	for _, tt := range []struct {
		row, stated, want ident.Version
	}{
		{0, 0, 0},
		{7, 7, 7},
		{7, 3, 7},
		{7, 0, 7},
		{at(2, 7), 7, 7},
		{at(2, 9), 7, 7},
		{at(2, 7), at(2, 7), at(2, 7)},
		{at(3, 9), at(2, 7), at(2, 7)},
		{at(2, 7), 0, at(2, 7)},
		{at(2, 7), at(5, 1), at(2, 7)},
	} {
		row := store.Row{Version: tt.row, Era: tt.row.Era(), Value: configBody(tt.stated)}
		if got := DocumentIn(relay.Config, row).Version; got != tt.want {
			t.Errorf("row version %x, stated version %x: %x, want %x", tt.row, tt.stated, got, tt.want)
		}
	}
	malformed := store.Row{Version: at(2, 7), Era: 2, Value: []byte("{")}
	if got := DocumentIn(relay.Config, malformed).Version; got != malformed.Version {
		t.Errorf("malformed body: %x", got)
	}
}

// Guards against a process that waits in vain, or skips changes, because a peer or the store counts in a later era: a
// position of the earlier era must not be beyond the newest version of the later one.
func TestPositionsAcrossEras(t *testing.T) {
	g := &rowGetter{}
	s := newTestSync(g)
	s.Accept(relay.Document{Kind: relay.Config, Version: 9, Body: configBody(9)})
	have := ident.Version(9)
	for era := ident.Era(2); era < 5; era++ {
		v := ident.NewVersion(era, 3)
		s.handlePeerVersions("b", v, 0)
		fetched := false
		for _, a := range s.node.Next(s.clock(), nil) {
			fetched = fetched || a.Op == relay.Fetch && a.To == "b" && a.HaveVersion == have
		}
		if !fetched {
			t.Errorf("era %d: a newer configuration at a peer is not fetched", era)
		}
		g.row = store.Row{Version: v, Era: era, Value: configBody(v)}
		s.Poll(t.Context(), relay.Config)
		if got := s.Current(relay.Config).Version; got != v {
			t.Errorf("era %d: version %x in force after version %x was read", era, got, v)
		}
		s.Offer(relay.Document{Kind: relay.Config, Version: have, Body: configBody(have)})
		if got := s.Current(relay.Config).Version; got != v {
			t.Errorf("era %d: back to version %x of the era before", era, got)
		}
		have = v
	}
	if doc := s.Fetch(t.Context(), relay.Config, 9, 0); doc.Version != have {
		t.Errorf("a peer with version 9 of era 1 gets version %x, want %x", doc.Version, have)
	}
}

// Guards against a process that starts after a restore and is ready with a configuration that was superseded: other VMs
// have the one that the store has lost.
func TestStartAfterRestore(t *testing.T) {
	g := &rowGetter{row: store.Row{Version: ident.NewVersion(2, 5), Era: 2, Value: configBody(5)}}
	s := newTestSync(g)
	s.node.SetMembers(s.clock(), []relay.Peer{{VM: "b"}, {VM: "c"}})
	for _, a := range s.node.Next(s.clock(), nil) {
		if a.Op == relay.PollStore {
			s.perform(t.Context(), a)
		}
	}
	if s.Ready() {
		t.Errorf("ready with configuration %d of era 1 from a store in era 2 before another VM was asked",
			s.Current(relay.Config).Version)
	}
}
