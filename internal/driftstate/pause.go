package driftstate

import (
	"time"

	"golang.org/x/sys/unix"
)

// minPause is the shortest pause that is reported.
const minPause = 500 * time.Millisecond

// PauseClock detects pauses of the process, including suspensions of the VM,
// during which CLOCK_BOOTTIME advances and the monotonic clock does not.
type PauseClock struct {
	bootClock    func() (time.Duration, error)
	last         time.Time
	lastBootTime time.Duration
	supported    bool
}

// NewPauseClock returns a clock that starts now.
func NewPauseClock() *PauseClock {
	return newPauseClock(bootTime)
}

func newPauseClock(bootClock func() (time.Duration, error)) *PauseClock {
	c := &PauseClock{bootClock: bootClock, last: time.Now()}
	since, err := bootClock()
	c.lastBootTime, c.supported = since, err == nil
	return c
}

// Tick returns how long the process was paused since the last call. It must be
// called once a period, and returns 0 for delays of up to minPause.
func (c *PauseClock) Tick(period time.Duration) time.Duration {
	now := time.Now()
	passed := now.Sub(c.last)
	c.last = now
	if since, err := c.bootClock(); c.supported && err == nil {
		passed = max(passed, since-c.lastBootTime)
		c.lastBootTime = since
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
