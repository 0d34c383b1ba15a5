package driftpeer

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// startCutProxy returns the address of a proxy that closes a connection once the
// target has sent limit bytes on it, and the number of bytes that it has passed on.
func startCutProxy(t *testing.T, target string, limit int64) (address string, passed *atomic.Int64) {
	t.Helper()
	var config net.ListenConfig
	l, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	passed = new(atomic.Int64)
	go func() {
		for {
			inbound, err := l.Accept()
			if err != nil {
				return
			}
			var dialer net.Dialer
			outbound, err := dialer.DialContext(context.Background(), "tcp", target)
			if err != nil {
				_ = inbound.Close()
				return
			}
			go func() { _, _ = io.Copy(outbound, inbound) }()
			go func() {
				_, _ = io.Copy(io.MultiWriter(inbound, countingWriter{passed}), io.LimitReader(outbound, limit))
				_, _ = inbound.Close(), outbound.Close()
			}()
		}
	}()
	return l.Addr().String(), passed
}

// countingWriter counts the bytes that are written to it.
type countingWriter struct{ total *atomic.Int64 }

// Write implements io.Writer.
func (w countingWriter) Write(data []byte) (int, error) {
	w.total.Add(int64(len(data)))
	return len(data), nil
}

// TestAnswerWasCut guards against taking an answer of another VM that ended early
// for complete, or for a proof that nothing was sent, at whichever byte it ended.
func TestAnswerWasCut(t *testing.T) {
	handler := &countingHandler{answer: echo}
	target := listen(t, handler)
	address, passed := startCutProxy(t, target, 1<<20)
	assertOwnReply(t, dial(t, address), "q/1")
	total := passed.Load()
	require.Positive(t, total)
	for cut := range total {
		address, _ := startCutProxy(t, target, cut)
		ran := handler.runs.Load()
		_, err := dial(t, address).Shard(t.Context(), requestToWire(shardRequest("q/2")))
		require.Error(t, err, "cut after %d of %d bytes", cut, total)
		if handler.runs.Load() > ran {
			assert.NotErrorIs(t, err, ErrNotSent, "cut after %d of %d bytes", cut, total)
		}
	}
}
