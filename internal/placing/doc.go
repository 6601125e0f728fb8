// Package placing is the wing of decisions and state: the core of a placer and the machines that it is made of.
//
// It may import the module, reading and protocol. All of it is pure: inputs and time in, outputs out.
package placing
