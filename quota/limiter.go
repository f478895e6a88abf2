package quota

import (
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/currantpier/currantpier/hash"
	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/proto"
)

// Result is the result of Take.
type Result uint8

// The results.
const (
	// Refused says that the customer is over its limit, or that no pool answers.
	Refused Result = iota
	// Taken says that the request may be sent.
	Taken
	// Wait says that an answer to a request for tokens is awaited.
	Wait
)

// Packet is a message to one VM.
type Packet struct {
	To      proto.VMInfo
	Message *proto.QuotaMessage
}

// batch are the unused tokens of one grant.
type batch struct {
	number  uint64
	n, used uint32
	until   time.Time
}

// account is what a VM knows of one customer's quota: its tokens, and the pool if the VM holds it.
type account struct {
	limit  Limit
	hash   uint64
	demand demand
	// pool is nil unless this VM holds the customer's pool. holder is the VM that holds it.
	pool   *pool
	holder *proto.VMInfo
	// lenders are the holders in the other regions; nil until they are needed.
	lenders []*proto.VMInfo
	// batches are the tokens of the last two grants, the older first.
	batches [2]batch
	// pending is the request for tokens that awaits its answer, sent first and last at the given times.
	pending             proto.QuotaItem
	waiting             bool
	firstSent, lastSent time.Time
	pendingTo           *proto.VMInfo
	// short counts the requests that have found no token since the last request for tokens.
	short uint32
	// emptyUntil is when tokens are next expected after an incomplete grant.
	emptyUntil time.Time
	// silent says that the last request for tokens got no answer; requests don't wait until one gets an answer.
	silent bool
	// abandoned is the number of a request of whose tokens none will be used, and unused the tokens of another one.
	abandoned uint64
	unused    batch
}

// queued is an item that waits for Flush.
type queued struct {
	to   *proto.VMInfo
	item proto.QuotaItem
}

// Limiter limits the requests that one VM sends. It holds the pools of some customers, and tokens of all others. It is not safe for concurrent use.
type Limiter struct {
	self     proto.VMInfo
	domains  int
	parts    regionParts
	bounds   Bounds
	accounts map[ident.Customer]*account
	// order is accounts in the order of the limits.
	order  []*account
	vms    []proto.VMInfo
	number uint64
	queue  []queued
	last   time.Time
	swept  time.Time
	// started is the start of this process. together is set if all VMs had just started when the list of VMs last changed; a pause
	// clears it.
	started  time.Time
	together bool
	// staleView says that nothing was called for maxGap since SetVMs was last called.
	staleView bool
	// partsReset says that parts were reset since SetVMs was last called, which must then apply even an unchanged list.
	partsReset bool
	// Counters are exported by the metrics service.
	Counters Counters
}

// Counters counts the decisions of a Limiter.
type Counters struct {
	Taken, Refused, Unanswered, Requests, LoanRequests, Borrowed, Resets uint64
}

// Option is an option of NewLimiter.
type Option func(*Limiter)

// WithRegionDomains sets the number of failure domains of the own region; the default is 1.
func WithRegionDomains(n int) Option { return func(l *Limiter) { l.parts.domains = n } }

// NewLimiter returns a limiter without limits for a deployment with the given number of failure domains.
func NewLimiter(self proto.VMInfo, domains int, b Bounds, now time.Time, options ...Option) *Limiter {
	// The first number differs between the processes of a VM, so that an answer to an earlier one is not taken for a later one's.
	first := hash.Mix(uint64(self.Incarnation)+1) >> 32
	l := &Limiter{self: self, domains: max(domains, 1), parts: regionParts{domains: 1}, bounds: b, accounts: map[ident.Customer]*account{},
		vms: []proto.VMInfo{self}, number: first, last: now, swept: now, started: now}
	for _, o := range options {
		o(l)
	}
	l.parts.start(now)
	return l
}

// SetLimits replaces the limits. Customers that it doesn't name have none.
func (l *Limiter) SetLimits(now time.Time, list []Limit) {
	l.checkPause(now)
	named := make(map[ident.Customer]bool, len(list))
	l.order = l.order[:0]
	for _, limit := range list {
		if named[limit.Customer] || limit.Rate == 0 && limit.valid() {
			continue
		}
		named[limit.Customer] = true
		a := l.accounts[limit.Customer]
		if a == nil {
			a = &account{hash: xxhash.Sum64String(string(limit.Customer))}
			l.accounts[limit.Customer] = a
		}
		l.order = append(l.order, a)
		if a.pool != nil {
			a.pool.advance(now)
		}
		lower := limit.Rate < a.limit.Rate || limit.Burst < a.limit.Burst
		a.limit = limit
		l.assign(now, a)
		if lower {
			a.batches = [2]batch{}
		}
		if lower && a.pool != nil {
			clear(a.pool.borrowed)
			a.pool.cap(now)
		}
	}
	maps.DeleteFunc(l.accounts, func(c ident.Customer, _ *account) bool { return !named[c] })
}

