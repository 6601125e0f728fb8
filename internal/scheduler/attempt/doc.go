// Package attempt has the states of a placement request and of its attempts. A request asks the module
// to place a task; an attempt is one offer of the task to one host. What may be sent, and how a request may be
// answered, follows from these states alone. The package is pure: no clock, no socket. The scheduler's cores and the
// model checker both run on it.
//
//	phase.go    phases of an attempt, their inputs and effects, and the table of transitions
//	request.go  a request with its attempts: what may be offered, written and answered
//	rules.go    what a task's effect and its class allow, within a request and from one to the next
package attempt
