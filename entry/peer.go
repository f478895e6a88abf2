package entry

import (
	"context"
	"time"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/node"
	"github.com/currantpier/currantpier/sched"
	"github.com/currantpier/currantpier/share"
	"github.com/currantpier/currantpier/wire"
)

// peer implements wire.Peer for the entry daemon.
type peer struct {
	node.PeerBase
	d *Daemon
}

// Borrow implements wire.Peer.
func (p *peer) Borrow(ctx context.Context, r *wire.BorrowRequest) (*wire.BorrowReply, error) {
	site := sched.Site{Service: ident.Service(r.GetService()), Region: ident.Region(r.GetRegion())}
	target, ok := p.d.sched.Lend(ctx, site, share.Loan{
		ID: r.GetLoan(), Borrower: ident.VM(r.GetVm()), Incarnation: ident.Incarnation(r.GetIncarnation()),
		Deadline: time.UnixMilli(r.GetDeadlineUnixMs()),
	})
	return &wire.BorrowReply{Granted: ok, Target: string(target), Loan: r.GetLoan()}, nil
}

// Return implements wire.Peer.
func (p *peer) Return(ctx context.Context, r *wire.ReturnRequest) (*wire.ReturnReply, error) {
	p.d.sched.EndLoan(ctx, ident.VM(r.GetVm()), ident.Incarnation(r.GetIncarnation()), r.GetLoan())
	return &wire.ReturnReply{}, nil
}

// Unknown implements wire.Peer.
func (p *peer) Unknown(context.Context, *wire.UnknownRequest) (*wire.UnknownReply, error) {
	reply := &wire.UnknownReply{}
	for _, o := range p.d.orders.Unknown() {
		reply.Orders = append(reply.Orders, &wire.UnknownOrder{
			Id: string(o.ID), Service: string(o.Service), Customer: string(o.Customer),
			ReceivedUnixMs: o.Received.UnixMilli(), Reason: o.Reason,
		})
	}
	return reply, nil
}
