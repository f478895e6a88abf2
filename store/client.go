package store

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/kinds"
)

// NotWritten is the header of a 5xx answer that says, with the value "true", that nothing was written.
const NotWritten = "Not-Written"

// The default limits of a client.
const (
	DefaultTimeout = 2 * time.Second
	// DefaultMaxAnswer holds the VM list and one page of rows at 3,200 VMs several times over.
	DefaultMaxAnswer = 8 << 20
	// DefaultMaxObject holds a table of 2.6 million client blocks.
	DefaultMaxObject = 64 << 20
)

// Client talks to the platform. It is safe for concurrent use and never repeats a write on its own.
type Client struct {
	base string
	http *http.Client
	// timeout bounds one call, connection set-up included.
	timeout time.Duration
	// maxAnswer and maxObject bound the body of an answer, in bytes.
	maxAnswer, maxObject int64
}

// Option changes a default of New.
type Option func(*Client)

// WithTimeout bounds one call; the default is DefaultTimeout.
func WithTimeout(d time.Duration) Option {
	return func(c *Client) { c.timeout = d }
}

// WithHTTPClient sets the HTTP client. Redirects are never followed, since a redirected write would be sent twice.
func WithHTTPClient(h *http.Client) Option {
	return func(c *Client) { c.http = h }
}

// WithLimits bounds the bytes of an answer of the table or VM list and of an object.
func WithLimits(answer, object int64) Option {
	return func(c *Client) { c.maxAnswer, c.maxObject = answer, object }
}

// New returns a client of the platform at base, for example "http://127.0.0.1:7000".
func New(base string, opts ...Option) *Client {
	c := &Client{
		base:      strings.TrimSuffix(base, "/"),
		http:      &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 30 * time.Second}},
		timeout:   DefaultTimeout,
		maxAnswer: DefaultMaxAnswer,
		maxObject: DefaultMaxObject,
	}
	for _, opt := range opts {
		opt(c)
	}
	h := *c.http
	h.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	c.http = &h
	return c
}

// Get returns the row with the given key. An absent row is not an error: its Version is zero. The errors are StoreDown,
// and Internal for an answer that is malformed or over the limit.
func (c *Client) Get(ctx context.Context, key string) (Row, error) {
	a, err := c.do(ctx, request{method: http.MethodGet, path: "/table/" + escape(key), max: c.maxAnswer})
	if err != nil || a.status == http.StatusNotFound {
		return Row{Key: key}, kinds.Wrap(kinds.Of(err), err, "get "+key)
	}
	v, err := parseETag(a.etag)
	return Row{Key: key, Value: a.body, Version: v}, kinds.Wrap(kinds.Internal, err, "get "+key)
}

// Txn checks the conditions of all ops and then applies them together. It returns the version of each row after the
// transaction, zero for a deleted one. The errors are Conflict (a condition failed, nothing was written), StoreDown
// (certainly not written), StoreUnknown (may have been written: read back before writing again) and BadRequest.
func (c *Client) Txn(ctx context.Context, ops []Op) ([]ident.Version, error) {
	if len(ops) == 1 && !ops[0].CheckOnly && !ops[0].Delete {
		v, err := c.put(ctx, ops[0])
		if err != nil {
			return nil, err
		}
		return []ident.Version{v}, nil
	}
	body, err := json.Marshal(TxnRequest{Ops: ops})
	if err != nil {
		return nil, kinds.Wrap(kinds.BadRequest, err, "encode transaction")
	}
	a, err := c.do(ctx, request{method: http.MethodPost, path: "/txn", body: body, write: true, max: c.maxAnswer})
	if err != nil {
		return nil, kinds.Wrap(kinds.Of(err), err, "transaction")
	}
	var out TxnAnswer
	if err := json.Unmarshal(a.body, &out); err != nil {
		return nil, kinds.Wrap(kinds.StoreUnknown, err, "decode transaction answer")
	}
	if len(out.Versions) != len(ops) {
		return nil, kinds.Errorf(kinds.StoreUnknown, "transaction of %d ops answered %d versions", len(ops), len(out.Versions))
	}
	return out.Versions, nil
}

// put writes one row with a conditional PUT, which spares the JSON encoding of the value.
func (c *Client) put(ctx context.Context, op Op) (ident.Version, error) {
	header := http.Header{}
	if op.IfVersion == 0 {
		header.Set("If-None-Match", "*")
	} else {
		header.Set("If-Match", formatETag(op.IfVersion))
	}
	a, err := c.do(ctx, request{
		method: http.MethodPut, path: "/table/" + escape(op.Key), header: header, body: op.Value, write: true, max: c.maxAnswer,
	})
	if err != nil {
		return 0, kinds.Wrap(kinds.Of(err), err, "put "+op.Key)
	}
	v, err := parseETag(a.etag)
	return v, kinds.Wrap(kinds.StoreUnknown, err, "put "+op.Key)
}

// List returns up to limit rows whose key starts with prefix and is greater than after, in key order.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	q := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	var out ListAnswer
	err := c.getJSON(ctx, "/table?"+q.Encode(), &out)
	return out.Rows, kinds.Wrap(kinds.Of(err), err, "list "+prefix)
}

