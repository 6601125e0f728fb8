package core

import (
	"testing"

	"forkhead/internal/parse/servicespec"
)

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
		t.Errorf("one constraint has the bits %d and %d", first, again)
	}
	if near, ok := take("near.rack"); !ok || near == first || table.nearCount != 1 {
		t.Errorf("bit %d, taken %v, %d near", near, ok, table.nearCount)
	}
	if _, ok := take("label.c"); ok {
		t.Error("a third constraint was taken by a table of two")
	}
	table.release(first)
	if table.inUse() != 2 {
		t.Errorf("%d in use after one of two uses ended, want 2", table.inUse())
	}
	table.releaseAll(1<<0 | 1<<1)
	if table.inUse() != 0 || table.nearCount != 0 || len(table.index) != 0 {
		t.Errorf("left over: %+v", table)
	}
}
