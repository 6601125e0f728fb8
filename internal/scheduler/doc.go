// Package scheduler is the layer of decisions and state: the core of a placer and the state machines that it is made of.
//
// It may import the module, parse and protocol. All of it is pure: inputs and time in, outputs out.
package scheduler
