package node

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/twitchtv/twirp"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/kernel"
	"github.com/currantpier/currantpier/kinds"
	"github.com/currantpier/currantpier/relay"
	"github.com/currantpier/currantpier/wire"
)

// PeerBase implements the methods of wire.Peer that both daemons serve. A daemon embeds it and overrides the others,
// which return an Unimplemented error.
type PeerBase struct {
	Self    Self
	Members *Members
	Sync    *Sync
	Clock   func() time.Time
	// Leaving reports whether this process has begun a planned stop.
	Leaving func() bool
	// Holder returns the holder of the steering lease and its term, as last read from the store. It is nil in a daemon
	// that does not read the lease.
	Holder func() (ident.VM, ident.Term)
}

// Probe implements wire.Peer. A request that names another VM in Through is answered by probing that VM.
func (b *PeerBase) Probe(ctx context.Context, r *wire.ProbeRequest) (*wire.ProbeReply, error) {
	if r.GetThrough() != "" && r.GetThrough() != string(b.Self.VM) {
		return b.Members.ProbeFor(ctx, ident.VM(r.GetThrough())), nil
	}
	if r.GetLeaving() {
		b.Members.RecordLeaving(b.Clock(), ident.VM(r.GetVm()), ident.Incarnation(r.GetIncarnation()))
	}
	config, plan := b.Sync.Versions()
	reply := &wire.ProbeReply{
		Vm: string(b.Self.VM), Incarnation: uint64(b.Self.Incarnation), ConfigVersion: uint64(config),
		PlanVersion: uint64(plan), Ready: b.Sync.Ready(), Leaving: b.Leaving(),
	}
	if b.Holder != nil {
		vm, term := b.Holder()
		reply.Holder, reply.Term = string(vm), uint64(term)
	}
	return reply, nil
}

// Fetch implements wire.Peer. It waits for a newer document for up to the requested time.
func (b *PeerBase) Fetch(ctx context.Context, r *wire.FetchRequest) (*wire.Document, error) {
	k, err := documentKind(r.GetKind())
	if err != nil {
		return nil, err
	}
	wait := time.Duration(r.GetWaitMs()) * time.Millisecond
	doc := b.Sync.Fetch(ctx, k, ident.Version(r.GetVersion()), wait)
	return &wire.Document{Kind: r.GetKind(), Version: uint64(doc.Version), Body: doc.Body}, nil
}

// Push implements wire.Peer.
func (b *PeerBase) Push(_ context.Context, d *wire.Document) (*wire.PushReply, error) {
	k, err := documentKind(d.GetKind())
	if err != nil {
		return nil, err
	}
	b.Sync.Offer(fromWire(k, d))
	return &wire.PushReply{Version: uint64(b.Sync.Current(k).Version)}, nil
}

// documentKind returns the kind that a message names. A daemon of a later release may name others.
func documentKind(k wire.DocumentKind) (relay.Kind, error) {
	switch k {
	case wire.DocumentKind_DOCUMENT_KIND_CONFIG:
		return relay.Config, nil
	case wire.DocumentKind_DOCUMENT_KIND_PLAN:
		return relay.Plan, nil
	}
	return 0, twirp.NewErrorf(twirp.InvalidArgument, "unknown kind of document: %d", k)
}

// List implements wire.Peer.
func (b *PeerBase) List(context.Context, *wire.ListRequest) (*wire.ListReply, error) {
	list := b.Members.List()
	if len(list) == 0 {
		return &wire.ListReply{}, nil
	}
	vms, err := json.Marshal(list)
	return &wire.ListReply{Vms: vms}, ErrorToTwirp(err)
}

// Report implements wire.Peer.
func (b *PeerBase) Report(context.Context, *wire.ReportRequest) (*wire.ReportReply, error) {
	return nil, b.unimplemented("Report")
}

// Borrow implements wire.Peer.
func (b *PeerBase) Borrow(context.Context, *wire.BorrowRequest) (*wire.BorrowReply, error) {
	return nil, b.unimplemented("Borrow")
}

// Return implements wire.Peer.
func (b *PeerBase) Return(context.Context, *wire.ReturnRequest) (*wire.ReturnReply, error) {
	return nil, b.unimplemented("Return")
}

