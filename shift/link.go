package shift

import (
	"time"

	"github.com/currantpier/currantpier/ident"
)

// linkWindow is the time over which an entry's traffic on a link is averaged; at most so much of the limit is saved up.
const linkWindow = 2 * time.Second

// Link keeps the traffic of one entry to another region within its part of the link's limit. The sizes of answers are
// known only when they have arrived, so the link counts afterwards: work that overdraws it closes it until the debt is
// paid off. It is not safe for concurrent use.
type Link struct {
	// rate is in bits per second; zero closes the link.
	rate float64
	// credit is in bits and negative while the link is overdrawn.
	credit float64
	// used is the mean traffic in bits per second.
	used float64
	at   time.Time
}

// SetLimit sets the capacity of the link, the part of it that steered traffic may use (Rules.LinkPart) and the number
// of live entries that share it.
func (l *Link) SetLimit(now time.Time, limit ident.Mbps, part float64, live int) {
	l.advance(now)
	l.rate = float64(limit) * 1e6 * part / float64(max(1, live))
	l.credit = min(l.credit, l.rate*linkWindow.Seconds())
}

// Open reports whether a request may cross the link now.
func (l *Link) Open(now time.Time) bool {
	l.advance(now)
	return l.rate > 0 && l.credit >= 0
}

// Count records traffic of the busier direction.
func (l *Link) Count(now time.Time, bytes int64) {
	l.advance(now)
	l.credit -= float64(bytes) * 8
	l.used += float64(bytes) * 8 / linkWindow.Seconds()
}

// Mbps returns the mean traffic in Mbit/s over the last seconds.
func (l *Link) Mbps(now time.Time) float64 {
	l.advance(now)
	return l.used / 1e6
}

func (l *Link) advance(now time.Time) {
	if l.at.IsZero() {
		l.at = now
	}
	d := now.Sub(l.at)
	if d <= 0 {
		return
	}
	l.at = now
	l.credit = min(l.rate*linkWindow.Seconds(), l.credit+l.rate*d.Seconds())
	l.used *= max(0, 1-float64(d)/float64(linkWindow))
}
