package driftevent

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// counter counts what is written. It stalls while stall is open.
type counter struct {
	stall chan struct{}

	mu    sync.Mutex
	lines int
	bytes int
}

func (c *counter) Write(p []byte) (int, error) {
	if c.stall != nil {
		<-c.stall
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lines += bytes.Count(p, []byte("\n"))
	c.bytes += len(p)
	return len(p), nil
}

// write writes lines of a length at a steady rate for a span.
func write(w *Writer, length, perSecond int, span time.Duration) {
	line := []byte(strings.Repeat("x", length-1) + "\n")
	for range int(span.Seconds() * float64(perSecond)) {
		_, _ = w.Write(line)
		time.Sleep(time.Second / time.Duration(perSecond))
	}
}

// The load of a VM on the published sites, and its lines.
const (
	usualLines = 30
	usualBytes = 350
	measured   = 30 * time.Second
)

// TestWriterBound holds the bound on lines and bytes a second, and that three
// times the load of the published sites loses no line.
func TestWriterBound(t *testing.T) {
	for _, c := range []struct {
		name         string
		lines, bytes int
		whole        bool
	}{
		{"three times the load", 3 * usualLines, usualBytes, true},
		{"a hundred times the load", 100 * usualLines, usualBytes, false},
		{"three times the load, long lines", 3 * usualLines, 6000, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				out := &counter{}
				w := NewWriter(out)
				write(w, c.bytes, c.lines, measured)
				w.Close()
				if c.whole {
					assert.Zero(t, w.Dropped())
				}
				seconds := measured.Seconds()
				assert.LessOrEqual(t, float64(out.lines), lineBurst+MaxLinesPerSecond*seconds)
				assert.LessOrEqual(t, float64(out.bytes), byteBurst+MaxBytesPerSecond*seconds)
				assert.Equal(t, c.lines*int(seconds), out.lines+int(w.Dropped()), "lines are written or counted")
			})
		})
	}
}

// TestWriterStall holds that a reader that stalls blocks nobody.
func TestWriterStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &counter{stall: make(chan struct{})}
		w := NewWriter(out)
		start := time.Now()
		write(w, usualBytes, 2*lineQueue, time.Second)
		assert.Less(t, time.Since(start), 2*time.Second)
		assert.Positive(t, w.Dropped())
		close(out.stall)
		w.Close()
	})
}
