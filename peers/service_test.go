package peers

import (
	"context"
	"math/rand"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/proto"
)

// Guards against a datagram that crashes the process or leaves the view locked. A service without a view panics on any
// message.
func TestPanicEndsOneDatagram(t *testing.T) {
	panics := 0
	s := NewService(nil, nil, nil, time.Now, func(any) { panics++ })
	for range 2 {
		s.handleDatagram(proto.AppendDatagram(nil, &proto.Message{From: proto.VMInfo{VM: "vm1", PeerAddress: address(1)}}))
	}
	if panics != 2 || s.badDatagrams != 2 {
		t.Errorf("%d panics were reported and %d datagrams counted as bad, want 2 each", panics, s.badDatagrams)
	}
}

// failingConn is a socket whose reads fail, except where failures is false.
type failingConn struct {
	net.PacketConn
	failures []bool
}

func (c *failingConn) ReadFrom([]byte) (int, net.Addr, error) {
	if len(c.failures) == 0 {
		return 0, nil, net.ErrClosed
	}
	failed := c.failures[0]
	c.failures = c.failures[1:]
	if failed {
		return 0, nil, errors.New("read error")
	}
	return 0, nil, nil
}

// Guards against a receiver that uses a whole processor while each read fails, and one that stays slow afterwards.
func TestReceiverPausesAfterReadErrors(t *testing.T) {
	failures := slices.Repeat([]bool{true}, 9)
	conn := &failingConn{failures: append(append(failures, false), true, true)}
	s := NewService(nil, conn, nil, time.Now, func(any) {})
	var pauses []time.Duration
	s.pause = func(_ context.Context, d time.Duration) { pauses = append(pauses, d/time.Millisecond) }
	if err := s.runReceiver(context.Background()); !errors.Is(err, net.ErrClosed) {
		t.Errorf("error %v", err)
	}
	if want := []time.Duration{10, 20, 40, 80, 160, 320, 640, 1000, 1000, 10, 20}; !slices.Equal(pauses, want) {
		t.Errorf("pauses of %d ms, want %d", pauses, want)
	}
}

// recordingConn records the addresses to which datagrams are sent.
type recordingConn struct {
	net.PacketConn
	sent []string
}

func (c *recordingConn) WriteTo(b []byte, to net.Addr) (int, error) {
	c.sent = append(c.sent, to.String())
	return len(b), nil
}

// Guards against an address by name in a list of VMs: looking it up would hold up the messages to all others.
func TestAddressByNameIsNotLookedUp(t *testing.T) {
	conn := &recordingConn{}
	s := NewService(nil, conn, nil, time.Now, func(any) {})
	m := &proto.Message{}
	s.send([]Packet{{To: "localhost:7", Message: m}, {To: "127.0.0.1:8", Message: m}, {To: "127.0.0.1:65616", Message: m}})
	if !slices.Equal(conn.sent, []string{"127.0.0.1:8"}) || s.badDatagrams != 2 {
		t.Errorf("sent to %q, %d messages dropped; want 127.0.0.1:8 only and 2", conn.sent, s.badDatagrams)
	}
}

// Guards against a message about quotas that reaches the member list, in this build or in one that ignores its quota items: it has no
// address of its sender.
func TestQuotaMessagePassesView(t *testing.T) {
	now := time.Unix(1000, 0)
	self := proto.VMInfo{VM: "vm1", PeerAddress: address(1)}
	view := NewView(now, self, nil, rand.NewSource(1))
	view.AddListed(now, []proto.VMInfo{{VM: "vm2", PeerAddress: address(2)}})
	s := NewService(view, nil, nil, func() time.Time { return now }, func(v any) { t.Error(v) })
	var from []ident.VM
	s.OnQuota(func(vm ident.VM, m *proto.QuotaMessage) { from = append(from, vm) })
	for _, vm := range []ident.VM{"vm2", "vm3"} {
		msg := proto.Message{From: proto.VMInfo{VM: vm}, Quota: &proto.QuotaMessage{Items: []proto.QuotaItem{{Kind: proto.QuotaGrant}}}}
		s.handleDatagram(proto.AppendDatagram(nil, &msg))
		view.Receive(now, msg) // as an earlier build does
	}
	if len(from) != 2 || len(view.members) != 1 || view.sorted[0].PeerAddress != address(2) {
		t.Errorf("received from %v, %d members", from, len(view.members))
	}
}
