package driftowner

import (
	"container/heap"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftshard"
)

// state is where a ticket stands.
type state int

const (
	queued state = iota
	granted
	sent
	ended
)

// ticket is one request in a lane. The lane's lock guards it.
type ticket struct {
	request driftshard.Request
	// key orders the queue: the deadline, or the class's latency target when
	// that is earlier.
	key     time.Time
	arrived time.Time
	sent    time.Time
	state   state
	// detached is set when nobody waits for the result any more.
	detached bool
	refusal  driftshard.NotRun
	// ready is signalled when the ticket is granted or refused.
	ready chan struct{}
	index int
}

func (t *ticket) signal() {
	select {
	case t.ready <- struct{}{}:
	default:
	}
}

// shareInterval is the number of grants of which one goes to the request
// that has waited longest, so that no class starves.
const shareInterval = 8

// queue holds waiting tickets, the earliest key first, up to a bound.
type queue struct {
	size   int
	heap   ticketHeap
	grants int
}

func (q *queue) len() int {
	return len(q.heap)
}

// push adds a ticket. When the queue is full it returns the ticket that has
// to go, which is the one with the latest key.
func (q *queue) push(t *ticket) (evicted *ticket) {
	if len(q.heap) >= q.size {
		last := q.last()
		if last == nil || !t.key.Before(last.key) {
			return t
		}
		q.remove(last)
		evicted = last
	}
	heap.Push(&q.heap, t)
	return evicted
}

func (q *queue) last() (last *ticket) {
	for _, t := range q.heap {
		if last == nil || t.key.After(last.key) {
			last = t
		}
	}
	return last
}

// next returns the ticket to grant next without removing it.
func (q *queue) next() *ticket {
	if len(q.heap) == 0 {
		return nil
	}
	if q.grants%shareInterval != shareInterval-1 {
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

// remove takes a ticket out.
func (q *queue) remove(t *ticket) {
	heap.Remove(&q.heap, t.index)
}

// ahead counts the tickets that go before the key.
func (q *queue) ahead(key time.Time) int {
	count := 0
	for _, t := range q.heap {
		if !t.key.After(key) {
			count++
		}
	}
	return count
}

// ticketHeap implements heap.Interface.
type ticketHeap []*ticket

// Len implements heap.Interface.
func (h ticketHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h ticketHeap) Less(i, j int) bool { return h[i].key.Before(h[j].key) }

// Swap implements heap.Interface.
func (h ticketHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *ticketHeap) Push(x any) {
	t, ok := x.(*ticket)
	if !ok {
		return
	}
	t.index = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *ticketHeap) Pop() any {
	old := *h
	last := len(old) - 1
	t := old[last]
	old[last] = nil
	*h = old[:last]
	return t
}
