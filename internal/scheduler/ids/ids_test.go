package ids

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// Which number a name has does not depend on the order in which names are added, collisions or
// not.
func TestOrderDoesNotMatter(t *testing.T) {
	narrow := func(name string, salt uint32) uint32 { return FNV(name, salt)>>9%64 + 1 }
	names := make([]string, 20)
	for i := range names {
		names[i] = fmt.Sprintf("host-%d", i)
	}
	var want map[string]uint32
	collided := false
	for try := range 50 {
		rand.New(rand.NewPCG(uint64(try), 1)).Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
		table := NewTable(narrow)
		for _, n := range names {
			_, renamed := table.Add(n)
			for other, old := range renamed {
				collided = true
				if now, ok := table.Number(other); !ok || now == old {
					t.Fatalf("%s was renamed and still is %d", other, old)
				}
			}
		}
		got := map[string]uint32{}
		taken := map[uint32]string{}
		for _, n := range names {
			id, ok := table.Number(n)
			if !ok || taken[id] != "" || table.Name(id) != n {
				t.Fatalf("%s is %d, and so is %q", n, id, taken[id])
			}
			taken[id], got[n] = n, id
		}
		if want == nil {
			want = got
		}
		for n := range want {
			if got[n] != want[n] {
				t.Fatalf("%s is %d in one order and %d in another", n, want[n], got[n])
			}
		}
	}
	if !collided {
		t.Fatal("no collision was provoked")
	}
}
