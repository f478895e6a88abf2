package peers

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/proto"
)

// maxDatagramBytes is the size of the receive buffer; the rest of a longer datagram is lost.
const maxDatagramBytes = 64 << 10

// minReadPause and maxReadPause bound the pause after an error of the socket. The pause doubles with each error in a row, so
// that an error that lasts doesn't use the processor.
const (
	minReadPause = 10 * time.Millisecond
	maxReadPause = time.Second
)

// Service sends and receives the messages of a View over UDP.
type Service struct {
	clock func() time.Time
	conn  net.PacketConn
	// onPanic is called with the value of a panic that a datagram has caused.
	onPanic func(value any)

	// pause waits for the given time, or until ctx ends.
	pause func(ctx context.Context, d time.Duration)

	// deltas receives the messages of other VMs that contain changes of the registry or of the operators' table, or cold targets.
	deltas chan<- proto.Message
	// onLoadReports is called with received load reports; nil if nobody wants them.
	onLoadReports func(list []fleet.LoadReport)

	// onQuota receives the messages about quotas; nil if they are ignored.
	onQuota func(from ident.VM, m *proto.QuotaMessage)

	mu   sync.Mutex
	view *View
	// badDatagrams counts datagrams that could not be received, decoded or sent, and messages that did not fit into
	// deltas.
	badDatagrams uint64
}

// NewService returns a service that exchanges the messages of view over conn. Messages with changes of the registry or of
// the operators' table, or with cold targets, go to deltas; one that does not fit is dropped, as if the datagram were lost. onPanic is called
// with the value of a panic that a datagram has caused, in the goroutine that panicked.
func NewService(view *View, conn net.PacketConn, deltas chan<- proto.Message, clock func() time.Time, onPanic func(value any)) *Service {
	return &Service{view: view, conn: conn, deltas: deltas, clock: clock, onPanic: onPanic, pause: pause}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// OnQuota sets the function that receives the messages about quotas. It is called before Run.
func (s *Service) OnQuota(f func(from ident.VM, m *proto.QuotaMessage)) { s.onQuota = f }

// SendQuota sends a message about quotas to one VM. It carries only this VM's name, since it may be sent for each request; VMs of
// builds without quotas ignore it.
func (s *Service) SendQuota(to proto.VMInfo, m *proto.QuotaMessage) {
	s.send([]Packet{{To: to.PeerAddress, Message: &proto.Message{From: proto.VMInfo{VM: s.view.self.VM}, Quota: m}}})
}

// Name implements kernel.Service.
func (s *Service) Name() string { return "peers" }

// With calls f with the view while holding the lock.
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
	g.Go(func() error { return s.runReceiver(ctx) })
	g.Go(func() error { return s.runHeartbeats(ctx) })
	return g.Wait()
}

func (s *Service) runHeartbeats(ctx context.Context) error {
	t := time.NewTicker(HeartbeatInterval)
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

func (s *Service) runReceiver(ctx context.Context) error {
	buf := make([]byte, maxDatagramBytes)
	nextPause := minReadPause
	for {
		n, _, err := s.conn.ReadFrom(buf)
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil {
			s.countBadDatagram()
			s.pause(ctx, nextPause)
			nextPause = min(2*nextPause, maxReadPause)
			continue
		}
		nextPause = minReadPause
		s.handleDatagram(buf[:n])
	}
}

// handleDatagram handles one datagram. Anyone can send one; a datagram that causes a panic is dropped and counted like
// a malformed one.
func (s *Service) handleDatagram(datagram []byte) {
	defer func() {
		if v := recover(); v != nil {
			s.onPanic(v)
			s.countBadDatagram()
		}
	}()
	msg, err := proto.DecodeDatagram(datagram)
	if err != nil {
		s.countBadDatagram()
		return
	}
	if msg.Quota != nil {
		// Not for the view: such a message says nothing about its sender but the name.
		if s.onQuota != nil {
			s.onQuota(msg.From.VM, msg.Quota)
		}
		return
	}
	s.send(s.updateView(msg))
	if len(msg.Loads) > 0 && s.onLoadReports != nil {
		s.onLoadReports(msg.Loads)
	}
	if msg.Registry == nil && msg.OperatorChange == nil && len(msg.Cold) == 0 {
		return
	}
	select {
	case s.deltas <- msg:
	default:
		s.countBadDatagram()
	}
}

func (s *Service) updateView(msg proto.Message) []Packet {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.Receive(s.clock(), msg)
}

// Broadcast sends changes of the registry or of the operators' table to the other VMs of the group. Either may be nil.
func (s *Service) Broadcast(registry *proto.RegistryDelta, operator *proto.OperatorDelta) {
	s.mu.Lock()
	packets := s.view.GroupMessages(s.clock(), registry, operator)
	s.mu.Unlock()
	s.send(packets)
}

func (s *Service) countBadDatagram() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.badDatagrams++
}

// BroadcastState sends this VM's current state to every member at once.
func (s *Service) BroadcastState() {
	s.mu.Lock()
	packets := s.view.BroadcastState(s.clock())
	s.mu.Unlock()
	s.send(packets)
}

// BroadcastCold tells every member what this VM has found out about the warm-up of targets.
func (s *Service) BroadcastCold(reports []fleet.ColdReport) {
	s.mu.Lock()
	packets := s.view.ColdMessages(reports)
	s.mu.Unlock()
	s.send(packets)
}

func (s *Service) send(packets []Packet) {
	var b []byte
	for i, p := range packets {
		if i == 0 || p.Message != packets[i-1].Message {
			b = proto.AppendDatagram(b[:0], p.Message)
		}
		// An address by name is malformed. Looking it up could block all messages.
		addr, err := netip.ParseAddrPort(p.To)
		if err != nil {
			s.countBadDatagram()
			continue
		}
		// Not retried: a later message makes up for a lost datagram.
		if _, err := s.conn.WriteTo(b, net.UDPAddrFromAddrPort(addr)); err != nil {
			s.countBadDatagram()
		}
	}
}

// State is the dump of a Service.
type State struct {
	Ready        []proto.VMInfo `json:"ready"`
	Known        int            `json:"known"`
	BadDatagrams uint64         `json:"bad-datagrams"`
}

// Dump implements kernel.Service.
func (s *Service) Dump(now time.Time) any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return State{Ready: s.view.Ready(now), Known: len(s.view.members), BadDatagrams: s.badDatagrams}
}
