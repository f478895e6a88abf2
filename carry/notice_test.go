package carry

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/currantpier/currantpier/codec"
	"github.com/currantpier/currantpier/pick"
)

// A target announces that it is leaving, or asks for a time without requests, after it was chosen for a request and before the
// request is written, as when the connection takes long to open. Guards against sending the request there, and against giving it
// up instead of choosing anew.
func TestNoticeBetweenChoiceAndSend(t *testing.T) {
	for _, tt := range []struct {
		notice Notice
		want   error
	}{{Notice{Leaving: true}, errTargetLeaving}, {Notice{BackOff: time.Second}, errTargetBackedOff}} {
		c := newForwarderFor(t, false, 5*time.Second, newFakeTarget(t, respondOK))
		c.notices = func(*codec.Response) (Notice, error) { return tt.notice, nil }
		s := c.Snapshot()
		now := time.Now()
		k := &call{Forwarder: c, r: newRequest(t, "Id: 1\r\n"), id: "1", arrived: now}
		admitted := k.admit(s.Config)
		choice, reason, sendable := k.pick(now)
		if !admitted || !sendable || reason != pick.Chosen {
			t.Fatal(reason)
		}
		if _, err := k.buildRequest(now, choice.Target); err != nil {
			t.Fatalf("before the response: %v", err)
		}
		k.recordNotice(now, choice.Target, codec.NewResponse(503, ""))
		_, err := k.buildRequest(now, choice.Target)
		if !errors.Is(err, tt.want) || k.classify(t.Context(), nil, err) != pick.Cancelled {
			t.Errorf("after the response: %v, want %v as a cancelled attempt", err, tt.want)
		}
	}
}
