package driftrelay

import (
	"bytes"
	"container/heap"
)

// recordSize is the size of a record in a part, in bytes.
const recordSize = 16

// MergeTop returns the top greatest records of all parts, in descending order. An
// incomplete record at the end of a part is dropped; duplicates are kept.
func MergeTop(parts [][]byte, top int) []byte {
	var h recordHeap
	for _, part := range parts {
		for len(part) >= recordSize {
			h.offer(part[:recordSize], top)
			part = part[recordSize:]
		}
	}
	merged := make([]byte, h.Len()*recordSize)
	for i := h.Len() - 1; i >= 0; i-- {
		record, _ := heap.Pop(&h).([]byte)
		copy(merged[i*recordSize:], record)
	}
	return merged
}

// recordHeap is a min-heap of records.
type recordHeap [][]byte

func (h recordHeap) Len() int           { return len(h) }
func (h recordHeap) Less(i, j int) bool { return bytes.Compare(h[i], h[j]) < 0 }
func (h recordHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *recordHeap) Push(x any) {
	if record, ok := x.([]byte); ok {
		*h = append(*h, record)
	}
}

// Pop implements heap.Interface.
func (h *recordHeap) Pop() any {
	last := len(*h) - 1
	record := (*h)[last]
	*h = (*h)[:last]
	return record
}

func (h *recordHeap) offer(record []byte, top int) {
	if h.Len() < top {
		heap.Push(h, record)
		return
	}
	if top > 0 && bytes.Compare(record, (*h)[0]) > 0 {
		(*h)[0] = record
		heap.Fix(h, 0)
	}
}
