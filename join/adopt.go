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

// StatePath is where a VM hands its state to others.
const StatePath = "/state"

// Adopter is the service that asks other VMs for their state while the store does not answer a VM that starts.
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
	for pause := adoptAfter; ; pause = adoptEvery {
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return nil
		}
		if a.Ready() {
			<-ctx.Done()
			return nil
		}
		if err := a.askOne(ctx, client, rnd); err != nil {
			a.Log.Add(a.Clock(), trace.Lost, "dependency", "peer", "call", "state", "err", err)
		}
	}
}

// askOne asks a VM that is ready, of the own region if there is one.
func (a *Adopter) askOne(ctx context.Context, client *http.Client, rnd *rand.Rand) error {
	var ready []proto.Info
	a.Peers.With(func(v *peers.View) { ready = v.Ready(a.Clock()) })
	near := slices.DeleteFunc(slices.Clone(ready), func(i proto.Info) bool { return i.Place.Region != a.Self.Place.Region })
	if len(near) > 0 {
		ready = near
	}
	if len(ready) == 0 {
		return nil
	}
	m, err := a.fetch(ctx, client, ready[rnd.Intn(len(ready))])
	if err != nil {
		return err
	}
	select {
	case a.Adopted <- m:
	case <-ctx.Done():
	}
	return nil
}

// fetch returns the state of a VM.
func (a *Adopter) fetch(ctx context.Context, client *http.Client, i proto.Info) (*proto.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, adoptFor)
	defer cancel()
	ip, _, err := net.SplitHostPort(i.Peer)
	if err != nil {
		return nil, kinds.Wrap(kinds.Internal, err, "address of "+string(i.VM))
	}
	url := "http://" + net.JoinHostPort(ip, strconv.Itoa(a.Port)) + StatePath
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
	if err != nil || m.Change == nil || m.News == nil || !m.Change.Whole || !m.News.Whole {
		return nil, errors.Newf("answer of %s is no state: %v", i.VM, err)
	}
	return &m, nil
}
