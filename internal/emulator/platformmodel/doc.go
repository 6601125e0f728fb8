// Package platformmodel emulates the environment of placers on the users' platform: hosts, owners of tasks and the
// watch of the endpoint list, with faults injected by a schedule. The package is pure: its inputs are times and network
// events, its outputs are the network operations to perform. The same Emulator runs on sockets, in package
// emulator/platform, and on the in-memory Network of this package, which connects it to placer cores under a simulated
// clock.
//
//	model.go        what the models share: connection numbers, actions, ranges of times
//	host.go         Host: its connections, probes, load reports and unacknowledged task ends
//	hostoffers.go   a host's queue of offers and its decision on each
//	hosttasks.go    a host's running tasks, their notes and ends
//	request.go      placement requests, their outcomes, and when they may be submitted again
//	owner.go        Owner: its connections to placers
//	ownertasks.go   an owner's requests: submissions, answers, releases, hand-overs
//	endpointlog.go  EndpointLog: the watch as a stream of numbered events
//	faults.go       the types of faults, their targets and the schedule
//	injectors.go    how each type of fault begins and ends at a target
//	link.go         one connection, with the faults in force on it
//	io.go           the inputs and outputs of an Emulator
//	emulator.go     Emulator: all models, links and faults together
//	parties.go      parties: their models and listeners, and the state that outlives an incarnation of a host
//	journal.go      the journal of the messages, connections and faults of each party
//	network.go      Network: an Emulator and placer cores without sockets
//	networkwatch.go the watch client of a placer core in a Network
package platformmodel
