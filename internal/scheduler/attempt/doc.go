// Package attempt defines the states of a placement request and of its attempts. A request asks the module to place a
// task; an attempt is one offer of the task to one host. Which offers may be sent, and how a request may be answered,
// follows from these states alone. The package is pure: it uses no clock and no sockets. The scheduler's cores and the
// model checker use it.
//
//	phase.go    the phases of an attempt, their inputs and effects, and the table of transitions
//	request.go  a request with its attempts: what may be offered, written and answered
//	rules.go    what a task's effect and class allow, within one request and from one request to the next
package attempt
