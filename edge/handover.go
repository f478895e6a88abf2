package edge

import (
	"context"
	"io"
	"math/rand"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/currantpier/currantpier/feed"
	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/kinds"
	"github.com/currantpier/currantpier/peers"
	"github.com/currantpier/currantpier/proto"
	"github.com/currantpier/currantpier/trace"
)

const (
	// adoptAfter is how long a VM that starts waits for the store before it asks another VM for what that one knows.
	adoptAfter = 400 * time.Millisecond
	// adoptEvery is the pause between two such questions, adoptFor bounds one.
	adoptEvery = 300 * time.Millisecond
	adoptFor   = time.Second
	// handOverFor bounds the wait for the state of this VM.
	handOverFor = 500 * time.Millisecond
	// handOverMost bounds a state in bytes.
	handOverMost = 16 << 20
	// handOverPath is where a VM hands its state to others.
	handOverPath = "/state"
)

// handOver returns everything that this VM knows of the operators' table and the registry, or nil before it has read both.
func (s *state) handOver(now time.Time) *proto.Message {
	if s.operatorRows == nil || !s.view.Read() {
		return nil
	}
	change := &proto.Change{Whole: true}
	for _, row := range s.operatorRows {
		change.Rows = append(change.Rows, row)
	}
	news := &proto.News{From: s.cfg.Self.VM, Whole: true}
	for _, e := range s.view.Registered(now) {
		news.Rows = append(news.Rows, fleet.Row{Entry: e})
	}
	s.cfg.OperatorFollower.With(func(f *feed.Follower) { change.Version = f.Known() })
	s.cfg.RegistryFollower.With(func(f *feed.Follower) { news.Version = f.Known() })
	return &proto.Message{From: s.cfg.Self, Change: change, News: news, Operator: s.operator}
}

// keepRows remembers the rows of the operators' table as the store has them.
func (s *state) keepRows(rows feed.Rows) {
	if rows.Whole || s.operatorRows == nil {
		s.operatorRows = map[string]feed.Row{}
	}
	for _, row := range rows.Rows {
		if row.Removed {
			delete(s.operatorRows, row.Key)
		} else {
			s.operatorRows[row.Key] = row
		}
	}
}

// adopt takes what another VM knows, as far as this VM has read nothing yet. It reports whether anything was taken.
func (s *state) adopt(now time.Time, m *proto.Message) bool {
	taken := false
	s.cfg.OperatorFollower.With(func(f *feed.Follower) { taken = f.Adopt(now, m.Change.Version) })
	if taken {
		s.applyOperator(reading{at: now, topic: operatorTopic,
			rows: feed.Rows{Rows: m.Change.Rows, Version: m.Change.Version, Whole: true}})
	}
	registry := false
	s.cfg.RegistryFollower.With(func(f *feed.Follower) { registry = f.Adopt(now, m.News.Version) })
	if registry {
		s.view.Apply(now, fleet.Reading{Rows: m.News.Rows, Whole: true, Settled: true})
		s.shared.step(now, s.view)
	}
	if taken || registry {
		s.cfg.Log.Add(now, trace.Adopted, "from", m.From.VM, "version", s.view.Version(), "targets", len(m.News.Rows))
	}
	return taken || registry
}

// adopter is the service that asks other VMs for their state while the store does not answer a VM that starts.
type adopter struct {
	n      *Node
	client *http.Client
	rnd    *rand.Rand
}

// Name implements kernel.Service.
func (*adopter) Name() string { return "adopter" }

// Dump implements kernel.Service.
func (*adopter) Dump(time.Time) any { return nil }

// Run implements kernel.Service.
func (a *adopter) Run(ctx context.Context) error {
	for pause := adoptAfter; ; pause = adoptEvery {
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return nil
		}
		if s := a.n.cfg.Carrier.Snapshot(); s.Config != nil && s.RegistryRead {
			<-ctx.Done()
			return nil
		}
		if err := a.askOne(ctx); err != nil {
			a.n.cfg.Log.Add(a.n.cfg.Clock(), trace.Lost, "dependency", "peer", "call", "state", "err", err)
		}
	}
}

// askOne asks a VM that is ready, of the own region if there is one.
func (a *adopter) askOne(ctx context.Context) error {
	var ready []proto.Info
	a.n.cfg.Peers.With(func(v *peers.View) { ready = v.Ready(a.n.cfg.Clock()) })
	near := slices.DeleteFunc(slices.Clone(ready), func(i proto.Info) bool { return i.Place.Region != a.n.cfg.Self.Place.Region })
	if len(near) > 0 {
		ready = near
	}
	if len(ready) == 0 {
		return nil
	}
	m, err := a.fetch(ctx, ready[a.rnd.Intn(len(ready))])
	if err != nil {
		return err
	}
	select {
	case a.n.state.adopted <- m:
	case <-ctx.Done():
	}
	return nil
}

// fetch returns the state of a VM.
func (a *adopter) fetch(ctx context.Context, i proto.Info) (*proto.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, adoptFor)
	defer cancel()
	ip, _, err := net.SplitHostPort(i.Peer)
	if err != nil {
		return nil, kinds.Wrap(kinds.Internal, err, "address of "+string(i.VM))
	}
	url := "http://" + net.JoinHostPort(ip, strconv.Itoa(a.n.cfg.StatePort)) + handOverPath
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, kinds.Wrap(kinds.Internal, err, "build request")
	}
	resp, err := a.client.Do(req)
	if err != nil {
		return nil, errors.Wrapf(err, "ask %s", i.VM)
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(resp.Body, handOverMost))
	if err != nil {
		return nil, errors.Wrapf(err, "answer of %s", i.VM)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("%s answers %d", i.VM, resp.StatusCode)
	}
	m, err := proto.DecodeMessage(b)
	if err != nil || m.Change == nil || m.News == nil || !m.Change.Whole || !m.News.Whole {
		return nil, errors.Newf("answer of %s is no state: %v", i.VM, err)
	}
	return &m, nil
}

// State returns what this VM hands to one that starts, encoded; nil if it knows too little itself.
func (n *Node) State(ctx context.Context) []byte {
	ctx, cancel := context.WithTimeout(ctx, handOverFor)
	defer cancel()
	reply := make(chan *proto.Message, 1)
	select {
	case n.state.asks <- reply:
	case <-ctx.Done():
		return nil
	}
	select {
	case m := <-reply:
		if m != nil {
			return m.Append(nil)
		}
	case <-ctx.Done():
	}
	return nil
}

// newAdopter returns the service for a node.
func newAdopter(n *Node, seed ident.VM) *adopter {
	src := rand.NewSource(int64(proto.KeyOf(seed)))
	return &adopter{n: n, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, rnd: rand.New(src)}
}
