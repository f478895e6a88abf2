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

	"github.com/currantpier/currantpier/codec"
	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/kinds"
	"github.com/currantpier/currantpier/peers"
	"github.com/currantpier/currantpier/proto"
	"github.com/currantpier/currantpier/stall"
	"github.com/currantpier/currantpier/trace"
)

const (
	// requestDelay is how long a starting VM waits for the store before it requests the state of another VM.
	requestDelay = 400 * time.Millisecond
	// requestPause is the pause between two such requests. requestTimeout bounds the time until a response begins, and then each
	// pause in it.
	requestPause   = 300 * time.Millisecond
	requestTimeout = time.Second
	// minCatchUpPause and maxCatchUpPause bound the pause between two requests of a VM that is cut off from the store.
	// It doubles while the responses contain nothing new, since the store may be down for all VMs. A VM that lacks a change
	// must have it within the 2.5 s in which a configuration comes into force everywhere.
	minCatchUpPause = 500 * time.Millisecond
	maxCatchUpPause = 8 * time.Second
	// maxStateBytes limits the encoded state of a VM. A longer one is refused.
	maxStateBytes = 16 << 20
	// maxHeaderBytes limits the header of a response.
	maxHeaderBytes = 64 << 10
)

// StatePath is the HTTP path that returns a VM's state, DeparturesPath the one that returns the targets that have left
// recently and, with ConfigParameter, the configuration in force if it is newer than the version that the parameter states.
const (
	StatePath       = "/state"
	DeparturesPath  = "/departures"
	ConfigParameter = "config"
)

// maxDepartureRequests bounds the number of requests of a VM that has received everything else from the store: it only
// lacks the targets that have left recently.
const maxDepartureRequests = 3

// StateFetcher is the service that requests the state of other VMs. When its VM starts, it takes the place of the store
// while that does not respond, and supplies what the store may lack: the targets that left before the start, of which it may
// still have late heartbeats, and the configuration in force, which a restored store has lost. Later, it replaces the store
// while this VM is cut off from it.
type StateFetcher struct {
	Self  proto.VMInfo
	Peers *peers.Service
	// Port is the port on which every VM serves its state.
	Port  int
	Log   *trace.Log
	Clock func() time.Time
	// Ready reports whether this VM has a configuration and a registry.
	Ready func() bool
	// ShouldQueryPeers reports whether this VM can't reach the store and gets changes from other VMs, LacksChange whether it
	// knows of a change that it lacks.
	ShouldQueryPeers, LacksChange func() bool
	// LacksConfig reports whether another VM has a newer configuration in force that the store can't supply, ConfigVersion
	// returns the version of this VM's.
	LacksConfig   func() bool
	ConfigVersion func() ident.Version
	// PeerStates receives the responses of other VMs.
	PeerStates chan<- *proto.Message
}

// Name implements kernel.Service.
func (*StateFetcher) Name() string { return "adopter" }

// Dump implements kernel.Service.
func (*StateFetcher) Dump(time.Time) any { return nil }

// newClient returns the client for requests to other VMs.
func newClient() *http.Client {
	return &http.Client{Transport: codec.Transport{RoundTripper: &http.Transport{
		DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes,
	}}}
}

// Run implements kernel.Service.
func (a *StateFetcher) Run(ctx context.Context) error {
	rnd := rand.New(rand.NewSource(int64(proto.KeyOf(a.Self.VM))))
	client := newClient()
	responded := false
	for n, pause := 0, requestDelay; ; n, pause = n+1, requestPause {
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return nil
		}
		if a.Ready() && (responded || n >= maxDepartureRequests) {
			return a.catchUpFromPeers(ctx, client, rnd)
		}
		ok, err := a.requestAtStart(ctx, client, rnd)
		if err != nil {
			a.Log.Add(a.Clock(), trace.DependencyLost, "dependency", "peer", "call", "state", "err", err)
		}
		responded = responded || ok
	}
}

// catchUpFromPeers requests the state of other VMs while this VM is cut off from the store.
func (a *StateFetcher) catchUpFromPeers(ctx context.Context, client *http.Client, rnd *rand.Rand) error {
	schedule := catchUpSchedule{pause: minCatchUpPause}
	for {
		select {
		case <-time.After(minCatchUpPause):
		case <-ctx.Done():
			return nil
		}
		query := a.ShouldQueryPeers()
		if !schedule.due(a.Clock(), query || a.LacksConfig(), a.LacksChange()) {
			continue
		}
		path, vms := StatePath, a.readyPeers(false)
		if !query {
			path, vms = DeparturesPath, a.configHolder()
		}
		m, err := a.requestFromAny(ctx, client, rnd, path, vms)
		if err != nil {
			a.Log.Add(a.Clock(), trace.DependencyLost, "dependency", "peer", "call", "state", "err", err)
		}
		schedule.record(a.Clock(), m, err)
	}
}

// catchUpSchedule decides when a VM that is cut off from the store requests the state of another VM.
type catchUpSchedule struct {
	// last is the time of the last request, pause the time from it to the next one.
	last  time.Time
	pause time.Duration
	// known is the newest version of a table in the responses.
	known ident.Version
}

// due reports whether a request is due. A VM that knows that it lacks a change doesn't wait out the pause, which may have
// grown while there was no change.
func (c *catchUpSchedule) due(now time.Time, query, lacksChange bool) bool {
	if !query {
		c.pause = minCatchUpPause
		return false
	}
	return lacksChange || now.Sub(c.last) >= c.pause
}

