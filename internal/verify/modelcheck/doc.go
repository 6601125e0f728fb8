// Package modelcheck searches all reachable states of a small system. It composes the state machines that placers and
// hosts run on (packages attempt, hostconn and hostsession, and the drain rule of package invariant) with a network
// that loses and delays messages and breaks connections, with hosts that crash, restart and drain, with a placer that
// crashes, and with timers that may fire at any time. The module is replaced by a choice of every legal action at any
// time.
//
// A state (state.go) is a few hundred bytes. actions*.go lists the actions that are possible in a state; placer.go and
// host.go define their effects at the placer and at a host. The search (search.go) takes all actions, breadth first,
// and checks the properties of properties.go. A trace that violates a property can be replayed through the placer's
// real core (replay.go).
package modelcheck
