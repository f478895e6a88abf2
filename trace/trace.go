// Package trace writes structured log lines without ever blocking the caller: lines pass through a bounded ring to one
// writer, and each event has a limit per second. What was dropped is counted and said in the event's next line.
package trace

import (
	"context"
	"io"
	"runtime/debug"
	"sync"
	"time"

	"github.com/go-kit/log"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/ring"
)

// Event names a kind of line. The list is closed.
type Event string

// The events.
const (
	Start      Event = "start"
	Stop       Event = "stop"
	Reload     Event = "reload"
	Lost       Event = "dependency-lost"
	Regained   Event = "dependency-regained"
	Config     Event = "config"
	Evacuation Event = "evacuation"
	Adopted    Event = "adopted"
	Targets    Event = "targets"
	Registry   Event = "registry"
	Resumed    Event = "resumed"
	Members    Event = "members"
	BadEntry   Event = "bad-entry"
	Refused    Event = "refused"
	Failed     Event = "failed"
	Retried    Event = "retried"
	Late       Event = "late"
	Left       Event = "caller-left"
	Served     Event = "served"
	Fault      Event = "internal-fault"
)

const (
	// ringSize is the number of lines that wait for the writer.
	ringSize = 512
	// perSecond is the number of lines of one event in a second.
	perSecond = 20
)

// line is one line on its way to the writer.
type line struct {
	at     time.Time
	event  Event
	fields []any
}

// Log accepts lines from all goroutines of a process.
type Log struct {
	vm    ident.VM
	lines chan line
	stats ring.Stats

	mu     sync.Mutex
	events map[Event]*eventCount
}

type eventCount struct {
	since          time.Time
	lines, dropped int
}

// New returns the log of a VM. Its lines wait until Run writes them.
func New(vm ident.VM) *Log {
	return &Log{vm: vm, lines: make(chan line, ringSize), events: map[Event]*eventCount{}}
}

// stackMost bounds the stack of a panic in a line, in bytes.
const stackMost = 2 << 10

// Panicked queues a line about a recovered panic. It is called in the goroutine that panicked, so that the line has its
// stack.
func (l *Log) Panicked(now time.Time, where string, value any) {
	stack := debug.Stack()
	l.Add(now, Fault, "where", where, "panic", value, "stack", string(stack[:min(len(stack), stackMost)]))
}

// Add queues a line with fields given as key and value in turn. It never blocks.
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

func (l *Log) admit(now time.Time, event Event) (dropped int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.events[event]
	if c == nil {
		c = &eventCount{since: now}
		l.events[event] = c
	}
	if now.Sub(c.since) >= time.Second {
		dropped = c.dropped
		*c = eventCount{since: now}
	}
	if c.lines >= perSecond {
		c.dropped++
		return 0, false
	}
	c.lines++
	return dropped, true
}

// Run writes lines to w until ctx ends, and then those that wait.
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
	fields := append([]any{"ts", ln.at.UTC().Format("15:04:05.000"), "vm", l.vm, "event", string(ln.event)}, ln.fields...)
	// There is nowhere to report a log that cannot be written.
	_ = out.Log(fields...)
}

// Counts returns how many lines were queued and how many were dropped because the ring was full.
func (l *Log) Counts() ring.Counts { return l.stats.Counts() }
