package driftowner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestSuspectRestart guards against sending several requests at a time to an
// upstream that may have restarted: after an idle connection was found
// closed, the limit is one in every phase.
func TestSuspectRestart(t *testing.T) {
	now := time.Unix(1, 0)
	for _, p := range []phase{phaseLearning, phaseWarming, phaseSuspected, phaseWarm} {
		l := newLimiter(testSlots, now)
		l.phase = p
		if p == phaseWarming || p == phaseWarm {
			l.limit = 2
		}
		l.suspectRestart(now)
		assert.Equal(t, coldLimit, l.limit, "phase %d", p)
		assert.True(t, l.cold())
	}
}