// Apply implements wire.Peer.
func (b *PeerBase) Apply(context.Context, *wire.ApplyRequest) (*wire.ApplyReply, error) {
	return nil, b.unimplemented("Apply")
}

// Unknown implements wire.Peer.
func (b *PeerBase) Unknown(context.Context, *wire.UnknownRequest) (*wire.UnknownReply, error) {
	return nil, b.unimplemented("Unknown")
}

func (b *PeerBase) unimplemented(method string) error {
	return twirp.NewErrorf(twirp.Unimplemented, "the %s daemon does not serve %s", b.Self.Daemon, method)
}

// kindMetaKey is the metadata key under which a twirp error carries its kind.
const kindMetaKey = "kind"

// ErrorToTwirp converts err to a twirp error that carries its kind. It returns nil for nil.
func ErrorToTwirp(err error) error {
	if err == nil {
		return nil
	}
	return twirp.NewError(twirp.FailedPrecondition, err.Error()).WithMeta(kindMetaKey, kinds.Of(err).String())
}

// ErrorFromTwirp restores the kind of an error that a call of a peer returned. An error without a kind, such as a broken
// connection, gets the kind defaultKind: callers pass StoreUnknown for a write, since the peer may have performed it,
// and another kind for a read.
func ErrorFromTwirp(err error, defaultKind kinds.Kind) error {
	if err == nil {
		return nil
	}
	var te twirp.Error
	if errors.As(err, &te) {
		if k, ok := kinds.ByName(te.Meta(kindMetaKey)); ok {
			return kinds.Errorf(k, "%s", te.Msg())
		}
	}
	return kinds.Wrap(defaultKind, err, "call peer")
}

// Control is the HTTP server of the control port. It serves calls of other daemons, readiness, metrics and dumps.
type Control struct {
	ln     net.Listener
	server *http.Server
	// stopTimeout bounds the wait for calls in progress at the end.
	stopTimeout time.Duration
}

// ControlOption changes a setting of a Control.
type ControlOption func(*Control)

// WithStopTimeout sets how long calls in progress may take when the process stops; a second by default.
func WithStopTimeout(d time.Duration) ControlOption { return func(c *Control) { c.stopTimeout = d } }

// NewControl returns the server for the listener ln. notReady returns the reason why the process is not ready, or an
// empty string.
func NewControl(ln net.Listener, peer wire.Peer, k *kernel.Kernel, reg metrics.Registry, clock func() time.Time,
	notReady func() string, opts ...ControlOption) *Control {
	mux := http.NewServeMux()
	mux.Handle(wire.PeerPathPrefix, wire.NewPeerServer(peer))
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		if reason := notReady(); reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(reg, w)
	})
	mux.HandleFunc("GET /dump", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if err := k.WriteDump(w, clock(), r.URL.Query()["service"]...); err != nil {
			http.Error(w, err.Error(), kinds.Of(err).Answer().Status)
		}
	})
	c := &Control{ln: ln, stopTimeout: time.Second, server: &http.Server{
		Handler: newBodyLimit().handler(mux), MaxHeaderBytes: maxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: exchangeTimeout, WriteTimeout: exchangeTimeout,
		IdleTimeout: maxServerIdle,
	}}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

const (
	readHeaderTimeout = 5 * time.Second
	// exchangeTimeout bounds reading a call, handling it and writing the reply. It is twice the time after which callers
	// give up.
	exchangeTimeout = 2 * callTimeout
	// maxServerIdle is longer than the time after which callers close an idle connection, so that no call crosses the close.
	maxServerIdle = 2 * maxClientIdle
)

// Name implements kernel.Service.
func (c *Control) Name() string { return "control" }

// Run serves until ctx is done, and then waits for the calls in progress: one may have changed the configuration, and its
// operator must learn that. Sync ends the calls that wait for a document.
func (c *Control) Run(ctx context.Context) error {
	done := make(chan error, 1)
	go func() { done <- c.server.Serve(c.ln) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	stopCtx, cancel := context.WithTimeout(context.Background(), c.stopTimeout)
	defer cancel()
	if c.server.Shutdown(stopCtx) != nil {
		_ = c.server.Close()
	}
	<-done
	return ctx.Err()
}

// Dump implements kernel.Service.
func (c *Control) Dump(time.Time) any {
	return map[string]string{"address": c.ln.Addr().String()}
}
