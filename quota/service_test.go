package quota

import (
	"context"
	"math/rand"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/peers"
	"github.com/currantpier/currantpier/proto"
	"github.com/currantpier/currantpier/trace"
)

// fakeClock is a clock that a test sets.
type fakeClock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *fakeClock) get() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// Guards against a request that doesn't get the token that another VM grants it, through encoding and sockets, and against a
// canceled request that goes on waiting.
func TestServiceAsksTheHolder(t *testing.T) {
	clock := &fakeClock{now: epoch}
	var infos []proto.VMInfo
	var conns []net.PacketConn
	for _, name := range []ident.VM{"a", "b"} {
		conn, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		conns = append(conns, conn)
		infos = append(infos, proto.VMInfo{VM: name, PeerAddress: conn.LocalAddr().String(), Place: ident.Place{Domain: "d"}})
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, len(infos))
	var services []*Service
	for i, info := range infos {
		p := peers.NewService(peers.NewView(epoch, info, nil, rand.NewSource(1)), conns[i], nil, clock.get, func(v any) { t.Error(v) })
		s := NewService(NewLimiter(info, 1, testBounds, epoch), p, trace.New(info.VM), clock.get)
		s.limiter.SetVMs(epoch, infos)
		s.limiter.SetLimits(epoch, []Limit{{"c", 100, 100}})
		services = append(services, s)
		go func() { ended <- p.Run(ctx) }()
	}
	defer func() {
		cancel()
		for range infos {
			<-ended
		}
	}()
	if services[0].limiter.accounts["c"].pool == nil {
		services[0], services[1] = services[1], services[0]
	}
	holder, other := services[0], services[1]
	for now := epoch; now.Before(epoch.Add(3 * time.Second)); now = now.Add(TickInterval) {
		clock.mu.Lock()
		clock.now = now
		clock.mu.Unlock()
		holder.tick(now)
		other.tick(now)
	}
	granted := false
	for range 50 { // each waits for answerTimeout at most; a busy machine may answer later
		if granted, _ = other.Allow(ctx, clock.get(), "c"); granted {
			break
		}
	}
	if !granted {
		t.Errorf("no token from the holder: %+v", other.Counters())
	}
	canceled, stop := context.WithCancel(ctx)
	stop()
	holder.mu.Lock() // the holder can't answer
	ok, retryAfter := other.Allow(canceled, clock.get(), "c")
	holder.mu.Unlock()
	if ok || retryAfter <= 0 {
		t.Errorf("canceled request: %v, retry after %s", ok, retryAfter)
	}
	if free, _ := other.Allow(ctx, clock.get(), "unlimited"); !free {
		t.Error("a customer without a limit is refused")
	}
}
