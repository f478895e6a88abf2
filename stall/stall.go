// Package stall bounds calls with large answers by how fast these arrive. A fixed time for a whole answer is a bound on its
// size: over a slow or busy link, a larger one never arrives, however often the call is repeated.
package stall

import (
	"context"
	"io"
	"time"
)

// MinRate is the least mean rate of an answer in bytes per second. A link of 10 Mbit/s has it for each of 30 connections.
const MinRate = 32 << 10

// Guard cancels a call whose answer doesn't begin in time, stops arriving, or arrives more slowly than MinRate. It is for one
// call, and only for the goroutine that makes the call.
type Guard struct {
	quiet  time.Duration
	timer  *time.Timer
	cancel context.CancelCauseFunc

	body io.Reader
	// begun is when the answer began, received the number of bytes of its body so far.
	begun    time.Time
	received int
}

// New returns the guard of a call, and the context for the call. The answer must begin within first and then never pause for
// longer than quiet. Stop must be called after the call.
func New(ctx context.Context, first, quiet time.Duration) (*Guard, context.Context) {
	ctx, cancel := context.WithCancelCause(ctx)
	g := &Guard{quiet: quiet, cancel: cancel}
	g.timer = time.AfterFunc(first, func() { cancel(context.DeadlineExceeded) })
	return g, ctx
}

// Stop ends the call and its context.
func (g *Guard) Stop() {
	g.timer.Stop()
	g.cancel(context.Canceled)
}

// Answer returns the reader for the body of the answer, which has begun.
func (g *Guard) Answer(body io.Reader) io.Reader {
	g.body, g.begun = body, time.Now()
	g.timer.Reset(g.quiet)
	return g
}

// Read implements io.Reader.
func (g *Guard) Read(b []byte) (int, error) {
	n, err := g.body.Read(b)
	if n > 0 {
		g.received += n
		g.timer.Reset(patience(time.Since(g.begun), g.received, g.quiet))
	}
	return n, err
}

// patience returns how long to wait for the next bytes of an answer, of which some were received in the time since it began.
func patience(elapsed time.Duration, received int, quiet time.Duration) time.Duration {
	allowed := quiet + time.Duration(received)*time.Second/MinRate
	return max(min(quiet, allowed-elapsed), 0)
}
