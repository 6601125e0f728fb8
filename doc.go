// Package forkhead decides where tasks run: many placers, each of which sees
// only its own traffic, place tasks on one shared pool of machines.
//
// The package is pure: a Placer takes events and the time and returns actions,
// and does no input or output of its own. The interface is in settings.go,
// model.go, events.go and actions.go. The policy, that is every decision and
// every constant that a decision depends on, is in the files that
// deploy/balancer.toml lists under its key policy:
//
//   - placer.go: the order in which a step handles events
//   - machinelist.go: the machine list, its polling, and standby machines
//   - intervals.go: size intervals and the groups of machines that serve them
//   - queue.go: placement requests, the queue and final answers
//   - selection.go: the choice of a machine
//   - slowstart.go: the limit on offers to machines that have just started
//   - capacity.go: the estimate of what is available on a machine
//   - attempts.go: attempts, their outcomes and migrations
//   - outliers.go: outlier detection and health checks
//
// The other files make no decisions: state.go and bookkeeping.go hold the state
// and its counts, dispatch.go and timers.go pass events to the policy, gossip.go
// encodes messages between placers, hash.go has the hashes that all placers
// share, and validate.go checks settings and requests.
//
// The mechanism is ordered size-interval task assignment; docs/design.md
// describes what is taken from it and what differs.
package forkhead
