package proto

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/currantpier/currantpier/feed"
	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/ident"
)

func fullMessage() Message {
	info := VMInfo{VM: "riga-1", PeerAddress: "10.0.0.1:7660", CallerAddress: "10.0.0.1:8080", Place: ident.Place{Region: "riga", Domain: "riga-a"},
		Incarnation: 1764840000000, Capacity: 320}
	return Message{
		From: info, RequestMembers: true, VMs: []VMInfo{info, {VM: "riga-2", PeerAddress: "10.0.0.2:7660"}}, OperatorVersion: 7, ConfigVersion: 12,
		Heartbeats: []Heartbeat{{VM: KeyOf("riga-1"), Incarnation: 1764840000000, Count: 300, Ready: true}, {VM: KeyOf("riga-2"), Stopping: true}},
		Registry: &RegistryDelta{From: "riga-1", After: 3, Version: 9, Rows: []fleet.Row{
			{Entry: fleet.Entry{ID: "i-1", Service: "workshop", Address: "10.0.1.1:80", Place: info.Place, Slots: 6, Ready: true,
				WarmupLeft: 1500 * time.Millisecond, Sequence: 4, StartedUnixMS: 1764840000001}},
			{Entry: fleet.Entry{ID: "i-2"}, Removed: true, Lapsed: true},
			{Entry: fleet.Entry{ID: "i-6", WarmupLeft: time.Second, Assumed: true}},
		}, OperatorVersion: 8, OperatorSince: 6, Full: true},
		OperatorChange: &OperatorDelta{After: 2, Version: 8, Rows: []feed.Row{
			{Key: "config", Value: []byte("{}"), Version: 8}, {Key: "evacuate/riga-a", Version: 7, Removed: true},
		}, Full: true},
		Cold: []fleet.ColdReport{{ID: "i-3", StartedUnixMS: 1764840000002, Left: 2500 * time.Millisecond}, {ID: "i-4", Left: time.Microsecond, Assumed: true}, {ID: "i-5"}},
		Quota: &QuotaMessage{Incarnation: 1764840000000, Items: []QuotaItem{
			{Kind: QuotaRequest, Customer: "c-1", Number: 7, Count: 3, Demand: 12500, ReturnedNumber: 6, Returned: 2},
			{Kind: QuotaLoan, Customer: "c-2", Number: 8, Next: 20 * time.Millisecond, Share: QuotaShareUnits, MilliTokens: 1500},
		}},
		Loads: []fleet.LoadReport{{Target: 0xfedcba98, Load: 65_000, Pace: 255, Age: 420 * time.Millisecond}, {Target: 1}},
	}
}

// Guards against a field that is only encoded or only decoded.
func TestMessageRoundTrip(t *testing.T) {
	for name, m := range map[string]Message{"empty": {}, "full": fullMessage()} {
		got, err := DecodeMessage(m.Append(nil))
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if d := cmp.Diff(m, got); d != "" {
			t.Errorf("%s: %s", name, d)
		}
	}
}

// Guards against changes of the operators' table in datagrams so large that links drop them, and against compressed
// messages that can't be decoded.
func TestDatagramRoundTrip(t *testing.T) {
	routes := ""
	for i := range 40 {
		routes += fmt.Sprintf(`{"Name":"r-%d","Host":"shop%d.example","Prefix":"/p%d/","TimeoutS":3,"AimS":0.8,"MaxAttempts":2},`, i, i%3, i*7919)
	}
	large := fullMessage()
	large.OperatorChange.Rows[0].Value = []byte(routes)
	for name, m := range map[string]Message{"small": {From: VMInfo{VM: "a"}}, "large": large} {
		b := AppendDatagram(nil, &m)
		got, err := DecodeDatagram(b)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if d := cmp.Diff(m, got); d != "" {
			t.Errorf("%s: %s", name, d)
		}
		if plainSize := len(m.Append(nil)); plainSize > minDeflateBytes && len(b) > plainSize/2 {
			t.Errorf("%s: %d bytes, want at most half of the plain %d", name, len(b), plainSize)
		}
	}
	whole := AppendDatagram(nil, &large)
	for n := range whole {
		_, _ = DecodeDatagram(whole[:n]) // none may panic
	}
}

// Guards against a truncated or foreign datagram that crashes the process or makes it allocate without bound.
func TestDecodeMalformed(t *testing.T) {
	m := fullMessage()
	whole := m.Append(nil)
	for n := range whole {
		_, _ = DecodeMessage(whole[:n]) // some prefixes are valid messages; none may panic
	}
	broken := Message{Heartbeats: []Heartbeat{{VM: 1}}}
	b := append(broken.Append(nil), (&Message{Heartbeats: []Heartbeat{{}, {}}}).Append(nil)...)
	b = append(b, 0x32, 3, 0, 0, 0) // three flags for two heartbeats
	if _, err := DecodeMessage(b); err == nil {
		t.Error("columns of different lengths: no error")
	}
	for _, it := range []QuotaItem{{Share: QuotaShareUnits + 1}, {Next: maxQuotaNext + time.Millisecond}} {
		if _, err := DecodeMessage((&Message{Quota: &QuotaMessage{Items: []QuotaItem{it}}}).Append(nil)); err == nil {
			t.Errorf("quota item %+v: no error", it)
		}
	}
	if _, err := DecodeMessage([]byte("GET / HTTP/1.1\r\n")); err == nil {
		t.Error("text that is no message: no error")
	}
}
