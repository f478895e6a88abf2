package carry

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/currantpier/currantpier/codec"
	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/trace"
)

// Notice is what a response says about the target that sent it, apart from the request.
type Notice struct {
	// Leaving is set if the target announces that it is leaving.
	Leaving bool
	// BackOff is how long the target wants no requests from this VM; zero if it asks for no time.
	BackOff time.Duration
}

// NoticeDecoder decodes the notice in the header of a response. An error says which field is malformed; the notice then has what
// the other fields say.
type NoticeDecoder func(*codec.Response) (Notice, error)

// errTargetLeaving is returned if the chosen target announced that it is leaving before the request was sent.
var errTargetLeaving = errors.Wrap(errTargetWithdrawn, "the target is leaving")

// errTargetBackedOff is returned if the chosen target asked for a time without requests before the request was sent.
var errTargetBackedOff = errors.Wrap(errTargetWithdrawn, "the target has asked for a time without requests")

// recordNotice passes what a response says about its target to the picker. It is called for the header, before the response is
// complete: a target that ends a response early has still announced that it is leaving.
func (k *call) recordNotice(now time.Time, t fleet.Target, a *codec.Response) {
	if k.notices == nil || a.Status == http.StatusMisdirectedRequest {
		// With status 421 another target responds, which says nothing about the chosen one.
		return
	}
	n, err := k.notices(a)
	if err != nil {
		k.log.Add(now, trace.BadNotice, "id", k.id, "target", t.ID, "status", a.Status, "err", err)
	}
	if n.Leaving && k.recordLeaving(now, &t) {
		k.log.Add(now, trace.Leaving, "target", t.ID, "service", t.Service, "started-unix-ms", t.StartedUnixMS,
			"cause", "announced in a response", "id", k.id, "status", a.Status, "until", "restart")
	}
	if n.BackOff > 0 {
		k.askedForTime = true
		if until, resumeAt, ok := k.recordBackOff(now, &t, n.BackOff); ok {
			k.log.Add(now, trace.BackOff, "target", t.ID, "service", t.Service, "started-unix-ms", t.StartedUnixMS,
				"cause", "asked for in a response", "id", k.id, "status", a.Status, "asked", n.BackOff,
				"until", until.UTC().Format(time.RFC3339Nano), "resume-after", resumeAt.Sub(now))
		}
	}
}

func (c *Forwarder) recordBackOff(now time.Time, t *fleet.Target, d time.Duration) (until, resumeAt time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.picker.RecordBackOff(now, t, d)
}

// earliestReturn returns when a target may take the request again if all have asked for a time without requests; else zero.
func (k *call) earliestReturn(now time.Time) time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.picker.EarliestReturn(now, k.pickRequest())
}

func (c *Forwarder) recordLeaving(now time.Time, t *fleet.Target) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.picker.RecordLeaving(now, t)
}

// checkNotice returns an error if a notice that arrived since the choice forbids to send a request to the target.
func (c *Forwarder) checkNotice(now time.Time, t *fleet.Target) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.picker.Leaving(t) {
		return errTargetLeaving
	}
	if c.picker.BackedOff(now, t) {
		return errTargetBackedOff
	}
	return nil
}
