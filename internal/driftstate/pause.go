package driftstate

import (
	"time"

	"golang.org/x/sys/unix"
)

// minPause is the shortest standstill that counts as one.
const minPause = 500 * time.Millisecond

// PauseClock notices that the process did not run for a while, also when the
// VM was suspended: the monotonic clock stands still then, and the boot clock
// does not.
type PauseClock struct {
	boot      func() (time.Duration, error)
	last      time.Time
	lastBoot  time.Duration
	supported bool
}

// NewPauseClock returns a clock that has seen no pause.
func NewPauseClock() *PauseClock {
	return newPauseClock(bootTime)
}

func newPauseClock(boot func() (time.Duration, error)) *PauseClock {
	c := &PauseClock{boot: boot, last: time.Now()}
	since, err := boot()
	c.lastBoot, c.supported = since, err == nil
	return c
}

// Tick returns how long the process stood still since the last call, given
// that it is called each period. It returns 0 for what is within the usual.
func (c *PauseClock) Tick(period time.Duration) time.Duration {
	now := time.Now()
	passed := now.Sub(c.last)
	c.last = now
	if since, err := c.boot(); c.supported && err == nil {
		passed = max(passed, since-c.lastBoot)
		c.lastBoot = since
	}
	if paused := passed - period; paused > minPause {
		return paused
	}
	return 0
}

func bootTime() (time.Duration, error) {
	var t unix.Timespec
	err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t)
	return time.Duration(t.Nano()), err
}
