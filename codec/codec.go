// Package codec reads and writes HTTP/1.1 messages. It parses with fasthttp; its own part is the removal of hop-by-hop
// header fields and the framing of forwarded messages.
package codec

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/currantpier/currantpier/memory"
)

// Request is a complete HTTP request of a caller.
type Request struct {
	msg fasthttp.Request
	// hasLengthField is set if the request had a Content-Length or Transfer-Encoding field. The forwarded request then
	// has a Content-Length even if its body is empty.
	hasLengthField bool
	body           []byte
	// reserved is the memory that the body holds, nil before ReadBody.
	reserved *memory.Reservation
}

// Errors of Request and ReadResponse, besides those of the connection.
var (
	// ErrHeaderTooLarge is returned if the header exceeds the read buffer.
	ErrHeaderTooLarge = errors.New("header too large")
	// ErrBodyTooLarge is returned if the body of a request exceeds the limit.
	ErrBodyTooLarge = errors.New("body too large")
	// ErrMalformed is returned if the bytes are not a valid HTTP message.
	ErrMalformed = errors.New("malformed message")
	// ErrNoLength is returned, besides ErrMalformed, if nothing tells where the body of a response ends.
	ErrNoLength = errors.New("response without a length")
)

// ReadHeader reads the header of a request. The error is io.EOF if the connection ended before the first byte,
// ErrHeaderTooLarge, ErrMalformed, or that of the connection.
func (r *Request) ReadHeader(br *bufio.Reader) error {
	if _, err := br.Peek(1); err != nil {
		return err
	}
	if err := r.msg.Header.Read(br); err != nil {
		return classify(err)
	}
	transferCoded := len(r.msg.Header.Peek("Transfer-Encoding")) > 0
	lengthFields := len(r.msg.Header.PeekAll("Content-Length"))
	// Another server could read a request with two lengths as two requests (request smuggling).
	if lengthFields > 1 {
		return errors.Wrap(ErrMalformed, "more than one Content-Length field")
	}
	r.hasLengthField = transferCoded || lengthFields > 0
	return r.useOriginForm()
}

// useOriginForm replaces a request target in absolute form by its path and query, and the Host field by its host (RFC 9112
// section 3.2.2).
func (r *Request) useOriginForm() error {
	if bytes.HasPrefix(r.msg.Header.RequestURI(), []byte("/")) {
		return nil
	}
	scheme, rest, found := strings.Cut(r.URI(), "://")
	if !found || !strings.EqualFold(scheme, "http") && !strings.EqualFold(scheme, "https") {
		return nil
	}
	host, path := rest, ""
	if i := strings.IndexAny(rest, "/?"); i >= 0 {
		host, path = rest[:i], rest[i:]
	}
	if host == "" || strings.Contains(host, "@") {
		return errors.Wrap(ErrMalformed, "request target without a host or with credentials")
	}
	if !strings.HasPrefix(path, "/") {
		path = "/" + path
	}
	r.msg.Header.SetHost(host)
	r.msg.Header.SetRequestURI(path)
	return nil
}

// ContentLengthExceeds reports whether the Content-Length is over the limit. A limit of zero means none.
func (r *Request) ContentLengthExceeds(limit int) bool {
	return limit > 0 && r.msg.Header.ContentLength() > limit
}

// ExpectsContinue reports whether the caller waits for "100 Continue" before it sends the body.
func (r *Request) ExpectsContinue() bool { return r.msg.MayContinue() }

// ReserveBody reserves the memory for a body whose length the header states. It returns memory.ErrExhausted if too little is left.
// ReadBody reserves the memory for a body in chunks as they arrive.
func (r *Request) ReserveBody(reserved *memory.Reservation) error {
	if !reserved.Resize(int64(max(r.msg.Header.ContentLength(), 0))) {
		return memory.ErrExhausted
	}
	r.reserved = reserved
	return nil
}

// ReadBody reads the body that follows the header. A limit of zero means none. Errors are ErrBodyTooLarge, memory.ErrExhausted and
// those of the connection.
func (r *Request) ReadBody(br *bufio.Reader, limit int) error {
	length := r.msg.Header.ContentLength()
	if length == noLength {
		return nil // a request without a length has no body
	}
	d := bodyReader{br: br, limit: limit, reserved: r.reserved, initial: length}
	b, err := d.read(length)
	if err == nil && length == chunkedLength {
		err = r.msg.Header.ReadTrailer(br)
	}
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	r.body = b
	return err
}

