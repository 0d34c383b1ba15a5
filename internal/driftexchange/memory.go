package driftexchange

import (
	"io"
	"sync/atomic"
)

// smallReply is the size in bytes up to which a body is accepted although the
// memory for replies is used up, so that a few upstreams that send large bodies do
// not stop the others.
const smallReply = 16 << 10

// Memory bounds the bytes of reply bodies that a VM holds, over all connections.
// It is safe for concurrent use. A nil Memory has no bound.
type Memory struct {
	limit int64
	used  atomic.Int64
}

// NewMemory returns a Memory of the given number of bytes.
func NewMemory(limit int64) *Memory { return &Memory{limit: limit} }

// Used returns the bytes of the bodies that are held now.
func (m *Memory) Used() int64 {
	if m == nil {
		return 0
	}
	return m.used.Load()
}

// Release gives back the bytes of a body that is no longer used.
func (m *Memory) Release(bytes int) {
	if m != nil {
		m.used.Add(-int64(bytes))
	}
}

// bodyReader reads one body and counts its bytes in the memory.
type bodyReader struct {
	body   io.Reader
	memory *Memory
	held   int
}

// Read implements io.Reader. It returns ErrMemory if the bound is reached.
func (b *bodyReader) Read(buffer []byte) (n int, err error) {
	if b.memory == nil {
		return b.body.Read(buffer)
	}
	n, err = b.body.Read(buffer[:min(len(buffer), smallReply)])
	b.held += n
	if b.memory.used.Add(int64(n)) > b.memory.limit && b.held > smallReply {
		return n, ErrMemory
	}
	return n, err
}
