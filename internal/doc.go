// Package internal holds the program, in wings; the root package, the module, decides each placement. Arrows go one way:
//
//	cmd -> cli -> proving -> standins -> running -> planning, placing -> protocol -> reading -> the module
//
// Each wing's doc.go says what belongs there. Package wire is the simulator's and stands apart. The test of this
// package holds the code to all of it.
package internal
