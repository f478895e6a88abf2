package peers

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/currantpier/currantpier/proto"
)

// datagramMost is the largest datagram that is read.
const datagramMost = 64 << 10

// Service sends and receives the messages of a View over UDP.
type Service struct {
	clock func() time.Time
	conn  net.PacketConn
	// panicked is told of a panic that a datagram has caused.
	panicked func(value any)

	// news takes messages of other VMs that tell what they have read.
	news chan<- proto.Message

	mu   sync.Mutex
	view *View
	// bad counts datagrams that could not be read or sent.
	bad uint64
}

// NewService returns a service for a view that uses conn. News of other VMs goes to the channel; what does not fit is left
// out, as if the datagram were lost. Panicked is told of a panic that a datagram has caused, in the goroutine of the panic.
func NewService(view *View, conn net.PacketConn, news chan<- proto.Message, clock func() time.Time, panicked func(value any)) *Service {
	return &Service{view: view, conn: conn, news: news, clock: clock, panicked: panicked}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return "peers" }

// With calls f with the view.
func (s *Service) With(f func(v *View)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.view)
}

// Run implements kernel.Service.
func (s *Service) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, func() { _ = s.conn.Close() })
	defer stop()
	g.Go(func() error { return s.receive(ctx) })
	g.Go(func() error { return s.beat(ctx) })
	return g.Wait()
}

func (s *Service) beat(ctx context.Context) error {
	t := time.NewTicker(Interval)
	defer t.Stop()
	for {
		s.mu.Lock()
		packets := s.view.Tick(s.clock())
		s.mu.Unlock()
		s.send(packets)
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (s *Service) receive(ctx context.Context) error {
	buf := make([]byte, datagramMost)
	for {
		n, _, err := s.conn.ReadFrom(buf)
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil {
			s.countBad()
			continue
		}
		s.take(buf[:n])
	}
}

// take handles one datagram. Anybody can send one; one that makes this process panic is left out like any other that is no
// message.
func (s *Service) take(datagram []byte) {
	defer func() {
		if v := recover(); v != nil {
			s.panicked(v)
			s.countBad()
		}
	}()
	msg, err := proto.DecodeDatagram(datagram)
	if err != nil {
		s.countBad()
		return
	}
	s.send(s.receiveMessage(msg))
	if msg.News == nil && msg.Change == nil {
		return
	}
	select {
	case s.news <- msg:
	default:
		s.countBad()
	}
}

func (s *Service) receiveMessage(msg proto.Message) []Packet {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.Receive(s.clock(), msg)
}

// Tell sends news or a change to the other VMs of the group. Either may be nil.
func (s *Service) Tell(news *proto.News, change *proto.Change) {
	s.mu.Lock()
	packets := s.view.Tell(s.clock(), news, change)
	s.mu.Unlock()
	s.send(packets)
}

func (s *Service) countBad() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bad++
}

// Farewell tells every known VM the present state at once.
func (s *Service) Farewell() {
	s.mu.Lock()
	packets := s.view.Farewell(s.clock())
	s.mu.Unlock()
	s.send(packets)
}

func (s *Service) send(packets []Packet) {
	var b []byte
	for i, p := range packets {
		if i == 0 || p.Message != packets[i-1].Message {
			b = proto.AppendDatagram(b[:0], p.Message)
		}
		addr, err := net.ResolveUDPAddr("udp", p.To)
		if err != nil {
			s.countBad()
			continue
		}
		// A datagram that is lost is made up for by the next one.
		if _, err := s.conn.WriteTo(b, addr); err != nil {
			s.countBad()
		}
	}
}

// State is the dump of a Service.
type State struct {
	Ready []proto.Info `json:"ready"`
	Known int          `json:"known"`
	Bad   uint64       `json:"bad-datagrams"`
}

// Dump implements kernel.Service.
func (s *Service) Dump(now time.Time) any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return State{Ready: s.view.Ready(now), Known: len(s.view.members), Bad: s.bad}
}
