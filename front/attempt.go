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

// sharedBudget is the retry budget that all requests of the process share.
type sharedBudget struct {
	mu     sync.Mutex
	budget retry.Budget
}

func (b *sharedBudget) recordRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.Request(now)
}

// decide decides what follows a failed attempt of c.
func (b *sharedBudget) decide(now time.Time, c *retry.Call, f retry.Failure, written bool) retry.Verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	return c.Next(now, f, written, &b.budget)
}

// attempts is the state of one request across its attempts.
type attempts struct {
	parsedRequest
	retryState retry.Call
	slot       sched.Slot
	// holdsSlot is set while the slot is in use, claimed while the order may be sent and has no record of how that ended.
	holdsSlot, claimed bool
	tried              []route.TargetRef
	// lastTarget is the target of the last attempt.
	lastTarget ident.Target
	// http is the request as it is sent to targets.
	http *fasthttp.Request
	// newConnection requests a new connection for the next attempt.
	newConnection bool
}

// newAttempts copies the request in r without the headers that are meant for the entry. The caller must call end.
func (f *Front) newAttempts(r *fasthttp.RequestCtx, c parsedRequest) *attempts {
	req := fasthttp.AcquireRequest()
	r.Request.CopyTo(req)
	req.SetRequestURI("http://target" + c.path)
	req.URI().SetQueryStringBytes(r.URI().QueryString())
	for _, h := range []string{HeaderCustomer, HeaderDeadline, HeaderKind, HeaderID, HeaderForwarded, "Connection"} {
		req.Header.Del(h)
	}
	f.budget.recordRequest(f.clock())
	return &attempts{parsedRequest: c, retryState: retry.Call{Request: c.kind, Deadline: c.deadline}, http: req}
}

// end releases the copy of the request and, after a panic, a slot that is still in use. Otherwise the slot would be lost
// until the process ends.
func (f *Front) end(a *attempts) {
	fasthttp.ReleaseRequest(a.http)
	if a.holdsSlot {
		f.releaseUnused(a)
	}
}

// releaseUnused releases a slot without a result.
func (f *Front) releaseUnused(a *attempts) {
	a.holdsSlot = false
	f.scheduler.Release(a.slot, 0, route.Abandoned, sched.Traffic{})
}

// acquire waits for a slot for the next attempt, at a target that was not tried yet.
func (f *Front) acquire(a *attempts) error {
	slot, err := f.scheduler.Acquire(f.ctx, sched.Request{
		Service: a.service, Customer: a.customer, Class: a.class(), Deadline: a.deadline, Exclude: a.tried,
		Retry: len(a.tried) > 0,
	})
	a.slot, a.holdsSlot = slot, err == nil
	return err
}

// attempt makes one attempt at the target of the slot. The caller must release the slot with finishAttempt.
func (f *Front) attempt(a *attempts, resp *fasthttp.Response) send.Result {
	target := a.slot.Target
	res := f.client.Do(send.Request{
		Target: target.Name, Address: target.Address, Kind: a.kind, ID: a.id,
		Deadline: a.retryState.AttemptDeadline(f.clock()), NewConnection: a.newConnection, HTTP: a.http,
	}, resp)
	if res.Failure == retry.Deadline && f.clock().Before(a.deadline) {
		// The deadline of the attempt has passed, but not that of the request: another target may still answer.
		res.Failure = retry.Other
	}
	if res.Silent {
		f.client.CloseIdle(target.Address)
	}
	return res
}

// finishAttempt releases the slot and reports the result of the attempt to the scheduler.
func (f *Front) finishAttempt(a *attempts, res send.Result) {
	a.holdsSlot = false
	f.scheduler.Release(a.slot, res.Latency, routeResult(res), sched.Traffic{Sent: res.Sent, Received: res.Received})
	a.tried = append(a.tried, a.slot.Ref)
	a.lastTarget = a.slot.Target.Name
}

// routeResult maps the outcome of an attempt to the result by which the scheduler rates the target.
func routeResult(res send.Result) route.Result {
	switch {
	case res.OK:
		return route.OK
	case res.Failure == retry.Rejected:
		return route.Shed
	case res.Failure == retry.Refused:
		return route.Unreachable
	case res.Failure == retry.Stopped:
		return route.Abandoned
	case res.Failure == retry.Silent, res.Failure == retry.Stale:
		// The connection failed. This counts against the target only if an attempt on a new connection fails too.
		return route.Abandoned
	}
	return route.Failed
}

