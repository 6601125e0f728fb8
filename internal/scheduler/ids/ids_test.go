package ids

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
)

// Which number a name has does not depend on the order in which names are added, collisions or not.
func TestTableOrderDoesNotMatter(t *testing.T) {
	narrow := func(name string, salt uint32) uint32 { return FNV(name, salt)>>9%64 + 1 }
	names := make([]string, 20)
	for i := range names {
		names[i] = fmt.Sprintf("host-%d", i)
	}
	var want map[string]uint32
	collided := false
	for seed := range 50 {
		rand.New(rand.NewPCG(uint64(seed), 1)).Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
		table := NewTable(narrow)
		for _, name := range names {
			if addAndCheck(t, table, name) {
				collided = true
			}
		}
		got := numbersOf(t, table, names)
		if want == nil {
			want = got
		}
		if !maps.Equal(got, want) {
			t.Fatalf("in one order %v, in another %v", want, got)
		}
	}
	if !collided {
		t.Fatal("no collision was provoked")
	}
}

// addAndCheck adds a name, checks the names that lost their numbers, and reports whether any did.
func addAndCheck(t *testing.T, table *Table, name string) bool {
	t.Helper()
	before := maps.Clone(table.numbers)
	_, renumbered := table.Add(name)
	for _, r := range renumbered {
		if now, ok := table.Number(r.Name); !ok || now == r.Old {
			t.Fatalf("%s was renumbered and still is %d", r.Name, r.Old)
		}
		if before[r.Name] != r.Old {
			t.Fatalf("%s was %d, not %d", r.Name, before[r.Name], r.Old)
		}
	}
	for other, old := range before {
		if table.numbers[other] != old && !slices.Contains(renumbered, Renumbered{Name: other, Old: old}) {
			t.Fatalf("%s, once %d, is %d, and no report says so", other, old, table.numbers[other])
		}
	}
	return len(renumbered) > 0
}

// numbersOf returns the numbers of names after checking that each has its own.
func numbersOf(t *testing.T, table *Table, names []string) map[string]uint32 {
	t.Helper()
	numbers, holders := map[string]uint32{}, map[uint32]string{}
	for _, name := range names {
		number, ok := table.Number(name)
		if !ok || holders[number] != "" || table.names[number] != name {
			t.Fatalf("%s is %d, and so is %q", name, number, holders[number])
		}
		numbers[name], holders[number] = number, name
	}
	return numbers
}
