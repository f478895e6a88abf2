package join

import (
	"testing"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/proto"
)

// Guards against a VM that starts while the store is down and restores what the operators have removed since, or
// applies a partial state.
func TestUsableStates(t *testing.T) {
	change := func(v ident.Version, whole bool) *proto.OperatorDelta {
		return &proto.OperatorDelta{Version: v, Whole: whole}
	}
	news := func(whole bool) *proto.RegistryDelta { return &proto.RegistryDelta{Full: whole} }
	for _, tt := range []struct {
		name   string
		m      proto.Message
		path   string
		newest ident.Version
		ok     bool
	}{
		{"whole state", proto.Message{OperatorChange: change(7, true), Registry: news(true)}, StatePath, 7, true},
		{"older than what a peer has seen", proto.Message{OperatorChange: change(6, true), Registry: news(true)}, StatePath, 7, false},
		{"changes only", proto.Message{OperatorChange: change(7, false), Registry: news(true)}, StatePath, 7, false},
		{"no configuration", proto.Message{Registry: news(true)}, StatePath, 0, false},
		{"no registry", proto.Message{OperatorChange: change(7, true)}, StatePath, 7, false},
		{"departures", proto.Message{Registry: news(false)}, DeparturesPath, 7, true},
		{"empty message", proto.Message{}, DeparturesPath, 0, false},
	} {
		if err := checkAnswer(&tt.m, tt.path, tt.newest); (err == nil) != tt.ok {
			t.Errorf("%s: %v", tt.name, err)
		}
	}
}
