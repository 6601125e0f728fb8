// Package timerqueue provides a priority queue of timers for cores that run in steps. Timers are ordered by the time at
// which they are due, and timers of the same time by the order in which they were added.
package timerqueue

import (
	"container/heap"
	"iter"
	"time"
)

// Queue is a queue of timers, each with a value. The zero value is an empty queue. It is not safe for concurrent use.
type Queue[T any] struct {
	timers timerHeap[T]
	added  uint64 // number of timers added so far; orders timers of the same time
}

// Add adds a timer that is due at the time at.
func (q *Queue[T]) Add(at time.Duration, value T) {
	q.added++
	heap.Push(&q.timers, timer[T]{at: at, seq: q.added, value: value})
}

// Len returns the number of timers.
func (q *Queue[T]) Len() int { return len(q.timers) }

// Next returns the time at which the first timer is due; ok is false if the queue is empty.
func (q *Queue[T]) Next() (at time.Duration, ok bool) {
	if len(q.timers) == 0 {
		return 0, false
	}
	return q.timers[0].at, true
}

// PopDue removes the first timer and returns its value if the timer is due by now; otherwise ok is false.
func (q *Queue[T]) PopDue(now time.Duration) (value T, ok bool) {
	if at, pending := q.Next(); !pending || at > now {
		return value, false
	}
	return heap.Pop(&q.timers).(timer[T]).value, true
}

// Due removes the timers that are due by now, one after the other, and yields their values. Timers that are added
// during the iteration are yielded too if they are due by now.
func (q *Queue[T]) Due(now time.Duration) iter.Seq[T] {
	return func(yield func(T) bool) {
		for {
			value, due := q.PopDue(now)
			if !due || !yield(value) {
				return
			}
		}
	}
}

type timer[T any] struct {
	at    time.Duration
	seq   uint64
	value T
}

// timerHeap implements heap.Interface.
type timerHeap[T any] []timer[T]

// Len returns the number of timers.
func (h timerHeap[T]) Len() int { return len(h) }

// Less orders timers by time, then by the order in which they were added.
func (h timerHeap[T]) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}

// Swap exchanges two timers.
func (h timerHeap[T]) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends a timer.
func (h *timerHeap[T]) Push(x any) { *h = append(*h, x.(timer[T])) }

// Pop removes the last timer and returns it.
func (h *timerHeap[T]) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = timer[T]{} // lets the value be garbage collected
	*h = old[:len(old)-1]
	return last
}
