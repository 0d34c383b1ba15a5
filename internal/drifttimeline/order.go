package drifttimeline

import (
	"cmp"
	"container/heap"
	"slices"
	"strings"
	"time"

	"github.com/almonddrift/almonddrift/internal/driftevent"
)

// Order returns the events in an order that keeps every cause before its
// effect, and goes by the clocks of the VMs otherwise. An event whose clock
// is behind that of its cause counts as of the cause's time. Should attempts
// contradict the order of a VM's own events, the VMs' orders are kept.
func Order(events []driftevent.Event) []driftevent.Event {
	g := newGraph(events)
	g.linkVMs()
	g.linkAttempts()
	if ordered := g.sort(); len(ordered) == len(events) {
		return ordered
	}
	g = newGraph(events)
	g.linkVMs()
	return g.sort()
}

// graph holds the events and what must come before what.
type graph struct {
	events  []driftevent.Event
	effects [][]int
	causes  []int
	times   []time.Time
}

func newGraph(events []driftevent.Event) *graph {
	g := &graph{
		events: slices.Clone(events), effects: make([][]int, len(events)),
		causes: make([]int, len(events)), times: make([]time.Time, len(events)),
	}
	slices.SortStableFunc(g.events, compareLocal)
	for i, e := range g.events {
		g.times[i] = e.Time
	}
	return g
}

// compareLocal orders the events of each VM as the VM recorded them.
func compareLocal(a, b driftevent.Event) int {
	return cmp.Or(
		strings.Compare(a.VM, b.VM), cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Sequence, b.Sequence),
	)
}

func (g *graph) link(cause, effect int) {
	g.effects[cause] = append(g.effects[cause], effect)
	g.causes[effect]++
}

// linkVMs puts the events of one incarnation in the order of its sequence.
func (g *graph) linkVMs() {
	for i := 1; i < len(g.events); i++ {
		a, b := g.events[i-1], g.events[i]
		if a.VM == b.VM && a.Incarnation == b.Incarnation {
			g.link(i-1, i)
		}
	}
}

// stage is the place of an event in the life of an attempt.
type stage int

const (
	stageNone stage = iota
	stageStarted
	stageRelayed
	stageDispatched
	stageAnswered
	stageEnded
)

func stageOf(c driftevent.Code) stage {
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

// attempt returns the id of the attempt that an event belongs to: the first
// word of its detail.
func attempt(e driftevent.Event) string {
	if e.Request == "" || stageOf(e.Code) == stageNone {
		return ""
	}
	id, _, _ := strings.Cut(e.Detail, " ")
	return id
}

// linkAttempts puts the events of each attempt in the order of its stages.
func (g *graph) linkAttempts() {
	attempts := make(map[string][]int)
	for i, e := range g.events {
		if id := attempt(e); id != "" {
			attempts[id] = append(attempts[id], i)
		}
	}
	for _, members := range attempts {
		g.linkStages(members)
	}
}

// linkStages links every member of a stage to those of the next stage that
// has any.
func (g *graph) linkStages(members []int) {
	var before []int
	for s := stageStarted; s <= stageEnded; s++ {
		var now []int
		for _, i := range members {
			if stageOf(g.events[i].Code) == s {
				now = append(now, i)
			}
		}
		if len(now) == 0 {
			continue
		}
		for _, cause := range before {
			for _, effect := range now {
				g.link(cause, effect)
			}
		}
		before = now
	}
}

// sort takes out, again and again, the earliest event whose causes are all
// out. Events that cause one another in a circle are left over.
func (g *graph) sort() []driftevent.Event {
	ready := &readyHeap{graph: g}
	for i, n := range g.causes {
		if n == 0 {
			heap.Push(ready, i)
		}
	}
	ordered := make([]driftevent.Event, 0, len(g.events))
	for ready.Len() > 0 {
		i := ready.pop()
		ordered = append(ordered, g.events[i])
		for _, effect := range g.effects[i] {
			if g.times[effect].Before(g.times[i]) {
				g.times[effect] = g.times[i]
			}
			g.causes[effect]--
			if g.causes[effect] == 0 {
				heap.Push(ready, effect)
			}
		}
	}
	return ordered
}

// readyHeap holds the events whose causes are out, the earliest on top.
type readyHeap struct {
	graph *graph
	rows  []int
}

// Len implements heap.Interface.
func (h *readyHeap) Len() int { return len(h.rows) }

// Less implements heap.Interface.
func (h *readyHeap) Less(i, j int) bool {
	a, b := h.rows[i], h.rows[j]
	c := h.graph.times[a].Compare(h.graph.times[b])
	return c < 0 || c == 0 && a < b
}

// Swap implements heap.Interface.
func (h *readyHeap) Swap(i, j int) { h.rows[i], h.rows[j] = h.rows[j], h.rows[i] }

// Push implements heap.Interface. It ignores what is no index.
func (h *readyHeap) Push(x any) {
	if i, ok := x.(int); ok {
		h.rows = append(h.rows, i)
	}
}

// Pop implements heap.Interface.
func (h *readyHeap) Pop() any {
	last := len(h.rows) - 1
	i := h.rows[last]
	h.rows = h.rows[:last]
	return i
}

func (h *readyHeap) pop() int {
	i, _ := heap.Pop(h).(int)
	return i
}
