package codec

import (
	"bufio"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// Answer is a whole answer, a target's or one of this process.
type Answer struct {
	Status int
	// Fields are the header fields that are passed on. Fields of one connection are left out.
	Fields []Field
	Body   []byte
	// Close says that the sender ends the connection after this answer.
	Close bool
	// Idle is how long the sender keeps the connection, as its Keep-Alive field states; zero if it does not say.
	Idle time.Duration
	// noBody says that no body follows the header, as after HEAD; length is then the length that the header states, or
	// -1.
	noBody bool
	length int
}

// NewAnswer returns an answer of this process.
func NewAnswer(status int, body string, fields ...Field) *Answer {
	return &Answer{Status: status, Body: []byte(body), Fields: fields, length: -1}
}

// Field returns the first value of a header field, or "".
func (a *Answer) Field(name string) string {
	for _, f := range a.Fields {
		if strings.EqualFold(f.Name, name) {
			return f.Value
		}
	}
	return ""
}

const (
	// interimMost bounds the interim answers before an answer.
	interimMost = 16
	// bodyStep is the length in bytes beyond which memory for a body is taken as its bytes arrive. A target may state a
	// length and never send the body.
	bodyStep = 64 << 10
)

// ReadAnswer reads one answer to a request with the given method; a few interim answers are skipped. The answer is whole:
// a body that ends early is an error. Limit bounds the body in bytes.
func ReadAnswer(br *bufio.Reader, method string, limit int) (*Answer, error) {
	var resp fasthttp.Response
	resp.Header.SetNoDefaultContentType(true)
	for n := 0; ; n++ {
		if n > interimMost {
			return nil, errors.Wrap(ErrMalformed, "interim answers without end")
		}
		if _, err := br.Peek(1); err != nil {
			return nil, err
		}
		if err := resp.Header.Read(br); err != nil {
			return nil, classify(err)
		}
		if resp.StatusCode() >= 200 || resp.StatusCode() == http.StatusSwitchingProtocols {
			break
		}
	}
	a := &Answer{Status: resp.StatusCode(), Close: resp.Header.ConnectionClose(), length: -1}
	a.noBody = method == http.MethodHead || a.Status == http.StatusNoContent || a.Status == http.StatusNotModified
	if a.noBody {
		a.length = max(resp.Header.ContentLength(), -1)
	} else {
		// An answer without a length ends with its connection.
		a.Close = a.Close || resp.Header.ContentLength() == -2
		body, err := readBody(br, &resp, limit)
		if err != nil {
			return nil, err
		}
		a.Body = body
	}
	a.copyFields(&resp.Header)
	return a, nil
}

// readBody reads the body that follows the header of resp.
func readBody(br *bufio.Reader, resp *fasthttp.Response, limit int) ([]byte, error) {
	if n := resp.Header.ContentLength(); n > bodyStep && n <= limit {
		b, err := io.ReadAll(io.LimitReader(br, int64(n)))
		if err == nil && len(b) < n {
			err = io.ErrUnexpectedEOF
		}
		return b, errors.Wrap(err, "read body")
	}
	if err := resp.ReadBody(br, limit); err != nil {
		return nil, errors.Wrap(err, "read body")
	}
	if resp.Header.ContentLength() == -1 {
		if err := resp.Header.ReadTrailer(br); err != nil {
			return nil, errors.Wrap(err, "read trailer")
		}
	}
	return resp.Body(), nil
}

func (a *Answer) copyFields(h *fasthttp.ResponseHeader) {
	connection := h.Peek("Connection")
	for k, v := range h.All() {
		if strings.EqualFold(string(k), "Keep-Alive") {
			a.Idle = idleTime(string(v))
		}
		if !hopByHop(k, connection) {
			a.Fields = append(a.Fields, Field{string(k), string(v)})
		}
	}
}

// idleTime returns the timeout parameter of a Keep-Alive field, or zero.
func idleTime(v string) time.Duration {
	for _, part := range strings.Split(v, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		// A value that is no number says nothing, as if the field were missing.
		if s, err := strconv.Atoi(value); err == nil && s > 0 {
			return time.Duration(s) * time.Second
		}
	}
	return 0
}

// Append appends the answer. With last, it tells the caller that the connection ends after it.
func (a *Answer) Append(dst []byte, last bool) []byte {
	dst = append(dst, "HTTP/1.1 "...)
	dst = strconv.AppendInt(dst, int64(a.Status), 10)
	dst = append(dst, ' ')
	dst = append(dst, http.StatusText(a.Status)...)
	dst = append(dst, "\r\n"...)
	for _, f := range a.Fields {
		dst = appendField(dst, []byte(f.Name), []byte(f.Value))
	}
	switch {
	case !a.noBody:
		dst = appendLength(dst, len(a.Body))
	case a.length >= 0 && a.Status != http.StatusNoContent:
		dst = appendLength(dst, a.length)
	}
	if last {
		dst = append(dst, "Connection: close\r\n"...)
	}
	dst = append(dst, "\r\n"...)
	return append(dst, a.Body...)
}

// ForHead returns the answer as one to a HEAD request, whose body is not sent.
func (a *Answer) ForHead() *Answer {
	if a.noBody {
		return a
	}
	a.noBody, a.length, a.Body = true, len(a.Body), nil
	return a
}
