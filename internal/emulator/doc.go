// Package emulator is the layer of the emulators of the systems that a placer communicates with: hosts, Consul and the
// users' platform. Packages hostmodel and platformmodel define the behavior of a host and of the platform and are pure.
// Packages host, platform and consul are servers.
//
// The layer may import parse, protocol, scheduler and server.
package emulator
