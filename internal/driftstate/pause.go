package driftstate

import (
	"time"

	"golang.org/x/sys/unix"
)

// minPause is the shortest pause that is reported.
const minPause = 500 * time.Millisecond

// PauseClock detects that the process was paused, also by a suspension of the
// VM: CLOCK_BOOTTIME advances then, and the monotonic clock does not.
type PauseClock struct {
	boot      func() (time.Duration, error)
	last      time.Time
	lastBoot  time.Duration
	supported bool
}

// NewPauseClock returns a clock that starts now.
func NewPauseClock() *PauseClock {
	return newPauseClock(bootTime)
}

func newPauseClock(boot func() (time.Duration, error)) *PauseClock {
	c := &PauseClock{boot: boot, last: time.Now()}
	since, err := boot()
	c.lastBoot, c.supported = since, err == nil
	return c
}

// Tick returns how long the process was paused since the last call, if it is
// called once a period. It returns 0 for delays of up to minPause.
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
