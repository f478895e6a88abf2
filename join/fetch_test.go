package join

import (
	"testing"

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
