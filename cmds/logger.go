package cmds

import (
	"io"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/currantpier/currantpier/config"
)

const (
	// maxLinesPerEvent is the maximum number of lines of one event in each rateLimitPeriod. A failure that affects every
	// request must not fill the log or slow down the daemon.
	maxLinesPerEvent = 50
	rateLimitPeriod  = 10 * time.Second
)

// newLogger returns a logger that writes lines of at least the given level to w in logfmt, with a rate limit per event.
func newLogger(w io.Writer, lvl config.Level) log.Logger {
	l := log.NewLogfmtLogger(log.NewSyncWriter(w))
	l = log.With(l, "ts", log.DefaultTimestampUTC)
	l = &rateLimitedLogger{next: l, now: time.Now, events: map[any]*eventCount{}}
	return level.NewFilter(l, level.Allow(level.ParseDefault(string(lvl), level.InfoValue())))
}

// rateLimitedLogger drops lines of an event above its limit. The first line that is written in a later period has the
// number of dropped lines in its field "dropped-before".
type rateLimitedLogger struct {
	next log.Logger
	now  func() time.Time

	mu sync.Mutex
	// events has one element for each value of the key "event". It is bounded, since the events are constants.
	events map[any]*eventCount
}

// eventCount counts the lines of one event since the start of its current period.
type eventCount struct {
	periodStart    time.Time
	lines, dropped int
}

// Log implements log.Logger.
func (l *rateLimitedLogger) Log(keyvals ...any) error {
	for i := 0; i+1 < len(keyvals); i += 2 {
		if keyvals[i] != "event" {
			continue
		}
		dropped, ok := l.allow(keyvals[i+1])
		if !ok {
			return nil
		}
		if dropped > 0 {
			keyvals = append(keyvals[:len(keyvals):len(keyvals)], "dropped-before", dropped)
		}
		break
	}
	return l.next.Log(keyvals...)
}

// allow reports whether a line of the event may be written. dropped is the number of lines dropped in the event's
// previous period if this line starts a new one.
func (l *rateLimitedLogger) allow(event any) (dropped int, ok bool) {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	c, known := l.events[event]
	if !known {
		c = &eventCount{periodStart: now}
		l.events[event] = c
	}
	if now.Sub(c.periodStart) >= rateLimitPeriod {
		dropped = c.dropped
		*c = eventCount{periodStart: now}
	}
	if c.lines >= maxLinesPerEvent {
		c.dropped++
		return 0, false
	}
	c.lines++
	return dropped, true
}
