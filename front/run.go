package front

import (
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/kinds"
	"github.com/currantpier/currantpier/once"
	"github.com/currantpier/currantpier/orders"
	"github.com/currantpier/currantpier/retry"
	"github.com/currantpier/currantpier/route"
	"github.com/currantpier/currantpier/sched"
	"github.com/currantpier/currantpier/send"
)

// budget is the retry budget of all requests of the process.
type budget struct {
	mu sync.Mutex
	b  retry.Budget
}

func (b *budget) request(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.b.Request(now)
}

func (b *budget) next(now time.Time, c *retry.Call, f retry.Failure, written bool) retry.Verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	return c.Next(now, f, written, &b.b)
}

// attempts is the state of one request over its attempts.
type attempts struct {
	call
	history retry.Call
	slot    sched.Slot
	tried   []route.TargetRef
	// last is the target of the last attempt.
	last  ident.Target
	http  *fasthttp.Request
	fresh bool
}

func (f *Front) newAttempts(r *fasthttp.RequestCtx, c call) *attempts {
	req := fasthttp.AcquireRequest()
	r.Request.CopyTo(req)
	req.SetRequestURI("http://target" + c.path)
	req.URI().SetQueryStringBytes(r.URI().QueryString())
	for _, h := range []string{HeaderCustomer, HeaderDeadline, HeaderKind, HeaderID, HeaderHop, "Connection"} {
		req.Header.Del(h)
	}
	f.budget.request(f.clock())
	return &attempts{call: c, history: retry.Call{Request: c.kind, Deadline: c.deadline}, http: req}
}

func (a *attempts) release() { fasthttp.ReleaseRequest(a.http) }

// acquire takes a slot for the first or a further attempt.
func (f *Front) acquire(a *attempts) error {
	slot, err := f.scheduler.Acquire(f.ctx, sched.Request{
		Service: a.service, Customer: a.customer, Class: a.class(), Deadline: a.deadline, Exclude: a.tried,
		Admitted: len(a.tried) > 0,
	})
	a.slot = slot
	return err
}

// try makes one attempt at the target of the slot. It does not give the slot back.
func (f *Front) try(a *attempts, resp *fasthttp.Response) send.Result {
	target := a.slot.Target
	res := f.client.Do(send.Request{
		Target: target.Name, Address: target.Address, Kind: a.kind, ID: a.id,
		Deadline: a.history.AttemptDeadline(f.clock()), Fresh: a.fresh, HTTP: a.http,
	}, resp)
	if res.Failure == retry.Deadline && f.clock().Before(a.deadline) {
		// Only the attempt's part of the time is used up; another target may still answer.
		res.Failure = retry.Other
	}
	if res.Silent {
		f.client.CloseIdle(target.Address)
	}
	return res
}

// settle gives the slot back with the result for the picker.
func (f *Front) settle(a *attempts, res send.Result) {
	f.scheduler.Done(a.slot, res.Latency, result(res), sched.Traffic{Sent: res.Sent, Received: res.Received})
	a.tried = append(a.tried, a.slot.Ref)
	a.last = a.slot.Target.Name
}

func result(res send.Result) route.Result {
	switch {
	case res.OK:
		return route.OK
	case res.Failure == retry.Rejected:
		return route.Shed
	case res.Failure == retry.Refused:
		return route.Unreachable
	case res.Failure == retry.Silent, res.Failure == retry.Stale:
		// The connection failed; the target is blamed only if it fails on a new one too.
		return route.Abandoned
	}
	return route.Failed
}

func (f *Front) runIdempotent(r *fasthttp.RequestCtx, c call) {
	a := f.newAttempts(r, c)
	defer a.release()
	if err := f.acquire(a); err != nil {
		f.refuse(r, err)
		return
	}
	for {
		res := f.try(a, &r.Response)
		if res.OK {
			f.settle(a, res)
			f.answered(r, a.slot)
			return
		}
		v := f.budget.next(f.clock(), &a.history, res.Failure, res.Written)
		if v == retry.SameTarget {
			f.retries.Inc(1)
			a.fresh = true
			continue
		}
		f.settle(a, res)
		r.Response.Reset()
		switch v {
		case retry.Timeout:
			f.refuse(r, kinds.Errorf(kinds.Timeout, "no answer from %s before the deadline", a.slot.Target.Name))
			return
		case retry.OtherTarget:
			f.retries.Inc(1)
			a.fresh = false
			if f.acquire(a) == nil {
				continue
			}
		}
		f.refuse(r, failedKind(res, a))
		return
	}
}

