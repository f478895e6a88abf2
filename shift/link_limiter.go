package shift

import (
	"time"

	"github.com/currantpier/currantpier/ident"
)

// linkAverageWindow is the period over which an entry's traffic on a link is averaged. Unused capacity accumulates for
// at most this long.
const linkAverageWindow = 2 * time.Second

// LinkLimiter is a token bucket that limits the traffic of one entry to another region. The size of a response is known only
// after it has arrived, so traffic is charged afterwards: the balance may become negative, and the link is closed until
// it is replenished. It is not safe for concurrent use.
type LinkLimiter struct {
	// bitsPerSecond is the refill rate; zero closes the link.
	bitsPerSecond float64
	// creditBits is the token balance in bits; while it is negative, the link is closed.
	creditBits float64
	// usedBitsPerSecond is the mean traffic over linkAverageWindow.
	usedBitsPerSecond float64
	updatedAt         time.Time
}

// SetLimit sets the rate to the entry's equal part of the capacity: limit is the capacity of the link, part the
// fraction of it that steered traffic may use (Settings.LinkFraction), and live the number of live entries that share it.
func (l *LinkLimiter) SetLimit(now time.Time, limit ident.Mbps, part float64, live int) {
	l.advance(now)
	l.bitsPerSecond = float64(limit) * 1e6 * part / float64(max(1, live))
	l.creditBits = min(l.creditBits, l.bitsPerSecond*linkAverageWindow.Seconds())
}

// Allow reports whether a new request may use the link now.
func (l *LinkLimiter) Allow(now time.Time) bool {
	l.advance(now)
	return l.bitsPerSecond > 0 && l.creditBits >= 0
}

// Charge charges traffic in bytes, measured in the busier direction, to the link.
func (l *LinkLimiter) Charge(now time.Time, bytes int64) {
	l.advance(now)
	l.creditBits -= float64(float64(bytes) * 8)
	l.usedBitsPerSecond += float64(float64(bytes) * 8 / linkAverageWindow.Seconds())
}

// Mbps returns the mean traffic in Mbit/s over about the last 2 s (linkAverageWindow).
func (l *LinkLimiter) Mbps(now time.Time) float64 {
	l.advance(now)
	return l.usedBitsPerSecond / 1e6
}

// advance refills the bucket and decays the mean traffic for the time since the last call.
func (l *LinkLimiter) advance(now time.Time) {
	if l.updatedAt.IsZero() {
		l.updatedAt = now
	}
	elapsed := now.Sub(l.updatedAt)
	if elapsed <= 0 {
		return
	}
	l.updatedAt = now
	l.creditBits = min(l.bitsPerSecond*linkAverageWindow.Seconds(), l.creditBits+float64(l.bitsPerSecond*elapsed.Seconds()))
	l.usedBitsPerSecond *= max(0, 1-float64(elapsed)/float64(linkAverageWindow))
}
