package carry

import (
	"time"

	"github.com/currantpier/currantpier/codec"
	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/kinds"
	"github.com/currantpier/currantpier/pick"
	"github.com/currantpier/currantpier/trace"
)

// follow takes the request's route and customer, and all that depends on them, from a configuration. A request in progress keeps its
// service if the route still has it. It reports false and why if the configuration doesn't accept the request: NotFound without a
// route, or the kind that customerOf returns. The caller must hold the mutex.
func (k *call) follow(cfg *fleet.Config) (why kinds.Kind, accepted bool) {
	if cfg == k.config {
		return kinds.Answered, true
	}
	route := cfg.Find(k.r.Host(), k.r.Path())
	if route == nil {
		return kinds.NotFound, false
	}
	customer, why, accepted := k.customerOf(cfg, route)
	if !accepted {
		if k.route == nil {
			// For the log and the counters of a request that no configuration has accepted.
			k.route, k.customer = route, customer
		}
		return why, false
	}
	k.customer, k.priority = customer, customer.PriorityOn(route)
	k.idempotent = route.Idempotent && (k.config == nil || k.idempotent)
	k.config, k.route = cfg, route
	k.deadline = k.limitToStop(k.arrived.Add(k.timeLimit(k.r, route)))
	k.object = 0
	if route.Affinity {
		k.object = pick.NewObject(route.Name, []byte(k.r.Field(k.headers.Affinity)))
	}
	switch {
	case route.Uses(k.service):
	case k.preview:
		k.service = k.picker.PreviewService(route, k.object)
	default:
		k.service = k.picker.Service(k.arrived, route, k.object)
	}
	return kinds.Answered, true
}

// followNewest follows the newest configuration, for instance after an attempt, before a further one is decided on. It reports
// false and why if that configuration doesn't accept the request.
func (k *call) followNewest() (why kinds.Kind, accepted bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.follow(k.snapshot.Load().Config)
}

// mayRepeat reports whether a further attempt may be made. The request may be repeated only if its routes in all configurations
// so far allow that.
func (k *call) mayRepeat() bool { return k.idempotent || !k.mayHaveRun }

// giveUpWithdrawn returns the final response of a request that the newest configuration does not allow to send any more. If it
// has not run, it gets the response that a new request would get, since trying again later can't succeed either.
func (k *call) giveUpWithdrawn(now time.Time, why kinds.Kind) *codec.Response {
	if isCustomerKind(why) {
		return k.giveUpCustomer(now, why)
	}
	const cause = "route changed while the request was in progress"
	if k.mayHaveRun {
		return k.giveUp(now, kinds.NoTarget, cause)
	}
	k.observe(now, "no-route")
	k.logEvent(now, trace.Refused, "id", k.id, "route", k.route.Name, "kind", kinds.NotFound, "cause", cause, "sends", k.sends,
		"tried", k.triedText(), "after", now.Sub(k.arrived))
	return noRoute()
}
