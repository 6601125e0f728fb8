// Package quota splits whole amounts by weights: tenants' shares of a fleet, and each tenant's
// part at every placer. Parts are whole, sum exactly, and change as little as may be when a weight
// changes, a placer comes or one goes. It is pure and deterministic.
package quota

import (
	"cmp"
	"fmt"
	"math/bits"
	"slices"
)

// Allocation is what one name gets.
type Allocation struct {
	Name     string
	Weight   uint64 // relative to the others'
	Max      int64  // at most this; below 0: no limit
	Previous int64  // what it had; a tie goes to who keeps more of it
	Amount   int64
}

// Apportion deals total among parts in proportion to their weights, by largest remainders: each gets
// its quota rounded down or up, never past its Most; what is cut off goes to the others in the same
// way. Ties go to those that had more than they would get, then by name. It returns what nobody
// could take.
func Apportion(total int64, parts []Allocation) (rest int64, err error) {
	if total < 0 {
		return 0, fmt.Errorf("a total of %d", total)
	}
	seen := map[string]bool{}
	for i := range parts {
		p := &parts[i]
		if seen[p.Name] {
			return 0, fmt.Errorf("%q is named twice", p.Name)
		}
		if p.Weight > 1<<40 || p.Previous < 0 {
			return 0, fmt.Errorf("%q: weights are at most 2^40, and nobody had less than nothing", p.Name)
		}
		seen[p.Name] = true
		p.Amount = 0
	}
	rest = total
	for rest > 0 {
		dealt := round(rest, parts)
		if dealt == 0 {
			break
		}
		rest -= dealt
	}
	return rest, nil
}

// round deals what is left among those who may take more; it returns how much was taken.
func round(total int64, parts []Allocation) int64 {
	type quota struct {
		p     *Allocation
		floor int64
		rem   uint64
	}
	sum := uint64(0)
	var open []quota
	for i := range parts {
		p := &parts[i]
		if p.Weight > 0 && (p.Max < 0 || p.Amount < p.Max) {
			sum += p.Weight
			open = append(open, quota{p: p})
		}
	}
	if sum == 0 {
		return 0
	}
	left := total
	for i := range open {
		q := &open[i]
		hi, lo := bits.Mul64(uint64(total), q.p.Weight)
		whole, rem := bits.Div64(hi, lo, sum)
		q.floor, q.rem = int64(whole), rem
		left -= q.floor
	}
	// left is less than the number of open parts: one more each for the largest remainders.
	slices.SortFunc(open, func(a, b quota) int {
		short := func(q quota) int64 { return max(q.p.Previous-q.p.Amount-q.floor, 0) }
		return cmp.Or(cmp.Compare(b.rem, a.rem), cmp.Compare(short(b), short(a)), cmp.Compare(a.p.Name, b.p.Name))
	})
	taken := int64(0)
	for i := range open {
		q := &open[i]
		n := q.floor
		if int64(i) < left {
			n++
		}
		if q.p.Max >= 0 {
			n = min(n, q.p.Max-q.p.Amount)
		}
		q.p.Amount += n
		taken += n
	}
	return taken
}

// Tenant is a tenant with its share, in millionths of the fleet.
type Tenant struct {
	Name  string
	Quota uint64
}

// Table is each tenant's part at each placer, in thousandths of a core.
type Table struct {
	Tenants    []string
	Placers    []string
	Amounts    [][]int64 // by tenant, by placer
	Unassigned int64     // what no tenant has a share of
}

// NewTable splits a fleet's cores among tenants, and each tenant's among placers by their weights. before,
// if not nil, is the table that holds now: parts stay where they were as far as weights allow.
func NewTable(cores int64, tenants []Tenant, placers []Allocation, before *Table) (*Table, error) {
	t := &Table{}
	sum := uint64(0)
	rows := make([]Allocation, 0, len(tenants)+1)
	for _, x := range tenants {
		sum += x.Quota
		rows = append(rows, Allocation{Name: x.Name, Weight: x.Quota, Max: -1})
		t.Tenants = append(t.Tenants, x.Name)
	}
	if sum > 1_000_000 {
		return nil, fmt.Errorf("the shares sum to %d millionths", sum)
	}
	const nobody = "\x00nobody" // what is not given out keeps its place in the rounding
	rows = append(rows, Allocation{Name: nobody, Weight: 1_000_000 - sum, Max: -1})
	if _, err := Apportion(cores, rows); err != nil {
		return nil, err
	}
	for _, p := range placers {
		t.Placers = append(t.Placers, p.Name)
	}
	t.Unassigned = rows[len(rows)-1].Amount
	for i := range tenants {
		cols := slices.Clone(placers)
		for c := range cols {
			cols[c].Max = -1
			cols[c].Previous = before.part(tenants[i].Name, cols[c].Name)
		}
		left, err := Apportion(rows[i].Amount, cols)
		if err != nil {
			return nil, err
		}
		row := make([]int64, len(cols))
		for c := range cols {
			row[c] = cols[c].Amount
		}
		t.Unassigned += left
		t.Amounts = append(t.Amounts, row)
	}
	return t, nil
}

// part is what a tenant has at a placer in a table; 0 where there is none.
func (t *Table) part(tenant, placer string) int64 {
	if t == nil {
		return 0
	}
	i, c := slices.Index(t.Tenants, tenant), slices.Index(t.Placers, placer)
	if i < 0 || c < 0 {
		return 0
	}
	return t.Amounts[i][c]
}
