// Package pimclock reads a steady clock that includes the time for which the machine
// was suspended. A lease counted on it ends on time also after a suspension, which
// the runtime's monotonic clock leaves out.
package pimclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine started, suspensions included. Where the
// system has no such clock it falls back on the runtime's monotonic clock.
func Now() time.Duration {
	var spec unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &spec); err != nil {
		return time.Since(started)
	}
	return time.Duration(spec.Nano())
}

var started = time.Now()
