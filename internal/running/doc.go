// Package running is the wing of the shells: sockets, timers, goroutines and the clock. They carry, and decide nothing.
//
// It may import reading, protocol, placing and planning.
package running
