// Package platform is the core of a placer on the users' platform. It owns placement requests, attempts, placed tasks and
// the connections that carry them, turns what crosses the sockets into events of the module, and the module's actions
// into messages. The module decides where and when tasks are placed; the core keeps the protocol and its bounds.
//
// The core is pure: Core.Step takes the time and inputs and returns outputs, in an order that depends on nothing else.
// It reads no clock, opens no socket and starts no goroutine, and is not safe for concurrent use.
//
//	api.go, limits.go, log.go    configuration, inputs, outputs; bounds; log lines
//	config.go                    what the settings determine of a configuration
//	core.go, reconcile.go        one step; what is due by time
//	shutdown.go                  the end of the placer
//	request.go, attempt.go       placement requests and the attempts to place them
//	placed.go                    the end of placed tasks: by owner, module or host, and by a host's loss
//	host.go, endpoints.go        hosts, and the endpoint list that names them
//	connection.go                connections to hosts: capacity, dialing, loss
//	hostmessages.go, probe.go    what hosts send; probes of hosts
//	unresponsive.go              hosts that send nothing, are removed or were never listed
//	owner.go, ownermessages.go   connections of owners; what they send
//	decode.go, handover.go       placement requests read from messages; tasks that run already
//	messages.go, undelivered.go  what is sent; what no owner's connection could take yet
//	linereader.go, recent.go     lines of a stream; a bounded set
package platform
