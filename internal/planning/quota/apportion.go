package quota

import (
	"cmp"
	"fmt"
	"math/bits"
	"slices"
)

// Unlimited as the Max of an Allocation is no limit.
const Unlimited = -1

// maxWeight keeps the products of weights and totals within 128 bits with a margin.
const maxWeight = 1 << 40

// Allocation is what one name gets of a total.
type Allocation struct {
	Name     string // unique among its allocations
	Weight   uint64 // relative to the others'; at most 2^40
	Max      int64  // of Amount; Unlimited, or any other negative number: no limit
	Previous int64  // what it had; ties go to who loses the most
	Amount   int64  // set by Apportion
}

// Apportion divides a total in proportion to weights, by the method of largest remainders: each gets its exact share
// rounded down or up, but never more than its Max; what that cuts off is divided among the others in the same way. Ties go
// to who would lose the most of Previous, then by name. It sets the Amounts and returns what nobody could take.
//
// A negative total, a duplicate name, a weight above 2^40 and a negative Previous are errors.
func Apportion(total int64, allocations []Allocation) (unassigned int64, err error) {
	if total < 0 {
		return 0, fmt.Errorf("a total of %d", total)
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
			return fmt.Errorf("%q is named twice", a.Name)
		}
		if a.Weight > maxWeight || a.Previous < 0 {
			return fmt.Errorf("%q: weights are at most 2^40, and nobody had less than nothing", a.Name)
		}
		seen[a.Name] = true
	}
	return nil
}

// share is the exact share of an allocation in one round: floor + remainder/sum of weights.
type share struct {
	of        *Allocation
	floor     int64
	remainder uint64
}

// apportionOnce divides a total among the allocations that are below their Max. It returns how much of it was assigned.
func apportionOnce(total int64, allocations []Allocation) int64 {
	shares, remaining := exactShares(total, allocations)
	slices.SortFunc(shares, compareShares)
	assigned := int64(0)
	for i, s := range shares {
		n := s.floor
		if int64(i) < remaining { // there are more shares than that: one more each for the largest remainders
			n++
		}
		if s.of.Max >= 0 {
			n = min(n, s.of.Max-s.of.Amount)
		}
		s.of.Amount += n
		assigned += n
	}
	return assigned
}

// exactShares returns the shares of the allocations that are below their Max, and what is left of the total when each of
// them is rounded down.
func exactShares(total int64, allocations []Allocation) (shares []share, remaining int64) {
	weights := uint64(0)
	for i := range allocations {
		a := &allocations[i]
		if a.Weight > 0 && (a.Max < 0 || a.Amount < a.Max) {
			weights += a.Weight
			shares = append(shares, share{of: a})
		}
	}
	remaining = total
	for i := range shares {
		s := &shares[i]
		high, low := bits.Mul64(uint64(total), s.of.Weight)
		floor, remainder := bits.Div64(high, low, weights)
		s.floor, s.remainder = int64(floor), remainder
		remaining -= s.floor
	}
	return shares, remaining
}

// compareShares puts first who is rounded up first.
func compareShares(a, b share) int {
	return cmp.Or(cmp.Compare(b.remainder, a.remainder), cmp.Compare(b.loss(), a.loss()), cmp.Compare(a.of.Name, b.of.Name))
}

// loss is how much less than before the allocation has if its share is rounded down.
func (s share) loss() int64 { return max(s.of.Previous-s.of.Amount-s.floor, 0) }
