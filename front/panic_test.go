package front

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/lists"
	"github.com/currantpier/currantpier/node"
	"github.com/currantpier/currantpier/once"
	"github.com/currantpier/currantpier/orders"
	"github.com/currantpier/currantpier/route"
	"github.com/currantpier/currantpier/sched"
	"github.com/currantpier/currantpier/send"
)

// countedSlots counts the slots in use.
type countedSlots struct{ used int }

func (s *countedSlots) Acquire(context.Context, sched.Request) (sched.Slot, error) {
	s.used++
	return sched.Slot{}, nil
}

func (s *countedSlots) Release(sched.Slot, time.Duration, route.Result, sched.Traffic) { s.used-- }

// lastRecord keeps the state of a single order.
type lastRecord struct {
	orderRecords
	state once.State
	// panics is set if ClaimSend panics.
	panics bool
}

func (o *lastRecord) Begin(context.Context, ident.RequestID, time.Time, orders.Detail) once.Decision {
	o.state = once.Ready
	return once.Decision{Action: once.ActionSend}
}

func (o *lastRecord) ClaimSend(ident.RequestID) bool {
	if o.panics {
		panic("a fault before the order is sent")
	}
	o.state = once.Sent
	return true
}

func (o *lastRecord) RecordUnknown(ident.RequestID, string) { o.state = once.Unknown }

func (o *lastRecord) Abort(ident.RequestID) bool {
	o.state = once.Aborted
	return true
}

func (o *lastRecord) Find(ident.RequestID) once.Decision         { return once.Decision{} }
func (o *lastRecord) Ticket(time.Time) (t ident.Ticket, ok bool) { return }

// Guards against a panic in one request that keeps its slot for good, or leaves an order in progress, for which a planned
// stop and the caller would wait.
func TestPanicReleasesSlotAndEndsOrder(t *testing.T) {
	for _, tt := range []struct {
		name, kind string
		early      bool
		want       once.State
	}{
		{"idempotent request", KindIdempotent, false, once.State(0)},
		{"order while it is sent", KindOrder, false, once.Unknown},
		{"order before it is sent", KindOrder, true, once.Aborted},
	} {
		s, o := &countedSlots{}, &lastRecord{panics: tt.early}
		// The client without a map of targets panics on each use.
		f := New(node.Self{}, &net.TCPListener{}, Dependencies{Client: &send.Client{}, Metrics: metrics.NewRegistry(),
			Logger: log.NewNopLogger(), Clock: time.Now})
		f.scheduler, f.orders = s, o
		f.SetConfig(&lists.Config{Customers: []lists.CustomerPlan{{Customer: "c", Plan: "p"}},
			Uses: []lists.Use{{Plan: "p", Service: "desk", Orders: true}}})
		f.SetNotReady("")
		var r fasthttp.RequestCtx
		r.Request.SetRequestURI(requestPrefix + "desk/x")
		r.Request.Header.Set(HeaderCustomer, "c")
		r.Request.Header.Set(HeaderKind, tt.kind)
		if tt.kind == KindOrder {
			r.Request.Header.Set(HeaderID, "j.riga-1.25.20.x")
		}
		f.handle(&r)
		if status := r.Response.StatusCode(); status != fasthttp.StatusInternalServerError {
			t.Errorf("%s: status %d %s, want 500", tt.name, status, r.Response.Body())
		}
		if s.used != 0 || f.InProgress() != 0 {
			t.Errorf("%s: %d slots in use, %d requests in progress", tt.name, s.used, f.InProgress())
		}
		if tt.kind == KindOrder && o.state != tt.want {
			t.Errorf("%s: state %v, want %v", tt.name, o.state, tt.want)
		}
	}
}
