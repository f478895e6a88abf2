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
			<-ctx.Done()
			return nil
		}
		ok, err := a.askOne(ctx, client, rnd)
		if err != nil {
			a.Log.Add(a.Clock(), trace.Lost, "dependency", "peer", "call", "state", "err", err)
		}
		asked = asked || ok
	}
}

// askOne asks a VM that is ready, of the own region if there is one. It reports whether it got an answer.
func (a *Adopter) askOne(ctx context.Context, client *http.Client, rnd *rand.Rand) (bool, error) {
	var ready []proto.Info
	a.Peers.With(func(v *peers.View) { ready = v.Ready(a.Clock()) })
	near := slices.DeleteFunc(slices.Clone(ready), func(i proto.Info) bool { return i.Place.Region != a.Self.Place.Region })
	if len(near) > 0 {
		ready = near
	}
	ready = slices.DeleteFunc(slices.Clone(ready), func(i proto.Info) bool { return i.VM == a.Self.VM })
	if len(ready) == 0 {
		return false, nil
	}
	path := StatePath
	if a.Ready() {
		path = DeparturesPath
	}
	m, err := a.fetch(ctx, client, ready[rnd.Intn(len(ready))], path)
	if err != nil {
		return false, err
	}
	select {
	case a.Adopted <- m:
	case <-ctx.Done():
	}
	return true, nil
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
	return &m, errors.Wrapf(usable(&m, path, newest), "answer of %s", i.VM)
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
