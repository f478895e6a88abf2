package state

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/currantpier/currantpier/feed"
	"github.com/currantpier/currantpier/fleet"
)

// warningDecoder adds two warnings to configurations.
type warningDecoder struct{ configDecoder }

func (d warningDecoder) DecodeChange(r feed.Row) (*fleet.Change, error) {
	c, err := d.configDecoder.DecodeChange(r)
	c.Config.Warnings = []string{"one", "two"}
	return c, err
}

// Guards against a configuration that is withdrawn because a later one can't be decoded, against faults that nobody is told of, and
// against a log line about the same fault with each reading of the table.
func TestBadConfigIsLoggedOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	s, _ := configState(now)
	s.cfg.Decoder = warningDecoder{}
	for _, row := range []feed.Row{configRow("2", 6), configRow("2", 6), configRow("x", 7), configRow("x", 7), configRow("y", 8), configRow("3", 9)} {
		full := readingOf(now, Operator, 0, row.Version, true)
		full.rows.Rows = []feed.Row{row}
		s.applyReading(full)
		if row.Version < 9 && s.view.Version() != 2 {
			t.Errorf("after row %q: configuration %d is in force, want 2", row.Value, s.view.Version())
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	var b strings.Builder
	if err := s.cfg.Log.Run(ctx, &b); err != nil || strings.Count(b.String(), "event=bad-config ") != 4 {
		t.Errorf("log %s, error %v; want four lines bad-config", b.String(), err)
	}
	for _, want := range []string{`version=2 warnings=2 text="one; two"`, "rejected=config store-version=7", "rejected=config store-version=8", "version=3 warnings=2"} {
		if strings.Count(b.String(), "event=bad-config "+want) != 1 {
			t.Errorf("log %s, want one line with %s", b.String(), want)
		}
	}
}
