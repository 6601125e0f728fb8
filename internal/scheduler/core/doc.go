// Package core holds the state of the service's placer and decides what the placer does. It turns what its shell
// receives (host lists, frames from hosts, submissions, gossip, time) into events for the module, checks the module's
// actions against the invariants and turns them into outputs for the shell. It is pure: it has no socket, clock,
// goroutine or global variable, and the same inputs at the same times give the same outputs in the same order.
//
// The state of a task has three layers: a desired replica, which lasts over all its requests and placements, a
// placement request to the module, and an attempt at one host. When an attempt changes, attempts.go reports it to the
// module (reportBound, reportLost, reportEnded) and replicas.go then updates the attempt's replica
// (handleReplicaPlaced, handleReplicaLost, handleReplicaEnded).
//
// Log lines, rejections and outcome reasons are held by recordings and stored outcomes, so they keep older words: an
// ask is a placement request, a life an incarnation, a make a specification, a kind of host a machine type, a line of
// offers a host's queue.
//
//	api.go, status.go             inputs, outputs and outcomes; status counters
//	core.go, timers.go            one step; timers
//	submissions.go, projects.go   submissions with their pending outcomes; projects and their services
//	dependencies.go, updates.go   services that wait for others; rolling updates
//	replicas.go, requesting.go    desired replicas; when they are requested and retried
//	requests.go, explain.go       placement requests; why a replica cannot be placed
//	offers.go, attempts.go        offers of the module, checked and sent; changes of an attempt
//	orphans.go                    running tasks without a placed replica, which are adopted or stopped
//	hosts.go, hostlist.go         hosts; the endpoint list that names them
//	hostconns.go, frames.go       connections to hosts; frames that hosts send
//	labels.go                     a bit for each placement constraint in use
//	restore.go                    durable records, and how a restarted placer restores its state from them
package core
