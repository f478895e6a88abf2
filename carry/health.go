package carry

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/currantpier/currantpier/codec"
	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/outlet"
)

// errNoHealthPath is returned for a target whose service states no path for health requests.
var errNoHealthPath = errors.New("the service has no health path")

// AskWarmup sends a health request to a target and returns how long it stays cold, zero if it is warm. It is at most the
// warm-up time of the target's service. The status of the response says nothing about that. A target that is leaving or has asked
// for a time without requests is not asked.
func (c *Forwarder) AskWarmup(ctx context.Context, t fleet.Target) (time.Duration, error) {
	cfg := c.snapshot.Load().Config
	if cfg == nil || cfg.Services[t.Service].HealthPath == "" {
		return 0, errNoHealthPath
	}
	svc := cfg.Services[t.Service]
	k := &call{Forwarder: c}
	a, err := c.pool.Do(ctx, k.outletTarget(t), outlet.Message{
		Method: http.MethodGet,
		Build: func() ([][]byte, error) {
			return [][]byte{healthRequest(svc.HealthPath, t.Address)}, c.checkNotice(c.clock(), &t)
		},
		Matches:  func(a *codec.Response) bool { return c.isHealthOf(&t, a) },
		OnHeader: func(a *codec.Response) { k.recordNotice(c.clock(), t, a) },
	})
	if err != nil {
		return 0, err
	}
	left, err := decodeWarmup(a.Field(c.headers.Warmup))
	return min(left, svc.Warmup), err
}

func healthRequest(path, host string) []byte {
	return []byte("GET " + path + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n")
}

// isHealthOf reports whether a response is one of a target to a health request. Those to other requests have an attempt id.
func (c *Forwarder) isHealthOf(t *fleet.Target, a *codec.Response) bool {
	return a.Field(c.headers.Attempt) == "" && a.Field(c.headers.Responder) == string(t.ID)
}

// decodeWarmup decodes a number of milliseconds. A missing one is zero.
func decodeWarmup(v string) (time.Duration, error) {
	if v == "" {
		return 0, nil
	}
	ms, err := strconv.ParseFloat(v, 64)
	if err != nil || !(ms >= 0) || ms > float64(maxWarmup.Milliseconds()) {
		return 0, errors.Newf("warm-up of %q ms", v)
	}
	return time.Duration(ms * float64(time.Millisecond)), nil
}

// maxWarmup bounds the warm-up that a target can state. Larger numbers are malformed.
const maxWarmup = 24 * time.Hour
