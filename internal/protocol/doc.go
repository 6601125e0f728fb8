// Package protocol contains the wire formats, one package for each protocol: hostproto between placers and hosts, http1
// between clients and placers, consul for Consul's API, platform for the users' platform, and capture for captured
// traffic. It has no code of its own.
//
// These packages may import those of the layer parse. The packages of scheduler and of the layers above it import them.
// All of them are pure: they convert between bytes and values, start no goroutine and read no clock.
package protocol
