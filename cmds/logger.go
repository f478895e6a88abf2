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
	// eventsPerPeriod lines of one event are written in each period. A fault that hits every request must not fill the
	// log or slow the daemon down.
	eventsPerPeriod = 50
	limitPeriod     = 10 * time.Second
)

// logger writes logfmt to w, from the given level on, with a limit for each event.
func logger(w io.Writer, lvl config.Level) log.Logger {
	l := log.NewLogfmtLogger(log.NewSyncWriter(w))
	l = log.With(l, "ts", log.DefaultTimestampUTC)
	l = &limitedLogger{next: l, clock: time.Now, events: map[any]*eventCount{}}
	return level.NewFilter(l, level.Allow(level.ParseDefault(string(lvl), level.InfoValue())))
}

// limitedLogger drops lines of an event above its limit and says with the first line of the next period how many.
type limitedLogger struct {
	next  log.Logger
	clock func() time.Time

	mu sync.Mutex
	// events has one element for each value of the key "event", which are few and fixed.
	events map[any]*eventCount
}

type eventCount struct {
	since          time.Time
	lines, dropped int
}

// Log implements log.Logger.
func (l *limitedLogger) Log(keyvals ...any) error {
	for i := 0; i+1 < len(keyvals); i += 2 {
		if keyvals[i] != "event" {
			continue
		}
		dropped, ok := l.admit(keyvals[i+1])
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

// admit reports whether a line of the event may be written, and how many were dropped in the period before.
func (l *limitedLogger) admit(event any) (dropped int, ok bool) {
	now := l.clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	c, known := l.events[event]
	if !known {
		c = &eventCount{since: now}
		l.events[event] = c
	}
	if now.Sub(c.since) >= limitPeriod {
		dropped = c.dropped
		*c = eventCount{since: now}
	}
	if c.lines >= eventsPerPeriod {
		c.dropped++
		return 0, false
	}
	c.lines++
	return dropped, true
}
