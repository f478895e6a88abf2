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

// rawLines returns the lines that a reader returns next, without consuming them.
type rawLines struct {
	br *bufio.Reader
	// n is the number of bytes of the lines so far.
	n int
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
			return bytes.TrimSuffix(line, []byte("\r")), nil
		}
	}
}

// checkStatusLine waits for the status line of the response that br returns next and checks what fasthttp accepts although it is no
// status line. It consumes nothing. Like fasthttp, it skips empty lines.
func checkStatusLine(br *bufio.Reader) error {
	l := rawLines{br: br}
	for {
		line, err := l.next()
		if err != nil {
			return err
		}
		if len(line) > 0 {
			return checkStatus(line)
		}
	}
}

// checkStatus returns an error if the status of a status line is out of range. fasthttp takes 000 for 200.
func checkStatus(line []byte) error {
	_, rest, _ := bytes.Cut(line, []byte(" "))
	text, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	if n, err := strconv.Atoi(string(text)); err != nil || n < minStatus || n > maxStatus {
		return errors.Wrapf(ErrMalformed, "status %.20q", text)
	}
	return nil
}
