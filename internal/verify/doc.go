// Package verify is the layer that verifies the other layers: model checking, deterministic simulation, a checker for
// captured traffic, replay of recordings, and chaos tests. Only the command line and tests import it.
//
// It may import every other layer. Packages simulation, platformsim, rules, scenario, replay and platformreplay are
// pure.
package verify
