// Package pimclock reads a monotonic clock that includes the time for which the machine was suspended. The monotonic
// clock of the Go runtime leaves that time out, so a lease counted on it would end too late after a suspension.
package pimclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine started, suspensions included. If the system has no such clock, it returns the
// runtime's monotonic time since the process started.
func Now() time.Duration {
	var spec unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &spec); err != nil {
		return time.Since(started)
	}
	return time.Duration(spec.Nano())
}

var started = time.Now()
