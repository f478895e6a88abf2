package quota

import (
	"math"
	"slices"
	"time"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/proto"
)

// epsilon absorbs rounding errors of token levels.
const epsilon = 1e-9

// grant are tokens that a VM may use or return until returnLife has passed.
type grant struct {
	vm     ident.VM
	number uint64
	n      float64
	at     time.Time
}

// client is what a pool knows of a VM that requests tokens.
type client struct {
	incarnation ident.Incarnation
	// answer is the answer to the VM's newest request.
	answer proto.QuotaItem
	demand demand
	// unmet says that the newest request was not granted in full.
	unmet bool
}

// lending has the loans to one VM that it may still use, the oldest first. Which of them it uses depends on which answers have arrived,
// so the lender counts the largest.
type lending struct {
	loans []loan
}

type loan struct {
	share float64
	until time.Time
}

// at returns the greatest share that the borrower may use.
func (l *lending) at(now time.Time) float64 {
	for _, x := range l.loans {
		if now.Before(x.until) {
			return x.share
		}
	}
	return 0
}

// newest returns the share of the newest answer.
func (l *lending) newest(now time.Time) float64 {
	if n := len(l.loans); n > 0 && now.Before(l.loans[n-1].until) {
		return l.loans[n-1].share
	}
	return 0
}

// add adds an answer. Older ones with smaller shares no longer matter, so that shares decrease.
func (l *lending) add(now time.Time, share float64) {
	l.loans = slices.DeleteFunc(l.loans, func(x loan) bool { return x.share <= share || !now.Before(x.until) })
	l.loans = append(l.loans, loan{share, now.Add(lenderLife)})
}

// borrowing is the part of another VM's pool that this pool may use.
type borrowing struct {
	share float64
	until time.Time
	// number and sentAt are of the newest request; answered says that its answer has arrived.
	number   uint64
	sentAt   time.Time
	answered bool
	// interval is the time until the next request.
	interval time.Duration
	// want is the share that was last requested.
	want float64
}

// pool is the token bucket of one customer in one region. Tokens in level and those granted within returnLife together
// never exceed the burst of the pool's share, so that the sum over all pools in a window is bounded by rate and bursts alone.
type pool struct {
	// rate and burst are of one failure domain's part, parts the number of parts that the pool has. Shares are in parts.
	rate, burst float64
	parts       float64
	// domains is the number of parts of all pools.
	domains       float64
	created, last time.Time
	// ownFrom is when the pool may use its own share.
	ownFrom  time.Time
	level    float64
	grants   []grant
	granted  float64
	clients  map[ident.VM]*client
	lent     map[ident.VM]*lending
	borrowed map[ident.VM]*borrowing
	self     demand
	// reviewed is when review was last called, and waiting the number of VMs whose newest request was then not granted in full.
	reviewed time.Time
	waiting  float64
}

func newPool(now time.Time) *pool {
	return &pool{domains: 1, created: now, ownFrom: now.Add(lenderLife), last: now, reviewed: now, clients: map[ident.VM]*client{}, lent: map[ident.VM]*lending{}, borrowed: map[ident.VM]*borrowing{}}
}

// started reports whether all tokens of an earlier holder have expired.
func (p *pool) started(now time.Time) bool { return now.Sub(p.created) >= returnLife }

// ownShare returns the part of this pool's own share that isn't lent. An earlier holder may have lent all of it: its loans are
// unknown here.
func (p *pool) ownShare(now time.Time) float64 { return max(p.unlent(now), 0) }

// unlent is ownShare, but negative while more is lent than the pool has since its parts became fewer.
func (p *pool) unlent(now time.Time) float64 {
	if now.Before(p.ownFrom) {
		return 0
	}
	s := p.parts
	for _, l := range p.lent {
		s -= l.at(now)
	}
	return s
}

func (p *pool) borrowedShare(now time.Time) float64 {
	s := 0.0
	for _, b := range p.borrowed {
		if now.Before(b.until) {
			s += b.share
		}
	}
	return s
}

// advance adds the tokens since the last call. Within that time, loans count as at its less favorable end.
func (p *pool) advance(now time.Time) {
	expired := 0
	for expired < len(p.grants) && now.Sub(p.grants[expired].at) >= returnLife {
		p.granted -= p.grants[expired].n
		expired++
	}
	p.grants = slices.Delete(p.grants, 0, expired)
	if dt := now.Sub(p.last); dt > 0 {
		p.level += dt.Seconds() * p.rate * (p.ownShare(p.last) + p.borrowedShare(now))
		p.last = now
	}
	p.cap(now)
}

