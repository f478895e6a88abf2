package quota

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/peers"
	"github.com/currantpier/currantpier/proto"
	"github.com/currantpier/currantpier/trace"
)

// TickInterval is the interval of Limiter.Tick, and membersInterval that of Limiter.SetVMs.
const (
	TickInterval    = 20 * time.Millisecond
	membersInterval = 200 * time.Millisecond
)

// Service moves the messages of a Limiter through peers.Service. It is safe for concurrent use.
type Service struct {
	peers *peers.Service
	log   *trace.Log
	clock func() time.Time
	// Limits returns the limits in force. It is set before Run, which calls it every membersInterval.
	Limits func() []Limit

	mu      sync.Mutex
	limiter *Limiter
	// answered is closed and replaced when an answer arrives.
	answered chan struct{}
	// logged are the customers of which a refusal was logged since the last sweep.
	logged map[ident.Customer]bool
	swept  time.Time
}

// NewService returns a service for the limiter and registers it for the messages of p.
func NewService(l *Limiter, p *peers.Service, log *trace.Log, clock func() time.Time) *Service {
	s := &Service{limiter: l, peers: p, log: log, clock: clock, answered: make(chan struct{}), logged: map[ident.Customer]bool{}}
	p.OnQuota(s.receive)
	return s
}

// Name implements kernel.Service.
func (s *Service) Name() string { return "quota" }

// Dump implements kernel.Service.
func (s *Service) Dump(now time.Time) any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limiter.State(now)
}

// Counters returns the counts of the limiter.
func (s *Service) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limiter.Counters
}

// Run implements kernel.Service.
func (s *Service) Run(ctx context.Context) error {
	t := time.NewTicker(TickInterval)
	defer t.Stop()
	var members time.Time
	var limits []Limit
	for {
		now := s.clock()
		if now.Sub(members) >= membersInterval {
			members = now
			var alive []proto.VMInfo
			s.peers.With(func(v *peers.View) { alive = v.Alive(now) })
			s.mu.Lock()
			s.limiter.SetVMs(now, alive)
			if list := s.Limits(); !slices.Equal(list, limits) {
				limits = list
				s.limiter.SetLimits(now, list)
			}
			s.mu.Unlock()
		}
		s.tick(now)
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (s *Service) tick(now time.Time) {
	s.mu.Lock()
	resets := s.limiter.Counters.Resets
	packets := s.limiter.Tick(now)
	reset := s.limiter.Counters.Resets != resets
	if now.Sub(s.swept) >= time.Second {
		s.swept = now
		clear(s.logged)
	}
	s.mu.Unlock()
	s.send(packets)
	if reset {
		s.log.Add(now, trace.QuotaReset)
	}
}

// receive applies a message of another VM.
func (s *Service) receive(from ident.VM, m *proto.QuotaMessage) {
	s.send(s.apply(from, m))
}

func (s *Service) apply(from ident.VM, m *proto.QuotaMessage) []Packet {
	s.mu.Lock()
	defer s.mu.Unlock()
	packets := s.limiter.Receive(s.clock(), from, m)
	close(s.answered)
	s.answered = make(chan struct{})
	return packets
}

func (s *Service) send(packets []Packet) {
	for _, p := range packets {
		s.peers.SendQuota(p.To, p.Message)
	}
}

// Allow reports whether a request of a customer may be sent, and otherwise when to try again. It waits for one answer of another
// VM, at most answerTimeout, if no token is at hand and one may be available.
func (s *Service) Allow(ctx context.Context, now time.Time, c ident.Customer) (ok bool, retryAfter time.Duration) {
	result, retryAfter, answered := s.take(now, c, (*Limiter).Take)
	if result == Wait {
		t := time.NewTimer(answerTimeout)
		defer t.Stop()
		for expired := false; result == Wait && !expired; {
			select {
			case <-answered:
			case <-t.C:
				expired = true
			case <-ctx.Done():
				expired = true
			}
			now = s.clock()
			result, retryAfter, answered = s.take(now, c, (*Limiter).TakeAfterWait)
		}
	}
	if result == Taken {
		return true, 0
	}
	s.logRefusal(now, c, retryAfter)
	return false, max(retryAfter, minNext)
}

func (s *Service) take(now time.Time, c ident.Customer, take func(*Limiter, time.Time, ident.Customer) (Result, time.Duration)) (
	result Result, retryAfter time.Duration, answered <-chan struct{}) {
	s.mu.Lock()
	result, retryAfter = take(s.limiter, now, c)
	packets := s.limiter.Flush()
	answered = s.answered
	s.mu.Unlock()
	s.send(packets)
	return result, retryAfter, answered
}

// logRefusal logs one refusal of each customer in a second.
func (s *Service) logRefusal(now time.Time, c ident.Customer, retryAfter time.Duration) {
	s.mu.Lock()
	first := !s.logged[c]
	s.logged[c] = true
	state := s.limiter.accountState(now, c)
	s.mu.Unlock()
	if first {
		s.log.Add(now, trace.QuotaRefused, "customer", c, "holder", state.Holder, "silent", state.Silent, "retry-after", retryAfter)
	}
}

// Return puts back the token of a request that has reached no target.
func (s *Service) Return(now time.Time, c ident.Customer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limiter.Return(now, c)
}

// AccountState is the dump of one customer's quota at a VM. The fields of a pool are zero at VMs that don't hold it.
type AccountState struct {
	Holder   ident.VM `json:"holder"`
	Silent   bool     `json:"silent"`
	Demand   float64  `json:"demand"`
	Tokens   float64  `json:"tokens"`
	Own      float64  `json:"own-share"`
	Borrowed float64  `json:"borrowed-share"`
}

// State returns the state of all customers with limits.
func (l *Limiter) State(now time.Time) map[ident.Customer]AccountState {
	all := make(map[ident.Customer]AccountState, len(l.order))
	for c := range l.accounts {
		all[c] = l.accountState(now, c)
	}
	return all
}

func (l *Limiter) accountState(now time.Time, c ident.Customer) AccountState {
	a := l.accounts[c]
	if a == nil {
		return AccountState{}
	}
	st := AccountState{Holder: a.holder.VM, Silent: a.silent, Demand: a.demand.perSecond(now)}
	if p := a.pool; p != nil {
		st.Demand, st.Tokens, st.Own, st.Borrowed = p.demandAt(now), p.level, p.ownShare(now), p.borrowedShare(now)
	}
	return st
}
