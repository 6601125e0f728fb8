package platform

import "testing"

// A set of 3 keeps the last 3 additions. A value that was added twice stays until both of its additions are dropped.
func TestRecentDropsOldestValue(t *testing.T) {
	set := newRecent[int](3)
	for _, value := range []int{1, 2, 1, 3} { // the 4th addition drops the first 1; the second one is kept
		set.add(value)
	}
	if !set.contains(1) || !set.contains(2) || !set.contains(3) {
		t.Errorf("after adding 1, 2, 1, 3: got values %v, want 1, 2 and 3", set.counts)
	}
	set.add(4)
	set.add(5)
	if set.contains(1) || set.contains(2) || !set.contains(3) || len(set.counts) != 3 {
		t.Errorf("after adding 1, 2, 1, 3, 4, 5: got values %v, want 3, 4 and 5", set.counts)
	}
}
