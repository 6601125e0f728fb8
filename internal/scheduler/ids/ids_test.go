package ids

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
)

// The number of a name does not depend on the order in which names are added, even if their hashes collide.
func TestTableNumbersDoNotDependOnOrder(t *testing.T) {
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
			t.Fatalf("numbers after Add in the order of seed %d: got %v, want %v as for seed 0", seed, got, want)
		}
	}
	if !collided {
		t.Fatal("got no renumbered name in any order, want at least one collision")
	}
}

// addAndCheck adds a name, checks that exactly the other names whose numbers changed are reported as renumbered, and
// returns whether there are any.
func addAndCheck(t *testing.T, table *Table, name string) bool {
	t.Helper()
	before := maps.Clone(table.numbers)
	_, renumbered := table.Add(name)
	for _, r := range renumbered {
		if now, ok := table.Number(r.Name); !ok || now == r.Old {
			t.Fatalf("after Add(%s): Number(%s) = %d, %v; want a number other than %d", name, r.Name, now, ok, r.Old)
		}
		if before[r.Name] != r.Old {
			t.Fatalf("Add(%s) reports %s as renumbered from %d, want from %d", name, r.Name, r.Old, before[r.Name])
		}
	}
	for other, old := range before {
		if table.numbers[other] != old && !slices.Contains(renumbered, Renumbered{Name: other, Old: old}) {
			t.Fatalf("Add(%s) = %v; want it to report that %s went from %d to %d", name, renumbered, other, old, table.numbers[other])
		}
	}
	return len(renumbered) > 0
}

// numbersOf returns the numbers of names, after it checked that each name has a number of its own.
func numbersOf(t *testing.T, table *Table, names []string) map[string]uint32 {
	t.Helper()
	numbers, holders := map[string]uint32{}, map[uint32]string{}
	for _, name := range names {
		number, ok := table.Number(name)
		if !ok || holders[number] != "" || table.names[number] != name {
			t.Fatalf("Number(%s) = %d, %v, which is the number of %q and stored for %q; want a number of its own",
				name, number, ok, holders[number], table.names[number])
		}
		numbers[name], holders[number] = number, name
	}
	return numbers
}