// failedKind is the answer for an idempotent request that is not tried again.
func failedKind(res send.Result, a *attempts) error {
	last := a.last
	if res.Failure == retry.Rejected && len(a.tried) == 1 {
		return kinds.Errorf(kinds.Overloaded, "target %s shed the request", last)
	}
	return kinds.Errorf(kinds.UpstreamFailed, "%d targets failed, the last one was %s", len(a.tried), last)
}

// answered marks the upstream's answer in r as passed on whole.
func (f *Front) answered(r *fasthttp.RequestCtx, slot sched.Slot) {
	f.outcomes[kinds.Answered].Inc(1)
	r.Response.Header.Del("Connection")
	r.Response.Header.Set(HeaderOutcome, kinds.Answered.String())
	r.Response.Header.Set(HeaderTarget, string(slot.Target.Name))
}

func (f *Front) runOrder(r *fasthttp.RequestCtx, c call) {
	ticket, _ := c.id.Parse()
	if f.answerForOwner(r, c, ticket) {
		return
	}
	d := f.orders.Begin(f.ctx, c.id, c.deadline, orders.Detail{
		Service: c.service, Customer: c.customer, Received: f.clock(),
	})
	if d.Do != once.DoSend {
		f.recorded(r, c, d)
		return
	}
	a := f.newAttempts(r, c)
	defer a.release()
	f.sendOrder(r, a)
}

// sendOrder runs an order of this process that may be sent. Every way out leaves a final record.
func (f *Front) sendOrder(r *fasthttp.RequestCtx, a *attempts) {
	if err := f.acquire(a); err != nil {
		f.abort(r, a, err)
		return
	}
	for {
		if !f.orders.ReadyToSend(a.id) {
			f.scheduler.Done(a.slot, 0, route.Abandoned, sched.Traffic{})
			f.recorded(r, a.call, f.orders.Find(a.id))
			return
		}
		res := f.try(a, &r.Response)
		f.settle(a, res)
		if res.OK {
			f.orders.Answered(a.id, once.Answer{
				Status: r.Response.StatusCode(), Type: string(r.Response.Header.ContentType()), Body: r.Response.Body(),
			})
			f.answered(r, a.slot)
			return
		}
		r.Response.Reset()
		v := f.budget.next(f.clock(), &a.history, res.Failure, res.Written)
		if v == retry.Unknown {
			f.orders.Broken(a.id, "target "+string(a.slot.Target.Name)+" gave no whole answer")
			f.recorded(r, a.call, f.orders.Find(a.id))
			return
		}
		f.orders.NotRun(a.id)
		if v != retry.OtherTarget {
			f.abort(r, a, kinds.Errorf(kinds.Overloaded, "%d targets refused the order", len(a.tried)))
			return
		}
		f.retries.Inc(1)
		if err := f.acquire(a); err != nil {
			f.abort(r, a, err)
			return
		}
	}
}

// abort ends an order that was not sent and tells the caller why. If the record does not agree, the record counts.
func (f *Front) abort(r *fasthttp.RequestCtx, a *attempts, err error) {
	if f.orders.Abort(a.id) {
		f.refuse(r, err)
		return
	}
	f.recorded(r, a.call, f.orders.Find(a.id))
}

