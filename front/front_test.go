package front

import (
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/currantpier/currantpier/kinds"
	"github.com/currantpier/currantpier/retry"
	"github.com/currantpier/currantpier/sched"
)

// FuzzHeaders guards against invalid headers and paths that pass the checks, and against those that cause a panic.
func FuzzHeaders(f *testing.F) {
	f.Add("order", "j.riga-1.25.20.x", "250", "workshop/layout/7")
	f.Add("idempotent", "", "", "workshop")
	f.Add("ORDER", "x", "-1", "//")
	f.Fuzz(func(t *testing.T, kind, id, deadline, rest string) {
		var r fasthttp.RequestCtx
		r.Request.Header.Set(HeaderKind, kind)
		r.Request.Header.Set(HeaderID, id)
		var c parsedRequest
		if err := c.parseKind(&r); err == nil && c.kind == retry.Order {
			if _, ok := c.id.Parse(); !ok {
				t.Errorf("an order with the invalid id %q is accepted", c.id)
			}
		} else if err != nil && kinds.Of(err) != kinds.BadRequest {
			t.Errorf("the error is not of kind bad-request: %v", err)
		}
		if d, err := parseDeadline(deadline); err == nil && (d <= 0 || d > sched.MaxDeadline) {
			t.Errorf("deadline %q is parsed as %s, outside the allowed range", deadline, d)
		}
		if svc, path := splitService(rest); string(svc)+path != rest && path != "/" {
			t.Errorf("%q is split into %q and %q", rest, svc, path)
		}
	})
}

// FuzzLookup guards against invalid lookup parameters that pass the checks, and against those that cause a panic.
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