// SetVMs replaces the list of VMs that are alive.
func (l *Limiter) SetVMs(now time.Time, alive []proto.VMInfo) {
	l.checkPause(now)
	l.staleView = false
	list := []proto.VMInfo{l.self}
	for _, vm := range alive {
		if vm.VM != l.self.VM {
			list = append(list, vm)
		}
	}
	slices.SortFunc(list, func(a, b proto.VMInfo) int { return strings.Compare(string(a.VM), string(b.VM)) })
	if slices.Equal(list, l.vms) && !l.partsReset {
		return
	}
	l.vms, l.partsReset = list, false
	l.parts.see(now, l.self.Place, list)
	l.together = l.startedTogether(now)
	if l.together {
		l.parts.startTogether(l.started.Add(formTime))
	}
	for _, a := range l.order {
		l.assign(now, a)
	}
}

// startedTogether reports whether all VMs have just started, as after all have lost power: this VM has heard of VMs in all failure
// domains within formTime, and none is much older. There is no former holder then that may have granted or lent anything.
func (l *Limiter) startedTogether(now time.Time) bool {
	if now.Sub(l.started) >= formTime {
		return false
	}
	seen := map[ident.Domain]bool{}
	for i := range l.vms {
		if time.Duration(l.self.Incarnation-min(l.self.Incarnation, l.vms[i].Incarnation))*time.Millisecond > togetherSpread {
			return false
		}
		seen[l.vms[i].Place.Domain] = true
	}
	return len(seen) >= l.domains
}

// assign determines the holder of a customer's pool. A VM that becomes the holder starts with an empty one.
func (l *Limiter) assign(now time.Time, a *account) {
	a.lenders = nil
	before := a.holder
	a.holder = l.holderIn(a.hash, l.self.Place.Region)
	a.demand.period = periodFor(a.limit.Rate * float64(l.parts.counted) / float64(l.domains))
	if before != nil && before.VM != a.holder.VM {
		a.waiting, a.silent, a.emptyUntil = false, false, time.Time{}
	}
	switch {
	case a.holder.VM != l.self.VM || !a.limit.valid():
		a.pool = nil
		return
	case a.pool == nil:
		a.pool = newPool(now)
		a.pool.ownFrom = maxTime(a.pool.ownFrom, l.parts.ownFrom)
	}
	if l.together {
		a.pool.ownFrom = l.started.Add(formTime)
	}
	a.pool.advance(now)
	a.pool.rate, a.pool.burst = l.bounds.part(a.limit, l.domains)
	a.pool.parts, a.pool.domains = float64(l.parts.counted), float64(l.domains)
	// A start that is over shortens the wait; a partition doesn't take its own share from a pool that has it.
	if from := maxTime(a.pool.created.Add(lenderLife), l.parts.ownFrom); from.Before(a.pool.ownFrom) {
		a.pool.ownFrom = from
	}
	a.pool.cap(now)
}

// holderIn returns the first VM of a region by rendezvous hashing, among those with at least half of the largest capacity: a small
// VM's link is at times busy with responses for longer than a request for tokens may wait.
func (l *Limiter) holderIn(customer uint64, r ident.Region) *proto.VMInfo {
	most := int64(0)
	for i := range l.vms {
		if c, ok := l.vms[i].KnownCapacity(); ok && l.vms[i].Place.Region == r {
			most = max(most, c)
		}
	}
	var first *proto.VMInfo
	var best uint64
	for i := range l.vms {
		vm := &l.vms[i]
		if c, ok := vm.KnownCapacity(); vm.Place.Region != r || ok && 2*c < most {
			continue
		}
		if score := hash.Mix(customer ^ uint64(proto.KeyOf(vm.VM))); first == nil || score < best {
			first, best = vm, score
		}
	}
	return first
}

// lendersOf returns the holders of a customer's pools in the other regions.
func (l *Limiter) lendersOf(a *account) []*proto.VMInfo {
	if a.lenders != nil {
		return a.lenders
	}
	a.lenders = []*proto.VMInfo{}
	seen := map[ident.Region]bool{l.self.Place.Region: true}
	for i := range l.vms {
		if r := l.vms[i].Place.Region; !seen[r] {
			seen[r] = true
			a.lenders = append(a.lenders, l.holderIn(a.hash, r))
		}
	}
	return a.lenders
}

// checkPause drops pools and tokens if nothing was called for maxPause, by the steady clock or the time of day: another VM may
// have taken over, and a suspended machine's steady clock may have stood still.
func (l *Limiter) checkPause(now time.Time) {
	gap := max(now.Sub(l.last), now.Round(0).Sub(l.last.Round(0)))
	l.last = now
	l.staleView = l.staleView || gap >= maxGap
	if gap < maxPause {
		return
	}
	l.Counters.Resets++
	l.parts.reset(now)
	l.together, l.partsReset = false, true
	for _, a := range l.order {
		a.batches, a.waiting, a.unused, a.abandoned = [2]batch{}, false, batch{}, 0
		if a.pool != nil {
			a.pool = nil
			l.assign(now, a)
		}
	}
}

