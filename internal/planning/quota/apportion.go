package quota

import (
	"cmp"
	"fmt"
	"math/bits"
	"slices"
)

// Unlimited is the Max of an Allocation without a limit.
const Unlimited = -1

// maxWeight is the largest weight. It keeps sums of weights within 64 bits, and products of a total and a weight within
// 128 bits, with a margin.
const maxWeight = 1 << 40

// Allocation is one recipient's part of a total.
type Allocation struct {
	Name     string // name of the recipient; unique in a call of Apportion
	Weight   uint64 // relative to the weights of the other allocations; at most 2^40
	Max      int64  // upper limit of Amount; Unlimited, like any negative number, is no limit
	Previous int64  // amount before this division; breaks ties between equal remainders
	Amount   int64  // result, set by Apportion
}

// Apportion divides a total in proportion to weights, by the method of largest remainders: each allocation gets its
// exact share rounded down or up, but never more than its Max. The excess over a Max is divided among the other
// allocations in the same way. Of equal remainders, the one whose allocation would lose the most of Previous is rounded
// up first, then the one whose name sorts first. Apportion sets the Amounts and returns the part of the total that no
// allocation could take.
//
// A negative total, a duplicate name, a weight above 2^40 and a negative Previous are errors.
func Apportion(total int64, allocations []Allocation) (unassigned int64, err error) {
	if total < 0 {
		return 0, fmt.Errorf("total is %d, want at least 0", total)
	}
	if err := validate(allocations); err != nil {
		return 0, err
	}
	for i := range allocations {
		allocations[i].Amount = 0
	}
	unassigned = total
	for unassigned > 0 {
		assigned := apportionOnce(unassigned, allocations)
		if assigned == 0 {
			break
		}
		unassigned -= assigned
	}
	return unassigned, nil
}

func validate(allocations []Allocation) error {
	seen := map[string]bool{}
	for i := range allocations {
		a := &allocations[i]
		if seen[a.Name] {
			return fmt.Errorf("duplicate name %q", a.Name)
		}
		if a.Weight > maxWeight || a.Previous < 0 {
			return fmt.Errorf("%q has weight %d and previous amount %d, want a weight of at most 2^40 and an amount of at least 0",
				a.Name, a.Weight, a.Previous)
		}
		seen[a.Name] = true
	}
	return nil
}

// share is the exact share of an allocation in one round: floor + remainder / (sum of the weights).
type share struct {
	allocation *Allocation
	floor      int64
	remainder  uint64
}

// apportionOnce divides a total among the allocations that are below their Max, and returns the part of the total that
// they took.
func apportionOnce(total int64, allocations []Allocation) int64 {
	shares, remaining := exactShares(total, allocations)
	slices.SortFunc(shares, compareShares)
	assigned := int64(0)
	for i, s := range shares {
		n := s.floor
		if int64(i) < remaining { // remaining is less than len(shares); the largest remainders get 1 more each
			n++
		}
		if s.allocation.Max >= 0 {
			n = min(n, s.allocation.Max-s.allocation.Amount)
		}
		s.allocation.Amount += n
		assigned += n
	}
	return assigned
}

// exactShares returns the shares of the allocations that have a weight and are below their Max, and the part of the
// total that remains if all these shares are rounded down.
func exactShares(total int64, allocations []Allocation) (shares []share, remaining int64) {
	weights := uint64(0)
	for i := range allocations {
		a := &allocations[i]
		if a.Weight > 0 && (a.Max < 0 || a.Amount < a.Max) {
			weights += a.Weight
			shares = append(shares, share{allocation: a})
		}
	}
	remaining = total
	for i := range shares {
		s := &shares[i]
		high, low := bits.Mul64(uint64(total), s.allocation.Weight)
		floor, remainder := bits.Div64(high, low, weights)
		s.floor, s.remainder = int64(floor), remainder
		remaining -= s.floor
	}
	return shares, remaining
}

// compareShares orders shares so that the share to be rounded up first comes first: by remainder, then by loss, both
// descending, then by name.
func compareShares(a, b share) int {
	return cmp.Or(cmp.Compare(b.remainder, a.remainder), cmp.Compare(b.loss(), a.loss()), cmp.Compare(a.allocation.Name, b.allocation.Name))
}

// loss returns by how much the allocation would be below Previous if its share were rounded down, or 0 if it would not
// be below.
func (s share) loss() int64 { return max(s.allocation.Previous-s.allocation.Amount-s.floor, 0) }
