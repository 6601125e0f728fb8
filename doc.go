// Package forkhead decides where tasks run: many placers, each seeing only its
// own traffic, place tasks on one shared pool of machines.
//
// The package is pure: a Placer takes events and the time and returns actions,
// and does no input or output of its own. The interface is in settings.go,
// model.go, events.go and actions.go. The policy, every decision and every tuned
// value, is in the files that deploy/balancer.toml lists under its key policy:
//
//   - placer.go: the order of work in a step
//   - machinelist.go: the list of machines, how it is polled, and standby
//   - intervals.go: size intervals and the groups of machines that own them
//   - queue.go: placement requests, the queue and final answers
//   - selection.go: the choice of a machine
//   - slowstart.go: the limit on offers to machines that have just started
//   - capacity.go: the estimate of what is available on a machine
//   - attempts.go: attempts, their outcomes and migrations
//   - outliers.go: outlier detection and health checks
//
// The other files decide nothing: state.go and bookkeeping.go have the state and
// its counts, dispatch.go and timers.go hand events to the policy, gossip.go
// encodes messages between placers, hash.go has the hashes that all placers
// share, and validate.go checks settings and requests.
//
// The mechanism is ordered size-interval task assignment; docs/design.md says
// what is taken from it and what differs.
package forkhead
