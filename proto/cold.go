package proto

import (
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/currantpier/currantpier/fleet"
	"github.com/currantpier/currantpier/ident"
)

// Field numbers of a fleet.ColdReport.
const (
	coldID        protowire.Number = iota + 1
	coldStartTime                  // milliseconds since the Unix epoch
	coldLeft                       // microseconds
	coldAssumed                    // 1 if the report is an assumption
)

// maxColdLeft bounds the remaining warm-up in a message.
const maxColdLeft = 24 * time.Hour

// ColdReportBytes returns the number of bytes that a report adds to a message.
func ColdReportBytes(c *fleet.ColdReport) int {
	return protowire.SizeTag(fieldCold) + protowire.SizeBytes(len(appendColdReport(nil, c)))
}

func appendColdReport(b []byte, c *fleet.ColdReport) []byte {
	b = appendString(b, coldID, string(c.ID))
	b = appendUint(b, coldStartTime, uint64(c.StartedUnixMS))
	b = appendUint(b, coldLeft, uint64(c.Left.Microseconds()))
	return appendBool(b, coldAssumed, c.Assumed)
}

func decodeColdReport(b []byte) (c fleet.ColdReport, err error) {
	err = decodeFields(b, func(x field) error {
		switch x.id {
		case coldID:
			c.ID = ident.Target(x.bytes)
		case coldStartTime:
			c.StartedUnixMS = int64(x.num)
		case coldLeft:
			if x.num > uint64(maxColdLeft.Microseconds()) {
				return errMalformed
			}
			c.Left = time.Duration(x.num) * time.Microsecond
		case coldAssumed:
			c.Assumed = x.num != 0
		}
		return nil
	})
	return c, err
}
