package plan

import (
	"encoding/json"

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
