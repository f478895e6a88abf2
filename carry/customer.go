package carry

import (
	"context"
	"strconv"
	"time"

	"github.com/currantpier/currantpier/codec"
	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/kinds"
	"github.com/currantpier/currantpier/trace"
)

// customerOf returns the customer of the request by a configuration, nil for a request that needs no key and has no valid
// one. It reports false and why if the
// request isn't accepted: UnknownCustomer without a valid key, RateLimited if the customer is blocked. A key field that is repeated is
// no valid key: a target or another VM could read a different one of the two.
func (k *call) customerOf(cfg *fleet.Config, route *fleet.Route) (c *fleet.Customer, why kinds.Kind, accepted bool) {
	if !cfg.RequiresKey() {
		return nil, kinds.Answered, true
	}
	c = cfg.CustomerOf(k.r.SingleField(k.headers.Key))
	switch {
	case c == nil && !route.Anonymous:
		return nil, kinds.UnknownCustomer, false
	case c != nil && c.Blocked:
		return c, kinds.RateLimited, false
	}
	return c, kinds.Answered, true
}

// isCustomerKind reports whether a kind says that a request isn't accepted because of its customer.
func isCustomerKind(k kinds.Kind) bool { return k == kinds.UnknownCustomer || k == kinds.RateLimited }

// customerName returns the name of the request's customer, or "".
func (k *call) customerName() string {
	if k.customer == nil {
		return ""
	}
	return string(k.customer.Name)
}

// giveUpCustomer returns the final response of a request whose customer the newest configuration doesn't accept any more. A target's
// server error isn't passed on: it would be the response to an attempt that may not be followed by another one.
func (k *call) giveUpCustomer(now time.Time, why kinds.Kind) *codec.Response {
	if !k.mayHaveRun {
		return k.refuseCustomer(now, why)
	}
	k.serverError = nil
	return k.giveUp(now, kinds.NoTarget, "customer changed while the request was in progress: "+k.customerCause(why))
}

// takeCustomerQuota takes the request out of its customer's quota. It returns the final response if the customer is over it.
func (k *call) takeCustomerQuota(ctx context.Context) *codec.Response {
	if k.customerQuota == nil || k.customer == nil {
		return nil
	}
	now := k.clock()
	name := k.customer.Name
	if ok, retryAfter := k.customerQuota.Allow(ctx, now, name); !ok {
		now = k.clock()
		k.notBefore = now.Add(retryAfter)
		return k.refuseCustomer(now, kinds.RateLimited)
	}
	k.quotaFrom = name
	return nil
}

// returnUnusedQuota puts the request back into its customer's quota if no target may have run it.
func (k *call) returnUnusedQuota() {
	if k.quotaFrom != "" && !k.usedQuota {
		k.customerQuota.Return(k.clock(), k.quotaFrom)
	}
}

// refuseCustomer responds to a request that has not run and isn't accepted because of its customer. Its log lines have an event of
// their own, so that callers without a key don't use up the lines of refused requests of customers.
func (k *call) refuseCustomer(now time.Time, why kinds.Kind) *codec.Response {
	answer := why.Answer()
	fields := []codec.Field{{Name: "Currantpier-Outcome", Value: answer.Name}}
	after := answer.After
	if left := k.notBefore.Sub(now); left > 0 {
		after = left
	}
	if after > 0 {
		fields = append(fields, codec.Field{Name: "Retry-After", Value: strconv.FormatFloat(after.Seconds(), 'f', 2, 64)})
	}
	k.observe(now, answer.Name)
	k.logEvent(now, trace.RefusedCustomer, "id", k.id, "route", k.route.Name, "kind", why, "cause", k.customerCause(why), "sends", k.sends,
		"tried", k.triedText(), "config", k.snapshot.Load().Config.Version, "after", now.Sub(k.arrived))
	return codec.NewResponse(answer.Status, answer.Name+"\n", fields...)
}

// customerCause returns why the request isn't accepted, without its key.
func (k *call) customerCause(why kinds.Kind) string {
	switch {
	case why == kinds.RateLimited && (k.customerQuota == nil || k.quotaFrom != "" || k.customer != nil && k.customer.Blocked):
		return "the customer's rate or burst is invalid"
	case why == kinds.RateLimited:
		return "over the customer's quota"
	case k.r.SingleField(k.headers.Key) == "":
		return "no single key"
	}
	return "unknown key"
}

// logEvent logs an event of the request, with its customer and priority if it has a customer.
func (k *call) logEvent(now time.Time, event trace.Event, fields ...any) {
	if k.customer != nil {
		fields = append(fields, "customer", k.customer.Name, "priority", k.priority)
	}
	k.log.Add(now, event, fields...)
}
