// Package nodechaos runs placers as real processes of the command `forkhead node` against the emulated users' platform,
// on loopback sockets, with scheduled faults and signals, and checks the rules on what crossed the sockets.
//
// One seed determines the plan of a run: the requests, the faults and the signals. The course of the run also depends on
// the scheduling of the processes.
//
//	plan.go      the plan of a run and its random draw
//	settings.go  the settings object that placers get
//	process.go   the process of a placer: configuration, start, signals
//	run.go       one run: emulators, placers, signals, and the check of the rules
//	shrink.go    the search for a shorter plan that still breaks a rule
//	result.go    the result of a run and its text
package nodechaos
