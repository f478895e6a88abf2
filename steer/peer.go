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
	// The row has the expected version unless the store has lost rows since and the configuration was written again.
	row := store.Row{Version: expected}
	c.Version = expected + 1
	// If the store has lost the configuration in force, it has lost the reason to refuse the proposal.
	d.sync.Poll(ctx, relay.Config)
	if inForce := d.sync.Current(relay.Config); inForce.Version > expected {
		return &wire.ApplyReply{Version: uint64(inForce.Version), Current: inForce.Body}, nil
	}
	if !d.sync.Known(relay.Config) {
		return nil, kinds.Errorf(kinds.Stopping, "the newest configuration is not known yet")
	}
	if expected == 0 {
		if row, err = d.store.Get(ctx, node.ConfigKey); err != nil {
			return nil, err
		}
		row.Version, c.Version = 0, ident.NewVersion(row.Era, 1)
	}
	for attempt := 0; ; attempt++ {
		body := c.Encode()
		_, err = d.store.Txn(ctx, []store.Op{{Key: node.ConfigKey, Value: body, IfVersion: row.Version, IfEra: row.Era}})
		switch kinds.Of(err) {
		case kinds.Answered:
			return d.putInForce(ctx, r, c.Version, body), nil
		case kinds.StoreDown:
			return nil, err
		}
		read, readErr := d.store.Get(ctx, node.ConfigKey)
		if readErr == nil {
			doc := node.DocumentIn(relay.Config, read)
			switch {
			case doc.Version == c.Version && bytes.Equal(doc.Body, body):
				// The row was written by an earlier attempt of this call whose reply was lost, or by another operator who
				// proposed an identical configuration. Both count as accepted.
				return d.putInForce(ctx, r, c.Version, body), nil
			case doc.Version < expected:
				// The store has lost the expected configuration since the call began. Poll has it written again.
				d.sync.Poll(ctx, relay.Config)
			case doc.Version != expected:
				return &wire.ApplyReply{Version: uint64(doc.Version), Current: doc.Body}, nil
			case read.Version != row.Version && kinds.Of(err) == kinds.Conflict:
				row, c.Version = read, ident.NewVersion(read.Era, read.Version.Number()+1)
			}
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

// rewriteConfig writes a configuration again that was accepted in an earlier era of the store and lost. It keeps its
// version, so that it never replaces a newer one, whichever VMs write what they have: the version of the configuration
// in the row only increases. A failed write is repeated after the next read of the row.
func (d *Daemon) rewriteConfig(ctx context.Context, row store.Row, inForce relay.Document) {
	c, err := lists.Decode(inForce.Body)
	if err != nil {
		level.Error(d.logger).Log("event", "bad-document", "kind", "config", "version", inForce.Version, "err", err)
		return
	}
	c.Version = inForce.Version
	_, err = d.store.Txn(ctx, []store.Op{{Key: node.ConfigKey, Value: c.Encode(), IfVersion: row.Version, IfEra: row.Era}})
	level.Warn(d.logger).Log("event", "config-rewritten", "version", inForce.Version, "row-version", row.Version,
		"era", row.Era, "err", err)
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