// runIdempotent sends an idempotent request, with retries as the retry budget allows, and answers the caller.
func (f *Front) runIdempotent(r *fasthttp.RequestCtx, c parsedRequest) {
	a := f.newAttempts(r, c)
	defer f.end(a)
	if err := f.acquire(a); err != nil {
		f.refuse(r, err)
		return
	}
	for {
		res := f.attempt(a, &r.Response)
		if res.OK {
			f.finishAttempt(a, res)
			f.markAnswered(r, a.slot)
			return
		}
		v := f.budget.decide(f.clock(), &a.retryState, res.Failure, res.Written)
		if v == retry.SameTarget {
			f.retries.Inc(1)
			a.newConnection = true
			continue
		}
		f.finishAttempt(a, res)
		r.Response.Reset()
		switch v {
		case retry.Timeout:
			f.refuse(r, kinds.Errorf(kinds.Timeout, "no answer from %s before the deadline", a.slot.Target.Name))
			return
		case retry.OtherTarget:
			f.retries.Inc(1)
			a.newConnection = false
			if f.acquire(a) == nil {
				continue
			}
		}
		f.refuse(r, failureError(res, a))
		return
	}
}

// failureError returns the error for an idempotent request that is not retried any more.
func failureError(res send.Result, a *attempts) error {
	last := a.lastTarget
	if res.Failure == retry.Stopped {
		return kinds.Errorf(kinds.UpstreamFailed, "this VM stops before target %s has answered", last)
	}
	if res.Failure == retry.Rejected && len(a.tried) == 1 {
		return kinds.Errorf(kinds.Overloaded, "target %s shed the request", last)
	}
	return kinds.Errorf(kinds.UpstreamFailed, "%d targets failed, the last one was %s", len(a.tried), last)
}

// markAnswered sets the headers of a complete upstream response in r and counts it.
func (f *Front) markAnswered(r *fasthttp.RequestCtx, slot sched.Slot) {
	f.outcomes[kinds.Answered].Inc(1)
	r.Response.Header.Del("Connection")
	r.Response.Header.Set(HeaderOutcome, kinds.Answered.String())
	r.Response.Header.Set(HeaderTarget, string(slot.Target.Name))
}

// runOrder answers a request for an order: it forwards the request to the owner of the id, answers it from the record,
// or sends the order.
func (f *Front) runOrder(r *fasthttp.RequestCtx, c parsedRequest) {
	ticket, _ := c.id.Parse()
	if f.handleForeignOrder(r, c, ticket) {
		return
	}
	d := f.orders.Begin(f.ctx, c.id, c.deadline, orders.Detail{
		Service: c.service, Customer: c.customer, Received: f.clock(),
	})
	if d.Action != once.ActionSend {
		f.replyFromRecord(r, c, d)
		return
	}
	a := f.newAttempts(r, c)
	defer f.end(a)
	returned := false
	defer func() {
		if !returned {
			f.recordPanic(a)
		}
	}()
	f.sendOrder(r, a)
	returned = true
}

// recordPanic gives an order whose handling panicked a final record. Without one, a planned stop would wait for the order,
// and callers that ask for it would be told that it is in progress.
func (f *Front) recordPanic(a *attempts) {
	if a.claimed {
		f.orders.RecordUnknown(a.id, "internal error of the entry while the order was sent")
		return
	}
	f.orders.Abort(a.id)
}

// sendOrder sends an order of this process and answers the caller. On every return path the order's record is final:
// answered, unknown or aborted.
func (f *Front) sendOrder(r *fasthttp.RequestCtx, a *attempts) {
	if err := f.acquire(a); err != nil {
		f.abortOrder(r, a, err)
		return
	}
	for {
		if !f.orders.ClaimSend(a.id) {
			f.releaseUnused(a)
			f.replyFromRecord(r, a.parsedRequest, f.orders.Find(a.id))
			return
		}
		a.claimed = true
		res := f.attempt(a, &r.Response)
		f.finishAttempt(a, res)
		if res.OK {
			a.claimed = false
			f.orders.RecordAnswer(a.id, once.Response{
				Status: r.Response.StatusCode(), ContentType: string(r.Response.Header.ContentType()), Body: r.Response.Body(),
			})
			f.markAnswered(r, a.slot)
			return
		}
		r.Response.Reset()
		v := f.budget.decide(f.clock(), &a.retryState, res.Failure, res.Written)
		if v == retry.Unknown {
			a.claimed = false
			f.orders.RecordUnknown(a.id, "target "+string(a.slot.Target.Name)+" gave no whole answer")
			f.replyFromRecord(r, a.parsedRequest, f.orders.Find(a.id))
			return
		}
		a.claimed = false
		f.orders.RecordNotRun(a.id)
		if v != retry.OtherTarget {
			f.abortOrder(r, a, notRunError(res, a))
			return
		}
		f.retries.Inc(1)
		if err := f.acquire(a); err != nil {
			f.abortOrder(r, a, err)
			return
		}
	}
}

// notRunError returns the error for an order that no target has run and that is not sent any more.
func notRunError(res send.Result, a *attempts) error {
	if res.Failure == retry.Stopped {
		return kinds.Errorf(kinds.Stopping, "this VM is stopping")
	}
	return kinds.Errorf(kinds.Overloaded, "%d targets refused the order", len(a.tried))
}

