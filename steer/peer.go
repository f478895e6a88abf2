package steer

import (
	"bytes"
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/kinds"
	"github.com/currantpier/currantpier/lists"
	"github.com/currantpier/currantpier/node"
	"github.com/currantpier/currantpier/relay"
	"github.com/currantpier/currantpier/store"
	"github.com/currantpier/currantpier/wire"
)

const (
	// maxApplyAttempts bounds the attempts to write a configuration. The row is read after each attempt whose outcome
	// is unknown.
	maxApplyAttempts = 3
	// applyRetryDelay is the delay between two attempts.
	applyRetryDelay = 200 * time.Millisecond
	// replicateTimeout bounds the time until another VM holds an accepted configuration.
	replicateTimeout = 2 * time.Second
)

// peer implements wire.Peer for the steer daemon. Its callers are other daemons and operators' commands.
type peer struct {
	node.PeerBase
	d *Daemon
}

// Report implements wire.Peer. It stores the report of an entry and replies whether this process holds the lease.
func (p *peer) Report(_ context.Context, r *wire.ReportRequest) (*wire.ReportReply, error) {
	now := p.d.clock()
	p.d.members.RecordMessage(now, ident.VM(r.GetVm()), ident.Incarnation(r.GetIncarnation()))
	p.d.planner.recordReport(now, r)
	_, held := p.d.planner.keeper.Held(now)
	_, version := p.d.sync.Versions()
	return &wire.ReportReply{Holder: held, PlanVersion: uint64(version)}, nil
}

// Apply implements wire.Peer.
func (p *peer) Apply(ctx context.Context, r *wire.ApplyRequest) (*wire.ApplyReply, error) {
	reply, err := p.d.apply(ctx, r)
	return reply, node.ErrorToTwirp(err)
}

// apply writes the proposed configuration if the version in the store is the one that the operator expects. The reply
// states whether it was accepted; an error of kind StoreUnknown means that it may have been.
func (d *Daemon) apply(ctx context.Context, r *wire.ApplyRequest) (*wire.ApplyReply, error) {
	c, err := lists.Decode(r.GetBody())
	if err != nil {
		return nil, kinds.Wrap(kinds.BadRequest, err, "proposed configuration")
	}
	expected := ident.Version(r.GetExpectedVersion())
	c.Version = expected + 1
	body := c.Encode()
	for attempt := 0; ; attempt++ {
		_, err = d.store.Txn(ctx, []store.Op{{Key: node.ConfigKey, Value: body, IfVersion: expected}})
		switch kinds.Of(err) {
		case kinds.Answered:
			return d.putInForce(ctx, r, c.Version, body), nil
		case kinds.StoreDown:
			return nil, err
		}
		row, readErr := d.store.Get(ctx, node.ConfigKey)
		switch {
		case readErr == nil && row.Version == c.Version && bytes.Equal(row.Value, body):
			// The row was written by an earlier attempt of this call whose reply was lost, or by another operator who
			// proposed an identical configuration. Both count as accepted.
			return d.putInForce(ctx, r, c.Version, body), nil
		case readErr == nil && row.Version != expected:
			return &wire.ApplyReply{Version: uint64(row.Version), Current: row.Value}, nil
		}
		if attempt+1 >= maxApplyAttempts {
			return nil, kinds.Wrap(kinds.StoreUnknown, err, "the configuration may have been accepted; see status")
		}
		select {
		case <-ctx.Done():
			return nil, kinds.Wrap(kinds.StoreUnknown, ctx.Err(), "the configuration may have been accepted; see status")
		case <-time.After(applyRetryDelay):
		}
	}
}

// putInForce puts an accepted configuration in force. It replies to the operator only after another VM holds it, or
// after replicateTimeout, so that an accepted configuration is not lost if this process ends during a store outage. The
// log key "secured" states whether another VM holds it.
func (d *Daemon) putInForce(ctx context.Context, r *wire.ApplyRequest, v ident.Version, body []byte) *wire.ApplyReply {
	doc := relay.Document{Kind: relay.Config, Version: v, Body: body}
	d.sync.Accept(doc)
	ctx, cancel := context.WithTimeout(ctx, replicateTimeout)
	defer cancel()
	replicated := d.sync.Replicate(ctx, doc)
	level.Info(d.logger).Log("event", "config-accepted", "version", v, "operator", r.GetOperator(), "secured", replicated)
	return &wire.ApplyReply{Accepted: true, Version: uint64(v)}
}
