package codec

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

// Valid statuses of a response (RFC 9110 section 15).
const (
	minStatus = 100
	maxStatus = 599
)

// readChecked checks what br returns next and reads it with fasthttp, which must see its end at the same byte.
func readChecked(br *bufio.Reader, check func(*bufio.Reader) (int, error), read func(*bufio.Reader) error) error {
	n, err := check(br)
	if err != nil {
		return err
	}
	buffered := br.Buffered()
	if err := read(br); err != nil {
		return classify(err)
	}
	if buffered-br.Buffered() != n {
		return errors.Wrap(ErrMalformed, "ambiguous end of the header")
	}
	return nil
}

// rawLines returns the lines that a reader returns next, without consuming them.
type rawLines struct {
	br *bufio.Reader
	// n is the number of bytes of the lines so far.
	n int
	// crlf is set if the last line ended with CRLF, not with a bare line feed.
	crlf bool
	// noCoding is set if the header may have no Transfer-Encoding field.
	noCoding bool
}

// next waits for the next line and returns it without its end. The error is io.ErrUnexpectedEOF, ErrHeaderTooLarge if the line
// exceeds the read buffer, or that of the connection.
func (l *rawLines) next() ([]byte, error) {
	for size := l.n + 1; ; size = l.br.Buffered() + 1 {
		_, err := l.br.Peek(size)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			return nil, ErrHeaderTooLarge
		case err == io.EOF:
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
		b, err := l.br.Peek(l.br.Buffered())
		if err != nil {
			return nil, err
		}
		if line, _, found := bytes.Cut(b[l.n:], []byte("\n")); found {
			l.n += len(line) + 1
			l.crlf = bytes.HasSuffix(line, []byte("\r"))
			return bytes.TrimSuffix(line, []byte("\r")), nil
		}
	}
}

// checkHeader waits for the header of the response that br returns next, and returns its length. It consumes nothing. The error is
// ErrMalformed, as soon as a line has arrived that shows it, also for what fasthttp accepts and shows no trace of. What several fields
// say together is left to fasthttp.
func checkHeader(br *bufio.Reader) (int, error) {
	l := rawLines{br: br}
	for {
		line, err := l.next()
		if err != nil {
			return 0, err
		}
		// fasthttp skips empty lines before the status line.
		if len(line) == 0 {
			continue
		}
		if err := checkStatusLine(line); err != nil {
			return 0, err
		}
		l.noCoding = !bytes.HasPrefix(line, []byte("HTTP/1.1 "))
		err = l.checkFields()
		return l.n, err
	}
}

// checkTrailer is checkHeader for the trailer that follows the last chunk.
func checkTrailer(br *bufio.Reader) (int, error) {
	l := rawLines{br: br, crlf: true}
	err := l.checkFields()
	return l.n, err
}

// checkStatusLine returns an error for a status line of another major version, with a status out of range, of which fasthttp takes
// 000 for 200, or with a control byte.
func checkStatusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	text, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	n, err := strconv.Atoi(string(text))
	switch {
	case !bytes.HasPrefix(version, []byte("HTTP/1.")):
		return errors.Wrapf(ErrMalformed, "version %.20q", version)
	case err != nil || n < minStatus || n > maxStatus:
		return errors.Wrapf(ErrMalformed, "status %.20q", text)
	case hasControlByte(line):
		return errors.Wrapf(ErrMalformed, "status line %.80q", line)
	}
	return nil
}

// checkFields checks the lines up to the empty one that ends a header or trailer. That one must be the first CRLF after a CRLF: if
// bare line feeds counted there, a field name that begins with one would end the header, and the rest would be the body.
func (l *rawLines) checkFields() error {
	for {
		afterCRLF := l.crlf
		line, err := l.next()
		if err != nil {
			return err
		}
		if len(line) > 0 {
			if err := l.checkField(line); err != nil {
				return err
			}
			continue
		}
		if !afterCRLF || !l.crlf {
			return errors.Wrap(ErrMalformed, "header ends with a bare line feed")
		}
		return nil
	}
}

// checkField returns an error for a line that is neither a field (RFC 9112 section 5) nor a continuation of the one before, which
// begins with a blank. A continuation that could also be a field is an error, and so is a transfer coding in another version than
// HTTP/1.1, where fasthttp ignores it and passes the coded body on.
func (l *rawLines) checkField(line []byte) error {
	name, _, isField := bytes.Cut(line, []byte(":"))
	switch {
	case isField && !isToken(name):
		return errors.Wrapf(ErrMalformed, "field name %.40q", name)
	case !isField && line[0] != ' ' && line[0] != '\t':
		return errors.Wrapf(ErrMalformed, "no colon in %.40q", line)
	case hasControlByte(line):
		return errors.Wrapf(ErrMalformed, "control byte in %.80q", line)
	case isField && l.noCoding && bytes.EqualFold(name, []byte("Transfer-Encoding")):
		return errors.Mark(errors.Wrap(ErrMalformed, "transfer coding in a version without"), ErrNoLength)
	}
	return nil
}

// isToken reports whether a text is a token (RFC 9110 section 5.6.2): visible ASCII characters without delimiters.
func isToken(text []byte) bool {
	const delimiters = `"(),/:;<=>?@[\]{}`
	return len(text) > 0 && !bytes.ContainsFunc(text, func(c rune) bool { return c <= ' ' || c >= 0x7f }) && !bytes.ContainsAny(text, delimiters)
}

// hasControlByte reports whether a text has a byte that no field value and no reason phrase may have (RFC 9110 section 5.5).
func hasControlByte(text []byte) bool {
	return bytes.ContainsFunc(text, func(c rune) bool { return c < ' ' && c != '\t' || c == 0x7f })
}
