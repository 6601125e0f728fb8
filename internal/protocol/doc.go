// Package protocol is the layer of what crosses sockets: frames, HTTP, Consul's API, and captured traffic.
//
// It may import parse. All of it is pure: bytes in, values out.
package protocol
