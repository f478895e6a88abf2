package carry

import (
	"bufio"
	"net/http"
	"strings"
	"time"

	"github.com/currantpier/currantpier/codec"
	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/kinds"
	"github.com/currantpier/currantpier/pick"
)

const (
	// WherePath is the path at which a VM's admin port serves Where, with the parameters host, path, object and all.
	WherePath = "/where"
	// WhereKeyField is the header field that holds the API key in such a request.
	WhereKeyField = "Currantpier-Where-Key"
	// maxWhereTargets is the number of targets in an answer unless all are requested.
	maxWhereTargets = 20
)

// Query describes a request for Where.
type Query struct {
	Host, Path string
	// Object is the affinity key, and Key the API key; empty for none. Key is never part of an answer, an error or a log line.
	Object, Key string
}

// Where is where a request would go.
type Where struct {
	// Version is that of the configuration, zero without one.
	Version ident.Version `json:"config-version"`
	// Verdict is "chosen", or why the request would reach no target.
	Verdict string `json:"verdict"`
	// Status is the status of the VM's own response, zero if the request would be sent to a target.
	Status int `json:"status,omitempty"`
	// Route, Customer and Service are empty as far as the request would be rejected before they are known.
	Route    *WhereRoute    `json:"route,omitempty"`
	Customer *WhereCustomer `json:"customer,omitempty"`
	Service  ident.Service  `json:"service,omitempty"`
	// Choice is nil if the request would be rejected before a target is chosen.
	Choice *pick.Preview `json:"choice,omitempty"`
	// Omitted is the number of targets that LimitTargets has removed.
	Omitted int `json:"targets-omitted,omitempty"`
	// Notes say what the answer leaves out.
	Notes []string `json:"notes,omitempty"`
}

// WhereRoute is the route of a request in an answer.
type WhereRoute struct {
	Name    fleet.RouteName `json:"name"`
	Host    string          `json:"host"`
	Prefix  string          `json:"prefix"`
	Regions []ident.Region  `json:"regions,omitempty"`
	// TimeoutMS is the time until the deadline of a request that states none.
	TimeoutMS int64 `json:"timeout-ms"`
}

// WhereCustomer is the customer of a request in an answer. Priority is that of its requests on the route.
type WhereCustomer struct {
	Name     ident.Customer `json:"name"`
	Priority int            `json:"priority"`
	Regions  []ident.Region `json:"regions,omitempty"`
}

// Where returns where a request that arrives now would go. It sends, counts and logs nothing. It reports false if the query can't be
// that of a request.
func (c *Forwarder) Where(now time.Time, q Query) (w Where, ok bool) {
	r, ok := c.requestOf(q)
	if !ok {
		return Where{}, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	cfg := c.snapshot.Load().Config
	if cfg == nil {
		return Where{Verdict: "no-configuration", Status: http.StatusServiceUnavailable}, true
	}
	w.Version = cfg.Version
	k := &call{Forwarder: c, r: r, arrived: now, preview: true}
	why, accepted := k.follow(cfg)
	w.describe(k)
	switch {
	case why == kinds.NotFound:
		w.Verdict, w.Status = "no-route", http.StatusNotFound
	case !accepted:
		w.Verdict, w.Status = why.String(), why.Answer().Status
	case !k.fitsBeforeStop(now):
		w.Verdict, w.Status = kinds.Stopping.String(), http.StatusServiceUnavailable
	case k.deadlineTooShort(now):
		w.Verdict, w.Status = kinds.DeadlineTooShort.String(), http.StatusServiceUnavailable
	default:
		w.choose(now, k)
	}
	return w, true
}

// LimitTargets keeps the first targets of the choice.
func (w *Where) LimitTargets() {
	if w.Choice != nil && len(w.Choice.Targets) > maxWhereTargets {
		w.Omitted = len(w.Choice.Targets) - maxWhereTargets
		w.Choice.Targets = w.Choice.Targets[:maxWhereTargets]
	}
}

// requestOf returns the request that a query describes.
func (c *Forwarder) requestOf(q Query) (*codec.Request, bool) {
	if q.Host == "" || !strings.HasPrefix(q.Path, "/") || strings.Contains(q.Path, " ") {
		return nil, false
	}
	fields := []codec.Field{{Name: "Host", Value: q.Host}, {Name: c.headers.Affinity, Value: q.Object}, {Name: c.headers.Key, Value: q.Key}}
	text := "GET " + q.Path + " HTTP/1.1\r\n"
	for _, f := range fields {
		if f.Value != "" {
			text += f.Name + ": " + f.Value + "\r\n"
		}
	}
	// A control character could end a line and add a field of another name.
	for _, s := range []string{q.Host, q.Path, q.Object, q.Key} {
		if strings.ContainsFunc(s, func(r rune) bool { return r < ' ' || r == 0x7f }) {
			return nil, false
		}
	}
	r := &codec.Request{}
	// The error is not returned: it may contain parts of the header, and so the key.
	if err := r.ReadHeader(bufio.NewReaderSize(strings.NewReader(text+"\r\n"), len(text)+64)); err != nil {
		return nil, false
	}
	return r, true
}

// describe sets the route and the customer.
func (w *Where) describe(k *call) {
	if k.route == nil {
		return
	}
	w.Route = &WhereRoute{Name: k.route.Name, Host: k.route.Host, Prefix: k.route.Prefix, Regions: k.route.Regions,
		TimeoutMS: k.timeLimit(k.r, k.route).Milliseconds()}
	w.Service = k.service
	if k.customer != nil {
		w.Customer = &WhereCustomer{Name: k.customer.Name, Priority: k.customer.PriorityOn(k.route), Regions: k.customer.Regions}
	}
}

// choose sets the choice of the target. The caller must hold the mutex.
func (w *Where) choose(now time.Time, k *call) {
	v := k.picker.Preview(now, k.pickRequest())
	w.Choice, w.Verdict = &v, v.Reason
	if v.Target == "" {
		w.Status = http.StatusServiceUnavailable
	}
	if v.Random {
		w.Notes = append(w.Notes, "requests without an object prefer random targets: the target is that of the next request, and later ones may go elsewhere")
	}
	if k.customer != nil && k.customerQuota != nil {
		w.Notes = append(w.Notes, "the customer's quota isn't checked; over it, the request would get 429")
	}
	if !k.route.Affinity && k.r.Field(k.headers.Affinity) != "" {
		w.Notes = append(w.Notes, "the route has no affinity: the object is ignored")
	}
	if len(k.route.Services) > 1 {
		w.Notes = append(w.Notes, "the route has several services: the next request may get another one by their weights")
	}
}
