// Package platformmodel emulates what is around a placer on the users' platform: hosts, owners of tasks and the watch of
// the endpoint list, with faults by a schedule. It is pure: time and what came on connections go in, what to do on
// connections comes out. The same Emulator runs on sockets, in package emulator/platform, and on the in-memory Network of
// this package, which joins it to placer cores under a simulated clock.
//
//	model.go        what the models have in common: connections, actions, ranges to draw from
//	host.go         Host: its connections, probes, loads, and what it owes
//	hostoffers.go   its queue of offers and the decision about each
//	hosttasks.go    tasks that run, their notes and ends
//	request.go      placement requests, their outcomes, and when they may be submitted again
//	owner.go        Owner: its connections to placers
//	ownertasks.go   its requests: submissions, answers, releases, hand-overs
//	endpointlog.go  EndpointLog: the watch as a stream of numbered events
//	faults.go       faults, their targets and the schedule
//	injectors.go    what each fault does, one function for each
//	link.go         one connection, with the faults that are in force on it
//	io.go           what an Emulator takes from the network and does there
//	emulator.go     Emulator: all models, links and faults together
//	parties.go      the models in their places: listeners, names, what an incarnation leaves behind
//	journal.go      the record of what each party sent and received
//	network.go      Network: an Emulator and placer cores without sockets
//	networkwatch.go how a core of a Network follows the watch
package platformmodel
