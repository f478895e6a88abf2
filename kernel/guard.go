package kernel

import (
	"fmt"
	"runtime/debug"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// Guard runs one step of a service. If the step panics, Guard logs that and returns false, so that an unexpected value in
// one message, row or reply ends the step and not the process. The step must release its locks when it panics.
func Guard(logger log.Logger, step string, fn func()) (ok bool) {
	defer func() {
		if v := recover(); v != nil {
			level.Error(logger).Log("event", "internal-fault", "step", step, "value", fmt.Sprint(v), "stack", debug.Stack())
			ok = false
		}
	}()
	fn()
	return true
}
