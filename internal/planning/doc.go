// Package planning is the wing of what is worked out ahead: the solver and what feeds it.
//
// It may import the module and reading. All of it is pure.
package planning
