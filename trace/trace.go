// Package trace writes structured log lines without blocking the caller: lines pass through a bounded queue to a single
// writer, and each event is limited to a number of lines per second. Lines dropped by that limit are counted in the
// event's next line, lines dropped at a full queue in QueueCounts.
package trace

import (
	"context"
	"io"
	"runtime/debug"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/ring"
)

// Event is the kind of a log line. The constants below are the only kinds.
type Event string

// The events.
const (
	Start              Event = "start"
	Stop               Event = "stop"
	Reload             Event = "reload"
	DependencyLost     Event = "dependency-lost"
	DependencyRegained Event = "dependency-regained"
	Config             Event = "config"
	BadConfig          Event = "bad-config"
	Behind             Event = "behind"
	StaleReading       Event = "stale-reading"
	StoreRestored      Event = "store-restored"
	Evacuation         Event = "evacuation"
	StateAdopted       Event = "adopted"
	Targets            Event = "targets"
	Leaving            Event = "leaving"
	BackOff            Event = "back-off"
	Cold               Event = "cold"
	BadNotice          Event = "bad-notice"
	Registry           Event = "registry"
	Resumed            Event = "resumed"
	Members            Event = "members"
	BadEntry           Event = "bad-entry"
	Refused            Event = "refused"
	RefusedCustomer    Event = "refused-customer"
	Failed             Event = "failed"
	Retried            Event = "retried"
	Late               Event = "late"
	CallerLeft         Event = "caller-left"
	Served             Event = "served"
	QuotaRefused       Event = "quota-refused"
	QuotaReset         Event = "quota-reset"
	InternalFault      Event = "internal-fault"
)

const (
	// queueSize is the number of lines that can wait for the writer.
	queueSize = 512
	// maxLinesPerSecond limits the lines of one event.
	maxLinesPerSecond = 20
)

// maxValueBytes limits each value of a line. Errors quote what other processes have sent or stored.
const maxValueBytes = 4 << 10

// line is a queued log line.
type line struct {
	at     time.Time
	event  Event
	fields []any
}

// Log queues the log lines of a process. It is safe for concurrent use.
type Log struct {
	vm    ident.VM
	lines chan line
	stats ring.SendStats

	mu      sync.Mutex
	windows map[Event]*eventWindow
}

// eventWindow counts the lines of one event since start, for a second or until the event's next line after that.
type eventWindow struct {
	start          time.Time
	lines, dropped int
}

// New returns the log of a VM. Lines are queued until Run writes them.
func New(vm ident.VM) *Log {
	return &Log{vm: vm, lines: make(chan line, queueSize), windows: map[Event]*eventWindow{}}
}

// maxStackBytes limits the stack trace in a log line.
const maxStackBytes = 2 << 10

// AddPanic queues a line about a recovered panic. It must be called in the goroutine that panicked, so that the line
// has the stack of the panic.
func (l *Log) AddPanic(now time.Time, where string, value any) {
	stack := debug.Stack()
	l.Add(now, InternalFault, "where", where, "panic", value, "stack", string(stack[:min(len(stack), maxStackBytes)]))
}

// Add queues a line with alternating keys and values. It never blocks; lines above the limits are dropped.
func (l *Log) Add(now time.Time, event Event, fields ...any) {
	dropped, ok := l.admit(now, event)
	if !ok {
		return
	}
	if dropped > 0 {
		fields = append(fields, "dropped-before", dropped)
	}
	select {
	case l.lines <- line{now, event, fields}:
		l.stats.Sent()
	default:
		l.stats.Full()
	}
}

// admit reports whether the event's limit permits another line, and how many lines were dropped in the previous window.
func (l *Log) admit(now time.Time, event Event) (dropped int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.windows[event]
	if c == nil {
		c = &eventWindow{start: now}
		l.windows[event] = c
	}
	if now.Sub(c.start) >= time.Second {
		dropped = c.dropped
		*c = eventWindow{start: now}
	}
	if c.lines >= maxLinesPerSecond {
		c.dropped++
		return 0, false
	}
	c.lines++
	return dropped, true
}

// Run writes queued lines to w until ctx ends, and then those still in the queue.
func (l *Log) Run(ctx context.Context, w io.Writer) error {
	out := log.NewLogfmtLogger(w)
	for {
		select {
		case ln := <-l.lines:
			l.write(out, ln)
		case <-ctx.Done():
			for {
				select {
				case ln := <-l.lines:
					l.write(out, ln)
				default:
					return nil
				}
			}
		}
	}
}

func (l *Log) write(out log.Logger, ln line) {
	fields := []any{"ts", ln.at.UTC().Format("15:04:05.000"), "vm", l.vm, "event", string(ln.event)}
	for _, f := range ln.fields {
		fields = append(fields, shorten(f))
	}
	// An error of the log's own writer can't be reported anywhere.
	_ = out.Log(fields...)
}

// shorten returns a text or an error without what exceeds maxValueBytes, and other values unchanged.
func shorten(value any) any {
	text, ok := value.(string)
	if err, isError := value.(error); isError {
		text, ok = err.Error(), true
	}
	if !ok || len(text) <= maxValueBytes {
		return value
	}
	return strings.ToValidUTF8(text[:maxValueBytes], "") + "..."
}

// QueueCounts returns how many lines were queued and how many were dropped because the queue was full.
func (l *Log) QueueCounts() ring.Counts { return l.stats.Counts() }
