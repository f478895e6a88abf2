package outlet

import (
	"bytes"
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/currantpier/currantpier/codec"
)

// A target's path is blocked, so that a part of the request stays in the send buffer. Guards against a request that is delivered
// after it was given up: an order held back by a partition would run long after its caller was told that it failed.
func TestGivenUpRequestIsNotDelivered(t *testing.T) {
	const n = 256 << 10
	givenUp := make(chan struct{})
	read := make(chan error, 1)
	p, target := startTarget(t, func(nc net.Conn) {
		defer func() { _ = nc.Close() }()
		<-givenUp
		b, err := io.ReadAll(nc)
		if len(b) == n {
			err = errors.New("the whole request was delivered")
		}
		read <- err
	})
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, err := p.Do(ctx, target, Message{
		Method: "POST", Build: func() ([][]byte, error) { return [][]byte{bytes.Repeat([]byte("x"), n)}, nil },
		Matches: func(*codec.Response) bool { return true },
	})
	if !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("error %v, want that of the context", err)
	}
	close(givenUp)
	if err := <-read; !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the target read the given up request until %v, want a reset", err)
	}
}
