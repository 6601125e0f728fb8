// Package internal holds the program, in layers; the root package, the module, decides each placement. Imports go one way:
//
//	cmd -> cli -> verify -> emulator, client -> server -> planning, scheduler -> protocol -> parse -> the module
//
// Each layer's doc.go says what belongs there. Package simadapter is the simulator's and stands apart. The test of this
// package holds the code to all of it.
package internal