// Release frees the memory of the body. The request must not be used any more.
func (r *Request) Release() {
	r.body = nil
	r.reserved.Release()
}

// classify maps errors of fasthttp's parser to those of this package. Errors of the connection are returned unchanged.
func classify(err error) error {
	var small *fasthttp.ErrSmallBuffer
	var nothing fasthttp.ErrNothingRead
	switch {
	case errors.As(err, &small):
		return ErrHeaderTooLarge
	case errors.As(err, &nothing), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return err
	}
	var timeout interface{ Timeout() bool }
	if errors.As(err, &timeout) {
		return err
	}
	return errors.WithSecondaryError(errors.Wrap(ErrMalformed, "parse header"), err)
}

func (r *Request) Method() string { return string(r.msg.Header.Method()) }

// URI returns the path and query as they were sent.
func (r *Request) URI() string { return string(r.msg.Header.RequestURI()) }

// Path returns the request target without the query.
func (r *Request) Path() string {
	path, _, _ := strings.Cut(r.URI(), "?")
	return path
}

func (r *Request) Host() string { return string(r.msg.Header.Host()) }

// Field returns the first value of a header field, or "".
func (r *Request) Field(name string) string { return string(r.msg.Header.Peek(name)) }

// SingleField returns the value of a header field that occurs once, else "".
func (r *Request) SingleField(name string) string {
	if values := r.msg.Header.PeekAll(name); len(values) == 1 {
		return string(values[0])
	}
	return ""
}

func (r *Request) Body() []byte { return r.body }

// WantsClose reports whether the caller asked for the connection to be closed after the response.
func (r *Request) WantsClose() bool { return r.msg.Header.ConnectionClose() }

type Field struct{ Name, Value string }

// maxJoinedBytes is the size up to which a body is copied behind its header, so that one write sends both. The memory of a second
// copy of a longer one would not count towards any limit.
const maxJoinedBytes = 16 << 10

// join returns a header and a body in the parts in which they are written.
func join(head, body []byte) [][]byte {
	if len(body) <= maxJoinedBytes {
		return [][]byte{append(head, body...)}
	}
	return [][]byte{head, body}
}

// Encode returns the request in its forwarded form, in the parts to write: with the caller's fields except those in replace, which
// get the given values. An empty value removes the field.
func (r *Request) Encode(replace ...Field) [][]byte {
	h := &r.msg.Header
	var dst []byte
	dst = append(dst, h.Method()...)
	dst = append(dst, ' ')
	dst = append(dst, h.RequestURI()...)
	dst = append(dst, " HTTP/1.1\r\n"...)
	connection := h.Peek("Connection")
	hasHost := false
	for k, v := range h.All() {
		if isHopByHop(k, connection) || isReplaced(k, replace) {
			continue
		}
		hasHost = hasHost || bytes.EqualFold(k, []byte("Host"))
		dst = appendField(dst, k, v)
	}
	if host := h.Host(); !hasHost && len(host) > 0 {
		dst = appendField(dst, []byte("Host"), host)
	}
	for _, f := range replace {
		if f.Value != "" {
			dst = appendField(dst, []byte(f.Name), []byte(f.Value))
		}
	}
	if len(r.body) > 0 || r.hasLengthField {
		dst = appendLength(dst, len(r.body))
	}
	return join(append(dst, "\r\n"...), r.body)
}

func isReplaced(k []byte, replace []Field) bool {
	for _, f := range replace {
		if strings.EqualFold(string(k), f.Name) {
			return true
		}
	}
	return false
}

func appendField(dst, k, v []byte) []byte {
	dst = append(dst, k...)
	dst = append(dst, ": "...)
	dst = append(dst, v...)
	return append(dst, "\r\n"...)
}

func appendLength(dst []byte, n int) []byte {
	dst = append(dst, "Content-Length: "...)
	dst = strconv.AppendInt(dst, int64(n), 10)
	return append(dst, "\r\n"...)
}

// hopByHopFields are the fields that concern a single connection (RFC 9110 section 7.6.1), and those that state the
// length, which are replaced by a new Content-Length.
var hopByHopFields = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
	"Proxy-Authenticate", "Proxy-Authorization", "Expect",
}

func isHopByHop(k, connection []byte) bool {
	for _, name := range hopByHopFields {
		if strings.EqualFold(string(k), name) {
			return true
		}
	}
	if len(connection) == 0 {
		return false
	}
	for _, name := range bytes.Split(connection, []byte(",")) {
		if bytes.EqualFold(bytes.TrimSpace(name), k) {
			return true
		}
	}
	return false
}