// recorded answers from the record of an order.
func (f *Front) recorded(r *fasthttp.RequestCtx, c call, d once.Decision) {
	switch d.Do {
	case once.DoReply:
		f.outcomes[kinds.Answered].Inc(1)
		r.Response.Header.Set(HeaderOutcome, kinds.Answered.String())
		r.SetStatusCode(d.Answer.Status)
		r.SetContentType(d.Answer.Type)
		if d.Answer.NotKept {
			r.Response.Header.Set("Currantpier-Body", "not-kept")
			return
		}
		r.SetBody(d.Answer.Body)
	case once.DoRefuse:
		f.refuse(r, kinds.Errorf(d.Kind, "the order was not run under this id"))
	case once.DoWait:
		f.refuse(r, kinds.Errorf(kinds.InProgress, "the order is in progress"))
	case once.DoForward:
		f.refuse(r, kinds.Errorf(kinds.OutcomeUnknown, "%s owns the order and does not answer", d.Ticket.Owner))
	default:
		f.refuse(r, kinds.Errorf(kinds.OutcomeUnknown, "it is not known whether the order ran"))
	}
}

// answerForOwner handles an order of another process: it is passed on to a live owner, and answered from the journal of an
// owner that has ended. It reports false if this process owns the id.
func (f *Front) answerForOwner(r *fasthttp.RequestCtx, c call, t ident.Ticket) bool {
	if d := f.orders.Find(c.id); d.Do != once.DoForward {
		return false
	}
	if !f.members.Dead(f.clock(), t.Owner, t.Incarnation) {
		if c.hop {
			f.refuse(r, kinds.Errorf(kinds.OutcomeUnknown, "the order was passed on to a process that does not own it"))
		} else {
			f.forwardToOwner(r, c, t)
		}
		return true
	}
	f.answerFromJournal(r, c, t)
	return true
}

// answerFromJournal answers from the journal of an owner that has ended.
func (f *Front) answerFromJournal(r *fasthttp.RequestCtx, c call, t ident.Ticket) {
	d, err := f.orders.Successor(f.ctx, c.id, t)
	if err != nil {
		f.refuse(r, kinds.Wrap(kinds.OutcomeUnknown, err, "the journal of the ended owner could not be read"))
		return
	}
	f.recorded(r, c, d)
}

// forwardToOwner carries an order to the process that owns it and brings its answer back.
func (f *Front) forwardToOwner(r *fasthttp.RequestCtx, c call, t ident.Ticket) {
	f.hops.Inc(1)
	m, ok := f.members.Snapshot().Member(t.Owner)
	if !ok {
		f.refuse(r, kinds.Errorf(kinds.OutcomeUnknown, "the owner %s of the order is not known yet", t.Owner))
		return
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	r.Request.CopyTo(req)
	req.SetRequestURI("http://" + m.Address + string(r.RequestURI()))
	left := c.deadline.Sub(f.clock())
	req.Header.Set(HeaderDeadline, strconv.FormatInt(max(left-hopMargin, time.Millisecond).Milliseconds(), 10))
	req.Header.Set(HeaderHop, "1")
	if res := f.client.Forward(m.Address, req, &r.Response, c.deadline); !res {
		r.Response.Reset()
		if f.orders.Ended(f.ctx, t) {
			f.answerFromJournal(r, c, t)
			return
		}
		f.refuse(r, kinds.Errorf(kinds.OutcomeUnknown, "the owner %s of the order did not answer", t.Owner))
		return
	}
	if k, ok := kinds.ByName(string(r.Response.Header.Peek(HeaderOutcome))); ok {
		f.outcomes[k].Inc(1)
	}
}

// order answers GET /v1/orders/<id>.
func (f *Front) order(r *fasthttp.RequestCtx, id ident.RequestID) {
	t, ok := id.Parse()
	if !ok {
		f.refuse(r, kinds.Errorf(kinds.BadRequest, "%q is not a request id", id))
		return
	}
	c := call{id: id, deadline: f.clock().Add(defaultDeadline), hop: len(r.Request.Header.Peek(HeaderHop)) > 0}
	if f.answerForOwner(r, c, t) {
		return
	}
	d := f.orders.Find(id)
	if d.Do == once.DoNone {
		f.refuse(r, kinds.Errorf(kinds.NotFound, "no order was sent with this id so far"))
		return
	}
	f.recorded(r, c, d)
}
