package join

import (
	"testing"
	"time"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/proto"
)

// Guards against a VM that starts while the store is down and restores what the operators have removed since, or
// applies a partial state.
func TestUsableStates(t *testing.T) {
	operator := func(v ident.Version, whole bool) *proto.OperatorDelta {
		return &proto.OperatorDelta{Version: v, Full: whole}
	}
	registry := func(whole bool) *proto.RegistryDelta { return &proto.RegistryDelta{Full: whole} }
	for _, tt := range []struct {
		name   string
		m      proto.Message
		path   string
		newest ident.Version
		ok     bool
	}{
		{"whole state", proto.Message{OperatorChange: operator(7, true), Registry: registry(true)}, StatePath, 7, true},
		{"older than what a peer has seen", proto.Message{OperatorChange: operator(6, true), Registry: registry(true)}, StatePath, 7, false},
		{"changes only", proto.Message{OperatorChange: operator(7, false), Registry: registry(true)}, StatePath, 7, false},
		{"no configuration", proto.Message{Registry: registry(true)}, StatePath, 0, false},
		{"no registry", proto.Message{OperatorChange: operator(7, true)}, StatePath, 7, false},
		{"departures", proto.Message{Registry: registry(false)}, DeparturesPath, 7, true},
		{"empty message", proto.Message{}, DeparturesPath, 0, false},
	} {
		if err := checkResponse(&tt.m, tt.path, tt.newest); (err == nil) != tt.ok {
			t.Errorf("%s: %v", tt.name, err)
		}
	}
}

// Simulates a VM that the store has refused for a minute without any change, and that then hears of one. Guards against a
// VM that waits up to 8 s for its next request although it knows that its configuration is old.
func TestCatchUpStartsWhenAChangeIsMissed(t *testing.T) {
	now := time.Unix(1000, 0)
	c := catchUpSchedule{pause: minCatchUpPause}
	same := &proto.Message{Registry: &proto.RegistryDelta{Version: 5}, OperatorChange: &proto.OperatorDelta{Version: 4}}
	requests := 0
	for end := now.Add(time.Minute); now.Before(end); now = now.Add(minCatchUpPause) {
		if c.due(now, true, false) {
			requests++
			c.record(now, same, nil)
		}
	}
	if requests > 15 {
		t.Errorf("%d requests in a minute without a change", requests)
	}
	if c.due(now.Add(minCatchUpPause), true, false) {
		t.Fatal("the pause has not grown")
	}
	if !c.due(now.Add(minCatchUpPause), true, true) {
		t.Error("a VM that lacks a change waits out the pause")
	}
	if c.due(now.Add(time.Hour), false, true) {
		t.Error("a VM that reads the store requests another VM's state")
	}
}
