// Package emulator is the layer of the emulators of what is around a placer: hosts and Consul, and the users'
// platform. Packages hostmodel and platformmodel, the behavior of a host and of the platform, are pure; host, platform and
// consul are servers.
//
// It may import parse, protocol, scheduler and server.
package emulator
