package platform

import "testing"

func TestRecentForgetsTheOldest(t *testing.T) {
	set := newRecent[int](3)
	for _, value := range []int{1, 2, 1, 3} { // drops the first 1, and keeps the second
		set.add(value)
	}
	if !set.contains(1) || !set.contains(2) || !set.contains(3) {
		t.Error("a value is dropped that was among the last three")
	}
	set.add(4)
	set.add(5)
	if set.contains(1) || set.contains(2) || !set.contains(3) || len(set.counts) != 3 {
		t.Errorf("%v are kept, want 3, 4 and 5", set.counts)
	}
}
