// Package trail reconstructs the history of one request from the logs of many VMs in the format of package trace: every
// log line with the request's id, together with the state that the VM had last logged before it and the age of that
// state.
package trail

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logfmt/logfmt"
)

// Line is one decoded log line.
type Line struct {
	// At is the time of day as the duration since midnight UTC. Log lines have no date.
	At     time.Duration
	VM     string
	Event  string
	Fields []Field
}

// Field is a key and its value. The keys ts, vm and event are not among the Fields of a Line.
type Field struct{ Key, Value string }

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// Read decodes the log lines of r and skips lines in other formats. Text before the "ts=" of a line is ignored, since
// log collectors add prefixes. A line longer than 1 MiB is an error.
func Read(r io.Reader) ([]Line, error) {
	var lines []Line
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLineBytes)
	for sc.Scan() {
		text := sc.Text()
		i := strings.Index(text, "ts=")
		if i < 0 {
			continue
		}
		if l, ok := decode(text[i:]); ok {
			lines = append(lines, l)
		}
	}
	return lines, errors.Wrap(sc.Err(), "read log")
}

// decode parses a logfmt line. It reports false if the text is not valid logfmt, its time is malformed or it has no
// event.
func decode(text string) (Line, bool) {
	var l Line
	d := logfmt.NewDecoder(strings.NewReader(text))
	if !d.ScanRecord() {
		return l, false
	}
	for d.ScanKeyval() {
		k, v := string(d.Key()), string(d.Value())
		switch k {
		case "ts":
			at, err := time.Parse("15:04:05.000", v)
			if err != nil {
				return l, false
			}
			l.At = time.Duration(at.Hour())*time.Hour + time.Duration(at.Minute())*time.Minute +
				time.Duration(at.Second())*time.Second + time.Duration(at.Nanosecond())
		case "vm":
			l.VM = v
		case "event":
			l.Event = v
		default:
			l.Fields = append(l.Fields, Field{k, v})
		}
	}
	return l, d.Err() == nil && l.Event != ""
}

// field returns the value of the first field with the given key, or "".
func (l *Line) field(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// stateEvents are the events that log a change of a VM's state, in the order in which they are printed.
var stateEvents = []string{"config", "registry", "members", "evacuation", "dependency-lost", "dependency-regained", "stop"}

// Explain writes the history of the request with the given id to w. It reports whether any line has that id.
func Explain(w io.Writer, lines []Line, id string) (bool, error) {
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(a, b Line) int { return int(a.At - b.At) })
	latest := map[string]map[string]Line{}
	found := false
	for _, l := range lines {
		if slices.Contains(stateEvents, l.Event) {
			if latest[l.VM] == nil {
				latest[l.VM] = map[string]Line{}
			}
			latest[l.VM][l.Event] = l
		}
		if l.field("id") != id {
			continue
		}
		found = true
		if err := writeEvent(w, l, latest[l.VM], lines); err != nil {
			return found, errors.Wrap(err, "write")
		}
	}
	return found, nil
}

// writeEvent writes a log line of the request, the latest state events of its VM, and every "targets" event of that VM
// for the target of the line, before and after it.
func writeEvent(w io.Writer, l Line, latest map[string]Line, all []Line) error {
	if _, err := fmt.Fprintf(w, "%s %s %s%s\n", formatTimeOfDay(l.At), l.VM, l.Event, formatFields(l, "id")); err != nil {
		return err
	}
	for _, event := range stateEvents {
		state, ok := latest[event]
		if !ok {
			continue
		}
		if _, err := fmt.Fprintf(w, "    believed for %v: %s%s\n", (l.At - state.At).Round(time.Millisecond), event, formatFields(state, "")); err != nil {
			return err
		}
	}
	target := l.field("target")
	for _, other := range all {
		if target == "" || other.VM != l.VM || other.Event != "targets" || other.field("target") != target {
			continue
		}
		relation := "before"
		if other.At > l.At {
			relation = "after"
		}
		distance := max(l.At-other.At, other.At-l.At).Round(time.Millisecond)
		if _, err := fmt.Fprintf(w, "    target, %v %s:%s\n", distance, relation, formatFields(other, "target")); err != nil {
			return err
		}
	}
	return nil
}

// formatFields returns the fields of l as key="value" pairs, each preceded by a space, without those named omitKey.
func formatFields(l Line, omitKey string) string {
	var b strings.Builder
	for _, f := range l.Fields {
		if f.Key != omitKey {
			fmt.Fprintf(&b, " %s=%q", f.Key, f.Value)
		}
	}
	return b.String()
}

func formatTimeOfDay(sinceMidnight time.Duration) string {
	return time.Unix(0, 0).UTC().Add(sinceMidnight).Format("15:04:05.000")
}
