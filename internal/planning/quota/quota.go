// Package quota divides integer amounts by weights: a fleet's cores among tenants, and each tenant's quota among placers.
// The parts are integers, sum exactly to the amount, and change as little as possible when a weight changes or a placer
// is added or removed. The package is pure and deterministic.
package quota

import (
	"fmt"
	"slices"
)

// FullQuota is the Quota of a tenant that may use the whole fleet.
const FullQuota = 1_000_000

// Tenant is a tenant with its quota.
type Tenant struct {
	Name  string
	Quota uint64 // share of the fleet, in units of 1/FullQuota
}

// Table has each tenant's quota at each placer, in millicores.
type Table struct {
	Tenants    []string
	Placers    []string
	Amounts    [][]int64 // indexed by tenant, then by placer
	Unassigned int64     // cores in no quota, and cores that cannot be divided since no placer has a weight
}

// NewTable divides a fleet's cores, in millicores, among tenants by their quotas, and each tenant's cores among placers
// by their weights. It uses only Name and Weight of placers. previous is the last table, or nil; as far as the weights
// allow, amounts stay as they are in previous. NewTable returns an error if the quotas sum to more than FullQuota or
// if Apportion returns one.
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

// apportionToTenants returns an allocation for each tenant, followed by an allocation for the cores in no tenant's
// quota. The last allocation takes part in the division so that the others are rounded as shares of the whole fleet.
func apportionToTenants(cores int64, tenants []Tenant) ([]Allocation, error) {
	// No tenant can have this name. Apportion breaks ties by name, so a change of this name could change amounts.
	const unassigned = "\x00nobody"
	sum := uint64(0)
	allocations := make([]Allocation, 0, len(tenants)+1)
	for _, tenant := range tenants {
		sum += tenant.Quota
		allocations = append(allocations, Allocation{Name: tenant.Name, Weight: tenant.Quota, Max: Unlimited})
	}
	if sum > FullQuota {
		return nil, fmt.Errorf("tenants' quotas sum to %d millionths of the fleet, want at most %d", sum, FullQuota)
	}
	allocations = append(allocations, Allocation{Name: unassigned, Weight: FullQuota - sum, Max: Unlimited})
	if _, err := Apportion(cores, allocations); err != nil {
		return nil, err
	}
	return allocations, nil
}

// apportionToPlacers divides a tenant's cores among placers. It returns each placer's amount, and the number of cores
// that no placer gets: all cores of the tenant if no placer has a weight.
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

// amount returns a tenant's quota at a placer. It is 0 if the table is nil or does not have the tenant or the placer.
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
