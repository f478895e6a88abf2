package front

import (
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/currantpier/currantpier/kinds"
	"github.com/currantpier/currantpier/retry"
	"github.com/currantpier/currantpier/sched"
)

// FuzzHeaders guards against headers and paths of a caller that pass the checks and are not valid, or that end the
// process.
func FuzzHeaders(f *testing.F) {
	f.Add("order", "j.riga-1.25.20.x", "250", "workshop/layout/7")
	f.Add("idempotent", "", "", "workshop")
	f.Add("ORDER", "x", "-1", "//")
	f.Fuzz(func(t *testing.T, kind, id, deadline, rest string) {
		var r fasthttp.RequestCtx
		r.Request.Header.Set(HeaderKind, kind)
		r.Request.Header.Set(HeaderID, id)
		var c call
		if err := c.parseKind(&r); err == nil && c.kind == retry.Order {
			if _, ok := c.id.Parse(); !ok {
				t.Errorf("an order with the id %q is accepted", c.id)
			}
		} else if err != nil && kinds.Of(err) != kinds.BadRequest {
			t.Errorf("kind of the error: %v", err)
		}
		if d, err := parseDeadline(deadline); err == nil && (d <= 0 || d > sched.MaxDeadline) {
			t.Errorf("deadline %q gives %s", deadline, d)
		}
		if svc, path := splitService(rest); string(svc)+path != rest && path != "/" {
			t.Errorf("%q is split into %q and %q", rest, svc, path)
		}
	})
}

// FuzzLookup guards against parameters of a lookup that pass the checks and are not valid, or that end the process.
func FuzzLookup(f *testing.F) {
	f.Add("client=192.0.2.1&service=desk")
	f.Add("client=::1%25eth0")
	f.Fuzz(func(t *testing.T, query string) {
		var r fasthttp.RequestCtx
		r.Request.SetRequestURI("/v1/lookup")
		r.URI().SetQueryString(query)
		front := &Front{clock: time.Now}
		args := r.QueryArgs()
		if a, err := front.clientAddr(&r, args); err != nil && kinds.Of(err) != kinds.BadRequest {
			t.Errorf("%q: %v", query, err)
		} else if err == nil && a.Is4In6() {
			t.Errorf("%q: %v is not unmapped", query, a)
		}
	})
}
