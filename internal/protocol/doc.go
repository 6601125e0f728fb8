// Package protocol contains the wire formats, one package for each protocol: hostproto between placers and hosts, http1
// for owners, consul for Consul's API, platform for the users' platform, and capture for captured traffic. It has no code
// of its own.
//
// These packages may import parse, and are imported by scheduler and the layers above it. All of them are pure: they
// convert between bytes and values, start no goroutine and read no clock.
package protocol
