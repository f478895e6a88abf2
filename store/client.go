package store

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/currantpier/currantpier/codec"
	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/kinds"
)

// HeaderNotWritten is the response header with which the platform states, by the value "true" on a 5xx status, that
// the write had no effect.
const HeaderNotWritten = "Not-Written"

// Headers of eras. A store that has come back from an earlier copy of itself has lost its newest rows and gives out
// their versions again.
const (
	// HeaderEra is the response header with the era of the store (ident.Era), in all responses.
	HeaderEra = "Table-Era"
	// HeaderIfEra is the request header of a write that must fail with status 412 in any other era than the given one.
	HeaderIfEra = "If-Table-Era"
)

// Default limits of a Client.
const (
	DefaultTimeout = 2 * time.Second
	// DefaultMaxResponse, in bytes, is several times the size of the VM list and of one page of rows at 3,200 VMs.
	DefaultMaxResponse = 8 << 20
	// DefaultMaxObject, in bytes, holds a table of 2.6 million client blocks.
	DefaultMaxObject = 64 << 20
)

// Client is an HTTP client of the platform. It is safe for concurrent use. It never retries a write.
type Client struct {
	base string
	http *http.Client
	// timeout bounds one call, including connection setup.
	timeout time.Duration
	// maxResponse and maxObject bound the response body in bytes: maxObject for GetObject, maxResponse for all other
	// calls.
	maxResponse, maxObject int64
}

// Option overrides a default of New.
type Option func(*Client)

// WithTimeout sets the timeout of one call, including connection setup. The default is DefaultTimeout.
func WithTimeout(d time.Duration) Option {
	return func(c *Client) { c.timeout = d }
}

// WithHTTPClient sets the HTTP client. Redirects are not followed, whatever its policy, because following one would
// send a write twice. Its transport, http.DefaultTransport if it has none, is wrapped in a codec.Transport.
func WithHTTPClient(h *http.Client) Option {
	return func(c *Client) { c.http = h }
}

// WithLimits sets the largest accepted response body in bytes: maxObject for GetObject, maxResponse for all other
// calls.
func WithLimits(maxResponse, maxObject int64) Option {
	return func(c *Client) { c.maxResponse, c.maxObject = maxResponse, maxObject }
}

// New returns a client of the platform at the URL base, for example "http://127.0.0.1:7000".
func New(base string, opts ...Option) *Client {
	c := &Client{
		base:        strings.TrimSuffix(base, "/"),
		http:        &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 30 * time.Second}},
		timeout:     DefaultTimeout,
		maxResponse: DefaultMaxResponse,
		maxObject:   DefaultMaxObject,
	}
	for _, opt := range opts {
		opt(c)
	}
	httpClient := *c.http
	if httpClient.Transport == nil {
		httpClient.Transport = http.DefaultTransport
	}
	httpClient.Transport = codec.Transport{RoundTripper: httpClient.Transport, RequireLength: true}
	httpClient.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	c.http = &httpClient
	return c
}

// Get returns the row with the given key. A missing row is returned with Version zero and no error. Errors have the
// kind StoreDown, or Internal if the response is malformed or exceeds the size limit.
func (c *Client) Get(ctx context.Context, key string) (Row, error) {
	resp, err := c.do(ctx, request{method: http.MethodGet, path: "/table/" + escape(key), maxBody: c.maxResponse})
	if err != nil || resp.status == http.StatusNotFound {
		return Row{Key: key, Era: resp.era}, kinds.Wrap(kinds.Of(err), err, "get "+key)
	}
	v, err := parseETag(resp.etag, resp.era)
	return Row{Key: key, Value: resp.body, Version: v, Era: resp.era}, kinds.Wrap(kinds.Internal, err, "get "+key)
}

// Txn applies all ops atomically if all their conditions hold and the store is in the era that they name: a condition on
// a version of an earlier era fails, even if the store has given out its number again. It returns the version of each row after the
// transaction, which is zero for a deleted row. Errors have one of these kinds: Conflict (a condition failed; nothing
// was written), StoreDown (nothing was written), StoreUnknown (the transaction may have been applied; the caller must
// read the rows back before it writes again) and BadRequest.
func (c *Client) Txn(ctx context.Context, ops []Op) ([]ident.Version, error) {
	era, err := conditionEra(ops)
	if err != nil {
		return nil, err
	}
	if len(ops) == 1 && !ops[0].CheckOnly && !ops[0].Delete {
		v, err := c.put(ctx, ops[0], era)
		if err != nil {
			return nil, err
		}
		return []ident.Version{v}, nil
	}
	ops = slices.Clone(ops)
	for i := range ops {
		ops[i].IfVersion = ident.Version(ops[i].IfVersion.Number())
	}
	body, err := json.Marshal(TxnRequest{Ops: ops})
	if err != nil {
		return nil, kinds.Wrap(kinds.BadRequest, err, "encode transaction")
	}
	resp, err := c.do(ctx, request{
		method: http.MethodPost, path: "/txn", body: body, write: true, era: era, maxBody: c.maxResponse,
	})
	if err != nil {
		return nil, kinds.Wrap(kinds.Of(err), err, "transaction")
	}
	var out TxnResponse
	if err := json.Unmarshal(resp.body, &out); err != nil {
		return nil, kinds.Wrap(kinds.StoreUnknown, err, "decode transaction response")
	}
	if len(out.Versions) != len(ops) {
		return nil, kinds.Errorf(kinds.StoreUnknown, "transaction of %d operations returned %d versions", len(ops), len(out.Versions))
	}
	for i, v := range out.Versions {
		out.Versions[i] = ident.NewVersion(resp.era, uint64(v))
	}
	return out.Versions, nil
}

