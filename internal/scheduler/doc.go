// Package scheduler is the layer of decisions and state: its packages are the core of a placer and the state machines
// from which the core is built.
//
// These packages may import the module's root package and the layers parse and protocol. All their code is pure: it
// takes inputs and the time, and returns outputs.
package scheduler
