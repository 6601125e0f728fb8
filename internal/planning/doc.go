// Package planning is the layer of what is computed in advance: the solver and what feeds it.
//
// It may import the module and parse. All of it is pure.
package planning
