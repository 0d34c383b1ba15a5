package driftowner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestDoubt asserts that a closed idle connection leaves one request in
// flight in every phase.
func TestDoubt(t *testing.T) {
	now := time.Unix(1, 0)
	for _, p := range []phase{learning, warming, suspected, warmed} {
		l := newLimiter(worldSlots, now)
		l.phase = p
		if p == warming || p == warmed {
			l.limit = 2
		}
		l.doubt(now)
		assert.Equal(t, coldFlight, l.limit, "phase %d", p)
		assert.True(t, l.cold())
	}
}
