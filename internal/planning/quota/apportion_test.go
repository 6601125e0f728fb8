package quota

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// Amounts sum to the total, each is its exact share rounded down or up, and a higher weight gets no less.
func TestApportionIsProportional(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.Int64Range(0, 1_000_000).Draw(t, "total")
		allocations := make([]Allocation, rapid.IntRange(1, 12).Draw(t, "allocations"))
		sum := uint64(0)
		for i := range allocations {
			allocations[i] = Allocation{Name: fmt.Sprint(i), Weight: rapid.Uint64Range(0, 1000).Draw(t, "weight"), Max: Unlimited, Previous: rapid.Int64Range(0, 100).Draw(t, "before")}
			sum += allocations[i].Weight
		}
		unassigned, err := Apportion(total, allocations)
		if err != nil {
			t.Fatal(err)
		}
		assigned := int64(0)
		for i := range allocations {
			p := &allocations[i]
			assigned += p.Amount
			if sum > 0 {
				share := float64(total) * float64(p.Weight) / float64(sum)
				if float64(p.Amount) < share-1 || float64(p.Amount) > share+1 {
					t.Fatalf("%d of a share of %g", p.Amount, share)
				}
			}
			for j := range allocations {
				if q := &allocations[j]; p.Weight > q.Weight && p.Amount < q.Amount {
					t.Fatalf("weight %d gets %d, weight %d %d", p.Weight, p.Amount, q.Weight, q.Amount)
				}
			}
		}
		if assigned+unassigned != total || sum > 0 && unassigned != 0 {
			t.Fatalf("%d assigned and %d unassigned of %d", assigned, unassigned, total)
		}
	})
}

// Nobody gets more than its Max, and all is assigned as long as somebody can take it.
func TestApportionKeepsMax(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.Int64Range(0, 1000).Draw(t, "total")
		allocations := make([]Allocation, rapid.IntRange(1, 8).Draw(t, "allocations"))
		capacity := int64(0)
		for i := range allocations {
			allocations[i] = Allocation{Name: fmt.Sprint(i), Weight: rapid.Uint64Range(1, 9).Draw(t, "weight"), Max: rapid.Int64Range(0, 200).Draw(t, "most")}
			capacity += allocations[i].Max
		}
		unassigned, err := Apportion(total, allocations)
		if err != nil {
			t.Fatal(err)
		}
		for _, p := range allocations {
			if p.Amount > p.Max {
				t.Fatalf("%d, at most %d", p.Amount, p.Max)
			}
		}
		if want := max(total-capacity, 0); unassigned != want {
			t.Fatalf("%d unassigned, want %d", unassigned, want)
		}
	})
}

func TestApportionRejectsMalformedInput(t *testing.T) {
	for name, c := range map[string]struct {
		total       int64
		allocations []Allocation
	}{
		"negative total":      {-1, nil},
		"name twice":          {1, []Allocation{{Name: "a"}, {Name: "a"}}},
		"weight above bounds": {1, []Allocation{{Name: "a", Weight: 1<<40 + 1}}},
		"negative previous":   {1, []Allocation{{Name: "a", Previous: -1}}},
	} {
		if _, err := Apportion(c.total, c.allocations); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}