// conditionEra returns the era in which the conditions of ops can hold, or zero for any. It returns an error of kind
// Conflict if they name two eras.
func conditionEra(ops []Op) (ident.Era, error) {
	var era ident.Era
	for _, op := range ops {
		e := op.IfEra
		if op.IfVersion != 0 {
			e = op.IfVersion.Era()
		}
		if e != 0 && era != 0 && e != era {
			return 0, kinds.Errorf(kinds.Conflict, "conditions of the eras %d and %d can't hold together", era, e)
		}
		era = max(era, e)
	}
	return era, nil
}

// put writes one row with a conditional PUT, which avoids encoding the value as JSON.
func (c *Client) put(ctx context.Context, op Op, era ident.Era) (ident.Version, error) {
	header := http.Header{}
	if op.IfVersion == 0 {
		header.Set("If-None-Match", "*")
	} else {
		header.Set("If-Match", formatETag(op.IfVersion))
	}
	resp, err := c.do(ctx, request{
		method: http.MethodPut, path: "/table/" + escape(op.Key), header: header, body: op.Value, write: true, era: era,
		maxBody: c.maxResponse,
	})
	if err != nil {
		return 0, kinds.Wrap(kinds.Of(err), err, "put "+op.Key)
	}
	v, err := parseETag(resp.etag, resp.era)
	return v, kinds.Wrap(kinds.StoreUnknown, err, "put "+op.Key)
}

// List returns, in key order, up to limit rows whose keys start with prefix and sort after the key after.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	q := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	var out ListResponse
	era, err := c.getJSON(ctx, "/table?"+q.Encode(), &out)
	for i := range out.Rows {
		out.Rows[i].Version = ident.NewVersion(era, uint64(out.Rows[i].Version))
		out.Rows[i].Era = era
	}
	return out.Rows, kinds.Wrap(kinds.Of(err), err, "list "+prefix)
}

// VMs returns the platform's VM list, which lags behind the actual set of VMs.
func (c *Client) VMs(ctx context.Context) ([]VMInfo, error) {
	var out VMsResponse
	_, err := c.getJSON(ctx, "/vms", &out)
	return out.VMs, kinds.Wrap(kinds.Of(err), err, "list VMs")
}

// PutObject creates or replaces an object. The write is idempotent, so the caller may retry it after a StoreUnknown
// error.
func (c *Client) PutObject(ctx context.Context, name string, body []byte) error {
	_, err := c.do(ctx, request{
		method: http.MethodPut, path: "/objects/" + escape(name), body: body, write: true, maxBody: c.maxResponse,
	})
	return kinds.Wrap(kinds.Of(err), err, "put object "+name)
}

// GetObject returns the body of an object. The error has the kind NotFound if there is no such object.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	resp, err := c.do(ctx, request{method: http.MethodGet, path: "/objects/" + escape(name), maxBody: c.maxObject})
	if err != nil {
		return nil, kinds.Wrap(kinds.Of(err), err, "get object "+name)
	}
	if resp.status == http.StatusNotFound {
		return nil, kinds.Errorf(kinds.NotFound, "object %q does not exist", name)
	}
	return resp.body, nil
}

// getJSON decodes the response to a GET into out and returns the era of the store.
func (c *Client) getJSON(ctx context.Context, path string, out any) (ident.Era, error) {
	resp, err := c.do(ctx, request{method: http.MethodGet, path: path, maxBody: c.maxResponse})
	if err != nil {
		return 0, err
	}
	if resp.status == http.StatusNotFound {
		return 0, kinds.Errorf(kinds.Internal, "platform returned 404 for %s", path)
	}
	return resp.era, kinds.Wrap(kinds.Internal, json.Unmarshal(resp.body, out), "decode response")
}

