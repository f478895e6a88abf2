package once

import (
	"testing"

	"github.com/currantpier/currantpier/store"
)

// Guards against a malformed journal row from which callers get a recorded answer that no target has given: one without a
// status became 200.
func TestMalformedEntryIsNoAnswer(t *testing.T) {
	for value, valid := range map[string]bool{
		`[{"id":"j.a.1.1.x","state":"answered","status":200}]`:                                     true,
		`[{"id":"j.a.1.1.x","state":"answered","status":503}]`:                                     true,
		`[{"id":"j.a.1.1.x","state":"unknown"}]`:                                                   true,
		`[{"id":"j.a.1.1.x","state":"answered"}]`:                                                  false,
		`[{"id":"j.a.1.1.x","state":"answered","status":0}]`:                                       false,
		`[{"id":"j.a.1.1.x","state":"answered","status":-1}]`:                                      false,
		`[{"id":"j.a.1.1.x","state":"answered","status":100}]`:                                     false,
		`[{"id":"j.a.1.1.x","state":"answered","status":70000}]`:                                   false,
		`[{"id":"j.a.1.1.x","state":"answered","status":200,"content-type":"a\r\nSet-Cookie: b"}]`: false,
	} {
		if _, err := decodeEntries(store.Row{Value: []byte(value)}); (err == nil) != valid {
			t.Errorf("%s: error %v", value, err)
		}
	}
}
