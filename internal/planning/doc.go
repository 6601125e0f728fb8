// Package planning is the layer of the packages that compute placements and quotas in advance: plan, quota and solver.
//
// It may import the module's root package and parse. All its code is pure.
package planning
