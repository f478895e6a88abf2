package codec

import (
	"net/http"

	"github.com/cockroachdb/errors"
)

// Transport is an http.RoundTripper that refuses responses which net/http returns although they are malformed. The error is then
// ErrMalformed: like a lost response, it doesn't tell whether the request had an effect.
type Transport struct {
	http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.RoundTripper.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := checkResponse(resp); err != nil {
		t.discard(resp)
		return nil, err
	}
	return resp, nil
}

// discard ends the connection of a response. net/http keeps that of one without a body before it returns the response.
func (t Transport) discard(resp *http.Response) {
	_ = resp.Body.Close()
	t.CloseIdleConnections()
}

// CloseIdleConnections is called by http.Client.CloseIdleConnections.
func (t Transport) CloseIdleConnections() {
	if c, ok := t.RoundTripper.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// checkResponse returns an error if the header of a response is malformed.
func checkResponse(resp *http.Response) error {
	if resp.StatusCode < minStatus || resp.StatusCode > maxStatus {
		return errors.Wrapf(ErrMalformed, "status %03d", resp.StatusCode)
	}
	return nil
}
