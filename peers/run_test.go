package peers

import (
	"testing"
	"time"

	"github.com/currantpier/currantpier/proto"
)

// Guards against one datagram that takes the process down, or that leaves the view locked for all later ones. A service
// without a view stands for a fault in its handling.
func TestPanicEndsOneDatagram(t *testing.T) {
	panics := 0
	s := NewService(nil, nil, nil, time.Now, func(any) { panics++ })
	for range 2 {
		s.take(proto.AppendDatagram(nil, &proto.Message{From: proto.Info{VM: "vm1", Peer: address(1)}}))
	}
	if panics != 2 || s.bad != 2 {
		t.Errorf("%d panics were reported and %d datagrams counted as bad, want 2 each", panics, s.bad)
	}
}
