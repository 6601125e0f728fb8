package timerqueue

import (
	"slices"
	"testing"
	"time"
)

func TestQueuePopDueReturnsTimersInOrder(t *testing.T) {
	var q Queue[string]
	if _, ok := q.Next(); ok {
		t.Error("Next() of an empty queue: got ok = true, want false")
	}
	for _, timer := range []struct {
		at    time.Duration
		value string
	}{{3, "d"}, {1, "a"}, {2, "b"}, {2, "c"}, {9, "late"}} {
		q.Add(timer.at, timer.value)
	}
	var got []string
	for value, ok := q.PopDue(3); ok; value, ok = q.PopDue(3) {
		got = append(got, value)
	}
	if want := []string{"a", "b", "c", "d"}; !slices.Equal(got, want) {
		t.Errorf("values of PopDue(3) = %q, want %q", got, want)
	}
	if at, ok := q.Next(); !ok || at != 9 || q.Len() != 1 {
		t.Errorf("after PopDue(3): Next() = %v, %v and Len() = %d; want 9ns, true and 1", at, ok, q.Len())
	}
}

func TestQueueDueYieldsTimersAddedDuringIteration(t *testing.T) {
	var q Queue[string]
	q.Add(1, "first")
	q.Add(2, "second")
	q.Add(9, "later")
	var got []string
	for value := range q.Due(3) {
		if value == "first" {
			q.Add(3, "added")
		}
		got = append(got, value)
	}
	if want := []string{"first", "second", "added"}; !slices.Equal(got, want) {
		t.Errorf("values of Due(3) = %q, want %q", got, want)
	}
	if q.Len() != 1 {
		t.Errorf("after Due(3): Len() = %d, want 1", q.Len())
	}
}
