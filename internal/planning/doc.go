// Package planning is the layer of what is worked out ahead: the solver and what feeds it.
//
// It may import the module and parse. All of it is pure.
package planning
