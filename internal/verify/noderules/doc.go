// Package noderules checks the rules of the users' platform on the journal of an emulated platform, that is, on what
// crossed the sockets of hosts, owners and the endpoint log. It does not use the placers' own records. The package is
// pure.
//
//	noderules.go  the configuration of the check, breaches and Check
//	checker.go    the state of a check
//	timeline.go   the journal as a sequence of messages, and the timeline of one request
//	tasks.go      the tasks that hosts run or decide on, derived from the messages
//	offers.go     the rules that hold for each offer: spread, no repeat, drain, slow start, deadlines, owners that left
//	answers.go    the rules that hold for each request: one answer in time, and notice of a task's end
package noderules