// request describes one HTTP call.
type request struct {
	method, path string
	header       http.Header
	body         []byte
	// write marks a call that changes data, so that its outcome is unknown if the response is lost.
	write bool
	// era is the era that the store must have for a write to take effect; zero for any.
	era ident.Era
	// maxBody bounds the response body, in bytes.
	maxBody int64
}

// response is a response with status 200, or 404 for a read.
type response struct {
	status int
	etag   string
	// era is the era of the store; zero if the response does not state it.
	era  ident.Era
	body []byte
}

func (c *Client) do(ctx context.Context, r request) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	req, err := http.NewRequestWithContext(ctx, r.method, c.base+r.path, bytes.NewReader(r.body))
	if err != nil {
		return response{}, kinds.Wrap(kinds.BadRequest, err, "create HTTP request")
	}
	for k, v := range r.header {
		req.Header[k] = v
	}
	if r.era != 0 {
		req.Header.Set(HeaderIfEra, strconv.FormatUint(uint64(r.era), 10))
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return response{}, kinds.Wrap(kindWithoutResponse(r, connected.Load()), err, "send HTTP request")
	}
	defer resp.Body.Close()
	if err := statusError(r, resp); err != nil {
		return response{}, err
	}
	era, err := parseEra(r, resp)
	if err != nil {
		return response{}, err
	}
	body, err := readBounded(resp.Body, r)
	return response{status: resp.StatusCode, etag: resp.Header.Get("ETag"), era: era, body: body}, err
}

// parseEra returns the era that a response states, or zero. A write that a store without HeaderIfEra applied in another
// era than required has an unknown effect: the store may hold what an earlier write put there.
func parseEra(r request, resp *http.Response) (ident.Era, error) {
	failure := kinds.Internal
	if r.write {
		failure = kinds.StoreUnknown
	}
	text := resp.Header.Get(HeaderEra)
	if text == "" {
		return 0, nil
	}
	era, err := strconv.ParseUint(text, 10, ident.EraBits)
	switch {
	case err != nil:
		return 0, kinds.Errorf(failure, "%s %s: malformed era %q", r.method, r.path, text)
	case r.era != 0 && r.era != ident.Era(era):
		return 0, kinds.Errorf(failure, "%s %s: applied in era %d instead of %d", r.method, r.path, era, r.era)
	}
	return ident.Era(era), nil
}

// kindWithoutResponse returns the error kind of a call that got no response. A write is known to have had no effect
// only if no connection was obtained for it. net/http does not retry a PUT or POST once a byte was written, so the
// platform cannot receive the write twice.
func kindWithoutResponse(r request, connected bool) kinds.Kind {
	if r.write && connected {
		return kinds.StoreUnknown
	}
	return kinds.StoreDown
}

func statusError(r request, resp *http.Response) error {
	switch s := resp.StatusCode; {
	case s == http.StatusOK, s == http.StatusNotFound && !r.write:
		return nil
	case s == http.StatusPreconditionFailed:
		return kinds.Errorf(kinds.Conflict, "%s %s: version condition failed", r.method, r.path)
	case s >= 400 && s < 500:
		return kinds.Errorf(kinds.BadRequest, "%s %s: status %d", r.method, r.path, s)
	case r.write && resp.Header.Get(HeaderNotWritten) != "true":
		return kinds.Errorf(kinds.StoreUnknown, "%s %s: status %d", r.method, r.path, s)
	default:
		return kinds.Errorf(kinds.StoreDown, "%s %s: status %d", r.method, r.path, s)
	}
}

func readBounded(body io.Reader, r request) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(body, r.maxBody+1))
	tooLarge := int64(len(b)) > r.maxBody
	switch {
	case err == nil && !tooLarge:
		return b, nil
	case r.write:
		return nil, kinds.Errorf(kinds.StoreUnknown, "response to a write is truncated or exceeds %d bytes: %v", r.maxBody, err)
	case tooLarge:
		return nil, kinds.Errorf(kinds.Internal, "response exceeds %d bytes", r.maxBody)
	default:
		return nil, kinds.Wrap(kinds.StoreDown, err, "read response body")
	}
}

// escape percent-encodes a key for use in a URL path, except for the slashes between its parts.
func escape(key string) string {
	return strings.ReplaceAll(url.PathEscape(key), "%2F", "/")
}

func formatETag(v ident.Version) string {
	return `"` + strconv.FormatUint(v.Number(), 10) + `"`
}

// parseETag returns the version that an ETag of a store in the given era states.
func parseETag(s string, era ident.Era) (ident.Version, error) {
	n, err := strconv.ParseUint(strings.Trim(s, `"`), 10, 64)
	if err != nil || n == 0 {
		return 0, errors.Newf("malformed ETag %q", s)
	}
	return ident.NewVersion(era, n), nil
}
