package quota

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/proto"
)

// maxItems bounds the items of a message, so that it fits into one frame.
const maxItems = 20

// Receive applies a message and returns the answers.
func (l *Limiter) Receive(now time.Time, from ident.VM, m *proto.QuotaMessage) []Packet {
	l.checkPause(now)
	i, known := slices.BinarySearchFunc(l.vms, from, func(vm proto.VMInfo, name ident.VM) int { return cmp.Compare(vm.VM, name) })
	if !known {
		return nil
	}
	for k := range m.Items {
		it := &m.Items[k]
		a := l.accounts[it.Customer]
		if a == nil {
			continue
		}
		switch it.Kind {
		case proto.QuotaRequest:
			l.receiveRequest(now, a, &l.vms[i], m.Incarnation, it)
		case proto.QuotaGrant:
			l.receiveGrant(now, a, from, it)
		case proto.QuotaLoanRequest:
			if a.pool != nil && !l.staleView && l.vms[i].Place.Region != l.self.Place.Region {
				l.queue = append(l.queue, queued{&l.vms[i], a.pool.lend(now, from, it)})
			}
		case proto.QuotaLoan:
			if a.pool != nil && a.pool.receiveLoan(now, from, it) {
				l.Counters.Borrowed++
			}
		}
	}
	return l.Flush()
}

func (l *Limiter) receiveRequest(now time.Time, a *account, from *proto.VMInfo, inc ident.Incarnation, it *proto.QuotaItem) {
	if from.Place.Region != l.self.Place.Region {
		return
	}
	answer, ok := proto.QuotaItem{Kind: proto.QuotaGrant, Customer: it.Customer, Number: it.Number, Next: answerTimeout}, true
	if a.pool != nil {
		answer, ok = a.pool.request(now, from.VM, inc, it)
		l.borrow(now, a)
	}
	if ok && it.Count > 0 {
		l.queue = append(l.queue, queued{from, answer})
	}
}

func (l *Limiter) receiveGrant(now time.Time, a *account, from ident.VM, it *proto.QuotaItem) {
	if !a.waiting || it.Number != a.pending.Number || from != a.pendingTo.VM {
		return
	}
	a.waiting, a.silent = false, false
	a.emptyUntil = time.Time{}
	if it.Next > 0 {
		a.emptyUntil = now.Add(min(it.Next, maxNext))
	}
	l.dropExpired(now, a)
	if it.Count == 0 {
		return
	}
	if a.batches[1].n > 0 {
		if a.batches[0].n > 0 {
			a.unused = a.batches[0]
		}
		a.batches[0] = a.batches[1]
	}
	a.batches[1] = batch{number: it.Number, n: min(it.Count, a.pending.Count), until: a.firstSent.Add(tokenLife)}
}

// borrow queues the requests for loans that are due.
func (l *Limiter) borrow(now time.Time, a *account) {
	p := a.pool
	if now.Sub(p.reviewed) < reviewInterval {
		return
	}
	need := p.review(now)
	if need <= 0 {
		return
	}
	borrowed := p.borrowedShare(now)
	lenders := l.lendersOf(a)
	for _, lender := range lenders {
		it, ok := p.requestLoan(now, lender.VM, need, borrowed, len(lenders), l.number+1)
		if !ok {
			continue
		}
		l.number++
		l.Counters.LoanRequests++
		it.Customer = a.limit.Customer
		l.queue = append(l.queue, queued{lender, it})
	}
}

// Tick returns the messages that are due: repeated requests, returned tokens and requests for loans. It is called every
// TickInterval.
func (l *Limiter) Tick(now time.Time) []Packet {
	l.checkPause(now)
	if l.parts.counted <= len(l.parts.countFrom) && l.parts.count(now) {
		for _, a := range l.order {
			l.assign(now, a)
		}
	}
	sweep := now.Sub(l.swept) >= maxNext
	if sweep {
		l.swept = now
	}
	for _, a := range l.order {
		if p := a.pool; p != nil {
			p.advance(now)
			p.self = a.demand
			l.borrow(now, a)
			if sweep {
				p.sweep(now)
			}
			continue
		}
		l.expirePending(now, a)
		if a.waiting {
			if now.Sub(a.lastSent) >= resendInterval && a.pending.Count > 0 {
				a.lastSent = now
				l.queue = append(l.queue, queued{a.pendingTo, a.pending})
			}
			continue
		}
		l.dropExpired(now, a)
		if a.unused.n > 0 {
			l.send(now, a, 0)
			// Only requests for tokens are answered.
			a.waiting = false
		}
	}
	return l.Flush()
}

// Flush returns the messages that Take has caused.
func (l *Limiter) Flush() []Packet {
	if len(l.queue) == 0 {
		return nil
	}
	slices.SortStableFunc(l.queue, func(a, b queued) int { return strings.Compare(string(a.to.VM), string(b.to.VM)) })
	var packets []Packet
	for i := range l.queue {
		q := &l.queue[i]
		if n := len(packets); n == 0 || packets[n-1].To.VM != q.to.VM || len(packets[n-1].Message.Items) >= maxItems {
			packets = append(packets, Packet{*q.to, &proto.QuotaMessage{Incarnation: l.self.Incarnation}})
		}
		m := packets[len(packets)-1].Message
		m.Items = append(m.Items, q.item)
	}
	clear(l.queue)
	l.queue = l.queue[:0]
	return packets
}
