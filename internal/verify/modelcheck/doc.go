// Package modelcheck searches all states of a small service: the state machines that placers and hosts run on (packages
// attempt, hostconn and hostsession, and invariant's rule for drains), composed with a network that loses, delays and cuts,
// hosts that crash and restart, a placer that crashes, drains, and timers that may fire at any time. In place of the module,
// every legal action is taken at any moment.
//
// A state (state.go) is a few hundred bytes. Which actions are possible in it is in actions*.go, what they do at the placer
// in placer.go and at a host in host.go. The search (search.go) tries all of them, breadth first, and checks properties.go.
// A trace that breaks a property can be replayed through the placer's real core (replay.go).
package modelcheck
