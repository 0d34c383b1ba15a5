package driftevent

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// stallingWriter counts the lines and bytes written to it. With a stall channel,
// Write blocks until the channel is closed.
type stallingWriter struct {
	stall chan struct{}

	mu    sync.Mutex
	lines int
	bytes int
}

func (c *stallingWriter) Write(p []byte) (int, error) {
	if c.stall != nil {
		<-c.stall
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lines += bytes.Count(p, []byte("\n"))
	c.bytes += len(p)
	return len(p), nil
}

// writeAtRate writes lines of the given length at a steady rate.
func writeAtRate(w *Writer, length, perSecond int, span time.Duration) {
	line := []byte(strings.Repeat("x", length-1) + "\n")
	for range int(span.Seconds() * float64(perSecond)) {
		_, _ = w.Write(line)
		time.Sleep(time.Second / time.Duration(perSecond))
	}
}

// The log volume of a VM at the load of the published sites, and how long the
// tests write.
const (
	expectedLinesPerSecond = 30
	expectedLineBytes      = 350
	loadDuration           = 30 * time.Second
)

// TestWriterBound checks the limits on lines and bytes per second, and that no
// line is dropped at three times the load of the published sites.
func TestWriterBound(t *testing.T) {
	for _, c := range []struct {
		name         string
		lines, bytes int
		lossless     bool
	}{
		{"three times the load", 3 * expectedLinesPerSecond, expectedLineBytes, true},
		{"a hundred times the load", 100 * expectedLinesPerSecond, expectedLineBytes, false},
		{"three times the load, long lines", 3 * expectedLinesPerSecond, 6000, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				out := &stallingWriter{}
				w := NewWriter(out)
				writeAtRate(w, c.bytes, c.lines, loadDuration)
				w.Close()
				if c.lossless {
					assert.Zero(t, w.Dropped())
				}
				seconds := loadDuration.Seconds()
				assert.LessOrEqual(t, float64(out.lines), lineBurst+MaxLinesPerSecond*seconds)
				assert.LessOrEqual(t, float64(out.bytes), byteBurst+MaxBytesPerSecond*seconds)
				assert.Equal(t, c.lines*int(seconds), out.lines+int(w.Dropped()), "every line is either written or counted as dropped")
			})
		})
	}
}

// TestWriterStall checks that a stalled output does not block Write.
func TestWriterStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &stallingWriter{stall: make(chan struct{})}
		w := NewWriter(out)
		start := time.Now()
		writeAtRate(w, expectedLineBytes, 2*maxQueuedLines, time.Second)
		assert.Less(t, time.Since(start), 2*time.Second)
		assert.Positive(t, w.Dropped())
		close(out.stall)
		w.Close()
	})
}

// TestWriterClosed logs while and after the writer is closed, as goroutines do
// that end after the process has drained.
func TestWriterClosed(t *testing.T) {
	w := NewWriter(io.Discard)
	var group sync.WaitGroup
	for range 4 {
		group.Go(func() {
			for range 200 {
				_, err := w.Write([]byte("line\n"))
				assert.NoError(t, err)
			}
		})
	}
	w.Close()
	group.Wait()
	dropped := w.Dropped()
	_, err := w.Write([]byte("late\n"))
	require.NoError(t, err)
	assert.Equal(t, dropped+1, w.Dropped(), "a late line counts as dropped")
	w.Close()
}
