package peers

import (
	"testing"
	"time"

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
