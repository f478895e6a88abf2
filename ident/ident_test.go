package ident

import (
	"strings"
	"testing"
	"time"
)

// Malformed ids and non-canonical spellings must be rejected: an id with two spellings could run an order twice.
func TestRequestIDParse(t *testing.T) {
	valid := NewTicket(Journalled, "riga-1", 77, time.Unix(1200, 0)).ID("a-1")
	tests := []struct {
		id   RequestID
		want bool
	}{
		{valid, true},
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
	ticket, _ := valid.Parse()
	if ticket.Owner != "riga-1" || ticket.Incarnation != 77 || ticket.Issued() != time.Unix(1200, 0) {
		t.Errorf("Parse(%q) = %+v", valid, ticket)
	}
}

// An accepted id must start with the canonical text of its ticket.
func FuzzRequestIDParse(f *testing.F) {
	f.Add("j.riga-1.25.20.x")
	f.Fuzz(func(t *testing.T, s string) {
		ticket, ok := RequestID(s).Parse()
		if ok && !strings.HasPrefix(s, ticket.String()+".") {
			t.Errorf("%q parsed as %q", s, ticket)
		}
	})
}
