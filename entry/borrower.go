package entry

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/kernel"
	"github.com/currantpier/currantpier/node"
	"github.com/currantpier/currantpier/sched"
	"github.com/currantpier/currantpier/share"
	"github.com/currantpier/currantpier/wire"
)

// borrower borrows slots from other entries and returns them.
type borrower struct{ d *Daemon }

const (
	// peerCallTimeout bounds one call of a peer: a request for a loan, the return of one, or a query for the lease
	// holder. A peer in another region is 55 ms away.
	peerCallTimeout = 250 * time.Millisecond
	// maxPeersAsked is the maximum number of peers of one region that are asked for one loan, and of steer daemons that
	// are asked for the lease holder.
	maxPeersAsked = 3
	// maxReturnAttempts bounds the attempts to return a loan. If all of them fail, the lender gets the slot back at the
	// loan's deadline.
	maxReturnAttempts = 3
)

// Name implements kernel.Service.
func (b *borrower) Name() string { return "borrower" }

// Dump implements kernel.Service.
func (b *borrower) Dump(time.Time) any {
	return map[string]int{"loan-requests-waiting": len(b.d.sched.LoanRequests()), "returns-waiting": len(b.d.sched.LoanReturns())}
}

// Run requests and returns loans until ctx is done.
func (b *borrower) Run(ctx context.Context) error {
	g, groupCtx := errgroup.WithContext(ctx)
	g.SetLimit(32)
	var id uint64
	for {
		select {
		case <-ctx.Done():
			_ = g.Wait()
			return ctx.Err()
		case req := <-b.d.sched.LoanRequests():
			id++
			loan := share.Loan{
				ID: id, Borrower: b.d.self.VM, Incarnation: b.d.self.Incarnation, Deadline: req.Until,
			}
			g.Go(func() error {
				if !kernel.Guard(b.d.logger, "borrow", func() { b.borrow(groupCtx, req, loan) }) {
					b.d.sched.LoanDenied(groupCtx, req.Site)
				}
				return nil
			})
		case l := <-b.d.sched.LoanReturns():
			g.Go(func() error {
				kernel.Guard(b.d.logger, "return-loan", func() { b.returnLoan(groupCtx, l) })
				return nil
			})
		}
	}
}

// borrow asks peers for a loan one after another, those in this region first, until one grants it.
func (b *borrower) borrow(ctx context.Context, req sched.LoanRequest, loan share.Loan) {
	for _, m := range b.lenders(int(loan.ID)) {
		callCtx, cancel := context.WithTimeout(ctx, peerCallTimeout)
		reply, err := b.d.peers.At(m.control).Borrow(callCtx, &wire.BorrowRequest{
			Vm: string(loan.Borrower), Incarnation: uint64(loan.Incarnation), Service: string(req.Site.Service), Region: string(req.Site.Region),
			DeadlineUnixMs: loan.Deadline.UnixMilli(), Loan: loan.ID,
		})
		cancel()
		if err != nil {
			// The peer may have lent a slot although its reply was lost, so the loan is returned.
			loan.Lender = m.vm
			b.returnLoan(ctx, loan)
			continue
		}
		if reply.GetGranted() {
			loan.Lender, loan.Target = m.vm, ident.Target(reply.GetTarget())
			b.d.sched.LoanGranted(ctx, req.Site, loan)
			return
		}
	}
	b.d.sched.LoanDenied(ctx, req.Site)
}

// lender is a peer that can be asked for a loan. control is the control address of its entry daemon.
type lender struct {
	vm      ident.VM
	control string
}

// lenders returns the peers to ask for a loan: at most maxPeersAsked in this region, and one in another. The selection
// rotates with turn, so that requests are spread evenly over the peers.
func (b *borrower) lenders(turn int) []lender {
	var sameRegion, otherRegion []lender
	for _, m := range b.d.members.Snapshot().Live() {
		switch {
		case m.VM == b.d.self.VM || len(m.Control) == 0:
		case m.Place.Region == b.d.self.Place.Region:
			sameRegion = append(sameRegion, lender{m.VM, m.Control[node.EntryDaemon]})
		default:
			otherRegion = append(otherRegion, lender{m.VM, m.Control[node.EntryDaemon]})
		}
	}
	return append(rotate(sameRegion, turn, maxPeersAsked), rotate(otherRegion, turn, 1)...)
}

// rotate returns up to n of the peers, starting at index turn modulo their number.
func rotate(peers []lender, turn, n int) []lender {
	var chosen []lender
	for i := range min(len(peers), n) {
		chosen = append(chosen, peers[(turn+i)%len(peers)])
	}
	return chosen
}

// returnLoan returns a loan to its lender. It gives up after maxReturnAttempts.
func (b *borrower) returnLoan(ctx context.Context, l share.Loan) {
	m, ok := b.d.members.Snapshot().Member(l.Lender)
	if !ok || len(m.Control) == 0 {
		return
	}
	for range maxReturnAttempts {
		callCtx, cancel := context.WithTimeout(ctx, peerCallTimeout)
		_, err := b.d.peers.At(m.Control[node.EntryDaemon]).Return(callCtx, &wire.ReturnRequest{
			Vm: string(l.Borrower), Incarnation: uint64(l.Incarnation), Loan: l.ID,
		})
		cancel()
		if err == nil || ctx.Err() != nil {
			return
		}
	}
}
