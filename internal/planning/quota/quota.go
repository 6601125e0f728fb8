// Package quota divides whole amounts by weights: a fleet's cores among tenants, and each tenant's quota among placers.
// What it assigns is whole, sums exactly, and changes as little as possible when a weight changes or a placer comes or
// goes. It is pure and deterministic.
package quota

import (
	"fmt"
	"slices"
)

// FullQuota is a tenant's quota of a whole fleet.
const FullQuota = 1_000_000

// Tenant is a tenant with its quota.
type Tenant struct {
	Name  string
	Quota uint64 // of the fleet, in parts of FullQuota
}

// Table has each tenant's quota at each placer, in thousandths of a core.
type Table struct {
	Tenants    []string
	Placers    []string
	Amounts    [][]int64 // by tenant, by placer
	Unassigned int64     // in no tenant's quota, or in one that no placer has a weight for
}

// NewTable divides a fleet's cores, in thousandths, among tenants by their quotas, and each tenant's among placers by their
// names and weights. Amounts stay as they are in previous, the table until now, as far as the weights allow; it may be nil.
// Quotas that sum to more than FullQuota are an error, and so are the errors of Apportion.
func NewTable(cores int64, tenants []Tenant, placers []Allocation, previous *Table) (*Table, error) {
	byTenant, err := apportionToTenants(cores, tenants)
	if err != nil {
		return nil, err
	}
	t := &Table{}
	for i := range placers {
		t.Placers = append(t.Placers, placers[i].Name)
	}
	for i := range tenants {
		t.Tenants = append(t.Tenants, tenants[i].Name)
		row, unassigned, err := apportionToPlacers(byTenant[i].Amount, tenants[i].Name, placers, previous)
		if err != nil {
			return nil, err
		}
		t.Amounts = append(t.Amounts, row)
		t.Unassigned += unassigned
	}
	t.Unassigned += byTenant[len(tenants)].Amount
	return t, nil
}

// apportionToTenants returns an allocation for each tenant, and a last one for what is in no tenant's quota. It takes part,
// so that the others are rounded as shares of the fleet.
func apportionToTenants(cores int64, tenants []Tenant) ([]Allocation, error) {
	const unassigned = "\x00nobody" // no tenant's name; it decides ties, so it stays
	sum := uint64(0)
	allocations := make([]Allocation, 0, len(tenants)+1)
	for _, tenant := range tenants {
		sum += tenant.Quota
		allocations = append(allocations, Allocation{Name: tenant.Name, Weight: tenant.Quota, Max: Unlimited})
	}
	if sum > FullQuota {
		return nil, fmt.Errorf("the shares sum to %d millionths", sum)
	}
	allocations = append(allocations, Allocation{Name: unassigned, Weight: FullQuota - sum, Max: Unlimited})
	if _, err := Apportion(cores, allocations); err != nil {
		return nil, err
	}
	return allocations, nil
}

// apportionToPlacers divides a tenant's cores. It returns an amount for each placer, and what no placer has a weight for.
func apportionToPlacers(cores int64, tenant string, placers []Allocation, previous *Table) (row []int64, unassigned int64, err error) {
	allocations := slices.Clone(placers)
	for i := range allocations {
		allocations[i].Max = Unlimited
		allocations[i].Previous = previous.amount(tenant, allocations[i].Name)
	}
	if unassigned, err = Apportion(cores, allocations); err != nil {
		return nil, 0, err
	}
	row = make([]int64, len(allocations))
	for i := range allocations {
		row[i] = allocations[i].Amount
	}
	return row, unassigned, nil
}

// amount returns a tenant's quota at a placer; 0 where there is none, or no table.
func (t *Table) amount(tenant, placer string) int64 {
	if t == nil {
		return 0
	}
	row, column := slices.Index(t.Tenants, tenant), slices.Index(t.Placers, placer)
	if row < 0 || column < 0 {
		return 0
	}
	return t.Amounts[row][column]
}