// VMs returns the platform's VM list, which lags.
func (c *Client) VMs(ctx context.Context) ([]VMInfo, error) {
	var out VMsAnswer
	err := c.getJSON(ctx, "/vms", &out)
	return out.VMs, kinds.Wrap(kinds.Of(err), err, "list VMs")
}

// PutObject writes an object and replaces an older one of the same name. Writing the same body again is harmless, so a
// StoreUnknown error may be answered by repeating the call.
func (c *Client) PutObject(ctx context.Context, name string, body []byte) error {
	_, err := c.do(ctx, request{
		method: http.MethodPut, path: "/objects/" + escape(name), body: body, write: true, max: c.maxAnswer,
	})
	return kinds.Wrap(kinds.Of(err), err, "put object "+name)
}

// GetObject returns the body of an object, or a NotFound error.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	a, err := c.do(ctx, request{method: http.MethodGet, path: "/objects/" + escape(name), max: c.maxObject})
	if err != nil {
		return nil, kinds.Wrap(kinds.Of(err), err, "get object "+name)
	}
	if a.status == http.StatusNotFound {
		return nil, kinds.Errorf(kinds.NotFound, "no object %q", name)
	}
	return a.body, nil
}

func (c *Client) getJSON(ctx context.Context, path string, out any) error {
	a, err := c.do(ctx, request{method: http.MethodGet, path: path, max: c.maxAnswer})
	if err != nil {
		return err
	}
	if a.status == http.StatusNotFound {
		return kinds.Errorf(kinds.Internal, "the platform has no %s", path)
	}
	return kinds.Wrap(kinds.Internal, json.Unmarshal(a.body, out), "decode answer")
}

// request is one call before it is sent.
type request struct {
	method, path string
	header       http.Header
	body         []byte
	// write marks a call whose effect is unknown if its answer is lost.
	write bool
	// max bounds the body of the answer, in bytes.
	max int64
}

// answer is a 200, or the 404 of a read.
type answer struct {
	status int
	etag   string
	body   []byte
}

func (c *Client) do(ctx context.Context, r request) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }})
	req, err := http.NewRequestWithContext(ctx, r.method, c.base+r.path, bytes.NewReader(r.body))
	if err != nil {
		return answer{}, kinds.Wrap(kinds.BadRequest, err, "make request")
	}
	for k, v := range r.header {
		req.Header[k] = v
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return answer{}, kinds.Wrap(lostKind(r, sent.Load()), err, "send")
	}
	defer resp.Body.Close()
	if err := statusError(r, resp); err != nil {
		return answer{}, err
	}
	body, err := readBounded(resp.Body, r)
	return answer{status: resp.StatusCode, etag: resp.Header.Get("ETag"), body: body}, err
}

// lostKind is the kind of a call without an answer. A write is known not to have happened only if no connection was
// obtained for it. That net/http repeats no PUT or POST after a byte was written keeps a write from being sent twice.
func lostKind(r request, sent bool) kinds.Kind {
	if r.write && sent {
		return kinds.StoreUnknown
	}
	return kinds.StoreDown
}

func statusError(r request, resp *http.Response) error {
	switch s := resp.StatusCode; {
	case s == http.StatusOK, s == http.StatusNotFound && !r.write:
		return nil
	case s == http.StatusPreconditionFailed:
		return kinds.Errorf(kinds.Conflict, "%s %s: another version", r.method, r.path)
	case s >= 400 && s < 500:
		return kinds.Errorf(kinds.BadRequest, "%s %s: status %d", r.method, r.path, s)
	case r.write && resp.Header.Get(NotWritten) != "true":
		return kinds.Errorf(kinds.StoreUnknown, "%s %s: status %d", r.method, r.path, s)
	default:
		return kinds.Errorf(kinds.StoreDown, "%s %s: status %d", r.method, r.path, s)
	}
}

func readBounded(body io.Reader, r request) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(body, r.max+1))
	over := int64(len(b)) > r.max
	switch {
	case err == nil && !over:
		return b, nil
	case r.write:
		return nil, kinds.Errorf(kinds.StoreUnknown, "answer to a write is cut or over %d bytes: %v", r.max, err)
	case over:
		return nil, kinds.Errorf(kinds.Internal, "answer is over %d bytes", r.max)
	default:
		return nil, kinds.Wrap(kinds.StoreDown, err, "read answer")
	}
}

// escape keeps the '/' between the parts of a key.
func escape(key string) string {
	return strings.ReplaceAll(url.PathEscape(key), "%2F", "/")
}

func formatETag(v ident.Version) string {
	return `"` + strconv.FormatUint(uint64(v), 10) + `"`
}

func parseETag(s string) (ident.Version, error) {
	v, err := strconv.ParseUint(strings.Trim(s, `"`), 10, 64)
	if err != nil || v == 0 {
		return 0, errors.Newf("malformed ETag %q", s)
	}
	return ident.Version(v), nil
}
