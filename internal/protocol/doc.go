// Package protocol is the layer of what crosses sockets, one package for each protocol: hostproto between placers and
// hosts, http1 for owners, consul for Consul's API, platform for the users' platform, and capture for captured traffic.
// It holds no code itself.
//
// Its packages may import parse, and are imported by scheduler and what lies above it. All of them are pure: bytes in,
// values out; they start no goroutine and read no clock.
package protocol
