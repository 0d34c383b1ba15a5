package driftfront

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/almonddrift/almonddrift/internal/drifttable"
)

func TestLatencyObjective(t *testing.T) {
	started := time.Unix(0, 0)
	c := call{class: drifttable.Class{LatencyObjective: 2 * time.Second}, started: started}
	t.Run("a shorter deadline replaces the objective, so that a hedge starts in time", func(t *testing.T) {
		c.deadline = started.Add(500 * time.Millisecond)
		assert.Equal(t, 500*time.Millisecond, c.latencyObjective())
	})
	t.Run("a caller with a long deadline gets the class's latency objective", func(t *testing.T) {
		c.deadline = started.Add(time.Minute)
		assert.Equal(t, 2*time.Second, c.latencyObjective())
	})
}
