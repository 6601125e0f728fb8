// Package protocol is the wing of what crosses sockets: frames, HTTP, the form of the catalogue, and the events of a
// record.
//
// It may import reading. All of it is pure: bytes in, values out.
package protocol
