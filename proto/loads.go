package proto

import (
	"encoding/binary"
	"time"

	"github.com/currantpier/currantpier/fleet"
)

const (
	// LoadReportBytes is the size of an encoded load report: 4 bytes for the target, 2 for the load, 1 each for pace and age.
	LoadReportBytes = 8
	// MaxLoadReports is the greatest number of load reports in a message. It bounds the time for which the receiver of a foreign
	// datagram holds the lock of all requests.
	MaxLoadReports = 64
	// loadAgeUnit is the unit of a report's age, which is rounded up: a report must not look newer than it is. The remainder also
	// covers the network delay within a region.
	loadAgeUnit = 10 * time.Millisecond
	// maxLoadAge is the greatest age that can be encoded; older reports get this age.
	maxLoadAge = (1<<8 - 1) * loadAgeUnit
)

// appendLoadReports appends the reports as one packed string, nothing if there are none.
func appendLoadReports(b []byte, list []fleet.LoadReport) []byte {
	if len(list) == 0 {
		return b
	}
	packed := make([]byte, 0, len(list)*LoadReportBytes)
	for _, r := range list {
		packed = binary.LittleEndian.AppendUint32(packed, r.Target)
		packed = binary.LittleEndian.AppendUint16(packed, r.Load)
		age := min((max(r.Age, 0)+loadAgeUnit-1)/loadAgeUnit, maxLoadAge/loadAgeUnit)
		packed = append(packed, r.Pace, byte(age))
	}
	return appendMessage(b, fieldLoads, packed)
}

// decodeLoadReports appends the reports of a packed string to list.
func decodeLoadReports(list []fleet.LoadReport, b []byte) ([]fleet.LoadReport, error) {
	if len(b)%LoadReportBytes != 0 || len(list)+len(b)/LoadReportBytes > MaxLoadReports {
		return nil, errMalformed
	}
	for ; len(b) > 0; b = b[LoadReportBytes:] {
		list = append(list, fleet.LoadReport{
			Target: binary.LittleEndian.Uint32(b), Load: binary.LittleEndian.Uint16(b[4:]), Pace: b[6], Age: time.Duration(b[7]) * loadAgeUnit,
		})
	}
	return list, nil
}
