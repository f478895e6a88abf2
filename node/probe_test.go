package node

import (
	"context"
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/store"
	"github.com/currantpier/currantpier/wire"
)

// namedPeer answers probes as the given VM.
type namedPeer struct {
	PeerBase
	vm ident.VM
}

func (p *namedPeer) Probe(context.Context, *wire.ProbeRequest) (*wire.ProbeReply, error) {
	return &wire.ProbeReply{Vm: string(p.vm), Incarnation: 9, ConfigVersion: 3, Leaving: true}, nil
}

// The address of a VM that has ended is used by another one. Guards against a probe that the other VM answers and that
// counts as an answer of the first: it was alive again, or leaving, and its running process counted as ended.
func TestProbeAnsweredByAnotherVM(t *testing.T) {
	for _, vm := range []ident.VM{"b", "other"} {
		srv := httptest.NewServer(wire.NewPeerServer(&namedPeer{vm: vm}))
		addr := srv.Listener.Addr().(*net.TCPAddr).String()
		now := time.Unix(1_000_000, 0)
		peers := NewPeers()
		m := NewMembers(Self{VM: "a", Incarnation: 1}, nil, peers, func() time.Time { return now }, log.NewNopLogger(), nil)
		hints := 0
		m.onPeerVersions = func(ident.VM, ident.Version, ident.Version) { hints++ }
		m.SetList(now, []store.VMInfo{
			{Name: "a", Role: store.RoleEntry, Control: []string{"", ""}},
			{Name: "b", Role: store.RoleEntry, Control: []string{addr, addr}},
		})
		m.RecordMessage(now, "b", 5)
		m.probe(t.Context(), "b")
		reply := m.ProbeFor(t.Context(), "b")
		want := vm == "b"
		if ended := m.ProcessDead(now, "b", 5); ended != want || reply.GetReached() != want || hints > 0 != want {
			t.Errorf("answer of %s to a probe of b: process 5 ended %v, reached %v, %d hints", vm, ended,
				reply.GetReached(), hints)
		}
		peers.Close()
		srv.Close()
	}
}
