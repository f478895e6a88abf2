package edge

import (
	"bytes"
	"context"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/currantpier/currantpier/carry"
	"github.com/currantpier/currantpier/codec"
	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/join"
	"github.com/currantpier/currantpier/meter"
)

// AdminHandler serves GET /metrics with the metrics as text, GET /dump with the state of each service as JSON, GET /state
// with the state that another VM needs to start, GET /departures with the targets that have left recently, and GET /where with
// where a request would go.
type AdminHandler struct {
	// Node returns the node; nil while it is being built.
	Node func() *Node
}

// AllowsPipelining implements inlet.Handler.
func (AdminHandler) AllowsPipelining(*codec.Request) bool { return true }

// Handle implements inlet.Handler.
func (h AdminHandler) Handle(ctx context.Context, r *codec.Request, arrived time.Time) *codec.Response {
	n := h.Node()
	if n == nil {
		return codec.NewResponse(http.StatusServiceUnavailable, "")
	}
	var b bytes.Buffer
	contentType, err := "text/plain", error(nil)
	switch r.Path() {
	case "/metrics":
		err = n.writeMetrics(&b)
	case "/dump":
		contentType = "application/json"
		err = n.kernel.WriteDump(&b, arrived, requestedServices(r.URI())...)
	case carry.WherePath:
		contentType = "application/json"
		var ok bool
		if ok, err = n.writeWhere(&b, arrived, r); !ok {
			return badWhereRequest()
		}
	case join.StatePath, join.DeparturesPath:
		contentType = "application/octet-stream"
		encoded := n.state.EncodeState(ctx, r.Path() == join.DeparturesPath, requestedConfig(r.URI()))
		if encoded == nil {
			return codec.NewResponse(http.StatusServiceUnavailable, "")
		}
		b.Write(encoded)
	default:
		return codec.NewResponse(http.StatusNotFound, "")
	}
	if err != nil {
		return codec.NewResponse(http.StatusInternalServerError, err.Error()+"\n")
	}
	return codec.NewResponse(http.StatusOK, b.String(), codec.Field{Name: "Content-Type", Value: contentType})
}

// requestedServices returns the names of the services that a dump is limited to; none means all.
func requestedServices(uri string) []string {
	_, query, _ := strings.Cut(uri, "?")
	q, err := url.ParseQuery(query)
	if err != nil {
		return nil
	}
	return q["service"]
}

// requestedConfig returns the version that a request for the configuration states: only a newer one is requested. A request
// that states none, as those of an earlier build, is for no configuration.
func requestedConfig(uri string) ident.Version {
	_, query, _ := strings.Cut(uri, "?")
	q, err := url.ParseQuery(query)
	if err != nil {
		return math.MaxUint64
	}
	v, err := strconv.ParseUint(q.Get(join.ConfigParameter), 10, 64)
	if err != nil {
		return math.MaxUint64
	}
	return ident.Version(v)
}

// writeMetrics writes the metrics in the text format.
func (n *Node) writeMetrics(b *bytes.Buffer) error {
	if err := n.cfg.Forwarder.Meter().WriteText(b); err != nil {
		return err
	}
	requests, connections := n.callerServer.Active()
	pool, open := n.cfg.Forwarder.Connections()
	lines := n.cfg.Log.QueueCounts()
	customers, warnings := 0, 0
	if cfg := n.cfg.Forwarder.Snapshot().Config; cfg != nil {
		customers, warnings = len(cfg.Customers), len(cfg.Warnings)
	}
	for _, v := range []struct {
		name  string
		value any
	}{
		{"requests_in_progress", requests}, {"caller_connections", connections},
		{"target_connections", open}, {"target_connections_opened_total", pool.Opened},
		{"target_connections_reused_total", pool.Reused}, {"target_connections_failed_total", pool.Failed},
		{"target_connections_found_dead_total", pool.FoundDead}, {"target_connections_malformed_total", pool.Malformed},
		{"sends_total", n.cfg.Forwarder.Counters.Sends.Load()}, {"retries_total", n.cfg.Forwarder.Counters.Retries.Load()},
		{"further_holder_sends_total", n.cfg.Forwarder.Counters.FurtherHolderSends.Load()},
		{"log_lines_total", lines.Sent}, {"log_lines_dropped_total", lines.Full},
		{"accept_failures_total", n.callerServer.AcceptFailures()}, {"health_requests_total", n.probes.Sent()},
		{"request_body_memory_bytes", n.bodies.Used()}, {"response_body_memory_bytes", n.cfg.Forwarder.ResponseMemoryUsed()},
		{"load_reports_malformed_total", n.cfg.Forwarder.Counters.MalformedLoads.Load()},
		{"load_reports_slow_total", n.cfg.Forwarder.Counters.SlowPaces.Load()},
		{"shared_load_reports_sent_total", n.cfg.Forwarder.Counters.ReportsSent.Load()},
		{"shared_load_reports_received_total", n.cfg.Forwarder.Counters.ReportsReceived.Load()},
		{"shared_load_reports_applied_total", n.cfg.Forwarder.Counters.ReportsApplied.Load()},
		{"lookups_total", n.lookups.Load()}, {"lookups_weighted_total", n.weightedLookups.Load()},
		{"config_version", n.state.Version()}, {"config_customers", customers}, {"config_warnings", warnings},
	} {
		if err := meter.WriteValue(b, v.name, v.value); err != nil {
			return err
		}
	}
	if n.cfg.Quota != nil {
		return writeQuotaMetrics(b, n.cfg.Quota.Counters())
	}
	return nil
}

// forwarderService registers the forwarder as a service for dumps. It runs nothing.
type forwarderService struct{ n *Node }

// Name implements kernel.Service.
func (forwarderService) Name() string { return "routing" }

// Run implements kernel.Service.
func (forwarderService) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// Dump implements kernel.Service.
func (r forwarderService) Dump(now time.Time) any { return r.n.cfg.Forwarder.Dump(now) }
