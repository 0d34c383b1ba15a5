package driftrelay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestRestartKeptColdPeriod guards against missing a restart whose entry names the
// same cold period as the entry before.
func TestRestartKeptColdPeriod(t *testing.T) {
	const coldPeriod = 3 * time.Second
	now := time.Now()
	u := Upstream{ID: "u", Service: "s", ColdPeriod: coldPeriod, StartedMs: 1}
	e := newUpstreamState(u, now)
	now = now.Add(time.Minute)
	e.applyPublished(u, now)
	assert.False(t, now.Before(e.coldUntil), "the same entry")
	u.StartedMs = 2
	e.applyPublished(u, now)
	assert.Equal(t, now.Add(coldPeriod), e.coldUntil, "a new start")
}