// Take takes a token for a new request of a customer. retryAfter is for a refusal.
func (l *Limiter) Take(now time.Time, c ident.Customer) (result Result, retryAfter time.Duration) {
	a := l.accounts[c]
	if a == nil {
		return Taken, 0
	}
	a.demand.add(now)
	return l.take(now, a)
}

// TakeAfterWait is Take for a request for which Take has returned Wait.
func (l *Limiter) TakeAfterWait(now time.Time, c ident.Customer) (result Result, retryAfter time.Duration) {
	a := l.accounts[c]
	if a == nil {
		return Taken, 0
	}
	return l.take(now, a)
}

func (l *Limiter) take(now time.Time, a *account) (result Result, retryAfter time.Duration) {
	l.checkPause(now)
	if !a.limit.valid() {
		return l.refuse(maxNext)
	}
	if a.pool != nil {
		a.pool.self = a.demand
		if a.pool.started(now) && a.pool.take(now, 1) > 0 {
			l.Counters.Taken++
			return Taken, 0
		}
		l.borrow(now, a)
		return l.refuse(a.pool.next(now))
	}
	for i := range a.batches {
		b := &a.batches[i]
		if b.n > 0 && now.Before(b.until) {
			b.n--
			b.used++
			l.Counters.Taken++
			l.prefetch(now, a)
			return Taken, 0
		}
	}
	if now.Before(a.emptyUntil) {
		return l.refuse(a.emptyUntil.Sub(now))
	}
	l.expirePending(now, a)
	a.short++
	if !a.waiting {
		l.request(now, a, a.short)
	}
	if a.silent {
		return l.refuse(answerTimeout)
	}
	return Wait, 0
}

func (l *Limiter) refuse(after time.Duration) (Result, time.Duration) {
	l.Counters.Refused++
	return Refused, max(after, minNext)
}

// prefetch requests tokens before the last ones are taken.
func (l *Limiter) prefetch(now time.Time, a *account) {
	rate := a.demand.perSecond(now)
	if a.waiting || rate < minPrefetchRate || now.Before(a.emptyUntil) {
		return
	}
	held := uint32(0)
	for _, b := range a.batches {
		if now.Before(b.until) {
			held += b.n
		}
	}
	if float64(held) < rate*prefetchBelow.Seconds() {
		l.request(now, a, 0)
	}
}

// request queues a request for tokens: those given, and what the demand will need in prefetchPeriod.
func (l *Limiter) request(now time.Time, a *account, tokens uint32) {
	rate := a.demand.perSecond(now)
	if rate >= minPrefetchRate {
		tokens += uint32(math.Ceil(rate * prefetchPeriod.Seconds()))
	}
	a.short = 0
	l.send(now, a, tokens)
}

// send queues a request for tokens that also returns what this VM will not use.
func (l *Limiter) send(now time.Time, a *account, tokens uint32) {
	l.number++
	l.Counters.Requests++
	a.pending = proto.QuotaItem{Kind: proto.QuotaRequest, Customer: a.limit.Customer, Number: l.number, Count: tokens,
		Demand: uint64(a.demand.perSecond(now) * 1000)}
	l.dropExpired(now, a)
	if a.abandoned != 0 {
		a.pending.ReturnedNumber, a.pending.Returned = a.abandoned, math.MaxUint32
	} else if a.unused.n > 0 {
		a.pending.ReturnedNumber, a.pending.Returned = a.unused.number, a.unused.n
	}
	a.abandoned, a.unused = 0, batch{}
	a.waiting, a.firstSent, a.lastSent, a.pendingTo = true, now, now, a.holder
	l.queue = append(l.queue, queued{a.holder, a.pending})
}

// dropExpired moves the tokens of an expired batch to those that are returned.
func (l *Limiter) dropExpired(now time.Time, a *account) {
	for i := range a.batches {
		if b := &a.batches[i]; b.n > 0 && !now.Before(b.until) {
			a.unused = *b
			b.n = 0
		}
	}
}

// expirePending gives up a request for tokens that got no answer in time.
func (l *Limiter) expirePending(now time.Time, a *account) {
	if a.waiting && now.Sub(a.firstSent) >= answerTimeout {
		a.waiting, a.silent, a.abandoned = false, true, a.pending.Number
		l.Counters.Unanswered++
	}
}

// Return puts back the token of a request that has reached no target.
func (l *Limiter) Return(now time.Time, c ident.Customer) {
	l.checkPause(now)
	a := l.accounts[c]
	if a == nil {
		return
	}
	if a.pool != nil {
		a.pool.advance(now)
		a.pool.level++
		a.pool.cap(now)
		return
	}
	for i := range a.batches {
		if b := &a.batches[i]; b.used > 0 && now.Before(b.until) {
			b.n++
			b.used--
			return
		}
	}
}
