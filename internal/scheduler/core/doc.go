// Package core holds the decisions and the state of the service's placer. It turns what its shell receives (host lists,
// frames of hosts, submissions, gossip, time) into events for the module, checks the module's actions against the
// invariants and turns them into outputs for the shell. It is pure: it has no socket, clock, goroutine or global, and
// the same inputs at the same times give the same outputs in the same order.
//
// Three layers follow a task: a desired replica over all its requests and placements, a placement request to the module,
// and an attempt at one host. What happens to an attempt is reported to the module in attempts.go (reportBound, reportLost,
// reportEnded) and then followed for its replica in replicas.go (handleReplicaPlaced, handleReplicaLost,
// handleReplicaEnded).
//
//	api.go, status.go             inputs, outputs, outcomes; what the placer holds and has counted
//	core.go, timers.go            one step; what is due by time
//	submissions.go, projects.go   what clients submit, with their pending outcomes; projects and their services
//	dependencies.go, updates.go   services that wait for others; rolling updates
//	replicas.go, requesting.go    desired replicas; when they are requested and retried
//	requests.go, explain.go       placement requests; why a replica cannot be placed
//	offers.go, attempts.go        offers of the module, checked and sent; what becomes of an attempt
//	orphans.go                    running tasks that no placed replica accounts for: adopted or stopped
//	hosts.go, hostlist.go         hosts; the endpoint list that names them
//	hostconns.go, frames.go       connections to hosts; the frames that hosts send
//	labels.go                     a bit for each placement constraint in use
//	restore.go                    what is persisted, and how a restarted placer begins with it
package core
