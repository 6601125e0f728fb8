// Package platform implements the protocol core of a placer on the users' platform. The core owns placement requests,
// attempts, placed tasks and the connections of owners and to hosts. It translates socket input into events for the
// placement module, and the module's actions into messages. The module decides where and when tasks are placed; the
// core enforces the protocol and its bounds.
//
// The core is deterministic and does no I/O: Core.Step takes the time and inputs and returns outputs, whose content and
// order depend only on the configuration and the steps so far. It reads no clock, opens no socket, starts no goroutine,
// and is not safe for concurrent use.
//
//	api.go, limits.go, log.go    configuration, inputs and outputs; bounds; log lines
//	config.go                    configuration derived from the platform's settings
//	core.go, reconcile.go        one step; periodic checks and timeouts
//	shutdown.go                  shutdown of the placer
//	request.go, attempt.go       placement requests and the attempts to place them
//	placed.go                    end of placed tasks: by owner, module or host, or because the host is lost
//	host.go, endpoints.go        hosts and the endpoint list
//	connection.go                connections to hosts: slots, dialing, loss
//	hostmessages.go, probe.go    messages from hosts; probes of hosts
//	unresponsive.go              hosts that send nothing, are removed or were never listed
//	owner.go, ownermessages.go   connections of owners; messages from owners
//	decode.go, handover.go       decoding of placement requests; hand-over of running tasks
//	messages.go, undelivered.go  encoding of messages; messages about tasks whose owner's connection has ended
//	closedrequests.go            requests that owners may send again after their end
//	linereader.go, recent.go     line splitting with timeouts; bounded set of recent values
package platform
