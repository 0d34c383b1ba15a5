package drifttimeline

import (
	"cmp"
	"container/heap"
	"slices"
	"strings"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftevent"
)

// Order sorts the events so that every cause precedes its effects, and by the
// clocks of the VMs otherwise. An event whose timestamp is earlier than that of
// its cause is sorted as if it had the cause's timestamp. If the order along the
// attempts contradicts the order in which the VMs recorded their events, only
// the latter is kept.
func Order(events []driftevent.Event) []driftevent.Event {
	g := newEventGraph(events)
	g.linkVMEvents()
	g.linkAttempts()
	if ordered := g.topologicalSort(); len(ordered) == len(events) {
		return ordered
	}
	g = newEventGraph(events)
	g.linkVMEvents()
	return g.topologicalSort()
}

// eventGraph is the graph of causes and effects among events, which are
// identified by their indices. pendingCauses holds the number of causes of each
// event that have not been emitted yet, effectiveTimes the times to sort by.
type eventGraph struct {
	events         []driftevent.Event
	effects        [][]int
	pendingCauses  []int
	effectiveTimes []time.Time
}

func newEventGraph(events []driftevent.Event) *eventGraph {
	g := &eventGraph{
		events: slices.Clone(events), effects: make([][]int, len(events)),
		pendingCauses: make([]int, len(events)), effectiveTimes: make([]time.Time, len(events)),
	}
	slices.SortStableFunc(g.events, compareRecordingOrder)
	for i, e := range g.events {
		g.effectiveTimes[i] = e.Time
	}
	return g
}

// compareRecordingOrder orders the events of each VM as the VM recorded them.
func compareRecordingOrder(a, b driftevent.Event) int {
	return cmp.Or(
		strings.Compare(a.VM, b.VM), cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Sequence, b.Sequence),
	)
}

func (g *eventGraph) link(cause, effect int) {
	g.effects[cause] = append(g.effects[cause], effect)
	g.pendingCauses[effect]++
}

// linkVMEvents links the events of each incarnation in the order of their
// sequence numbers.
func (g *eventGraph) linkVMEvents() {
	for i := 1; i < len(g.events); i++ {
		a, b := g.events[i-1], g.events[i]
		if a.VM == b.VM && a.Incarnation == b.Incarnation {
			g.link(i-1, i)
		}
	}
}

// attemptStage is the position of an event in the course of an attempt.
type attemptStage int

const (
	stageNone attemptStage = iota
	stageStarted
	stageRelayed
	stageDispatched
	stageAnswered
	stageEnded
)

func stageOf(c driftevent.Code) attemptStage {
	switch c {
	case driftevent.AttemptStarted, driftevent.AttemptHedged:
		return stageStarted
	case driftevent.RequestRelayed:
		return stageRelayed
	case driftevent.DispatchStarted:
		return stageDispatched
	case driftevent.DispatchEnded, driftevent.DispatchRefused:
		return stageAnswered
	case driftevent.AttemptEnded:
		return stageEnded
	default:
		return stageNone
	}
}

// attemptID returns the id of the attempt that an event belongs to, which is
// the first word of its detail. It is empty for events of no attempt.
func attemptID(e driftevent.Event) string {
	if e.Request == "" || stageOf(e.Code) == stageNone {
		return ""
	}
	id, _, _ := strings.Cut(e.Detail, " ")
	return id
}

// linkAttempts links the events of each attempt in the order of their stages.
func (g *eventGraph) linkAttempts() {
	attempts := make(map[string][]int)
	for i, e := range g.events {
		if id := attemptID(e); id != "" {
			attempts[id] = append(attempts[id], i)
		}
	}
	for _, indices := range attempts {
		g.linkStages(indices)
	}
}

// linkStages links every event of a stage to all events of the next stage that
// has any.
func (g *eventGraph) linkStages(indices []int) {
	var previous []int
	for s := stageStarted; s <= stageEnded; s++ {
		var current []int
		for _, i := range indices {
			if stageOf(g.events[i].Code) == s {
				current = append(current, i)
			}
		}
		if len(current) == 0 {
			continue
		}
		for _, cause := range previous {
			for _, effect := range current {
				g.link(cause, effect)
			}
		}
		previous = current
	}
}

// topologicalSort repeatedly emits the earliest event whose causes have all been
// emitted. Events that form a cycle, and their effects, are missing from the
// result.
func (g *eventGraph) topologicalSort() []driftevent.Event {
	ready := &readyHeap{graph: g}
	for i, n := range g.pendingCauses {
		if n == 0 {
			heap.Push(ready, i)
		}
	}
	ordered := make([]driftevent.Event, 0, len(g.events))
	for ready.Len() > 0 {
		i := ready.popIndex()
		ordered = append(ordered, g.events[i])
		for _, effect := range g.effects[i] {
			if g.effectiveTimes[effect].Before(g.effectiveTimes[i]) {
				g.effectiveTimes[effect] = g.effectiveTimes[i]
			}
			g.pendingCauses[effect]--
			if g.pendingCauses[effect] == 0 {
				heap.Push(ready, effect)
			}
		}
	}
	return ordered
}

// readyHeap is a min-heap, by time, of the events whose causes have all been
// emitted.
type readyHeap struct {
	graph   *eventGraph
	indices []int
}

// Len implements heap.Interface.
func (h *readyHeap) Len() int { return len(h.indices) }

// Less implements heap.Interface.
func (h *readyHeap) Less(i, j int) bool {
	a, b := h.indices[i], h.indices[j]
	c := h.graph.effectiveTimes[a].Compare(h.graph.effectiveTimes[b])
	return c < 0 || c == 0 && a < b
}

// Swap implements heap.Interface.
func (h *readyHeap) Swap(i, j int) { h.indices[i], h.indices[j] = h.indices[j], h.indices[i] }

// Push implements heap.Interface. It ignores values that are not an index.
func (h *readyHeap) Push(x any) {
	if i, ok := x.(int); ok {
		h.indices = append(h.indices, i)
	}
}

// Pop implements heap.Interface.
func (h *readyHeap) Pop() any {
	last := len(h.indices) - 1
	i := h.indices[last]
	h.indices = h.indices[:last]
	return i
}

func (h *readyHeap) popIndex() int {
	i, _ := heap.Pop(h).(int)
	return i
}
