package core

import (
	"testing"

	"forkhead/internal/parse/servicespec"
)

// Each constraint has one bit, which is free again only after its last use; a full table has no bit for another
// constraint.
func TestLabelTableFreesBitsWithTheirLastUse(t *testing.T) {
	table := labelTable{maxLabels: 2, index: map[string]int{}}
	take := func(attribute servicespec.Attribute) (bit int, ok bool) {
		bit, _, ok = table.add(servicespec.Constraint{Attribute: attribute, Value: "x"})
		if ok {
			table.rows[bit].useCount++
		}
		return bit, ok
	}
	first, _ := take("label.a")
	if again, ok := take("label.a"); !ok || again != first {
		t.Errorf("add(label.a) again = bit %d, %v; want bit %d, true", again, ok, first)
	}
	if near, ok := take("near.rack"); !ok || near == first || table.nearCount != 1 {
		t.Errorf("add(near.rack) = bit %d, %v, and nearCount %d; want a bit other than %d, true, and 1", near, ok, table.nearCount, first)
	}
	if _, ok := take("label.c"); ok {
		t.Error("add of a third constraint to a table of two: ok = true, want false")
	}
	table.release(first)
	if table.inUse() != 2 {
		t.Errorf("after one of two uses of label.a ended, inUse() = %d, want 2", table.inUse())
	}
	table.releaseAll(1<<0 | 1<<1)
	if table.inUse() != 0 || table.nearCount != 0 || len(table.index) != 0 {
		t.Errorf("after all uses ended, table = %+v, want it empty", table)
	}
}