// cap limits the level to what the share's burst leaves.
func (p *pool) cap(now time.Time) {
	p.level = max(min(p.level, p.burst*(p.ownShare(now)+p.borrowedShare(now))-p.granted), 0)
}

// take takes up to n whole tokens.
func (p *pool) take(now time.Time, n uint32) uint32 {
	p.advance(now)
	got := min(float64(n), math.Floor(p.level+epsilon))
	p.level = max(p.level-got, 0)
	return uint32(got)
}

// next returns the time until tokens are next expected for one of the VMs whose requests were not granted in full.
func (p *pool) next(now time.Time) time.Duration {
	rate := p.rate * (p.ownShare(now) + p.borrowedShare(now))
	seconds := max(max(1+p.waiting-p.level, 0)/max(rate, epsilon), (p.waiting-fewWaiting)/unmetAnswers)
	most := maxNext
	if now.Before(p.ownFrom) {
		most = growInterval // loans are on their way
	}
	return min(max(time.Duration(min(seconds, maxNext.Seconds())*float64(time.Second)), minNext), most)
}

// demandAt returns the demand of all VMs of the region.
func (p *pool) demandAt(now time.Time) float64 {
	d := p.self.perSecond(now)
	for _, c := range p.clients {
		d += c.demand.perSecond(now)
	}
	return d
}

// request answers a request for tokens. A repeated one gets the same answer.
func (p *pool) request(now time.Time, from ident.VM, inc ident.Incarnation, it *proto.QuotaItem) (answer proto.QuotaItem, ok bool) {
	c := p.clients[from]
	if c == nil || c.incarnation != inc {
		c = &client{incarnation: inc}
		p.clients[from] = c
	}
	if it.Number == c.answer.Number {
		return c.answer, true
	}
	if it.Number < c.answer.Number {
		return proto.QuotaItem{}, false
	}
	p.advance(now)
	p.acceptReturn(from, it)
	a := proto.QuotaItem{Kind: proto.QuotaGrant, Customer: it.Customer, Number: it.Number}
	if p.started(now) {
		a.Count = p.take(now, it.Count)
	}
	if a.Count > 0 {
		p.grants = append(p.grants, grant{from, it.Number, float64(a.Count), now})
		p.granted += float64(a.Count)
	}
	c.unmet = a.Count < it.Count
	if c.unmet {
		a.Next = p.next(now).Round(time.Millisecond)
	}
	c.answer = a
	// The demand decays from the time at which the VM is next expected to report it. A VM that doesn't prefetch reports each request:
	// its demand, right after one, is above its mean and decays at once.
	rate, wait := float64(it.Demand)/1000, a.Next
	if rate >= minPrefetchRate {
		wait = max(wait, prefetchPeriod)
	}
	c.demand = demand{rate, now.Add(wait), periodFor(p.rate * p.parts)}
	return a, true
}

// acceptReturn puts tokens back that a VM will not use.
func (p *pool) acceptReturn(from ident.VM, it *proto.QuotaItem) {
	i := slices.IndexFunc(p.grants, func(g grant) bool { return g.vm == from && g.number == it.ReturnedNumber })
	if i < 0 || it.Returned == 0 {
		return
	}
	n := min(float64(it.Returned), p.grants[i].n)
	p.grants[i].n -= n
	p.granted -= n
	p.level += n
}

// lend answers a request for a loan. The pool reduces its own share before the answer is sent.
func (p *pool) lend(now time.Time, from ident.VM, it *proto.QuotaItem) proto.QuotaItem {
	p.advance(now)
	a := proto.QuotaItem{Kind: proto.QuotaLoan, Customer: it.Customer, Number: it.Number}
	own := p.unlent(now)
	if p.burst <= 0 {
		return a
	}
	l := p.lent[from]
	if l == nil {
		l = &lending{}
	}
	before := l.at(now)
	// Tokens that were granted stay within the burst of the share that is kept. A present loan is reduced later than a new one is
	// refused: what it was reduced by is lost until the borrower has surely noticed.
	shares, granted := p.demandAt(now)/p.rate, p.granted/p.burst
	free := own + before - max(p.headroom(own)*shares, granted)
	free = max(free, min(l.newest(now), own+before-max(shares, granted)))
	a.Share = uint32(max(min(p.shareOf(it), free), 0) / p.domains * proto.QuotaShareUnits)
	if a.Share == 0 {
		return a
	}
	share := p.shareOf(&a)
	if share >= before && own > 0 {
		grown := share - before
		a.MilliTokens = uint64(min(p.level*min(grown/own, 1), p.burst*grown) * 1000)
		p.level = max(p.level-float64(a.MilliTokens)/1000, 0)
	}
	l.add(now, share)
	p.lent[from] = l
	p.cap(now)
	return a
}

