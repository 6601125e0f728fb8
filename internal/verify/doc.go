// Package verify is the layer of what shows that the rest is right: model checking, deterministic simulation, the rules
// on captured traffic, chaos tests. Nothing but the command line and tests imports it.
//
// It may import every other layer. Packages simulation, platformsim, rules, scenario, replay and platformreplay are pure.
package verify
