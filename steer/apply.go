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
	// applyTries bounds how often a write with a lost answer is resolved and tried again.
	applyTries = 3
	applyPause = 200 * time.Millisecond
	// secureTimeout bounds the wait for another VM to hold an accepted configuration.
	secureTimeout = 2 * time.Second
)

// peer answers the messages of other daemons and of operators.
type peer struct {
	node.Base
	d *Daemon
}

// Report implements wire.Peer.
func (p *peer) Report(_ context.Context, r *wire.ReportRequest) (*wire.ReportReply, error) {
	now := p.d.clock()
	p.d.members.RecordMessage(now, ident.VM(r.GetVm()), ident.Incarnation(r.GetIncarnation()))
	p.d.planner.reported(now, r)
	_, held := p.d.planner.keeper.Held(now)
	_, version := p.d.sync.Versions()
	return &wire.ReportReply{Holder: held, PlanVersion: uint64(version)}, nil
}

// Apply implements wire.Peer.
func (p *peer) Apply(ctx context.Context, r *wire.ApplyRequest) (*wire.ApplyReply, error) {
	reply, err := p.d.apply(ctx, r)
	return reply, node.ToWire(err)
}

// apply proposes a configuration by one conditional write. The reply says whether it was accepted; an error of kind
// StoreUnknown means that it may have been.
func (d *Daemon) apply(ctx context.Context, r *wire.ApplyRequest) (*wire.ApplyReply, error) {
	c, err := lists.Decode(r.GetBody())
	if err != nil {
		return nil, kinds.Wrap(kinds.BadRequest, err, "proposed configuration")
	}
	expected := ident.Version(r.GetExpectedVersion())
	c.Version = expected + 1
	body := c.Encode()
	for try := 0; ; try++ {
		_, err = d.store.Txn(ctx, []store.Op{{Key: node.ConfigKey, Value: body, If: expected}})
		switch kinds.Of(err) {
		case kinds.Answered:
			return d.accepted(ctx, r, c.Version, body), nil
		case kinds.StoreDown:
			return nil, err
		}
		row, rerr := d.store.Get(ctx, node.ConfigKey)
		switch {
		case rerr == nil && row.Version == c.Version && bytes.Equal(row.Value, body):
			// Either an earlier write of this call with a lost answer, or an operator who proposed the very same change.
			return d.accepted(ctx, r, c.Version, body), nil
		case rerr == nil && row.Version != expected:
			return &wire.ApplyReply{Version: uint64(row.Version), Current: row.Value}, nil
		}
		if try+1 >= applyTries {
			return nil, kinds.Wrap(kinds.StoreUnknown, err, "the configuration may have been accepted; see status")
		}
		select {
		case <-ctx.Done():
			return nil, kinds.Wrap(kinds.StoreUnknown, ctx.Err(), "the configuration may have been accepted; see status")
		case <-time.After(applyPause):
		}
	}
}

// accepted puts the configuration in force. The operator is told only after another VM holds it, so that an accepted
// configuration survives the end of this process during an outage of the store.
func (d *Daemon) accepted(ctx context.Context, r *wire.ApplyRequest, v ident.Version, body []byte) *wire.ApplyReply {
	doc := relay.Document{Kind: relay.Config, Version: v, Body: body}
	d.sync.Accept(doc)
	ctx, cancel := context.WithTimeout(ctx, secureTimeout)
	defer cancel()
	secured := d.sync.Replicate(ctx, doc)
	level.Info(d.logger).Log("event", "config-accepted", "version", v, "operator", r.GetOperator(), "secured", secured)
	return &wire.ApplyReply{Accepted: true, Version: uint64(v)}
}
