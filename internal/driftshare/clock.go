package driftshare

import (
	"time"

	"golang.org/x/sys/unix"
)

// processStart is the reference of bootTime where the system has no such clock.
var processStart = time.Now()

// bootTime returns the time on a clock that advances while the VM is suspended.
func bootTime() time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return time.Since(processStart)
	}
	return time.Duration(t.Nano())
}

// BootTime returns the time on a clock that advances while the VM is suspended. Only
// differences of its values have a meaning.
func BootTime() time.Duration { return bootTime() }
