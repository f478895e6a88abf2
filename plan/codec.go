package plan

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/currantpier/currantpier/ident"
	"github.com/currantpier/currantpier/kinds"
)

// Encode returns the JSON form of t.
func Encode(t TrafficPlan) []byte {
	b, _ := json.Marshal(t) // no field of TrafficPlan fails to encode
	return b
}

// Decode parses the output of Encode. It returns an error of kind BadRequest if b isn't the JSON form of a TrafficPlan. It
// doesn't check the content; see Validate.
func Decode(b []byte) (TrafficPlan, error) {
	var t TrafficPlan
	if err := json.Unmarshal(b, &t); err != nil {
		return TrafficPlan{}, kinds.Wrap(kinds.BadRequest, err, "decode traffic plan")
	}
	return t, nil
}

// DecodeVersion decodes and validates the plan of a document of version v. A plan that states another version is refused:
// under a later version than its own it would keep every newer plan out.
func DecodeVersion(b []byte, v ident.Version) (TrafficPlan, error) {
	t, err := Decode(b)
	if err != nil {
		return TrafficPlan{}, err
	}
	if t.Version != v {
		return TrafficPlan{}, kinds.Errorf(kinds.BadRequest, "plan version %d differs from document version %d", t.Version, v)
	}
	return t, errors.Wrap(Validate(t), "validate plan")
}