// abortOrder ends an order that was not sent and answers with err. If the record can't be aborted, the caller is
// answered from the record instead.
func (f *Front) abortOrder(r *fasthttp.RequestCtx, a *attempts, err error) {
	if f.orders.Abort(a.id) {
		f.refuse(r, err)
		return
	}
	f.replyFromRecord(r, a.parsedRequest, f.orders.Find(a.id))
}

// replyFromRecord answers according to a decision from the record of an order.
func (f *Front) replyFromRecord(r *fasthttp.RequestCtx, c parsedRequest, d once.Decision) {
	switch d.Action {
	case once.ActionReply:
		f.outcomes[kinds.Answered].Inc(1)
		r.Response.Header.Set(HeaderOutcome, kinds.Answered.String())
		r.SetStatusCode(d.Answer.Status)
		r.SetContentType(d.Answer.ContentType)
		if d.Answer.BodyOmitted {
			r.Response.Header.Set("Currantpier-Body", "not-kept")
			return
		}
		r.SetBody(d.Answer.Body)
	case once.ActionRefuse:
		f.refuse(r, kinds.Errorf(d.Kind, "the order was not run under this id"))
	case once.ActionWait:
		f.refuse(r, kinds.Errorf(kinds.InProgress, "the order is in progress"))
	case once.ActionForward:
		f.refuse(r, kinds.Errorf(kinds.OutcomeUnknown, "%s owns the order and does not answer", d.Ticket.Owner))
	default:
		f.refuse(r, kinds.Errorf(kinds.OutcomeUnknown, "it is not known whether the order ran"))
	}
}

// handleForeignOrder handles a request for an order of another process: it forwards the request to a live owner, and
// answers from the journal of an owner that has ended. It returns false without an answer if this process owns the id.
func (f *Front) handleForeignOrder(r *fasthttp.RequestCtx, c parsedRequest, t ident.Ticket) bool {
	if d := f.orders.Find(c.id); d.Action != once.ActionForward {
		return false
	}
	if !f.members.ProcessDead(f.clock(), t.Owner, t.Incarnation) {
		if c.forwarded {
			f.refuse(r, kinds.Errorf(kinds.OutcomeUnknown, "the order was forwarded to a process that does not own it"))
		} else {
			f.forwardToOwner(r, c, t)
		}
		return true
	}
	f.replyFromJournal(r, c, t)
	return true
}

// replyFromJournal answers from the journal of an owner process that has ended.
func (f *Front) replyFromJournal(r *fasthttp.RequestCtx, c parsedRequest, t ident.Ticket) {
	d, err := f.orders.FindEnded(f.ctx, c.id, t)
	if err != nil {
		f.refuse(r, kinds.Wrap(kinds.OutcomeUnknown, err, "the owner process has ended and its journal could not be read"))
		return
	}
	f.replyFromRecord(r, c, d)
}

// forwardToOwner forwards a request for an order to the process that owns it, and returns its response to the caller.
func (f *Front) forwardToOwner(r *fasthttp.RequestCtx, c parsedRequest, t ident.Ticket) {
	f.forwardedOrders.Inc(1)
	m, ok := f.members.Snapshot().Member(t.Owner)
	if !ok {
		f.refuse(r, kinds.Errorf(kinds.OutcomeUnknown, "the owner %s of the order is not known yet", t.Owner))
		return
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	r.Request.CopyTo(req)
	req.SetRequestURI("http://" + m.Address + string(r.RequestURI()))
	remaining := c.deadline.Sub(f.clock())
	req.Header.Set(HeaderDeadline, strconv.FormatInt(max(remaining-forwardMargin, time.Millisecond).Milliseconds(), 10))
	req.Header.Set(HeaderForwarded, "1")
	if complete := f.client.Forward(m.Address, req, &r.Response, c.deadline); !complete {
		r.Response.Reset()
		if f.orders.JournalClosed(f.ctx, t) {
			f.replyFromJournal(r, c, t)
			return
		}
		f.refuse(r, kinds.Errorf(kinds.OutcomeUnknown, "the owner %s of the order did not answer", t.Owner))
		return
	}
	if k, ok := kinds.ByName(string(r.Response.Header.Peek(HeaderOutcome))); ok {
		f.outcomes[k].Inc(1)
	}
}

// handleOrderState answers GET /v1/orders/<id> with the state of an order.
func (f *Front) handleOrderState(r *fasthttp.RequestCtx, id ident.RequestID) {
	t, ok := id.Parse()
	if !ok {
		f.refuse(r, kinds.Errorf(kinds.BadRequest, "%q is not a request id", id))
		return
	}
	c := parsedRequest{
		id: id, deadline: f.clock().Add(defaultDeadline), forwarded: len(r.Request.Header.Peek(HeaderForwarded)) > 0,
	}
	if f.handleForeignOrder(r, c, t) {
		return
	}
	d := f.orders.Find(id)
	if d.Action == once.ActionNone {
		f.refuse(r, kinds.Errorf(kinds.NotFound, "no order is recorded under this id"))
		return
	}
	f.replyFromRecord(r, c, d)
}
