package quota

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// TestApportionIsProportional checks that amounts without a Max sum to the total, that each amount is its exact share
// rounded down or up, and that an allocation of higher weight gets no less than one of lower weight.
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
			t.Fatalf("Apportion(%d, %+v): %v", total, allocations, err)
		}
		assigned := int64(0)
		for i := range allocations {
			p := &allocations[i]
			assigned += p.Amount
			if sum > 0 {
				share := float64(total) * float64(p.Weight) / float64(sum)
				if float64(p.Amount) < share-1 || float64(p.Amount) > share+1 {
					t.Fatalf("amount of weight %d = %d, want %g rounded down or up", p.Weight, p.Amount, share)
				}
			}
			for j := range allocations {
				if q := &allocations[j]; p.Weight > q.Weight && p.Amount < q.Amount {
					t.Fatalf("amount of weight %d = %d, want at least the %d of the lower weight %d", p.Weight, p.Amount, q.Amount, q.Weight)
				}
			}
		}
		if assigned+unassigned != total || sum > 0 && unassigned != 0 {
			t.Fatalf("Apportion(%d) assigned %d and left %d unassigned, want a sum of %d and nothing unassigned if the sum of weights, %d, is not 0",
				total, assigned, unassigned, total, sum)
		}
	})
}

// TestApportionKeepsMax checks that no allocation gets more than its Max, and that a part of the total is left unassigned
// only if all allocations have reached their Max.
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
			t.Fatalf("Apportion(%d, %+v): %v", total, allocations, err)
		}
		for _, p := range allocations {
			if p.Amount > p.Max {
				t.Fatalf("amount of %s = %d, want at most its Max, %d", p.Name, p.Amount, p.Max)
			}
		}
		if want := max(total-capacity, 0); unassigned != want {
			t.Fatalf("Apportion(%d) left %d unassigned, want %d, as the Max of all allocations sum to %d", total, unassigned, want, capacity)
		}
	})
}

func TestApportionRejectsMalformedInput(t *testing.T) {
	for name, c := range map[string]struct {
		total       int64
		allocations []Allocation
	}{
		"negative total":           {-1, nil},
		"duplicate name":           {1, []Allocation{{Name: "a"}, {Name: "a"}}},
		"weight above the limit":   {1, []Allocation{{Name: "a", Weight: 1<<40 + 1}}},
		"negative previous amount": {1, []Allocation{{Name: "a", Previous: -1}}},
	} {
		if _, err := Apportion(c.total, c.allocations); err == nil {
			t.Errorf("%s: Apportion(%d, %+v) = no error, want one", name, c.total, c.allocations)
		}
	}
}
