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
}

// NoticeDecoder decodes the notice in the header of a response. An error says which field is malformed; the notice then has what
// the other fields say.
type NoticeDecoder func(*codec.Response) (Notice, error)

// errTargetLeaving is returned if the chosen target announced that it is leaving before the request was sent.
var errTargetLeaving = errors.Wrap(errTargetWithdrawn, "the target is leaving")

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
}

func (c *Forwarder) recordLeaving(now time.Time, t *fleet.Target) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.picker.RecordLeaving(now, t)
}

// checkNotice returns an error if a notice that arrived since the choice forbids to send a request to the target.
func (c *Forwarder) checkNotice(t *fleet.Target) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.picker.Leaving(t) {
		return errTargetLeaving
	}
	return nil
}
