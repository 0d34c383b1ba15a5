package driftevent

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Limits of a Writer. At three times the load of the published sites, a VM
// serves about 90 requests per second, each with one line of about 350 bytes.
const (
	// MaxLinesPerSecond is the sustained rate of lines.
	MaxLinesPerSecond = 200
	// MaxBytesPerSecond is the sustained rate of bytes. The line for an answer
	// that lacks many parts takes several thousand bytes.
	MaxBytesPerSecond = 100 << 10
	// lineBurst is the number of lines accepted in one burst, such as when the
	// view changes.
	lineBurst = 1000
	// byteBurst is the number of bytes accepted in one burst.
	byteBurst = 512 << 10
	// maxQueuedLines is the number of lines queued while the output stalls.
	maxQueuedLines = 1024
)

// Writer forwards log lines without ever blocking the goroutine that logs.
// Lines above the rate limits, after Close, or that find the queue full because
// the output stalls, are dropped and counted.
type Writer struct {
	out         io.Writer
	lines       chan []byte
	lineLimiter *rate.Limiter
	byteLimiter *rate.Limiter
	dropped     atomic.Uint64
	done        chan struct{}

	// mu protects closed, and lines from being closed during a send.
	mu     sync.RWMutex
	closed bool
}

// NewWriter returns a Writer that forwards to out. Close writes the lines that
// are still queued.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{
		out: out, lines: make(chan []byte, maxQueuedLines),
		lineLimiter: rate.NewLimiter(MaxLinesPerSecond, lineBurst), byteLimiter: rate.NewLimiter(MaxBytesPerSecond, byteBurst),
		done: make(chan struct{}),
	}
	go w.run()
	return w
}

// Write implements io.Writer. It never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.lineLimiter.Allow() || !w.byteLimiter.AllowN(time.Now(), len(line)) {
		w.dropped.Add(1)
		return len(line), nil
	}
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.closed {
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

// Close writes the queued lines and waits until that is done. Later lines are
// dropped.
func (w *Writer) Close() {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	<-w.done
}

func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		_, _ = w.out.Write(line)
	}
}
