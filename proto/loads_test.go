package proto

import (
	"bytes"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/currantpier/currantpier/fleet"
)

// Guards against a report that looks newer after it was sent, and against an age that wraps around.
func TestLoadReportAge(t *testing.T) {
	for age, want := range map[time.Duration]time.Duration{
		-time.Second: 0, 0: 0, time.Nanosecond: 10 * time.Millisecond, 490 * time.Millisecond: 490 * time.Millisecond,
		491 * time.Millisecond: 500 * time.Millisecond, time.Hour: 2550 * time.Millisecond,
	} {
		m := Message{Loads: []fleet.LoadReport{{Target: 1, Age: age}}}
		got, err := DecodeMessage(m.Append(nil))
		if err != nil || got.Loads[0].Age != want {
			t.Errorf("age %v: %+v, error %v; want %v", age, got.Loads, err, want)
		}
	}
}

// Guards against a part of malformed reports that is applied, and against a message whose reports hold up the receiver's requests.
func TestMalformedLoadReports(t *testing.T) {
	for _, tt := range []struct {
		name  string
		sizes []int
		ok    bool
	}{
		{"none", []int{0}, true}, {"one", []int{8}, true}, {"most", []int{8 * MaxLoadReports}, true}, {"cut", []int{15}, false},
		{"too many", []int{8 * (MaxLoadReports + 1)}, false}, {"too many in two fields", []int{8 * MaxLoadReports, 8}, false},
		{"second field cut", []int{8, 7}, false},
	} {
		var b []byte
		for _, n := range tt.sizes {
			b = appendMessage(b, fieldLoads, bytes.Repeat([]byte{1}, n))
		}
		m, err := DecodeMessage(b)
		if (err == nil) != tt.ok || err != nil && cmp.Diff(Message{}, m) != "" {
			t.Errorf("%s: %d reports, error %v", tt.name, len(m.Loads), err)
		}
	}
}