// headroom returns the ratio of the part that the pool keeps, when it lends, to its demand.
func (p *pool) headroom(own float64) float64 {
	if own <= 0 {
		return lendHeadroom
	}
	fill := min(p.level/(fullFraction*p.burst*own), 1)
	return lendHeadroom - max(lendHeadroom-1-fullPeaks/math.Sqrt(p.burst*own), 0)*fill
}

// shareOf returns the share in a message, in parts.
func (p *pool) shareOf(it *proto.QuotaItem) float64 {
	return float64(it.Share) / proto.QuotaShareUnits * p.domains
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// receiveLoan applies the answer to a request for a loan and reports whether anything was lent.
func (p *pool) receiveLoan(now time.Time, from ident.VM, it *proto.QuotaItem) (borrowed bool) {
	b := p.borrowed[from]
	if b == nil || b.answered || b.number != it.Number || now.Sub(b.sentAt) >= borrowerLife {
		return false
	}
	p.advance(now)
	b.answered = true
	if it.Share == 0 {
		// The previous loan lasts until its own end.
		b.interval = min(2*b.interval, maxLoanBackoff)
		return false
	}
	b.share, b.until, b.interval = min(p.shareOf(it), b.want), b.sentAt.Add(borrowerLife), growInterval
	p.level += float64(it.MilliTokens) / 1000
	p.cap(now)
	return true
}

// review counts the waiting VMs and returns the part that the pool needs from others, in shares.
func (p *pool) review(now time.Time) (need float64) {
	p.reviewed, p.waiting = now, 0
	for _, c := range p.clients {
		if c.unmet && now.Sub(c.demand.at) < maxNext {
			p.waiting++
		}
	}
	if !p.started(now) {
		return 0
	}
	own, borrowed, shares := p.ownShare(now), p.borrowedShare(now), p.demandAt(now)/p.rate
	reserve := max(p.level-reserveFraction*p.burst*(own+borrowed), 0) / (p.rate * reservePeriod.Seconds())
	need = borrowHeadroom*shares - own - reserve
	if p.level < 1 && shares > 0 {
		need += (1 - p.level) / (p.rate * reservePeriod.Seconds())
	}
	if borrowed > 0 {
		need = max(need, renewHeadroom*shares-own)
	}
	return need
}

// requestLoan returns the request for a loan from a pool's holder, if one is due.
func (p *pool) requestLoan(now time.Time, lender ident.VM, need, total float64, lenders int, number uint64) (it proto.QuotaItem, ok bool) {
	b := p.borrowed[lender]
	if b == nil {
		b = &borrowing{interval: growInterval}
		p.borrowed[lender] = b
	}
	current := 0.0
	if now.Before(b.until) {
		current = b.share
	}
	// One that has lent what it was asked for is asked for all that is missing, since only one of them may have it.
	want := borrowSpread * need / float64(lenders)
	if current > 0 && current >= b.want {
		want = current + need - total
	}
	interval := b.interval
	if total >= need {
		want = current * need / total
		interval = max(interval, renewInterval)
	}
	if !b.sentAt.IsZero() && now.Sub(b.sentAt) < interval {
		return it, false
	}
	if !b.sentAt.IsZero() && !b.answered {
		b.interval = min(2*b.interval, maxLoanBackoff)
	}
	it.Share = uint32(min(math.Ceil(want/p.domains*proto.QuotaShareUnits), proto.QuotaShareUnits))
	if it.Share == 0 {
		return it, false
	}
	b.number, b.sentAt, b.answered, b.want = number, now, false, p.shareOf(&it)
	it.Kind, it.Number = proto.QuotaLoanRequest, number
	return it, true
}

// sweep removes what has expired.
func (p *pool) sweep(now time.Time) {
	for vm, c := range p.clients {
		if now.Sub(c.demand.at) > 2*maxDemandPeriod {
			delete(p.clients, vm)
		}
	}
	for vm, l := range p.lent {
		if l.at(now) == 0 {
			delete(p.lent, vm)
		}
	}
	for vm, b := range p.borrowed {
		if !now.Before(b.until) && now.Sub(b.sentAt) > 2*maxLoanBackoff {
			delete(p.borrowed, vm)
		}
	}
}
