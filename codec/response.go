package codec

import (
	"bufio"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/currantpier/currantpier/memory"
)

// Response is a complete HTTP response, of a target or of this process.
type Response struct {
	Status int
	// Fields are the end-to-end header fields. Hop-by-hop fields are left out.
	Fields []Field
	Body   []byte
	// Close is set if the sender closes the connection after this response.
	Close bool
	// KeepAlive is the timeout that the sender's Keep-Alive field states; zero without one.
	KeepAlive time.Duration
	// omitBody is set if no body follows the header, as in a response to HEAD. statedLength is then the Content-Length
	// of the header, or -1 without one.
	omitBody     bool
	statedLength int
}

// NewResponse returns a response of this process.
func NewResponse(status int, body string, fields ...Field) *Response {
	return &Response{Status: status, Body: []byte(body), Fields: fields, statedLength: -1}
}

// Field returns the first value of a header field, or "".
func (a *Response) Field(name string) string {
	for _, f := range a.Fields {
		if strings.EqualFold(f.Name, name) {
			return f.Value
		}
	}
	return ""
}

const (
	// maxInterimResponses bounds the 1xx responses before a final one.
	maxInterimResponses = 16
	// maxPreallocatedBytes bounds the memory that is allocated for the body of a response before its first byte arrives.
	maxPreallocatedBytes = 64 << 10
)

// ReadResponse reads one complete response to a request with the given method and skips up to maxInterimResponses
// interim responses. A body that ends early is an error. Limit bounds the body in bytes.
func ReadResponse(br *bufio.Reader, method string, limit int) (*Response, error) {
	return ReadResponseFunc(br, method, limit, nil, func(*Response) {})
}

// ReadResponseFunc is ReadResponse with a reservation for the memory of the body, and a function that is called with the status
// and the fields before the body is read, also if the body then ends early. Trailer fields are no part of them. Errors include
// ErrMalformed, ErrHeaderTooLarge, ErrBodyTooLarge and memory.ErrExhausted.
func ReadResponseFunc(br *bufio.Reader, method string, limit int, reserved *memory.Reservation, onHeader func(*Response)) (*Response, error) {
	var resp fasthttp.Response
	resp.Header.SetNoDefaultContentType(true)
	if err := readFinalHeader(br, &resp.Header); err != nil {
		return nil, err
	}
	a := &Response{Status: resp.StatusCode(), Close: resp.Header.ConnectionClose(), statedLength: -1}
	a.copyFields(&resp.Header)
	onHeader(a)
	a.omitBody = hasNoBody(method, a.Status)
	if a.omitBody {
		a.statedLength = max(resp.Header.ContentLength(), -1)
		return a, nil
	}
	// A body without a length ends with the connection.
	a.Close = a.Close || resp.Header.ContentLength() == noLength
	body, err := readResponseBody(br, &resp.Header, limit, reserved)
	if err != nil {
		return nil, err
	}
	a.Body = body
	return a, nil
}

// ReadInto is ReadResponse for clients of fasthttp: it reads into resp, with the hop-by-hop fields. The error is io.EOF if the
// connection ended before the first byte. Errors include ErrMalformed, ErrNoLength, ErrHeaderTooLarge and ErrBodyTooLarge.
func ReadInto(resp *fasthttp.Response, br *bufio.Reader, method string, limit int) error {
	if err := readFinalHeader(br, &resp.Header); err != nil {
		return err
	}
	// fasthttp would pass the sender's version on.
	resp.Header.SetProtocol([]byte("HTTP/1.1"))
	if hasNoBody(method, resp.StatusCode()) {
		resp.SkipBody = method == http.MethodHead
		return nil
	}
	body, err := readResponseBody(br, &resp.Header, limit, nil)
	if err != nil {
		return err
	}
	resp.SetBodyRaw(body)
	return nil
}

// hasNoBody reports whether no body follows the header of a response, whatever it states (RFC 9112 section 6.3).
func hasNoBody(method string, status int) bool {
	return method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
}

// readFinalHeader reads the header of a response and those of the interim responses before it.
func readFinalHeader(br *bufio.Reader, h *fasthttp.ResponseHeader) error {
	for range maxInterimResponses + 1 {
		if _, err := br.Peek(1); err != nil {
			return err
		}
		if err := readChecked(br, checkHeader, h.Read); err != nil {
			return err
		}
		switch status := h.StatusCode(); {
		case status >= 200:
			return nil
		case status == http.StatusSwitchingProtocols:
			// No forwarded request asks for another protocol.
			return errors.Wrap(ErrMalformed, "status 101")
		}
	}
	return errors.Wrap(ErrMalformed, "interim answers without end")
}

// readResponseBody reads the body that follows the header of a response, and its trailer.
func readResponseBody(br *bufio.Reader, h *fasthttp.ResponseHeader, limit int, reserved *memory.Reservation) ([]byte, error) {
	length := h.ContentLength()
	d := bodyReader{br: br, limit: limit, reserved: reserved, initial: min(length, maxPreallocatedBytes)}
	b, err := d.read(length)
	if err != nil {
		return nil, errors.Wrap(err, "read body")
	}
	if length == chunkedLength {
		if err := readChecked(br, checkTrailer, h.ReadTrailer); err != nil {
			return nil, errors.Wrap(err, "read trailer")
		}
	}
	return b, nil
}

func (a *Response) copyFields(h *fasthttp.ResponseHeader) {
	connection := h.Peek("Connection")
	for k, v := range h.All() {
		if strings.EqualFold(string(k), "Keep-Alive") {
			a.KeepAlive = keepAliveTimeout(string(v))
		}
		if !isHopByHop(k, connection) {
			a.Fields = append(a.Fields, Field{string(k), string(v)})
		}
	}
}

// keepAliveTimeout returns the timeout parameter of a Keep-Alive field, or zero.
func keepAliveTimeout(v string) time.Duration {
	for _, part := range strings.Split(v, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		// A value that is not a positive number is ignored.
		if s, err := strconv.Atoi(value); err == nil && s > 0 {
			return time.Duration(s) * time.Second
		}
	}
	return 0
}

// Encode returns the response in the parts to write. If last is set, it has the field "Connection: close".
func (a *Response) Encode(last bool) [][]byte {
	var dst []byte
	dst = append(dst, "HTTP/1.1 "...)
	dst = strconv.AppendInt(dst, int64(a.Status), 10)
	dst = append(dst, ' ')
	dst = append(dst, http.StatusText(a.Status)...)
	dst = append(dst, "\r\n"...)
	for _, f := range a.Fields {
		dst = appendField(dst, []byte(f.Name), []byte(f.Value))
	}
	switch {
	case !a.omitBody:
		dst = appendLength(dst, len(a.Body))
	case a.statedLength >= 0 && a.Status != http.StatusNoContent:
		dst = appendLength(dst, a.statedLength)
	}
	if last {
		dst = append(dst, "Connection: close\r\n"...)
	}
	return join(append(dst, "\r\n"...), a.Body)
}

// ForHead changes a into a response to a HEAD request, which has no body, and returns it.
func (a *Response) ForHead() *Response {
	if a.omitBody {
		return a
	}
	a.omitBody, a.statedLength, a.Body = true, len(a.Body), nil
	return a
}
