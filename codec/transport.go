package codec

import (
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"github.com/cockroachdb/errors"
)

// Transport is an http.RoundTripper that refuses responses which net/http returns although they are malformed. The error is then
// ErrMalformed: like a lost response, it doesn't tell whether the request had an effect. net/http keeps the connection of a response
// without a body before it returns the response, so that the idle ones are closed then.
type Transport struct {
	http.RoundTripper
	// RequireLength is set if a response without a length, whose body ends with its connection, is refused too. It is for bodies of
	// which a part, or with a part of the header before it, could be taken for a whole one.
	RequireLength bool
}

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	interim := 0
	trace := &httptrace.ClientTrace{Got1xxResponse: func(_ int, fields textproto.MIMEHeader) error {
		// With this function, net/http leaves the bound to it.
		if interim++; interim > maxInterimResponses {
			return errors.Wrap(ErrMalformed, "interim answers without end")
		}
		return checkNames(http.Header(fields))
	}}
	resp, err := t.RoundTripper.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := t.check(resp); err != nil {
		_ = resp.Body.Close()
		t.CloseIdleConnections()
		return nil, err
	}
	resp.Body = &checkedBody{resp.Body, t, resp}
	return resp, nil
}

// checkedBody is the body of a response whose trailer is checked at its end.
type checkedBody struct {
	io.ReadCloser
	transport Transport
	resp      *http.Response
}

// Read implements io.Reader.
func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	if err := checkNames(b.resp.Trailer); err != nil {
		b.transport.CloseIdleConnections()
		return n, err
	}
	return n, io.EOF
}

// CloseIdleConnections is called by http.Client.CloseIdleConnections.
func (t Transport) CloseIdleConnections() {
	if c, ok := t.RoundTripper.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// check returns an error if the header of a response is malformed.
func (t Transport) check(resp *http.Response) error {
	switch {
	case resp.ProtoMajor != 1:
		return errors.Wrapf(ErrMalformed, "version %.20q", resp.Proto)
	// net/http returns 101 as a final response. No request asks for another protocol.
	case resp.StatusCode < http.StatusOK || resp.StatusCode > maxStatus:
		return errors.Wrapf(ErrMalformed, "status %03d", resp.StatusCode)
	case hasControlByte([]byte(resp.Status)):
		return errors.Wrapf(ErrMalformed, "status line %.80q", resp.Status)
	}
	if t.RequireLength && !hasLength(resp) {
		return errors.Mark(errors.Wrap(ErrMalformed, "no length"), ErrNoLength)
	}
	return checkNames(resp.Header)
}

// hasLength reports whether the end of a response shows without that of its connection. net/http hides the length of a body that it
// decompresses; the compressed form shows its end.
func hasLength(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Uncompressed || hasNoBody(resp.Request.Method, resp.StatusCode)
}

// checkNames returns an error if a field name is invalid. net/http accepts spaces in one.
func checkNames(fields http.Header) error {
	for name := range fields {
		if !isToken([]byte(name)) {
			return errors.Wrapf(ErrMalformed, "field name %.40q", name)
		}
	}
	return nil
}
