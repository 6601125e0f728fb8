// Package standins is the wing of what stands in for the systems around a placer: hosts and the catalogue. Package
// standin, a host's behaviour, is pure; hostd and catalogued are its shells.
//
// It may import reading, protocol, placing and running.
package standins
