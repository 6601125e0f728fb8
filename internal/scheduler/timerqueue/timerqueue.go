// Package timerqueue keeps what is to be done at what time, for cores that are stepped: the earliest first, and of one moment
// what was set first.
package timerqueue

import (
	"container/heap"
	"time"
)

// Queue is such a list; the zero value is an empty one.
type Queue[T any] struct {
	items items[T]
	set   uint64 // how many were set so far
}

// Add notes what is to be done at a time.
func (a *Queue[T]) Add(at time.Duration, what T) {
	a.set++
	heap.Push(&a.items, item[T]{at, a.set, what})
}

// Len is how many are set.
func (a *Queue[T]) Len() int { return len(a.items) }

// Next returns when the first is due; ok is false where none is set.
func (a *Queue[T]) Next() (at time.Duration, ok bool) {
	if len(a.items) == 0 {
		return 0, false
	}
	return a.items[0].at, true
}

// PopDue takes off the first if it is due at a time.
func (a *Queue[T]) PopDue(now time.Duration) (what T, ok bool) {
	if at, some := a.Next(); !some || at > now {
		return what, false
	}
	return heap.Pop(&a.items).(item[T]).what, true
}

type item[T any] struct {
	at   time.Duration
	seq  uint64
	what T
}

// items is for container/heap.
type items[T any] []item[T]

// Len is how many there are.
func (h items[T]) Len() int { return len(h) }

// Less orders by time, then by the order of setting.
func (h items[T]) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}

// Swap exchanges two.
func (h items[T]) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds one.
func (h *items[T]) Push(x any) { *h = append(*h, x.(item[T])) }

// Pop takes the last.
func (h *items[T]) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = item[T]{} // so that it can be collected
	*h = old[:len(old)-1]
	return last
}
