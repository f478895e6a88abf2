package plan

import (
	"encoding/json"

	"github.com/currantpier/currantpier/kinds"
)

// Encode returns the JSON form of t.
func Encode(t Traffic) []byte {
	b, _ := json.Marshal(t) // a Traffic has no field that can fail
	return b
}

// Decode reads what Encode wrote. It returns a BadRequest error for anything else; see Validate for the content.
func Decode(b []byte) (Traffic, error) {
	var t Traffic
	if err := json.Unmarshal(b, &t); err != nil {
		return Traffic{}, kinds.Wrap(kinds.BadRequest, err, "decode traffic plan")
	}
	return t, nil
}