// record sets the pause after a request. A failed one is repeated soon: the peer may be cut off from the store as well
// and lack the same change; another one has it.
func (c *catchUpSchedule) record(now time.Time, m *proto.Message, err error) {
	c.last = now
	c.pause = min(2*c.pause, maxCatchUpPause)
	newest := ident.Version(0)
	if m != nil {
		newest = m.Registry.Version
		if m.OperatorChange != nil {
			newest = max(newest, m.OperatorChange.Version)
		}
	}
	switch {
	case err != nil:
		c.pause = minCatchUpPause
	case newest > c.known:
		c.pause, c.known = minCatchUpPause, newest
	}
}

// configHolder returns the VM that has announced the newest configuration, if any.
func (a *StateFetcher) configHolder() []proto.VMInfo {
	var holder proto.VMInfo
	a.Peers.With(func(v *peers.View) { holder, _ = v.ConfigHolder() })
	if holder.PeerAddress == "" {
		return nil
	}
	return []proto.VMInfo{holder}
}

// readyPeers returns the other VMs that are ready; only those of the own region if preferOwnRegion is set and there are
// any.
func (a *StateFetcher) readyPeers(preferOwnRegion bool) []proto.VMInfo {
	var ready, own []proto.VMInfo
	a.Peers.With(func(v *peers.View) { ready = v.Ready(a.Clock()) })
	ready = slices.DeleteFunc(ready, func(i proto.VMInfo) bool { return i.VM == a.Self.VM })
	for _, i := range ready {
		if i.Place.Region == a.Self.Place.Region {
			own = append(own, i)
		}
	}
	if preferOwnRegion && len(own) > 0 {
		return own
	}
	return ready
}

// requestAtStart requests the state, or only the departures once this VM is ready, from a ready VM, preferably of the
// own region. It reports whether there was a response.
func (a *StateFetcher) requestAtStart(ctx context.Context, client *http.Client, rnd *rand.Rand) (bool, error) {
	path := StatePath
	if a.Ready() {
		path = DeparturesPath
	}
	m, err := a.requestFromAny(ctx, client, rnd, path, a.readyPeers(true))
	return m != nil, err
}

// requestFromAny requests path from one of vms, chosen at random, and sends the response to PeerStates. It returns nil if
// vms is empty.
func (a *StateFetcher) requestFromAny(ctx context.Context, client *http.Client, rnd *rand.Rand, path string, vms []proto.VMInfo) (*proto.Message, error) {
	if len(vms) == 0 {
		return nil, nil
	}
	m, err := a.fetch(ctx, client, vms[rnd.Intn(len(vms))], path)
	if err != nil {
		return nil, err
	}
	select {
	case a.PeerStates <- m:
	case <-ctx.Done():
	}
	return m, nil
}

// fetch requests path from a VM and returns the checked response.
func (a *StateFetcher) fetch(ctx context.Context, client *http.Client, i proto.VMInfo, path string) (*proto.Message, error) {
	guard, ctx := stall.New(ctx, requestTimeout, requestTimeout)
	defer guard.Stop()
	ip, _, err := net.SplitHostPort(i.PeerAddress)
	if err != nil {
		return nil, kinds.Wrap(kinds.Internal, err, "address of "+string(i.VM))
	}
	url := "http://" + net.JoinHostPort(ip, strconv.Itoa(a.Port)) + path
	if path == DeparturesPath {
		url += "?" + ConfigParameter + "=" + strconv.FormatUint(uint64(a.ConfigVersion()), 10)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, kinds.Wrap(kinds.Internal, err, "build request")
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, errors.Wrapf(err, "request to %s", i.VM)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("%s responded with status %d", i.VM, resp.StatusCode)
	}
	b, err := readBody(guard.Answer(resp.Body), resp.ContentLength)
	if err != nil {
		return nil, errors.Wrapf(err, "response of %s", i.VM)
	}
	m, err := proto.DecodeMessage(b)
	if err != nil {
		return nil, errors.Wrapf(err, "response of %s", i.VM)
	}
	newest := ident.Version(0)
	a.Peers.With(func(v *peers.View) { newest = v.NewestOperatorVersion() })
	if err := checkResponse(&m, path, newest); err != nil {
		return nil, errors.Wrapf(err, "response of %s", i.VM)
	}
	return &m, nil
}

// readBody reads the body of a response. An encoded message has no end of its own: one that is cut between two fields would be
// decoded as a state with fewer rows. The body must have a length, therefore, and be complete.
func readBody(body io.Reader, length int64) ([]byte, error) {
	if length < 0 || length > maxStateBytes {
		return nil, errors.Newf("body of %d bytes, limit %d; -1 stands for no length", length, maxStateBytes)
	}
	b, err := io.ReadAll(io.LimitReader(body, length))
	if err == nil && int64(len(b)) < length {
		err = io.ErrUnexpectedEOF
	}
	return b, err
}

// checkResponse returns an error if a response must not be applied. The state of a VM that has missed a change of the
// operators' table would restore what the operators have removed, on a VM that may have applied the removal before its
// restart.
func checkResponse(m *proto.Message, path string, newest ident.Version) error {
	switch {
	case m.Registry == nil:
		return errors.New("the message has no registry data")
	case path == DeparturesPath:
		return nil
	case m.OperatorChange == nil || !m.OperatorChange.Full || !m.Registry.Full:
		return errors.New("the message lacks the full state")
	case m.OperatorChange.Version < newest:
		return errors.Newf("the operators' table is as of version %d, older than known version %d", m.OperatorChange.Version, newest)
	}
	return nil
}
