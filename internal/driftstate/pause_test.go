package driftstate

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestPauseClock(t *testing.T) {
	const period = 250 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		var boot time.Duration
		c := newPauseClock(func() (time.Duration, error) { return boot, nil })
		pass := func(running, suspended time.Duration) time.Duration {
			time.Sleep(running)
			boot += running + suspended
			return c.Tick(period)
		}
		assert.Zero(t, pass(period, 0), "on time")
		assert.Zero(t, pass(period+100*time.Millisecond, 0), "a little late")
		assert.Equal(t, 2*time.Second, pass(period+2*time.Second, 0), "stopped")
		assert.Equal(t, 3*time.Second, pass(period, 3*time.Second), "suspended")
		assert.Zero(t, pass(period, 0), "on time again")
	})
}
