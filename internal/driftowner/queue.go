package driftowner

import (
	"container/heap"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftshard"
)

// requestState is the state of a queued request.
type requestState int

const (
	queued requestState = iota
	granted
	sent
	ended
)

// queuedRequest is a request in a dispatcher, from its admission to its
// result. The dispatcher's lock guards it.
type queuedRequest struct {
	request driftshard.Request
	// key orders the queue: the deadline, or the end of the class's latency
	// objective if that is earlier.
	key     time.Time
	arrived time.Time
	sent    time.Time
	state   requestState
	// detached is set when nobody waits for the result any more.
	detached bool
	refusal  driftshard.NotRun
	// ready is signaled when the request is granted a slot or refused.
	ready chan struct{}
	index int
}

func (t *queuedRequest) signal() {
	select {
	case t.ready <- struct{}{}:
	default:
	}
}

// fairnessInterval is the number of grants of which the last goes to the
// request that has waited longest, so that no class starves.
const fairnessInterval = 8

// queue is a bounded priority queue of requests, ordered by key.
type queue struct {
	size       int
	heap       requestHeap
	grantCount int
}

func (q *queue) len() int {
	return len(q.heap)
}

// push adds a request. If the queue is full, it returns the request with the
// latest key, which may be the new one, as evicted.
func (q *queue) push(t *queuedRequest) (evicted *queuedRequest) {
	if len(q.heap) >= q.size {
		last := q.latest()
		if last == nil || !t.key.Before(last.key) {
			return t
		}
		q.remove(last)
		evicted = last
	}
	heap.Push(&q.heap, t)
	return evicted
}

func (q *queue) latest() (last *queuedRequest) {
	for _, t := range q.heap {
		if last == nil || t.key.After(last.key) {
			last = t
		}
	}
	return last
}

// next returns the request to grant next, without removing it.
func (q *queue) next() *queuedRequest {
	if len(q.heap) == 0 {
		return nil
	}
	if q.grantCount%fairnessInterval != fairnessInterval-1 {
		return q.heap[0]
	}
	oldest := q.heap[0]
	for _, t := range q.heap {
		if t.arrived.Before(oldest.arrived) {
			oldest = t
		}
	}
	return oldest
}

func (q *queue) remove(t *queuedRequest) {
	heap.Remove(&q.heap, t.index)
}

// countAhead returns the number of requests that come before the key.
func (q *queue) countAhead(key time.Time) int {
	count := 0
	for _, t := range q.heap {
		if !t.key.After(key) {
			count++
		}
	}
	return count
}

// requestHeap implements heap.Interface, ordered by key.
type requestHeap []*queuedRequest

// Len implements heap.Interface.
func (h requestHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h requestHeap) Less(i, j int) bool { return h[i].key.Before(h[j].key) }

// Swap implements heap.Interface.
func (h requestHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *requestHeap) Push(x any) {
	t, ok := x.(*queuedRequest)
	if !ok {
		return
	}
	t.index = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *requestHeap) Pop() any {
	old := *h
	last := len(old) - 1
	t := old[last]
	old[last] = nil
	*h = old[:last]
	return t
}
