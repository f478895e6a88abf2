package send

import (
	"strconv"
	"time"
)

// formatMs returns d in whole milliseconds, at least 1.
func formatMs(d time.Duration) string {
	return strconv.FormatInt(max(d.Milliseconds(), 1), 10)
}
