package carry

import (
	"context"
	"time"

	"github.com/currantpier/currantpier/kinds"
)

// minStopLatencies is the least time before the stop of the process, in latency targets of the route, with which a request
// is still sent to a target. Most requests are complete in one.
const minStopLatencies = 2

// ErrStopping is the cause with which the context of a request ends if the process must exit before the request is
// complete.
var ErrStopping = kinds.Errorf(kinds.Stopping, "this VM stops")

// StopBy sets the time at which the process gives up its requests. Requests that arrive from now on are complete by then
// or are refused before they are sent.
func (c *Forwarder) StopBy(t time.Time) { c.stopTime.Store(&t) }

// limitToStop returns the earlier of a deadline and the time at which the process gives up its requests. The target gets the
// deadline, and so doesn't work on beyond the stop.
func (c *Forwarder) limitToStop(deadline time.Time) time.Time {
	if t := c.stopTime.Load(); t != nil && deadline.After(*t) {
		return *t
	}
	return deadline
}

// fitsBeforeStop reports whether a new request can be complete before the process stops.
func (k *call) fitsBeforeStop(now time.Time) bool {
	t := k.stopTime.Load()
	if t == nil || k.deadline.Before(*t) {
		return true
	}
	return k.route.LatencyTarget > 0 && t.Sub(now) >= minStopLatencies*k.route.LatencyTarget
}

// aborted reports whether the request must be given up because the process exits. Its caller is still there.
func aborted(ctx context.Context) bool {
	return ctx.Err() != nil && kinds.Of(context.Cause(ctx)) == kinds.Stopping
}
