package node

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/currantpier/currantpier/kernel"
	"github.com/currantpier/currantpier/wire"
)

// heldApply is a peer whose Apply waits until it is released.
type heldApply struct {
	PeerBase
	began, release chan struct{}
}

func (p *heldApply) Apply(ctx context.Context, _ *wire.ApplyRequest) (*wire.ApplyReply, error) {
	close(p.began)
	select {
	case <-p.release:
		return &wire.ApplyReply{Accepted: true, Version: 7}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Guards against a planned stop that cuts an operator's call in progress, whose change is already in the store, and
// against one that waits for calls that only wait for a newer document.
func TestStopFinishesCalls(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := newTestSync(&rowGetter{})
	s.clock = time.Now
	p := &heldApply{
		PeerBase: PeerBase{Members: s.members, Sync: s, Clock: s.clock, Leaving: func() bool { return false }},
		began:    make(chan struct{}), release: make(chan struct{}),
	}
	c := NewControl(ln, p, kernel.New(), metrics.NewRegistry(), time.Now, func() string { return "" }, WithStopTimeout(time.Minute))
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 2)
	go func() { ended <- c.Run(ctx) }()
	go func() { ended <- s.Run(ctx) }()

	peers := NewPeers()
	defer peers.Close()
	peer := peers.At(ln.Addr().String())
	applied, fetched := make(chan error, 1), make(chan error, 1)
	go func() {
		reply, err := peer.Apply(t.Context(), &wire.ApplyRequest{})
		if err == nil && reply.GetVersion() != 7 {
			t.Errorf("reply of the call: %v", reply)
		}
		applied <- err
	}()
	go func() {
		_, err := peer.Fetch(t.Context(), &wire.FetchRequest{Kind: wire.DocumentKind_DOCUMENT_KIND_PLAN, WaitMs: 1 << 30})
		fetched <- err
	}()
	<-p.began
	cancel()
	<-s.stopped
	for {
		nc, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			break // the stop has begun
		}
		_ = nc.Close()
	}
	if err := <-fetched; err != nil {
		// The call may have come after the stop had begun.
		t.Log("fetch:", err)
	}
	select {
	case err := <-applied:
		t.Fatalf("the call in progress ended before its handler: %v", err)
	default:
	}
	close(p.release)
	if err := <-applied; err != nil {
		t.Errorf("the call in progress got no reply: %v", err)
	}
	<-ended
	<-ended
}
