// Package emulator is the layer of the emulators of what is around a placer: hosts and Consul. Package hostmodel, the
// behavior of a host, is pure; host and consul are servers.
//
// It may import parse, protocol, scheduler and server.
package emulator
