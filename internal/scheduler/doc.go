// Package scheduler is the layer of decisions and state: its packages are the core of a placer and the state machines
// from which the core is built.
//
// It may import the module, parse and protocol. All of it is pure: it takes inputs and the time, and returns outputs.
package scheduler
