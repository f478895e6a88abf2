package ident

import (
	"strings"
	"testing"
	"time"
)

// Guards against ids that two owners could both claim or that have two spellings.
func TestRequestIDParse(t *testing.T) {
	good := NewTicket(Journalled, "riga-1", 77, time.Unix(1200, 0)).ID("a-1")
	tests := []struct {
		id   RequestID
		want bool
	}{
		{good, true},
		{"j.riga-1.25.20.x", true},
		{"d.riga-1.25.20.x", true},
		{"x.riga-1.25.20.x", false},
		{"j..25.20.x", false},
		{"j.riga-1.25.20.", false},
		{"j.riga-1.25.20", false},
		{"j.riga-1.025.20.x", false},
		{"j.riga-1.25.020.x", false},
		{"j.riga-1.25.-1.x", false},
		{"j.riga-1.25.20.x y", false},
		{"j.riga-1.25.20.x.y", false},
		{"j.riga-1.25.20." + RequestID(strings.Repeat("s", MaxSuffix+1)), false},
		{"", false},
	}
	for _, tt := range tests {
		if _, ok := tt.id.Parse(); ok != tt.want {
			t.Errorf("Parse(%q) = %v, want %v", tt.id, ok, tt.want)
		}
	}
	tk, _ := good.Parse()
	if tk.Owner != "riga-1" || tk.Incarnation != 77 || tk.Issued() != time.Unix(1200, 0) {
		t.Errorf("Parse(%q) = %+v", good, tk)
	}
}

func FuzzRequestIDParse(f *testing.F) {
	f.Add("j.riga-1.25.20.x")
	f.Fuzz(func(t *testing.T, s string) {
		tk, ok := RequestID(s).Parse()
		if ok && !strings.HasPrefix(s, tk.String()+".") {
			t.Errorf("%q parsed as %q", s, tk)
		}
	})
}
