// Package emulator is the layer of what stands in for the systems around a placer: hosts and Consul. Package hostmodel, a
// host's behavior, is pure; host and consul are servers.
//
// It may import parse, protocol, scheduler and server.
package emulator
