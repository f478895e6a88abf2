package send

import (
	"strconv"
	"time"
)

// formatMs formats d in whole milliseconds, rounded down, but at least 1.
func formatMs(d time.Duration) string {
	return strconv.FormatInt(max(d.Milliseconds(), 1), 10)
}
