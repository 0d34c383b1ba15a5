package driftevent

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Bounds of a Writer. At three times the load of the published sites a VM
// serves about 90 requests a second, each with one line of about 350 bytes.
const (
	// MaxLinesPerSecond is the number of lines a second that are written for long.
	MaxLinesPerSecond = 200
	// MaxBytesPerSecond is the number of bytes a second that are written for long. A
	// line on an answer that lacks many of its parts takes some thousand.
	MaxBytesPerSecond = 100 << 10
	// lineBurst is the number of lines that may come at once, as when the
	// view changes.
	lineBurst = 1000
	// byteBurst is the number of bytes that may come at once.
	byteBurst = 512 << 10
	// maxQueuedLines is the number of lines that wait for a reader that stalls.
	maxQueuedLines = 1024
)

// Writer passes log lines on without ever blocking the caller. Lines beyond
// the rate, or beyond the queue while the reader stalls, are dropped and
// counted.
type Writer struct {
	out         io.Writer
	lines       chan []byte
	lineLimiter *rate.Limiter
	byteLimiter *rate.Limiter
	dropped     atomic.Uint64
	done        chan struct{}
	once        sync.Once
}

// NewWriter returns a Writer to out. Close it to write what waits.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{
		out: out, lines: make(chan []byte, maxQueuedLines),
		lineLimiter: rate.NewLimiter(MaxLinesPerSecond, lineBurst), byteLimiter: rate.NewLimiter(MaxBytesPerSecond, byteBurst),
		done: make(chan struct{}),
	}
	go w.run()
	return w
}

// Write implements io.Writer. It never fails.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.lineLimiter.Allow() || !w.byteLimiter.AllowN(time.Now(), len(line)) {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close writes the lines that wait. Write must not be called after it.
func (w *Writer) Close() {
	w.once.Do(func() { close(w.lines) })
	<-w.done
}

func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		_, _ = w.out.Write(line)
	}
}
