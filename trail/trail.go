// Package trail tells the story of one request from the log lines of many VMs: what was decided about it, and what each
// VM that touched it believed at that time and for how long.
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
	At     time.Duration // time of day
	VM     string
	Event  string
	Fields []Field
}

// Field is one key and value.
type Field struct{ Key, Value string }

// lineMost bounds a log line in bytes.
const lineMost = 1 << 20

// Read decodes the log lines of r and skips all other lines. Whatever stands before the time of a line is ignored, as
// collectors of logs add prefixes of their own.
func Read(r io.Reader) ([]Line, error) {
	var lines []Line
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, lineMost)
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

// decode reports false for a line that is not one of ours.
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

func (l *Line) field(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// beliefs are the events that say what a VM believes, in the order in which they are told.
var beliefs = []string{"config", "registry", "members", "evacuation", "dependency-lost", "dependency-regained", "stop"}

// Explain writes the story of the request with the given id. It reports whether any line names the request.
func Explain(w io.Writer, lines []Line, id string) (bool, error) {
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(a, b Line) int { return int(a.At - b.At) })
	believed := map[string]map[string]Line{}
	told := false
	for _, l := range lines {
		if slices.Contains(beliefs, l.Event) {
			if believed[l.VM] == nil {
				believed[l.VM] = map[string]Line{}
			}
			believed[l.VM][l.Event] = l
		}
		if l.field("id") != id {
			continue
		}
		told = true
		if err := tell(w, l, believed[l.VM], lines); err != nil {
			return told, errors.Wrap(err, "write")
		}
	}
	return told, nil
}

func tell(w io.Writer, l Line, believed map[string]Line, all []Line) error {
	if _, err := fmt.Fprintf(w, "%s %s %s%s\n", clock(l.At), l.VM, l.Event, rest(l, "id")); err != nil {
		return err
	}
	for _, event := range beliefs {
		b, ok := believed[event]
		if !ok {
			continue
		}
		if _, err := fmt.Fprintf(w, "    believed for %v: %s%s\n", (l.At - b.At).Round(time.Millisecond), event, rest(b, "")); err != nil {
			return err
		}
	}
	target := l.field("target")
	for _, b := range all {
		if target == "" || b.VM != l.VM || b.Event != "targets" || b.field("target") != target {
			continue
		}
		when := "before"
		if b.At > l.At {
			when = "after"
		}
		gap := max(l.At-b.At, b.At-l.At).Round(time.Millisecond)
		if _, err := fmt.Fprintf(w, "    target, %v %s:%s\n", gap, when, rest(b, "target")); err != nil {
			return err
		}
	}
	return nil
}

func rest(l Line, without string) string {
	var b strings.Builder
	for _, f := range l.Fields {
		if f.Key != without {
			fmt.Fprintf(&b, " %s=%q", f.Key, f.Value)
		}
	}
	return b.String()
}

func clock(d time.Duration) string {
	return time.Unix(0, 0).UTC().Add(d).Format("15:04:05.000")
}
