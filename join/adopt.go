package join

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
	// catchUpEvery and catchUpMost bound the pause between two questions of a VM that is cut off from the store. It grows
	// while they bring nothing, since the store may be away for all.
	catchUpEvery = time.Second
	catchUpMost  = 8 * time.Second
	// stateMost bounds the state of a VM in bytes.
	stateMost = 16 << 20
)

// StatePath is where a VM hands its state to others, DeparturesPath where it tells which targets have left lately.
const (
	StatePath      = "/state"
	DeparturesPath = "/departures"
)

// asksMost bounds the questions of a VM that the store has answered: it needs to know only which targets have left.
const asksMost = 3

// Adopter is the service that asks other VMs for their state when a VM starts: in place of the store while that does not
// answer, and for the targets that have left before this start, of which the store may have late heartbeats.
type Adopter struct {
	Self  proto.Info
	Peers *peers.Service
	// Port is where every VM hands over its state.
	Port  int
	Log   *trace.Log
	Clock func() time.Time
	// Ready reports whether the VM knows enough to serve.
	Ready func() bool
	// CutOff reports whether the store is out of reach for this VM, which then learns from others what has changed.
	CutOff func() bool
	// Adopted takes states of other VMs.
	Adopted chan<- *proto.Message
}

// Name implements kernel.Service.
func (*Adopter) Name() string { return "adopter" }

// Dump implements kernel.Service.
func (*Adopter) Dump(time.Time) any { return nil }

// Run implements kernel.Service.
func (a *Adopter) Run(ctx context.Context) error {
	rnd := rand.New(rand.NewSource(int64(proto.KeyOf(a.Self.VM))))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	asked := false
	for n, pause := 0, adoptAfter; ; n, pause = n+1, adoptEvery {
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return nil
		}
		if a.Ready() && (asked || n >= asksMost) {
			return a.followOthers(ctx, client, rnd)
		}
		ok, err := a.askOne(ctx, client, rnd)
		if err != nil {
			a.Log.Add(a.Clock(), trace.Lost, "dependency", "peer", "call", "state", "err", err)
		}
		asked = asked || ok
	}
}

// followOthers asks for the state of others whenever this VM is cut off from the store.
func (a *Adopter) followOthers(ctx context.Context, client *http.Client, rnd *rand.Rand) error {
	pause, known := catchUpEvery, ident.Version(0)
	for {
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return nil
		}
		if !a.CutOff() {
			pause = catchUpEvery
			continue
		}
		pause = min(2*pause, catchUpMost)
		m, err := a.ask(ctx, client, rnd, StatePath, a.others(false))
		switch {
		case err != nil:
			a.Log.Add(a.Clock(), trace.Lost, "dependency", "peer", "call", "state", "err", err)
		case m != nil && max(m.News.Version, m.Change.Version) > known:
			pause, known = catchUpEvery, max(m.News.Version, m.Change.Version)
		}
	}
}

// others returns the VMs that are ready, of the own region only if near is set and there are some.
func (a *Adopter) others(near bool) []proto.Info {
	var ready, own []proto.Info
	a.Peers.With(func(v *peers.View) { ready = v.Ready(a.Clock()) })
	ready = slices.DeleteFunc(ready, func(i proto.Info) bool { return i.VM == a.Self.VM })
	for _, i := range ready {
		if i.Place.Region == a.Self.Place.Region {
			own = append(own, i)
		}
	}
	if near && len(own) > 0 {
		return own
	}
	return ready
}

// askOne asks a VM that is ready, of the own region if there is one. It reports whether it got an answer.
func (a *Adopter) askOne(ctx context.Context, client *http.Client, rnd *rand.Rand) (bool, error) {
	path := StatePath
	if a.Ready() {
		path = DeparturesPath
	}
	m, err := a.ask(ctx, client, rnd, path, a.others(true))
	return m != nil, err
}

// ask asks one of the VMs and hands its answer on. It returns nil if there is none to ask.
func (a *Adopter) ask(ctx context.Context, client *http.Client, rnd *rand.Rand, path string, vms []proto.Info) (*proto.Message, error) {
	if len(vms) == 0 {
		return nil, nil
	}
	m, err := a.fetch(ctx, client, vms[rnd.Intn(len(vms))], path)
	if err != nil {
		return nil, err
	}
	select {
	case a.Adopted <- m:
	case <-ctx.Done():
	}
	return m, nil
}

// fetch returns what a VM tells on a path.
func (a *Adopter) fetch(ctx context.Context, client *http.Client, i proto.Info, path string) (*proto.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, adoptFor)
	defer cancel()
	ip, _, err := net.SplitHostPort(i.Peer)
	if err != nil {
		return nil, kinds.Wrap(kinds.Internal, err, "address of "+string(i.VM))
	}
	url := "http://" + net.JoinHostPort(ip, strconv.Itoa(a.Port)) + path
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, kinds.Wrap(kinds.Internal, err, "build request")
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, errors.Wrapf(err, "ask %s", i.VM)
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(resp.Body, stateMost))
	if err != nil {
		return nil, errors.Wrapf(err, "answer of %s", i.VM)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("%s answers %d", i.VM, resp.StatusCode)
	}
	m, err := proto.DecodeMessage(b)
	if err != nil {
		return nil, errors.Wrapf(err, "answer of %s", i.VM)
	}
	newest := ident.Version(0)
	a.Peers.With(func(v *peers.View) { newest = v.Newest() })
	if err := usable(&m, path, newest); err != nil {
		return nil, errors.Wrapf(err, "answer of %s", i.VM)
	}
	return &m, nil
}

// usable reports why an answer may not be taken. The state of a VM that has missed a change of the operators would bring
// back what they have withdrawn, to a VM that may have known it before its restart.
func usable(m *proto.Message, path string, newest ident.Version) error {
	switch {
	case m.News == nil:
		return errors.New("it names no targets")
	case path == DeparturesPath:
		return nil
	case m.Change == nil || !m.Change.Whole || !m.News.Whole:
		return errors.New("it is not the whole state")
	case m.Change.Version < newest:
		return errors.Newf("it is as of %d, and a change of %d is known", m.Change.Version, newest)
	}
	return nil
}
